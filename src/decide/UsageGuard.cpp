//===- UsageGuard.cpp - Adjusts reservations to usage --------------------===//

#include "decide/UsageGuard.h"

#include "decide/AttemptDecision.h"
#include "decide/Text.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Consecutive samples over the reservation before the guard acts.
static constexpr std::uint32_t MinOverReports = 2;
/// A reservation changes when it is too small or too large by more than these
/// parts.
static constexpr double GrowThreshold = 0.1;
static constexpr double ShrinkThreshold = 0.25;
/// Weight of a sample in a task's sustained usage.
static constexpr double UsageSmoothing = 0.25;
/// A server counts as full when the measured usage exceeds this part of its
/// limit.
static constexpr double FullRatio = 0.95;
/// How long the effect of a decision is awaited.
static constexpr Duration EffectTimeout = std::chrono::seconds(10);
/// A task that ran this long without failing shows that its server works.
static constexpr Duration HealthyRunTime = std::chrono::seconds(20);

static std::int64_t scale(std::int64_t Amount, double Ratio) {
  return static_cast<std::int64_t>(static_cast<double>(Amount) * Ratio);
}

static bool isOver(const Resources &Usage, const Resources &Reservation) {
  return !Usage.fitsIn(Reservation);
}

static void updateSustainedUsage(RunningTask &Task) {
  const auto Used = static_cast<double>(Task.Usage_.MilliCpus_);
  Task.SustainedMilliCpus_ =
      Task.SustainedMilliCpus_ > 0
          ? Task.SustainedMilliCpus_ +
                UsageSmoothing * (Used - Task.SustainedMilliCpus_)
          : Used;
}

static Resources getSustainedUsage(const RunningTask &Task) {
  return Resources{static_cast<std::int64_t>(Task.SustainedMilliCpus_),
                   Task.Usage_.MemoryMib_, 0};
}

void UsageGuard::addUsageSample(const UsageSample &Sample) {
  RunningTask *Task = State_.findRunning(Sample.Task_);
  if (!Task || Task->Attempt_ != Sample.Attempt_ ||
      Sample.SampledAt_ <= Task->UsageAt_ || !Sample.Usage_.isValid())
    return;
  Task->UsageAt_ = Sample.SampledAt_;
  Task->WorkAtRisk_ = Sample.WorkSinceCheckpoint_;
  State_.Servers_.updateUsage(*Task, Sample.Usage_);
  State_.Servers_.setUnmeasured(*Task, false);
  const bool Unthrottled =
      Task->ThrottlePercent_ == 100 && Sample.SampledAt_ > Task->ThrottledAt_;
  if (Unthrottled)
    updateSustainedUsage(*Task);
  // Short peaks of different tasks rarely coincide, and processors can be
  // shared, so the sustained processor usage is learned and reserved. Memory
  // counts in full.
  const Resources Sustained = getSustainedUsage(*Task);
  State_.Sizes_.learn(Task->Class_, Sustained, Unthrottled);
  if (!Task->HealthRecorded_ &&
      Sample.SampledAt_ - Task->PlacedAt_ > HealthyRunTime) {
    Task->HealthRecorded_ = true;
    State_.Health_.recordSuccess(
        Sample.Task_.Job_, State_.Servers_.at(Task->Server_).Info_.Server_,
        Sample.SampledAt_, State_.Policy_);
  }
  if (Sample.SampledAt_ <= Task->IgnoreUsageUntil_)
    return;
  const bool Over = isOver(Sustained, Task->Reservation_);
  Task->OverReports_ = Over ? Task->OverReports_ + 1 : 0;
  if (Task->OverReports_ >= MinOverReports ||
      isWorthResizing(*Task, computeWantedReservation(*Task)))
    enqueueTask(*Task);
}

Resources UsageGuard::computeWantedReservation(const RunningTask &Task) const {
  const Resources Learned = State_.Sizes_.computeReservation(
      Task.Class_, Task.Info_.Declared_, State_.Policy_);
  // The reservation is never less than the task's own measured usage.
  return Learned.maxWith(getSustainedUsage(Task));
}

static bool needsChange(std::int64_t Reserved, std::int64_t Wanted) {
  return Wanted > Reserved + scale(Reserved, GrowThreshold) ||
         Wanted < Reserved - scale(Reserved, ShrinkThreshold);
}

bool UsageGuard::isWorthResizing(const RunningTask &Task,
                                 const Resources &Wanted) const {
  if (!State_.Sizes_.isKnown(Task.Class_))
    return false;
  return needsChange(Task.Reservation_.MilliCpus_, Wanted.MilliCpus_) ||
         needsChange(Task.Reservation_.MemoryMib_, Wanted.MemoryMib_);
}

void UsageGuard::enqueueTask(RunningTask &Task) {
  if (Task.ResizeQueued_)
    return;
  Task.ResizeQueued_ = true;
  TasksToCheck_.push_back(Task.Info_.Task_);
}

