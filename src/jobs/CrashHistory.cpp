#include "jobs/CrashHistory.h"

#include <algorithm>
#include <chrono>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Crashes that are remembered.
static constexpr std::size_t MostRecent = 1024;
/// Servers that crash together are last heard within one report interval.
static constexpr Duration SameMoment = 750ms;
/// A server that reports is heard more often.
static constexpr Duration SilentAfter = 1500ms;
/// Servers that go at one moment are many from this number on, and from this
/// part of all servers on, in percent.
static constexpr std::size_t LeastOfMany = 3;
static constexpr std::size_t PercentOfMany = 6;
static constexpr std::size_t Percent = 100;

static bool isSameMoment(TimePoint Left, TimePoint Right) {
  return std::chrono::abs(Left - Right) <= SameMoment;
}

void CrashHistory::note(TimePoint LastHeard) {
  LastHeard_.push_back(LastHeard);
  if (LastHeard_.size() > MostRecent)
    LastHeard_.pop_front();
}

bool CrashHistory::isAmongMany(const LiveServerTable &Board,
                               const std::string &Server, TimePoint Now) const {
  const LiveServer *Own = Board.find(Server);
  if (!Own)
    return false;
  const auto IsTogether = [Own](TimePoint Each) {
    return isSameMoment(Each, Own->LastHeard_);
  };
  auto Count = static_cast<std::size_t>(
      std::count_if(LastHeard_.begin(), LastHeard_.end(), IsTogether));
  for (const auto &[Id, Live] : Board.servers())
    if (Id != Server && Now - Live.LastHeard_ >= SilentAfter &&
        IsTogether(Live.LastHeard_))
      ++Count;
  return Count >= std::max(LeastOfMany,
                           Board.servers().size() * PercentOfMany / Percent);
}
