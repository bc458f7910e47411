#include "control/PlanningService.h"

#include <cassert>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::AttemptEnd;
using datacentre::DataCentreState;
using decide::Decision;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// In the order of datacentre::ChangeKind.
const PlanningService::Handler PlanningService::Handlers[] = {
    &PlanningService::onServerChanged, &PlanningService::onServerForgotten,
    &PlanningService::onJobAdopted,    &PlanningService::ignore,
    &PlanningService::onJobReleasing,  &PlanningService::ignore,
    &PlanningService::onJobDropped,    &PlanningService::onTaskWaiting,
    &PlanningService::onTaskPlaced,    &PlanningService::onReservationChanged,
    &PlanningService::onAttemptEnded,  &PlanningService::onTaskEnded};

// In the order of decide::DecisionKind.
const PlanningService::Action PlanningService::Actions[] = {
    &PlanningService::place,      &PlanningService::reserve,
    &PlanningService::throttle,   &PlanningService::evict,
    &PlanningService::publish,    &PlanningService::publish,
    &PlanningService::publishHold};

static decide::EndReason toReason(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Finished:
    return decide::EndReason::Finished;
  case AttemptEnd::Failed:
    return decide::EndReason::Failed;
  case AttemptEnd::Lost:
    return decide::EndReason::Lost;
  case AttemptEnd::Evicted:
    return decide::EndReason::Evicted;
  case AttemptEnd::Cancelled:
    return decide::EndReason::Cancelled;
  }
  assert(false && "attempt end without a reason");
  return decide::EndReason::Lost;
}

/// Returns the resources that the services of a server reserve there.
static Resources sumServiceShares(const datacentre::RegisterServer &Info,
                                  const fleet::Bundle *InForce) {
  Resources Sum;
  if (!InForce)
    return Sum;
  for (const fleet::ServiceConfig &Config : InForce->Services_)
    for (const ServiceId &Served : Info.Services_)
      if (Served == Config.Service_)
        Sum = Sum + Config.Share_;
  return Sum;
}

PlanningCounters PlanningCounters::makeFor(net::Metrics &Registry) {
  const std::string Help = "Decisions that were acted on";
  const std::string Name = "tulipweir_decisions_total";
  return {Registry.addCounter(Name, Help, "kind=\"place\""),
          Registry.addCounter("tulipweir_placements_refused_total",
                              "Placements that the data centre's log refused"),
          Registry.addCounter(Name, Help, "kind=\"evict\""),
          Registry.addCounter(Name, Help, "kind=\"throttle\""),
          Registry.addCounter(Name, Help, "kind=\"hold\"")};
}

PlanningService::PlanningService(
    const datacentre::DataCentreStateMachine &Machine,
    CommandProposer &Proposer, datacentre::AttemptTracker &Attempts,
    DecisionStream &Stream, const Clock &Time, PlanningCounters Counters,
    PlacementFilter JobMayRun, std::uint64_t Seed)
    : Machine_(Machine), Proposer_(Proposer), Attempts_(Attempts),
      Stream_(Stream), Time_(Time), Counters_(Counters),
      JobMayRun_(std::move(JobMayRun)), Planner_(decide::Policy{}, Seed) {}

void PlanningService::setBundle(std::shared_ptr<const fleet::Bundle> InForce) {
  Bundle_ = std::move(InForce);
  RunNeeded_ = true;
  if (!Bundle_)
    return;
  Planner_.setPolicy(Bundle_->Policy_);
  std::vector<datacentre::RegisterServer> Servers;
  Machine_.withState([&Servers](const DataCentreState &State) {
    for (const auto &[Server, Record] : State.servers())
      Servers.push_back(Record.Info_);
  });
  // The state may be ahead of the changes passed to the planner; servers that
  // it does not know yet are added by later changes.
  for (const datacentre::RegisterServer &Info : Servers)
    if (Boots_.contains(Info.Server_))
      upsert(Info);
}

void PlanningService::onChanges(const std::vector<Change> &Changes) {
  for (const Change &AppliedChange : Changes)
    (this->*Handlers[static_cast<std::size_t>(AppliedChange.Kind_)])(
        AppliedChange);
  RunNeeded_ = true;
}

void PlanningService::ignore(const Change &) {}

