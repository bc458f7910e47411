//===- ServerLedger.cpp - Backend servers, as they announce ---------------===//

#include "tulipweir/datacentre/ServerLedger.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static std::uint32_t toMilliseconds(Duration Length) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count());
}

static RegisterServer makeRegistration(const wire::Announcement &Value) {
  RegisterServer Result{Value.Server_,  Value.Boot_,        Value.Rack_,
                        Value.Address_, Value.Capacity_,    Value.Services_,
                        Value.Slots_,   Value.Connections_, Value.Draining_};
  // Another order of the same services is no change.
  std::sort(Result.Services_.begin(), Result.Services_.end());
  return Result;
}

/// Nothing is placed on a boot that is not registered.
static void stopAll(const wire::Announcement &Value,
                    wire::AnnouncementReply &Reply) {
  for (const wire::AttemptReport &Report : Value.Attempts_) {
    wire::TaskCommand Stop;
    Stop.Kind_ = wire::TaskCommandKind::Stop;
    Stop.Task_ = Report.Task_;
    Stop.Attempt_ = Report.Attempt_;
    Stop.Token_ = Report.Token_;
    Reply.Commands_.push_back(std::move(Stop));
  }
}

/// The highest token of a placement that is not of this leadership.
static FencingToken findLastPlaced(const DataCentreState &State,
                                   std::uint64_t Term) {
  FencingToken Last{Term, 0};
  for (const auto &[Id, Job] : State.jobs())
    for (const TaskRecord &Task : Job.Tasks_)
      Last = std::max(Last, Task.Token_);
  return Last;
}

ServerLedger::ServerLedger(const ServerLedgerSettings &Settings,
                           std::uint64_t Term, TimePoint ElectedAt,
                           const DataCentreState &State)
    : Settings_(Settings),
      Attempts_(Settings.Leases_, findLastPlaced(State, Term), ElectedAt) {
  for (const auto &[Id, Server] : State.servers())
    noteFor(Id, State, ElectedAt);
}

ServerLedger::ServerNote &ServerLedger::noteFor(const BackendServerId &Server,
                                                const DataCentreState &State,
                                                TimePoint Now) {
  const auto [At, Fresh] = Notes_.try_emplace(Server);
  ServerNote &Note = At->second;
  if (!Fresh)
    return Note;
  Note.HeardAt_ = Now;
  ByHeard_.emplace(Now, Server);
  if (const ServerRecord *Record = State.findServer(Server)) {
    Note.Boot_ = Record->Info_.Boot_;
    Note.Draining_ = Record->Info_.Draining_;
  }
  return Note;
}

/// False if another boot was heard lately. Boots have no order, so that a
/// delayed announcement of an earlier one looks like a new one.
bool ServerLedger::acceptBoot(ServerNote &Note, const BootId &Boot,
                              TimePoint Now) const {
  if (Note.Boot_ == Boot)
    return true;
  const bool Silent = Now - Note.HeardAt_ >= Settings_.SilentAfter_;
  if (!Silent && !Note.Boot_.value().empty())
    return false;
  Note.Boot_ = Boot;
  Note.Announced_ = false;
  return true;
}

void ServerLedger::hear(const BackendServerId &Server, ServerNote &Note,
                        TimePoint Now) {
  ByHeard_.erase({Note.HeardAt_, Server});
  Note.HeardAt_ = std::max(Note.HeardAt_, Now);
  ByHeard_.emplace(Note.HeardAt_, Server);
}

Outcome<AnnouncementResult>
ServerLedger::onAnnouncement(const wire::Announcement &Value,
                             const DataCentreState &State,
                             const LeaderMoment &Moment) {
  if (!Moment.Leads_)
    return fail(ErrorCode::NotLeader, "");
  const ServerRecord *Record = State.findServer(Value.Server_);
  ServerNote &Note = noteFor(Value.Server_, State, Moment.Now_);
  AnnouncementResult Result;
  Result.Reply_.LeaseTtlMs_ = toMilliseconds(Settings_.Leases_.Ttl_);
  Result.Reply_.HeartbeatMs_ = toMilliseconds(Settings_.Heartbeat_);
  if (!acceptBoot(Note, Value.Boot_, Moment.Now_))
    return Result;
  if (Note.Announced_ && Value.Sequence_ <= Note.Sequence_)
    return Result;

  Note.Announced_ = true;
  Note.Sequence_ = Value.Sequence_;
  Note.Draining_ = Value.Draining_;
  hear(Value.Server_, Note, Moment.Now_);
  Result.Fresh_ = true;
  if (Record && Record->Info_.Boot_ != Value.Boot_ &&
      !Attempts_.haveRunOut(*Record, State, Moment.Now_))
    return Result;
  // Once another boot may be registered, attempts of this one are not renewed.
  if (Note.Proposed_ && Note.Proposed_->Boot_ != Value.Boot_)
    return Result;
  proposeRegistration(Note, Value, Record, Result.Proposals_);
  if (Record && Record->Info_.Boot_ == Value.Boot_)
    Attempts_.reconcile(Value, *Record, State, Moment, Result);
  else
    stopAll(Value, Result.Reply_);
  return Result;
}

