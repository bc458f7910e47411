//===- AttemptTracker.cpp - Tracks placed task attempts -------------------===//

#include "tulipweir/datacentre/AttemptTracker.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using wire::AttemptReport;
using wire::AttemptState;
using wire::TaskCommand;
using wire::TaskCommandKind;

/// Number of replies that repeat the removal of a throttle. Inventories do not
/// report throttles, so the command is repeated more often than replies are
/// usually lost in a row.
static constexpr std::uint32_t UnthrottleRepeats = 5;

static TaskCommand makeCommand(TaskCommandKind Kind, const TaskId &Task,
                               AttemptNumber Attempt,
                               const FencingToken &Token) {
  TaskCommand Result;
  Result.Kind_ = Kind;
  Result.Task_ = Task;
  Result.Attempt_ = Attempt;
  Result.Token_ = Token;
  return Result;
}

static bool isCurrent(const AttemptReport &Report, const TaskRecord *Task,
                      const wire::Announcement &Inventory) {
  return Task && Task->State_ == TaskState::Placed &&
         Task->Attempt_ == Report.Attempt_ && Task->Token_ == Report.Token_ &&
         Task->Server_ == Inventory.Server_ && Task->Boot_ == Inventory.Boot_;
}

/// Returns how an attempt ended that stopped by command or by itself.
static AttemptEnd classifyStop(const JobRecord &Job, bool StopRequested) {
  if (Job.Cancelling_)
    return AttemptEnd::Cancelled;
  if (Job.Releasing_ || StopRequested)
    return AttemptEnd::Evicted;
  return AttemptEnd::Lost;
}

AttemptTracker::AttemptTracker(const LeaseSettings &Settings,
                               const FencingToken &LastPlaced,
                               TimePoint ElectedAt)
    : Leases_(Settings, LastPlaced, ElectedAt) {}

AttemptTracker::AttemptStatus &
AttemptTracker::getOrCreateStatus(const TaskId &Task, AttemptNumber Attempt) {
  AttemptStatus &Status = Statuses_[Task];
  if (Status.Attempt_ != Attempt) {
    Status = AttemptStatus{};
    Status.Attempt_ = Attempt;
  }
  return Status;
}

void AttemptTracker::reconcile(const wire::Announcement &Inventory,
                               const ServerRecord &Server,
                               const DataCentreState &State,
                               const LeadershipCheck &Check,
                               AnnouncementResult &Result) {
  assert(Server.Info_.Boot_ == Inventory.Boot_ &&
         "the inventory must be of the registered boot");
  const Context Ctx{Inventory, State, Check, Result};
  for (const AttemptReport &Report : Inventory.Attempts_)
    onReport(Report, Ctx);
  for (const TaskId &Id : Server.Placed_) {
    const TaskRecord &Task = *State.findTask(Id);
    const AttemptStatus &Status = getOrCreateStatus(Id, Task.Attempt_);
    if (!Status.Reported_ || Status.ReportedSequence_ != Inventory.Sequence_)
      onMissing(Id, Task, Ctx);
  }
}

void AttemptTracker::onReport(const AttemptReport &Report, const Context &Ctx) {
  const TaskRecord *Task = Ctx.State_.findTask(Report.Task_);
  if (!isCurrent(Report, Task, Ctx.Inventory_)) {
    // A running attempt without a placement must stop. An ended one may be
    // forgotten by its server.
    Ctx.Result_.Reply_.Commands_.push_back(makeCommand(
        TaskCommandKind::Stop, Report.Task_, Report.Attempt_, Report.Token_));
    return;
  }
  AttemptStatus &Status = getOrCreateStatus(Report.Task_, Report.Attempt_);
  Status.Reported_ = true;
  Status.ReportedSequence_ = Ctx.Inventory_.Sequence_;
  if (!Report.Checkpoint_.empty())
    Status.Checkpoint_ = Report.Checkpoint_;
  if (Report.State_ == AttemptState::Running)
    onRunning(Report, Status, Ctx);
  else
    onEnded(Report, Status, Ctx);
}

