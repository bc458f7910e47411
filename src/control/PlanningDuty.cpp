#include "control/PlanningDuty.h"

#include <cassert>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::AttemptEnd;
using datacentre::DataCentreState;
using decide::Decision;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// In the order of datacentre::ChangeKind.
const PlanningDuty::Handler PlanningDuty::Handlers[] = {
    &PlanningDuty::onServerChanged, &PlanningDuty::onServerForgotten,
    &PlanningDuty::onJobAdopted,    &PlanningDuty::ignore,
    &PlanningDuty::onJobReleasing,  &PlanningDuty::ignore,
    &PlanningDuty::onJobDropped,    &PlanningDuty::onTaskWaiting,
    &PlanningDuty::onTaskPlaced,    &PlanningDuty::onReservationChanged,
    &PlanningDuty::onAttemptEnded,  &PlanningDuty::onTaskEnded};

// In the order of decide::DecisionKind.
const PlanningDuty::Action PlanningDuty::Actions[] = {
    &PlanningDuty::place, &PlanningDuty::reserve, &PlanningDuty::throttle,
    &PlanningDuty::evict, &PlanningDuty::show,    &PlanningDuty::show,
    &PlanningDuty::hold};

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
  assert(false && "an end without a reason");
  return decide::EndReason::Lost;
}

