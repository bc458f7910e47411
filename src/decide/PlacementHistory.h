//===- PlacementHistory.h - Past load of a server --------------*- C++ -*-===//
//
// Samples arrive late, so each must be compared with the tasks that ran when
// it was taken. The history of a server holds its current load per job class
// and a bounded list of changes; an earlier load is the current one with the
// later changes undone.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_PLACEMENTHISTORY_H
#define TULIPWEIR_SRC_DECIDE_PLACEMENTHISTORY_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tulipweir::decide {

/// Index of a job class in the planner's tables.
using ClassIndex = std::uint32_t;

/// The load of one job class on a server: the reserved processors of its tasks,
/// times their throttle, relative to the server's processors.
struct ClassLoad {
  ClassIndex Class_ = 0;
  double Load_ = 0;
  bool operator==(const ClassLoad &) const = default;
};

using ClassLoads = std::vector<ClassLoad>;

class PlacementHistory {
public:
  static constexpr std::size_t MaxChanges = 256;

  /// Records that the load of Class changed by Delta at At. A change that
  /// arrives out of order counts from the latest time recorded so far.
  void recordChange(ClassIndex Class, double Delta, TimePoint At);

  /// Returns the loads at When; nullopt if the kept changes do not reach back
  /// to it.
  std::optional<ClassLoads> getLoadsAt(TimePoint When) const;
  const ClassLoads &currentLoads() const { return CurrentLoads_; }

private:
  struct Change {
    TimePoint At_;
    ClassIndex Class_;
    double Delta_;
  };

  ClassLoads CurrentLoads_;
  std::deque<Change> Changes_;
  std::optional<TimePoint> DroppedUntil_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PLACEMENTHISTORY_H
