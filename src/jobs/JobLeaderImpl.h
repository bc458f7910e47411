//===- JobLeaderImpl.h - Implementation of JobLeader ------------*- C++ -*-===//
//
// The class behind JobLeader. Its functions are grouped by duty: leadership
// and periodic work (JobLeader.cpp), clients' calls (JobLeaderCalls.cpp),
// admission of submitted jobs (JobLeaderAdmission.cpp), operators' orders
// (JobLeaderOperators.cpp), the load status (JobLeaderLoad.cpp), questions to
// the advice service (JobLeaderAdvice.cpp), servers' reports
// (JobLeaderReports.cpp), the orders in their answers (JobLeaderOrders.cpp),
// servers that register, are replaced or leave (JobLeaderRegistration.cpp),
// servers whose leases expire (JobLeaderExpiry.cpp), crashes of servers and the
// ends of jobs (JobLeaderCrashes.cpp), waves of maintenance
// (JobLeaderWaves.cpp), and logs, metrics and the health of servers
// (JobLeaderTelemetry.cpp).
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H
#define TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H

#include "tulipweir/jobs/JobLeader.h"

#include "jobs/AbsenceTracker.h"
#include "jobs/AdmissionController.h"
#include "jobs/AdviceCache.h"
#include "jobs/CapacityShares.h"
#include "jobs/CrashHistory.h"
#include "jobs/Dispatcher.h"
#include "jobs/EndedJobs.h"
#include "jobs/IncarnationConflicts.h"
#include "jobs/LiveServerTable.h"
#include "jobs/OpenSubmissions.h"
#include "jobs/PaceController.h"
#include "jobs/PaceSetter.h"
#include "jobs/PendingStops.h"
#include "jobs/PeriodicWorkPacing.h"
#include "jobs/ReportAges.h"
#include "jobs/ReportPacing.h"
#include "jobs/RunStallDetector.h"
#include "jobs/RunTimeEstimator.h"
#include "jobs/WavePlanner.h"
#include "jobs/WorkTimer.h"
#include "replication/LeaderWatch.h"
#include "tulipweir/jobs/IncarnationId.h"

#include <deque>
#include <limits>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace tulipweir::jobs {

/// Why a server is removed. Only a silent one may come back.
enum class Departure : std::uint8_t {
  Left,
  Maintained, ///< The maintenance of its VM has begun.
  Replaced,   ///< Another incarnation reports at its address.
  Restarted,  ///< The server has started again under its id.
  Silent,     ///< Its lease expired.
};

