//===- Planner.cpp - Placement, throttling and eviction of tasks ---------===//

#include "tulipweir/decide/Planner.h"

#include "decide/Explainer.h"
#include "decide/PlacementRound.h"
#include "decide/PlannerState.h"
#include "decide/TailGuard.h"
#include "decide/Text.h"
#include "decide/UsageGuard.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Expired entries that one call handles, beside a few per decision.
static constexpr std::size_t MinExpiriesPerCall = 64;

class Planner::Impl {
public:
  Impl(const Policy &Settings, std::uint64_t Seed)
      : State_(Settings), ReservationPlacer_(State_, Seed),
        Round_(State_, Seed), TailGuard_(State_), UsageGuard_(State_) {}

  /// Applies changes of server health and hands out the decisions for
  /// quarantines and readmissions.
  void applyHealthChanges(std::vector<Decision> &Decisions);
  std::vector<Decision> decide(TimePoint Now, std::size_t Budget);

  PlannerState State_;
  /// Only computes reservations; draws no random numbers.
  Placer ReservationPlacer_;
  PlacementRound Round_;
  TailGuard TailGuard_;
  UsageGuard UsageGuard_;
  std::vector<Decision> HealthDecisions_;
};

static Decision makeHealthDecision(const HealthChange &Change) {
  Decision Result;
  Result.Server_ = Change.Server_;
  if (Change.To_ == ServerHealth::Quarantined) {
    Result.Kind_ = DecisionKind::Quarantine;
    Result.Reason_ = ReasonCode::FailsEveryTask;
    Result.Text_ = Change.Server_.value() + " is quarantined for " +
                   describe(Change.Length_) + ": " +
                   std::to_string(Change.Jobs_.size()) +
                   " jobs that succeed elsewhere failed there (";
    for (const JobId &Job : Change.Jobs_)
      Result.Text_ += (&Job == &Change.Jobs_.front() ? "" : ", ") + Job.value();
    Result.Text_ += ") and no task has succeeded since";
    return Result;
  }
  Result.Kind_ = DecisionKind::Readmit;
  Result.Reason_ = ReasonCode::ProbationPassed;
  Result.Text_ = Change.Server_.value() +
                 " accepts tasks again: a task succeeded there on probation";
  return Result;
}

void Planner::Impl::applyHealthChanges(std::vector<Decision> &Decisions) {
  for (const HealthChange &Change : State_.Health_.takeChanges()) {
    if (const auto Server = State_.Servers_.find(Change.Server_))
      State_.Servers_.setQuarantine(*Server,
                                    Change.To_ == ServerHealth::Quarantined,
                                    Change.To_ == ServerHealth::Suspect ||
                                        Change.To_ == ServerHealth::Probation);
    const bool Passed = Change.From_ == ServerHealth::Probation &&
                        Change.To_ == ServerHealth::Good;
    if (Passed || Change.To_ == ServerHealth::Quarantined)
      HealthDecisions_.push_back(makeHealthDecision(Change));
    if (Change.To_ != ServerHealth::Quarantined)
      State_.Queue_.wakeReason(ReasonCode::AllQuarantined);
  }
  std::swap(Decisions, HealthDecisions_);
}

