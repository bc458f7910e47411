//===- PlacementHistory.h - What ran on a server at an earlier time -*- C++
//-*-//
//
// Samples arrive late. To learn from one, it must be held against what ran
// when it was taken. A server keeps its present load per job class and a
// bounded list of changes; an earlier load is the present one with the later
// changes undone.
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

/// Position of a job class in the planner's tables.
using ClassIndex = std::uint32_t;

/// How much of a server the tasks of one class may use: their reserved
/// processors, times their throttle, as a part of the server's.
struct ClassLoad {
  ClassIndex Class_ = 0;
  double Load_ = 0;
  bool operator==(const ClassLoad &) const = default;
};

using ClassLoads = std::vector<ClassLoad>;

class PlacementHistory {
public:
  static constexpr std::size_t MaxChanges = 256;

  /// The load of Class changed by Delta at At. Changes that are told out of
  /// order count from the latest time told so far.
  void recordChange(ClassIndex Class, double Delta, TimePoint At);

  /// What ran at When; nullopt if the kept changes do not reach back so far.
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
