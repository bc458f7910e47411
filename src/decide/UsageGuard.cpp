//===- UsageGuard.cpp - Reservations that follow measured usage ---------===//

#include "decide/UsageGuard.h"

#include "decide/AttemptDecision.h"
#include "decide/Text.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Samples in a row over the reservation before anything is done about it.
static constexpr std::uint32_t ReportsOver = 2;
/// A reservation is changed when it is off by more than these parts.
static constexpr double GrowPart = 0.1;
static constexpr double ShrinkPart = 0.25;
/// Part of a sample in a task's sustained use.
static constexpr double SmoothGain = 0.25;
/// A server counts as full from this part of its limit.
static constexpr double FullPart = 0.95;
/// How long a decision's effect is awaited.
static constexpr Duration PendingTime = std::chrono::seconds(10);
/// A task that ran this long without failing shows that its server works.
static constexpr Duration HealthyRun = std::chrono::seconds(20);

static std::int64_t scale(std::int64_t Amount, double Part) {
  return static_cast<std::int64_t>(static_cast<double>(Amount) * Part);
}

static bool isOver(const Resources &Usage, const Resources &Reservation) {
  return !Usage.fitsIn(Reservation);
}

static void smooth(RunningTask &Task) {
  const auto Used = static_cast<double>(Task.Usage_.MilliCpus_);
  Task.SustainedMilliCpus_ =
      Task.SustainedMilliCpus_ > 0
          ? Task.SustainedMilliCpus_ +
                SmoothGain * (Used - Task.SustainedMilliCpus_)
          : Used;
}

static Resources sustainedBy(const RunningTask &Task) {
  return Resources{static_cast<std::int64_t>(Task.SustainedMilliCpus_),
                   Task.Usage_.MemoryMib_, 0};
}

void UsageGuard::noteUsage(const UsageSample &Sample) {
  RunningTask *Task = State_.findRunning(Sample.Task_);
  if (!Task || Task->Attempt_ != Sample.Attempt_ ||
      Sample.SampledAt_ <= Task->UsageAt_ || !Sample.Usage_.isValid())
    return;
  Task->UsageAt_ = Sample.SampledAt_;
  Task->WorkAtRisk_ = Sample.WorkSinceCheckpoint_;
  State_.Servers_.measureTask(*Task, Sample.Usage_);
  State_.Servers_.setUnproven(*Task, false);
  const bool Unthrottled =
      Task->ThrottlePercent_ == 100 && Sample.SampledAt_ > Task->ThrottledAt_;
  if (Unthrottled)
    smooth(*Task);
  // Short peaks of different tasks rarely meet, and processors can be shared:
  // what is learned and reserved is the sustained use. Memory counts in full.
  const Resources Sustained = sustainedBy(*Task);
  State_.Sizes_.learn(Task->Class_, Sustained, Unthrottled);
  if (!Task->HealthNoted_ && Sample.SampledAt_ - Task->PlacedAt_ > HealthyRun) {
    Task->HealthNoted_ = true;
    State_.Health_.noteHealthy(Sample.Task_.Job_,
                               State_.Servers_.at(Task->Server_).Info_.Server_,
                               Sample.SampledAt_, State_.Policy_);
  }
  if (Sample.SampledAt_ <= Task->IgnoreUsageUntil_)
    return;
  const bool Over = isOver(Sustained, Task->Reservation_);
  Task->OverReports_ = Over ? Task->OverReports_ + 1 : 0;
  if (Task->OverReports_ >= ReportsOver ||
      isWorthResizing(*Task, wantedFor(*Task)))
    queue(*Task);
}

Resources UsageGuard::wantedFor(const RunningTask &Task) const {
  const Resources Learned = State_.Sizes_.reserveFor(
      Task.Class_, Task.Info_.Declared_, State_.Policy_);
  // Never below what the task itself was measured to use.
  return Learned.maxWith(sustainedBy(Task));
}

static bool isOff(std::int64_t Reserved, std::int64_t Wanted) {
  return Wanted > Reserved + scale(Reserved, GrowPart) ||
         Wanted < Reserved - scale(Reserved, ShrinkPart);
}

bool UsageGuard::isWorthResizing(const RunningTask &Task,
                                 const Resources &Wanted) const {
  if (!State_.Sizes_.isKnown(Task.Class_))
    return false;
  return isOff(Task.Reservation_.MilliCpus_, Wanted.MilliCpus_) ||
         isOff(Task.Reservation_.MemoryMib_, Wanted.MemoryMib_);
}

void UsageGuard::queue(RunningTask &Task) {
  if (Task.ResizeQueued_)
    return;
  Task.ResizeQueued_ = true;
  ToCheck_.push_back(Task.Info_.Task_);
}

