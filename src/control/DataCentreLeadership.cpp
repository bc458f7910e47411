#include "control/DataCentreLeadership.h"

#include "control/AnnouncementCheck.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::ChangeKind;
using datacentre::DataCentreState;
using datacentre::ServerRecord;
using datacentre::SlotServer;

/// Number of ticks between two runs of the slower work.
static constexpr std::uint64_t TicksPerRouteUpdate = 2;
static constexpr std::uint64_t TicksPerSweep = 10;
/// Extra time by which a cached coverage check looks ahead.
static constexpr Duration CoverageMargin = std::chrono::seconds(5);
/// Usage changes slowly and is reported late anyway, so only one announcement
/// per interval updates the planner. Service reports are always used.
static constexpr Duration UsageInterval = std::chrono::seconds(2);

/// Reads the state for a constructor, which needs the value at once.
template <class Reader>
static auto readState(const datacentre::DataCentreStateMachine &Machine,
                      Reader Function) {
  std::optional<decltype(Function(std::declval<const DataCentreState &>()))>
      Result;
  Machine.withState(
      [&](const DataCentreState &State) { Result.emplace(Function(State)); });
  return std::move(*Result);
}

static SlotServer makeSlotServer(const datacentre::RegisterServer &Info) {
  SlotServer SlotInfo;
  SlotInfo.Server_ = Info.Server_;
  SlotInfo.Boot_ = Info.Boot_;
  SlotInfo.Address_ = Info.Address_;
  SlotInfo.Services_ = Info.Services_;
  SlotInfo.Slots_ = Info.Slots_;
  SlotInfo.Connections_ = Info.Connections_;
  SlotInfo.Draining_ = Info.Draining_;
  return SlotInfo;
}

static std::vector<SlotServer> listSlotServers(const DataCentreState &State) {
  std::vector<SlotServer> Result;
  for (const auto &[Server, Record] : State.servers())
    Result.push_back(makeSlotServer(Record.Info_));
  return Result;
}

namespace {
/// Returns the subject of a command, by which its proposal is tracked.
struct GetProposalKey {
  template <class T> ProposalKey operator()(const T &Cmd) const {
    if constexpr (requires { Cmd.Task_; })
      return Cmd.Task_;
    else if constexpr (requires { Cmd.Server_; })
      return Cmd.Server_;
    else if constexpr (requires { Cmd.Job_; })
      return Cmd.Job_;
    else if constexpr (requires { Cmd.Entry_; })
      return Cmd.Entry_;
    else
      return EntryId();
  }
};
} // namespace

LeadershipCounters LeadershipCounters::makeFor(net::Metrics &Registry) {
  return {Registry.addCounter("tulipweir_announcements_total",
                              "Announcements of backend servers"),
          Registry.addCounter("tulipweir_announcements_stale_total",
                              "Announcements that were late or repeated"),
          Registry.addCounter("tulipweir_entry_reports_total",
                              "Reports of entries"),
          Registry.addCounter("tulipweir_lease_renewals_total",
                              "Leases of tasks renewed"),
          Registry.addCounter("tulipweir_lease_renewals_withheld_total",
                              "Renewals withheld as the job's assignment ends"),
          Registry.addCounter("tulipweir_task_commands_total",
                              "Commands to backend servers, repeats included"),
          Registry.addCounter("tulipweir_attempts_ended_total",
                              "Attempts of tasks that ended"),
          PlanningCounters::makeFor(Registry)};
}

