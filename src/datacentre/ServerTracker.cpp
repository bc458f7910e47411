//===- ServerTracker.cpp - Tracks backend servers by heartbeat ------------===//

#include "tulipweir/datacentre/ServerTracker.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static std::uint32_t toMilliseconds(Duration Length) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count());
}

static RegisterServer makeRegistration(const wire::Announcement &Announcement) {
  RegisterServer Result{
      Announcement.Server_,  Announcement.Boot_,        Announcement.Rack_,
      Announcement.Address_, Announcement.Capacity_,    Announcement.Services_,
      Announcement.Slots_,   Announcement.Connections_, Announcement.Draining_};
  // Sorts the services, so that a different order does not count as a change.
  std::sort(Result.Services_.begin(), Result.Services_.end());
  return Result;
}

/// Stops all reported attempts: nothing is placed on a boot that is not
/// registered.
static void stopAll(const wire::Announcement &Announcement,
                    wire::AnnouncementReply &Reply) {
  for (const wire::AttemptReport &Report : Announcement.Attempts_) {
    wire::TaskCommand Stop;
    Stop.Kind_ = wire::TaskCommandKind::Stop;
    Stop.Task_ = Report.Task_;
    Stop.Attempt_ = Report.Attempt_;
    Stop.Token_ = Report.Token_;
    Reply.Commands_.push_back(std::move(Stop));
  }
}

/// Returns the highest token of a placement made before this leadership.
static FencingToken findLastPlaced(const DataCentreState &State,
                                   std::uint64_t Term) {
  FencingToken Last{Term, 0};
  for (const auto &[Id, Job] : State.jobs())
    for (const TaskRecord &Task : Job.Tasks_)
      Last = std::max(Last, Task.Token_);
  return Last;
}

ServerTracker::ServerTracker(const ServerTrackerSettings &Settings,
                             std::uint64_t Term, TimePoint ElectedAt,
                             const DataCentreState &State)
    : Settings_(Settings),
      Attempts_(Settings.Leases_, findLastPlaced(State, Term), ElectedAt) {
  for (const auto &[Id, Server] : State.servers())
    getOrCreateStatus(Id, State, ElectedAt);
}

ServerTracker::ServerStatus &
ServerTracker::getOrCreateStatus(const BackendServerId &Server,
                                 const DataCentreState &State, TimePoint Now) {
  const auto [It, Inserted] = Statuses_.try_emplace(Server);
  ServerStatus &Status = It->second;
  if (!Inserted)
    return Status;
  Status.LastHeardAt_ = Now;
  ByLastHeard_.emplace(Now, Server);
  if (const ServerRecord *Record = State.findServer(Server)) {
    Status.Boot_ = Record->Info_.Boot_;
    Status.Draining_ = Record->Info_.Draining_;
  }
  return Status;
}

/// Returns false if another boot sent a recent announcement. Boots have no
/// order, so a delayed announcement of an earlier boot looks like a new one.
bool ServerTracker::acceptBoot(ServerStatus &Status, const BootId &Boot,
                               TimePoint Now) const {
  if (Status.Boot_ == Boot)
    return true;
  const bool Silent = Now - Status.LastHeardAt_ >= Settings_.SilentAfter_;
  if (!Silent && !Status.Boot_.value().empty())
    return false;
  Status.Boot_ = Boot;
  Status.Announced_ = false;
  return true;
}

void ServerTracker::recordHeartbeat(const BackendServerId &Server,
                                    ServerStatus &Status, TimePoint Now) {
  ByLastHeard_.erase({Status.LastHeardAt_, Server});
  Status.LastHeardAt_ = std::max(Status.LastHeardAt_, Now);
  ByLastHeard_.emplace(Status.LastHeardAt_, Server);
}

Outcome<AnnouncementResult>
ServerTracker::onAnnouncement(const wire::Announcement &Announcement,
                              const DataCentreState &State,
                              const LeadershipCheck &Check) {
  if (!Check.IsLeader_)
    return fail(ErrorCode::NotLeader, "");
  const ServerRecord *Record = State.findServer(Announcement.Server_);
  ServerStatus &Status =
      getOrCreateStatus(Announcement.Server_, State, Check.Now_);
  AnnouncementResult Result;
  Result.Reply_.LeaseTtlMs_ = toMilliseconds(Settings_.Leases_.Ttl_);
  Result.Reply_.HeartbeatMs_ = toMilliseconds(Settings_.Heartbeat_);
  if (!acceptBoot(Status, Announcement.Boot_, Check.Now_))
    return Result;
  if (Status.Announced_ && Announcement.Sequence_ <= Status.Sequence_)
    return Result;

  Status.Announced_ = true;
  Status.Sequence_ = Announcement.Sequence_;
  Status.Draining_ = Announcement.Draining_;
  recordHeartbeat(Announcement.Server_, Status, Check.Now_);
  Result.IsNewest_ = true;
  if (Record && Record->Info_.Boot_ != Announcement.Boot_ &&
      !Attempts_.haveLeasesExpired(*Record, State, Check.Now_))
    return Result;
  // While the registration of another boot is pending, the attempts of this
  // boot are not renewed.
  if (Status.ProposedRegistration_ &&
      Status.ProposedRegistration_->Boot_ != Announcement.Boot_)
    return Result;
  proposeRegistration(Status, Announcement, Record, Result.Proposals_);
  if (Record && Record->Info_.Boot_ == Announcement.Boot_)
    Attempts_.reconcile(Announcement, *Record, State, Check, Result);
  else
    stopAll(Announcement, Result.Reply_);
  return Result;
}

