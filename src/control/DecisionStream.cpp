#include "control/DecisionStream.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

/// Decisions of one term; the product with any term we reach stays under 2^53,
/// the largest whole number that JSON readers keep exactly.
static constexpr unsigned TermShift = 32;

DecisionStream::DecisionStream(Executor &Timers, std::size_t Capacity)
    : Timers_(Timers), Capacity_(Capacity) {}

void DecisionStream::beginTerm(std::uint64_t Term) {
  std::lock_guard Lock(Mutex_);
  Last_ = std::max(Last_, Term << TermShift);
}

void DecisionStream::append(decide::Decision Value, WallTime At) {
  std::vector<std::pair<Reader, Batch>> Ready;
  {
    std::lock_guard Lock(Mutex_);
    Entries_.push_back({++Last_, At, std::move(Value)});
    if (Entries_.size() > Capacity_)
      Entries_.pop_front();
    for (auto &[Id, Waiting] : Waiters_)
      Ready.emplace_back(std::move(Waiting.Done_),
                         collect(Waiting.Sequence_, Waiting.Limit_));
    Waiters_.clear();
  }
  for (auto &[Done, Found] : Ready)
    Done(std::move(Found));
}

void DecisionStream::read(std::uint64_t Sequence, std::size_t Limit,
                          Duration Wait, Reader Done) {
  Batch Found;
  {
    std::lock_guard Lock(Mutex_);
    Found = collect(Sequence, Limit);
    if (Found.empty() && Wait > Duration::zero() && !Closed_) {
      const std::uint64_t Id = NextWaiter_++;
      Waiters_.emplace(Id, Waiter{Sequence, Limit, std::move(Done)});
      Timers_.postAfter(Wait, [this, Id] { expire(Id); });
      return;
    }
  }
  Done(std::move(Found));
}

void DecisionStream::close() {
  std::map<std::uint64_t, Waiter> Waiting;
  {
    std::lock_guard Lock(Mutex_);
    Closed_ = true;
    Waiting.swap(Waiters_);
  }
  for (auto &[Id, One] : Waiting)
    One.Done_({});
}

std::uint64_t DecisionStream::getLastSequence() const {
  std::lock_guard Lock(Mutex_);
  return Last_;
}

DecisionStream::Batch DecisionStream::collect(std::uint64_t Sequence,
                                              std::size_t Limit) const {
  const auto First =
      std::upper_bound(Entries_.begin(), Entries_.end(), Sequence,
                       [](std::uint64_t Left, const StreamedDecision &Right) {
                         return Left < Right.Sequence_;
                       });
  const auto Left = static_cast<std::size_t>(Entries_.end() - First);
  const auto Count = static_cast<std::ptrdiff_t>(std::min(Limit, Left));
  return Batch(First, First + Count);
}

void DecisionStream::expire(std::uint64_t WaiterId) {
  Reader Done;
  {
    std::lock_guard Lock(Mutex_);
    const auto Found = Waiters_.find(WaiterId);
    if (Found == Waiters_.end())
      return;
    Done = std::move(Found->second.Done_);
    Waiters_.erase(Found);
  }
  Done({});
}
