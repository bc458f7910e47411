#include "tulipweir/jobs/JobSpec.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Limits that bound the work that one job can cause in the state machine; far
/// above the declared workloads (4 steps of 36 tasks).
static constexpr std::size_t MaxSteps = 256;
static constexpr std::uint64_t MaxTasksPerJob = 20'000;
static constexpr std::size_t MaxIdBytes = 128;
static constexpr std::uint64_t MaxOccurrences = 100'000;
/// One day; keeps sums of estimates in range.
static constexpr std::uint64_t MaxEstimateMs = 86'400'000;

static Outcome<void> checkStep(const StepSpec &Step, std::size_t Number) {
  const std::string Where = "step " + std::to_string(Number);
  if (Step.Count_ == 0 || Step.Count_ > MaxTasksPerJob)
    return fail(ErrorCode::InvalidArgument,
                Where + " has no tasks or too many");
  if (!Step.Need_.isValid())
    return fail(ErrorCode::InvalidArgument,
                Where + " requests a negative amount of a resource");
  if (Step.EstimateMs_ > MaxEstimateMs)
    return fail(ErrorCode::InvalidArgument,
                Where + " has an estimate of more than one day");
  const bool IsOrdered =
      std::all_of(Step.DependsOn_.begin(), Step.DependsOn_.end(),
                  [Number](std::uint64_t Other) { return Other < Number; });
  if (!IsOrdered)
    return fail(ErrorCode::InvalidArgument,
                Where + " depends on a step that does not precede it");
  return succeed();
}

Outcome<void> jobs::checkJobSpec(const JobSpec &Spec) {
  if (Spec.Id_.empty() || Spec.Id_.size() > MaxIdBytes)
    return fail(ErrorCode::InvalidArgument, "a job needs an id of 1 to " +
                                                std::to_string(MaxIdBytes) +
                                                " bytes");
  if (Spec.Steps_.empty() || Spec.Steps_.size() > MaxSteps)
    return fail(ErrorCode::InvalidArgument,
                "a job needs 1 to " + std::to_string(MaxSteps) + " steps");
  if (Spec.RepeatCount_ > MaxOccurrences)
    return fail(ErrorCode::InvalidArgument, "a job has too many occurrences");
  std::uint64_t Tasks = 0;
  for (std::size_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    auto Checked = checkStep(Spec.Steps_[Number], Number);
    if (!Checked)
      return Checked;
    Tasks += Spec.Steps_[Number].Count_;
  }
  if (Tasks > MaxTasksPerJob)
    return fail(ErrorCode::InvalidArgument, "a job has too many tasks");
  return succeed();
}

std::uint64_t jobs::getLongestChainMs(const JobSpec &Spec) {
  std::vector<std::uint64_t> Ends;
  std::uint64_t Longest = 0;
  for (const StepSpec &Step : Spec.Steps_) {
    std::uint64_t Begin = 0;
    for (std::uint64_t Other : Step.DependsOn_)
      Begin = std::max(Begin, Ends[Other]);
    Ends.push_back(Begin + Step.EstimateMs_);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}
