//===- PlacementHistory.cpp - Past load of a server ----------------------===//

#include "decide/PlacementHistory.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Smaller loads are rounding errors of a sum that is zero.
static constexpr double LoadEpsilon = 1e-9;

static void addLoad(ClassLoads &Loads, ClassIndex Class, double Delta) {
  const auto It =
      std::find_if(Loads.begin(), Loads.end(),
                   [&](const ClassLoad &Load) { return Load.Class_ == Class; });
  if (It == Loads.end()) {
    if (Delta > LoadEpsilon)
      Loads.push_back({Class, Delta});
    return;
  }
  It->Load_ += Delta;
  if (It->Load_ > LoadEpsilon)
    return;
  *It = Loads.back();
  Loads.pop_back();
}

void PlacementHistory::recordChange(ClassIndex Class, double Delta,
                                    TimePoint At) {
  if (!Changes_.empty())
    At = std::max(At, Changes_.back().At_);
  addLoad(CurrentLoads_, Class, Delta);
  Changes_.push_back({At, Class, Delta});
  if (Changes_.size() <= MaxChanges)
    return;
  DroppedUntil_ = Changes_.front().At_;
  Changes_.pop_front();
}

std::optional<ClassLoads> PlacementHistory::getLoadsAt(TimePoint When) const {
  if (DroppedUntil_ && When < *DroppedUntil_)
    return std::nullopt;
  ClassLoads Loads = CurrentLoads_;
  for (auto It = Changes_.rbegin(); It != Changes_.rend(); ++It) {
    if (It->At_ <= When)
      break;
    addLoad(Loads, It->Class_, -It->Delta_);
  }
  return Loads;
}
