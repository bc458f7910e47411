//===- TailGuard.cpp - Services first, when batch work hurts ------------===//

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
/// Part of a report's p99 in the smoothed one.
static constexpr double SmoothGain = 0.5;
/// Reports that stand over a target by less than this part on average are taken
/// for noise until there are more of them.
static constexpr double MeaningfulPart = 0.05;
/// Reports of each server over which the share of those over is averaged.
static constexpr double ShareReports = 60;
/// How long an action's effect is awaited before the guard may act again.
static constexpr Duration PendingTime = std::chrono::seconds(10);
/// Tasks that one action touches at most.
static constexpr std::size_t MaxThrottled = 8;
static constexpr std::size_t MaxEvicted = 2;
static constexpr std::size_t MaxReleased = 8;
/// A relapse within this time of a release makes the next one slower.
static constexpr Duration RelapseTime = std::chrono::minutes(2);
static constexpr std::uint32_t LongestRelease = 4;
/// A task after whose release the tail rose stays throttled this long, and
/// twice as long each further time.
static constexpr Duration RelapsePause = std::chrono::minutes(1);
static constexpr std::uint32_t MostRelapses = 6;
/// Batch work that causes less than this part of an excess is not to blame.
static constexpr double BlamelessPart = 0.15;
static constexpr double SureOfBlame = 0.5;
/// The p99 aimed at, as a part of the target.
static constexpr double AimPart = 0.95;
/// Eviction's fixed price in seconds of work, beside the work lost.
static constexpr double EvictionPrice = 5;

static double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void TailGuard::noteService(const ServiceSample &Sample) {
  const auto Position = State_.Servers_.find(Sample.Server_);
  if (!Position)
    return;
  ServerEntry &Server = State_.Servers_.at(*Position);
  const ServiceIndex Index = State_.Services_.intern(Sample.Service_);
  ServiceState &Service = Server.serviceAt(Index);
  if (Sample.SampledAt_ <= Service.SampledAt_)
    return;
  Service.SampledAt_ = Sample.SampledAt_;
  Service.Band_ = getLoadBand(Sample.LoadPercent_);
  const bool PeakIsOld =
      TailModel::planningBand(Service, Sample.SampledAt_) == Service.Band_;
  if (PeakIsOld) {
    Service.PeakBand_ = Service.Band_;
    Service.PeakAt_ = Sample.SampledAt_;
  }
  if (Sample.Requests_ < MinRequests)
    return;
  const auto Loads = Server.History_.loadsAt(Sample.SampledAt_);
  if (Loads)
    State_.Effects_.learn(Index, Service.Band_, Sample, *Loads,
                          State_.targetMicros(Index));
  noteShare(Index, Sample);
  const bool IsNews = Sample.SampledAt_ > Server.QuietUntil_;
  count(Service, IsNews, Sample);
  if (isOver(Service) || isReadyToRestore(Server))
    ToCheck_.insert(*Position);
}

void TailGuard::noteShare(ServiceIndex Service, const ServiceSample &Sample) {
  const double Target = State_.targetMicros(Service);
  if (Target <= 0)
    return;
  const double Micros =
      std::chrono::duration<double, std::micro>(Sample.P99_).count();
  const double Reports =
      ShareReports * std::max<ServerIndex>(1, State_.Servers_.size());
  const double Now = Micros > Target ? 1 : 0;
  State_.OverShare_ += (Now - State_.OverShare_) / Reports;
}

bool TailGuard::isOver(const ServiceState &Service) const {
  const std::uint32_t Reports = State_.Policy_.GuardReports_;
  return Service.OverReports_ >= Reports &&
         Service.OverSum_ >= MeaningfulPart * Reports;
}

