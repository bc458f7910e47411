//===- JobMetrics.h - Metrics of the job leader -----------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_JOBMETRICS_H
#define TULIPWEIR_SRC_JOBSERVICE_JOBMETRICS_H

#include "jobservice/QueueLabels.h"
#include "tulipweir/jobs/JobMeter.h"
#include "tulipweir/net/Metrics.h"

#include <array>
#include <cstddef>

namespace tulipweir::jobservice {

/// Thread-safe. The metrics must outlive it.
class JobMetrics final : public jobs::JobMeter {
public:
  static constexpr auto Counters =
      static_cast<std::size_t>(jobs::JobCounter::OrderStepsRead) + 1;
  static constexpr auto Histograms =
      static_cast<std::size_t>(jobs::JobTimer::BesideRoom) + 1;

  explicit JobMetrics(net::Metrics &Metrics);
  void add(jobs::JobCounter Counter, std::uint64_t Amount) override;
  void record(jobs::JobTimer Timer, Duration Elapsed) override;
  void recordFirstStart(const std::string &Queue, Duration Waited) override;
  void addWork(jobs::LeaderWork Work, Duration Time) override;

private:
  std::array<net::Counter *, Counters> Counters_;
  std::array<net::LatencyHistogram *, Histograms> Histograms_;
  std::array<net::Counter *, jobs::LeaderWorkCount> WorkCounters_;
  QueueLabels FirstStartQueues_;
  net::Metrics &Metrics_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_JOBMETRICS_H
