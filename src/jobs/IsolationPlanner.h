//===- IsolationPlanner.h - Isolated runs of suspected tasks ---*- C++ -*-===//
//
// A task whose servers crashed is suspected. The planner starts one such task
// per server and lets nothing else start there until the run has proved
// harmless, so that the next crash tells the cause from its neighbours; until
// the third crash, long-running tasks that must not wait any longer may start
// beside a run that has settled. The more crashes a task has, the longer it is
// kept away from servers that other tasks depend on. Deterministic: reads no
// clock and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_ISOLATIONPLANNER_H
#define TULIPWEIR_SRC_JOBS_ISOLATIONPLANNER_H

#include "jobs/LiveServerTable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Plans the starts of suspected tasks. Not thread-safe.
class IsolationPlanner {
public:
  using MayRun = std::function<bool(const JobRecord &Job, const TaskKey &Task)>;
  /// What may start beside a suspected run: all, only long-running tasks that
  /// must not wait any longer, or nothing.
  enum class Closure : std::uint8_t { Open, OnlyAsLastResort, Closed };

  // Commands.

  /// Called when this member begins to lead. Keeps the waiting times that
  /// observe() noted.
  void reset();
  /// Notes since when suspected tasks have waited. Called periodically, also
  /// while another member leads.
  void observe(const JobRegistry &Registry, TimePoint Now);
  /// Returns the suspected task that the server starts now, if any. May tells
  /// whether other conditions allow the task's start there.
  std::optional<TaskStart> plan(const JobRegistry &Registry,
                                const LiveServerTable &LiveServers,
                                const ServerRecord &Server, TimePoint Now,
                                const MayRun &May);
  /// Removes the entries of tasks that no longer wait.
  void prune(const JobRegistry &Registry);

  // Queries.

  /// Returns whether the task's next run is planned by this class. A task with
  /// one crash is not isolated while there are more of them than servers for
  /// isolation; a long-running task waits for isolation for a bounded time
  /// only, until its third crash.
  bool isIsolating(const TaskKey &Key, const TaskRecord &Task) const;

  /// Returns what else may start on the server: not all, as long as a suspected
  /// run there is not proved yet or is about to start.
  Closure getClosure(const JobRegistry &Registry,
                     const LiveServerTable &LiveServers,
                     const ServerRecord &Server, TimePoint Now) const;
  /// Returns whether the server is not open to all.
  bool isClosed(const JobRegistry &Registry, const LiveServerTable &LiveServers,
                const ServerRecord &Server, TimePoint Now) const {
    return getClosure(Registry, LiveServers, Server, Now) != Closure::Open;
  }

private:
  struct Reservation {
    TaskKey Task_;
    TimePoint Until_{};
  };
  /// Returns whether the task's last or next run starts without isolation.
  bool isExempt(const TaskKey &Key, const TaskRecord &Task) const;
  /// The server that reports, and the inputs that a start there depends on.
  struct StartContext {
    const JobRegistry &Registry_;
    const LiveServerTable &LiveServers_;
    const ServerRecord &Server_;
    TimePoint Now_;
    const MayRun &MayRun_;
  };
  std::optional<TaskStart> planReserved(const StartContext &Context);
  std::optional<TaskStart> findStart(const StartContext &Context,
                                     const TaskKey &Key) const;
  void refresh(const JobRegistry &Registry, const LiveServerTable &LiveServers,
               TimePoint Now);
  void refreshStable(const JobRegistry &Registry,
                     const LiveServerTable &LiveServers);
  bool isReservedElsewhere(const TaskKey &Task, const std::string &Id) const;
  bool isSuitable(const TaskKey &Task, const CrashRecords &Crashes,
                  const LiveServerTable &LiveServers,
                  const ServerRecord &Server, TimePoint Now) const;
  static bool isSettled(const LiveServerTable &LiveServers,
                        const ServerRecord &Server);

  // State as of the last refresh, at RefreshedAt_.
  std::vector<TaskKey> Waiting_;   ///< The most urgent task first.
  std::size_t NextConsidered_ = 0; ///< Index in Waiting_ for the next report.
  bool HasTooManyFirstSuspects_ = false; ///< Too many to isolate each.
  std::size_t UnprovedRuns_ = 0; ///< Number of runs that are not proved yet.
  std::set<std::string> StableServices_; ///< With a stable server.
  TimePoint RefreshedAt_{};

  std::map<TaskKey, TimePoint> WaitingSince_; ///< When first seen waiting.
  /// The run of each task that starts without isolation, as the task waited too
  /// long.
  std::map<TaskKey, std::uint64_t> ExemptRuns_;
  std::map<std::string, Reservation> Reservations_; ///< By server id.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ISOLATIONPLANNER_H
