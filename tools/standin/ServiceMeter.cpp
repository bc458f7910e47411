#include "standin/ServiceMeter.h"

#include <algorithm>
#include <numeric>

using namespace tulipweir;
using namespace tulipweir::standin;

static std::uint32_t toMicros(Duration Value) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Value).count());
}

static wire::ServiceReport makeReport(const ServiceId &Service,
                                      std::vector<Duration> Times,
                                      std::uint32_t Slots, Duration Period) {
  std::sort(Times.begin(), Times.end());
  Duration Sum = std::accumulate(Times.begin(), Times.end(), Duration(0));
  wire::ServiceReport Report;
  Report.Service_ = Service;
  Report.Requests_ = static_cast<std::uint32_t>(Times.size());
  Report.P99Micros_ = toMicros(Times[(Times.size() * 99 - 1) / 100]);
  Report.MeanMicros_ = toMicros(Sum / Times.size());
  double Load = 100.0 * double(Sum.count()) /
                (double(Period.count()) * std::max(1U, Slots));
  Report.LoadPercent_ = static_cast<std::uint32_t>(std::min(100.0, Load));
  return Report;
}

void ServiceMeter::record(const ServiceId &Service, Duration Took) {
  Times_[Service].push_back(Took);
}

void ServiceMeter::tick(TimePoint Now) {
  if (Now - StartedAt_ < Period_)
    return;
  ClosedPeriod Period{Now, {}};
  for (auto &[Service, Times] : Times_)
    Period.Reports_.push_back(
        makeReport(Service, std::move(Times), Slots_, Now - StartedAt_));
  Closed_.push_back(std::move(Period));
  Times_.clear();
  StartedAt_ = Now;
  // The newest that is old enough stays, with all younger ones.
  while (Closed_.size() > 1 && Now - Closed_[1].EndedAt_ >= Lag_)
    Closed_.pop_front();
}

std::vector<wire::ServiceReport> ServiceMeter::getReports(TimePoint Now) const {
  const ClosedPeriod *Newest = nullptr;
  for (const ClosedPeriod &Period : Closed_)
    if (Now - Period.EndedAt_ >= Lag_)
      Newest = &Period;
  if (!Newest)
    return {};
  std::vector<wire::ServiceReport> Reports = Newest->Reports_;
  for (wire::ServiceReport &Report : Reports)
    Report.AgeMs_ = toMicros(Now - Newest->EndedAt_) / 1000;
  return Reports;
}
