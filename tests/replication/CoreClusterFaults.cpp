//===- CoreClusterFaults.cpp - Faults of a CoreCluster --------------------===//

#include "CoreCluster.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

void CoreCluster::injectRandomFaults() {
  constexpr Fault Kinds[] = {Fault::CrashAfter,  Fault::TornWrite,
                             Fault::Frozen,      Fault::CutOutgoing,
                             Fault::CutIncoming, Fault::CutBothWays,
                             Fault::Reordered,   Fault::Duplicated};
  Node &Target = std::next(Nodes_.begin(), pick(0, 3))->second;
  auto Kind = static_cast<std::size_t>(pick(0, std::size(Kinds) - 1));
  if (Target.Core_)
    injectFault(Target, Kinds[Kind]);
}

void CoreCluster::crash(Node &Target, bool LosesDisk) {
  Target.Core_.reset();
  Target.Writes_.clear();
  Target.Reads_.clear();
  Target.FrozenUntil_ = 0;
  Target.RestartAt_ = Now_ + pick(0, 4 * ElectionMs);
  if (!LosesDisk)
    return;
  Target.Disk_ = {};
  Target.Id_.Incarnation_ = ++NextIncarnation_;
}

bool CoreCluster::injectFaultBefore(Node &Target,
                                    const std::set<LogStep> &Steps) {
  for (PlannedFault &Planned : Plan_) {
    bool IsDue = !Planned.Done_ && !IsHealing_ &&
                 Steps.count(Planned.Step_) != 0 && Now_ > 150;
    if (!IsDue || Planned.Skip_-- > 0)
      continue;
    // A quorum of three does not survive the loss of two disks at once.
    if (Planned.Fault_ == Fault::LostDisk && !isHealthy())
      continue;
    bool IsBefore = Planned.Fault_ == Fault::CrashBefore ||
                    Planned.Fault_ == Fault::LostDisk;
    if (!IsBefore)
      continue;
    Planned.Done_ = true;
    crash(Target, Planned.Fault_ == Fault::LostDisk);
    return true;
  }
  return false;
}

void CoreCluster::injectFaultAfter(Node &Target,
                                   const std::set<LogStep> &Steps) {
  for (PlannedFault &Planned : Plan_) {
    bool IsDue = !Planned.Done_ && !IsHealing_ &&
                 Steps.count(Planned.Step_) != 0 && Planned.Skip_ < 0 &&
                 Planned.Fault_ != Fault::LostDisk &&
                 Planned.Fault_ != Fault::CrashBefore;
    if (!IsDue || !Target.Core_)
      continue;
    Planned.Done_ = true;
    injectFault(Target, Planned.Fault_);
  }
}

void CoreCluster::injectFault(Node &Target, Fault What) {
  if (What == Fault::CrashAfter || What == Fault::TornWrite) {
    // CrashAfter completes all pending writes and sends their messages.
    // TornWrite completes some of the writes and sends nothing.
    auto Kept = static_cast<Millis>(Target.Writes_.size());
    if (What == Fault::TornWrite)
      Kept = pick(0, Kept);
    for (Millis I = 0; I < Kept; ++I) {
      store(Target, Target.Writes_[static_cast<std::size_t>(I)]);
      if (What == Fault::CrashAfter)
        for (const Message &Late :
             Target.Writes_[static_cast<std::size_t>(I)].MessagesAfterSync_)
          send(Target, Late);
    }
    crash(Target, false);
    return;
  }
  if (What == Fault::Frozen) {
    Target.FrozenUntil_ = Now_ + pick(1, 6) * ElectionMs;
    return;
  }
  Target.Until_[What] = Now_ + pick(1, 5) * ElectionMs;
  Node &Other = std::next(Nodes_.begin(), pick(0, 3))->second;
  Target.CutFrom_ = pick(0, 1) == 0 ? "" : Other.Id_.Name_;
  if (What != Fault::DelayedPastElection)
    return;
  for (InFlight &Packet : Network_)
    if (Packet.Message_.From_ == Target.Id_)
      Packet.DueAt_ += 5 * ElectionMs;
}

void CoreCluster::send(Node &Target, const Message &Msg) {
  const Node &To = Nodes_.at(Msg.To_.Name_);
  bool IsLost = InjectsRandomFaults_ && !IsHealing_ && pick(0, 19) == 0;
  if (IsLost || isCut(Target, To))
    return;
  auto AffectsLink = [&](Fault What) {
    return hasFault(Target, What) || hasFault(To, What);
  };
  Millis Delay = pick(0, MaxDelay_);
  if (AffectsLink(Fault::Reordered))
    Delay = pick(0, ElectionMs / 2);
  if (AffectsLink(Fault::DelayedPastElection))
    Delay += 5 * ElectionMs;
  Millis DueAt = Now_ + Delay;
  // Links preserve the message order after the faults are healed, as the real
  // transport does.
  if (IsHealing_)
    for (const InFlight &Other : Network_)
      if (Other.Message_.From_ == Msg.From_ && Other.Message_.To_ == Msg.To_)
        DueAt = std::max(DueAt, Other.DueAt_);
  Network_.push_back({Msg, DueAt});
  if (AffectsLink(Fault::Duplicated))
    Network_.push_back({Msg, Now_ + pick(0, 6 * ElectionMs)});
}

bool CoreCluster::isCut(const Node &From, const Node &To) const {
  auto CutsOff = [&](const Node &Target, const Node &Other, Fault OneWay) {
    bool IsOn =
        hasFault(Target, OneWay) || hasFault(Target, Fault::CutBothWays);
    bool IsTargeted =
        Target.CutFrom_.empty() || Target.CutFrom_ == Other.Id_.Name_;
    return IsOn && IsTargeted;
  };
  return CutsOff(From, To, Fault::CutOutgoing) ||
         CutsOff(To, From, Fault::CutIncoming);
}

bool CoreCluster::hasFault(const Node &Target, Fault What) const {
  auto Found = Target.Until_.find(What);
  return Found != Target.Until_.end() && Now_ < Found->second;
}
