#include "jobs/CapacityShares.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A decision looks at all servers. Each reports five times more rarely.
static constexpr Duration DecisionInterval = 100ms;
/// With this pause for each server the share of the processor does not grow
/// with the fleet; a decision takes a hundredth of it.
static constexpr Duration DecisionPausePerServer = 400us;
/// How old the status may be while nothing is decided: half a report interval.
static constexpr Duration StatusInterval = 250ms;
/// An order to yield that had no effect for this time, four report intervals,
/// is given up.
static constexpr Duration MaxYieldTime = 2s;
/// Kept capacity that no task takes is released after this time, three report
/// intervals, and its server keeps none for the second time.
static constexpr Duration MaxUnusedTime = 1500ms;
static constexpr Duration ReleaseTime = 5s;
/// Bounds the tasks that one decision stops, with a line of the log for each.
static constexpr std::size_t MaxYieldsPerDecision = 16;

void CapacityShares::reset() {
  Status_ = {};
  NextDecision_ = NextStatus_ = {};
  Endangered_.clear();
  IsShort_ = false;
  Yields_.clear();
  Kept_.clear();
  YieldedAt_.clear();
  Unused_.clear();
  ReleasedUntil_.clear();
  Returns_.clear();
}

void CapacityShares::update(const FleetView &View) {
  const TimePoint Now = View.Now_;
  if (Settings_.IsEnabled_) {
    settleYields(View.Registry_, Now);
    dropNeedless(View.Registry_);
  }
  const bool IsDeciding = Settings_.IsEnabled_ && Now >= NextDecision_;
  if (IsDeciding) {
    NextDecision_ =
        Now + std::max<Duration>(DecisionInterval,
                                 DecisionPausePerServer *
                                     static_cast<std::int64_t>(
                                         View.Registry_.servers().size()));
    Survey_.updateWaiting(View);
    Endangered_.clear();
    for (const BoundedStep &Step : Survey_.waiting())
      if (Step.IsEndangered_)
        Endangered_.insert(Step.Step_);
    // Room that has yielded stays with bounded work while that waits and tasks
    // are away: its next step would be late else, and other tasks would yield.
    IsShort_ = !Endangered_.empty() || Status_.Yielding_ > 0;
    if (IsShort_) {
      decide(View);
    } else {
      Kept_.clear();
      std::erase_if(Yields_,
                    [](const auto &Entry) { return !Entry.second.IsSent_; });
    }
  }
  if (Now >= NextStatus_) {
    NextStatus_ = Now + StatusInterval;
    updateStatus(View);
  }
}

/// Follows a task that yields. Returns whether it runs again, or its yield has
/// come to nothing.
bool CapacityShares::isSettled(const JobRegistry &Registry, const TaskKey &Task,
                               Yield &Value, TimePoint Now) {
  const JobRecord *Job = Registry.findJob(Task.Job_);
  const TaskRecord *Record = Job ? Job->findTask(Task) : nullptr;
  if (!Record || isEnded(Job->State_) || Record->State_ == TaskState::Done)
    return true;
  const bool IsPlaced = Record->State_ == TaskState::Placed;
  if (IsPlaced && Record->LastRun_ == Value.Run_)
    return Now - Value.DecidedAt_ >= MaxYieldTime;
  // A run that was lost before the order was sent has not yielded.
  if (!Value.IsSent_)
    return true;
  if (!Value.StoppedAt_)
    Value.StoppedAt_ = Now;
  if (IsPlaced)
    Returns_.push_back(Now - *Value.StoppedAt_);
  return IsPlaced;
}

void CapacityShares::settleYields(const JobRegistry &Registry, TimePoint Now) {
  for (auto It = Yields_.begin(); It != Yields_.end();)
    It = isSettled(Registry, It->first, It->second, Now) ? Yields_.erase(It)
                                                         : std::next(It);
  Status_.Yielding_ = static_cast<std::uint64_t>(
      std::count_if(Yields_.begin(), Yields_.end(), [](const auto &Entry) {
        return Entry.second.StoppedAt_.has_value();
      }));
  std::erase_if(YieldedAt_, [&](const auto &Entry) {
    return Now - Entry.second >= Settings_.MinYieldInterval_;
  });
  std::erase_if(ReleasedUntil_,
                [Now](const auto &Entry) { return Now >= Entry.second; });
}

