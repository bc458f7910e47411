// The part of Dispatcher that decides on the tasks of one step for one server.
#include "jobs/Dispatcher.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Two report intervals, within which every server of a rack has reported.
static constexpr Duration MaxDataRackWait = 500ms;
/// Longest wait of a serving task for a server without other serving images,
/// while one has capacity: three report intervals.
static constexpr Duration MaxUnsharedServerWait = 1500ms;
/// Longest wait of a serving task for a server with its own image while only an
/// empty one is offered: one and a half report intervals.
static constexpr Duration MaxSameImageWait = 750ms;
/// Without such capacity the task starts beside other images after
/// MinMixedImagesWait, and up to MaxAddedInterferenceWait later, in
/// proportion to the filling images that it would slow there.
static constexpr Duration MinMixedImagesWait = 250ms;
static constexpr Duration MaxAddedInterferenceWait = 1500ms;
/// Longest wait of a filling task for a server where it lengthens no tail.
static constexpr Duration MaxInterferenceWait = 3000ms;
/// Longest wait of a task for processors that filling tasks do not use.
static constexpr Duration MaxIdleCpusWait = 150ms;
/// A job without a running task starts on any server after this time, if the
/// fleet is not full.
static constexpr Duration MaxIdleJobWait = 1s;
/// A long-running step leaves room to bounded work for this time at most while
/// servers have room for it, time and again: such tasks must not wait for some
/// seconds beside room.
static constexpr Duration MaxKeptTime = 2s;

/// Returns the free capacity that the long-running step leaves to bounded work.
Resources Dispatcher::getKeptForBounded(const ServerPlan &Plan,
                                        const ReadyStep &Step) const {
  if (PassedOver_.getTime(Step, Plan.Now_) >= MaxKeptTime)
    return {};
  const ServerRecord &Server = Plan.Server_;
  const Resources *Share = Shares_.findKeptForBounded(
      Server.Facts_.Id_, Step.Priority_, Overdue_.contains(Step));
  if (!Share)
    return {};
  const Resources Used =
      Server.Used_ - Server.UsedByLongRunning_ + Plan.StartedBounded_;
  return (*Share - Used).maxWith(Resources{});
}

/// Returns whether one of the step's tasks fits on the server. The server must
/// be in the rack of the step's data until the step has waited for
/// MaxDataRackWait.
bool Dispatcher::hasCapacity(const ReadyStep &Ready, const StepSpec &Step,
                             const ServerPlan &Plan, Duration Waited) const {
  const RemainingCapacity &Remaining = Plan.Remaining_;
  const std::string &Id = Plan.Server_.Facts_.Id_;
  const CapacitySurvey::Reservation *Reservation = Survey_.findReservation(Id);
  Resources Free = Remaining.Free_;
  if (Reservation)
    Free = Free - Reservation->getKeptFrom(Step);
  if (Step.LongRunning_)
    Free = Free - getKeptForBounded(Plan, Ready);
  if (!Step.getReserved().fitsIn(Free))
    return false;
  return Step.DataRack_.empty() ||
         Step.DataRack_ == Plan.Server_.Facts_.Rack_ ||
         Waited >= MaxDataRackWait;
}

/// Returns whether a task that fits runs well on the server without slowing
/// others.
bool Dispatcher::isSuitable(const StepSpec &Step, ServerPlan &Plan,
                            Duration Waited, bool IsIdleJob,
                            std::uint64_t Waiting) const {
  const RemainingCapacity &Remaining = Plan.Remaining_;
  if (Step.isServing())
    return isSuitableForServing(Step, Remaining, Waited, Waiting);
  if (Step.Fills_)
    return isSuitableForFilling(Step, Plan, Waited, IsIdleJob);
  return Step.Need_.MilliCpus_ <= Remaining.Idle_ || Waited >= MaxIdleCpusWait;
}