DataCentreLeadership::DataCentreLeadership(const LeadershipParts &Parts,
                                           const LeadershipSettings &Settings,
                                           std::uint64_t Term)
    : Parts_(Parts), Settings_(Settings), Term_(Term),
      Proposer_(Parts.Group_, Parts.Strand_),
      Servers_(readState(Parts.Machine_,
                         [&](const DataCentreState &State) {
                           return datacentre::ServerTracker(
                               Settings.TrackerSettings_, Term,
                               Parts.Time_.now(), State);
                         })),
      Slots_(Settings.Slots_, Term, Parts.Time_.now(),
             readState(Parts.Machine_, listSlotServers)),
      Jobs_(Settings.DataCentre_, Parts.Fleet_, Parts.Machine_, Parts.Lease_,
            Proposer_, Parts.FleetProposals_, Parts.Strand_, Parts.Time_,
            Settings.TrackerSettings_.Leases_.getMaxRunTime()),
      Planning_(
          Parts.Machine_, Proposer_, Servers_.attempts(), Parts.Stream_,
          Parts.Time_, Parts.Counters_.Planning_,
          [this](const JobId &Job) { return Jobs_.mayRun(Job); }, Term) {
  std::vector<datacentre::Change> InitialChanges;
  Parts_.Machine_.withStateAndIndex(
      [&](const DataCentreState &State, std::uint64_t Index) {
        InitialChanges = State.listChanges();
        InitialIndex_ = Index;
      });
  Parts_.Stream_.startTerm(Term);
  onBundleChanged();
  Planning_.onChanges(InitialChanges);
  Jobs_.onChanges(InitialChanges);
  updateRoutes(Parts_.Time_.now());
}

void DataCentreLeadership::onChanges(
    std::uint64_t Index, const std::vector<datacentre::Change> &Changes) {
  if (Index <= InitialIndex_)
    return;
  for (const datacentre::Change &AppliedChange : Changes) {
    Servers_.onChange(AppliedChange);
    if (AppliedChange.Kind_ == ChangeKind::AttemptEnded)
      Parts_.Counters_.AttemptsEnded_.add();
    if (AppliedChange.Kind_ == ChangeKind::JobAdopted ||
        AppliedChange.Kind_ == ChangeKind::JobDropped)
      CoverageCache_.erase(AppliedChange.Task_.Job_);
    if (AppliedChange.Kind_ == ChangeKind::ServerForgotten) {
      Slots_.removeServer(AppliedChange.Server_);
      Routes_.erase(AppliedChange.Server_);
    }
    if (AppliedChange.Kind_ != ChangeKind::ServerChanged)
      continue;
    Parts_.Machine_.withState([&](const DataCentreState &State) {
      if (const ServerRecord *Record = State.findServer(AppliedChange.Server_))
        updateRoute(*Record, Parts_.Time_.now(), true);
    });
  }
  Planning_.onChanges(Changes);
  Jobs_.onChanges(Changes);
}

void DataCentreLeadership::onBundleChanged() {
  Planning_.setBundle(Parts_.Bundles_.getBundle());
}

datacentre::LeadershipCheck DataCentreLeadership::checkLeadership() const {
  const TimePoint Now = Parts_.Time_.now();
  return {Now, Parts_.Group_.findLeaseTerm(Now) == Term_};
}

Outcome<wire::AnnouncementReply>
DataCentreLeadership::onAnnouncement(const wire::Announcement &Announced) {
  Parts_.Counters_.Announcements_.add();
  const datacentre::LeadershipCheck Check = checkLeadership();
  Outcome<datacentre::AnnouncementResult> Result =
      fail(ErrorCode::Internal, "");
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    Result = Servers_.onAnnouncement(Announced, State, Check);
    if (!Result)
      return;
    if (const ServerRecord *Record = State.findServer(Announced.Server_))
      updateRoute(*Record, Check.Now_, false);
  });
  if (!Result)
    return std::move(Result).as_failure();
  datacentre::AnnouncementResult &Answer = Result.value();
  proposeAll(Answer.Proposals_);
  removeUncoveredLeases(Answer.Reply_);
  if (Answer.IsNewest_)
    recordReports(Announced, Check.Now_);
  else
    Parts_.Counters_.StaleAnnouncements_.add();
  Parts_.Counters_.Renewals_.add(Answer.Reply_.Renewals_.size());
  Parts_.Counters_.CommandsSent_.add(Answer.Reply_.Commands_.size());
  return std::move(Answer.Reply_);
}

