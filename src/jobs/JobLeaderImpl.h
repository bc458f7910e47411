//===- JobLeaderImpl.h - The leader's side, inside -------------*- C++ -*-===//
//
// The class behind JobLeader. Its functions stand by duty: leadership and what
// is done by the clock (JobLeader.cpp), clients' calls (JobLeaderCalls.cpp),
// operators' orders (JobLeaderOperators.cpp), servers' reports
// (JobLeaderReports.cpp), the orders in their answers (JobLeaderOrders.cpp),
// servers whose leases expire (JobLeaderLapses.cpp),
// waves of maintenance (JobLeaderWaves.cpp), and what is logged, metered and
// learned of runs (JobLeaderNotes.cpp).
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H
#define TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H

#include "tulipweir/jobs/JobLeader.h"

#include "jobs/AdviceCache.h"
#include "jobs/CrashHistory.h"
#include "jobs/Dispatcher.h"
#include "jobs/IncarnationConflicts.h"
#include "jobs/PaceController.h"
#include "jobs/PaceSetter.h"
#include "jobs/PendingStops.h"
#include "jobs/ServerBoard.h"
#include "jobs/WavePlanner.h"
#include "replication/LeaderWatch.h"

#include <deque>
#include <limits>
#include <set>

namespace tulipweir::jobs {

/// How a server went: for good, but for Silent.
enum class Departure : std::uint8_t {
  Left,
  Maintained, ///< The maintenance of its VM has begun.
  Replaced,   ///< Another incarnation reports at its address.
  Silent,     ///< Its lease ran out.
};

class JobLeader::Impl : public std::enable_shared_from_this<JobLeader::Impl> {
public:
  Impl(const JobLeaderSettings &Settings, const Clock &Time, Executor &Strand,
       replication::Replica &Group, const JobMachine &Machine,
       Advisor &Advising, VmProvider &Provider, ReportRelays &Relays,
       EventLog &Log, JobMeter &Meter)
      : Settings_(Settings), Time_(Time), Strand_(Strand), Group_(Group),
        Machine_(Machine), Advisor_(Advising), Provider_(Provider),
        Relays_(Relays), Log_(Log), Meter_(Meter),
        Watch_(Group, Strand,
               {[this](std::uint64_t Term) { beginLeading(Term); },
                [this] { endLeading(); }}) {}

  void start() { tick(); }
  void call(JobCall Call, Done<JobCallReply> Reply);
  void report(ServerReport Report, Done<ServerOrders> Reply);
  void noteLateEnds(const ServerReport &Report,
                    const Done<ServerOrders> &Reply);
  void observe(const ServerReport &Report);
  void noteBehind();
  void leave(const std::string &ServerId, Done<void> Reply);
  void putConfiguration(Configuration Value, Done<void> Reply);
  void readConfiguration(const Done<Configuration> &Reply);
  void startWave(const WaveSpec &Spec, const Done<void> &Reply);
  void showWave(std::uint64_t Wave, const Done<WaveRecord> &Reply) const;
  void evacuate(const EvacuateDataCentre &Order, const Done<void> &Reply);
  bool isLeading() const;
  std::vector<ServerAwaitingStop> listAwaitingStop() const {
    return PendingStops_.list(Time_.now());
  }
  std::optional<std::uint64_t> findFencingToken() const {
    return isLeading() ? std::optional(Term_) : std::nullopt;
  }

private:
  using ResultCallback = std::function<void(Outcome<CommandResult>)>;
  static constexpr std::uint64_t NoOpenEnd =
      std::numeric_limits<std::uint64_t>::max();
  /// A report on its way to its answer.
  struct Handling {
    ServerReport Report_;
    Done<ServerOrders> Reply_;
    TimePoint ArrivedAt_;
    TimePoint SentBy_;     ///< The server sent it no later.
    bool IsNoted_ = false; ///< Its server is stored, and it is the newest.
    bool IsHeld_ = false;  ///< Something that came of it is to be committed.
    bool IsAnswered_ = false;
    /// The number of the first end in it that is still to be committed.
    std::uint64_t FirstOpenEnd_ = NoOpenEnd;
  };
  using HandlingPtr = std::shared_ptr<Handling>;
  /// Whether the relays are asked for a server.
  struct LapseCheck {
    std::uint64_t Round_ = 0;
    bool IsOpen_ = false; ///< Their answer has not come.
    TimePoint AskedAt_{};
    TimePoint NextAsk_{}; ///< Once that is over.
  };
  /// A run that is placed on a server that is gone.
  struct LostRun {
    TaskKey Task_;
    std::uint64_t Run_ = 0;
    Duration Seen_{}; ///< How long reports named it; zero if none did.
  };