void AttemptTracker::onRunning(const AttemptReport &Report,
                               AttemptStatus &Status, const Context &Ctx) {
  const JobRecord &Job = *Ctx.State_.findJob(Report.Task_.Job_);
  auto &Commands = Ctx.Result_.Reply_.Commands_;
  const auto Make = [&Report](TaskCommandKind Kind) {
    return makeCommand(Kind, Report.Task_, Report.Attempt_, Report.Token_);
  };
  if (Status.ProposedEnd_ || Job.Cancelling_ ||
      Status.Intent_ == Intent::Stop) {
    // Without a renewal the attempt stops when its lease expires, even if no
    // command arrives.
    Commands.push_back(Make(TaskCommandKind::Stop));
    if (Status.ProposedEnd_)
      proposeEnd(Status, *Status.ProposedEnd_, Ctx.Result_.Proposals_);
    return;
  }
  if (!Leases_.renew(Report.Task_, Report.Attempt_, Ctx.Check_))
    return;
  Ctx.Result_.Reply_.Renewals_.push_back(
      wire::LeaseRenewal{Report.Task_, Report.Attempt_, Report.Token_});
  if (Job.Releasing_ || Status.Intent_ == Intent::Checkpoint) {
    Commands.push_back(Make(TaskCommandKind::Checkpoint));
    return;
  }
  if (Status.Throttle_ == 100 && Status.UnthrottleRepeatsLeft_ == 0)
    return;
  Status.UnthrottleRepeatsLeft_ -= Status.Throttle_ == 100 ? 1 : 0;
  TaskCommand Throttle = Make(TaskCommandKind::Throttle);
  Throttle.ThrottlePercent_ = Status.Throttle_;
  Commands.push_back(std::move(Throttle));
}

void AttemptTracker::onEnded(const AttemptReport &Report, AttemptStatus &Status,
                             const Context &Ctx) {
  const JobRecord &Job = *Ctx.State_.findJob(Report.Task_.Job_);
  const bool StopRequested = Status.Intent_ != Intent::Run ||
                             Report.State_ == AttemptState::Checkpointed;
  AttemptEnd End = classifyStop(Job, StopRequested);
  if (Report.State_ == AttemptState::Finished)
    End = AttemptEnd::Finished;
  if (Report.State_ == AttemptState::Failed)
    End = AttemptEnd::Failed;
  proposeEnd(Status,
             EndAttempt{Report.Task_, Report.Attempt_, End, Status.Checkpoint_,
                        Report.Message_},
             Ctx.Result_.Proposals_);
}

void AttemptTracker::onMissing(const TaskId &Id, const TaskRecord &Task,
                               const Context &Ctx) {
  AttemptStatus &Status = getOrCreateStatus(Id, Task.Attempt_);
  const JobRecord &Job = *Ctx.State_.findJob(Id.Job_);
  const bool Withdrawn = Job.Cancelling_ || Job.Releasing_ ||
                         Status.Intent_ != Intent::Run ||
                         Ctx.Inventory_.Draining_;
  if (Status.ProposedEnd_) {
    proposeEnd(Status, *Status.ProposedEnd_, Ctx.Result_.Proposals_);
    return;
  }
  if (!Status.Reported_ && !Withdrawn) {
    start(Id, Task, Job.Spec_, Ctx);
    return;
  }
  // A start command may still be in flight, so only an expired lease proves
  // that the attempt does not run.
  if (!Leases_.hasExpired(Id, Task.Attempt_, Task.Token_, Ctx.Check_.Now_)) {
    Ctx.Result_.Reply_.Commands_.push_back(
        makeCommand(TaskCommandKind::Stop, Id, Task.Attempt_, Task.Token_));
    return;
  }
  const bool NeverRan = !Status.Reported_;
  proposeEnd(Status,
             EndAttempt{Id, Task.Attempt_, classifyStop(Job, NeverRan),
                        Status.Checkpoint_,
                        NeverRan ? "withdrawn before it was seen to run"
                                 : "its backend server no longer holds it"},
             Ctx.Result_.Proposals_);
}

