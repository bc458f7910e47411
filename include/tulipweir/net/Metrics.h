//===- Metrics.h - Counters, gauges and histograms -------------*- C++ -*-===//
//
// What /metrics shows, as Prometheus text. Histograms are Boost.Histogram's.
// Metrics are created at start and then only counted, without a lock shared
// between names.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_METRICS_H
#define TULIPWEIR_NET_METRICS_H

#include "tulipweir/core/Time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tulipweir::net {

class Counter {
public:
  void add(std::uint64_t By = 1) {
    Value_.fetch_add(By, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value_{0};
};

/// Durations on a logarithmic axis from 10 microseconds to 100 s.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  void record(Duration Value);
  /// The upper edge of the bin that holds that quantile; zero when empty.
  Duration getQuantile(double Quantile) const;
  std::uint64_t getCount() const;

private:
  friend class Metrics;
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Thread-safe. Returned references live as long as the Metrics.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Labels is Prometheus' text between the braces, or empty. The same name
  /// and labels give the same object.
  Counter &addCounter(const std::string &Name, const std::string &Help,
                      const std::string &Labels = "");
  LatencyHistogram &addHistogram(const std::string &Name,
                                 const std::string &Help,
                                 const std::string &Labels = "");
  /// Read is called at each scrape, from any thread.
  void addGauge(const std::string &Name, const std::string &Help,
                std::function<double()> Read, const std::string &Labels = "");
  std::string renderText() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_METRICS_H