/// Keeps tasks of one serving image together: each serving image excludes some
/// filling images, so a server with several serving images can run few filling
/// ones.
bool Dispatcher::isSuitableForServing(const StepSpec &Step,
                                      const RemainingCapacity &Remaining,
                                      Duration Waited,
                                      std::uint64_t Waiting) const {
  const bool IsOnlyImage = Remaining.Serving_.size() == 1 &&
                           Remaining.Serving_.count(Step.Image_) == 1;
  if (IsOnlyImage)
    return true;
  // A waiting task serves no requests, so it waits only for free capacity.
  const bool HasSameImageCapacity = Survey_.hasCapacityBesideSameImage(
      Step.Image_, Step.getReserved(), Waiting);
  if (Remaining.Serving_.empty())
    return !HasSameImageCapacity || Waited >= MaxSameImageWait;
  if (HasSameImageCapacity ||
      Survey_.hasCapacityWithoutServing(Step.getReserved()))
    return Waited >= MaxUnsharedServerWait;
  const double AddedInterference =
      Interference_.getAddedInterference(Remaining.Serving_, Step.Image_);
  const auto ExtraWait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          MaxAddedInterferenceWait) *
      AddedInterference);
  return Waited >= MinMixedImagesWait + ExtraWait;
}

bool Dispatcher::isSuitableForFilling(const StepSpec &Step, ServerPlan &Plan,
                                      Duration Waited, bool IsIdleJob) const {
  const RemainingCapacity &Remaining = Plan.Remaining_;
  // Bounds the wait while the fleet has spare capacity; the task is slowed down
  // wherever it lengthens tails.
  if (IsIdleJob && Survey_.hasSpareCapacity() && Waited >= MaxIdleJobWait)
    return true;
  if (Step.Need_.MilliCpus_ > Remaining.Idle_ - Remaining.IdleReserve_)
    return false;
  if (Waited < MaxInterferenceWait &&
      Interference_.isInterferingWithAny(Remaining.Serving_, Step.Image_))
    return false;
  return !Plan.IsPaced_ &&
         getHeadroom(Plan).fits(Step.Image_, Step.Need_.MilliCpus_);
}

TailHeadroom &Dispatcher::getHeadroom(ServerPlan &Plan) const {
  if (!Plan.Headroom_)
    Plan.Headroom_.emplace(Interference_, Loads_, Plan.Server_);
  return *Plan.Headroom_;
}

/// Returns whether this plan already rejected a task of the same image that
/// needs no more processors.
bool Dispatcher::isKnownRejected(const Candidate &Step,
                                 const ServerPlan &Plan) const {
  if (!Step.fills())
    return false;
  if (Step.IsIdleJob_ && Survey_.hasSpareCapacity())
    return false;
  const bool AvoidsInterference =
      Plan.Now_ - Step.ReadySince_ < MaxInterferenceWait;
  const std::int64_t Minimum =
      AvoidsInterference
          ? Plan.RejectedCpusAvoidingInterference_[Step.FillingImage_]
          : Plan.RejectedCpus_[Step.FillingImage_];
  return Step.IdleNeeded_ >= Minimum;
}

void Dispatcher::recordRejection(const Candidate &Step, ServerPlan &Plan) {
  if (!Step.fills())
    return;
  std::int64_t &AvoidingCpus =
      Plan.RejectedCpusAvoidingInterference_[Step.FillingImage_];
  AvoidingCpus = std::min(AvoidingCpus, Step.IdleNeeded_);
  if (Plan.Now_ - Step.ReadySince_ < MaxInterferenceWait)
    return;
  std::int64_t &AnyCpus = Plan.RejectedCpus_[Step.FillingImage_];
  AnyCpus = std::min(AnyCpus, Step.IdleNeeded_);
}

/// Adds starts of the step's tasks as long as they fit.
void Dispatcher::planStep(const JobRegistry &Registry, const Candidate &Entry,
                          ServerPlan &Plan) {
  const ReadyStep &Ready = Entry.Step_;
  const JobRecord &Job = *Entry.Job_;
  // The job may have ended, or all tasks may have been placed, since the order
  // was computed.
  const OccurrenceRecord *Occurrence =
      isEnded(Job.State_) ? nullptr : Job.findOccurrence(Ready.Occurrence_);
  if (!Occurrence || Occurrence->Steps_[Ready.Step_].Waiting_ == 0)
    return;
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  if (Step.Gang_ || Job.Policy_.Service_ != Plan.Server_.Facts_.Service_)
    return;
  StepPlan Current{Entry, Step, Occurrence->Steps_[Ready.Step_]};
  // Most steps need no key, which costs an allocation.
  const auto MakeKey = [&Ready] {
    return TaskKey{Ready.Job_, Ready.Occurrence_, Ready.Step_, 0};
  };
  if (Job.Policy_.Advice_.IsRequired_ &&
      !isAdvised(Job, MakeKey(), Plan.Server_.Facts_.Id_, Plan.Now_))
    return;
  if (Step.SpreadLimit_ > 0)
    Current.TasksHere_ = Plan.Server_.countTasksOfStep(MakeKey());
  Current.IsIdleJob_ = Job.Placements_ == 0;
  ++RecordsRead_;
  // Most steps are rejected here, before any of their tasks is read.
  if (!mayPlaceNext(Current, Plan))
    return;
  Current.Task_ = MakeKey();
  // Tasks that ran before come before those that never did.
  if (Step.LongRunning_ &&
      !planTasks(Registry, Current, TaskFilter::Lost, Plan))
    return;
  planTasks(Registry, Current,
            Step.LongRunning_ ? TaskFilter::New : TaskFilter::All, Plan);
}