void ServerLedger::proposeRegistration(ServerNote &Note,
                                       const wire::Announcement &Value,
                                       const ServerRecord *Record,
                                       std::vector<Command> &Proposals) const {
  RegisterServer Wanted = makeRegistration(Value);
  if (Record && Record->Info_ == Wanted)
    return;
  if (Note.Proposed_ == Wanted)
    return;
  Note.Proposed_ = Wanted;
  Proposals.emplace_back(std::move(Wanted));
}

std::vector<Command> ServerLedger::onTick(const DataCentreState &State,
                                          TimePoint Now) {
  std::vector<Command> Proposals;
  for (auto At = ByHeard_.begin(); At != ByHeard_.end();) {
    const auto &[HeardAt, Server] = *At;
    if (Now - HeardAt < Settings_.SilentAfter_)
      break;
    const ServerRecord *Record = State.findServer(Server);
    const bool Forget = Now - HeardAt >= Settings_.ForgetAfter_;
    if (!Record && Forget) {
      Notes_.erase(Server);
      At = ByHeard_.erase(At);
      continue;
    }
    if (Record)
      onSilent(*Record, State, Now, Forget, Proposals);
    ++At;
  }
  return Proposals;
}

void ServerLedger::onSilent(const ServerRecord &Server,
                            const DataCentreState &State, TimePoint Now,
                            bool Forget, std::vector<Command> &Proposals) {
  Attempts_.endSilent(Server, State, Now, Proposals);
  ServerNote &Note = Notes_.at(Server.Info_.Server_);
  if (!Forget || !Server.Placed_.empty() || Note.ForgetProposed_)
    return;
  Note.ForgetProposed_ = true;
  Proposals.emplace_back(ForgetServer{Server.Info_.Server_});
}

void ServerLedger::noteDone(const Command &Proposal) {
  if (const auto *End = std::get_if<EndAttempt>(&Proposal))
    return Attempts_.noteDone(*End);
  if (const auto *Registration = std::get_if<RegisterServer>(&Proposal)) {
    const auto Found = Notes_.find(Registration->Server_);
    if (Found != Notes_.end() && Found->second.Proposed_ == *Registration)
      Found->second.Proposed_.reset();
  }
  if (const auto *Forget = std::get_if<ForgetServer>(&Proposal)) {
    const auto Found = Notes_.find(Forget->Server_);
    if (Found != Notes_.end())
      Found->second.ForgetProposed_ = false;
  }
}

void ServerLedger::note(const Change &Value) {
  Attempts_.note(Value);
  if (Value.Kind_ != ChangeKind::ServerForgotten)
    return;
  const auto Found = Notes_.find(Value.Server_);
  if (Found == Notes_.end())
    return;
  ByHeard_.erase({Found->second.HeardAt_, Value.Server_});
  Notes_.erase(Found);
}

bool ServerLedger::isRoutable(const ServerRecord &Server, TimePoint Now) const {
  const auto Found = Notes_.find(Server.Info_.Server_);
  if (Found == Notes_.end())
    return false;
  const ServerNote &Note = Found->second;
  return Note.Boot_ == Server.Info_.Boot_ && !Note.Draining_ &&
         !Server.Info_.Draining_ &&
         Now - Note.HeardAt_ < Settings_.SilentAfter_;
}

bool ServerLedger::isDraining(const BackendServerId &Server) const {
  const auto Found = Notes_.find(Server);
  return Found != Notes_.end() && Found->second.Draining_;
}

TimePoint ServerLedger::findHeardAt(const BackendServerId &Server) const {
  const auto Found = Notes_.find(Server);
  return Found == Notes_.end() ? TimePoint() : Found->second.HeardAt_;
}
