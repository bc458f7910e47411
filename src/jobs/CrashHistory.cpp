#include "jobs/CrashHistory.h"

#include <algorithm>
#include <chrono>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Number of crashes that are kept.
static constexpr std::size_t MaxCrashes = 1024;
/// Servers that crash together are last heard from within one report interval
/// of each other.
static constexpr Duration CorrelationWindow = 750ms;
/// Simultaneous crashes are correlated from this number on, and from this
/// percentage of all servers on.
static constexpr std::size_t MinCorrelated = 3;
static constexpr std::size_t MinCorrelatedPercent = 6;
static constexpr std::size_t Percent = 100;

static bool areCorrelated(TimePoint Left, TimePoint Right) {
  return std::chrono::abs(Left - Right) <= CorrelationWindow;
}

void CrashHistory::recordCrash(TimePoint LastHeard) {
  LastHeardTimes_.push_back(LastHeard);
  if (LastHeardTimes_.size() > MaxCrashes)
    LastHeardTimes_.pop_front();
}

bool CrashHistory::isCorrelated(const LiveServerTable &LiveServers,
                                const std::string &Server, TimePoint Now,
                                Duration MinSilence) const {
  const LiveServer *Target = LiveServers.find(Server);
  if (!Target)
    return false;
  const auto IsSameEvent = [Target](TimePoint Time) {
    return areCorrelated(Time, Target->LastHeard_);
  };
  auto Count = static_cast<std::size_t>(std::count_if(
      LastHeardTimes_.begin(), LastHeardTimes_.end(), IsSameEvent));
  for (const auto &[Id, Live] : LiveServers.servers())
    if (Id != Server && Now - Live.LastHeard_ >= MinSilence &&
        IsSameEvent(Live.LastHeard_))
      ++Count;
  return Count >= std::max(MinCorrelated, LiveServers.servers().size() *
                                              MinCorrelatedPercent / Percent);
}
