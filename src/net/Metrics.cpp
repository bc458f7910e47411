#include "tulipweir/net/Metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <list>
#include <map>
#include <mutex>
#include <spdlog/fmt/fmt.h>

using namespace tulipweir;
using namespace tulipweir::net;

namespace histogram = boost::histogram;

static constexpr unsigned Bins = 70; ///< Ten for each factor of ten.
static constexpr double LeastSeconds = 1e-5;
static constexpr double MostSeconds = 100;
static constexpr double NanosPerSecond = 1e9;

namespace {

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<
    histogram::accumulators::thread_safe<std::uint64_t>>;
using Bucketed = histogram::histogram<std::tuple<Axis>, Storage>;

} // namespace

class LatencyHistogram::Impl {
public:
  Impl() : Counts_(std::make_tuple(Axis(Bins, LeastSeconds, MostSeconds))) {}

  /// Bin -1 holds what is below the axis, Bins what is above.
  std::uint64_t countAt(int Bin) const {
    return Counts_.at(Bin).load(std::memory_order_relaxed);
  }
  double getUpperEdge(int Bin) const {
    return Counts_.axis().value(std::min(Bin + 1, static_cast<int>(Bins)));
  }

  Bucketed Counts_;
  std::atomic<std::uint64_t> Nanos_{0};
  std::atomic<std::uint64_t> Count_{0};
};

LatencyHistogram::LatencyHistogram() : Impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration Value) {
  const auto Nanos =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Value.count(), 0));
  Impl_->Counts_(static_cast<double>(Nanos) / NanosPerSecond);
  Impl_->Nanos_.fetch_add(Nanos, std::memory_order_relaxed);
  Impl_->Count_.fetch_add(1, std::memory_order_relaxed);
}

Duration LatencyHistogram::getQuantile(double Quantile) const {
  std::uint64_t Total = 0;
  for (int Bin = -1; Bin <= static_cast<int>(Bins); ++Bin)
    Total += Impl_->countAt(Bin);
  if (Total == 0)
    return Duration::zero();
  const double Rank = std::max(1.0, std::ceil(Quantile * double(Total)));
  std::uint64_t Seen = 0;
  int Bin = -1;
  for (; Bin < static_cast<int>(Bins); ++Bin) {
    Seen += Impl_->countAt(Bin);
    if (double(Seen) >= Rank)
      break;
  }
  return Duration(std::llround(Impl_->getUpperEdge(Bin) * NanosPerSecond));
}

std::uint64_t LatencyHistogram::getCount() const {
  return Impl_->Count_.load(std::memory_order_relaxed);
}

namespace {

/// All metrics of one name.
struct Family {
  std::string Help_;
  std::map<std::string, Counter> Counters_;
  std::map<std::string, LatencyHistogram> Histograms_;
  std::map<std::string, std::function<double()>> Gauges_;
};

} // namespace

class Metrics::Impl {
public:
  Family &getFamily(const std::string &Name, const std::string &Help) {
    Family &Found = Families_[Name];
    if (Found.Help_.empty())
      Found.Help_ = Help;
    return Found;
  }

  static void renderHistogram(std::string &Text, const std::string &Name,
                              const std::string &Labels,
                              const LatencyHistogram &From);
  static void renderFamily(std::string &Text, const std::string &Name,
                           const Family &From);

  mutable std::mutex Lock_;
  std::map<std::string, Family> Families_;
};

static std::string brace(const std::string &Labels) {
  return Labels.empty() ? "" : "{" + Labels + "}";
}

void Metrics::Impl::renderHistogram(std::string &Text, const std::string &Name,
                                    const std::string &Labels,
                                    const LatencyHistogram &From) {
  const LatencyHistogram::Impl &Its = *From.Impl_;
  const std::string Start = Labels.empty() ? "" : Labels + ",";
  std::uint64_t Seen = Its.countAt(-1);
  for (int Bin = 0; Bin < static_cast<int>(Bins); ++Bin) {
    const std::uint64_t Here = Its.countAt(Bin);
    Seen += Here;
    // Empty bins add nothing to a cumulative histogram.
    if (Here > 0)
      Text += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", Name, Start,
                          Its.getUpperEdge(Bin), Seen);
  }
  Seen += Its.countAt(static_cast<int>(Bins));
  Text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", Name, Start, Seen);
  Text += fmt::format("{}_sum{} {:.9g}\n", Name, brace(Labels),
                      double(Its.Nanos_.load()) / NanosPerSecond);
  Text += fmt::format("{}_count{} {}\n", Name, brace(Labels), Seen);
}

void Metrics::Impl::renderFamily(std::string &Text, const std::string &Name,
                                 const Family &From) {
  const char *Type = !From.Counters_.empty()     ? "counter"
                     : !From.Histograms_.empty() ? "histogram"
                                                 : "gauge";
  Text +=
      fmt::format("# HELP {} {}\n# TYPE {} {}\n", Name, From.Help_, Name, Type);
  for (const auto &[Labels, Each] : From.Counters_)
    Text += fmt::format("{}{} {}\n", Name, brace(Labels), Each.value());
  for (const auto &[Labels, Each] : From.Histograms_)
    renderHistogram(Text, Name, Labels, Each);
  for (const auto &[Labels, Read] : From.Gauges_)
    Text += fmt::format("{}{} {:.9g}\n", Name, brace(Labels), Read());
}

Metrics::Metrics() : Impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter &Metrics::addCounter(const std::string &Name, const std::string &Help,
                             const std::string &Labels) {
  const std::lock_guard Hold(Impl_->Lock_);
  return Impl_->getFamily(Name, Help).Counters_[Labels];
}

LatencyHistogram &Metrics::addHistogram(const std::string &Name,
                                        const std::string &Help,
                                        const std::string &Labels) {
  const std::lock_guard Hold(Impl_->Lock_);
  return Impl_->getFamily(Name, Help).Histograms_[Labels];
}

void Metrics::addGauge(const std::string &Name, const std::string &Help,
                       std::function<double()> Read,
                       const std::string &Labels) {
  const std::lock_guard Hold(Impl_->Lock_);
  Impl_->getFamily(Name, Help).Gauges_[Labels] = std::move(Read);
}

std::string Metrics::renderText() const {
  const std::lock_guard Hold(Impl_->Lock_);
  std::string Text;
  for (const auto &[Name, Each] : Impl_->Families_)
    Impl::renderFamily(Text, Name, Each);
  return Text;
}
