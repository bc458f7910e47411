//===- TailGuard.cpp - Keeps services within their targets ---------------===//

#include "decide/TailGuard.h"

#include "decide/AttemptDecision.h"
#include "decide/Preemptor.h"
#include "decide/Text.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Reports with fewer requests have no meaningful p99.
static constexpr std::uint32_t MinRequests = 20;
/// Weight of a report's p99 in the moving average.
static constexpr double P99Smoothing = 0.5;
/// Reports whose mean excess over the target is smaller are treated as noise
/// until there are more of them.
static constexpr double MinMeanExcess = 0.05;
/// Reports per server over which the part of reports over the target is
/// averaged.
static constexpr double OverTargetShareWindow = 60;
/// How long the effect of an action is awaited before the guard may act again.
static constexpr Duration EffectTimeout = std::chrono::seconds(10);
/// Maximum number of tasks that one action changes.
static constexpr std::size_t MaxThrottled = 8;
static constexpr std::size_t MaxEvicted = 2;
static constexpr std::size_t MaxReleased = 8;
/// A relapse within this time of a release delays the next release.
static constexpr Duration RelapseWindow = std::chrono::minutes(2);
static constexpr std::uint32_t MaxReleaseFactor = 4;
/// A task after whose release the p99 rose again stays throttled this long, and
/// twice as long after each further relapse.
static constexpr Duration RelapsePause = std::chrono::minutes(1);
static constexpr std::uint32_t MaxRelapses = 6;
/// The guard does nothing when all tasks together cause less than this part of
/// an excess, provided that each estimate has this confidence.
static constexpr double MinBatchContribution = 0.15;
static constexpr double MinContributionConfidence = 0.5;
/// The p99 that an action aims at, as a part of the target.
static constexpr double AimRatio = 0.95;
/// Fixed cost of an eviction in seconds of work, added to the work lost.
static constexpr double EvictionCostSeconds = 5;

static double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void TailGuard::addServiceSample(const ServiceSample &Sample) {
  const auto Position = State_.Servers_.find(Sample.Server_);
  if (!Position)
    return;
  ServerEntry &Server = State_.Servers_.at(*Position);
  const ServiceIndex Index = State_.Services_.intern(Sample.Service_);
  ServiceState &Service = Server.getOrCreateService(Index);
  if (Sample.SampledAt_ <= Service.SampledAt_)
    return;
  Service.SampledAt_ = Sample.SampledAt_;
  Service.Band_ = getLoadBand(Sample.LoadPercent_);
  const bool PeakIsOld =
      TailModel::getPlanningBand(Service, Sample.SampledAt_) == Service.Band_;
  if (PeakIsOld) {
    Service.PeakBand_ = Service.Band_;
    Service.PeakAt_ = Sample.SampledAt_;
  }
  if (Sample.Requests_ < MinRequests)
    return;
  const auto Loads = Server.History_.getLoadsAt(Sample.SampledAt_);
  if (Loads)
    State_.Interference_.learn(Index, Service.Band_, Sample, *Loads,
                               State_.getTargetMicros(Index));
  updateOverTargetShare(Index, Sample);
  const bool IsCurrent = Sample.SampledAt_ > Server.IgnoreReportsUntil_;
  updateReportCounts(Service, IsCurrent, Sample);
  if (isOver(Service) || canRelease(Server))
    ServersToCheck_.insert(*Position);
}

void TailGuard::updateOverTargetShare(ServiceIndex Service,
                                      const ServiceSample &Sample) {
  const double Target = State_.getTargetMicros(Service);
  if (Target <= 0)
    return;
  const double Micros =
      std::chrono::duration<double, std::micro>(Sample.P99_).count();
  const double Reports =
      OverTargetShareWindow * std::max<ServerIndex>(1, State_.Servers_.size());
  const double OverTarget = Micros > Target ? 1 : 0;
  State_.OverTargetShare_ += (OverTarget - State_.OverTargetShare_) / Reports;
}

bool TailGuard::isOver(const ServiceState &Service) const {
  const std::uint32_t Reports = State_.Policy_.GuardReports_;
  return Service.OverReports_ >= Reports &&
         Service.ExcessSum_ >= MinMeanExcess * Reports;
}