void UsageGuard::act(TimePoint Now, std::size_t Budget,
                     std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  // What leads to no decision is cheap, but is bounded too.
  std::size_t Looks = Budget * 4;
  while (!ToCheck_.empty() && Decisions.size() < End && Looks-- > 0) {
    RunningTask *Task = State_.findRunning(ToCheck_.front());
    ToCheck_.pop_front();
    if (!Task)
      continue;
    Task->ResizeQueued_ = false;
    if (Now < Task->PendingUntil_)
      continue;
    auto Value = judge(*Task, Now);
    if (!Value)
      continue;
    Task->PendingUntil_ = Now + PendingTime;
    Decisions.push_back(std::move(*Value));
  }
}

std::optional<Decision> UsageGuard::judge(RunningTask &Task, TimePoint Now) {
  auto Value = resize(Task, Now);
  if (Value)
    return Value;
  if (Task.OverReports_ < ReportsOver)
    return std::nullopt;
  return punish(Task, Now);
}

std::optional<Decision> UsageGuard::resize(RunningTask &Task, TimePoint Now) {
  const ServerEntry &Server = State_.Servers_.at(Task.Server_);
  const Resources Wanted = wantedFor(Task);
  const bool Over = Task.OverReports_ >= ReportsOver;
  if (!Over && !isWorthResizing(Task, Wanted))
    return std::nullopt;
  // Growth is capped by the room; a dimension that cannot grow may still
  // shrink, so each is taken for itself.
  const Resources Most = Task.Reservation_ + Server.room();
  Resources Reserved = Wanted;
  Reserved.Accelerators_ = Task.Reservation_.Accelerators_;
  if (Reserved.MilliCpus_ > Most.MilliCpus_)
    Reserved.MilliCpus_ = Task.Reservation_.MilliCpus_;
  if (Reserved.MemoryMib_ > Most.MemoryMib_)
    Reserved.MemoryMib_ = Task.Reservation_.MemoryMib_;
  const bool Changes =
      isOff(Task.Reservation_.MilliCpus_, Reserved.MilliCpus_) ||
      isOff(Task.Reservation_.MemoryMib_, Reserved.MemoryMib_);
  const bool StillOver = Over && isOver(sustainedBy(Task), Reserved);
  if (!Changes || StillOver)
    return std::nullopt;
  const Resources Growth =
      Reserved.maxWith(Task.Reservation_) - Task.Reservation_;
  if (Growth != Resources())
    State_.holdGrowth(Task.Info_.Task_, Growth, Now + PendingTime);
  auto Value = makeAttemptDecision(DecisionKind::Reserve,
                                   ReasonCode::LearnedSize, Server, Task);
  Value.Reservation_ = Reserved;
  Value.Text_ = "task " + Task.Info_.Task_.toString() + " on " +
                Server.Info_.Server_.value() + " now reserves " +
                describe(Reserved) + " instead of " +
                describe(Task.Reservation_) + ": that is what tasks of class " +
                Task.Info_.Class_.value() +
                " were measured to need, with a margin";
  return Value;
}

std::optional<Decision> UsageGuard::punish(RunningTask &Task, TimePoint Now) {
  const ServerEntry &Server = State_.Servers_.at(Task.Server_);
  const Resources Limit = Server.limit();
  const bool ProcessorsOver =
      sustainedBy(Task).MilliCpus_ > Task.Reservation_.MilliCpus_ &&
      Server.Measured_.MilliCpus_ > scale(Limit.MilliCpus_, FullPart);
  const bool MemoryOver =
      Task.Usage_.MemoryMib_ > Task.Reservation_.MemoryMib_ &&
      Server.Measured_.MemoryMib_ > scale(Limit.MemoryMib_, FullPart);
  if (!ProcessorsOver && !MemoryOver)
    return std::nullopt;
  const bool Throttled = Task.ThrottlePercent_ < 100;
  auto Value = makeAttemptDecision(Throttled ? DecisionKind::Evict
                                             : DecisionKind::Throttle,
                                   ReasonCode::UsageOverReserved, Server, Task);
  if (!Throttled)
    Value.ThrottlePercent_ = State_.Policy_.ThrottlePercent_;
  Value.Text_ = "task " + Task.Info_.Task_.toString() + " on " +
                Server.Info_.Server_.value() +
                (Throttled ? " is evicted" : " is throttled") + ": it used " +
                describe(Task.Usage_) + ", reserved were " +
                describe(Task.Reservation_) +
                ", and the server is full by measure (" +
                describe(Server.Measured_) + " of " + describe(Limit) + ")" +
                (Throttled ? "; throttling it did not help" : "");
  Task.OverReports_ = 0;
  Task.IgnoreUsageUntil_ = Now;
  return Value;
}
