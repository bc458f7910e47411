#include "jobs/TailLearner.h"

#include "jobs/RemainingCapacity.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::uint64_t Percent = 100;

static StepKey getKey(const RunningTask &Running) {
  return {Running.Task_.Job_, Running.Task_.Occurrence_, Running.Task_.Step_};
}

/// What the tails of one image's tasks on a server have beyond their loads.
struct TailLearner::Excess {
  double Sum_ = 0; ///< Logarithms.
  double Count_ = 0;
};

/// A task that is not at work yet has no tail.
void TailLearner::noteTail(const RunningTask &Running, const StepSpec &Step,
                           double Explained, Excess &Of, TimePoint Now) {
  if (Running.Measure_ == 0 || Running.Percent_ < Percent)
    return;
  const double LogTail =
      std::log(double(Running.Measure_) / double(Step.TailTargetMs_));
  const auto Base =
      Loads_.note(getKey(Running), Step.Image_, LogTail - Explained, Now);
  if (!Base)
    return;
  Of.Sum_ += LogTail - *Base;
  ++Of.Count_;
}

void TailLearner::addLoad(const RunningTask &Running, const StepSpec &Step,
                          ServingUse &To) const {
  const StepKey Key = getKey(Running);
  To.Reserved_ += Step.Need_.MilliCpus_;
  To.Used_ += static_cast<std::int64_t>(double(Step.Need_.MilliCpus_) *
                                        Loads_.getLoad(Key));
  const std::optional<double> Base = Loads_.findBase(Key);
  if (!Base)
    return;
  const auto [Worst, IsFirst] = To.WorstBases_.try_emplace(Step.Image_, *Base);
  Worst->second = std::max(Worst->second, *Base);
}

ServerTails TailLearner::learn(const JobBook &Book, const ServerReport &Report,
                               TimePoint Now) {
  ServerTails Found;
  const double Capacity =
      std::max(1.0, double(Report.Facts_.Capacity_.MilliCpus_));
  FillingUse Use;
  double Filled = 0;
  double Others = 0; // Used by tasks that neither fill nor serve.
  std::vector<std::pair<const StepSpec *, const RunningTask *>> Tails;
  for (const RunningTask &Running : Report.Running_) {
    const StepSpec *Step = Book.findStep(Running.Task_);
    if (!Step)
      continue;
    const double Measure = double(Running.Measure_);
    if (Step->isServing()) {
      Tails.emplace_back(Step, &Running);
      addLoad(Running, *Step, Found.Serving_);
    } else if (Step->Fills_) {
      Use[Step->Image_] += Measure / Capacity;
      Found.Asked_[Step->Image_] += double(Step->Need_.MilliCpus_) / Capacity;
      Filled += Measure / Capacity;
    } else {
      Others += Measure;
    }
  }
  Found.HasServing_ = !Tails.empty();
  Found.HasFilling_ = !Use.empty();
  Found.LeftShare_ =
      ServerRoom::MostUsed - (Others + double(Found.Serving_.Used_)) / Capacity;
  // Where processors are short, all tails grow, whatever fills.
  const bool IsTelling = Filled <= Found.LeftShare_;
  /// By serving image: what is explained by what fills, and what is not.
  std::map<std::string, std::pair<double, Excess>> Beyond;
  for (const auto &[Step, Running] : Tails) {
    Found.WorstPercent_ = std::max(
        Found.WorstPercent_, Running->Measure_ * Percent / Step->TailTargetMs_);
    const auto [Own, IsFirst] = Beyond.try_emplace(Step->Image_);
    if (IsFirst)
      Own->second.first = Effects_.predict(Step->Image_, Use);
    noteTail(*Running, *Step, Own->second.first, Own->second.second, Now);
  }
  // One sample for all tasks of an image: a learned one costs as much as all
  // else of a report.
  for (const auto &[Image, Own] : Beyond)
    if (IsTelling && Own.second.Count_ > 0)
      Effects_.learn(Image, Use, std::exp(Own.second.Sum_ / Own.second.Count_));
  Loads_.noteServer(Report.Facts_.Id_, Found.Serving_);
  return Found;
}