  /// How long a server whose clock is slow may count on a lease.
  Duration getLongestLease() const;
  void beginLeading(std::uint64_t Term);
  void endLeading();
  void tick();
  void watchClock();
  void keepLoads();
  void explainWaits();
  void removeLapsed();
  void endOverdueRounds();
  void endLapseCheck(const std::string &Id, std::uint64_t Round, bool IsHeard);
  void openDue();
  void startGang();
  void forgetEnded();
  void keepWaves();
  void listVms();
  void noteMaintenance(const MaintenanceOrder &Order,
                       const Outcome<MaintenanceReply> &Reply);
  void logWave(std::uint64_t Wave, const std::string &Vm,
               const std::string &What, const std::string &Why);
  void askAdvice();
  void noteAdvice(const AdviceRequest &Question, const Outcome<Advice> &Answer);
  /// What is known of how the server went, with the runs lost with it.
  CrashEvidence judgeCrash(const std::string &Server, Departure How,
                           const std::vector<LostRun> &Lost) const;
  void noteCrash(const std::string &Server, TimePoint LastHeard,
                 const std::vector<LostRun> &Lost);
  void noteProvedRuns();
  void noteFailed(const CommandResult &Result);
  void noteJobEnd(const std::string &Id);
  /// Makes the reports of the servers with its runs urgent.
  void stopRunsOf(const std::string &Job);
  void removeServer(const std::string &Id, Departure How, ResultCallback Done);
  void propose(const Command &Value, ResultCallback Done);
  /// Says who leads, as far as it is known.
  Error makeNotLeading() const;

  bool isDataCentre(const std::string &Name) const;
  void logEvacuation(const EvacuateDataCentre &Order, bool IsNews);

  void submit(JobCall Call, const Done<JobCallReply> &Reply);
  void show(const JobCall &Call, const Done<JobCallReply> &Reply) const;
  void cancel(const JobCall &Call, const Done<JobCallReply> &Reply);

