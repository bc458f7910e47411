#include "jobs/AdmissionController.h"

#include "tulipweir/core/RetryAfter.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

static constexpr double MilliCpusPerCpu = 1000;
/// How long a caller may be late with its return: the time is rounded up to
/// whole seconds on its way, and its call may wait for a leader for a second.
static constexpr Duration ReturnWindow = 2500ms;
/// Callers that are rejected together return at least this far apart.
static constexpr Duration MinSpread = 2s;
/// Long-running work that has waited for this time is not about to start: room
/// is reserved for it after two seconds.
static constexpr Duration MinLastingWait = 3s;
/// The period over which the least use by bounded work is measured, so that a
/// moment without any does not count as its need.
static constexpr Duration BoundedPeriod = 5s;
/// A job is expected to be on time if its forecast is within this percentage of
/// its objective: one that misses it by little waits behind all later ones that
/// are on time.
static constexpr std::int64_t OnTimePercent = 85;
static constexpr std::int64_t Percent = 100;
static constexpr std::size_t MaxQueues = 256;

void AdmissionController::reset() {
  Forecast_.reset();
  Generation_ = Forecast_.getGeneration();
  Callers_.reset();
  Promises_.reset();
  Queues_.clear();
  LastingWaitsSince_.reset();
  LeastBounded_.reset();
  LeastBoundedBefore_.reset();
  NextPeriod_ = {};
}

void AdmissionController::update(const JobRegistry &Registry,
                                 const LiveServerTable &LiveServers,
                                 const ServerHealth &Health, TimePoint Now,
                                 WallTime Wall) {
  if (!Settings_.IsEnabled_)
    return;
  Forecast_.update(Registry, LiveServers, Health, Now, Wall);
  if (Generation_ != Forecast_.getGeneration())
    Promises_.reset();
  Generation_ = Forecast_.getGeneration();
  Promises_.prune(Now);
  updateLasting(Now);
}

void AdmissionController::updateLasting(TimePoint Now) {
  const ShareStatus &Status = Shares_;
  if (Status.Capacity_ == 0 || Status.LastingWaiting_ == 0)
    LastingWaitsSince_.reset();
  else if (!LastingWaitsSince_)
    LastingWaitsSince_ = Now;
  if (Now >= NextPeriod_) {
    NextPeriod_ = Now + BoundedPeriod;
    LeastBoundedBefore_ = std::exchange(LeastBounded_, std::nullopt);
  }
  LeastBounded_ =
      std::min(LeastBounded_.value_or(Status.Bounded_), Status.Bounded_);
}

QueueAdmission *AdmissionController::findQueue(const QueuePolicy &Queue) {
  std::string Key = Queue.getKey();
  const auto It = Queues_.find(Key);
  if (It != Queues_.end())
    return &It->second;
  if (Queues_.size() >= MaxQueues)
    return nullptr;
  QueueAdmission &Result = Queues_[Key];
  Result.Queue_ = std::move(Key);
  return &Result;
}

/// Returns the processors (thousandths) that long-running tasks of the job
/// reserve.
static std::int64_t sumLasting(const JobSpec &Job) {
  std::int64_t Sum = 0;
  for (const StepSpec &Step : Job.Steps_)
    if (Step.LongRunning_)
      Sum += Step.getReserved().MilliCpus_ *
             static_cast<std::int64_t>(Step.Count_);
  return Sum;
}

static bool hasLongRunning(const JobSpec &Job) {
  return std::any_of(Job.Steps_.begin(), Job.Steps_.end(),
                     [](const StepSpec &Step) { return Step.LongRunning_; });
}

AdmissionDecision AdmissionController::decideLasting(const JobSpec &Job,
                                                     const QueuePolicy &Queue,
                                                     std::int64_t MilliCpus,
                                                     TimePoint Now) const {
  AdmissionDecision Result;
  const ShareStatus &Status = Shares_;
  if (MilliCpus == 0 || Status.Capacity_ == 0 || !LastingWaitsSince_ ||
      Now - *LastingWaitsSince_ < MinLastingWait ||
      !Forecast_.isReliable(Now) || !LeastBoundedBefore_)
    return Result;
  const std::int64_t Bounded =
      std::min(*LeastBoundedBefore_, LeastBounded_.value_or(Status.Bounded_));
  const std::int64_t Held = Status.Lasting_ + Status.LastingWaiting_;
  const std::int64_t Most = Status.Capacity_ - Bounded;
  if (Held + MilliCpus <= Most)
    return Result;
  Result.Reason_ = RejectionReason::LastingFull;
  Result.Allowed_ = getAllowed(getObjective(Job, Queue));
  Result.Backlog_ = static_cast<double>(Held) / MilliCpusPerCpu;
  Result.Rate_ = static_cast<double>(Most) / MilliCpusPerCpu;
  Result.RetryAfter_ =
      chooseReturn(Settings_.MaxRetryAfter_, Settings_.MaxRetryAfter_, Job.Id_);
  return Result;
}

/// Returns the data centres whose callers' promises go before the job.
std::vector<bool> AdmissionController::listPreferred(std::uint64_t Priority,
                                                     std::size_t DataCentre,
                                                     bool IsReturn,
                                                     TimePoint Now) const {
  const std::vector<double> Accepted = Callers_.list(Priority, Now);
  std::vector<bool> Result(Accepted.size());
  for (std::size_t I = 0; I < Result.size(); ++I)
    Result[I] = IsReturn
                    ? CallerShares::isLess(Accepted[I], Accepted[DataCentre])
                    : !CallerShares::isLess(Accepted[DataCentre], Accepted[I]);
  return Result;
}

