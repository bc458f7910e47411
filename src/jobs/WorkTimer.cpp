#include "jobs/WorkTimer.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::int64_t Percent = 100;

WorkTimer::Times WorkTimer::take() {
  begin(Current_);
  Times Taken = std::exchange(Times_, {});
  Taken.at(static_cast<std::size_t>(LeaderWork::Idle)) = Duration(0);
  return Taken;
}

LeaderWork WorkTimer::begin(LeaderWork Work) {
  const TimePoint Now = Time_.now();
  Times_.at(static_cast<std::size_t>(Current_)) +=
      Now - std::exchange(Since_, Now);
  return std::exchange(Current_, Work);
}

std::string jobs::toText(const WorkTimer::Times &Times, Duration Elapsed) {
  std::vector<std::pair<std::int64_t, std::size_t>> Shares;
  for (std::size_t Kind = 0; Kind < Times.size(); ++Kind)
    if (const std::int64_t Share =
            Times.at(Kind) * Percent / std::max<Duration>(Elapsed, Duration(1));
        Share > 0)
      Shares.emplace_back(Share, Kind);
  std::stable_sort(
      Shares.begin(), Shares.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::string Text;
  for (const auto &[Share, Kind] : Shares)
    Text.append(Text.empty() ? "" : ", ")
        .append(getName(static_cast<LeaderWork>(Kind)))
        .append(" ")
        .append(std::to_string(Share))
        .append("%");
  return Text;
}