void UsageGuard::appendDecisions(TimePoint Now, std::size_t Budget,
                                 std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  // Tasks without a decision are cheap, but their number is bounded too.
  std::size_t RemainingTries = Budget * 4;
  while (!TasksToCheck_.empty() && Decisions.size() < End &&
         RemainingTries-- > 0) {
    RunningTask *Task = State_.findRunning(TasksToCheck_.front());
    TasksToCheck_.pop_front();
    if (!Task)
      continue;
    Task->ResizeQueued_ = false;
    if (Now < Task->PendingUntil_)
      continue;
    auto Result = decideTask(*Task, Now);
    if (!Result)
      continue;
    Task->PendingUntil_ = Now + EffectTimeout;
    Decisions.push_back(std::move(*Result));
  }
}

std::optional<Decision> UsageGuard::decideTask(RunningTask &Task,
                                               TimePoint Now) {
  auto Result = resize(Task, Now);
  if (Result)
    return Result;
  if (Task.OverReports_ < MinOverReports)
    return std::nullopt;
  return limitTask(Task, Now);
}

std::optional<Decision> UsageGuard::resize(RunningTask &Task, TimePoint Now) {
  const ServerEntry &Server = State_.Servers_.at(Task.Server_);
  const Resources Wanted = computeWantedReservation(Task);
  const bool Over = Task.OverReports_ >= MinOverReports;
  if (!Over && !isWorthResizing(Task, Wanted))
    return std::nullopt;
  // Growth is limited by the free room. Each dimension is handled separately,
  // because one that cannot grow does not keep the other from shrinking.
  const Resources MaxReservation = Task.Reservation_ + Server.room();
  Resources Reserved = Wanted;
  Reserved.Accelerators_ = Task.Reservation_.Accelerators_;
  if (Reserved.MilliCpus_ > MaxReservation.MilliCpus_)
    Reserved.MilliCpus_ = Task.Reservation_.MilliCpus_;
  if (Reserved.MemoryMib_ > MaxReservation.MemoryMib_)
    Reserved.MemoryMib_ = Task.Reservation_.MemoryMib_;
  const bool Changes =
      needsChange(Task.Reservation_.MilliCpus_, Reserved.MilliCpus_) ||
      needsChange(Task.Reservation_.MemoryMib_, Reserved.MemoryMib_);
  const bool StillOver = Over && isOver(getSustainedUsage(Task), Reserved);
  if (!Changes || StillOver)
    return std::nullopt;
  const Resources Growth =
      Reserved.maxWith(Task.Reservation_) - Task.Reservation_;
  if (Growth != Resources())
    State_.holdGrowth(Task.Info_.Task_, Growth, Now + EffectTimeout);
  auto Result = makeAttemptDecision(DecisionKind::Reserve,
                                    ReasonCode::LearnedSize, Server, Task);
  Result.Reservation_ = Reserved;
  Result.Text_ = "task " + Task.Info_.Task_.toString() + " on " +
                 Server.Info_.Server_.value() + " now reserves " +
                 describe(Reserved) + " instead of " +
                 describe(Task.Reservation_) +
                 ": the measured need of tasks of class " +
                 Task.Info_.Class_.value() + ", with a margin";
  return Result;
}

std::optional<Decision> UsageGuard::limitTask(RunningTask &Task,
                                              TimePoint Now) {
  const ServerEntry &Server = State_.Servers_.at(Task.Server_);
  const Resources Limit = Server.limit();
  const bool ProcessorsOver =
      getSustainedUsage(Task).MilliCpus_ > Task.Reservation_.MilliCpus_ &&
      Server.MeasuredUsage_.MilliCpus_ > scale(Limit.MilliCpus_, FullRatio);
  const bool MemoryOver =
      Task.Usage_.MemoryMib_ > Task.Reservation_.MemoryMib_ &&
      Server.MeasuredUsage_.MemoryMib_ > scale(Limit.MemoryMib_, FullRatio);
  if (!ProcessorsOver && !MemoryOver)
    return std::nullopt;
  const bool Throttled = Task.ThrottlePercent_ < 100;
  auto Result = makeAttemptDecision(
      Throttled ? DecisionKind::Evict : DecisionKind::Throttle,
      ReasonCode::UsageOverReserved, Server, Task);
  if (!Throttled)
    Result.ThrottlePercent_ = State_.Policy_.ThrottlePercent_;
  Result.Text_ = "task " + Task.Info_.Task_.toString() + " on " +
                 Server.Info_.Server_.value() +
                 (Throttled ? " is evicted" : " is throttled") + ": it used " +
                 describe(Task.Usage_) + ", reserved were " +
                 describe(Task.Reservation_) +
                 ", and the measured usage fills the server (" +
                 describe(Server.MeasuredUsage_) + " of " + describe(Limit) +
                 ")" + (Throttled ? "; throttling it did not help" : "");
  Task.OverReports_ = 0;
  Task.IgnoreUsageUntil_ = Now;
  return Result;
}