Outcome<wire::AnnouncementBatchReply> DataCentreLeadership::onAnnouncementBatch(
    const wire::AnnouncementBatch &Batch) {
  return AnnouncementCache_.onBatch(
      Batch, Parts_.Time_.now(), [this](const wire::Announcement &Announced) {
        const Outcome<void> Checked =
            checkAnnouncement(Announced, Settings_.DataCentre_);
        if (!Checked)
          return Outcome<wire::AnnouncementReply>(Checked.as_failure());
        return onAnnouncement(Announced);
      });
}

/// Removes renewals and start commands that would let a task run beyond its
/// job's assignment. The ledger still counts those leases as renewed, so it
/// waits longer than needed, never shorter.
void DataCentreLeadership::removeUncoveredLeases(
    wire::AnnouncementReply &Reply) {
  const TimePoint Until =
      Parts_.Time_.now() + Settings_.TrackerSettings_.Leases_.getMaxRunTime();
  const std::size_t Before = Reply.Renewals_.size() + Reply.Commands_.size();
  std::erase_if(Reply.Renewals_, [&](const wire::LeaseRenewal &Renewal) {
    return !isCoveredUntil(Renewal.Task_.Job_, Until);
  });
  std::erase_if(Reply.Commands_, [&](const wire::TaskCommand &Command) {
    return Command.Kind_ == wire::TaskCommandKind::Start &&
           !isCoveredUntil(Command.Task_.Job_, Until);
  });
  const std::size_t After = Reply.Renewals_.size() + Reply.Commands_.size();
  Parts_.Counters_.RenewalsWithheld_.add(Before - After);
}

/// Called for every task of every announcement, so a positive result is cached
/// while it stays valid.
bool DataCentreLeadership::isCoveredUntil(const JobId &Job, TimePoint Until) {
  TimePoint &KnownUntil = CoverageCache_[Job];
  if (Until <= KnownUntil)
    return true;
  const fleet::HeldAssignment Held{Job, Planning_.findAssignment(Job)};
  if (Parts_.Lease_.covers(Held, Until + CoverageMargin)) {
    KnownUntil = Until + CoverageMargin;
    return true;
  }
  return Parts_.Lease_.covers(Held, Until);
}

void DataCentreLeadership::recordReports(const wire::Announcement &Announced,
                                         TimePoint Now) {
  const auto AnnouncementsPerUsageUpdate =
      static_cast<std::uint64_t>(std::max<std::int64_t>(
          1, UsageInterval / Settings_.TrackerSettings_.Heartbeat_));
  const bool UsageDue = Announced.Sequence_ % AnnouncementsPerUsageUpdate == 0;
  for (const wire::AttemptReport &Report : Announced.Attempts_)
    if (UsageDue && Report.State_ == wire::AttemptState::Running)
      Planning_.recordUsage(Announced.Server_, Report, Now);
  for (const wire::ServiceReport &Report : Announced.ServiceReports_) {
    Planning_.recordServiceReport(Announced.Server_, Report, Now);
    Services_[{Report.Service_, Announced.Server_}] = {Announced.Server_,
                                                       Report, Now};
  }
}

void DataCentreLeadership::proposeAll(
    const std::vector<datacentre::Command> &Proposals) {
  for (const datacentre::Command &Cmd : Proposals) {
    const bool Proposed = Proposer_.propose(
        std::visit(GetProposalKey(), Cmd), Cmd,
        [this, Cmd](const Outcome<datacentre::CommandResult> &) {
          Servers_.onProposalDone(Cmd);
        });
    // Another proposal with the same key is open; the next announcement or tick
    // proposes this one again.
    if (!Proposed)
      Servers_.onProposalDone(Cmd);
  }
}

Outcome<wire::EntryReportReply>
DataCentreLeadership::onEntryReport(const wire::EntryReport &Report) {
  Parts_.Counters_.EntryReports_.add();
  Outcome<wire::EntryReportReply> Reply =
      Slots_.onReport(Report, checkLeadership());
  if (!Reply || Reply.value().SendFull_)
    return Reply;
  if (Report.Stopping_)
    Parts_.RollOuts_.removeEntry(Report.Entry_);
  else
    Parts_.RollOuts_.recordEntry(Report.Entry_, Report.Incarnation_,
                                 Report.Held_);
  attachBundle(Report, Reply.value());
  return Reply;
}

