//===- AbsenceTracker.h - How long tasks that last do not run ---*- C++ -*-===//
//
// Long-running tasks whose run has ended and that are not placed again. Holds
// an entry for each such task only. Deterministic: reads no clock and does no
// I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_ABSENCETRACKER_H
#define TULIPWEIR_SRC_JOBS_ABSENCETRACKER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The time from the end of a run to the next placement of its task.
struct Absence {
  std::uint64_t Run_ = 0;
  std::string Server_;
  TimePoint LastSeen_{};   ///< When the run was reported last.
  TimePoint LeaseEnd_{};   ///< LastSeen_ if no lease had to expire.
  TimePoint WaitsSince_{}; ///< When the end of the run was committed.
  /// The run may have ended under an earlier leader, so the task may have been
  /// absent for longer.
  bool IsLowerBound_ = false;
  bool IsLogged_ = false; ///< As one that goes on.
  /// The task needed no placement when the absences were last checked.
  bool NeedsNone_ = false;

  Duration getLease() const { return LeaseEnd_ - LastSeen_; }
  Duration getRemoval() const { return WaitsSince_ - LeaseEnd_; }
  Duration getWait(TimePoint Now) const { return Now - WaitsSince_; }
  Duration getTotal(TimePoint Now) const { return Now - LastSeen_; }
};

/// Not thread-safe.
class AbsenceTracker {
public:
  /// An absence is long if it exceeds the longest lease.
  static constexpr Duration LongAbsence = std::chrono::seconds(6);

  // Commands.

  /// Restarts with the waiting tasks that have run before.
  void reset(const JobRegistry &Registry, TimePoint Now);
  /// Records the end of a run, unless the task is not long-running or needs no
  /// other placement.
  void begin(const JobRegistry &Registry, const TaskKey &Task,
             const Absence &Value);
  /// Returns the absence that the placement of the task ends.
  std::optional<Absence> end(const TaskKey &Task);
  /// Returns the absences that have become long, each once, and removes those
  /// of tasks that no longer wait.
  std::vector<std::pair<TaskKey, Absence>>
  collectLong(const JobRegistry &Registry, TimePoint Now);

private:
  std::map<TaskKey, Absence> Absences_;
};

/// Returns which part of the absence each of its causes took.
std::string toText(const Absence &Value, TimePoint Now);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ABSENCETRACKER_H
