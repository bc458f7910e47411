//===- IsolationPlanner.h - Where suspected tasks run alone ----*- C++ -*-===//
//
// Tasks under which servers crashed start one to a server, and nothing else
// starts there until the run has proved to be harmless: the next crash then
// tells the culprit from what ran beside it. The more crashes, the more the
// planner keeps such tasks from servers that others rely on. Deterministic: no
// clock, no I/O.
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

/// Not thread-safe.
class IsolationPlanner {
public:
  using MayRun = std::function<bool(const JobRecord &Job, const TaskKey &Task)>;

  // Commands.

  void reset();
  /// The suspected task that the server starts now, if any. May: whether other
  /// reasons speak against the task's start there.
  std::optional<TaskStart> plan(const JobRegistry &Book,
                                const LiveServerTable &Board,
                                const ServerRecord &Server, TimePoint Now,
                                const MayRun &May);
  /// Forgets tasks that no longer wait.
  void prune(const JobRegistry &Book);

  // Queries.

  /// Whether the task's next run is to be planned here. Tasks with one crash
  /// are not isolated while there are more of them than servers for that, and
  /// tasks that last wait only for a bounded time until their third crash.
  bool isIsolating(const TaskKey &Key, const TaskRecord &Task) const;

  /// Whether nothing else may start on the server: a suspected run there is
  /// not proved yet, or one is about to start.
  bool isClosed(const JobRegistry &Book, const LiveServerTable &Board,
                const ServerRecord &Server, TimePoint Now) const;

private:
  struct Reservation {
    TaskKey Task_;
    TimePoint Until_{};
  };
  /// Whether the task's last or next run starts without isolation.
  bool isReleased(const TaskKey &Key, const TaskRecord &Task) const;
  /// A server that reports, and what a start there depends on.
  struct Reporter {
    const JobRegistry &Book_;
    const LiveServerTable &Board_;
    const ServerRecord &Server_;
    TimePoint Now_;
    const MayRun &May_;
  };
  std::optional<TaskStart> planReserved(const Reporter &From);
  std::optional<TaskStart> findStart(const Reporter &From,
                                     const TaskKey &Key) const;
  void refresh(const JobRegistry &Book, const LiveServerTable &Board,
               TimePoint Now);
  void listStable(const JobRegistry &Book, const LiveServerTable &Board);
  bool isReservedElsewhere(const TaskKey &Task, const std::string &Id) const;
  bool isSuitable(const TaskKey &Task, const CrashRecords &Crashes,
                  const LiveServerTable &Board, const ServerRecord &Server,
                  TimePoint Now) const;
  static bool isQuiet(const LiveServerTable &Board, const ServerRecord &Server);

  // As of the last refresh, at RefreshedAt_.
  std::vector<TaskKey> Waiting_; ///< To be isolated; the most urgent first.
  std::size_t NextLook_ = 0;     ///< Where in Waiting_ the next report begins.
  bool IsCrowded_ = false;       ///< Too many tasks with one crash.
  std::size_t Isolated_ = 0;     ///< Runs that are not proved yet.
  std::set<std::string> Stable_; ///< Services with a server that is.
  TimePoint RefreshedAt_{};

  std::map<TaskKey, TimePoint>
      Since_; ///< When the task was first seen to wait.
              /// The run that starts without isolation, as the task has waited
              /// too long.
  std::map<TaskKey, std::uint64_t> Released_;
  std::map<std::string, Reservation> Reserved_; ///< By server.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ISOLATIONPLANNER_H