  void admit(const HandlingPtr &Current);
  bool takeOver(const std::string &Occupant, const ServerFacts &Successor);
  void addServer(const HandlingPtr &Current);
  void noteEnds(const HandlingPtr &Current);
  void startTasks(const HandlingPtr &Current);
  void answer(const HandlingPtr &Current);
  /// Its answer waits for a commit from now on.
  void hold(const HandlingPtr &Current);
  void answerOverdue();
  void reply(const HandlingPtr &Current, Outcome<ServerOrders> Orders);
  void noteEnded(const std::string &Job, Counted How);
  void noteStarted(const TaskStart &Start, bool IsTaken);
  void logEnds(const std::string &Server, const std::vector<TaskEnd> &Ends);
  std::vector<LostRun> listLost(const std::string &Server) const;
  void logLost(const std::string &Server, const std::vector<LostRun> &Lost);
  void noteHealth(const EndTasks &Ended);
  void noteSick(const std::string &Server, const std::string &Job,
                const char *Why);
  void logQuarantine(const std::string &Server, const std::string &Job,
                     const char *Why);
  bool isStalled(const StepSpec &Step, const std::string &Server,
                 const RunProgress &Progress, TimePoint Now) const;
  /// Stopping: what this very answer stops.
  bool isToEvacuate(const JobBook &Book, const StepSpec &Step,
                    const ServerLive &Live, const ServerReport &Report,
                    const RunningTask &Running,
                    const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool maySpare(const JobBook &Book, const StepSpec &Step, const TaskKey &Task,
                const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool isToMove(const StepSpec &Step, const ServerRecord &Server,
                const RunningTask &Running);
  /// At: the run's place in the report.
  std::string_view
  findStopReason(const JobBook &Book, const StepSpec &Step,
                 const ServerRecord &Server, const ServerLive &Live,
                 const ServerReport &Report, std::size_t At,
                 const std::map<TaskKey, std::uint64_t> &Stopping);
  ServerOrders makeOrders(const ServerReport &Report,
                          std::vector<TaskEnd> &NeverRan);

  const JobLeaderSettings Settings_;
  const Clock &Time_;
  Executor &Strand_;
  replication::Replica &Group_;
  const JobMachine &Machine_;
  Advisor &Advisor_;
  VmProvider &Provider_;
  ReportRelays &Relays_;
  EventLog &Log_;
  JobMeter &Meter_;
  replication::LeaderWatch Watch_;

  std::uint64_t Term_ = 0;
  ServerBoard Board_;
  InterferenceModel Effects_;
  ServingLoads Loads_;
  TailLearner Learner_{Effects_, Loads_};
  PaceController Paces_;
  ServerHealth Health_;
  AdviceCache Advice_;
  CrashHistory Crashes_;
  Dispatcher Dispatcher_{Effects_, Loads_, Paces_, Health_, Advice_};
  PaceSetter Setter_{Time_, Machine_, Log_, Effects_, Learner_, Paces_};
  IncarnationConflicts Conflicts_;
  PendingStops PendingStops_;
  TimePoint NextProof_{};
  bool IsProving_ = false; ///< Proved runs are on their way to the log.
  bool IsAsking_ = false;  ///< A question to the advice service is open.
  TimePoint NextQuestion_{};
  TimePoint NextPrune_{};
  TimePoint NextForgetting_{}; ///< Of the loads of what is no more.
  WavePlanner Waves_;
  TimePoint LeadingSince_{};
  TimePoint LastTick_{};
  /// Until then the relays are asked twice before a server is given up.
  TimePoint BehindUntil_{};
  bool IsListing_ = false;  ///< A call to the provider of VMs is open,
  bool IsOrdering_ = false; ///< and an order to it.
  /// Reports that wait for commits, the oldest first.
  std::deque<HandlingPtr> Open_;
  /// Servers whose lease expires, while the relays are asked for them and until
  /// they may be asked again.
  std::map<std::string, LapseCheck> Lapsed_;
  std::uint64_t LastLapseRound_ = 0;
  TimePoint NextLapseRound_{}; ///< When they may be asked while behind.
  /// Servers that no relay had heard when asked while the leader was behind.
  std::set<std::string> Unheard_;
  /// Incarnations whose end is decided, until that is stored.
  std::set<std::string> Leaving_;
  std::map<std::string, TimePoint> EndedSince_;
  /// Of open jobs that this leader accepted itself.
  std::map<std::string, TimePoint> AcceptedAt_;
  std::set<std::string> Started_; ///< Of these.
  /// What was last said of steps that wait.
  std::map<ReadyStep, std::string> Explained_;
  TimePoint NextExplanation_{};
  /// Wall time less steady time, when it was last looked at.
  std::optional<Duration> WallOffset_;
};

/// A tick that comes so much too late, or a report that takes so long, shows
/// that there is more work than processor; a commit takes a tenth of it.
inline constexpr Duration BehindAfter = std::chrono::milliseconds(250);

/// Why a run is stopped that stands still; servers where that happens are sick.
inline constexpr std::string_view StandsStill = "it makes no progress";

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H
