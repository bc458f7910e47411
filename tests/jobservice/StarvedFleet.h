//===- StarvedFleet.h - Simulates a fleet with a slow leader ----*- C++ -*-===//
//
// Runs a real leader with three real relays, and servers that follow the
// platform's protocol, under one manual clock. The leader has a time budget:
// it handles batches one after the other, at a cost for each report, and
// commits at a fixed interval. The fleet checks the starts, the ended runs and
// the leases that servers see. Equal seeds give equal results.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_STARVEDFLEET_H
#define TULIPWEIR_TESTS_JOBSERVICE_STARVEDFLEET_H

#include "jobs/LeaderFixture.h"
#include "jobservice/AnswerCollector.h"
#include "jobservice/EmulatedServer.h"
#include "jobservice/FleetExecutors.h"
#include "jobservice/MemberSilence.h"
#include "jobservice/RelayFlush.h"
#include "jobservice/ReportInbox.h"
#include "jobservice/ReportRelay.h"

#include <random>

namespace tulipweir::jobservice::test {

using jobs::ServerOrders;
using jobs::StartOrder;
using jobs::TaskKey;

struct FleetScenario {
  std::uint64_t Seed_ = 1;
  int Servers_ = 90;
  Duration ReportCost_ = std::chrono::microseconds(500);
  Duration CommitInterval_ = std::chrono::milliseconds(10);
  Duration Length_ = std::chrono::seconds(30);
  bool HasFaults_ = false; ///< Servers leave, fall silent and restart.
  bool KeepsIds_ = false;  ///< Servers restart under their ids.
  Duration FaultInterval_ = std::chrono::milliseconds(700);
  /// Between SlowFrom_ and SlowUntil_ after the start, a report costs
  /// SlowReportCost_ instead of ReportCost_.
  Duration SlowReportCost_{};
  Duration SlowFrom_{};
  Duration SlowUntil_{};
  Duration Lease_ = std::chrono::seconds(5);
  /// Most jobs with long-running tasks; 0 for no limit.
  int MaxLongRunningJobs_ = 0;
  /// A random relay stops for this time, as soon as the one before has resumed
  /// and RelayStopPause_ has passed; zero for never.
  Duration RelayStopTime_{};
  Duration RelayStopPause_ = std::chrono::seconds(1);
  /// What a stopped relay receives is lost and its replica is silent, as after
  /// a crash or behind a cut. Otherwise the relay is only slow: it handles what
  /// it receives when it resumes, and its replica answers meanwhile.
  bool AreStoppedRelaysLost_ = false;
};

class StarvedFleet {
public:
  explicit StarvedFleet(const FleetScenario &Scenario);
  void run();
  /// Counts the starts from From up to Until, both in whole seconds from the
  /// beginning.
  std::size_t countStarts(Duration From, Duration Until) const;

  // Results.

  /// Descriptions of violated invariants.
  std::vector<std::string> Violations_;
  std::size_t LeasesLost_ = 0; ///< Leases lost by servers that kept reporting.
  std::size_t Started_ = 0;
  std::size_t Done_ = 0;
  std::size_t ServersLost_ = 0; ///< Servers that left or fell silent.
  /// Longest time for which a server reported without an answer that extends
  /// its lease.
  Duration MaxTimeWithoutLease_{};
  /// Longest time for which a run continued after its job's cancellation was
  /// acknowledged.
  Duration MaxTimeAfterCancel_{};
  /// Longest time for which a long-running task did not run, after it had run
  /// or after it was placed on a server that was lost as well.
  Duration MaxDowntime_{};
  /// The number of starts in each second.
  std::vector<std::size_t> StartsBySecond_;

private:
  static constexpr int Relays = 3;
  static constexpr Duration Step = std::chrono::milliseconds(10);
  /// Longest time from the acknowledgement of a cancellation to the job's last
  /// start.
  static constexpr Duration MaxCancelDelay = std::chrono::seconds(3);