void PlanningService::onServerChanged(const Change &AppliedChange) {
  upsertFromState(AppliedChange.Server_);
}

void PlanningService::upsertFromState(const BackendServerId &Server) {
  std::optional<datacentre::RegisterServer> Info;
  Machine_.withState([&](const DataCentreState &State) {
    if (const auto *Record = State.findServer(Server))
      Info = Record->Info_;
  });
  if (!Info)
    return;
  upsert(*Info);
  Boots_[Server] = Info->Boot_;
}

ServerReachability
PlanningService::getReachability(const BackendServerId &Server) const {
  const auto It = Unreachable_.find(Server);
  return It == Unreachable_.end() ? ServerReachability::Reachable : It->second;
}

void PlanningService::onReachabilityChanged(const BackendServerId &Server,
                                            ServerReachability Reachability) {
  const ServerReachability Before = getReachability(Server);
  if (Reachability == Before)
    return;
  Unreachable_[Server] = Reachability;
  if (Reachability == ServerReachability::Reachable)
    Unreachable_.erase(Server);
  const bool AffectsCapacity =
      Reachability == ServerReachability::LeasesExpired ||
      Before == ServerReachability::LeasesExpired;
  if (AffectsCapacity && Boots_.contains(Server))
    upsertFromState(Server);
  RunNeeded_ = true;
}

void PlanningService::upsert(const datacentre::RegisterServer &Info) {
  const bool LeasesExpired =
      getReachability(Info.Server_) == ServerReachability::LeasesExpired;
  Planner_.upsertServer({Info.Server_, Info.Rack_, Info.Capacity_,
                         sumServiceShares(Info, Bundle_.get()),
                         Info.Draining_ || LeasesExpired});
}

void PlanningService::onServerForgotten(const Change &AppliedChange) {
  Planner_.removeServer(AppliedChange.Server_);
  Boots_.erase(AppliedChange.Server_);
  Unreachable_.erase(AppliedChange.Server_);
}

void PlanningService::onJobAdopted(const Change &AppliedChange) {
  Machine_.withState([&](const DataCentreState &State) {
    const datacentre::JobRecord *Job = State.findJob(AppliedChange.Task_.Job_);
    if (!Job)
      return;
    datacentre::JobSpec Spec = Job->Spec_;
    Spec.Payload_.clear();
    Jobs_[AppliedChange.Task_.Job_] =
        AdoptedJob{std::move(Spec), Job->Assignment_};
  });
}

void PlanningService::onJobReleasing(const Change &AppliedChange) {
  const auto Job = Jobs_.find(AppliedChange.Task_.Job_);
  if (Job == Jobs_.end())
    return;
  for (std::uint32_t Index = 0; Index < Job->second.Spec_.Tasks_; ++Index) {
    const TaskId Task{AppliedChange.Task_.Job_, Index};
    if (Waiting_.erase(Task) > 0)
      Planner_.removeWaiting(Task);
  }
}

void PlanningService::onJobDropped(const Change &AppliedChange) {
  Jobs_.erase(AppliedChange.Task_.Job_);
}

std::optional<decide::TaskInfo>
PlanningService::makeTask(const Change &AppliedChange) const {
  const auto It = Jobs_.find(AppliedChange.Task_.Job_);
  if (It == Jobs_.end())
    return std::nullopt;
  const datacentre::JobSpec &Spec = It->second.Spec_;
  return decide::TaskInfo{AppliedChange.Task_, AppliedChange.Attempt_,
                          Spec.Team_,          Spec.Class_,
                          Spec.Priority_,      Spec.Declared_};
}

void PlanningService::onTaskWaiting(const Change &AppliedChange) {
  const std::optional<decide::TaskInfo> Task = makeTask(AppliedChange);
  if (!Task)
    return;
  Waiting_.insert(AppliedChange.Task_);
  Planner_.addWaiting(*Task, Time_.now());
}

void PlanningService::onTaskPlaced(const Change &AppliedChange) {
  const std::optional<decide::TaskInfo> Task = makeTask(AppliedChange);
  if (!Task)
    return;
  Waiting_.erase(AppliedChange.Task_);
  Planner_.recordPlacement(*Task, AppliedChange.Attempt_, AppliedChange.Server_,
                           AppliedChange.Reservation_, Time_.now());
}

