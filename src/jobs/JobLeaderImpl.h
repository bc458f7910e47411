//===- JobLeaderImpl.h - The leader's side, inside -------------*- C++ -*-===//
//
// The class behind JobLeader. Its functions stand by duty: leadership and what
// is done by the clock (JobLeader.cpp), clients' calls (JobLeaderCalls.cpp),
// operators' orders (JobLeaderOperators.cpp), servers' reports
// (JobLeaderReports.cpp), the orders in their answers (JobLeaderOrders.cpp),
// servers whose leases expire (JobLeaderExpiry.cpp),
// waves of maintenance (JobLeaderWaves.cpp), and what is logged, metered and
// learned of runs (JobLeaderTelemetry.cpp).
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H
#define TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H

#include "tulipweir/jobs/JobLeader.h"

#include "jobs/AdviceBook.h"
#include "jobs/CrashHistory.h"
#include "jobs/Dispatcher.h"
#include "jobs/IncarnationConflicts.h"
#include "jobs/LiveServerTable.h"
#include "jobs/PaceGuard.h"
#include "jobs/PaceSetter.h"
#include "jobs/PendingStops.h"
#include "jobs/WaveKeeper.h"
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
  void recordLateEnds(const ServerReport &Report,
                      const Done<ServerOrders> &Reply);
  void observe(const ServerReport &Report);
  void markOverloaded();
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
  static constexpr std::uint64_t NoUncommittedEnd =
      std::numeric_limits<std::uint64_t>::max();
  /// A report on its way to its answer.
  struct PendingReport {
    ServerReport Report_;
    Done<ServerOrders> Reply_;
    TimePoint ArrivedAt_;
    TimePoint SentBy_;        ///< The server sent it no later.
    bool IsRecorded_ = false; ///< Its server is stored, and it is the newest.
    bool AwaitsCommit_ =
        false; ///< Something that came of it is to be committed.
    bool IsAnswered_ = false;
    /// The number of the first end in it that is still to be committed.
    std::uint64_t FirstUncommittedEnd_ = NoUncommittedEnd;
  };
  using PendingReportPtr = std::shared_ptr<PendingReport>;
  /// Whether the relays are asked for a server.
  struct ExpiryCheck {
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
  Duration getMaxLease() const;
  void beginLeading(std::uint64_t Term);
  void endLeading();
  void tick();
  void detectClockJump();
  void updateLoads();
  void logWaitReasons();
  void checkExpiredLeases();
  void endOverdueRounds();
  void finishExpiryCheck(const std::string &Id, std::uint64_t Round,
                         bool IsHeard);
  void openDueOccurrences();
  void startGang();
  void pruneEndedJobs();
  void advanceWaves();
  void refreshVms();
  void handleMaintenanceReply(const MaintenanceOrder &Order,
                              const Outcome<MaintenanceReply> &Reply);
  void logWave(std::uint64_t Wave, const std::string &Vm,
               const std::string &What, const std::string &Why);
  void requestAdvice();
  void handleAdvice(const AdviceQuestion &Question,
                    const Outcome<Advice> &Answer);
  /// What is known of how the server went, with the runs lost with it.
  CrashEvidence assessCrash(const std::string &Server, Departure How,
                            const std::vector<LostRun> &Lost) const;
  void handleCrash(const std::string &Server, TimePoint LastHeard,
                   const std::vector<LostRun> &Lost);
  void storeProvedRuns();
  void handleFailedJobs(const CommandResult &Result);
  void handleJobEnd(const std::string &Id);
  /// Makes the reports of the servers with its runs urgent.
  void requestStops(const std::string &Job);
  void removeServer(const std::string &Id, Departure How, ResultCallback Done);
  void propose(const Command &Value, ResultCallback Done);
  /// Says who leads, as far as it is known.
  Error makeNotLeaderError() const;

  bool isDataCentre(const std::string &Name) const;
  void logEvacuation(const EvacuateDataCentre &Order, bool HasChanged);

  void submit(JobCall Call, const Done<JobCallReply> &Reply);
  void show(const JobCall &Call, const Done<JobCallReply> &Reply) const;
  void cancel(const JobCall &Call, const Done<JobCallReply> &Reply);

  void admit(const PendingReportPtr &Pending);
  bool takeOver(const std::string &Occupant, const ServerFacts &Successor);
  void addServer(const PendingReportPtr &Pending);
  void commitEnds(const PendingReportPtr &Pending);
  void startTasks(const PendingReportPtr &Pending);
  void answer(const PendingReportPtr &Pending);
  /// Its answer waits for a commit from now on.
  void deferAnswer(const PendingReportPtr &Pending);
  void answerOverdueReports();
  void reply(const PendingReportPtr &Pending, Outcome<ServerOrders> Orders);
  void meterJobEnd(const std::string &Job, JobCounter How);
  void meterStart(const TaskStart &Start, bool IsTaken);
  void logEnds(const std::string &Server, const std::vector<TaskEnd> &Ends);
  std::vector<LostRun> listLostRuns(const std::string &Server) const;
  void logLostRuns(const std::string &Server, const std::vector<LostRun> &Lost);
  void updateHealth(const EndTasks &Ended);
  void recordFailedRun(const std::string &Server, const std::string &Job,
                       const char *Why);
  void logQuarantine(const std::string &Server, const std::string &Job,
                     const char *Why);
  bool isStalled(const StepSpec &Step, const std::string &Server,
                 const RunProgress &Progress, TimePoint Now) const;
  /// Stopping: what this very answer stops.
  bool shouldEvacuate(const JobBook &Book, const StepSpec &Step,
                      const LiveServer &Live, const ServerReport &Report,
                      const RunningTask &Running,
                      const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool canSpare(const JobBook &Book, const StepSpec &Step, const TaskKey &Task,
                const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool shouldMove(const StepSpec &Step, const ServerRecord &Server,
                  const RunningTask &Running);
  /// At: the run's place in the report.
  std::string_view
  findStopReason(const JobBook &Book, const StepSpec &Step,
                 const ServerRecord &Server, const LiveServer &Live,
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
  LiveServerTable LiveServers_;
  TailEffects Effects_;
  ServingLoads Loads_;
  TailLearner Learner_{Effects_, Loads_};
  PaceGuard Paces_;
  ServerHealth Health_;
  AdviceBook Advice_;
  CrashHistory Crashes_;
  Dispatcher Dispatcher_{Effects_, Loads_, Paces_, Health_, Advice_};
  PaceSetter Setter_{Time_, Machine_, Log_, Effects_, Learner_, Paces_};
  IncarnationConflicts Conflicts_;
  PendingStops PendingStops_;
  TimePoint NextProofCheck_{};
  bool IsProving_ = false;       ///< Proved runs are on their way to the log.
  bool IsAdvicePending_ = false; ///< A question to the advice service is open.
  TimePoint NextAdviceRequest_{};
  TimePoint NextPlannerPrune_{};
  TimePoint NextLoadPrune_{}; ///< Of the loads of what is no more.
  WaveKeeper Waves_;
  TimePoint LeadingSince_{};
  TimePoint LastTick_{};
  /// Until then the relays are asked twice before a server is given up.
  TimePoint OverloadedUntil_{};
  bool IsListing_ = false;  ///< A call to the provider of VMs is open,
  bool IsOrdering_ = false; ///< and an order to it.
  /// Reports that wait for commits, the oldest first.
  std::deque<PendingReportPtr> PendingReports_;
  /// Servers whose lease expires, while the relays are asked for them and until
  /// they may be asked again.
  std::map<std::string, ExpiryCheck> ExpiryChecks_;
  std::uint64_t LastExpiryRound_ = 0;
  TimePoint NextExpiryRound_{}; ///< When they may be asked while behind.
  /// Servers that no relay had heard when asked while the leader was behind.
  std::set<std::string> Unheard_;
  /// Incarnations whose end is decided, until that is stored.
  std::set<std::string> Leaving_;
  std::map<std::string, TimePoint> EndedAt_;
  /// Of open jobs that this leader accepted itself.
  std::map<std::string, TimePoint> AcceptedAt_;
  std::set<std::string> StartedJobs_; ///< Of these.
  /// What was last said of steps that wait.
  std::map<ReadyStep, std::string> LoggedWaitReasons_;
  TimePoint NextWaitLog_{};
  /// Wall time less steady time, when it was last looked at.
  std::optional<Duration> WallOffset_;
};

/// A tick that comes so much too late, or a report that takes so long, shows
/// that there is more work than processor; a commit takes a tenth of it.
inline constexpr Duration OverloadDelay = std::chrono::milliseconds(250);

/// Why a run is stopped that stands still; servers where that happens are sick.
inline constexpr std::string_view StallReason = "it makes no progress";

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H