/// What the services that a server serves set aside there.
static Resources sumShares(const datacentre::RegisterServer &Info,
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

PlanningCounters PlanningCounters::makeFor(net::Metrics &From) {
  const std::string Help = "Decisions that were acted on";
  const std::string Name = "tulipweir_decisions_total";
  return {From.addCounter(Name, Help, "kind=\"place\""),
          From.addCounter("tulipweir_placements_refused_total",
                          "Placements that the data centre's log refused"),
          From.addCounter(Name, Help, "kind=\"evict\""),
          From.addCounter(Name, Help, "kind=\"throttle\""),
          From.addCounter(Name, Help, "kind=\"hold\"")};
}

PlanningDuty::PlanningDuty(const datacentre::DataCentreStateMachine &Machine,
                           CommandProposer &Proposer,
                           datacentre::AttemptTracker &Attempts,
                           DecisionStream &Stream, const Clock &Time,
                           PlanningCounters Counters, MayPlace JobMayRun,
                           std::uint64_t Seed)
    : Machine_(Machine), Proposer_(Proposer), Attempts_(Attempts),
      Stream_(Stream), Time_(Time), Counters_(Counters),
      JobMayRun_(std::move(JobMayRun)), Planner_(decide::Policy{}, Seed) {}

void PlanningDuty::setBundle(std::shared_ptr<const fleet::Bundle> InForce) {
  Bundle_ = std::move(InForce);
  Due_ = true;
  if (!Bundle_)
    return;
  Planner_.setPolicy(Bundle_->Policy_);
  std::vector<datacentre::RegisterServer> Servers;
  Machine_.withState([&Servers](const DataCentreState &State) {
    for (const auto &[Server, Record] : State.servers())
      Servers.push_back(Record.Info_);
  });
  // The state may be ahead of what the planner was told; those come later.
  for (const datacentre::RegisterServer &Info : Servers)
    if (Boots_.contains(Info.Server_))
      upsert(Info);
}

void PlanningDuty::noteChanges(const std::vector<Change> &Changes) {
  for (const Change &Value : Changes)
    (this->*Handlers[static_cast<std::size_t>(Value.Kind_)])(Value);
  Due_ = true;
}

void PlanningDuty::ignore(const Change &) {}

void PlanningDuty::onServerChanged(const Change &Value) {
  upsertFromState(Value.Server_);
}

void PlanningDuty::upsertFromState(const BackendServerId &Server) {
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

ServerReach PlanningDuty::findReach(const BackendServerId &Server) const {
  const auto Found = Unheard_.find(Server);
  return Found == Unheard_.end() ? ServerReach::Heard : Found->second;
}

void PlanningDuty::noteReach(const BackendServerId &Server, ServerReach Reach) {
  const ServerReach Before = findReach(Server);
  if (Reach == Before)
    return;
  Unheard_[Server] = Reach;
  if (Reach == ServerReach::Heard)
    Unheard_.erase(Server);
  const bool Matters =
      Reach == ServerReach::Gone || Before == ServerReach::Gone;
  if (Matters && Boots_.contains(Server))
    upsertFromState(Server);
  Due_ = true;
}

void PlanningDuty::upsert(const datacentre::RegisterServer &Info) {
  const bool Gone = findReach(Info.Server_) == ServerReach::Gone;
  Planner_.upsertServer({Info.Server_, Info.Rack_, Info.Capacity_,
                         sumShares(Info, Bundle_.get()),
                         Info.Draining_ || Gone});
}

void PlanningDuty::onServerForgotten(const Change &Value) {
  Planner_.removeServer(Value.Server_);
  Boots_.erase(Value.Server_);
  Unheard_.erase(Value.Server_);
}

void PlanningDuty::onJobAdopted(const Change &Value) {
  Machine_.withState([&](const DataCentreState &State) {
    const datacentre::JobRecord *Job = State.findJob(Value.Task_.Job_);
    if (!Job)
      return;
    datacentre::JobSpec Spec = Job->Spec_;
    Spec.Payload_.clear();
    Held_[Value.Task_.Job_] = HeldJob{std::move(Spec), Job->Assignment_};
  });
}

void PlanningDuty::onJobReleasing(const Change &Value) {
  const auto Job = Held_.find(Value.Task_.Job_);
  if (Job == Held_.end())
    return;
  for (std::uint32_t Index = 0; Index < Job->second.Spec_.Tasks_; ++Index) {
    const TaskId Task{Value.Task_.Job_, Index};
    if (Waiting_.erase(Task) > 0)
      Planner_.removeWaiting(Task);
  }
}

void PlanningDuty::onJobDropped(const Change &Value) {
  Held_.erase(Value.Task_.Job_);
}

std::optional<decide::TaskInfo>
PlanningDuty::makeTask(const Change &Value) const {
  const auto Found = Held_.find(Value.Task_.Job_);
  if (Found == Held_.end())
    return std::nullopt;
  const datacentre::JobSpec &Spec = Found->second.Spec_;
  return decide::TaskInfo{Value.Task_, Value.Attempt_, Spec.Team_,
                          Spec.Class_, Spec.Priority_, Spec.Declared_};
}

void PlanningDuty::onTaskWaiting(const Change &Value) {
  const std::optional<decide::TaskInfo> Task = makeTask(Value);
  if (!Task)
    return;
  Waiting_.insert(Value.Task_);
  Planner_.addWaiting(*Task, Time_.now());
}

void PlanningDuty::onTaskPlaced(const Change &Value) {
  const std::optional<decide::TaskInfo> Task = makeTask(Value);
  if (!Task)
    return;
  Waiting_.erase(Value.Task_);
  Planner_.recordPlacement(*Task, Value.Attempt_, Value.Server_,
                           Value.Reservation_, Time_.now());
}

void PlanningDuty::onReservationChanged(const Change &Value) {
  Planner_.updateReservation(Value.Task_, Value.Attempt_, Value.Reservation_);
}

void PlanningDuty::onAttemptEnded(const Change &Value) {
  Planner_.recordEnd(Value.Task_, Value.Attempt_, toReason(Value.End_),
                     Time_.now());
}

void PlanningDuty::onTaskEnded(const Change &Value) {
  if (Waiting_.erase(Value.Task_) > 0)
    Planner_.removeWaiting(Value.Task_);
}

void PlanningDuty::noteUsage(const BackendServerId &Server,
                             const wire::AttemptReport &Report, TimePoint Now) {
  Planner_.addUsageSample({Report.Task_, Report.Attempt_, Server, Report.Usage_,
                           milliseconds(Report.ProgressMs_),
                           Now - milliseconds(Report.UsageAgeMs_)});
}

void PlanningDuty::noteService(const BackendServerId &Server,
                               const wire::ServiceReport &Report,
                               TimePoint Now) {
  Planner_.addServiceSample({Server, Report.Service_, Report.Requests_,
                             microseconds(Report.P99Micros_),
                             Report.LoadPercent_,
                             Now - milliseconds(Report.AgeMs_)});
}

std::size_t PlanningDuty::run(std::size_t Budget) {
  Due_ = false;
  const std::vector<Decision> Decisions = Planner_.decide(Time_.now(), Budget);
  for (const Decision &Value : Decisions)
    (this->*Actions[static_cast<std::size_t>(Value.Kind_)])(Value);
  return Decisions.size();
}

void PlanningDuty::show(const Decision &Value) {
  Stream_.append(Value, Time_.wallNow());
}

void PlanningDuty::hold(const Decision &Value) {
  Counters_.Holds_.add();
  show(Value);
}

void PlanningDuty::place(const Decision &Value) {
  assert(Value.Task_ && Value.Server_ && "a placement without its place");
  const auto Boot = Boots_.find(*Value.Server_);
  const bool Reachable = findReach(*Value.Server_) == ServerReach::Heard;
  if (Boot == Boots_.end() || !Reachable || !JobMayRun_(Value.Task_->Job_))
    return;
  const datacentre::PlaceTask Command{*Value.Task_, Value.Attempt_,
                                      *Value.Server_, Boot->second,
                                      Value.Reservation_};
  const bool Taken = Proposer_.propose(
      *Value.Task_, Command,
      [this](const Outcome<datacentre::CommandResult> &Result) {
        if (Result && Result.value().Error_.empty())
          return Counters_.Placements_.add();
        Counters_.PlacementsRefused_.add();
      });
  if (Taken)
    show(Value);
}

void PlanningDuty::reserve(const Decision &Value) {
  assert(Value.Task_ && "a reservation without its task");
  const datacentre::ChangeReservation Command{*Value.Task_, Value.Attempt_,
                                              Value.Reservation_};
  if (Proposer_.propose(*Value.Task_, Command, [](const auto &) {}))
    show(Value);
}

void PlanningDuty::throttle(const Decision &Value) {
  assert(Value.Task_ && "a throttle without its task");
  Attempts_.setThrottle(*Value.Task_, Value.Attempt_, Value.ThrottlePercent_);
  Planner_.updateThrottle(*Value.Task_, Value.Attempt_, Value.ThrottlePercent_,
                          Time_.now());
  Counters_.Throttles_.add();
  show(Value);
}

void PlanningDuty::evict(const Decision &Value) {
  assert(Value.Task_ && "an eviction without its task");
  Attempts_.requestCheckpoint(*Value.Task_, Value.Attempt_);
  Counters_.Evictions_.add();
  show(Value);
}

std::uint64_t PlanningDuty::findAssignment(const JobId &Job) const {
  const auto Found = Held_.find(Job);
  return Found == Held_.end() ? 0 : Found->second.Assignment_;
}
