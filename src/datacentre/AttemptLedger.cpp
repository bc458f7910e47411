//===- AttemptLedger.cpp - Attempts, as announced and commanded -----------===//

#include "tulipweir/datacentre/AttemptLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using wire::AttemptReport;
using wire::AttemptState;
using wire::TaskCommand;
using wire::TaskCommandKind;

/// A lifted throttle is not shown by inventories, so it is said more often
/// than answers are usually lost in a row.
static constexpr std::uint32_t LiftRepeats = 5;

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

/// How an attempt that was to stop, or stopped by itself, ended.
static AttemptEnd findStopEnd(const JobRecord &Job, bool Asked) {
  if (Job.Cancelling_)
    return AttemptEnd::Cancelled;
  if (Job.Releasing_ || Asked)
    return AttemptEnd::Evicted;
  return AttemptEnd::Lost;
}

AttemptLedger::AttemptLedger(const LeaseSettings &Settings,
                             const FencingToken &LastPlaced,
                             TimePoint ElectedAt)
    : Leases_(Settings, LastPlaced, ElectedAt) {}

AttemptLedger::AttemptNote &AttemptLedger::noteFor(const TaskId &Task,
                                                   AttemptNumber Attempt) {
  AttemptNote &Note = Notes_[Task];
  if (Note.Attempt_ != Attempt) {
    Note = AttemptNote{};
    Note.Attempt_ = Attempt;
  }
  return Note;
}

void AttemptLedger::reconcile(const wire::Announcement &Inventory,
                              const ServerRecord &Server,
                              const DataCentreState &State,
                              const LeaderMoment &Moment,
                              AnnouncementResult &Result) {
  assert(Server.Info_.Boot_ == Inventory.Boot_ && "of another boot");
  const Context In{Inventory, State, Moment, Result};
  for (const AttemptReport &Report : Inventory.Attempts_)
    onReport(Report, In);
  for (const TaskId &Id : Server.Placed_) {
    const TaskRecord &Task = *State.findTask(Id);
    const AttemptNote &Note = noteFor(Id, Task.Attempt_);
    if (!Note.Seen_ || Note.SeenAt_ != Inventory.Sequence_)
      onMissing(Id, Task, In);
  }
}

void AttemptLedger::onReport(const AttemptReport &Report, const Context &In) {
  const TaskRecord *Task = In.State_.findTask(Report.Task_);
  if (!isCurrent(Report, Task, In.Inventory_)) {
    // Of a running one: it has no place. Of an ended one: it may be forgotten.
    In.Result_.Reply_.Commands_.push_back(makeCommand(
        TaskCommandKind::Stop, Report.Task_, Report.Attempt_, Report.Token_));
    return;
  }
  AttemptNote &Note = noteFor(Report.Task_, Report.Attempt_);
  Note.Seen_ = true;
  Note.SeenAt_ = In.Inventory_.Sequence_;
  if (!Report.Checkpoint_.empty())
    Note.Checkpoint_ = Report.Checkpoint_;
  if (Report.State_ == AttemptState::Running)
    onRunning(Report, Note, In);
  else
    onEnded(Report, Note, In);
}

void AttemptLedger::onRunning(const AttemptReport &Report, AttemptNote &Note,
                              const Context &In) {
  const JobRecord &Job = *In.State_.findJob(Report.Task_.Job_);
  auto &Commands = In.Result_.Reply_.Commands_;
  const auto Make = [&Report](TaskCommandKind Kind) {
    return makeCommand(Kind, Report.Task_, Report.Attempt_, Report.Token_);
  };
  if (Note.End_ || Job.Cancelling_ || Note.Intent_ == Intent::Stop) {
    // Without a renewal it ends with its lease even if no command arrives.
    Commands.push_back(Make(TaskCommandKind::Stop));
    if (Note.End_)
      proposeEnd(Note, *Note.End_, In.Result_.Proposals_);
    return;
  }
  if (!Leases_.renew(Report.Task_, Report.Attempt_, In.Moment_))
    return;
  In.Result_.Reply_.Renewals_.push_back(
      wire::LeaseRenewal{Report.Task_, Report.Attempt_, Report.Token_});
  if (Job.Releasing_ || Note.Intent_ == Intent::Checkpoint) {
    Commands.push_back(Make(TaskCommandKind::Checkpoint));
    return;
  }
  if (Note.Throttle_ == 100 && Note.LiftsLeft_ == 0)
    return;
  Note.LiftsLeft_ -= Note.Throttle_ == 100 ? 1 : 0;
  TaskCommand Throttle = Make(TaskCommandKind::Throttle);
  Throttle.ThrottlePercent_ = Note.Throttle_;
  Commands.push_back(std::move(Throttle));
}

void AttemptLedger::onEnded(const AttemptReport &Report, AttemptNote &Note,
                            const Context &In) {
  const JobRecord &Job = *In.State_.findJob(Report.Task_.Job_);
  const bool Asked = Note.Intent_ != Intent::Run ||
                     Report.State_ == AttemptState::Checkpointed;
  AttemptEnd End = findStopEnd(Job, Asked);
  if (Report.State_ == AttemptState::Finished)
    End = AttemptEnd::Finished;
  if (Report.State_ == AttemptState::Failed)
    End = AttemptEnd::Failed;
  proposeEnd(Note,
             EndAttempt{Report.Task_, Report.Attempt_, End, Note.Checkpoint_,
                        Report.Message_},
             In.Result_.Proposals_);
}

