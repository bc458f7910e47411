#include "jobs/WaitingWork.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Enough to find some that are no larger than a given task.
static constexpr std::size_t MaxBlocked = 64;

void WaitingWork::finish() {
  const auto IsEarlier = [](const auto &A, const auto &B) {
    return A.first < B.first;
  };
  std::sort(Due_.begin(), Due_.end(), IsEarlier);
  double Sum = 0;
  for (auto &[Limit, Work] : Due_)
    Work = Sum += Work;
  const auto IsSmaller = [](const Resources &A, const Resources &B) {
    return A.MilliCpus_ < B.MilliCpus_;
  };
  std::sort(Blocked_.begin(), Blocked_.end(), IsSmaller);
  if (Blocked_.size() > MaxBlocked)
    Blocked_.resize(MaxBlocked);
}

double WaitingWork::sumUntil(TimePoint Limit) const {
  const auto After = std::upper_bound(
      Due_.begin(), Due_.end(), Limit,
      [](TimePoint Until, const auto &Entry) { return Until < Entry.first; });
  return After == Due_.begin() ? 0 : std::prev(After)->second;
}

std::size_t WaitingWork::countBlocked(const Resources &Largest) const {
  return static_cast<std::size_t>(std::count_if(
      Blocked_.begin(), Blocked_.end(),
      [&Largest](const Resources &Task) { return Task.fitsIn(Largest); }));
}
