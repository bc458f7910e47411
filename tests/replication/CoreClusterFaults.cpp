//===- CoreClusterFaults.cpp - What goes wrong in a CoreCluster
//------------===//

#include "CoreCluster.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

void CoreCluster::injectRandomFaults() {
  constexpr Fault Kinds[] = {Fault::CrashAfter,  Fault::TornWrite,
                             Fault::Frozen,      Fault::CutOutgoing,
                             Fault::CutIncoming, Fault::CutBothWays,
                             Fault::Reordered,   Fault::Duplicated};
  Node &Which = std::next(Nodes_.begin(), pick(0, 3))->second;
  auto Kind = static_cast<std::size_t>(pick(0, std::size(Kinds) - 1));
  if (Which.Core_)
    injectFault(Which, Kinds[Kind]);
}

void CoreCluster::crash(Node &Which, bool LosesDisk) {
  Which.Core_.reset();
  Which.Writes_.clear();
  Which.Reads_.clear();
  Which.FrozenUntil_ = 0;
  Which.RestartAt_ = Now_ + pick(0, 4 * ElectionMs);
  if (!LosesDisk)
    return;
  Which.Disk_ = {};
  Which.Id_.Incarnation_ = ++NextIncarnation_;
}

bool CoreCluster::injectFaultBefore(Node &Which,
                                    const std::set<LogStep> &Steps) {
  for (PlannedFault &Each : Plan_) {
    bool IsDue = !Each.Done_ && !IsHealing_ && Steps.count(Each.Step_) != 0 &&
                 Now_ > 150;
    if (!IsDue || Each.Skip_-- > 0)
      continue;
    // Losing two disks at once is more than any quorum of three stands.
    if (Each.Fault_ == Fault::LostDisk && !isHealthy())
      continue;
    bool IsBefore =
        Each.Fault_ == Fault::CrashBefore || Each.Fault_ == Fault::LostDisk;
    if (!IsBefore)
      continue;
    Each.Done_ = true;
    crash(Which, Each.Fault_ == Fault::LostDisk);
    return true;
  }
  return false;
}

void CoreCluster::injectFaultAfter(Node &Which,
                                   const std::set<LogStep> &Steps) {
  for (PlannedFault &Each : Plan_) {
    bool IsDue = !Each.Done_ && !IsHealing_ && Steps.count(Each.Step_) != 0 &&
                 Each.Skip_ < 0 && Each.Fault_ != Fault::LostDisk &&
                 Each.Fault_ != Fault::CrashBefore;
    if (!IsDue || !Which.Core_)
      continue;
    Each.Done_ = true;
    injectFault(Which, Each.Fault_);
  }
}

void CoreCluster::injectFault(Node &Which, Fault What) {
  if (What == Fault::CrashAfter || What == Fault::TornWrite) {
    // After: all that was begun gets to the disk, and out. Torn: some of it
    // does, and nothing is said about it.
    auto Kept = static_cast<Millis>(Which.Writes_.size());
    if (What == Fault::TornWrite)
      Kept = pick(0, Kept);
    for (Millis Each = 0; Each < Kept; ++Each) {
      store(Which, Which.Writes_[static_cast<std::size_t>(Each)]);
      if (What == Fault::CrashAfter)
        for (const Message &Late :
             Which.Writes_[static_cast<std::size_t>(Each)].MessagesAfterSync_)
          send(Which, Late);
    }
    crash(Which, false);
    return;
  }
  if (What == Fault::Frozen) {
    Which.FrozenUntil_ = Now_ + pick(1, 6) * ElectionMs;
    return;
  }
  Which.Until_[What] = Now_ + pick(1, 5) * ElectionMs;
  Node &Other = std::next(Nodes_.begin(), pick(0, 3))->second;
  Which.CutFrom_ = pick(0, 1) == 0 ? "" : Other.Id_.Name_;
  if (What != Fault::DelayedPastElection)
    return;
  for (InFlight &Each : Network_)
    if (Each.Message_.From_ == Which.Id_)
      Each.DueAt_ += 5 * ElectionMs;
}

void CoreCluster::send(Node &Which, const Message &Each) {
  const Node &To = Nodes_.at(Each.To_.Name_);
  bool IsLost = InjectsRandomFaults_ && !IsHealing_ && pick(0, 19) == 0;
  if (IsLost || isCut(Which, To))
    return;
  auto AffectsLink = [&](Fault What) {
    return hasFault(Which, What) || hasFault(To, What);
  };
  Millis Delay = pick(0, MaxDelay_);
  if (AffectsLink(Fault::Reordered))
    Delay = pick(0, ElectionMs / 2);
  if (AffectsLink(Fault::DelayedPastElection))
    Delay += 5 * ElectionMs;
  Millis DueAt = Now_ + Delay;
  // Healed links are those of the programs: they keep the order.
  if (IsHealing_)
    for (const InFlight &Other : Network_)
      if (Other.Message_.From_ == Each.From_ && Other.Message_.To_ == Each.To_)
        DueAt = std::max(DueAt, Other.DueAt_);
  Network_.push_back({Each, DueAt});
  if (AffectsLink(Fault::Duplicated))
    Network_.push_back({Each, Now_ + pick(0, 6 * ElectionMs)});
}

bool CoreCluster::isCut(const Node &From, const Node &To) const {
  auto CutsOff = [&](const Node &Which, const Node &Other, Fault OneWay) {
    bool IsOn = hasFault(Which, OneWay) || hasFault(Which, Fault::CutBothWays);
    bool IsTargeted =
        Which.CutFrom_.empty() || Which.CutFrom_ == Other.Id_.Name_;
    return IsOn && IsTargeted;
  };
  return CutsOff(From, To, Fault::CutOutgoing) ||
         CutsOff(To, From, Fault::CutIncoming);
}

bool CoreCluster::hasFault(const Node &Which, Fault What) const {
  auto Found = Which.Until_.find(What);
  return Found != Which.Until_.end() && Now_ < Found->second;
}
