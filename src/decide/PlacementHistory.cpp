//===- PlacementHistory.cpp - What ran on a server earlier --------------===//

#include "decide/PlacementHistory.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Loads smaller than this are rounding errors of a sum that is zero.
static constexpr double NoLoad = 1e-9;

static void addLoad(ClassLoads &Loads, ClassIndex Class, double Delta) {
  const auto Found =
      std::find_if(Loads.begin(), Loads.end(), [&](const ClassLoad &Value) {
        return Value.Class_ == Class;
      });
  if (Found == Loads.end()) {
    if (Delta > NoLoad)
      Loads.push_back({Class, Delta});
    return;
  }
  Found->Load_ += Delta;
  if (Found->Load_ > NoLoad)
    return;
  *Found = Loads.back();
  Loads.pop_back();
}

void PlacementHistory::change(ClassIndex Class, double Delta, TimePoint At) {
  if (!Changes_.empty())
    At = std::max(At, Changes_.back().At_);
  addLoad(Now_, Class, Delta);
  Changes_.push_back({At, Class, Delta});
  if (Changes_.size() <= MaxChanges)
    return;
  ForgottenUntil_ = Changes_.front().At_;
  Changes_.pop_front();
}

std::optional<ClassLoads> PlacementHistory::loadsAt(TimePoint When) const {
  if (ForgottenUntil_ && When < *ForgottenUntil_)
    return std::nullopt;
  ClassLoads Loads = Now_;
  for (auto It = Changes_.rbegin(); It != Changes_.rend(); ++It) {
    if (It->At_ <= When)
      break;
    addLoad(Loads, It->Class_, -It->Delta_);
  }
  return Loads;
}
