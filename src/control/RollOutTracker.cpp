#include "control/RollOutTracker.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

void RollOutTracker::recordAccepted(BundleVersion Version,
                                    std::uint64_t AcceptedWallMs) {
  const std::lock_guard Lock(Mutex_);
  if (Version <= Accepted_)
    return;
  Accepted_ = Version;
  AcceptedWallMs_ = AcceptedWallMs;
}

void RollOutTracker::recordEntry(const EntryId &Entry,
                                 std::uint64_t Incarnation,
                                 BundleVersion Held) {
  const std::lock_guard Lock(Mutex_);
  Entries_[Entry] = Report{Incarnation, Held, Time_.now()};
  checkComplete();
}

void RollOutTracker::removeEntry(const EntryId &Entry) {
  const std::lock_guard Lock(Mutex_);
  if (Entries_.erase(Entry) > 0)
    checkComplete();
}

void RollOutTracker::clear() {
  const std::lock_guard Lock(Mutex_);
  Entries_.clear();
}

std::vector<EntryVersion> RollOutTracker::listEntries() const {
  const std::lock_guard Lock(Mutex_);
  const TimePoint Now = Time_.now();
  std::vector<EntryVersion> Result;
  for (const auto &[Entry, Latest] : Entries_) {
    const auto Age =
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - Latest.At_);
    Result.push_back({Entry, Latest.Incarnation_, Latest.Held_,
                      static_cast<std::uint64_t>(Age.count())});
  }
  return Result;
}

RollOut RollOutTracker::getLast() const {
  const std::lock_guard Lock(Mutex_);
  return Last_;
}

void RollOutTracker::checkComplete() {
  if (Last_.Version_ >= Accepted_ || Entries_.empty())
    return;
  for (const auto &[Entry, Latest] : Entries_)
    if (Latest.Held_ < Accepted_)
      return;
  const auto Wall = static_cast<std::uint64_t>(Time_.wallNow().count());
  Last_ = RollOut{Accepted_, Wall - std::min(Wall, AcceptedWallMs_)};
}