/// Returns whether one more task of the step fits on the server and runs well
/// there.
bool Dispatcher::mayPlaceNext(const StepPlan &Current, ServerPlan &Plan) const {
  const StepSpec &Step = Current.Spec_;
  const Duration Waited = Plan.Now_ - Current.Entry_.ReadySince_;
  const bool IsCrowded =
      Step.SpreadLimit_ > 0 && Current.TasksHere_ >= Step.SpreadLimit_;
  if (IsCrowded || Plan.Starts_.size() >= Plan.MaxStarts_ ||
      !hasCapacity(Current.Entry_.Step_, Step, Plan, Waited))
    return false;
  if (isSuitable(Step, Plan, Waited, Current.IsIdleJob_,
                 Current.Record_.Waiting_))
    return true;
  recordRejection(Current.Entry_, Plan);
  return false;
}

/// Adds starts of these waiting tasks. Returns whether others of the step may
/// be placed as well. At first the caller has checked that one may.
bool Dispatcher::planTasks(const JobRegistry &Registry, StepPlan &Current,
                           TaskFilter Filter, ServerPlan &Plan) {
  const std::vector<TaskRecord> &Records = Current.Record_.Tasks_;
  TaskKey &Key = Current.Task_;
  const ProposedTasks::Indices *Proposed = Proposed_.findStep(Key);
  for (Key.Index_ = 0; Key.Index_ < Records.size(); ++Key.Index_) {
    ++RecordsRead_;
    const TaskRecord &Task = Records[Key.Index_];
    const bool IsLost = Task.LastRun_ > 0;
    if (Task.State_ != TaskState::Waiting ||
        (Filter == TaskFilter::Lost && !IsLost) ||
        (Filter == TaskFilter::New && IsLost) ||
        (Proposed && Proposed->count(Key.Index_) != 0) ||
        Isolation_.isIsolating(Key, Task))
      continue;
    // Long-running tasks are not kept away from a healthy server: they also
    // fail for reasons of their own, and another server may suit another image
    // better.
    const bool IsAvoided = (!Current.Spec_.LongRunning_ || Plan.MayFail_) &&
                           hasJustFailedHere(Key, Plan);
    if (IsAvoided)
      continue;
    const TaskStart Start{Key, Task.LastRun_ + 1, Plan.Server_.Facts_.Id_};
    if (!Registry.findRejectionReason(Start).empty())
      return false;
    addStart(Start, Current, Plan);
    if (!mayPlaceNext(Current, Plan))
      return false;
  }
  return true;
}

void Dispatcher::addStart(const TaskStart &Start, StepPlan &Current,
                          ServerPlan &Plan) {
  const StepSpec &Step = Current.Spec_;
  Plan.Starts_.push_back(Start);
  Proposed_.insert(Start.Task_);
  PlannedWaits_.push_back(Plan.Now_ - Current.Entry_.ReadySince_);
  Current.IsIdleJob_ = false;
  ++Current.TasksHere_;
  Plan.Remaining_.place(Step);
  if (!Step.LongRunning_) {
    Plan.StartedBounded_ = Plan.StartedBounded_ + Step.getReserved();
    Plan.BoundedPriority_ =
        std::max(Plan.BoundedPriority_, Current.Entry_.Step_.Priority_);
  }
  if (!Step.Fills_)
    return;
  getHeadroom(Plan).place(Step.Image_, Step.Need_.MilliCpus_);
  if (Start.Run_ == 1)
    Order_.recordStart(*Current.Entry_.Job_, Start.Task_.Step_, Plan.Now_);
}
