#include "jobs/ServingLoads.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Loads change within some ten seconds; a step of fourteen tasks is reported
/// some thirty times a second.
static constexpr Duration SmoothingTime = 600ms;
static constexpr double MinWeight = 0.05;
static constexpr double MaxWeight = 0.5;
/// A tail that is too long may come from interference that is not known yet; a
/// short one cannot, so it gets twice the weight.
static constexpr double ShorterTailFactor = 2;
/// Loads change over ten seconds and more, so the baseline rises by no more
/// than this per second (logarithm); interference lengthens a tail at once.
static constexpr double MaxRisePerSecond = 0.4;
/// Readings scatter by a tenth; this many arrive in a second for a small step.
static constexpr std::uint64_t MinSamples = 16;
/// The interval at which the range of an image's tails is updated.
static constexpr Duration RangeInterval = 500ms;
/// How far an end of the range that no tail reaches moves inwards per update
/// (logarithm): a tail of a third of the shortest one is forgotten after twenty
/// seconds.
static constexpr double RangeDecay = 0.03;
/// The share of their processors that serving tasks leave idle at their lowest
/// load; they use a fifth of them then.
static constexpr double MaxUnusedShare = 0.8;
/// While the tails of an image differ by less than this (a factor of 1.6), they
/// do not reveal the load.
static constexpr double MinTailRange = 0.5;
/// The baseline of a task without reports: a third of its target, the median of
/// all tasks.
static const double DefaultBaseline = std::log(1.0 / 3);
static constexpr double MinLoad = 0.1;
static constexpr double MaxLoad = 0.95;

std::optional<double> ServingLoads::addSample(const StepKey &Step,
                                              const std::string &Image,
                                              double LogTail, TimePoint Now) {
  const auto [It, IsNew] = Steps_.try_emplace(Step);
  StepLoad &Load = It->second;
  if (IsNew) {
    Load.Image_ = Image;
    Load.Baseline_ = LogTail;
  }
  const std::optional<double> Previous =
      Load.Samples_ < MinSamples ? std::nullopt : std::optional(Load.Baseline_);
  const std::chrono::duration<double> Elapsed = Now - Load.UpdatedAt_;
  double Weight =
      std::clamp(Elapsed / std::chrono::duration<double>(SmoothingTime),
                 MinWeight, MaxWeight);
  if (LogTail < Load.Baseline_)
    Weight = std::min(Weight * ShorterTailFactor, MaxWeight);
  const double Change = (LogTail - Load.Baseline_) * Weight;
  Load.Baseline_ +=
      IsNew ? 0 : std::min(Change, Elapsed.count() * MaxRisePerSecond);
  Load.UpdatedAt_ = Now;
  ++Load.Samples_;
  return Previous;
}

/// The steps of an image have their peaks at different times, so the one with
/// the shortest tail is usually near its lowest load.
void ServingLoads::updateRanges(TimePoint Now) {
  if (Now < NextRangeUpdate_)
    return;
  NextRangeUpdate_ = Now + RangeInterval;
  std::map<std::string, TailRange> Current;
  for (const auto &[Key, Load] : Steps_) {
    if (Load.Samples_ < MinSamples)
      continue;
    const auto [It, IsFirst] = Current.try_emplace(
        Load.Image_, TailRange{Load.Baseline_, Load.Baseline_});
    It->second.Lowest_ = std::min(It->second.Lowest_, Load.Baseline_);
    It->second.Highest_ = std::max(It->second.Highest_, Load.Baseline_);
  }
  for (const auto &[Image, Observed] : Current) {
    const auto [It, IsFirst] = Images_.try_emplace(Image, Observed);
    TailRange &Range = It->second;
    Range.Lowest_ = std::min(Observed.Lowest_, Range.Lowest_ + RangeDecay);
    Range.Highest_ = std::max(Observed.Highest_, Range.Highest_ - RangeDecay);
  }
}

void ServingLoads::updateServer(const std::string &ServerId, ServingUse Use) {
  Servers_[ServerId] = std::move(Use);
}

void ServingLoads::prune(const JobRegistry &Registry) {
  std::erase_if(Steps_, [&Registry](const auto &Entry) {
    const JobRecord *Job = Registry.findJob(Entry.first.Job_);
    return !Job || isEnded(Job->State_);
  });
  std::erase_if(Servers_, [&Registry](const auto &Entry) {
    return !Registry.findServer(Entry.first);
  });
}

std::optional<double> ServingLoads::findBaseline(const StepKey &Step) const {
  const auto It = Steps_.find(Step);
  if (It == Steps_.end() || It->second.Samples_ < MinSamples)
    return std::nullopt;
  return It->second.Baseline_;
}

/// The time in a queue is its shortest time divided by the idle share.
double ServingLoads::getLoad(const StepKey &Step) const {
  const auto It = Steps_.find(Step);
  if (It == Steps_.end() || It->second.Samples_ < MinSamples)
    return DefaultLoad;
  const auto Image = Images_.find(It->second.Image_);
  if (Image == Images_.end())
    return DefaultLoad;
  const TailRange &Range = Image->second;
  if (Range.Highest_ - Range.Lowest_ < MinTailRange)
    return DefaultLoad;
  const double Load =
      1 - MaxUnusedShare * std::exp(Range.Lowest_ - It->second.Baseline_);
  return std::clamp(Load, MinLoad, MaxLoad);
}

double ServingLoads::getWorstBaseline(const std::string &ServerId,
                                      const std::string &Image) const {
  const auto Server = Servers_.find(ServerId);
  if (Server == Servers_.end())
    return DefaultBaseline;
  const auto It = Server->second.WorstBaselines_.find(Image);
  return It == Server->second.WorstBaselines_.end() ? DefaultBaseline
                                                    : It->second;
}

std::int64_t ServingLoads::estimateUsedCpus(const ServerRecord &Server) const {
  const auto It = Servers_.find(Server.Facts_.Id_);
  const bool IsKnown = It != Servers_.end();
  const std::int64_t Reserved = IsKnown ? It->second.Reserved_ : 0;
  const std::int64_t Used = IsKnown ? It->second.Used_ : 0;
  // Tasks that came or went since the last report count with the default load.
  const std::int64_t Rest = Server.ServingCpus_ - Reserved;
  return Used + static_cast<std::int64_t>(double(Rest) * DefaultLoad);
}
