#include "jobs/WavePlanner.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// VMs are down for some seconds, and each call costs: twice a second while
/// one is awaited is enough.
static constexpr Duration ListInterval = 500ms;
/// Work that can't be saved gets so long to end by itself: most tasks take 0.6
/// to 3 s.
static constexpr Duration EndingTime = 6s;
/// After an order that was refused for the moment, or not answered.
static constexpr Duration RetryPause = 500ms;
/// While some are down, so many times as many more are being emptied.
static constexpr std::uint64_t EmptiedAhead = 1;

void WaveKeeper::reset() { *this = WaveKeeper(); }

void WaveKeeper::noteList(const VmList &List, TimePoint AskedAt) {
  std::map<std::string, VmInfo> Vms;
  for (const VmInfo &Each : List.Vms_)
    Vms[Each.Vm_] = Each;
  // One that is missing from a list with rows that name nobody is still there
  // and not to be used.
  if (!List.IsWhole_)
    for (auto &[Vm, Before] : Vms_) {
      if (Before.State_ == VmState::Up)
        Before.State_ = VmState::Down;
      Vms.try_emplace(Vm, Before);
    }
  Vms_ = std::move(Vms);
  IsWhole_ = List.IsWhole_;
  HasList_ = true;
  ListedAt_ = AskedAt;
  for (auto &[Vm, Own] : Ordered_) {
    // A list that was asked for before the order says nothing of it.
    const bool IsLater = AskedAt > Own.At_;
    if (IsLater && isUp(Vm))
      Own.IsDown_ = false;
  }
}

/// Whether the VM is up, or no more: a whole list would name it.
bool WaveKeeper::isUp(const std::string &Vm) const {
  const auto Listed = Vms_.find(Vm);
  return Listed == Vms_.end() ? IsWhole_ : Listed->second.State_ == VmState::Up;
}

bool WaveKeeper::isListDue(const JobBook &Book, TimePoint Now) const {
  const bool AnyDown =
      std::any_of(Ordered_.begin(), Ordered_.end(),
                  [](const auto &Each) { return Each.second.IsDown_; });
  return (Book.waves().isAnyOpen() || AnyDown) &&
         (!HasList_ || Now - ListedAt_ >= ListInterval);
}

/// VMs of the wave that are down for it, or may be.
std::uint64_t WaveKeeper::countDown(const WaveRecord &Wave) const {
  std::uint64_t Count = 0;
  for (const std::string &Vm : Wave.Spec_.Vms_) {
    const auto Own = Ordered_.find(Vm);
    const auto Listed = Vms_.find(Vm);
    const bool IsOurs = Own != Ordered_.end() && Own->second.mayBeDown();
    // Also by an order of an earlier leader.
    const bool IsListed =
        Listed != Vms_.end() && Listed->second.State_ == VmState::Maintenance;
    if (IsOurs || IsListed)
      ++Count;
  }
  return Count;
}

/// Whether nothing of worth would be cut off there. Tasks that last go one at a
/// time, as their jobs allow, and are never cut off.
bool WaveKeeper::mayOrder(const JobBook &Book, const ServerRecord &Server,
                          TimePoint Now) const {
  if (Server.Placed_.empty())
    return true;
  const auto Since = Emptying_.find(Server.Facts_.Id_);
  if (Since == Emptying_.end() || Now - Since->second < EndingTime)
    return false;
  return std::none_of(Server.Placed_.begin(), Server.Placed_.end(),
                      [&Book](const auto &Each) {
                        return Book.findStep(Each.first)->LongRunning_;
                      });
}

std::optional<MaintenanceOrder> WaveKeeper::plan(const JobBook &Book,
                                                 TimePoint Now) {
  std::map<std::string, TimePoint> Emptying;
  std::optional<MaintenanceOrder> Next;
  // Without a list nobody knows which server is on which VM.
  if (!HasList_ || IsFenced_) {
    Emptying_.clear();
    return std::nullopt;
  }
  for (const auto &[Id, Wave] : Book.waves().waves()) {
    if (Wave.isCompleted())
      continue;
    const std::uint64_t Down = countDown(Wave);
    std::uint64_t Left = Wave.Spec_.MostAtOnce_ * (1 + EmptiedAhead);
    Left -= std::min(Left, Down);
    for (const std::string &Vm : Wave.Spec_.Vms_) {
      if (Left == 0)
        break;
      const auto Listed = Vms_.find(Vm);
      const auto Own = Ordered_.find(Vm);
      const bool IsUnclear = Own != Ordered_.end() && Own->second.IsUnclear_;
      const auto Wait = NotBefore_.find(Vm);
      const bool HasToWait = Wait != NotBefore_.end() && Now < Wait->second;
      if (Wave.hasBegun(Vm))
        continue;
      // A VM that is no more is asked about too: the answer settles it.
      const std::string Server =
          Listed == Vms_.end() ? "" : Listed->second.Server_;
      const ServerRecord *Record = Book.findServer(Server);
      if (!isUp(Vm) && !IsUnclear)
        continue;
      --Left;
      if (!Server.empty()) {
        const auto Before = Emptying_.find(Server);
        Emptying[Server] = Before == Emptying_.end() ? Now : Before->second;
      }
      // An order without a clear answer is sent again, and is counted already.
      const bool HasRoom = IsUnclear || Down < Wave.Spec_.MostAtOnce_;
      const bool IsReady = !Record || mayOrder(Book, *Record, Now);
      if (!Next && !HasToWait && HasRoom && (IsUnclear || IsReady))
        Next = MaintenanceOrder{Id, Vm, Server};
    }
  }
  Emptying_ = std::move(Emptying);
  return Next;
}

void WaveKeeper::noteOrdered(const MaintenanceOrder &Order, TimePoint Now) {
  Ordered &Own = Ordered_[Order.Vm_];
  Own.Wave_ = Order.Wave_;
  Own.At_ = Now;
  Own.IsInFlight_ = true;
}

bool WaveKeeper::noteReply(const MaintenanceOrder &Order,
                           const Outcome<MaintenanceReply> &Reply,
                           TimePoint Now) {
  Ordered &Own = Ordered_[Order.Vm_];
  NotBefore_[Order.Vm_] = Now + RetryPause;
  Own.IsInFlight_ = false;
  Own.At_ = Now;
  if (!Reply) {
    // Only these say that it was not carried out, and only of this order.
    const ErrorCode Why = Reply.error().Code_;
    if (Why != ErrorCode::Overfull && Why != ErrorCode::Unavailable)
      Own.IsUnclear_ = true;
    return false;
  }
  Own.IsUnclear_ = false;
  switch (Reply.value()) {
  case MaintenanceReply::Begun:
    Own.IsDown_ = true;
    Emptying_.erase(Order.Server_);
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
