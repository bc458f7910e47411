#include "jobs/WavePlanner.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// VMs are down for some seconds, and each call has a cost: two calls a second
/// while a VM is awaited are enough.
static constexpr Duration ListInterval = 500ms;
/// How long tasks without saved progress get to end by themselves: most take
/// 0.6 to 3 s.
static constexpr Duration MaxDrainTime = 6s;
/// Delay after an order that was refused for the moment, or not answered.
static constexpr Duration RetryDelay = 500ms;
/// A server that was drained in advance takes work again after this time if
/// its turn has not come: MaxDrainTime and some seconds, in which most VMs are
/// up again.
static constexpr Duration MaxTurnWait = 10s;
/// A VM that is listed as down, and not in maintenance, this long after its
/// order no longer counts: most VMs are up again after some seconds.
static constexpr Duration MaxReturnTime = 10s;
/// Nothing is drained or newly ordered by an older list; the provider is asked
/// for one each ListInterval.
static constexpr Duration MaxListAge = 5s;
/// While VMs are down, this many times as many servers are drained in advance.
static constexpr std::uint64_t DrainedAheadFactor = 1;

void WavePlanner::reset() { *this = WavePlanner(); }

void WavePlanner::updateVms(const VmList &List, TimePoint AskedAt) {
  std::map<std::string, VmInfo> Vms;
  for (const VmInfo &Info : List.Vms_)
    Vms[Info.Vm_] = Info;
  const std::map<std::string, VmInfo> Named = Vms;
  // If some rows of the list name no VM, a VM that is missing from the list may
  // still exist; it must not be counted as up.
  if (!List.IsComplete_)
    for (auto &[Vm, Info] : Vms_) {
      if (Info.State_ == VmState::Up)
        Info.State_ = VmState::Down;
      Vms.try_emplace(Vm, Info);
    }
  Vms_ = std::move(Vms);
  IsComplete_ = List.IsComplete_;
  HasList_ = true;
  ListedAt_ = AskedAt;
  for (auto &[Vm, State] : Orders_) {
    // A list that was requested before the order does not show its effect.
    const bool IsLater = AskedAt > State.At_;
    const auto Listed = Named.find(Vm);
    const bool IsGivenUp = Listed != Named.end() &&
                           Listed->second.State_ == VmState::Down &&
                           AskedAt - State.At_ >= MaxReturnTime;
    if (IsLater && (isUp(Vm) || IsGivenUp))
      State.IsDown_ = false;
  }
}

/// Returns whether the VM is up, or no longer exists: a complete list would
/// name it.
bool WavePlanner::isUp(const std::string &Vm) const {
  const auto Listed = Vms_.find(Vm);
  return Listed == Vms_.end() ? IsComplete_
                              : Listed->second.State_ == VmState::Up;
}

bool WavePlanner::isVmListRefreshDue(const JobRegistry &Registry,
                                     TimePoint Now) const {
  const bool AnyDown =
      std::any_of(Orders_.begin(), Orders_.end(),
                  [](const auto &Entry) { return Entry.second.IsDown_; });
  return (Registry.waves().hasOpenWave() || AnyDown) &&
         (!HasList_ || Now - ListedAt_ >= ListInterval);
}

/// Counts the wave's VMs that are or may be in maintenance.
std::uint64_t WavePlanner::countDown(const WaveRecord &Wave) const {
  std::uint64_t Count = 0;
  for (const std::string &Vm : Wave.Spec_.Vms_) {
    const auto State = Orders_.find(Vm);
    const auto Listed = Vms_.find(Vm);
    const bool IsOrdered = State != Orders_.end() && State->second.mayBeDown();
    // The list also shows VMs that an earlier leader ordered.
    const bool IsListed =
        Listed != Vms_.end() && Listed->second.State_ == VmState::Maintenance;
    if (IsOrdered || IsListed)
      ++Count;
  }
  return Count;
}

/// Returns whether maintenance would stop no task that still needs time.
/// Long-running tasks leave one at a time, as their jobs allow, and are never
/// stopped by maintenance.
bool WavePlanner::mayMaintain(const JobRegistry &Registry,
                              const ServerRecord &Server, TimePoint Now) const {
  if (Server.Placed_.empty())
    return true;
  const auto Since = DrainingSince_.find(Server.Facts_.Id_);
  if (Since == DrainingSince_.end() || Now - Since->second < MaxDrainTime)
    return false;
  return std::none_of(Server.Placed_.begin(), Server.Placed_.end(),
                      [&Registry](const auto &Entry) {
                        return Registry.findStep(Entry.first)->LongRunning_;
                      });
}

