#include "jobs/CallerShares.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Accepted work counts for about this time: longer than a caller is told to
/// stay away on ordinary days, and short enough to follow demand that moves.
static constexpr Duration ShareWindow = 10s;
/// Amounts closer than this factor count as equal, so that single jobs do not
/// change the order.
static constexpr double EqualFactor = 1.1;
static constexpr std::size_t MaxDataCentres = 64;
static constexpr std::size_t MaxPriorities = 64;

void CallerShares::reset() {
  Indexes_.clear();
  ByPriority_.clear();
}

std::size_t CallerShares::findIndex(const std::string &DataCentre) {
  const auto It = Indexes_.find(DataCentre);
  if (It != Indexes_.end())
    return It->second;
  if (Indexes_.size() >= MaxDataCentres)
    return MaxDataCentres - 1;
  return Indexes_.emplace(DataCentre, Indexes_.size()).first->second;
}

void CallerShares::record(std::uint64_t Priority, std::size_t DataCentre,
                          double Work, TimePoint Now) {
  if (ByPriority_.size() >= MaxPriorities && ByPriority_.count(Priority) == 0)
    return;
  std::vector<DrainRate> &Rates = ByPriority_[Priority];
  while (Rates.size() <= DataCentre) {
    Rates.emplace_back(ShareWindow);
    Rates.back().assume(0, Now);
  }
  Rates[DataCentre].record(Work, Now);
}

std::vector<double> CallerShares::list(std::uint64_t Priority,
                                       TimePoint Now) const {
  std::vector<double> Result(Indexes_.size());
  const auto It = ByPriority_.find(Priority);
  if (It == ByPriority_.end())
    return Result;
  for (std::size_t I = 0; I < Result.size() && I < It->second.size(); ++I)
    Result[I] = It->second[I].getPerSecond(Now);
  return Result;
}

bool CallerShares::isLess(double Work, double Other) {
  return Work * EqualFactor < Other;
}
