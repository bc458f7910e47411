#include "control/DataCentreLeadership.h"

#include "control/AnnouncementCheck.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::ChangeKind;
using datacentre::DataCentreState;
using datacentre::ServerRecord;
using datacentre::SlotServer;

/// Ticks between the slower parts of the work.
static constexpr std::uint64_t RouteTicks = 2;
static constexpr std::uint64_t SweepTicks = 10;
/// How far ahead a job's assignment is looked up.
static constexpr Duration CoverAhead = std::chrono::seconds(5);
/// Usage moves slowly and lags anyway: one announcement within this time
/// feeds the planner, services' reports all do.
static constexpr Duration UsagePeriod = std::chrono::seconds(2);

/// Reads a machine for a constructor, where the value is needed at once.
template <class Make>
static auto readState(const datacentre::DataCentreStateMachine &Machine,
                      Make Function) {
  std::optional<decltype(Function(std::declval<const DataCentreState &>()))>
      Result;
  Machine.withState(
      [&](const DataCentreState &State) { Result.emplace(Function(State)); });
  return std::move(*Result);
}

static SlotServer makeSlotServer(const datacentre::RegisterServer &Info) {
  SlotServer Value;
  Value.Server_ = Info.Server_;
  Value.Boot_ = Info.Boot_;
  Value.Address_ = Info.Address_;
  Value.Services_ = Info.Services_;
  Value.Slots_ = Info.Slots_;
  Value.Connections_ = Info.Connections_;
  Value.Draining_ = Info.Draining_;
  return Value;
}

static std::vector<SlotServer> listSlotServers(const DataCentreState &State) {
  std::vector<SlotServer> Result;
  for (const auto &[Server, Record] : State.servers())
    Result.push_back(makeSlotServer(Record.Info_));
  return Result;
}

namespace {
/// What a proposal is about.
struct KeyOf {
  template <class T> ProposalKey operator()(const T &Value) const {
    if constexpr (requires { Value.Task_; })
      return Value.Task_;
    else if constexpr (requires { Value.Server_; })
      return Value.Server_;
    else if constexpr (requires { Value.Job_; })
      return Value.Job_;
    else if constexpr (requires { Value.Entry_; })
      return Value.Entry_;
    else
      return EntryId();
  }
};
} // namespace

LeadershipCounters LeadershipCounters::makeFor(net::Metrics &From) {
  return {
      From.addCounter("tulipweir_announcements_total",
                      "Announcements of backend servers"),
      From.addCounter("tulipweir_announcements_stale_total",
                      "Announcements that were late or repeated"),
      From.addCounter("tulipweir_entry_reports_total", "Reports of entries"),
      From.addCounter("tulipweir_lease_renewals_total",
                      "Leases of tasks renewed"),
      From.addCounter("tulipweir_lease_renewals_withheld_total",
                      "Renewals withheld as the job's assignment ends"),
      From.addCounter("tulipweir_task_commands_total",
                      "Commands to backend servers, repeats included"),
      From.addCounter("tulipweir_attempts_ended_total",
                      "Attempts of tasks that ended"),
      PlanningCounters::makeFor(From)};
}

