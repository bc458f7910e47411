#include "control/JobReconciler.h"

#include "control/JobProgress.h"
#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <algorithm>

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::DataCentreState;
using datacentre::JobRecord;
using datacentre::TaskRecord;
using datacentre::TaskState;
using fleet::FleetState;

static constexpr Duration FleetTimeout = std::chrono::seconds(5);
/// A new leader may lead before its own first report was answered. Until then
/// it withholds renewals but stops no job permanently.
static constexpr Duration StartupGrace = std::chrono::seconds(30);
static constexpr Duration RetryDelay = std::chrono::milliseconds(250);

// In the order of ReconcileAction.
const JobReconciler::Handler JobReconciler::Handlers[] = {
    &JobReconciler::doNothing, &JobReconciler::adopt,
    &JobReconciler::cancel,    &JobReconciler::stop,
    &JobReconciler::reportEnd, &JobReconciler::returnToFleet,
    &JobReconciler::drop,      &JobReconciler::reportCancelled};

/// Chooses the action for a job that this data centre does not hold.
static ReconcileAction chooseForAbsent(const FleetJobState &Fleet,
                                       const LocalJobState &Local,
                                       const LeaseState &Lease) {
  const bool New = Fleet.Ours_ && Fleet.Assignment_ > Local.Assignment_;
  if (!New)
    return ReconcileAction::None;
  if (Fleet.Cancelling_)
    return ReconcileAction::ReportCancelled;
  return Lease.Covers_ ? ReconcileAction::Adopt : ReconcileAction::None;
}

/// Chooses the action for a job that both logs assign to this data centre.
static ReconcileAction chooseForHeld(const FleetJobState &Fleet,
                                     const LocalJobState &Local,
                                     const LeaseState &Lease) {
  if (Local.AllEnded_)
    return ReconcileAction::ReportEnd;
  if (Fleet.Cancelling_ && !Local.Cancelling_)
    return ReconcileAction::Cancel;
  if (Local.Releasing_)
    return Local.AnyPlaced_ ? ReconcileAction::None
                            : ReconcileAction::ReturnToFleet;
  return Lease.Ending_ ? ReconcileAction::Stop : ReconcileAction::None;
}

ReconcileAction control::chooseAction(const FleetJobState &Fleet,
                                      const LocalJobState &Local,
                                      const LeaseState &Lease) {
  if (!Local.Known_)
    return chooseForAbsent(Fleet, Local, Lease);
  if (Fleet.Ours_ && Fleet.Assignment_ == Local.Assignment_)
    return chooseForHeld(Fleet, Local, Lease);
  // The fleet forgets old results, and the local replica of its log may lag
  // behind the entry by which an earlier leader adopted the job. Only the
  // fleet's leader can tell the two cases apart.
  const bool Lagging = !Fleet.Known_ || Fleet.Assignment_ < Local.Assignment_;
  if (Lagging)
    return Local.AllEnded_ ? ReconcileAction::ReportEnd : ReconcileAction::None;
  const bool MayDrop = Local.AllEnded_ || Local.Releasing_;
  if (!Local.AnyPlaced_ && MayDrop)
    return ReconcileAction::Drop;
  return Local.Releasing_ ? ReconcileAction::None : ReconcileAction::Stop;
}

static fleet::JobEnd summarizeEnd(const JobRecord &Job, std::string &Message) {
  bool Failed = false;
  for (const TaskRecord &Task : Job.Tasks_) {
    if (Task.State_ != TaskState::Failed || Failed)
      continue;
    Failed = true;
    Message = Task.Message_;
  }
  if (Job.Cancelling_)
    return fleet::JobEnd::Cancelled;
  return Failed ? fleet::JobEnd::Failed : fleet::JobEnd::Finished;
}

JobReconciler::JobReconciler(DataCentreId DataCentre,
                             const fleet::FleetStateMachine &Fleet,
                             const datacentre::DataCentreStateMachine &Machine,
                             const fleet::AssignmentLease &Lease,
                             CommandProposer &Proposer,
                             FleetProposer &FleetProposals, Executor &Strand,
                             const Clock &Time, Duration LongestTaskLease)
    : DataCentre_(std::move(DataCentre)), Fleet_(Fleet), Machine_(Machine),
      Lease_(Lease), Proposer_(Proposer), FleetProposals_(FleetProposals),
      Strand_(Strand), Time_(Time), LongestTaskLease_(LongestTaskLease),
      StartedAt_(Time.now()) {}

void JobReconciler::enqueue(const JobId &Job) {
  if (Queued_.insert(Job).second)
    Queue_.push_back(Job);
}

