#include "jobs/OverdueSteps.h"

#include "jobs/LongRunningRank.h"

#include <algorithm>
#include <limits>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The interval at which waits beside room are measured: half a report
/// interval, as most rooms are offered no sooner.
static constexpr Duration MeasureInterval = std::chrono::milliseconds(250);
/// Only the largest rooms are considered, which bounds the work of a
/// measurement on a fleet with hundreds of rooms and of waiting steps.
static constexpr std::size_t MaxRooms = 16;

void OverdueSteps::reset() { *this = OverdueSteps(); }

static const StepSpec &getSpec(const JobRegistry &Registry,
                               const ReadyStep &Step) {
  return Registry.findJob(Step.Job_)->Spec_.Steps_[Step.Step_];
}

void OverdueSteps::recordLoss(const std::map<TaskKey, std::uint64_t> &Runs) {
  for (const auto &[Task, Run] : Runs)
    Tasks_[Task] = {Run, {}, true};
}

/// Notes since when the task has waited. HasStepWaited tells that its step has
/// been ready for MaxReturnWait.
bool OverdueSteps::isOverdue(const TaskKey &Task, const TaskRecord &Record,
                             bool HasStepWaited, TimePoint Now) {
  const auto [It, IsFirst] = Tasks_.try_emplace(Task);
  WaitingTask &Waiting = It->second;
  if (IsFirst || Waiting.Run_ != Record.LastRun_) {
    const bool HasWaited = IsNew_ && HasStepWaited;
    Waiting = {Record.LastRun_, HasWaited ? Now - MaxReturnWait : Now, false};
  }
  return Waiting.IsLost_ || Now - Waiting.Since_ >= MaxReturnWait;
}

void OverdueSteps::update(const JobRegistry &Registry, const ReadyTimes &Waits,
                          const LiveServerTable &LiveServers, TimePoint Now) {
  Needs_.clear();
  LeastCpus_ = std::numeric_limits<std::int64_t>::max();
  std::erase_if(Tasks_, [&Registry](const auto &Entry) {
    const TaskRecord *Task = Registry.findTask(Entry.first);
    return !Task || Task->State_ != TaskState::Waiting;
  });
  for (const ReadyStep &Step : Registry.readyLongRunningSteps()) {
    const bool HasStepWaited = Waits.hasWaitedSince(Step, Now - MaxReturnWait);
    const std::vector<TaskRecord> &Tasks = getStepRecord(Registry, Step).Tasks_;
    bool IsAnyOverdue = false;
    TaskKey Key{Step.Job_, Step.Occurrence_, Step.Step_, 0};
    for (; Key.Index_ < Tasks.size(); ++Key.Index_) {
      const TaskRecord &Task = Tasks[Key.Index_];
      if (Task.State_ == TaskState::Waiting && Task.LastRun_ > 0 &&
          isOverdue(Key, Task, HasStepWaited, Now))
        IsAnyOverdue = true;
    }
    if (!IsAnyOverdue)
      continue;
    const Resources Need = getSpec(Registry, Step).getReserved();
    Needs_.emplace_hint(Needs_.end(), Step, Need);
    LeastCpus_ = std::min(LeastCpus_, Need.MilliCpus_);
  }
  IsNew_ = false;
  if (Now < NextMeasurement_)
    return;
  NextMeasurement_ = Now + MeasureInterval;
  measureWaits(Registry, LiveServers, Now);
}

bool OverdueSteps::isEligible(const JobRegistry &Registry,
                              const ReadyStep &Step,
                              const ServerRecord &Server) {
  const JobRecord &Job = *Registry.findJob(Step.Job_);
  const StepSpec &Spec = Job.Spec_.Steps_[Step.Step_];
  return Job.Policy_.Service_ == Server.Facts_.Service_ &&
         Server.Facts_.hasLabel(Spec.Label_) &&
         (Spec.SpreadLimit_ == 0 ||
          Server.countTasksOfStep({Step.Job_, Step.Occurrence_, Step.Step_,
                                   0}) < Spec.SpreadLimit_);
}

void OverdueSteps::findRooms(const JobRegistry &Registry,
                             const LiveServerTable &LiveServers,
                             TimePoint Now) {
  Rooms_.clear();
  for (const auto &[Id, Server] : Registry.servers()) {
    const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
    if (Free.MilliCpus_ >= LeastCpus_ &&
        LiveServers.canStart(Registry, Server, Now))
      Rooms_.push_back({&Server, Free});
  }
  const auto Kept = Rooms_.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(MaxRooms, Rooms_.size()));
  std::partial_sort(Rooms_.begin(), Kept, Rooms_.end(),
                    [](const Room &A, const Room &B) {
                      return A.Free_.MilliCpus_ > B.Free_.MilliCpus_;
                    });
  Rooms_.erase(Kept, Rooms_.end());
}

/// Returns the largest room for the step if two of its tasks would fit, on one
/// server or on two; nullptr if they would not.
const OverdueSteps::Room *
OverdueSteps::findRoomForTwo(const JobRegistry &Registry,
                             const ReadyStep &Step) const {
  const StepSpec &Spec = getSpec(Registry, Step);
  const Resources Need = Spec.getReserved();
  const Room *First = nullptr;
  for (const Room &Entry : Rooms_) {
    if (!Need.fitsIn(Entry.Free_) ||
        !isEligible(Registry, Step, *Entry.Server_))
      continue;
    const bool FitsTwice =
        Spec.SpreadLimit_ != 1 && (Need + Need).fitsIn(Entry.Free_);
    if (First || FitsTwice)
      return First ? First : &Entry;
    First = &Entry;
  }
  return nullptr;
}

void OverdueSteps::measureWaits(const JobRegistry &Registry,
                                const LiveServerTable &LiveServers,
                                TimePoint Now) {
  const std::map<ReadyStep, Wait> Previous = std::exchange(Waits_, {});
  if (!Needs_.empty())
    findRooms(Registry, LiveServers, Now);
  for (const auto &[Step, Need] : Needs_) {
    const Room *Largest = findRoomForTwo(Registry, Step);
    if (!Largest)
      continue;
    const auto Before = Previous.find(Step);
    Wait Current = Before == Previous.end() ? Wait{Now, false} : Before->second;
    const Duration Time = Now - Current.Since_;
    if (Time >= LongWait && !std::exchange(Current.IsReported_, true))
      LongWaits_.push_back({Step, Time, Largest->Server_->Facts_.Id_,
                            Largest->Free_.MilliCpus_});
    Waits_.emplace(Step, Current);
  }
  for (const auto &[Step, Ended] : Previous)
    if (Waits_.count(Step) == 0)
      EndedWaits_.push_back(Now - Ended.Since_);
  Rooms_.clear();
}