class JobLeader::Impl : public std::enable_shared_from_this<JobLeader::Impl> {
public:
  Impl(const JobLeaderSettings &Settings, const Clock &Time, Executor &Strand,
       replication::Replica &Group, const JobStateMachine &Machine,
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
  LoadStatus describeLoad() const;
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
  /// A report that has not been answered yet.
  struct PendingReport {
    ServerReport Report_;
    Done<ServerOrders> Reply_;
    TimePoint ArrivedAt_;
    TimePoint SentBy_;          ///< Upper bound of the sending time.
    bool IsRecorded_ = false;   ///< It is its server's newest report.
    bool AwaitsCommit_ = false; ///< Its answer waits for a commit.
    bool IsAnswered_ = false;
    /// The number of the first end in it that is not committed.
    std::uint64_t FirstUncommittedEnd_ = NoUncommittedEnd;
  };
  using PendingReportPtr = std::shared_ptr<PendingReport>;
  /// What the leader did since the last line about its load.
  struct LoadFigures {
    std::uint64_t Reports_ = 0;
    std::uint64_t ReportsWaitedMs_ = 0; ///< Before the leader, in all.
    std::uint64_t Ends_ = 0;
    std::uint64_t BoundedStarts_ = 0;
    std::uint64_t FillingStarts_ = 0;
    std::uint64_t LongRunningStarts_ = 0;
  };
  /// The state of asking the relays for a server whose lease expires.
  struct ExpiryCheck {
    std::uint64_t Round_ = 0;
    bool IsOpen_ = false; ///< The answer of the relays is outstanding.
    TimePoint AskedAt_{};
    TimePoint NextAsk_{}; ///< The earliest time of the next check.
  };
  /// What the relays said of a server. Missing if one of them did not answer.
  enum class RelayAnswer : std::uint8_t { Heard, Unheard, Missing };
  /// A run on a server that is removed.
  struct LostRun {
    TaskKey Task_;
    std::uint64_t Run_ = 0;
    Duration Seen_{}; ///< How long reports have named it; zero if none has.
  };

  /// Returns the longest time for which a server with a slow clock may rely on
  /// a lease.
  Duration getMaxLease() const;
  void beginLeading(std::uint64_t Term);
  /// Limits the leases of servers that have not reported to this leader.
  void limitLeases(const LeaseBounds &Bounds);
  void endLeading();
  void tick();
  void detectClockJump();
  /// Logs, each second, what the leader did and spent its time on.
  void logLoad();
  void updateLoads();
  /// Logs, each second, what waits and why.
  void logWaits();
  void logWaitReasons(TimePoint Now);
  void logPlansBesideOverdue();
  void logOverdueSteps();
  void logUnusedRoom(TimePoint Now);
  void logReservations(TimePoint Now);
  void checkExpiredLeases();
  void endOverdueRounds();
  void finishExpiryCheck(const std::string &Id, std::uint64_t Round,
                         RelayAnswer Answer);
  void openDueOccurrences();
  /// Slows periodic work down while reports wait.
  void pacePeriodicWork();
  void survey();
  void startGang();
  void pruneEndedJobs();
  void advanceWaves();
  void refreshVms();
  VmList nameIncarnations(VmList Vms) const;
  void handleMaintenanceReply(const MaintenanceOrder &Order,
                              const Outcome<MaintenanceReply> &Reply);
  void logWave(std::uint64_t Wave, const std::string &Vm,
               const std::string &Result, const std::string &Reason);
  void requestAdvice();
  void handleAdvice(const AdviceRequest &Question,
                    const Outcome<Advice> &Answer);
  /// Returns the evidence of a crash of the removed server, with the runs that
  /// were lost with it. No crash is assumed if the server had announced its
  /// shutdown.
  CrashEvidence assessCrash(const std::string &Server, Departure How,
                            const std::vector<LostRun> &Lost) const;
  void handleCrash(const std::string &Server, TimePoint LastHeard,
                   const std::vector<LostRun> &Lost);
  void storeProvedRuns();
  void handleFailedJobs(const CommandResult &Result);
  void handleJobEnd(const std::string &Id);
  /// Makes the reports of the servers that run tasks of the job urgent.
  void requestStops(const std::string &Job);
  /// Detail is logged behind the reason.
  void removeServer(const std::string &Id, Departure How, ResultCallback Done,
                    std::string_view Detail = "");
  std::optional<std::string> findLeaving(const std::string &Notified) const;
  void removeOnceFlushed(const std::string &Id, Departure How,
                         ResultCallback Done);
  void propose(const Command &Value, ResultCallback Done);
  /// Proposes an operator's order, whose result is handled before all other
  /// work.
  void proposeOrder(const Command &Value, ResultCallback Done);
  /// How a result is posted to the strand.
  using PostMember = void (Executor::*)(std::function<void()>);
  void proposeIn(PostMember Post, const Command &Value, ResultCallback Done);
  /// Returns NotLeader with the leader's name if it is known.
  Error makeNotLeaderError() const;

  bool isDataCentre(const std::string &Name) const;
  void logEvacuation(const EvacuateDataCentre &Order, bool HasChanged);

  void submit(JobCall Call, const Done<JobCallReply> &Reply);
  void updateAdmission();
  /// Returns the answer to a submission that is rejected. Never rejects a job
  /// that is known or may be accepted already.
  std::optional<JobCallReply> findRejection(const JobCall &Call,
                                            const QueuePolicy &Queue);
  void beginSubmission(const std::string &Id);
  /// Called with the outcome of a proposal that began in Term.
  void endSubmission(const std::string &Id, std::uint64_t Term,
                     const Outcome<CommandResult> &Applied);
  void logRejection(const std::string &Id, const AdmissionDecision &Decision);
  void show(const JobCall &Call, const Done<JobCallReply> &Reply) const;
  void cancel(const JobCall &Call, const Done<JobCallReply> &Reply);

  void learnRunTimes(const JobRegistry &Registry, const ServerReport &Report);
  void resolveIncarnation(ServerReport &Report) const;
  void admit(const PendingReportPtr &Pending);
  bool takeOver(const std::vector<std::string> &Others,
                const PendingReport &Pending);
  bool claimFrom(const std::string &Other, const PendingReport &Pending);
  void logRestart(const std::string &Before, const std::string &Restarted);
  void addServer(const PendingReportPtr &Pending);
  void commitEnds(const PendingReportPtr &Pending);
  void startTasks(const PendingReportPtr &Pending);
  Duration chooseInterval(const PendingReport &Pending,
                          const ServerOrders &Orders);
  void answer(const PendingReportPtr &Pending);
  /// Marks the report's answer as waiting for a commit.
  void deferAnswer(const PendingReportPtr &Pending);
  void answerOverdueReports();
  void reply(const PendingReportPtr &Pending, Outcome<ServerOrders> Orders);
  void meterJobEnd(const std::string &Job, JobCounter How);
  void meterStart(const TaskStart &Start, bool IsTaken);
  void countStart(const TaskStart &Start);
  /// Age is the time since the report arrived that the start answers.
  void logStart(const TaskStart &Start, bool IsPlaced, Duration Age);
  void logEnds(const std::string &Server, const std::vector<TaskEnd> &Ends);
  std::vector<LostRun> listLostRuns(const std::string &Server) const;
  void logLostRuns(const std::string &Server, const std::vector<LostRun> &Lost);
  /// Records the ends of runs that the server has reported, or that it never
  /// began.
  void beginAbsences(const EndTasks &Ended, TimePoint LastSeen);
  /// Records the ends of runs with the removal of their server, so that
  /// long-running tasks among them start first.
  void recordLoss(const std::vector<LostRun> &Lost, const Absence &Value);
  void endAbsences(const std::vector<TaskStart> &Starts,
                   const std::vector<bool> &Accepted);
  void logLongAbsences();
  /// Bounds the run time of a run that has just ended on the server, as far as
  /// it tells whether the server is slow.
  RunTimeBounds boundRunTime(const JobRegistry &Registry,
                             const std::string &Server,
                             const EndedTask &Ended) const;
  void updateHealth(const EndTasks &Ended,
                    const std::vector<RunTimeBounds> &RunTimes);
  void recordFailedRun(const std::string &Server, const std::string &Job,
                       const char *Reason);
  void logQuarantine(const std::string &Server, const std::string &Job,
                     const char *Reason);
  bool isStalled(const JobRegistry &Registry, const StepSpec &Step,
                 const TaskKey &Task, const std::string &Server,
                 const RunProgress &Progress, TimePoint Now) const;
  /// Stopping lists the runs that the current answer stops.
  bool shouldEvacuate(const JobRegistry &Registry, const StepSpec &Step,
                      const LiveServer &Live, const ServerReport &Report,
                      const RunningTask &Running,
                      const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool canSpare(const JobRegistry &Registry, const StepSpec &Step,
                const TaskKey &Task,
                const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool shouldYield(const JobRegistry &Registry, const StepSpec &Step,
                   const LiveServer &Live, const RunningTask &Running,
                   const std::map<TaskKey, std::uint64_t> &Stopping) const;
  bool shouldMove(const StepSpec &Step, const ServerRecord &Server,
                  const RunningTask &Running);
  /// At is the index of the run in Report.Running_.
  std::string_view
  findStopReason(const JobRegistry &Registry, const StepSpec &Step,
                 const ServerRecord &Server, const LiveServer &Live,
                 const ServerReport &Report, std::size_t At,
                 const std::map<TaskKey, std::uint64_t> &Stopping);
  ServerOrders makeOrders(const ServerReport &Report,
                          std::vector<TaskEnd> &NeverRan);

  const JobLeaderSettings Settings_;
  const Clock &Time_;
  Executor &Strand_;
  replication::Replica &Group_;
  const JobStateMachine &Machine_;
  Advisor &Advisor_;
  VmProvider &Provider_;
  ReportRelays &Relays_;
  EventLog &Log_;
  JobMeter &Meter_;
  replication::LeaderWatch Watch_;

  std::uint64_t Term_ = 0;
  WorkTimer Work_{Time_};
  PeriodicWorkPacing PeriodicWork_;
  LoadFigures Figures_;
  TimePoint LoadLoggedAt_{};
  LiveServerTable LiveServers_;
  ReportAges ReportAges_{Settings_.ClockDriftPercent_};
  const ReportPacing Pacing_{{Settings_.ReportInterval_, Settings_.Lease_}};
  InterferenceModel Effects_;
  ServingLoads Loads_;
  TailLearner Learner_{Effects_, Loads_};
  PaceController Paces_;
  ServerHealth Health_;
  AdviceCache Advice_;
  CrashHistory Crashes_;
  RunTimeEstimator RunTimes_;
  RunStallDetector Stalls_{RunTimes_};
  CapacityShares Shares_{Settings_.Shares_, RunTimes_};
  AdmissionController Admission_{Settings_.Admission_, RunTimes_,
                                 Shares_.getStatus()};
  OpenSubmissions OpenSubmissions_;
  TimePoint NextAdmissionPrune_{};
  TimePoint NextRejectionLog_{};
  std::uint64_t LoggedRejections_ = 0; ///< In the current interval.
  std::uint64_t UnloggedRejections_ = 0;
  Dispatcher Dispatcher_{Effects_, Loads_,    Paces_, Health_,
                         Advice_,  RunTimes_, Shares_};
  PaceSetter Setter_{Time_, Machine_, Log_, Effects_, Learner_, Paces_};
  IncarnationConflicts Conflicts_;
  PendingStops PendingStops_;
  AbsenceTracker Absences_;
  TimePoint NextAbsenceCheck_{};
  TimePoint NextProofCheck_{};
  bool IsProving_ = false; ///< A proposal with proved runs is outstanding.
  bool IsAdvicePending_ = false; ///< A question to the advice service is open.
  TimePoint NextAdviceRequest_{};
  TimePoint NextObservation_{};
  TimePoint NextSurvey_{};
  TimePoint NextForecast_{};
  TimePoint NextPrune_{}; ///< When loads and planner state are pruned next.
  WavePlanner Waves_;
  TimePoint LeadingSince_{};
  TimePoint LastTick_{};
  /// Until then the relays are asked twice before a server is removed.
  TimePoint OverloadedUntil_{};
  bool IsListing_ = false;  ///< A request for the list of VMs is open.
  bool IsOrdering_ = false; ///< An order to the provider of VMs is open.
  /// Reports that wait for commits, the oldest first.
  std::deque<PendingReportPtr> PendingReports_;
  /// Servers with expiring leases for which the relays are asked, or were asked
  /// so recently that they may not be asked again yet.
  std::map<std::string, ExpiryCheck> ExpiryChecks_;
  std::uint64_t LastExpiryRound_ = 0;
  TimePoint NextExpiryRound_{}; ///< The next round of an overloaded leader.
  /// Servers that no relay had heard in a first check, and whether a relay was
  /// silent in it.
  std::map<std::string, bool> Unheard_;
  /// Incarnations that are about to be ended, until that is committed.
  std::set<std::string> Leaving_;
  EndedJobs EndedJobs_;
  /// When this leader accepted jobs that have not ended.
  std::unordered_map<std::string, TimePoint> AcceptedAt_;
  std::unordered_set<std::string> StartedJobs_; ///< Those that have started.
  /// The last reason that was logged for each waiting step.
  std::map<ReadyStep, std::string> LoggedWaitReasons_;
  /// The steps of the reservations that were logged, by server.
  std::map<std::string, ReadyStep> LoggedReservations_;
  TimePoint NextWaitLog_{};
  /// The wall clock minus the steady clock at the last check.
  std::optional<Duration> WallOffset_;
};

/// The delay of a tick or the handling time of a report that shows an
/// overloaded processor. A commit takes a tenth of it.
inline constexpr Duration OverloadDelay = std::chrono::milliseconds(250);

/// The stop reason of stalled runs, which also count against the health of
/// their server.
inline constexpr std::string_view StallReason = "it makes no progress";

/// The stop reason of long-running runs that make room for bounded work; the
/// log has the figures instead.
inline constexpr std::string_view YieldReason = "it yields to bounded work";

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_JOBLEADERIMPL_H
