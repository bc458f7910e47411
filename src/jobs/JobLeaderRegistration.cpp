// Servers that register, are replaced by a later incarnation, or leave.
#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The report interval of an incarnation whose address is still taken.
static constexpr std::uint64_t ConflictReportMs = 250;
/// The same for a restarted server, whose next report proves that it runs.
static constexpr std::uint64_t RestartReportMs = 100;

static bool contains(const std::vector<std::string> &Ids,
                     const std::string &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

static bool areSameServer(const std::string &Left, const std::string &Right) {
  return IncarnationId::parse(Left).getServerId() ==
         IncarnationId::parse(Right).getServerId();
}

/// Whether the report names a service that is not configured. A server whose
/// service was removed from the configuration continues.
static bool namesUnknownService(const JobRegistry &Registry,
                                const ServerRecord *Known,
                                const ServerFacts &Facts) {
  const Configuration &Current = Registry.configuration();
  const bool KeepsItsService =
      Known && Known->Facts_.Service_ == Facts.Service_;
  if (KeepsItsService || Current.Version_ == 0)
    return false;
  return std::none_of(Current.Services_.begin(), Current.Services_.end(),
                      [&Facts](const ServicePolicy &Service) {
                        return Service.Name_ == Facts.Service_;
                      });
}

/// Names the registered incarnation that sent the report if the report or the
/// registration lacks the start time, as in a fleet that is being upgraded. An
/// incarnation lists no runs of an earlier one.
void JobLeader::Impl::resolveIncarnation(ServerReport &Report) const {
  const auto IsListed = [&Report](const ServerRecord &Server) {
    return std::any_of(Report.Running_.begin(), Report.Running_.end(),
                       [&Server](const RunningTask &Run) {
                         return Server.isPlaced(Run.Task_, Run.Run_);
                       }) ||
           std::any_of(Report.Ended_.begin(), Report.Ended_.end(),
                       [&Server](const EndedTask &Ended) {
                         return Server.isPlaced(Ended.End_.Task_,
                                                Ended.End_.Run_);
                       });
  };
  Machine_.read([&](const JobRegistry &Registry) {
    if (Registry.findServer(Report.Facts_.Id_))
      return 0;
    const IncarnationId Id = IncarnationId::parse(Report.Facts_.Id_);
    for (const std::string &Other :
         Registry.listIncarnationsOf(Id.getServerId()))
      if (Id.hasStartTime() != IncarnationId::parse(Other).hasStartTime() &&
          IsListed(*Registry.findServer(Other)))
        Report.Facts_.Id_ = Other;
    return 0;
  });
}

/// Registers the incarnation in the replicated state, unless another one is
/// registered at its address or under its server's id.
void JobLeader::Impl::admit(const PendingReportPtr &Pending) {
  const ServerFacts &Facts = Pending->Report_.Facts_;
  std::vector<std::string> Others;
  bool IsUnknownService = false;
  const bool IsKnown = Machine_.read([&](const JobRegistry &Registry) {
    const ServerRecord *Known = Registry.findServer(Facts.Id_);
    IsUnknownService = namesUnknownService(Registry, Known, Facts);
    if (Known)
      return Known->Facts_ == Facts;
    Others = Registry.listIncarnationsOf(
        IncarnationId::parse(Facts.Id_).getServerId());
    const std::string Occupant = Registry.findServerAt(Facts.Address_);
    if (!Occupant.empty() && !contains(Others, Occupant))
      Others.push_back(Occupant);
    return false;
  });
  // An invalid report does not affect the lease of a registered server's runs.
  if (IsUnknownService)
    return reply(Pending, fail(ErrorCode::InvalidArgument,
                               "no such service: " + Facts.Service_));
  if (LiveServer *Live = LiveServers_.find(Facts.Id_);
      Live && Live->IsRemoving_)
    return recordLateEnds(
        Pending->Report_, [this, Pending](const Outcome<ServerOrders> &) {
          reply(Pending,
                fail(ErrorCode::Unavailable, "the server is being removed"));
        });
  if (IsKnown)
    return commitEnds(Pending);
  if (!takeOver(Others, *Pending)) {
    Meter_.add(JobCounter::ReportsWithAddressConflict, 1);
    ServerOrders Later;
    const bool IsRestart =
        !Others.empty() && areSameServer(Others.front(), Facts.Id_);
    Later.NextReportMs_ = IsRestart ? RestartReportMs : ConflictReportMs;
    return reply(Pending, std::move(Later));
  }
  addServer(Pending);
}

/// Removes the other incarnations if the sender of the report is known to be
/// the latest one; otherwise returns false.
bool JobLeader::Impl::takeOver(const std::vector<std::string> &Others,
                               const PendingReport &Pending) {
  bool IsOver = true;
  for (const std::string &Other : Others)
    IsOver = claimFrom(Other, Pending) && IsOver;
  if (!IsOver)
    return false;
  const std::string &Successor = Pending.Report_.Facts_.Id_;
  Conflicts_.forget(Successor);
  for (const std::string &Other : Others) {
    const LiveServer *Live = LiveServers_.find(Other);
    if (Live && Live->IsRemoving_)
      continue;
    const bool IsRestart = areSameServer(Other, Successor);
    if (IsRestart)
      logRestart(Other, Successor);
    removeServer(Other, IsRestart ? Departure::Restarted : Departure::Replaced,
                 [](const Outcome<CommandResult> &) {});
  }
  return true;
}

/// Whether the sender of the report may replace the other incarnation, or it is
/// being removed.
bool JobLeader::Impl::claimFrom(const std::string &Other,
                                const PendingReport &Pending) {
  const std::string &Successor = Pending.Report_.Facts_.Id_;
  const TimePoint Now = Time_.now();
  const LiveServer *Live = LiveServers_.find(Other);
  if (Live && Live->IsRemoving_)
    return true;
  const IncarnationConflicts::Claim Claim{Successor, Other,
                                          areSameServer(Other, Successor)};
  if (Conflicts_.recordReport(Claim, Pending.Report_, Pending.SentBy_,
                              Live ? Live->LastHeard_ : TimePoint::min(), Now))
    Relays_.flush(Other, [Weak = weak_from_this(), Claim, Now] {
      if (const std::shared_ptr<Impl> Self = Weak.lock())
        Self->Conflicts_.recordFlush(Claim, Now);
    });
  if (Conflicts_.mayTakeOver(Claim, Now))
    return true;
  Event Line;
  Line.Kind_ = EventKind::ServerWaits;
  Line.Server_ = Successor;
  Line.Reason_ =
      Other + (Claim.AreOfSameServer_ ? " is registered for the same server"
                                      : " is registered at its address");
  if (Live)
    Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now - Live->LastHeard_)
                      .count();
  Log_.write(Line);
  return false;
}

