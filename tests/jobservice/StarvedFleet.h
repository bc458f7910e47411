//===- StarvedFleet.h - Simulates a fleet with a slow leader --------------===//
//
// A real leader behind three real relays, and servers that keep to the
// platform's protocol, all under one manual clock. The leader has a budget: so
// much time for each report, one batch after the other, and so long for a
// commit. Whatever a server sees is judged: what starts, what has ended, whose
// lease ends. The same seed gives the same day.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_STARVEDFLEET_H
#define TULIPWEIR_TESTS_JOBSERVICE_STARVEDFLEET_H

#include "jobs/LeaderFixture.h"
#include "jobservice/AnswerCollector.h"
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
  bool HasFaults_ = false; ///< Servers leave, fall silent and come anew.
  Duration FaultInterval_ = std::chrono::milliseconds(700);
  /// A slow spell: a report takes SlowReportCost_ instead, from SlowFrom_ after
  /// the beginning to SlowUntil_.
  Duration SlowReportCost_{};
  Duration SlowFrom_{};
  Duration SlowUntil_{};
  Duration Lease_ = std::chrono::seconds(5);
  int MaxLongRunningJobs_ =
      0; ///< Most jobs of lasting tasks; 0 for any number.
};

/// What the leader has to do, which waits until it has time.
class LeaderQueue final : public Executor {
public:
  void post(std::function<void()> Task) override {
    Tasks_.push_back(std::move(Task));
  }
  void postAfter(Duration, std::function<void()>) override {
    ADD_FAILURE() << "nothing is posted for later here";
  }
  bool isIdle() const { return Tasks_.empty(); }
  void runNext() {
    const std::function<void()> Next = std::move(Tasks_.front());
    Tasks_.pop_front();
    Next();
  }

private:
  std::deque<std::function<void()>> Tasks_;
};

/// Tells what starts.
class StartLog final : public EventLog {
public:
  using OnStart = std::function<void(const Event &)>;
  explicit StartLog(OnStart Notify) : Notify_(std::move(Notify)) {}
  void write(const Event &Value) override {
    if (Value.Kind_ == EventKind::TaskStarted)
      Notify_(Value);
  }

private:
  const OnStart Notify_;
};

class StarvedFleet {
public:
  explicit StarvedFleet(const FleetScenario &Scenario);
  void run();
  /// From after the beginning to before Until, both in whole seconds.
  std::size_t countStarts(Duration From, Duration Until) const;

  // What was seen.

  std::vector<std::string> Violations_; ///< Promises, in words.
  std::size_t LeasesLost_ = 0; ///< Of servers that reported all the while.
  std::size_t Started_ = 0;
  std::size_t Done_ = 0;
  std::size_t ServersLost_ = 0; ///< Servers that left or fell silent.
  /// Longest time that a server reported without an answer that extends its
  /// lease.
  Duration MaxTimeWithoutLease_{};
  /// Longest time that a run went on after its job's cancellation was
  /// acknowledged.
  Duration MaxTimeAfterCancel_{};
  /// Longest time that a lasting task was not at work after it once was, or
  /// after it was placed on a server that was lost as well.
  Duration MaxDowntime_{};
  /// Starts in each second.
  std::vector<std::size_t> StartsBySecond_;

private:
  static constexpr int Relays = 3;
  static constexpr Duration Step = std::chrono::milliseconds(10);
  /// A server drops what comes later.
  static constexpr Duration ReportTimeout = std::chrono::seconds(1);
  /// From the acknowledgement of a cancel to its last start.
  static constexpr Duration MaxCancelDelay = std::chrono::seconds(3);

  struct Run {
    std::uint64_t Number_ = 0;
    TimePoint EndsAt_{};
    bool IsLongRunning_ = false;
  };
  struct Server {
    std::string Id_;
    std::map<TaskKey, Run> Running_;
    /// Runs seen, also as stopped.
    std::map<TaskKey, std::uint64_t> HighestRuns_;
    std::vector<jobs::EndedTask> Ended_;
    std::uint64_t LastEnd_ = 0;
    std::uint64_t LastReportedEnd_ = 0; ///< Of these.
    std::uint64_t Sequence_ = 0;
    int Relay_ = 0;
    bool IsWaiting_ = false;
    bool IsGone_ = false;
    bool HasLease_ = false;
    TimePoint SentAt_{};
    TimePoint NextReport_{};
    TimePoint LeaseEnd_{};
    TimePoint AnsweredAt_{}; ///< Its last answer with a lease, or its begin.
  };
  /// A batch that the leader has at hand.
  struct BatchInProgress {
    jobs::ReportBatch Batch_;
    ReportInbox::Reply Reply_;
  };
  /// A relay's call to the leader.
  struct Call {
    std::shared_ptr<ReportRelay::BatchDone> Done_; ///< Empty once called.
    TimePoint SentAt_{};
  };
  struct TaskHistory {
    std::uint64_t LastRun_ = 0; ///< The highest run that began.
    bool IsDone_ = false;       ///< An end as done was noted.
    std::string PlacedOn_;      ///< The server of its last start.
    TimePoint PlacedAt_{};
    TimePoint LastRunning_{}; ///< When a lasting one was last seen running.
  };

  void step();
  void runLeader();
  void updateObservations();
  void recordPlacement(const Event &Started);
  bool isGone(const std::string &Id) const;
  bool mayBeGivenUp(const TaskKey &Task) const;
  Duration getReportCost() const;
  void receive(jobs::ReportBatch Batch, ReportRelay::BatchDone Done);
  void handleBatch(BatchInProgress Next);
  int countHandled(const jobs::ReportBatch &Batch) const;
  void submitJob();
  void cancelRandomJob();
  void injectFault();
  void removeServer(Server &Backend);
  void restartServer(Server &Backend);
  void endRuns(Server &Backend);
  void endRun(Server &Backend, const TaskKey &Task, jobs::RunEnd How);
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
  jobs::JobMachine Machine_;
  jobs::test::ManualReplica Replica_{Machine_};
  jobs::NoAdvisor Advisor_;
  jobs::NoVmProvider Provider_;
  StartLog Log_{[this](const Event &Started) { recordPlacement(Started); }};
  jobs::NoJobMeter Meter_;
  const jobs::JobLeaderSettings Settings_;
  std::vector<std::shared_ptr<ReportRelay>> Relays_;
  RelayFlush Flush_;
  jobs::JobLeader Leader_;
  LeaderQueue LeaderQueue_;
  ReportInbox Inbox_;
  std::optional<BatchInProgress> InProgress_;
  std::deque<Call> Calls_;
  std::vector<std::shared_ptr<AnswerCollector>> Collectors_;
  std::vector<Server> Servers_;
  std::map<TaskKey, TaskHistory> Histories_;
  std::set<TaskKey> LongRunningTasks_;         ///< That have begun.
  std::map<std::string, TimePoint> Cancelled_; ///< Jobs, and when it was said.
  std::vector<std::string> Jobs_;
  int LongRunningJobs_ = 0; ///< Jobs of lasting tasks.
  TimePoint StartedAt_{};
  TimePoint LeaderFreeAt_{};
  TimePoint NextCommit_{};
  TimePoint NextJob_{};
  TimePoint NextTimeoutCheck_{};
  TimePoint NextFault_{};
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_STARVEDFLEET_H