DataCentreLeadership::DataCentreLeadership(const LeadershipParts &Parts,
                                           const LeadershipSettings &Settings,
                                           std::uint64_t Term)
    : Parts_(Parts), Settings_(Settings), Term_(Term),
      Proposer_(Parts.Group_, Parts.Strand_),
      Servers_(readState(Parts.Machine_,
                         [&](const DataCentreState &State) {
                           return datacentre::ServerTracker(
                               Settings.Servers_, Term, Parts.Time_.now(),
                               State);
                         })),
      Slots_(Settings.Slots_, Term, Parts.Time_.now(),
             readState(Parts.Machine_, listSlotServers)),
      Jobs_(Settings.DataCentre_, Parts.Fleet_, Parts.Machine_, Parts.Lease_,
            Proposer_, Parts.FleetProposals_, Parts.Strand_, Parts.Time_,
            Settings.Servers_.Leases_.getMaxRunTime()),
      Planning_(
          Parts.Machine_, Proposer_, Servers_.attempts(), Parts.Stream_,
          Parts.Time_, Parts.Counters_.Planning_,
          [this](const JobId &Job) { return Jobs_.mayRun(Job); }, Term) {
  std::vector<datacentre::Change> Rebuilt;
  Parts_.Machine_.withStateAndIndex(
      [&](const DataCentreState &State, std::uint64_t Index) {
        Rebuilt = State.listChanges();
        BuiltAtIndex_ = Index;
      });
  Parts_.Stream_.beginTerm(Term);
  noteBundle();
  Planning_.noteChanges(Rebuilt);
  Jobs_.noteChanges(Rebuilt);
  refreshRoutes(Parts_.Time_.now());
}

void DataCentreLeadership::noteChanges(
    std::uint64_t Index, const std::vector<datacentre::Change> &Changes) {
  if (Index <= BuiltAtIndex_)
    return;
  for (const datacentre::Change &Value : Changes) {
    Servers_.onChange(Value);
    if (Value.Kind_ == ChangeKind::AttemptEnded)
      Parts_.Counters_.AttemptsEnded_.add();
    if (Value.Kind_ == ChangeKind::JobAdopted ||
        Value.Kind_ == ChangeKind::JobDropped)
      CoveredUntil_.erase(Value.Task_.Job_);
    if (Value.Kind_ == ChangeKind::ServerForgotten) {
      Slots_.removeServer(Value.Server_);
      Routes_.erase(Value.Server_);
    }
    if (Value.Kind_ != ChangeKind::ServerChanged)
      continue;
    Parts_.Machine_.withState([&](const DataCentreState &State) {
      if (const ServerRecord *Record = State.findServer(Value.Server_))
        refreshRoute(*Record, Parts_.Time_.now(), true);
    });
  }
  Planning_.noteChanges(Changes);
  Jobs_.noteChanges(Changes);
}

void DataCentreLeadership::noteBundle() {
  Planning_.setBundle(Parts_.Keeper_.getBundle());
}

datacentre::LeadershipCheck DataCentreLeadership::readMoment() const {
  const TimePoint Now = Parts_.Time_.now();
  return {Now, Parts_.Group_.findLeaseTerm(Now) == Term_};
}

Outcome<wire::AnnouncementReply>
DataCentreLeadership::onAnnouncement(const wire::Announcement &Value) {
  Parts_.Counters_.Announcements_.add();
  const datacentre::LeadershipCheck Moment = readMoment();
  Outcome<datacentre::AnnouncementResult> Result =
      fail(ErrorCode::Internal, "");
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    Result = Servers_.onAnnouncement(Value, State, Moment);
    if (!Result)
      return;
    if (const ServerRecord *Record = State.findServer(Value.Server_))
      refreshRoute(*Record, Moment.Now_, false);
  });
  if (!Result)
    return std::move(Result).as_failure();
  datacentre::AnnouncementResult &Answer = Result.value();
  submit(Answer.Proposals_);
  withhold(Answer.Reply_);
  if (Answer.IsNewest_)
    learn(Value, Moment.Now_);
  else
    Parts_.Counters_.StaleAnnouncements_.add();
  Parts_.Counters_.Renewals_.add(Answer.Reply_.Renewals_.size());
  Parts_.Counters_.CommandsSent_.add(Answer.Reply_.Commands_.size());
  return std::move(Answer.Reply_);
}

Outcome<wire::AnnouncementBatchReply> DataCentreLeadership::onAnnouncementBatch(
    const wire::AnnouncementBatch &Batch) {
  return Digests_.onBatch(
      Batch, Parts_.Time_.now(), [this](const wire::Announcement &Value) {
        const Outcome<void> Checked =
            checkAnnouncement(Value, Settings_.DataCentre_);
        if (!Checked)
          return Outcome<wire::AnnouncementReply>(Checked.as_failure());
        return onAnnouncement(Value);
      });
}

