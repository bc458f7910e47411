#include "load/LoadReport.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

using namespace tulipweir;
using namespace tulipweir::load;
namespace histogram = boost::histogram;
using Json = nlohmann::json;

// 1400 bins from 10 microseconds to 100 s: a bin is 1.2% wide.
static constexpr unsigned Bins = 1'400;
static constexpr double LeastSeconds = 1e-5;
static constexpr double MostSeconds = 100;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram =
    decltype(histogram::make_histogram(Axis(Bins, LeastSeconds, MostSeconds)));

struct LoadReport::Latencies {
  std::array<Histogram, OutcomeCount> ByOutcome_;
  std::array<std::uint64_t, OutcomeCount> Counts_{};
  double MostSeconds_ = 0;
};

/// The upper edge of the bin that holds the quantile, in milliseconds.
static double findQuantileMs(const Histogram &From, std::uint64_t Count,
                             double Quantile) {
  double Wanted = Quantile * double(Count);
  double Seen = 0;
  for (int Bin = -1; Bin < From.axis().size(); ++Bin) {
    Seen += From.at(Bin);
    if (Seen >= Wanted)
      return From.axis().value(Bin + 1) * 1e3;
  }
  return MostSeconds * 1e3;
}

const char *load::getOutcomeName(RequestOutcome Outcome) {
  static constexpr std::array Names = {"served", "notRun", "unknown", "refused",
                                       "failed", "broken", "wrong"};
  static_assert(Names.size() == OutcomeCount);
  return Names.at(static_cast<std::size_t>(Outcome));
}

LoadReport::LoadReport() : Latencies_(std::make_unique<Latencies>()) {
  for (Histogram &Each : Latencies_->ByOutcome_)
    Each = histogram::make_histogram(Axis(Bins, LeastSeconds, MostSeconds));
}

LoadReport::~LoadReport() = default;

void LoadReport::noteTo(std::uint64_t &Count) {
  std::lock_guard Guard(Lock_);
  ++Count;
}

void LoadReport::record(RequestOutcome Outcome, unsigned Status,
                        Duration Latency) {
  double Seconds = std::chrono::duration<double>(Latency).count();
  auto Which = static_cast<std::size_t>(Outcome);
  std::lock_guard Guard(Lock_);
  Latencies_->ByOutcome_[Which](Seconds);
  ++Latencies_->Counts_[Which];
  Latencies_->MostSeconds_ = std::max(Latencies_->MostSeconds_, Seconds);
  ++Statuses_[Status];
}

std::uint64_t LoadReport::getCount(RequestOutcome Outcome) const {
  std::lock_guard Guard(Lock_);
  return Latencies_->Counts_[static_cast<std::size_t>(Outcome)];
}

std::string LoadReport::render(Duration Length) const {
  std::lock_guard Guard(Lock_);
  Json Outcomes = Json::object();
  for (std::size_t Which = 0; Which < OutcomeCount; ++Which) {
    std::uint64_t Count = Latencies_->Counts_[Which];
    Json One{{"count", Count}};
    const Histogram &Times = Latencies_->ByOutcome_[Which];
    if (Count != 0)
      One.update({{"p50Ms", findQuantileMs(Times, Count, 0.5)},
                  {"p90Ms", findQuantileMs(Times, Count, 0.9)},
                  {"p99Ms", findQuantileMs(Times, Count, 0.99)},
                  {"p999Ms", findQuantileMs(Times, Count, 0.999)}});
    Outcomes[getOutcomeName(static_cast<RequestOutcome>(Which))] = One;
  }
  Json Statuses = Json::object();
  for (const auto &[Status, Count] : Statuses_)
    Statuses[std::to_string(Status)] = Count;
  double Seconds = std::chrono::duration<double>(Length).count();
  double Served = double(Latencies_->Counts_[0]);
  return Json{{"sent", Sent_},
              {"resent", Resent_},
              {"lateSends", LateSends_},
              {"seconds", Seconds},
              {"servedPerSecond", Served / Seconds},
              {"maxMs", Latencies_->MostSeconds_ * 1e3},
              {"outcomes", Outcomes},
              {"statuses", Statuses}}
      .dump();
}