void AttemptLedger::onMissing(const TaskId &Id, const TaskRecord &Task,
                              const Context &In) {
  AttemptNote &Note = noteFor(Id, Task.Attempt_);
  const JobRecord &Job = *In.State_.findJob(Id.Job_);
  const bool Gone = Job.Cancelling_ || Job.Releasing_ ||
                    Note.Intent_ != Intent::Run || In.Inventory_.Draining_;
  if (Note.End_) {
    proposeEnd(Note, *Note.End_, In.Result_.Proposals_);
    return;
  }
  if (!Note.Seen_ && !Gone) {
    start(Id, Task, Job.Spec_, In);
    return;
  }
  // A start may still be under way to it; only the lease's end is certain.
  if (!Leases_.hasRunOut(Id, Task.Attempt_, Task.Token_, In.Moment_.Now_)) {
    In.Result_.Reply_.Commands_.push_back(
        makeCommand(TaskCommandKind::Stop, Id, Task.Attempt_, Task.Token_));
    return;
  }
  const bool NeverRan = !Note.Seen_;
  proposeEnd(Note,
             EndAttempt{Id, Task.Attempt_, findStopEnd(Job, NeverRan),
                        Note.Checkpoint_,
                        NeverRan ? "withdrawn before it was seen to run"
                                 : "its backend server no longer holds it"},
             In.Result_.Proposals_);
}

bool AttemptLedger::start(const TaskId &Id, const TaskRecord &Task,
                          const JobSpec &Spec, const Context &In) {
  if (!Leases_.renew(Id, Task.Attempt_, In.Moment_))
    return false;
  TaskCommand Start =
      makeCommand(TaskCommandKind::Start, Id, Task.Attempt_, Task.Token_);
  Start.Payload_ = Spec.Payload_;
  Start.Checkpoint_ = Task.Checkpoint_;
  Start.Reservation_ = Task.Reservation_;
  In.Result_.Reply_.Commands_.push_back(std::move(Start));
  return true;
}

void AttemptLedger::endSilent(const ServerRecord &Server,
                              const DataCentreState &State, TimePoint Now,
                              std::vector<Command> &Proposals) {
  for (const TaskId &Id : Server.Placed_) {
    const TaskRecord &Task = *State.findTask(Id);
    AttemptNote &Note = noteFor(Id, Task.Attempt_);
    if (Note.End_) {
      proposeEnd(Note, *Note.End_, Proposals);
      continue;
    }
    if (!Leases_.hasRunOut(Id, Task.Attempt_, Task.Token_, Now))
      continue;
    proposeEnd(Note,
               EndAttempt{Id, Task.Attempt_, AttemptEnd::Lost, Note.Checkpoint_,
                          "its backend server is silent"},
               Proposals);
  }
}

bool AttemptLedger::haveRunOut(const ServerRecord &Server,
                               const DataCentreState &State,
                               TimePoint Now) const {
  return std::all_of(
      Server.Placed_.begin(), Server.Placed_.end(), [&](const TaskId &Id) {
        const TaskRecord &Task = *State.findTask(Id);
        return Leases_.hasRunOut(Id, Task.Attempt_, Task.Token_, Now);
      });
}

void AttemptLedger::proposeEnd(AttemptNote &Note, EndAttempt End,
                               std::vector<Command> &Proposals) {
  Note.End_ = std::move(End);
  if (Note.EndInFlight_)
    return;
  Note.EndInFlight_ = true;
  Proposals.emplace_back(*Note.End_);
}

void AttemptLedger::requestCheckpoint(const TaskId &Task,
                                      AttemptNumber Attempt) {
  AttemptNote &Note = noteFor(Task, Attempt);
  Note.Intent_ = std::max(Note.Intent_, Intent::Checkpoint);
}

void AttemptLedger::requestStop(const TaskId &Task, AttemptNumber Attempt) {
  noteFor(Task, Attempt).Intent_ = Intent::Stop;
}

void AttemptLedger::setThrottle(const TaskId &Task, AttemptNumber Attempt,
                                std::uint32_t Percent) {
  AttemptNote &Note = noteFor(Task, Attempt);
  if (Percent == 100 && Note.Throttle_ != 100)
    Note.LiftsLeft_ = LiftRepeats;
  Note.Throttle_ = std::min<std::uint32_t>(Percent, 100);
}

void AttemptLedger::noteDone(const EndAttempt &Proposal) {
  const auto Found = Notes_.find(Proposal.Task_);
  if (Found != Notes_.end() && Found->second.Attempt_ == Proposal.Attempt_)
    Found->second.EndInFlight_ = false;
}

void AttemptLedger::note(const Change &Value) {
  if (Value.Kind_ != ChangeKind::AttemptEnded)
    return;
  Leases_.forget(Value.Task_, Value.Attempt_);
  const auto Found = Notes_.find(Value.Task_);
  if (Found != Notes_.end() && Found->second.Attempt_ == Value.Attempt_)
    Notes_.erase(Found);
}
