// Member functions of the records in JobRegistry.
#include "tulipweir/jobs/JobRegistry.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::uint64_t Percent = 100;

const OccurrenceRecord *JobRecord::findOccurrence(std::uint64_t Number) const {
  for (const OccurrenceRecord &Occurrence : OpenOccurrences_)
    if (Occurrence.Number_ == Number)
      return &Occurrence;
  return nullptr;
}

OccurrenceRecord *JobRecord::findOccurrence(std::uint64_t Number) {
  return const_cast<OccurrenceRecord *>(
      std::as_const(*this).findOccurrence(Number));
}

const TaskRecord *JobRecord::findTask(const TaskKey &Task) const {
  const OccurrenceRecord *Occurrence = findOccurrence(Task.Occurrence_);
  const bool IsKnown =
      Occurrence && Task.Step_ < Occurrence->Steps_.size() &&
      Task.Index_ < Occurrence->Steps_[Task.Step_].Tasks_.size();
  return IsKnown ? &Occurrence->Steps_[Task.Step_].Tasks_[Task.Index_]
                 : nullptr;
}

std::uint64_t JobRecord::getDueMs() const {
  return AcceptedMs_ + Policy_.ObjectiveMs_ +
         getLongestChainMs(Spec_) * Policy_.StretchPercent_ / Percent;
}

void ServerRecord::add(const TaskKey &Task, std::uint64_t Run,
                       const StepSpec &Step) {
  Placed_[Task] = Run;
  Used_ = Used_ + Step.getReserved();
  if (Step.LongRunning_)
    UsedByLongRunning_ = UsedByLongRunning_ + Step.getReserved();
  (Step.isServing() ? ServingCpus_ : OtherCpus_) += Step.Need_.MilliCpus_;
  if (Step.isServing())
    ++Serving_[Step.Image_];
  if (Step.Fills_)
    FillingCpus_[Step.Image_] += Step.Need_.MilliCpus_;
}

void ServerRecord::remove(const TaskKey &Task, const StepSpec &Step) {
  Placed_.erase(Task);
  Used_ = Used_ - Step.getReserved();
  if (Step.LongRunning_)
    UsedByLongRunning_ = UsedByLongRunning_ - Step.getReserved();
  (Step.isServing() ? ServingCpus_ : OtherCpus_) -= Step.Need_.MilliCpus_;
  if (Step.isServing())
    if (const auto It = Serving_.find(Step.Image_); --It->second == 0)
      Serving_.erase(It);
  if (!Step.Fills_)
    return;
  const auto It = FillingCpus_.find(Step.Image_);
  It->second -= Step.Need_.MilliCpus_;
  if (It->second == 0)
    FillingCpus_.erase(It);
}

std::uint64_t ServerRecord::countTasksOfStep(const TaskKey &Task) const {
  const auto IsSameStep = [&Task](const TaskKey &Other) {
    return Other.Job_ == Task.Job_ && Other.Occurrence_ == Task.Occurrence_ &&
           Other.Step_ == Task.Step_;
  };
  std::uint64_t Count = 0;
  for (auto It =
           Placed_.lower_bound({Task.Job_, Task.Occurrence_, Task.Step_, 0});
       It != Placed_.end() && IsSameStep(It->first); ++It)
    ++Count;
  return Count;
}
