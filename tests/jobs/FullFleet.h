//===- FullFleet.h - Simulates a fleet without spare capacity ---*- C++ -*-===//
//
// Runs a real leader and simulated servers under one manual clock. Long-running
// tasks need nearly the whole capacity, and more than it once servers are lost;
// a queue of short tasks takes what they leave. Long-running jobs are cancelled
// and submitted, and their tasks fail by themselves. The fleet measures for how
// long a long-running task waits although a server in service has room for it.
// Equal scenarios give equal results.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBS_FULLFLEET_H
#define TULIPWEIR_TESTS_JOBS_FULLFLEET_H

#include "jobs/LeaderFixture.h"

#include <random>
#include <set>

namespace tulipweir::jobs::test {

struct FullFleetScenario {
  std::uint64_t Seed_ = 1;
  std::size_t Servers_ = 64;
  Duration Length_ = std::chrono::seconds(30);
  /// When every fourth server is lost for good.
  Duration LossAt_ = Duration::max();
  /// When every seventh server is lost for good, and the next one of each seven
  /// three seconds later.
  Duration TwoLossesAt_ = Duration::max();
  /// When the servers of a rack crash. They come back at the same addresses.
  Duration RackCrashAt_ = Duration::max();
  /// How often a long-running job is cancelled, and one submitted.
  Duration CancelInterval_ = std::chrono::milliseconds(250);
  /// How often a long-running task fails by itself.
  Duration FailureInterval_ = std::chrono::milliseconds(500);
  /// How often a job is submitted whose tasks always fail; zero: never.
  Duration FailingJobInterval_{};
  /// Short tasks take several times as long on one server in eight, one after
  /// the other.
  bool HasSlowServers_ = false;
  /// Whether long-running tasks yield to short ones, and how many of a step may
  /// be stopped at a time.
  bool AreSharesEnabled_ = false;
  bool YieldsWithoutBudget_ = false;
  std::uint64_t MaxUnavailable_ = 0;
  /// How many short tasks wait at least.
  std::size_t MinShortTasksWaiting_ = 200;
  /// Whether half of the long-running steps serve requests.
  bool HasServing_ = true;
};

class FullFleet {
public:
  explicit FullFleet(const FullFleetScenario &Scenario);
  void run();

  // Results.

  /// Longest time for which a long-running task has waited while some server in
  /// service had room for it at every look, and no other that had waited for as
  /// long took such room.
  Duration MaxWaitBesideRoom_{};
  std::string LongestWait_; ///< Describes that wait.
  /// The same with the room that short tasks use, which may be reserved.
  Duration MaxWaitBesideShortWork_{};
  std::string LongestWaitBesideShortWork_; ///< Describes that wait.
  std::size_t MostWaiting_ = 0;            ///< Long-running tasks at one look.
  std::size_t LongRunningStarts_ = 0;
  std::size_t ShortStarts_ = 0;
  /// Long-running tasks that were lost with a quarter of the servers and not
  /// cancelled within LongAbsence, and those that did not run again within it.
  std::size_t LostTasks_ = 0;
  std::size_t LongAbsences_ = 0;
  /// Long-running tasks that were down for over MaxDownTime and did not start
  /// while, at three looks in a row, two of them would have fitted.
  std::size_t TasksDownBesideRoom_ = 0;
  std::string FirstDownBesideRoom_; ///< Describes the first one.
  /// Stops of long-running tasks in favour of short ones.
  std::size_t Yields_ = 0;
  RecordingEventLog Log_;

private:
  /// Before the first loss the fleet fills up.
  static constexpr Duration FillTime = std::chrono::seconds(6);

  static constexpr Duration Step = std::chrono::milliseconds(10);
  /// Three seconds more than the longest lease and the removal of the server.
  static constexpr Duration LongAbsence = std::chrono::seconds(9);

  /// How long a long-running task may be down whatever there is room for.
  static constexpr Duration MaxDownTime = std::chrono::seconds(6);
  /// Room must be seen by this many looks in a row, at this interval.
  static constexpr int RoomLooks = 3;
  static constexpr Duration RoomLookInterval = std::chrono::milliseconds(1500);