std::optional<MaintenanceOrder> WavePlanner::plan(const JobRegistry &Registry,
                                                  TimePoint Now) {
  std::map<std::string, TimePoint> Draining;
  std::set<std::string> Resting;
  std::optional<MaintenanceOrder> Next;
  // The VM whose order was answered the longest ago comes first, so that none
  // is starved.
  TimePoint NextSince = TimePoint::max();
  // Without a list the servers of the VMs are not known.
  if (!HasList_ || IsFenced_) {
    DrainingSince_.clear();
    return std::nullopt;
  }
  const bool IsListOld = Now - ListedAt_ > MaxListAge;
  for (const auto &[Id, Wave] : Registry.waves().waves()) {
    if (Wave.isCompleted())
      continue;
    const std::uint64_t Down = countDown(Wave);
    std::uint64_t Slots = Wave.Spec_.MaxConcurrent_ * (1 + DrainedAheadFactor);
    Slots -= std::min(Slots, Down);
    for (const std::string &Vm : Wave.Spec_.Vms_) {
      if (Wave.hasBegun(Vm))
        continue;
      const auto Listed = Vms_.find(Vm);
      const auto Known = Orders_.find(Vm);
      const OrderState State =
          Known == Orders_.end() ? OrderState() : Known->second;
      // An answer must speak of this wave's orders only.
      if (State.mayBeDown() && State.Wave_ != Id)
        continue;
      if (!State.IsUnclear_ && (!isUp(Vm) || IsListOld))
        continue;
      // Down includes the VM if it was ordered.
      if (!State.mayBeDown()) {
        if (Slots == 0)
          continue;
        --Slots;
      }
      // A VM that no longer exists is ordered too: the answer completes its
      // part of the wave.
      const std::string Server =
          Listed == Vms_.end() ? "" : Listed->second.Server_;
      const auto First = PlannedFor_.find({Id, Vm});
      const std::string Planned =
          First == PlannedFor_.end() ? Server : First->second;
      const bool IsTurn = State.mayBeDown() || Down < Wave.Spec_.MaxConcurrent_;
      // A server that came after the one of an unclear order takes work.
      const bool IsLater = State.IsUnclear_ && Server != Planned;
      if (!Server.empty() && !IsListOld && !IsLater) {
        const auto It = DrainingSince_.find(Server);
        const TimePoint Since = It == DrainingSince_.end() ? Now : It->second;
        const bool IsResting = !IsTurn && (Resting_.count(Server) != 0 ||
                                           Now - Since >= MaxTurnWait);
        if (IsResting)
          Resting.insert(Server);
        else
          Draining[Server] = Since;
      }
      const auto Retry = RetryAt_.find(Vm);
      if (State.IsInFlight_ || (Retry != RetryAt_.end() && Now < Retry->second))
        continue;
      const ServerRecord *Record = Registry.findServer(Server);
      const bool IsReady = !Record || mayMaintain(Registry, *Record, Now);
      // An order without a clear answer is sent again; its VM is already
      // counted.
      const bool MayOrder = State.IsUnclear_ || (IsTurn && IsReady);
      if (MayOrder && State.At_ < NextSince) {
        Next = MaintenanceOrder{Id, Vm, Planned};
        NextSince = State.At_;
      }
    }
  }
  DrainingSince_ = std::move(Draining);
  Resting_ = std::move(Resting);
  return Next;
}

void WavePlanner::recordOrder(const MaintenanceOrder &Order, TimePoint Now) {
  OrderState &State = Orders_[Order.Vm_];
  State.Wave_ = Order.Wave_;
  State.At_ = Now;
  State.IsInFlight_ = true;
}

bool WavePlanner::handleReply(const MaintenanceOrder &Order,
                              const Outcome<MaintenanceReply> &Reply,
                              TimePoint Now) {
  OrderState &State = Orders_[Order.Vm_];
  RetryAt_[Order.Vm_] = Now + RetryDelay;
  State.IsInFlight_ = false;
  State.At_ = Now;
  if (!Reply) {
    // Only these errors mean that the order was not carried out, and only this
    // order, not an earlier one.
    const ErrorCode Why = Reply.error().Code_;
    if (Why != ErrorCode::Overfull && Why != ErrorCode::Unavailable) {
      State.IsUnclear_ = true;
      PlannedFor_.try_emplace({Order.Wave_, Order.Vm_}, Order.Server_);
    }
    return false;
  }
  // After an unclear order a busy VM may be in maintenance: it counts until a
  // later list shows its state.
  if (State.IsUnclear_ && Reply.value() == MaintenanceReply::Busy)
    State.IsDown_ = true;
  State.IsUnclear_ = false;
  // The order is repeated if the beginning cannot be recorded.
  if (Reply.value() == MaintenanceReply::Begun)
    PlannedFor_.try_emplace({Order.Wave_, Order.Vm_}, Order.Server_);
  switch (Reply.value()) {
  case MaintenanceReply::Begun:
    State.IsDown_ = true;
    DrainingSince_.erase(Order.Server_);
    return true;
  case MaintenanceReply::Fenced:
    IsFenced_ = true;
    return false;
  case MaintenanceReply::Busy:
    return false;
  case MaintenanceReply::NotInWave:
  case MaintenanceReply::NoSuchVm:
    return true;
  }
  return false;
}