void TailGuard::updateReportCounts(ServiceState &Service, bool IsCounted,
                                   const ServiceSample &Sample) {
  const double Target = State_.getTargetMicros(Service.Service_);
  if (!IsCounted || Target <= 0) {
    Service.OverReports_ = 0;
    Service.UnderReports_ = 0;
    return;
  }
  const double Micros =
      std::chrono::duration<double, std::micro>(Sample.P99_).count();
  const bool IsFirst = Service.OverReports_ + Service.UnderReports_ == 0;
  Service.P99Micros_ =
      IsFirst
          ? Micros
          : Service.P99Micros_ + P99Smoothing * (Micros - Service.P99Micros_);
  const bool IsOver = Micros > Target;
  const bool IsUnder = Micros < Target * State_.Policy_.GuardReleasePart_;
  Service.OverReports_ = IsOver ? Service.OverReports_ + 1 : 0;
  Service.ExcessSum_ = IsOver ? Service.ExcessSum_ + Micros / Target - 1 : 0;
  Service.UnderReports_ = IsUnder ? Service.UnderReports_ + 1 : 0;
}

bool TailGuard::canRelease(const ServerEntry &Server) const {
  if (Server.ThrottledCount_ == 0)
    return false;
  const std::uint32_t Needed =
      State_.Policy_.GuardReports_ * Server.ReleaseFactor_;
  return std::all_of(Server.Services_.begin(), Server.Services_.end(),
                     [&](const ServiceState &Service) {
                       return State_.getTargetMicros(Service.Service_) <= 0 ||
                              Service.UnderReports_ >= Needed;
                     });
}

std::optional<TailGuard::Excess>
TailGuard::findExcess(const ServerEntry &Server) const {
  Excess Worst;
  for (const ServiceState &Service : Server.Services_) {
    if (!isOver(Service))
      continue;
    Excess Over;
    Over.Service_ = &Service;
    Over.Target_ = State_.getTargetMicros(Service.Service_);
    Over.BaselineMicros_ =
        State_.Interference_.getBaselineMicros(Service.Service_, Service.Band_);
    Over.Needed_ = (Service.P99Micros_ - AimRatio * Over.Target_) /
                   std::max(1.0, Over.BaselineMicros_);
    if (!Worst.Service_ || Over.Needed_ > Worst.Needed_)
      Worst = Over;
  }
  if (!Worst.Service_)
    return std::nullopt;
  return Worst;
}

std::vector<TailGuard::Antagonist>
TailGuard::listAntagonists(const ServerEntry &Server,
                           const ServiceState &Service, TimePoint Now) const {
  std::vector<Antagonist> Antagonists;
  for (RunningTask *Task : Server.Tasks_) {
    if (Now < Task->PendingUntil_)
      continue;
    const auto Effect = State_.Interference_.estimateEffect(
        Service.Service_, Task->Class_, Service.Band_, Now);
    const double Load = State_.Servers_.computeLoad(
        Task->Server_, Task->Reservation_, Task->ThrottlePercent_);
    Antagonists.push_back({Task, Effect.Weight_, Effect.Weight_ * Load,
                           estimateWorkLost(*Task, Now)});
  }
  return Antagonists;
}

bool TailGuard::isCausedOutsideBatch(const Excess &Over,
                                     const std::vector<Antagonist> &Antagonists,
                                     TimePoint Now) const {
  double Caused = 0;
  for (const Antagonist &A : Antagonists) {
    const auto Effect = State_.Interference_.estimateEffect(
        Over.Service_->Service_, A.Task_->Class_, Over.Service_->Band_, Now);
    if (Effect.Confidence_ < MinContributionConfidence)
      return false;
    Caused += A.Effect_;
  }
  return Caused < MinBatchContribution * Over.Needed_;
}

void TailGuard::appendDecisions(TimePoint Now, std::size_t Budget,
                                std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  // Each server is removed once, so that the work is bounded by the budget and
  // by the number of servers with new reports.
  while (!ServersToCheck_.empty() && Decisions.size() < End) {
    ServerEntry &Server = State_.Servers_.at(*ServersToCheck_.begin());
    ServersToCheck_.erase(ServersToCheck_.begin());
    if (Now < Server.GuardPendingUntil_)
      continue;
    const std::size_t Remaining = End - Decisions.size();
    const auto Over = findExcess(Server);
    if (Over)
      reduceExcess(Server, *Over, Now, Remaining, Decisions);
    else if (canRelease(Server))
      releaseThrottled(Server, Now, Remaining, Decisions);
  }
}