void ServerTracker::proposeRegistration(ServerStatus &Status,
                                        const wire::Announcement &Announcement,
                                        const ServerRecord *Record,
                                        std::vector<Command> &Proposals) const {
  RegisterServer NewRegistration = makeRegistration(Announcement);
  if (Record && Record->Info_ == NewRegistration)
    return;
  if (Status.ProposedRegistration_ == NewRegistration)
    return;
  Status.ProposedRegistration_ = NewRegistration;
  Proposals.emplace_back(std::move(NewRegistration));
}

std::vector<Command> ServerTracker::onTick(const DataCentreState &State,
                                           TimePoint Now) {
  std::vector<Command> Proposals;
  for (auto It = ByLastHeard_.begin(); It != ByLastHeard_.end();) {
    const auto &[LastHeardAt, Server] = *It;
    if (Now - LastHeardAt < Settings_.SilentAfter_)
      break;
    const ServerRecord *Record = State.findServer(Server);
    const bool Forget = Now - LastHeardAt >= Settings_.ForgetAfter_;
    if (!Record && Forget) {
      Statuses_.erase(Server);
      It = ByLastHeard_.erase(It);
      continue;
    }
    if (Record)
      onSilent(*Record, State, Now, Forget, Proposals);
    ++It;
  }
  return Proposals;
}

void ServerTracker::onSilent(const ServerRecord &Server,
                             const DataCentreState &State, TimePoint Now,
                             bool Forget, std::vector<Command> &Proposals) {
  Attempts_.proposeLostAttempts(Server, State, Now, Proposals);
  ServerStatus &Status = Statuses_.at(Server.Info_.Server_);
  if (!Forget || !Server.Placed_.empty() || Status.ForgetProposed_)
    return;
  Status.ForgetProposed_ = true;
  Proposals.emplace_back(ForgetServer{Server.Info_.Server_});
}

void ServerTracker::onProposalDone(const Command &Proposal) {
  if (const auto *End = std::get_if<EndAttempt>(&Proposal))
    return Attempts_.onProposalDone(*End);
  if (const auto *Registration = std::get_if<RegisterServer>(&Proposal)) {
    const auto It = Statuses_.find(Registration->Server_);
    if (It != Statuses_.end() &&
        It->second.ProposedRegistration_ == *Registration)
      It->second.ProposedRegistration_.reset();
  }
  if (const auto *Forget = std::get_if<ForgetServer>(&Proposal)) {
    const auto It = Statuses_.find(Forget->Server_);
    if (It != Statuses_.end())
      It->second.ForgetProposed_ = false;
  }
}

void ServerTracker::onChange(const Change &AppliedChange) {
  Attempts_.onChange(AppliedChange);
  if (AppliedChange.Kind_ != ChangeKind::ServerForgotten)
    return;
  const auto It = Statuses_.find(AppliedChange.Server_);
  if (It == Statuses_.end())
    return;
  ByLastHeard_.erase({It->second.LastHeardAt_, AppliedChange.Server_});
  Statuses_.erase(It);
}

bool ServerTracker::isRoutable(const ServerRecord &Server,
                               TimePoint Now) const {
  const auto It = Statuses_.find(Server.Info_.Server_);
  if (It == Statuses_.end())
    return false;
  const ServerStatus &Status = It->second;
  return Status.Boot_ == Server.Info_.Boot_ && !Status.Draining_ &&
         !Server.Info_.Draining_ &&
         Now - Status.LastHeardAt_ < Settings_.SilentAfter_;
}

bool ServerTracker::isDraining(const BackendServerId &Server) const {
  const auto It = Statuses_.find(Server);
  return It != Statuses_.end() && It->second.Draining_;
}

TimePoint ServerTracker::findLastHeardAt(const BackendServerId &Server) const {
  const auto It = Statuses_.find(Server);
  return It == Statuses_.end() ? TimePoint() : It->second.LastHeardAt_;
}