void JobReconciler::onChanges(const std::vector<datacentre::Change> &Changes) {
  using datacentre::ChangeKind;
  for (const datacentre::Change &AppliedChange : Changes)
    if (AppliedChange.Kind_ == ChangeKind::JobEnded ||
        AppliedChange.Kind_ == ChangeKind::JobReleasing ||
        AppliedChange.Kind_ == ChangeKind::AttemptEnded)
      enqueue(AppliedChange.Task_.Job_);
}

void JobReconciler::run(std::size_t Budget) {
  for (std::size_t Done = 0; Done < Budget && !Queue_.empty(); ++Done) {
    const JobId Job = std::move(Queue_.front());
    Queue_.pop_front();
    Queued_.erase(Job);
    reconcile(Job);
  }
}

/// Passes at most Budget ids after Cursor to Callback and advances the cursor;
/// restarts after the last id.
template <class Range, class Enqueue>
static void enqueueRange(const Range &Ids, JobId &Cursor, std::size_t Budget,
                         Enqueue Callback) {
  auto It = Ids.upper_bound(Cursor);
  for (std::size_t Count = 0; Count < Budget && It != Ids.end(); ++Count, ++It)
    Cursor = Callback(*It);
  if (It == Ids.end())
    Cursor = JobId();
}

void JobReconciler::enqueueNext(std::size_t Budget) {
  Fleet_.read([&](const FleetState &State) {
    const auto Held = State.jobs().held().find(DataCentre_);
    if (Held != State.jobs().held().end())
      enqueueRange(Held->second, FleetCursor_, Budget,
                   [this](const JobId &Job) {
                     enqueue(Job);
                     return Job;
                   });
    return 0;
  });
  Machine_.withState([&](const DataCentreState &State) {
    enqueueRange(State.jobs(), LocalCursor_, Budget, [this](const auto &Entry) {
      enqueue(Entry.first);
      return Entry.first;
    });
  });
}

FleetJobState JobReconciler::readFleet(const JobId &Job) const {
  return Fleet_.read([&](const FleetState &State) {
    FleetJobState JobState;
    const fleet::FleetJob *Record = State.jobs().find(Job);
    if (!Record)
      return JobState;
    JobState.Known_ = true;
    JobState.Ended_ = Record->End_.has_value();
    JobState.Ours_ = !JobState.Ended_ && Record->DataCentre_ == DataCentre_;
    JobState.Cancelling_ = Record->Cancelling_;
    JobState.Assignment_ = Record->Assignment_;
    return JobState;
  });
}

LocalJobState JobReconciler::readLocal(const JobId &Job) const {
  LocalJobState JobState;
  Machine_.withState([&](const DataCentreState &State) {
    const JobRecord *Record = State.findJob(Job);
    if (!Record) {
      JobState.Assignment_ = State.findAssignment(Job);
      return;
    }
    JobState.Known_ = true;
    JobState.Cancelling_ = Record->Cancelling_;
    JobState.Releasing_ = Record->Releasing_;
    JobState.AllEnded_ = Record->Ended_ == Record->Tasks_.size();
    JobState.AnyPlaced_ = Record->Placed_ > 0;
    JobState.Assignment_ = Record->Assignment_;
  });
  return JobState;
}

void JobReconciler::reconcile(const JobId &Job) {
  if (PendingAtFleet_->contains(Job) || Proposer_.isOpen(Job))
    return;
  const FleetJobState Fleet = readFleet(Job);
  const LocalJobState Local = readLocal(Job);
  const TimePoint Now = Time_.now();
  const fleet::HeldAssignment Held{Job, Fleet.Assignment_};
  const bool GraceOver = Now - StartedAt_ >= StartupGrace;
  const LeaseState Lease{Lease_.covers(Held, Now + LongestTaskLease_),
                         GraceOver && Lease_.isExpiring(Held, Now)};
  const ReconcileAction Action = chooseAction(Fleet, Local, Lease);
  (this->*Handlers[static_cast<std::size_t>(Action)])(Job, Fleet, Local);
}

bool JobReconciler::mayRun(const JobId &Job) const {
  const LocalJobState Local = readLocal(Job);
  return Local.Known_ && Lease_.covers({Job, Local.Assignment_},
                                       Time_.now() + LongestTaskLease_);
}

void JobReconciler::adopt(const JobId &Job, const FleetJobState &,
                          const LocalJobState &) {
  const std::optional<fleet::NamedJob> AssignedJob = Fleet_.findJob(Job);
  if (!AssignedJob)
    return;
  const std::uint64_t Assignment = AssignedJob->Record_.Assignment_;
  Outcome<datacentre::JobSpec> Spec =
      datacentre::decodeJobSpec(AssignedJob->Record_.Spec_);
  if (!Spec)
    return failUndecodable(Job, Assignment, "specification");
  Outcome<std::string> Progress = makeAdoptedProgress(
      Spec.value(), AssignedJob->Record_.Progress_, Assignment);
  if (!Progress)
    return failUndecodable(Job, Assignment, "progress");
  propose(Job, datacentre::AdoptJob{std::move(Spec.value()), Assignment,
                                    std::move(Progress.value())});
}