void JobLeader::Impl::logRestart(const std::string &Before,
                                 const std::string &Restarted) {
  Meter_.add(JobCounter::ServersRestarted, 1);
  Event Line;
  Line.Kind_ = EventKind::ServerRestarted;
  Line.Server_ = Restarted;
  Line.Reason_ = Before + " has ended";
  if (const LiveServer *Live = LiveServers_.find(Before))
    Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Time_.now() - Live->LastHeard_)
                      .count();
  Log_.write(Line);
}

void JobLeader::Impl::addServer(const PendingReportPtr &Pending) {
  const ServerFacts &Facts = Pending->Report_.Facts_;
  Event Line;
  Line.Kind_ = EventKind::ServerSeen;
  Line.Server_ = Facts.Id_;
  Line.Reason_ = "rack " + Facts.Rack_ + ", " + Facts.DataCentre_ + ", labels";
  for (const std::string &Label : Facts.Labels_)
    Line.Reason_ += " " + Label;
  Log_.write(Line);
  propose(
      AddServer{Facts}, [this, Pending](const Outcome<CommandResult> &Applied) {
        if (!Applied)
          return reply(Pending, Applied.error());
        if (Applied.value().Status_ == CommandStatus::Refused)
          return reply(Pending, fail(ErrorCode::Unavailable,
                                     "another incarnation holds the address"));
        handleFailedJobs(Applied.value());
        commitEnds(Pending);
      });
}

/// Returns the registered incarnation that a notice of leaving means. The
/// notice of an unknown one means itself.
std::optional<std::string>
JobLeader::Impl::findLeaving(const std::string &Notified) const {
  const IncarnationId Id = IncarnationId::parse(Notified);
  const std::vector<std::string> Registered =
      Machine_.read([&Id](const JobRegistry &Registry) {
        return Registry.listIncarnationsOf(Id.getServerId());
      });
  if (Registered.empty() || contains(Registered, Notified))
    return Notified;
  // The notice of an earlier incarnation may arrive after a restart, and only a
  // server that drains leaves.
  for (const std::string &Other : Registered) {
    const LiveServer *Live = LiveServers_.find(Other);
    const bool MayBeSame =
        Id.hasStartTime() != IncarnationId::parse(Other).hasStartTime();
    if (MayBeSame && Live && Live->IsDraining_)
      return Other;
  }
  return Id.hasStartTime() ? std::optional(Notified) : std::nullopt;
}

void JobLeader::Impl::leave(const std::string &ServerId, Done<void> Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  const std::optional<std::string> Leaving = findLeaving(ServerId);
  if (!Leaving)
    return Reply(succeed());
  removeOnceFlushed(*Leaving, Departure::Left,
                    [Reply](const Outcome<CommandResult> &Result) {
                      if (!Result)
                        return Reply(Result.error());
                      Reply(succeed());
                    });
}

/// Removes a server that has ended once the relays have passed on its buffered
/// reports. The ends in them must be recorded before the tasks are started
/// elsewhere.
void JobLeader::Impl::removeOnceFlushed(const std::string &Id, Departure How,
                                        ResultCallback Done) {
  Leaving_.insert(Id);
  const bool IsEmpty = Machine_.read([&Id](const JobRegistry &Registry) {
    const ServerRecord *Server = Registry.findServer(Id);
    return !Server || Server->Placed_.empty();
  });
  const auto Remove = [Weak = weak_from_this(), Id, How,
                       Done = std::move(Done)] {
    const std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self || !Self->isLeading())
      return Done(fail(ErrorCode::NotLeader, ""));
    Self->removeServer(Id, How, Done);
  };
  if (IsEmpty)
    return Remove();
  Relays_.flush(Id, Remove);
}