void TailGuard::count(ServiceState &Service, bool Counts,
                      const ServiceSample &Sample) {
  const double Target = State_.targetMicros(Service.Service_);
  if (!Counts || Target <= 0) {
    Service.OverReports_ = 0;
    Service.UnderReports_ = 0;
    return;
  }
  const double Micros =
      std::chrono::duration<double, std::micro>(Sample.P99_).count();
  const bool Fresh = Service.OverReports_ + Service.UnderReports_ == 0;
  Service.P99Micros_ =
      Fresh ? Micros
            : Service.P99Micros_ + SmoothGain * (Micros - Service.P99Micros_);
  const bool IsOver = Micros > Target;
  const bool IsUnder = Micros < Target * State_.Policy_.GuardReleasePart_;
  Service.OverReports_ = IsOver ? Service.OverReports_ + 1 : 0;
  Service.OverSum_ = IsOver ? Service.OverSum_ + Micros / Target - 1 : 0;
  Service.UnderReports_ = IsUnder ? Service.UnderReports_ + 1 : 0;
}

bool TailGuard::isReadyToRestore(const ServerEntry &Server) const {
  if (Server.Throttled_ == 0)
    return false;
  const std::uint32_t Needed =
      State_.Policy_.GuardReports_ * Server.ReleaseFactor_;
  return std::all_of(Server.Services_.begin(), Server.Services_.end(),
                     [&](const ServiceState &Service) {
                       return State_.targetMicros(Service.Service_) <= 0 ||
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
    Over.Target_ = State_.targetMicros(Service.Service_);
    Over.Alone_ = State_.Effects_.aloneMicros(Service.Service_, Service.Band_);
    Over.Needed_ = (Service.P99Micros_ - AimPart * Over.Target_) /
                   std::max(1.0, Over.Alone_);
    if (!Worst.Service_ || Over.Needed_ > Worst.Needed_)
      Worst = Over;
  }
  if (!Worst.Service_)
    return std::nullopt;
  return Worst;
}

std::vector<TailGuard::Offender>
TailGuard::listOffenders(const ServerEntry &Server, const ServiceState &Service,
                         TimePoint Now) const {
  std::vector<Offender> Offenders;
  for (RunningTask *Task : Server.Tasks_) {
    if (Now < Task->PendingUntil_)
      continue;
    const auto Pair = State_.Effects_.effectOf(Service.Service_, Task->Class_,
                                               Service.Band_, Now);
    const double Load = State_.Servers_.loadOf(
        Task->Server_, Task->Reservation_, Task->ThrottlePercent_);
    Offenders.push_back({Task, Pair.Weight_, Pair.Weight_ * Load,
                         estimateWorkLost(*Task, Now)});
  }
  return Offenders;
}

bool TailGuard::isBatchBlameless(const Excess &Over,
                                 const std::vector<Offender> &Offenders,
                                 TimePoint Now) const {
  double Caused = 0;
  for (const Offender &Each : Offenders) {
    const auto Pair = State_.Effects_.effectOf(
        Over.Service_->Service_, Each.Task_->Class_, Over.Service_->Band_, Now);
    if (Pair.Confidence_ < SureOfBlame)
      return false;
    Caused += Each.Effect_;
  }
  return Caused < BlamelessPart * Over.Needed_;
}

void TailGuard::act(TimePoint Now, std::size_t Budget,
                    std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  // Each server is taken out once, so that the work is bounded by the budget
  // and by the servers of which news came.
  while (!ToCheck_.empty() && Decisions.size() < End) {
    ServerEntry &Server = State_.Servers_.at(*ToCheck_.begin());
    ToCheck_.erase(ToCheck_.begin());
    if (Now < Server.GuardPendingUntil_)
      continue;
    const std::size_t Left = End - Decisions.size();
    const auto Over = findExcess(Server);
    if (Over)
      relieve(Server, *Over, Now, Left, Decisions);
    else if (isReadyToRestore(Server))
      restore(Server, Now, Left, Decisions);
  }
}

void TailGuard::relieve(ServerEntry &Server, const Excess &Over, TimePoint Now,
                        std::size_t Budget, std::vector<Decision> &Decisions) {
  auto Offenders = listOffenders(Server, *Over.Service_, Now);
  if (Offenders.empty() || isBatchBlameless(Over, Offenders, Now))
    return;
  const bool Relapsed = Now - Server.ReleasedAt_ < RelapseTime;
  if (Relapsed)
    Server.ReleaseFactor_ = std::min(Server.ReleaseFactor_ * 2, LongestRelease);
  Server.GuardedAt_ = Now;
  if (Relapsed)
    blameReleased(Server, Offenders);
  const bool AnyToThrottle =
      std::any_of(Offenders.begin(), Offenders.end(), [](const Offender &Each) {
        return Each.Task_->ThrottlePercent_ == 100;
      });
  if (AnyToThrottle)
    throttle(Server, Over, std::move(Offenders), Now, Budget, Decisions);
  else
    evict(Server, Over, std::move(Offenders), Now, Budget, Decisions);
}

void TailGuard::blameReleased(const ServerEntry &Server,
                              std::vector<Offender> &Offenders) {
  const auto IsReleased = [&](const Offender &Each) {
    return Each.Task_->ThrottlePercent_ == 100 &&
           Each.Task_->ThrottledAt_ >= Server.ReleasedAt_;
  };
  if (std::none_of(Offenders.begin(), Offenders.end(), IsReleased))
    return;
  std::erase_if(Offenders,
                [&](const Offender &Each) { return !IsReleased(Each); });
  for (const Offender &Each : Offenders)
    Each.Task_->Relapses_ = std::min(Each.Task_->Relapses_ + 1, MostRelapses);
}

static bool isPaused(const RunningTask &Task, TimePoint Now) {
  if (Task.Relapses_ == 0)
    return false;
  return Now < Task.ThrottledAt_ + RelapsePause * (1U << (Task.Relapses_ - 1));
}

void TailGuard::markPending(ServerEntry &Server, RunningTask &Task,
                            TimePoint Now) {
  Task.PendingUntil_ = Now + PendingTime;
  Server.GuardPending_ += Task.GuardPending_ ? 0 : 1;
  Task.GuardPending_ = true;
  Server.GuardPendingUntil_ = Now + PendingTime;
  // Until the effect is told nothing that was measured counts.
  Server.QuietUntil_ = std::max(Server.QuietUntil_, Now);
}

std::string TailGuard::explain(const Excess &Over) const {
  return describeExcess(State_.Services_.nameOf(Over.Service_->Service_),
                        *Over.Service_, Over.Target_);
}

void TailGuard::throttle(ServerEntry &Server, const Excess &Over,
                         std::vector<Offender> Offenders, TimePoint Now,
                         std::size_t Budget, std::vector<Decision> &Decisions) {
  std::erase_if(Offenders, [](const Offender &Each) {
    return Each.Task_->ThrottlePercent_ < 100;
  });
  // Less urgent ones first, then those that slow the service most for the
  // work that they get done.
  std::sort(Offenders.begin(), Offenders.end(),
            [](const Offender &A, const Offender &B) {
              return std::tuple(A.Task_->Info_.Priority_, -A.Weight_,
                                A.Task_->Info_.Task_) <
                     std::tuple(B.Task_->Info_.Priority_, -B.Weight_,
                                B.Task_->Info_.Task_);
            });
  const std::uint32_t Percent = State_.Policy_.ThrottlePercent_;
  const std::string Why = explain(Over);
  double Gained = 0;
  std::size_t Count = 0;
  const std::size_t Most = std::min(Budget, MaxThrottled);
  for (const Offender &Each : Offenders) {
    if (Count >= Most || (Count > 0 && Gained >= Over.Needed_))
      break;
    auto Value =
        makeAttemptDecision(DecisionKind::Throttle, ReasonCode::TailOverTarget,
                            Server, *Each.Task_);
    Value.ThrottlePercent_ = Percent;
    Value.Text_ = "task " + Each.Task_->Info_.Task_.toString() + " on " +
                  Server.Info_.Server_.value() + " is throttled to " +
                  std::to_string(Percent) + "%: " + Why +
                  "; the task is taken to lengthen it by " +
                  describe(100 * Each.Effect_) + "%";
    markPending(Server, *Each.Task_, Now);
    Decisions.push_back(std::move(Value));
    Gained += Each.Effect_ * (100 - Percent) / 100;
    ++Count;
  }
}

void TailGuard::evict(ServerEntry &Server, const Excess &Over,
                      std::vector<Offender> Offenders, TimePoint Now,
                      std::size_t Budget, std::vector<Decision> &Decisions) {
  // The gain per price: what is far from its checkpoint stays if it can.
  const auto WorthOf = [](const Offender &Each) {
    return Each.Effect_ / (EvictionPrice + toSeconds(Each.WorkLost_));
  };
  std::sort(Offenders.begin(), Offenders.end(),
            [&](const Offender &A, const Offender &B) {
              return std::tuple(A.Task_->Info_.Priority_, -WorthOf(A),
                                A.Task_->Info_.Task_) <
                     std::tuple(B.Task_->Info_.Priority_, -WorthOf(B),
                                B.Task_->Info_.Task_);
            });
  const std::string Why = explain(Over);
  double Gained = 0;
  std::size_t Count = 0;
  const std::size_t Most = std::min(Budget, MaxEvicted);
  for (const Offender &Each : Offenders) {
    if (Count >= Most || (Count > 0 && Gained >= Over.Needed_))
      break;
    auto Value = makeAttemptDecision(
        DecisionKind::Evict, ReasonCode::TailOverTarget, Server, *Each.Task_);
    Value.Text_ = "task " + Each.Task_->Info_.Task_.toString() +
                  " is evicted from " + Server.Info_.Server_.value() + ": " +
                  Why +
                  " although its tasks are throttled; this eviction "
                  "loses " +
                  describe(Each.WorkLost_) + " of work and shortens it by " +
                  describe(100 * Each.Effect_) + "%";
    markPending(Server, *Each.Task_, Now);
    Decisions.push_back(std::move(Value));
    Gained += Each.Effect_;
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
      Weight = std::max(Weight, State_.Effects_
                                    .effectOf(Service.Service_, Task->Class_,
                                              Service.Band_, Now)
                                    .Weight_);
    Weighted.emplace_back(Weight, Task);
  }
  // Those that slow the services least come back first.
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

void TailGuard::restore(ServerEntry &Server, TimePoint Now, std::size_t Budget,
                        std::vector<Decision> &Decisions) {
  // A release that held makes the next one quicker again.
  if (Now - Server.ReleasedAt_ > RelapseTime)
    Server.ReleaseFactor_ = std::max(1U, Server.ReleaseFactor_ / 2);
  const double Before =
      Tail_.pressureOn(Server, nullptr, LoadExpectation::Current, Now).Value_;
  double Released = 0;
  std::size_t Count = 0;
  const std::size_t Most = std::min(Budget, MaxReleased);
  for (RunningTask *Task : listThrottled(Server, Now)) {
    if (Count >= Most)
      break;
    const double Missing = State_.Servers_.loadOf(
        Task->Server_, Task->Reservation_, 100 - Task->ThrottlePercent_);
    const ClassLoad Added{Task->Class_, Missing};
    Pressure After =
        Tail_.pressureOn(Server, &Added, LoadExpectation::Current, Now);
    // The predictions are sums, so what each release adds can be added up.
    const double Adds = After.Value_ - Before;
    After.Value_ += Released;
    if (After.Value_ > Tail_.ceiling(After.Confidence_))
      break;
    Released += Adds;
    auto Value = makeAttemptDecision(DecisionKind::Throttle,
                                     ReasonCode::TailRecovered, Server, *Task);
    Value.ThrottlePercent_ = 100;
    Value.Text_ = "task " + Task->Info_.Task_.toString() + " on " +
                  Server.Info_.Server_.value() +
                  " runs at full speed again: every service there has kept "
                  "well under its target, and the predicted pressure is " +
                  describe(After.Value_) + " of what the target allows";
    markPending(Server, *Task, Now);
    Server.ReleasedAt_ = Now;
    Decisions.push_back(std::move(Value));
    ++Count;
  }
}
