//===- JobMetrics.h - A leader's figures as metrics ------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_JOBMETRICS_H
#define TULIPWEIR_SRC_JOBSERVICE_JOBMETRICS_H

#include "tulipweir/jobs/JobMeter.h"
#include "tulipweir/net/Metrics.h"

#include <array>

namespace tulipweir::jobservice {

/// Thread-safe. The metrics must outlive it.
class JobMetrics final : public jobs::JobMeter {
public:
  explicit JobMetrics(net::Metrics &To);
  void add(jobs::Counted What, std::uint64_t By) override;
  void record(jobs::Timed What, Duration Took) override;

private:
  std::array<net::Counter *, 12> Counters_;
  std::array<net::LatencyHistogram *, 4> Histograms_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_JOBMETRICS_H