/// Takes out of the reply what would let a task run on beyond its job's
/// assignment. The ledger counts those leases as renewed all the same, so it
/// waits longer than needed, never shorter.
void DataCentreLeadership::withhold(wire::AnnouncementReply &Reply) {
  const TimePoint Until =
      Parts_.Time_.now() + Settings_.Servers_.Leases_.getMaxRunTime();
  const std::size_t Before = Reply.Renewals_.size() + Reply.Commands_.size();
  std::erase_if(Reply.Renewals_, [&](const wire::LeaseRenewal &Renewal) {
    return !mayRunOn(Renewal.Task_.Job_, Until);
  });
  std::erase_if(Reply.Commands_, [&](const wire::TaskCommand &Command) {
    return Command.Kind_ == wire::TaskCommandKind::Start &&
           !mayRunOn(Command.Task_.Job_, Until);
  });
  const std::size_t After = Reply.Renewals_.size() + Reply.Commands_.size();
  Parts_.Counters_.RenewalsWithheld_.add(Before - After);
}

/// Asked for every task of every announcement, so an answer that stays right
/// for a while is remembered.
bool DataCentreLeadership::mayRunOn(const JobId &Job, TimePoint Until) {
  TimePoint &Known = CoveredUntil_[Job];
  if (Until <= Known)
    return true;
  const fleet::HeldAssignment Held{Job, Planning_.findAssignment(Job)};
  if (Parts_.Lease_.covers(Held, Until + CoverAhead)) {
    Known = Until + CoverAhead;
    return true;
  }
  return Parts_.Lease_.covers(Held, Until);
}

void DataCentreLeadership::learn(const wire::Announcement &Value,
                                 TimePoint Now) {
  const auto Every = static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, UsagePeriod / Settings_.Servers_.Heartbeat_));
  const bool UsageDue = Value.Sequence_ % Every == 0;
  for (const wire::AttemptReport &Report : Value.Attempts_)
    if (UsageDue && Report.State_ == wire::AttemptState::Running)
      Planning_.noteUsage(Value.Server_, Report, Now);
  for (const wire::ServiceReport &Report : Value.ServiceReports_) {
    Planning_.noteService(Value.Server_, Report, Now);
    Services_[{Report.Service_, Value.Server_}] = {Value.Server_, Report, Now};
  }
}

void DataCentreLeadership::submit(
    const std::vector<datacentre::Command> &Proposals) {
  for (const datacentre::Command &Value : Proposals) {
    const bool Taken = Proposer_.propose(
        std::visit(KeyOf(), Value), Value,
        [this, Value](const Outcome<datacentre::CommandResult> &) {
          Servers_.onProposalDone(Value);
        });
    // Something else about it is open; the next announcement or tick says
    // again what it needs.
    if (!Taken)
      Servers_.onProposalDone(Value);
  }
}

Outcome<wire::EntryReportReply>
DataCentreLeadership::onEntryReport(const wire::EntryReport &Report) {
  Parts_.Counters_.EntryReports_.add();
  Outcome<wire::EntryReportReply> Reply = Slots_.onReport(Report, readMoment());
  if (!Reply || Reply.value().SendFull_)
    return Reply;
  if (Report.Stopping_)
    Parts_.RollOuts_.forgetEntry(Report.Entry_);
  else
    Parts_.RollOuts_.noteEntry(Report.Entry_, Report.Incarnation_,
                               Report.Held_);
  addBundle(Report, Reply.value());
  return Reply;
}

void DataCentreLeadership::addBundle(const wire::EntryReport &Report,
                                     wire::EntryReportReply &Reply) const {
  Reply.InForce_ = Parts_.Keeper_.getVersion();
  if (Report.Held_ >= Reply.InForce_)
    return;
  // It may have risen between the two calls; they must fit each other.
  Reply.Bundle_ = Parts_.Keeper_.getInForce();
  Reply.InForce_ = Reply.Bundle_->Version_;
}

