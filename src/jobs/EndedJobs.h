//===- EndedJobs.h - When jobs ended ----------------------------*- C++ -*-===//
//
// Ended jobs stay visible for minutes, in which tens of thousands end. Only
// those that are due are visited. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_ENDEDJOBS_H
#define TULIPWEIR_SRC_JOBS_ENDEDJOBS_H

#include "tulipweir/core/Time.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe. Times never decrease.
class EndedJobs {
public:
  /// Records the end of a job; returns false if it was recorded before.
  bool record(const std::string &Id, TimePoint Now) {
    if (!Ids_.insert(Id).second)
      return false;
    ByTime_.emplace_back(Now, Id);
    return true;
  }
  /// Removes and returns the jobs that ended before the time.
  std::vector<std::string> takeBefore(TimePoint Time) {
    std::vector<std::string> Old;
    for (; !ByTime_.empty() && ByTime_.front().first < Time;
         ByTime_.pop_front()) {
      Ids_.erase(ByTime_.front().second);
      Old.push_back(std::move(ByTime_.front().second));
    }
    return Old;
  }
  void clear() {
    Ids_.clear();
    ByTime_.clear();
  }

private:
  std::unordered_set<std::string> Ids_;
  std::deque<std::pair<TimePoint, std::string>> ByTime_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ENDEDJOBS_H