/// Gives back at once what is kept for steps that no longer wait.
void CapacityShares::dropNeedless(const JobRegistry &Registry) {
  const auto IsOver = [&Registry](const ReadyStep &Step) {
    return Registry.readySteps().count(Step) == 0;
  };
  std::erase_if(Kept_,
                [&](const auto &Entry) { return IsOver(Entry.second.For_); });
  std::erase_if(Yields_, [&](const auto &Entry) {
    return !Entry.second.IsSent_ && IsOver(Entry.second.For_);
  });
  std::erase_if(Unused_,
                [&](const auto &Entry) { return IsOver(Entry.first); });
}

/// Returns how many tasks of this need fit into the room, up to Limit.
static std::uint64_t countFitting(const Resources &Need, const Resources &Room,
                                  std::uint64_t Limit) {
  if (!Need.fitsIn(Room))
    return 0;
  const auto CountIn = [Limit](std::int64_t Each, std::int64_t All) {
    return Each > 0 ? static_cast<std::uint64_t>(All / Each) : Limit;
  };
  return std::min({Limit, CountIn(Need.MilliCpus_, Room.MilliCpus_),
                   CountIn(Need.MemoryMib_, Room.MemoryMib_),
                   CountIn(Need.Accelerators_, Room.Accelerators_)});
}

static Resources multiply(const Resources &Need, std::uint64_t Count) {
  const auto Factor = static_cast<std::int64_t>(Count);
  return {Need.MilliCpus_ * Factor, Need.MemoryMib_ * Factor,
          Need.Accelerators_ * Factor};
}

/// Places the tasks that would be late into rooms that are or will soon be
/// free, and lets long-running tasks yield for the others.
void CapacityShares::decide(const FleetView &View) {
  Survey_.updateRooms(View, [this](const TaskKey &Task) {
    const auto It = Yields_.find(Task);
    return It != Yields_.end() && !It->second.StoppedAt_;
  });
  NewYields_ = 0;
  for (ServerRoom &Room : Survey_.rooms()) {
    Room.Free_ = Room.Free_ + Room.Yielding_;
    Room.SoonFree_ = Room.SoonFree_ + Room.Yielding_;
  }
  for (const BoundedStep &Step : Survey_.waiting())
    if (Unused_.count(Step.Step_) == 0)
      planStep(View, Step);
  withdrawNeedless();
  keepCapacity(View.Now_);
  NextStatus_ = View.Now_ + StatusInterval;
  updateStatus(View);
}

/// Returns whether tasks of the step may start on the server, apart from their
/// needs.
bool CapacityShares::mayUse(const BoundedStep &Step, const ServerRoom &Room,
                            TimePoint Now) const {
  const ServerFacts &Facts = Room.Server_->Facts_;
  const bool IsSuitable = Step.Job_->Policy_.Service_ == Facts.Service_ &&
                          Facts.hasLabel(Step.Spec_->Label_) &&
                          !Step.Job_->Policy_.Advice_.IsRequired_;
  if (!IsSuitable || (Room.IsReserved_ && !isKept(Facts.Id_)))
    return false;
  const auto Released = ReleasedUntil_.find(Facts.Id_);
  return Released == ReleasedUntil_.end() || Now >= Released->second;
}

void CapacityShares::placeInRoom(const BoundedStep &Step, ServerRoom &Room,
                                 std::uint64_t &Waiting) {
  const Resources Need = Step.Spec_->getReserved();
  std::uint64_t Limit = Waiting;
  if (Step.Spec_->SpreadLimit_ > 0) {
    const std::uint64_t Here = Room.Server_->countTasksOfStep(
        {Step.Step_.Job_, Step.Step_.Occurrence_, Step.Step_.Step_, 0});
    Limit = std::min(Limit, Step.Spec_->SpreadLimit_ -
                                std::min(Here, Step.Spec_->SpreadLimit_));
  }
  const std::uint64_t Now = countFitting(Need, Room.Free_, Limit);
  const std::uint64_t Soon = countFitting(Need, Room.SoonFree_, Limit);
  if (Soon == 0)
    return;
  Room.Free_ = Room.Free_ - multiply(Need, Now);
  // What is kept for a step is kept from long-running work of its priority.
  if (!Room.For_ || Room.For_->Step_.Priority_ == Step.Step_.Priority_)
    Room.Placed_ = Room.Placed_ + multiply(Need, Now);
  Room.SoonFree_ = Room.SoonFree_ - multiply(Need, Soon);
  Waiting -= Soon;
  if (!Room.For_)
    Room.For_ = &Step;
}