std::vector<Decision> Planner::Impl::decide(TimePoint Now, std::size_t Budget) {
  std::vector<Decision> Decisions;
  if (Budget == 0)
    return Decisions;
  State_.Health_.advance(Now);
  State_.expire(Now, MinExpiriesPerCall + 2 * Budget);
  State_.Queue_.wakeDue(Now, MinExpiriesPerCall + Budget);
  applyHealthChanges(Decisions);
  if (Decisions.size() > Budget) {
    HealthDecisions_.assign(Decisions.begin() +
                                static_cast<std::ptrdiff_t>(Budget),
                            Decisions.end());
    Decisions.resize(Budget);
  }
  // Each guard gets at most half of the budget, so that waiting tasks always
  // make progress.
  const std::size_t Half = std::max<std::size_t>(1, Budget / 2);
  const auto LimitBudget = [&](std::size_t Limit) {
    return std::min(Limit, Budget - Decisions.size());
  };
  TailGuard_.appendDecisions(Now, LimitBudget(Half), Decisions);
  Round_.placeClaimedTasks(Now, LimitBudget(Budget), Decisions);
  Round_.placeUrgent(Now, LimitBudget(Budget), Decisions);
  UsageGuard_.appendDecisions(Now, LimitBudget(Half), Decisions);
  Round_.evictFromDraining(Now, LimitBudget(Half), Decisions);
  Round_.placeAll(Now, LimitBudget(Budget), Decisions);
  for (const Decision &D : Decisions)
    State_.Decisions_.record(D);
  return Decisions;
}

Planner::Planner(const Policy &Settings, std::uint64_t Seed)
    : Impl_(std::make_unique<Impl>(Settings, Seed)) {}
Planner::~Planner() = default;

void Planner::setPolicy(const Policy &Settings) {
  Impl_->State_.setPolicy(Settings);
}

void Planner::upsertServer(const ServerInfo &Server) {
  Impl_->State_.upsertServer(Server);
}

void Planner::removeServer(const BackendServerId &Server) {
  Impl_->State_.removeServer(Server);
}

void Planner::addWaiting(const TaskInfo &Task, TimePoint Now) {
  Impl_->State_.addWaiting(Task, Now);
}

void Planner::removeWaiting(const TaskId &Task) {
  Impl_->State_.removeWaiting(Task);
}

void Planner::recordPlacement(const TaskInfo &Task, AttemptNumber Attempt,
                              const BackendServerId &Server,
                              const Resources &Reservation, TimePoint Now) {
  Impl_->State_.recordPlacement(Task, Attempt, Server, Reservation, Now);
}

void Planner::updateReservation(const TaskId &Task, AttemptNumber Attempt,
                                const Resources &Reservation) {
  Impl_->State_.updateReservation(Task, Attempt, Reservation);
}

void Planner::updateThrottle(const TaskId &Task, AttemptNumber Attempt,
                             std::uint32_t Percent, TimePoint Now) {
  Impl_->State_.updateThrottle(Task, Attempt, Percent, Now);
}

void Planner::recordEnd(const TaskId &Task, AttemptNumber Attempt,
                        EndReason Reason, TimePoint Now) {
  Impl_->State_.recordEnd(Task, Attempt, Reason, Now);
}

void Planner::addUsageSample(const UsageSample &Sample) {
  Impl_->UsageGuard_.addUsageSample(Sample);
}

void Planner::addServiceSample(const ServiceSample &Sample) {
  Impl_->TailGuard_.addServiceSample(Sample);
}

std::vector<Decision> Planner::decide(TimePoint Now, std::size_t Budget) {
  return Impl_->decide(Now, Budget);
}

std::optional<Explanation> Planner::explain(const TaskId &Task,
                                            TimePoint Now) const {
  return explainTask(Impl_->State_, Impl_->ReservationPlacer_, Task, Now);
}

std::vector<ServerView> Planner::listServers() const {
  std::vector<ServerView> Views;
  const ServerTable &Servers = Impl_->State_.Servers_;
  for (ServerIndex I = 0; I < Servers.size(); ++I) {
    const ServerEntry &Entry = Servers.at(I);
    if (!Entry.Present_ && Entry.Tasks_.empty())
      continue;
    Views.push_back({Entry.Info_.Server_, Entry.Info_.Rack_,
                     Entry.Info_.Capacity_, Entry.Reserved_,
                     Entry.Info_.Draining_, Entry.Quarantined_,
                     static_cast<std::uint32_t>(Entry.Tasks_.size())});
  }
  std::sort(Views.begin(), Views.end(),
            [](const ServerView &A, const ServerView &B) {
              return A.Server_ < B.Server_;
            });
  return Views;
}
