//===- CrashFleet.h - Servers that crash, and tasks that make them --------===//
//
// A real leader and servers that keep to the platform's protocol, under one
// manual clock. Some tasks crash every server that starts them; some servers
// crash by themselves, alone, at one moment or again and again, or are cut off
// and live on. The fleet judges what the leader may do to either. The same day
// gives the same events.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBS_CRASHFLEET_H
#define TULIPWEIR_TESTS_JOBS_CRASHFLEET_H

#include "jobs/LeaderFixture.h"

#include <random>
#include <set>

namespace tulipweir::jobs::test {

struct CrashDay {
  std::uint64_t Seed_ = 1;
  std::size_t Servers_ = 24;
  /// From a crash to the first report of the next incarnation.
  Duration BackAfter_ = std::chrono::seconds(3);
  bool AreBack_ = true; ///< Else a crashed server never comes back.
  /// From the start of a task that crashes its server to the crash.
  Duration CrashAfter_ = std::chrono::milliseconds(10);
  Duration LeaderLasts_{};       ///< Zero: one leader all the time.
  Duration MassCrashInterval_{}; ///< Of a fifth of the servers; zero: none.
  Duration CutInterval_{};       ///< Of one server; zero: none.
  std::size_t Unstable_ = 0;     ///< Servers that crash each few seconds.
  Duration JobInterval_ = std::chrono::milliseconds(500); ///< Of sound jobs.
  Duration SoundJobsUntil_ = std::chrono::seconds(40);
};

class CrashFleet {
public:
  explicit CrashFleet(const CrashDay &Day);

  /// Hands in a job whose tasks in Culprits, by step and index, crash each
  /// server that starts them.
  void
  submit(const std::string &Job, const std::vector<StepSpec> &Steps,
         const std::set<std::pair<std::uint64_t, std::uint64_t>> &Culprits);
  void run(Duration Length);
  /// Crashes the first servers of the fleet at one moment.
  void crashFirst(std::size_t Count);

  // What was seen.

  JobState getState(const std::string &Job) const;
  /// Sound jobs, finite ones, that are not completed.
  std::vector<std::string> listUnfinished() const;
  std::size_t countCrashes(const std::string &Job) const;
  /// From the crash of its server to the next run of a sound task that lasts,
  /// the longest; open ones until now.
  Duration getLongestOutage() const;

  std::vector<std::string> Broken_; ///< Promises, in words.
  std::size_t Done_ = 0;            ///< Runs of sound tasks.
  std::size_t Crashes_ = 0;         ///< Of servers.
  std::size_t SoundCrashed_ = 0;    ///< Runs of sound tasks lost in these.
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
    std::string Id_;
    bool IsUp_ = true;
    TimePoint BackAt_{};
    TimePoint CutUntil_{};
    TimePoint CrashesAt_ = TimePoint::max();
    TimePoint NextReport_{};
    TimePoint LeaseEnd_{};
    std::uint64_t Sequence_ = 0;
    std::uint64_t LastEnd_ = 0;
    std::map<TaskKey, Run> Running_;
    std::map<TaskKey, std::uint64_t> Highest_;
    std::vector<EndedTask> Ended_;
  };
  struct TaskStory {
    std::size_t Crashes_ = 0;            ///< Of servers that ran it.
    std::size_t StartsAfterThird_ = 0;   ///< Of these crashes.
    std::optional<TimePoint> DownSince_; ///< Of a task that lasts.
  };

  void step();
  void submitOpen();
  void changeLeader();
  void submitSound();
  void crash(Server &Own);
  void comeBack(Server &Own);
  std::uint64_t getPercent(const Run &Its) const;
  void report(Server &Own);
  void take(Server &Own, const ServerOrders &Orders);
  void begin(Server &Own, const StartOrder &Start);
  void work(Server &Own);
  bool isCulprit(const TaskKey &Task) const;
  bool isLasting(const TaskKey &Task) const;
  std::uint64_t draw(std::uint64_t Below) { return Random_() % Below; }

  const CrashDay Day_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  ManualExecutor Strand_{Time_};
  JobMachine Machine_;
  ManualReplica Group_{Machine_};
  ManualAdvisor Advisor_;
  ManualVmProvider Provider_;
  ManualRelays Relays_{Strand_};
  NoJobMeter Meter_;
  JobLeaderSettings Settings_;
  JobLeader Leader_{Settings_, Time_,     Strand_, Group_, Machine_,
                    Advisor_,  Provider_, Relays_, Log_,   Meter_};
  std::vector<Server> Servers_;
  std::map<TaskKey, TaskStory> Stories_;
  Duration LongestOutage_{}; ///< Of those that are over.
  std::map<std::string, std::set<std::pair<std::uint64_t, std::uint64_t>>>
      Culprits_;                                      ///< By job.
  std::map<std::string, std::vector<StepSpec>> Open_; ///< Not accepted yet.
  std::set<std::string> Finite_; ///< Sound jobs that end by themselves.
  std::size_t SoundJobs_ = 0;
  std::uint64_t Incarnations_ = 0;
  TimePoint Begin_{};
  TimePoint NextJob_{};
  TimePoint NextLeader_ = TimePoint::max();
  TimePoint NextMass_ = TimePoint::max();
  TimePoint NextCut_ = TimePoint::max();
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_CRASHFLEET_H
