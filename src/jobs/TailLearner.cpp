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

/// The part of the tails of one image's tasks on a server that their load does
/// not explain.
struct TailLearner::Excess {
  double Sum_ = 0; ///< Sum of logarithms.
  double Count_ = 0;
};

/// Adds the tail of a task; a task that has not started to serve has none.
void TailLearner::addTailSample(const ServingTask &Serving, double ExplainedLog,
                                Excess &Unexplained, TimePoint Now) {
  const RunningTask &Running = Serving.Running_;
  const StepSpec &Step = Serving.Step_;
  if (Running.Measure_ == 0 || Running.Percent_ < Percent)
    return;
  const double LogTail =
      std::log(double(Running.Measure_) / double(Step.TailTargetMs_));
  const auto Baseline =
      Loads_.addSample(Serving.Key_, Step.Image_, LogTail - ExplainedLog, Now);
  if (!Baseline)
    return;
  Unexplained.Sum_ += LogTail - *Baseline;
  ++Unexplained.Count_;
}

void TailLearner::addLoad(const ServingTask &Serving, ServingUse &Use) const {
  const StepSpec &Step = Serving.Step_;
  const StepKey &Key = Serving.Key_;
  Use.Reserved_ += Step.Need_.MilliCpus_;
  Use.Used_ += static_cast<std::int64_t>(double(Step.Need_.MilliCpus_) *
                                         Loads_.getLoad(Key));
  const std::optional<double> Baseline = Loads_.findBaseline(Key);
  if (!Baseline)
    return;
  const auto [It, IsFirst] =
      Use.WorstBaselines_.try_emplace(Step.Image_, *Baseline);
  It->second = std::max(It->second, *Baseline);
}

ServerTails TailLearner::learn(const JobRegistry &Registry,
                               const ServerReport &Report, TimePoint Now) {
  ServerTails Result;
  const double Capacity =
      std::max(1.0, double(Report.Facts_.Capacity_.MilliCpus_));
  FillingUse Use;
  double FilledShare = 0;
  double OtherCpus = 0; // Processors used by tasks that neither fill nor serve.
  std::vector<ServingTask> Tails;
  Tails.reserve(Report.Running_.size());
  for (const RunningTask &Running : Report.Running_) {
    const StepSpec *Step = Registry.findStep(Running.Task_);
    if (!Step)
      continue;
    const double Measure = double(Running.Measure_);
    if (Step->isServing()) {
      Tails.push_back({getKey(Running), *Step, Running});
      addLoad(Tails.back(), Result.Serving_);
    } else if (Step->Fills_) {
      Use[Step->Image_] += Measure / Capacity;
      Result.RequestedShares_[Step->Image_] +=
          double(Step->Need_.MilliCpus_) / Capacity;
      FilledShare += Measure / Capacity;
    } else {
      OtherCpus += Measure;
    }
  }
  Result.HasServing_ = !Tails.empty();
  Result.HasFilling_ = !Use.empty();
  Result.AvailableShare_ =
      RemainingCapacity::MaxUsedShare -
      (OtherCpus + double(Result.Serving_.Used_)) / Capacity;
  // Where processors are short, all tails grow, whichever images fill.
  const bool HasEnoughCpus = FilledShare <= Result.AvailableShare_;
  /// By serving image, the logarithm that the filling tasks explain, and the
  /// rest.
  std::map<std::string, std::pair<double, Excess>> Groups;
  for (const ServingTask &Serving : Tails) {
    const StepSpec &Step = Serving.Step_;
    Result.WorstPercent_ =
        std::max(Result.WorstPercent_,
                 Serving.Running_.Measure_ * Percent / Step.TailTargetMs_);
    const auto [It, IsFirst] = Groups.try_emplace(Step.Image_);
    if (IsFirst)
      It->second.first = Interference_.predict(Step.Image_, Use);
    addTailSample(Serving, It->second.first, It->second.second, Now);
  }
  // One sample for all tasks of an image: a sample costs as much as the rest of
  // the report.
  for (const auto &[Image, Group] : Groups)
    if (HasEnoughCpus && Group.second.Count_ > 0)
      Interference_.learn(Image, Use,
                          std::exp(Group.second.Sum_ / Group.second.Count_));
  Loads_.updateServer(Report.Facts_.Id_, Result.Serving_);
  return Result;
}