void CapacityShares::planStep(const FleetView &View, const BoundedStep &Step) {
  std::uint64_t Waiting = Step.Waiting_;
  const Resources Need = Step.Spec_->getReserved();
  for (ServerRoom &Room : Survey_.rooms()) {
    if (Waiting == 0)
      return;
    if (Need.fitsIn(Room.SoonFree_) && mayUse(Step, Room, View.Now_))
      placeInRoom(Step, Room, Waiting);
  }
  while (Step.IsEndangered_ && Waiting > 0 &&
         NewYields_ < MaxYieldsPerDecision) {
    const YieldCandidate *Chosen = chooseYield(Step, Waiting, View.Now_);
    if (!Chosen)
      return;
    ServerRoom &Room = Survey_.rooms()[Chosen->Room_];
    // Such a task would take the room before the bounded work does. One that
    // needs advice may have no ticket for the server.
    const bool IsOwed = View.Overdue_.findFitting(
        View.Registry_, *Room.Server_, Room.Free_ + Chosen->Need_,
        [&](const ReadyStep &Overdue) {
          return Overdue.Priority_ <= Step.Step_.Priority_ &&
                 !View.Registry_.findJob(Overdue.Job_)
                      ->Policy_.Advice_.IsRequired_;
        });
    if (IsOwed)
      return;
    Survey_.spendBudget(*Chosen);
    ++NewYields_;
    Yield Value;
    Value.Run_ = Chosen->Run_;
    Value.Server_ = Room.Server_->Facts_.Id_;
    Value.For_ = Step.Step_;
    Value.Slack_ = Step.Slack_;
    Value.NeededCpus_ = multiply(Need, Step.Waiting_).MilliCpus_;
    Value.DecidedAt_ = View.Now_;
    Yields_[Chosen->Task_] = std::move(Value);
    Room.Free_ = Room.Free_ + Chosen->Need_;
    Room.SoonFree_ = Room.SoonFree_ + Chosen->Need_;
    Room.Yielding_ = Room.Yielding_ + Chosen->Need_;
    placeInRoom(Step, Room, Waiting);
  }
}

/// Returns the run whose stop gives room to most of the tasks and leaves the
/// fewest processors over; nullptr if there is none.
const YieldCandidate *CapacityShares::chooseYield(const BoundedStep &Step,
                                                  std::uint64_t Waiting,
                                                  TimePoint Now) const {
  const Resources Need = Step.Spec_->getReserved();
  const YieldCandidate *Best = nullptr;
  std::pair<std::int64_t, std::int64_t> BestValue;
  for (const YieldCandidate &Candidate : Survey_.candidates()) {
    const ServerRoom &Room = Survey_.rooms()[Candidate.Room_];
    const Resources Freed = Room.Free_ + Candidate.Need_;
    const std::uint64_t Tasks = countFitting(Need, Freed, Waiting);
    if (Tasks == 0 || Candidate.Priority_ < Step.Step_.Priority_)
      continue;
    const auto Count = static_cast<std::int64_t>(Tasks);
    const std::pair Value(Count, Count * Need.MilliCpus_ - Freed.MilliCpus_);
    if ((Best && Value <= BestValue) || !Survey_.hasBudget(Candidate) ||
        Yields_.count(Candidate.Task_) != 0 ||
        YieldedAt_.count(Candidate.Task_) != 0 || !mayUse(Step, Room, Now))
      continue;
    Best = &Candidate;
    BestValue = Value;
  }
  return Best;
}

/// Withdraws orders that have not been sent and are not needed any more.
void CapacityShares::withdrawNeedless() {
  std::map<std::string, const ServerRoom *> Rooms;
  for (const ServerRoom &Room : Survey_.rooms())
    if (Room.Yielding_ != Resources{})
      Rooms[Room.Server_->Facts_.Id_] = &Room;
  std::erase_if(Yields_, [&Rooms](const auto &Entry) {
    if (Entry.second.IsSent_)
      return false;
    const auto It = Rooms.find(Entry.second.Server_);
    // Placed_ fits without what the orders would free.
    return It == Rooms.end() || It->second->Yielding_.fitsIn(It->second->Free_);
  });
}