ServerReach DataCentreLeadership::findReach(const BackendServerId &Server,
                                            TimePoint Now) const {
  // Compared as times, as "never" has no difference to now.
  const TimePoint HeardAt = Servers_.findLastHeardAt(Server);
  if (HeardAt > Now - Settings_.Servers_.SilentAfter_)
    return ServerReach::Heard;
  const bool Gone = HeardAt <= Now - Settings_.Servers_.Leases_.getMaxRunTime();
  return Gone ? ServerReach::Gone : ServerReach::Silent;
}

void DataCentreLeadership::refreshRoute(const ServerRecord &Record,
                                        TimePoint Now, bool Changed) {
  const BackendServerId &Server = Record.Info_.Server_;
  const RouteNote Wanted{Servers_.isRoutable(Record, Now),
                         Servers_.isDraining(Server), findReach(Server, Now)};
  RouteNote &Told = Routes_[Server];
  if (Told == Wanted && !Changed)
    return;
  Told = Wanted;
  Planning_.noteReach(Server, Wanted.Reach_);
  SlotServer Value = makeSlotServer(Record.Info_);
  Value.Draining_ = Value.Draining_ || Wanted.Draining_;
  // A leaving server stays known to entries, without slots, until its
  // requests are answered; a silent one is forgotten.
  Value.Routable_ = Wanted.Routable_ || Value.Draining_;
  Slots_.upsertServer(Value);
}

void DataCentreLeadership::refreshRoutes(TimePoint Now) {
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    for (const auto &[Server, Record] : State.servers())
      refreshRoute(Record, Now, false);
  });
}

void DataCentreLeadership::endGoneEntries(TimePoint Now) {
  std::vector<datacentre::EndEntry> Gone;
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    Gone = Slots_.findExpiredEntries(State.records(), Now);
  });
  for (const datacentre::EndEntry &Value : Gone) {
    const bool Taken =
        Proposer_.propose(Value.Entry_, Value, [](const auto &) {});
    if (Taken)
      spdlog::info("entry {} is gone: what it had begun is unknown",
                   Value.Entry_.value());
  }
}

void DataCentreLeadership::tick() {
  const TimePoint Now = Parts_.Time_.now();
  ++Ticks_;
  std::vector<datacentre::Command> Proposals;
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    Proposals = Servers_.onTick(State, Now);
  });
  submit(Proposals);
  if (Ticks_ % RouteTicks == 0)
    refreshRoutes(Now);
  if (Ticks_ % SweepTicks == 0) {
    endGoneEntries(Now);
    Slots_.expire(Now);
    Jobs_.sweep(Settings_.JobBudget_);
  }
  Jobs_.run(Settings_.JobBudget_);
  plan();
}

bool DataCentreLeadership::plan() {
  // Each tick comes back to what is left out here.
  if (!readMoment().IsLeader_)
    return false;
  return Planning_.run(Settings_.PlanBudget_) >= Settings_.PlanBudget_;
}

std::vector<ServiceView> DataCentreLeadership::listServices() const {
  std::vector<ServiceView> Result;
  for (const auto &[Key, View] : Services_)
    Result.push_back(View);
  return Result;
}

fleet::DataCentreLoad DataCentreLeadership::measureLoad() const {
  fleet::DataCentreLoad Load;
  Resources Capacity;
  Resources Reserved;
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    for (const auto &[Server, Record] : State.servers()) {
      Capacity = Capacity + Record.Info_.Capacity_;
      Reserved = Reserved + Record.Reserved_;
    }
    Load.Servers_ = static_cast<std::uint32_t>(State.servers().size());
  });
  if (Capacity.MilliCpus_ > 0)
    Load.Reserved_ = static_cast<double>(Reserved.MilliCpus_) /
                     static_cast<double>(Capacity.MilliCpus_);
  Load.WaitingTasks_ = static_cast<std::uint32_t>(Planning_.countWaiting());
  return Load;
}
