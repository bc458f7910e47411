#include "control/DecisionStream.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

/// Bits for the decisions of one term. With any realistic term, sequence
/// numbers stay below 2^53, up to which JSON readers keep integers exactly.
static constexpr unsigned TermShift = 32;

DecisionStream::DecisionStream(Executor &Timers, std::size_t Capacity)
    : Timers_(Timers), Capacity_(Capacity) {}

void DecisionStream::startTerm(std::uint64_t Term) {
  std::lock_guard Lock(Mutex_);
  LastSequence_ = std::max(LastSequence_, Term << TermShift);
}

void DecisionStream::append(decide::Decision NewDecision, WallTime At) {
  std::vector<std::pair<Reader, Batch>> Ready;
  {
    std::lock_guard Lock(Mutex_);
    Entries_.push_back({++LastSequence_, At, std::move(NewDecision)});
    if (Entries_.size() > Capacity_)
      Entries_.pop_front();
    for (auto &[Id, Waiting] : Waiters_)
      Ready.emplace_back(std::move(Waiting.Done_),
                         collect(Waiting.Sequence_, Waiting.Limit_));
    Waiters_.clear();
  }
  for (auto &[Done, Decisions] : Ready)
    Done(std::move(Decisions));
}

void DecisionStream::read(std::uint64_t Sequence, std::size_t Limit,
                          Duration Wait, Reader Done) {
  Batch Decisions;
  {
    std::lock_guard Lock(Mutex_);
    Decisions = collect(Sequence, Limit);
    if (Decisions.empty() && Wait > Duration::zero() && !Closed_) {
      const std::uint64_t Id = NextWaiter_++;
      Waiters_.emplace(Id, Waiter{Sequence, Limit, std::move(Done)});
      Timers_.postAfter(Wait, [this, Id] { expire(Id); });
      return;
    }
  }
  Done(std::move(Decisions));
}

void DecisionStream::close() {
  std::map<std::uint64_t, Waiter> Waiting;
  {
    std::lock_guard Lock(Mutex_);
    Closed_ = true;
    Waiting.swap(Waiters_);
  }
  for (auto &[Id, Entry] : Waiting)
    Entry.Done_({});
}

std::uint64_t DecisionStream::getLastSequence() const {
  std::lock_guard Lock(Mutex_);
  return LastSequence_;
}

DecisionStream::Batch DecisionStream::collect(std::uint64_t Sequence,
                                              std::size_t Limit) const {
  const auto First =
      std::upper_bound(Entries_.begin(), Entries_.end(), Sequence,
                       [](std::uint64_t Left, const StreamedDecision &Right) {
                         return Left < Right.Sequence_;
                       });
  const auto Remaining = static_cast<std::size_t>(Entries_.end() - First);
  const auto Count = static_cast<std::ptrdiff_t>(std::min(Limit, Remaining));
  return Batch(First, First + Count);
}

void DecisionStream::expire(std::uint64_t WaiterId) {
  Reader Done;
  {
    std::lock_guard Lock(Mutex_);
    const auto It = Waiters_.find(WaiterId);
    if (It == Waiters_.end())
      return;
    Done = std::move(It->second.Done_);
    Waiters_.erase(It);
  }
  Done({});
}