void TailGuard::reduceExcess(ServerEntry &Server, const Excess &Over,
                             TimePoint Now, std::size_t Budget,
                             std::vector<Decision> &Decisions) {
  auto Antagonists = listAntagonists(Server, *Over.Service_, Now);
  if (Antagonists.empty() || isCausedOutsideBatch(Over, Antagonists, Now))
    return;
  const bool Relapsed = Now - Server.ReleasedAt_ < RelapseWindow;
  if (Relapsed)
    Server.ReleaseFactor_ =
        std::min(Server.ReleaseFactor_ * 2, MaxReleaseFactor);
  Server.GuardActedAt_ = Now;
  if (Relapsed)
    keepReleasedTasks(Server, Antagonists);
  const bool AnyToThrottle = std::any_of(
      Antagonists.begin(), Antagonists.end(),
      [](const Antagonist &A) { return A.Task_->ThrottlePercent_ == 100; });
  if (AnyToThrottle)
    throttle(Server, Over, std::move(Antagonists), Now, Budget, Decisions);
  else
    evict(Server, Over, std::move(Antagonists), Now, Budget, Decisions);
}

void TailGuard::keepReleasedTasks(const ServerEntry &Server,
                                  std::vector<Antagonist> &Antagonists) {
  const auto IsReleased = [&](const Antagonist &A) {
    return A.Task_->ThrottlePercent_ == 100 &&
           A.Task_->ThrottledAt_ >= Server.ReleasedAt_;
  };
  if (std::none_of(Antagonists.begin(), Antagonists.end(), IsReleased))
    return;
  std::erase_if(Antagonists,
                [&](const Antagonist &A) { return !IsReleased(A); });
  for (const Antagonist &A : Antagonists)
    A.Task_->Relapses_ = std::min(A.Task_->Relapses_ + 1, MaxRelapses);
}

static bool isPaused(const RunningTask &Task, TimePoint Now) {
  if (Task.Relapses_ == 0)
    return false;
  return Now < Task.ThrottledAt_ + RelapsePause * (1U << (Task.Relapses_ - 1));
}

void TailGuard::markPending(ServerEntry &Server, RunningTask &Task,
                            TimePoint Now) {
  Task.PendingUntil_ = Now + EffectTimeout;
  Server.PendingGuardTasks_ += Task.GuardPending_ ? 0 : 1;
  Task.GuardPending_ = true;
  Server.GuardPendingUntil_ = Now + EffectTimeout;
  // Reports taken before the effect is known do not count.
  Server.IgnoreReportsUntil_ = std::max(Server.IgnoreReportsUntil_, Now);
}

std::string TailGuard::describeReason(const Excess &Over) const {
  return describeExcess(State_.Services_.getName(Over.Service_->Service_),
                        *Over.Service_, Over.Target_);
}

void TailGuard::throttle(ServerEntry &Server, const Excess &Over,
                         std::vector<Antagonist> Antagonists, TimePoint Now,
                         std::size_t Budget, std::vector<Decision> &Decisions) {
  std::erase_if(Antagonists, [](const Antagonist &A) {
    return A.Task_->ThrottlePercent_ < 100;
  });
  // Orders by priority, lowest first, then by the effect on the service,
  // largest first.
  std::sort(Antagonists.begin(), Antagonists.end(),
            [](const Antagonist &A, const Antagonist &B) {
              return std::tuple(A.Task_->Info_.Priority_, -A.Weight_,
                                A.Task_->Info_.Task_) <
                     std::tuple(B.Task_->Info_.Priority_, -B.Weight_,
                                B.Task_->Info_.Task_);
            });
  const std::uint32_t Percent = State_.Policy_.ThrottlePercent_;
  const std::string Reason = describeReason(Over);
  double Reduction = 0;
  std::size_t Count = 0;
  const std::size_t Limit = std::min(Budget, MaxThrottled);
  for (const Antagonist &A : Antagonists) {
    if (Count >= Limit || (Count > 0 && Reduction >= Over.Needed_))
      break;
    auto Result = makeAttemptDecision(
        DecisionKind::Throttle, ReasonCode::TailOverTarget, Server, *A.Task_);
    Result.ThrottlePercent_ = Percent;
    Result.Text_ = "task " + A.Task_->Info_.Task_.toString() + " on " +
                   Server.Info_.Server_.value() + " is throttled to " +
                   std::to_string(Percent) + "%: " + Reason +
                   "; the task is estimated to lengthen it by " +
                   describe(100 * A.Effect_) + "%";
    markPending(Server, *A.Task_, Now);
    Decisions.push_back(std::move(Result));
    Reduction += A.Effect_ * (100 - Percent) / 100;
    ++Count;
  }
}

