//===- CrashSimulator.h - Simulated servers that crash ---------*- C++ -*-===//
//
// Runs a real leader and simulated servers that follow the platform's protocol
// under one manual clock. Some tasks crash every server that starts them. Some
// servers crash on their own, alone, together or repeatedly, or are
// partitioned and keep running. The simulator checks how the leader treats the
// tasks. Equal scenarios give equal events.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBS_CRASHSIMULATOR_H
#define TULIPWEIR_TESTS_JOBS_CRASHSIMULATOR_H

#include "jobs/LeaderFixture.h"

#include <random>
#include <set>

namespace tulipweir::jobs::test {

struct CrashScenario {
  std::uint64_t Seed_ = 1;
  std::size_t Servers_ = 24;
  /// From a crash to the first report of the next incarnation.
  Duration RestartDelay_ = std::chrono::seconds(3);
  bool RestartsServers_ = true; ///< Otherwise crashed servers stay down.
  bool KeepsIds_ = false;       ///< Servers start again under their ids.
  /// How long relays take to flush.
  Duration FlushDelay_ = std::chrono::milliseconds(450);
  /// From the start of a crashing task to the crash of its server.
  Duration CrashDelay_ = std::chrono::milliseconds(10);
  Duration LeaderInterval_{}; ///< Zero: the leader never changes.
  /// Interval between crashes of a fifth of the servers; zero: none.
  Duration MassCrashInterval_{};
  Duration PartitionInterval_{}; ///< Partitions one server; zero: never.
  std::size_t UnstableServers_ =
      0; ///< Servers that crash every few seconds.
         /// Time between submissions of healthy jobs.
  Duration JobInterval_ = std::chrono::milliseconds(500);
  /// How long healthy jobs are submitted.
  Duration HealthyJobsFor_ = std::chrono::seconds(40);
};

class CrashSimulator {
public:
  explicit CrashSimulator(const CrashScenario &Scenario);

  /// Submits a job. The tasks in CrashingTasks, by step and index, crash each
  /// server that starts them.
  void submit(
      const std::string &Job, const std::vector<StepSpec> &Steps,
      const std::set<std::pair<std::uint64_t, std::uint64_t>> &CrashingTasks);
  void run(Duration Length);
  /// Crashes the first servers of the fleet at the same time.
  void crashFirst(std::size_t Count);

  // Results.

  JobState getState(const std::string &Job) const;
  /// Returns the healthy finite jobs that are not completed.
  std::vector<std::string> listUnfinished() const;
  std::size_t countCrashes(const std::string &Job) const;
  /// Returns the longest time from a crash under a healthy long-running task to
  /// the task's next run. Outages in progress count up to now.
  Duration getLongestOutage() const;

  std::vector<std::string> Violations_; ///< Descriptions of broken guarantees.
  std::size_t RunsDone_ = 0;            ///< Completed runs of healthy tasks.
  std::size_t Crashes_ = 0;             ///< Server crashes.
  std::size_t HealthyRunsCrashed_ = 0;  ///< Healthy runs lost in crashes.
  RecordingEventLog Log_;

private:
  static constexpr Duration Step = std::chrono::milliseconds(10);

  struct Run {
    std::uint64_t Number_ = 0;
    TimePoint StartedAt_{};
    TimePoint EndsAt_ = TimePoint::max();
    TimePoint CrashesAt_ = TimePoint::max();
  };
  struct Server {
    std::string Address_;
    TimePoint StartedAt_{};
    std::string Id_;
    bool IsUp_ = true;
    TimePoint RestartsAt_{};
    TimePoint PartitionedUntil_{};
    TimePoint CrashesAt_ = TimePoint::max();
    TimePoint NextReport_{};
    TimePoint LeaseEnd_{};
    std::uint64_t Sequence_ = 0;
    std::uint64_t LastEnd_ = 0;
    std::map<TaskKey, Run> Running_;
    std::map<TaskKey, std::uint64_t> HighestRunNumbers_;
    std::vector<EndedTask> Ended_;
  };
  struct TaskHistory {
    std::size_t Crashes_ = 0;               ///< Of servers that ran the task.
    std::size_t StartsAfterThirdCrash_ = 0; ///< Starts after the third crash.
    std::optional<TimePoint> DownSince_;    ///< Long-running tasks only.
  };

  void runStep();
  void submitPendingJobs();
  void changeLeader();
  void submitHealthyJob();
  void crash(Server &Backend);
  void restartServer(Server &Backend);
  std::uint64_t getPercent(const Run &Active) const;
  void report(Server &Backend);
  void applyOrders(Server &Backend, const ServerOrders &Orders);
  void startRun(Server &Backend, const StartOrder &Start);
  void updateRuns(Server &Backend);
  bool isCrashingTask(const TaskKey &Task) const;
  bool isLongRunning(const TaskKey &Task) const;
  std::uint64_t draw(std::uint64_t Below) { return Random_() % Below; }

  const CrashScenario Scenario_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  ManualExecutor Strand_{Time_};
  JobStateMachine Machine_;
  ManualReplica Group_{Machine_};
  ManualAdvisor Advisor_;
  ManualVmProvider Provider_;
  ManualRelays Relays_{Strand_};
  NoJobMeter Meter_;
  JobLeaderSettings Settings_;
  JobLeader Leader_{Settings_, Time_,     Strand_, Group_, Machine_,
                    Advisor_,  Provider_, Relays_, Log_,   Meter_};
  std::vector<Server> Servers_;
  std::map<TaskKey, TaskHistory> Histories_;
  Duration LongestOutage_{}; ///< Of the outages that have ended.
  std::map<std::string, std::set<std::pair<std::uint64_t, std::uint64_t>>>
      CrashingTasks_; ///< By job.
  /// Submitted jobs that are not yet accepted.
  std::map<std::string, std::vector<StepSpec>> PendingJobs_;
  std::set<std::string> Finite_; ///< Healthy jobs that end by themselves.
  std::size_t HealthyJobs_ = 0;
  std::uint64_t Incarnations_ = 0;
  TimePoint BeganAt_{};
  TimePoint NextJob_{};
  TimePoint NextLeader_ = TimePoint::max();
  TimePoint NextMassCrash_ = TimePoint::max();
  TimePoint NextPartition_ = TimePoint::max();
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_CRASHSIMULATOR_H