void CapacityShares::keepCapacity(TimePoint Now) {
  std::map<std::string, KeptCapacity> Previous = std::exchange(Kept_, {});
  for (const ServerRoom &Room : Survey_.rooms()) {
    if (!Room.For_)
      continue;
    const std::string &Id = Room.Server_->Facts_.Id_;
    KeptCapacity Value;
    Value.Share_ = Room.UsedBounded_ + Room.Placed_;
    Value.For_ = Room.For_->Step_;
    Value.UsedBounded_ = Room.UsedBounded_;
    // Room.Free_ includes what is not freed yet.
    Value.IsFree_ = Room.For_->Spec_->getReserved().fitsIn(
        Room.Free_ + Room.Placed_ - Room.Yielding_);
    Value.FreeSince_ = Now;
    const auto Before = Previous.find(Id);
    if (Value.IsFree_ && Before != Previous.end() && Before->second.IsFree_ &&
        Before->second.UsedBounded_ == Value.UsedBounded_)
      Value.FreeSince_ = Before->second.FreeSince_;
    if (Value.IsFree_ && Now - Value.FreeSince_ >= MaxUnusedTime) {
      Unused_.try_emplace(Value.For_, Now);
      ReleasedUntil_[Id] = Now + ReleaseTime;
      continue;
    }
    Kept_.emplace(Id, std::move(Value));
  }
}

void CapacityShares::updateStatus(const FleetView &View) {
  if (Settings_.IsEnabled_ && !IsShort_)
    Survey_.updateRooms(View, [](const TaskKey &) { return false; });
  ShareStatus Status;
  Status.Yielding_ = Status_.Yielding_;
  for (const auto &[Id, Server] : View.Registry_.servers()) {
    if (!View.LiveServers_.acceptsStarts(View.Registry_, Server))
      continue;
    Status.Capacity_ += Server.Facts_.Capacity_.MilliCpus_;
    Status.Lasting_ += Server.UsedByLongRunning_.MilliCpus_;
    Status.Bounded_ +=
        Server.Used_.MilliCpus_ - Server.UsedByLongRunning_.MilliCpus_;
  }
  for (const ReadyStep &Ready : View.Registry_.readySteps()) {
    const JobRecord &Job = *View.Registry_.findJob(Ready.Job_);
    const StepSpec &Spec = Job.Spec_.Steps_[Ready.Step_];
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    (Spec.LongRunning_ ? Status.LastingWaiting_ : Status.BoundedWaiting_) +=
        multiply(Spec.getReserved(), Waiting).MilliCpus_;
  }
  if (Settings_.IsEnabled_)
    Status.Yieldable_ = Survey_.countYieldable();
  Status_ = Status;
}

void CapacityShares::recordStop(const TaskKey &Task, std::uint64_t Run) {
  const auto It = Yields_.find(Task);
  if (It == Yields_.end() || It->second.Run_ != Run)
    return;
  It->second.IsSent_ = true;
  YieldedAt_[Task] = It->second.DecidedAt_;
}

std::vector<Duration> CapacityShares::takeReturns() {
  return std::exchange(Returns_, {});
}

bool CapacityShares::mustYield(const TaskKey &Task, std::uint64_t Run) const {
  const auto It = Yields_.find(Task);
  return It != Yields_.end() && It->second.Run_ == Run;
}

std::string CapacityShares::describeYield(const TaskKey &Task) const {
  const auto It = Yields_.find(Task);
  if (It == Yields_.end())
    return "";
  const Yield &Value = It->second;
  const auto SlackMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value.Slack_)
          .count();
  return "yields to job " + Value.For_.Job_ + " step " +
         std::to_string(Value.For_.Occurrence_) + "." +
         std::to_string(Value.For_.Step_) + ", which would be late in " +
         std::to_string(SlackMs) + " ms and needs " +
         std::to_string(Value.NeededCpus_) + " thousandths of a processor";
}

const Resources *CapacityShares::findKeptForBounded(const std::string &ServerId,
                                                    std::uint64_t Priority,
                                                    bool IsOverdue) const {
  const auto It = Kept_.find(ServerId);
  if (It == Kept_.end())
    return nullptr;
  const std::uint64_t KeptFor = It->second.For_.Priority_;
  const bool IsKeptFrom = IsOverdue ? KeptFor < Priority : KeptFor <= Priority;
  return IsKeptFrom ? &It->second.Share_ : nullptr;
}