void PlanningService::onReservationChanged(const Change &AppliedChange) {
  Planner_.updateReservation(AppliedChange.Task_, AppliedChange.Attempt_,
                             AppliedChange.Reservation_);
}

void PlanningService::onAttemptEnded(const Change &AppliedChange) {
  Planner_.recordEnd(AppliedChange.Task_, AppliedChange.Attempt_,
                     toReason(AppliedChange.End_), Time_.now());
}

void PlanningService::onTaskEnded(const Change &AppliedChange) {
  if (Waiting_.erase(AppliedChange.Task_) > 0)
    Planner_.removeWaiting(AppliedChange.Task_);
}

void PlanningService::recordUsage(const BackendServerId &Server,
                                  const wire::AttemptReport &Report,
                                  TimePoint Now) {
  Planner_.addUsageSample({Report.Task_, Report.Attempt_, Server, Report.Usage_,
                           milliseconds(Report.ProgressMs_),
                           Now - milliseconds(Report.UsageAgeMs_)});
}

void PlanningService::recordServiceReport(const BackendServerId &Server,
                                          const wire::ServiceReport &Report,
                                          TimePoint Now) {
  Planner_.addServiceSample({Server, Report.Service_, Report.Requests_,
                             microseconds(Report.P99Micros_),
                             Report.LoadPercent_,
                             Now - milliseconds(Report.AgeMs_)});
}

std::size_t PlanningService::run(std::size_t Budget) {
  RunNeeded_ = false;
  const std::vector<Decision> Decisions = Planner_.decide(Time_.now(), Budget);
  for (const Decision &NewDecision : Decisions)
    (this->*Actions[static_cast<std::size_t>(NewDecision.Kind_)])(NewDecision);
  return Decisions.size();
}

void PlanningService::publish(const Decision &NewDecision) {
  Stream_.append(NewDecision, Time_.wallNow());
}

void PlanningService::publishHold(const Decision &NewDecision) {
  Counters_.Holds_.add();
  publish(NewDecision);
}

void PlanningService::place(const Decision &NewDecision) {
  assert(NewDecision.Task_ && NewDecision.Server_ &&
         "placement without a task or server");
  const auto Boot = Boots_.find(*NewDecision.Server_);
  const bool Reachable =
      getReachability(*NewDecision.Server_) == ServerReachability::Reachable;
  if (Boot == Boots_.end() || !Reachable ||
      !JobMayRun_(NewDecision.Task_->Job_))
    return;
  const datacentre::PlaceTask Command{*NewDecision.Task_, NewDecision.Attempt_,
                                      *NewDecision.Server_, Boot->second,
                                      NewDecision.Reservation_};
  const bool Proposed = Proposer_.propose(
      *NewDecision.Task_, Command,
      [this](const Outcome<datacentre::CommandResult> &Result) {
        if (Result && Result.value().Error_.empty())
          return Counters_.Placements_.add();
        Counters_.PlacementsRefused_.add();
      });
  if (Proposed)
    publish(NewDecision);
}

void PlanningService::reserve(const Decision &NewDecision) {
  assert(NewDecision.Task_ && "reservation without a task");
  const datacentre::ChangeReservation Command{
      *NewDecision.Task_, NewDecision.Attempt_, NewDecision.Reservation_};
  if (Proposer_.propose(*NewDecision.Task_, Command, [](const auto &) {}))
    publish(NewDecision);
}

void PlanningService::throttle(const Decision &NewDecision) {
  assert(NewDecision.Task_ && "throttle without a task");
  Attempts_.setThrottle(*NewDecision.Task_, NewDecision.Attempt_,
                        NewDecision.ThrottlePercent_);
  Planner_.updateThrottle(*NewDecision.Task_, NewDecision.Attempt_,
                          NewDecision.ThrottlePercent_, Time_.now());
  Counters_.Throttles_.add();
  publish(NewDecision);
}

void PlanningService::evict(const Decision &NewDecision) {
  assert(NewDecision.Task_ && "eviction without a task");
  Attempts_.requestCheckpoint(*NewDecision.Task_, NewDecision.Attempt_);
  Counters_.Evictions_.add();
  publish(NewDecision);
}

std::uint64_t PlanningService::findAssignment(const JobId &Job) const {
  const auto It = Jobs_.find(Job);
  return It == Jobs_.end() ? 0 : It->second.Assignment_;
}