bool AttemptTracker::start(const TaskId &Id, const TaskRecord &Task,
                           const JobSpec &Spec, const Context &Ctx) {
  if (!Leases_.renew(Id, Task.Attempt_, Ctx.Check_))
    return false;
  TaskCommand Start =
      makeCommand(TaskCommandKind::Start, Id, Task.Attempt_, Task.Token_);
  Start.Payload_ = Spec.Payload_;
  Start.Checkpoint_ = Task.Checkpoint_;
  Start.Reservation_ = Task.Reservation_;
  Ctx.Result_.Reply_.Commands_.push_back(std::move(Start));
  return true;
}

void AttemptTracker::proposeLostAttempts(const ServerRecord &Server,
                                         const DataCentreState &State,
                                         TimePoint Now,
                                         std::vector<Command> &Proposals) {
  for (const TaskId &Id : Server.Placed_) {
    const TaskRecord &Task = *State.findTask(Id);
    AttemptStatus &Status = getOrCreateStatus(Id, Task.Attempt_);
    if (Status.ProposedEnd_) {
      proposeEnd(Status, *Status.ProposedEnd_, Proposals);
      continue;
    }
    if (!Leases_.hasExpired(Id, Task.Attempt_, Task.Token_, Now))
      continue;
    proposeEnd(Status,
               EndAttempt{Id, Task.Attempt_, AttemptEnd::Lost,
                          Status.Checkpoint_, "its backend server is silent"},
               Proposals);
  }
}

bool AttemptTracker::haveLeasesExpired(const ServerRecord &Server,
                                       const DataCentreState &State,
                                       TimePoint Now) const {
  return std::all_of(
      Server.Placed_.begin(), Server.Placed_.end(), [&](const TaskId &Id) {
        const TaskRecord &Task = *State.findTask(Id);
        return Leases_.hasExpired(Id, Task.Attempt_, Task.Token_, Now);
      });
}

void AttemptTracker::proposeEnd(AttemptStatus &Status, EndAttempt End,
                                std::vector<Command> &Proposals) {
  Status.ProposedEnd_ = std::move(End);
  if (Status.EndProposalInFlight_)
    return;
  Status.EndProposalInFlight_ = true;
  Proposals.emplace_back(*Status.ProposedEnd_);
}

void AttemptTracker::requestCheckpoint(const TaskId &Task,
                                       AttemptNumber Attempt) {
  AttemptStatus &Status = getOrCreateStatus(Task, Attempt);
  Status.Intent_ = std::max(Status.Intent_, Intent::Checkpoint);
}

void AttemptTracker::requestStop(const TaskId &Task, AttemptNumber Attempt) {
  getOrCreateStatus(Task, Attempt).Intent_ = Intent::Stop;
}

void AttemptTracker::setThrottle(const TaskId &Task, AttemptNumber Attempt,
                                 std::uint32_t Percent) {
  AttemptStatus &Status = getOrCreateStatus(Task, Attempt);
  if (Percent == 100 && Status.Throttle_ != 100)
    Status.UnthrottleRepeatsLeft_ = UnthrottleRepeats;
  Status.Throttle_ = std::min<std::uint32_t>(Percent, 100);
}

void AttemptTracker::onProposalDone(const EndAttempt &Proposal) {
  const auto It = Statuses_.find(Proposal.Task_);
  if (It != Statuses_.end() && It->second.Attempt_ == Proposal.Attempt_)
    It->second.EndProposalInFlight_ = false;
}

void AttemptTracker::onChange(const Change &AppliedChange) {
  if (AppliedChange.Kind_ != ChangeKind::AttemptEnded)
    return;
  Leases_.forget(AppliedChange.Task_, AppliedChange.Attempt_);
  const auto It = Statuses_.find(AppliedChange.Task_);
  if (It != Statuses_.end() && It->second.Attempt_ == AppliedChange.Attempt_)
    Statuses_.erase(It);
}