void DataCentreLeadership::attachBundle(const wire::EntryReport &Report,
                                        wire::EntryReportReply &Reply) const {
  Reply.InForce_ = Parts_.Bundles_.getVersion();
  if (Report.Held_ >= Reply.InForce_)
    return;
  // The version may have increased between the two calls; version and bundle
  // must match.
  Reply.Bundle_ = Parts_.Bundles_.getInForce();
  Reply.InForce_ = Reply.Bundle_->Version_;
}

ServerReachability
DataCentreLeadership::getReachability(const BackendServerId &Server,
                                      TimePoint Now) const {
  // The comparison avoids a subtraction, which would overflow for a server that
  // was never heard.
  const TimePoint HeardAt = Servers_.findLastHeardAt(Server);
  if (HeardAt > Now - Settings_.TrackerSettings_.SilentAfter_)
    return ServerReachability::Reachable;
  const bool LeasesExpired =
      HeardAt <= Now - Settings_.TrackerSettings_.Leases_.getMaxRunTime();
  return LeasesExpired ? ServerReachability::LeasesExpired
                       : ServerReachability::Silent;
}

void DataCentreLeadership::updateRoute(const ServerRecord &Record,
                                       TimePoint Now, bool Changed) {
  const BackendServerId &Server = Record.Info_.Server_;
  const RouteStatus Current{Servers_.isRoutable(Record, Now),
                            Servers_.isDraining(Server),
                            getReachability(Server, Now)};
  RouteStatus &Previous = Routes_[Server];
  if (Previous == Current && !Changed)
    return;
  Previous = Current;
  Planning_.onReachabilityChanged(Server, Current.Reachability_);
  SlotServer SlotInfo = makeSlotServer(Record.Info_);
  SlotInfo.Draining_ = SlotInfo.Draining_ || Current.Draining_;
  // A draining server stays in the routes, without slots, until its requests
  // are answered; a silent one is removed.
  SlotInfo.Routable_ = Current.Routable_ || SlotInfo.Draining_;
  Slots_.upsertServer(SlotInfo);
}

void DataCentreLeadership::updateRoutes(TimePoint Now) {
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    for (const auto &[Server, Record] : State.servers())
      updateRoute(Record, Now, false);
  });
}

void DataCentreLeadership::endExpiredEntries(TimePoint Now) {
  std::vector<datacentre::EndEntry> ExpiredEntries;
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    ExpiredEntries = Slots_.findExpiredEntries(State.records(), Now);
  });
  for (const datacentre::EndEntry &Expired : ExpiredEntries) {
    const bool Proposed =
        Proposer_.propose(Expired.Entry_, Expired, [](const auto &) {});
    if (Proposed)
      spdlog::info(
          "entry {} has expired: the outcome of its open requests is unknown",
          Expired.Entry_.value());
  }
}

void DataCentreLeadership::tick() {
  const TimePoint Now = Parts_.Time_.now();
  ++Ticks_;
  std::vector<datacentre::Command> Proposals;
  Parts_.Machine_.withState([&](const DataCentreState &State) {
    Proposals = Servers_.onTick(State, Now);
  });
  proposeAll(Proposals);
  if (Ticks_ % TicksPerRouteUpdate == 0)
    updateRoutes(Now);
  if (Ticks_ % TicksPerSweep == 0) {
    endExpiredEntries(Now);
    Slots_.expire(Now);
    Jobs_.enqueueNext(Settings_.JobBudget_);
  }
  Jobs_.run(Settings_.JobBudget_);
  plan();
}

bool DataCentreLeadership::plan() {
  // Each tick calls plan() again, so nothing is lost here.
  if (!checkLeadership().IsLeader_)
    return false;
  return Planning_.run(Settings_.PlanBudget_) >= Settings_.PlanBudget_;
}

std::vector<ServiceStatus> DataCentreLeadership::listServices() const {
  std::vector<ServiceStatus> Result;
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