void TailGuard::evict(ServerEntry &Server, const Excess &Over,
                      std::vector<Antagonist> Antagonists, TimePoint Now,
                      std::size_t Budget, std::vector<Decision> &Decisions) {
  // Effect per cost: tasks that would lose much work are evicted last.
  const auto ComputeBenefit = [](const Antagonist &A) {
    return A.Effect_ / (EvictionCostSeconds + toSeconds(A.WorkLost_));
  };
  std::sort(Antagonists.begin(), Antagonists.end(),
            [&](const Antagonist &A, const Antagonist &B) {
              return std::tuple(A.Task_->Info_.Priority_, -ComputeBenefit(A),
                                A.Task_->Info_.Task_) <
                     std::tuple(B.Task_->Info_.Priority_, -ComputeBenefit(B),
                                B.Task_->Info_.Task_);
            });
  const std::string Reason = describeReason(Over);
  double Reduction = 0;
  std::size_t Count = 0;
  const std::size_t Limit = std::min(Budget, MaxEvicted);
  for (const Antagonist &A : Antagonists) {
    if (Count >= Limit || (Count > 0 && Reduction >= Over.Needed_))
      break;
    auto Result = makeAttemptDecision(
        DecisionKind::Evict, ReasonCode::TailOverTarget, Server, *A.Task_);
    Result.Text_ = "task " + A.Task_->Info_.Task_.toString() +
                   " is evicted from " + Server.Info_.Server_.value() + ": " +
                   Reason +
                   " although its tasks are throttled; the eviction "
                   "loses " +
                   describe(A.WorkLost_) + " of work and shortens it by " +
                   describe(100 * A.Effect_) + "%";
    markPending(Server, *A.Task_, Now);
    Decisions.push_back(std::move(Result));
    Reduction += A.Effect_;
    ++Count;
  }
}

std::vector<RunningTask *> TailGuard::listThrottled(const ServerEntry &Server,
                                                    TimePoint Now) const {
  std::vector<std::pair<double, RunningTask *>> Weighted;
  for (RunningTask *Task : Server.Tasks_) {
    if (Task->ThrottlePercent_ == 100 || Now < Task->PendingUntil_ ||
        isPaused(*Task, Now))
      continue;
    double Weight = 0;
    for (const ServiceState &Service : Server.Services_)
      Weight =
          std::max(Weight, State_.Interference_
                               .estimateEffect(Service.Service_, Task->Class_,
                                               Service.Band_, Now)
                               .Weight_);
    Weighted.emplace_back(Weight, Task);
  }
  // Tasks that slow the services least are released first.
  std::sort(Weighted.begin(), Weighted.end(), [](const auto &A, const auto &B) {
    return std::pair(A.first, A.second->Info_.Task_) <
           std::pair(B.first, B.second->Info_.Task_);
  });
  std::vector<RunningTask *> Tasks;
  Tasks.reserve(Weighted.size());
  for (const auto &[Weight, Task] : Weighted)
    Tasks.push_back(Task);
  return Tasks;
}

void TailGuard::releaseThrottled(ServerEntry &Server, TimePoint Now,
                                 std::size_t Budget,
                                 std::vector<Decision> &Decisions) {
  // A release without a relapse shortens the wait for the next one.
  if (Now - Server.ReleasedAt_ > RelapseWindow)
    Server.ReleaseFactor_ = std::max(1U, Server.ReleaseFactor_ / 2);
  const double Before =
      TailModel_.predictPressure(Server, nullptr, LoadExpectation::Current, Now)
          .Value_;
  double Released = 0;
  std::size_t Count = 0;
  const std::size_t Limit = std::min(Budget, MaxReleased);
  for (RunningTask *Task : listThrottled(Server, Now)) {
    if (Count >= Limit)
      break;
    const double MissingLoad = State_.Servers_.computeLoad(
        Task->Server_, Task->Reservation_, 100 - Task->ThrottlePercent_);
    const ClassLoad Added{Task->Class_, MissingLoad};
    TailPressure After = TailModel_.predictPressure(
        Server, &Added, LoadExpectation::Current, Now);
    // The predictions are sums, so the increases of several releases add up.
    const double Increase = After.Value_ - Before;
    After.Value_ += Released;
    if (After.Value_ > TailModel_.getPressureLimit(After.Confidence_))
      break;
    Released += Increase;
    auto Result = makeAttemptDecision(DecisionKind::Throttle,
                                      ReasonCode::TailRecovered, Server, *Task);
    Result.ThrottlePercent_ = 100;
    Result.Text_ = "task " + Task->Info_.Task_.toString() + " on " +
                   Server.Info_.Server_.value() +
                   " runs at full speed again: every service there stayed "
                   "well below its target, and the predicted pressure is " +
                   describe(After.Value_) + " of what the target allows";
    markPending(Server, *Task, Now);
    Server.ReleasedAt_ = Now;
    Decisions.push_back(std::move(Result));
    ++Count;
  }
}
