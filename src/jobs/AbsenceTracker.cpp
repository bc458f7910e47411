#include "jobs/AbsenceTracker.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

static bool isWaiting(const JobRegistry &Registry, const TaskKey &Task) {
  const JobRecord *Job = Registry.findJob(Task.Job_);
  if (!Job || isEnded(Job->State_))
    return false;
  const TaskRecord *Record = Job->findTask(Task);
  return Record && Record->State_ == TaskState::Waiting;
}

void AbsenceTracker::reset(const JobRegistry &Registry, TimePoint Now) {
  Absences_.clear();
  for (const ReadyStep &Ready : Registry.readySteps()) {
    const JobRecord *Job = Registry.findJob(Ready.Job_);
    if (!Job || !Job->Spec_.Steps_[Ready.Step_].LongRunning_)
      continue;
    const std::vector<TaskRecord> &Tasks =
        Job->findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Tasks_;
    for (std::size_t I = 0; I < Tasks.size(); ++I)
      if (Tasks[I].State_ == TaskState::Waiting && Tasks[I].LastRun_ > 0)
        Absences_[{Ready.Job_, Ready.Occurrence_, Ready.Step_, I}] = {
            Tasks[I].LastRun_, "", Now, Now, Now, true, false, false};
  }
}

void AbsenceTracker::begin(const JobRegistry &Registry, const TaskKey &Task,
                           const Absence &Value) {
  const JobRecord *Job = Registry.findJob(Task.Job_);
  const TaskRecord *Record = Job ? Job->findTask(Task) : nullptr;
  if (!Record || isEnded(Job->State_) ||
      !Job->Spec_.Steps_[Task.Step_].LongRunning_)
    return;
  // The next placement may already be applied, with its result outstanding.
  if (Record->State_ == TaskState::Waiting || Record->LastRun_ > Value.Run_)
    Absences_[Task] = Value;
}

std::optional<Absence> AbsenceTracker::end(const TaskKey &Task) {
  const auto It = Absences_.find(Task);
  if (It == Absences_.end())
    return std::nullopt;
  Absence Value = std::move(It->second);
  Absences_.erase(It);
  return Value;
}

std::vector<std::pair<TaskKey, Absence>>
AbsenceTracker::collectLong(const JobRegistry &Registry, TimePoint Now) {
  std::vector<std::pair<TaskKey, Absence>> Long;
  for (auto It = Absences_.begin(); It != Absences_.end();) {
    auto &[Task, Value] = *It;
    // The result of a placement that is already applied may be outstanding, and
    // its handling ends the absence.
    const bool NeededNone = Value.NeedsNone_;
    Value.NeedsNone_ = !isWaiting(Registry, Task);
    if (NeededNone && Value.NeedsNone_) {
      It = Absences_.erase(It);
      continue;
    }
    if (!Value.NeedsNone_ && Value.getTotal(Now) > LongAbsence &&
        !std::exchange(Value.IsLogged_, true))
      Long.emplace_back(Task, Value);
    ++It;
  }
  return Long;
}

static std::string toMsText(Duration Value) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Value)
                 .count()) +
         " ms";
}

std::string tulipweir::jobs::toText(const Absence &Value, TimePoint Now) {
  std::string Text = "lease " + toMsText(Value.getLease()) + ", removal " +
                     toMsText(Value.getRemoval()) + ", waiting " +
                     toMsText(Value.getWait(Now));
  if (Value.IsLowerBound_)
    Text += ", not heard since the change of leader";
  return Text;
}
