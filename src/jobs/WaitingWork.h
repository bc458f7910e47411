//===- WaitingWork.h - Waiting work by the time it is due -------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_WAITINGWORK_H
#define TULIPWEIR_SRC_JOBS_WAITINGWORK_H

#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Time.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// The waiting work of one class and priority. Filled once, then queried.
class WaitingWork {
public:
  // Commands.

  /// Adds processor seconds that callers need by Limit.
  void add(TimePoint Limit, double Work) { Due_.emplace_back(Limit, Work); }
  /// Adds the smallest task of a job that finds no room.
  void addBlocked(const Resources &Task) { Blocked_.push_back(Task); }
  /// Called once, after the last add and before the first query.
  void finish();

  // Queries.

  /// Returns the processor seconds that are needed by Limit.
  double sumUntil(TimePoint Limit) const;
  double sum() const { return Due_.empty() ? 0 : Due_.back().second; }
  /// Returns how many jobs find no room for a task that fits into Largest.
  std::size_t countBlocked(const Resources &Largest) const;
  std::size_t countBlocked() const { return Blocked_.size(); }
  bool isEmpty() const { return Due_.empty(); }

private:
  /// Work by the time at which it is needed; once finished, sums over all that
  /// is needed no later.
  std::vector<std::pair<TimePoint, double>> Due_;
  std::vector<Resources> Blocked_; ///< Once finished, the smallest first.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_WAITINGWORK_H