/// Specifications are checked at submission and encoded by our own programs, so
/// this happens only for bytes written by another program.
void JobReconciler::failUndecodable(const JobId &Job, std::uint64_t Assignment,
                                    const std::string &Field) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  proposeToFleet(Job,
                 fleet::EndJob{Job, Assignment, fleet::JobEnd::Failed,
                               "its " + Field + " cannot be read", WallMs});
}

void JobReconciler::cancel(const JobId &Job, const FleetJobState &,
                           const LocalJobState &) {
  propose(Job, datacentre::CancelJob{Job});
}

void JobReconciler::stop(const JobId &Job, const FleetJobState &,
                         const LocalJobState &Local) {
  spdlog::info("job {}: releasing assignment {} and stopping its tasks",
               Job.value(), Local.Assignment_);
  propose(Job, datacentre::ReleaseJob{Job, Local.Assignment_});
}

void JobReconciler::reportEnd(const JobId &Job, const FleetJobState &,
                              const LocalJobState &Local) {
  fleet::EndJob End;
  End.Job_ = Job;
  End.Assignment_ = Local.Assignment_;
  End.WallMs_ = static_cast<std::uint64_t>(Time_.wallNow().count());
  bool HasRecord = false;
  Machine_.withState([&](const DataCentreState &State) {
    const JobRecord *Record = State.findJob(Job);
    HasRecord = Record != nullptr;
    if (HasRecord)
      End.End_ = summarizeEnd(*Record, End.Message_);
  });
  if (HasRecord)
    proposeToFleet(Job, End);
}

void JobReconciler::returnToFleet(const JobId &Job, const FleetJobState &,
                                  const LocalJobState &Local) {
  fleet::ReleaseJob Release{Job, Local.Assignment_, false, {}};
  bool IsReleasable = false;
  Machine_.withState([&](const DataCentreState &State) {
    const JobRecord *Record = State.findJob(Job);
    IsReleasable = Record && Record->Placed_ == 0;
    if (IsReleasable)
      Release.Progress_ = datacentre::encodeProgress(*Record);
  });
  if (IsReleasable)
    proposeToFleet(Job, Release);
}

void JobReconciler::drop(const JobId &Job, const FleetJobState &,
                         const LocalJobState &) {
  propose(Job, datacentre::DropJob{Job});
}

void JobReconciler::reportCancelled(const JobId &Job,
                                    const FleetJobState &Fleet,
                                    const LocalJobState &) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  proposeToFleet(Job,
                 fleet::EndJob{Job, Fleet.Assignment_, fleet::JobEnd::Cancelled,
                               "cancelled before it ran", WallMs});
}

void JobReconciler::propose(const JobId &Job, const datacentre::Command &Cmd) {
  Proposer_.propose(
      Job, Cmd, [this, Job](const Outcome<datacentre::CommandResult> &Result) {
        const bool Applied = Result && Result.value().Error_.empty();
        if (Applied)
          return enqueue(Job);
        enqueueLater(Job);
      });
}

void JobReconciler::proposeToFleet(const JobId &Job,
                                   const fleet::Command &Cmd) {
  PendingAtFleet_->insert(Job);
  std::weak_ptr<std::set<JobId>> Open = PendingAtFleet_;
  FleetProposals_.propose(fleet::encodeCommand(Cmd), FleetTimeout,
                          [this, Open, Job](Outcome<std::string> Result) {
                            Strand_.post([this, Open, Job, Result] {
                              if (!Open.expired())
                                onFleetResult(Job, Result);
                            });
                          });
}

void JobReconciler::onFleetResult(const JobId &Job,
                                  const Outcome<std::string> &Bytes) {
  PendingAtFleet_->erase(Job);
  if (!Bytes)
    return enqueueLater(Job);
  const Outcome<fleet::CommandResult> Result =
      fleet::decodeResult(Bytes.value());
  const bool Unknown =
      Result && Result.value().Error_ == getErrorName(ErrorCode::NotFound);
  const LocalJobState Local = readLocal(Job);
  // The fleet's leader does not know the job, so its result was recorded long
  // ago.
  if (Unknown && Local.Known_ && Local.AllEnded_)
    return propose(Job, datacentre::DropJob{Job});
  // The local replica of the fleet log may not have applied the command yet.
  enqueueLater(Job);
}

void JobReconciler::enqueueLater(const JobId &Job) {
  std::weak_ptr<std::set<JobId>> Alive = PendingAtFleet_;
  Strand_.postAfter(RetryDelay, [this, Alive, Job] {
    if (!Alive.expired())
      enqueue(Job);
  });
}