/// Returns the forecast that decides: that of work that is on time if the job
/// will be, otherwise the later one of the best order and of the rate at which
/// late work is served.
static const LaneForecast &chooseLane(const WaitForecast &Forecast,
                                      Duration Chain, Duration Target) {
  if (!isTooLate(Forecast.OnTime_.Wait_, Chain, Target))
    return Forecast.OnTime_;
  return Forecast.Late_.Wait_ > Forecast.InOrder_.Wait_ ? Forecast.Late_
                                                        : Forecast.InOrder_;
}

Duration AdmissionController::getAllowed(Duration Objective) const {
  return Objective * static_cast<std::int64_t>(Settings_.LatenessLimit_);
}

/// RoomAfter is the forecast time until there is room, Remaining how long the
/// caller can wait.
Duration AdmissionController::chooseReturn(Duration RoomAfter,
                                           Duration Remaining,
                                           const std::string &Id) const {
  const Duration Least = Settings_.MinRetryAfter_;
  // The time is rounded up to whole seconds on its way.
  const Duration Latest =
      std::clamp<Duration>(std::chrono::floor<std::chrono::seconds>(Remaining),
                           Least, Settings_.MaxRetryAfter_);
  const Duration HasRoomAt = std::clamp(RoomAfter, Least, Latest);
  const Duration Spread = std::max(MinSpread, HasRoomAt / 2);
  const Duration Earliest =
      std::min(HasRoomAt, std::max(Least, Latest - Spread));
  return spreadRetryAfter(Earliest, std::min(Spread, Latest - Earliest), Id);
}

AdmissionDecision AdmissionController::decide(const JobSpec &Job,
                                              const QueuePolicy &Queue,
                                              const std::string &DataCentre,
                                              TimePoint Now) {
  // No caller waits for a job that is due at times of its own.
  if (!Settings_.IsEnabled_ || Job.RepeatCount_ > 0)
    return {};
  QueueAdmission *Seen = findQueue(Queue);
  if (hasLongRunning(Job)) {
    const AdmissionDecision Result =
        decideLasting(Job, Queue, sumLasting(Job), Now);
    if (Seen && !Result.isAccepted())
      ++Seen->LastingFull_;
    return Result;
  }
  const JobDemand Demand = Forecast_.makeDemand(Job, Queue);
  const Duration Objective = getObjective(Job, Queue);
  const std::size_t Caller = Callers_.findIndex(DataCentre);
  const ReturnPromise *Known = Promises_.find(Job.Id_);
  AdmissionDecision Result;
  Result.IsReturn_ = Known && Known->isOpen(Now);
  const TimePoint FirstTry = Known ? Known->FirstTry_ : Now;
  const TimePoint Limit = FirstTry + getAllowed(Objective);
  Result.Allowed_ = Limit - Now;
  // The leader orders jobs by the time of their acceptance, also those whose
  // callers have come before.
  const TimePoint Due = Now + Objective;
  const TimePoint LastUse = Now + getAllowed(Objective);
  WaitForecast Forecast = Forecast_.estimate(
      Demand, Due, LastUse, std::vector<double>(Demand.Classes_.size()), Now);
  // Promised callers who return only when the job has started do not go before
  // it.
  if (Forecast.IsFull_ && Promises_.size() > 0)
    Forecast = Forecast_.estimate(
        Demand, Due, LastUse,
        Promises_.sum(
            Job.Id_, Demand, Now + std::min(Forecast.OnTime_.Wait_, Objective),
            listPreferred(Queue.Priority_, Caller, Result.IsReturn_, Now), Now),
        Now);
  const Duration Target = Objective * OnTimePercent / Percent;
  const LaneForecast &Expected = chooseLane(Forecast, Demand.Chain_, Target);
  Result.ExpectedEnd_ = Expected.Wait_ + Demand.Chain_;
  Result.Backlog_ = Expected.Backlog_;
  Result.Rate_ = Expected.Rate_;
  const bool IsRejected =
      Objective > Duration(0) && Forecast.IsFull_ &&
      isTooLate(Expected.Wait_, Demand.Chain_, Result.Allowed_) &&
      !Forecast_.hasRoom(Job, Queue);
  if (!IsRejected) {
    Forecast_.addAccepted(Job.Id_, Demand, Due, LastUse, Now);
    Callers_.record(Queue.Priority_, Caller, Demand.getWork(), Now);
    if (Seen && Result.IsReturn_)
      ++Seen->Returned_;
    Promises_.remove(Job.Id_);
    return Result;
  }
  Result.Reason_ = RejectionReason::TooLate;
  const Duration RoomAfter =
      computeRetryAfter(Forecast.OnTime_.Wait_, Demand.Chain_, Target,
                        Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_);
  Result.RetryAfter_ =
      chooseReturn(RoomAfter, Result.Allowed_ - Demand.Chain_, Job.Id_);
  const TimePoint Return = Now + Result.RetryAfter_;
  Promises_.put(Job.Id_,
                {FirstTry, Limit, Return, Return + ReturnWindow, Caller},
                Demand);
  if (Seen) {
    ++Seen->TooLate_;
    Seen->Rate_ = Forecast.InOrder_.Rate_;
  }
  return Result;
}

AdmissionStatus AdmissionController::getStatus(TimePoint Now) const {
  AdmissionStatus Status;
  Status.IsEnabled_ = Settings_.IsEnabled_;
  Status.IsReliable_ = Settings_.IsEnabled_ && Forecast_.isReliable(Now);
  Status.Promises_ = Promises_.size();
  std::map<std::string, QueueAdmission> Queues = Queues_;
  for (const auto &[Key, Backlog] : Forecast_.backlogByQueue()) {
    Queues[Key].Queue_ = Key;
    Queues[Key].Backlog_ = Backlog;
  }
  for (auto &[Key, Queue] : Queues)
    Status.Queues_.push_back(std::move(Queue));
  return Status;
}