  struct Server : EmulatedServer {
    /// The last ended task that was reported.
    std::uint64_t LastReportedEnd_ = 0;
    int Relay_ = 0;
    TimePoint AnsweredAt_{}; ///< The last answer with a lease, or the start.
  };
  /// A batch that the leader is handling.
  struct BatchInProgress {
    jobs::ReportBatch Batch_;
    ReportInbox::Reply Reply_;
  };
  /// A relay's call to the leader.
  struct Call {
    std::shared_ptr<ReportRelay::BatchDone> Done_; ///< Null once called.
    TimePoint SentAt_{};
    std::size_t Relay_ = 0;
  };
  struct TaskHistory {
    std::uint64_t LastRun_ = 0; ///< The highest run that has started.
    bool IsDone_ = false;  ///< The leader has acknowledged the task as done.
    std::string PlacedOn_; ///< The server of the last placement.
    TimePoint PlacedAt_{};
    TimePoint LastRunning_{}; ///< When the task was last seen running.
  };

  replication::ReplicaStatus getStatus() const;
  void sendFlushRequest(const std::string &Member,
                        const jobs::FlushRequest &Request,
                        const std::function<void()> &Failed);
  void stopRelays();
  /// Runs the task at the relay, unless what it receives is lost.
  void deliver(std::size_t Relay, const std::function<void()> &Task);
  void step();
  void runLeader();
  void updateObservations();
  void recordPlacement(const Event &Started);
  bool isGone(const std::string &Id) const;
  bool mayBeGivenUp(const TaskKey &Task) const;
  Duration getReportCost() const;
  void receive(std::size_t Relay, jobs::ReportBatch Batch,
               ReportRelay::BatchDone Done);
  void handleBatch(BatchInProgress Next);
  int countHandled(const jobs::ReportBatch &Batch) const;
  void submitJob();
  void cancelRandomJob();
  void injectFault();
  void removeServer(Server &Backend);
  void restartServer(Server &Backend);
  void endRuns(Server &Backend);
  void report(std::size_t Number);
  void handleAnswer(std::size_t Number, std::uint64_t Sequence,
                    const Outcome<ServerOrders> &Answer);
  void startRun(Server &Backend, const StartOrder &Start);
  void recordCompletion(const jobs::TaskEnd &End);
  void recordViolation(const std::string &Violation, const TaskKey &Task);
  std::uint64_t drawBelow(std::uint64_t Limit) { return Random_() % Limit; }

  const FleetScenario Scenario_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  jobs::test::ManualExecutor Strand_{Time_};
  jobs::JobStateMachine Machine_;
  jobs::test::ManualReplica Replica_{Machine_};
  jobs::NullAdvisor Advisor_;
  jobs::NullVmProvider Provider_;
  StartLog Log_{[this](const Event &Started) { recordPlacement(Started); }};
  jobs::NoJobMeter Meter_;
  const jobs::JobLeaderSettings Settings_;
  std::vector<std::unique_ptr<RelayExecutor>> RelayExecutors_;
  std::vector<std::shared_ptr<ReportRelay>> Relays_;
  std::size_t StoppedRelay_ = 0;
  TimePoint RelayStoppedAt_{};
  TimePoint NextRelayStop_{};
  RelayFlush Flush_;
  jobs::JobLeader Leader_;
  LeaderQueue LeaderQueue_;
  ReportInbox Inbox_;
  std::optional<BatchInProgress> InProgress_;
  std::deque<Call> Calls_;
  std::vector<std::shared_ptr<AnswerCollector>> Collectors_;
  std::vector<Server> Servers_;
  std::map<TaskKey, TaskHistory> Histories_;
  /// Long-running tasks that have started.
  std::set<TaskKey> LongRunningTasks_;
  /// Cancelled jobs and when the cancellation was acknowledged.
  std::map<std::string, TimePoint> Cancelled_;
  std::vector<std::string> Jobs_;
  int LongRunningJobs_ = 0; ///< Number of jobs with long-running tasks.
  TimePoint StartedAt_{};
  TimePoint LeaderFreeAt_{};
  TimePoint NextCommit_{};
  TimePoint NextJob_{};
  TimePoint NextTimeoutCheck_{};
  TimePoint NextFault_{};
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_STARVEDFLEET_H