  struct Run {
    std::uint64_t Number_ = 0;
    Resources Need_;
    bool IsShort_ = false;
    RunOutcome EndsAs_ = RunOutcome::Done;
    TimePoint EndsAt_ = TimePoint::max();
  };
  struct Server {
    std::size_t Index_ = 0;
    std::string Id_;
    bool IsUp_ = true;
    bool IsWaiting_ = false; ///< For the answer to a report.
    TimePoint RestartsAt_ = TimePoint::max();
    TimePoint NextReport_{};
    TimePoint SentAt_{};
    TimePoint AnsweredAt_{};
    TimePoint LeaseEnd_{};
    std::uint64_t Sequence_ = 0;
    std::uint64_t LastEnd_ = 0;
    Resources Free_;
    Resources UsedByShortWork_;
    std::map<TaskKey, Run> Running_;
    std::map<TaskKey, std::uint64_t> HighestRunNumbers_;
    std::vector<EndedTask> Ended_;
  };
  /// A long-running task of a job that is not cancelled.
  struct LongRunningTask {
    StepSpec Spec_;
    bool IsRunning_ = false;
    TimePoint WaitingSince_{};
    TimePoint CountsFrom_{}; ///< Before, a wait beside room is in order.
    std::optional<TimePoint> LostAt_; ///< With a quarter of the servers.
    /// When its last run ended or was lost; nothing while it runs, or if it has
    /// never run.
    std::optional<TimePoint> DownSince_;
    int RoomLooks_ = 0; ///< With room for two, in a row.
    std::optional<TimePoint> RoomSince_;
    std::optional<TimePoint> ReclaimableSince_; ///< Room beside short work.
  };

  void runStep();
  void submit(const std::string &Job, const StepSpec &Spec);
  void submitLongRunningJob();
  void submitShortJobs();
  void cancelRandomJob();
  void failRandomTask();
  void look();
  void measureWait(const TaskKey &Task, LongRunningTask &Waiting);
  void begin(Server &Backend);
  void lose(Server &Backend);
  void updateLostPlacements();
  void countLongAbsences();
  void lookForTasksDownBesideRoom();
  bool hasRoomForTwo(const TaskKey &Task, const StepSpec &Spec) const;
  void loseEvery(std::size_t Divisor, std::size_t Remainder);
  static JobLeaderSettings makeSettings(const FullFleetScenario &Scenario) {
    JobLeaderSettings Settings;
    Settings.Shares_.IsEnabled_ = Scenario.AreSharesEnabled_;
    Settings.Shares_.YieldsWithoutBudget_ = Scenario.YieldsWithoutBudget_;
    return Settings;
  }
  void report(std::size_t Index);
  void handleAnswer(Server &Backend, const ServerOrders &Orders);
  void startRun(Server &Backend, const StartOrder &Start);
  void recordStart(const Server &Backend, const TaskKey &Task);
  void endRun(Server &Backend, const TaskKey &Task, RunOutcome How);
  void endDueRuns(Server &Backend);
  bool mayRun(const Server &Backend, const TaskKey &Task,
              const StepSpec &Spec) const;
  bool isInService(const Server &Backend) const;
  ServerFacts getFacts(const Server &Backend) const;
  std::string describe(const TaskKey &Task, const LongRunningTask &Waiting,
                       const std::string &Where) const;
  std::uint64_t drawBelow(std::uint64_t Limit) { return Random_() % Limit; }
  bool isDue(TimePoint &Next, Duration Interval) const;

  const FullFleetScenario Scenario_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  ManualExecutor Strand_{Time_};
  JobStateMachine Machine_;
  ManualReplica Group_{Machine_};
  NullAdvisor Advisor_;
  NullVmProvider Provider_;
  ManualRelays Relays_{Strand_};
  NoJobMeter Meter_;
  const JobLeaderSettings Settings_ = makeSettings(Scenario_);
  JobLeader Leader_{Settings_, Time_,     Strand_, Group_, Machine_,
                    Advisor_,  Provider_, Relays_, Log_,   Meter_};
  std::vector<Server> Servers_;
  std::map<TaskKey, LongRunningTask> LongRunning_;
  std::vector<std::string> LongRunningJobs_;
  std::map<std::string, TimePoint> LostLeaseEnds_; ///< By server id.
  std::set<std::string> FailingJobs_;
  std::size_t Jobs_ = 0;
  std::size_t Incarnations_ = 0;
  TimePoint BeganAt_{};
  TimePoint LossAt_ = TimePoint::max();
  /// Of every seventh server, and which one of each seven.
  TimePoint NextSmallLossAt_ = TimePoint::max();
  std::size_t SmallLosses_ = 0;
  TimePoint RackCrashAt_ = TimePoint::max();
  TimePoint NextCommit_{};
  TimePoint NextLook_{};
  TimePoint NextRoomLook_{};
  TimePoint NextShortJobs_{};
  TimePoint NextCancel_{};
  TimePoint NextFailure_{};
  TimePoint NextFailingJob_{};
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_FULLFLEET_H
