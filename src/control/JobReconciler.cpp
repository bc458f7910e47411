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
/// A new leader may lead before its own report was first answered; until then
/// it withholds renewals, but stops nothing for good.
static constexpr Duration SettleTime = std::chrono::seconds(30);
static constexpr Duration ReviewAgain = std::chrono::milliseconds(250);

// In the order of JobStep.
const JobReconciler::Step JobReconciler::Steps[] = {
    &JobReconciler::doNothing, &JobReconciler::adopt,
    &JobReconciler::cancel,    &JobReconciler::stop,
    &JobReconciler::reportEnd, &JobReconciler::giveBack,
    &JobReconciler::drop,      &JobReconciler::reportUnused};

/// Not known here yet, or known no more.
static JobStep chooseForAbsent(const FleetSide &Fleet, const LocalSide &Local,
                               const LeaseSide &Lease) {
  const bool New = Fleet.Ours_ && Fleet.Assignment_ > Local.Assignment_;
  if (!New)
    return JobStep::None;
  if (Fleet.Cancelling_)
    return JobStep::ReportUnused;
  return Lease.Covers_ ? JobStep::Adopt : JobStep::None;
}

/// Ours by both logs.
static JobStep chooseForHeld(const FleetSide &Fleet, const LocalSide &Local,
                             const LeaseSide &Lease) {
  if (Local.AllEnded_)
    return JobStep::ReportEnd;
  if (Fleet.Cancelling_ && !Local.Cancelling_)
    return JobStep::Cancel;
  if (Local.Releasing_)
    return Local.AnyPlaced_ ? JobStep::None : JobStep::GiveBack;
  return Lease.Ending_ ? JobStep::Stop : JobStep::None;
}

JobStep control::chooseStep(const FleetSide &Fleet, const LocalSide &Local,
                            const LeaseSide &Lease) {
  if (!Local.Known_)
    return chooseForAbsent(Fleet, Local, Lease);
  if (Fleet.Ours_ && Fleet.Assignment_ == Local.Assignment_)
    return chooseForHeld(Fleet, Local, Lease);
  // The fleet forgets old ends; and our replica of its log may lag behind
  // what an earlier leader adopted by. Only the fleet's leader tells which.
  const bool Lagging = !Fleet.Known_ || Fleet.Assignment_ < Local.Assignment_;
  if (Lagging)
    return Local.AllEnded_ ? JobStep::ReportEnd : JobStep::None;
  const bool MayDrop = Local.AllEnded_ || Local.Releasing_;
  if (!Local.AnyPlaced_ && MayDrop)
    return JobStep::Drop;
  return Local.Releasing_ ? JobStep::None : JobStep::Stop;
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
      BeganAt_(Time.now()) {}

void JobReconciler::noteJob(const JobId &Job) {
  if (Queued_.insert(Job).second)
    Queue_.push_back(Job);
}

void JobReconciler::noteChanges(
    const std::vector<datacentre::Change> &Changes) {
  using datacentre::ChangeKind;
  for (const datacentre::Change &Value : Changes)
    if (Value.Kind_ == ChangeKind::JobEnded ||
        Value.Kind_ == ChangeKind::JobReleasing ||
        Value.Kind_ == ChangeKind::AttemptEnded)
      noteJob(Value.Task_.Job_);
}

void JobReconciler::run(std::size_t Budget) {
  for (std::size_t Done = 0; Done < Budget && !Queue_.empty(); ++Done) {
    const JobId Job = std::move(Queue_.front());
    Queue_.pop_front();
    Queued_.erase(Job);
    review(Job);
  }
}

/// Queues the ids after Cursor, at most Budget, and moves the cursor; starts
/// over after the last.
template <class Range, class Take>
static void sweepRange(const Range &Ids, JobId &Cursor, std::size_t Budget,
                       Take Queue) {
  auto At = Ids.upper_bound(Cursor);
  for (std::size_t Count = 0; Count < Budget && At != Ids.end(); ++Count, ++At)
    Cursor = Queue(*At);
  if (At == Ids.end())
    Cursor = JobId();
}

void JobReconciler::sweep(std::size_t Budget) {
  Fleet_.read([&](const FleetState &State) {
    const auto Held = State.jobs().held().find(DataCentre_);
    if (Held != State.jobs().held().end())
      sweepRange(Held->second, FleetCursor_, Budget, [this](const JobId &Job) {
        noteJob(Job);
        return Job;
      });
    return 0;
  });
  Machine_.withState([&](const DataCentreState &State) {
    sweepRange(State.jobs(), LocalCursor_, Budget, [this](const auto &Entry) {
      noteJob(Entry.first);
      return Entry.first;
    });
  });
}

FleetSide JobReconciler::readFleet(const JobId &Job) const {
  return Fleet_.read([&](const FleetState &State) {
    FleetSide Side;
    const fleet::FleetJob *Found = State.jobs().find(Job);
    if (!Found)
      return Side;
    Side.Known_ = true;
    Side.Ended_ = Found->End_.has_value();
    Side.Ours_ = !Side.Ended_ && Found->DataCentre_ == DataCentre_;
    Side.Cancelling_ = Found->Cancelling_;
    Side.Assignment_ = Found->Assignment_;
    return Side;
  });
}

LocalSide JobReconciler::readLocal(const JobId &Job) const {
  LocalSide Side;
  Machine_.withState([&](const DataCentreState &State) {
    const JobRecord *Found = State.findJob(Job);
    if (!Found) {
      Side.Assignment_ = State.findAssignment(Job);
      return;
    }
    Side.Known_ = true;
    Side.Cancelling_ = Found->Cancelling_;
    Side.Releasing_ = Found->Releasing_;
    Side.AllEnded_ = Found->Ended_ == Found->Tasks_.size();
    Side.AnyPlaced_ = Found->Placed_ > 0;
    Side.Assignment_ = Found->Assignment_;
  });
  return Side;
}

void JobReconciler::review(const JobId &Job) {
  if (AtFleet_->contains(Job) || Proposer_.isOpen(Job))
    return;
  const FleetSide Fleet = readFleet(Job);
  const LocalSide Local = readLocal(Job);
  const TimePoint Now = Time_.now();
  const fleet::HeldAssignment Held{Job, Fleet.Assignment_};
  const bool Settled = Now - BeganAt_ >= SettleTime;
  const LeaseSide Lease{Lease_.covers(Held, Now + LongestTaskLease_),
                        Settled && Lease_.isExpiring(Held, Now)};
  const JobStep Next = chooseStep(Fleet, Local, Lease);
  (this->*Steps[static_cast<std::size_t>(Next)])(Job, Fleet, Local);
}

bool JobReconciler::mayRun(const JobId &Job) const {
  const LocalSide Local = readLocal(Job);
  return Local.Known_ && Lease_.covers({Job, Local.Assignment_},
                                       Time_.now() + LongestTaskLease_);
}

void JobReconciler::adopt(const JobId &Job, const FleetSide &,
                          const LocalSide &) {
  const std::optional<fleet::NamedJob> Found = Fleet_.findJob(Job);
  if (!Found)
    return;
  const std::uint64_t Assignment = Found->Record_.Assignment_;
  Outcome<datacentre::JobSpec> Spec =
      datacentre::decodeJobSpec(Found->Record_.Spec_);
  if (!Spec)
    return failUnread(Job, Assignment, "specification");
  Outcome<std::string> Progress =
      makeAdoptedProgress(Spec.value(), Found->Record_.Progress_, Assignment);
  if (!Progress)
    return failUnread(Job, Assignment, "progress");
  propose(Job, datacentre::AdoptJob{std::move(Spec.value()), Assignment,
                                    std::move(Progress.value())});
}

/// Checked at submission and made by our own programs; only another program's
/// bytes come here.
void JobReconciler::failUnread(const JobId &Job, std::uint64_t Assignment,
                               const std::string &What) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  proposeToFleet(Job, fleet::EndJob{Job, Assignment, fleet::JobEnd::Failed,
                                    "its " + What + " cannot be read", WallMs});
}

void JobReconciler::cancel(const JobId &Job, const FleetSide &,
                           const LocalSide &) {
  propose(Job, datacentre::CancelJob{Job});
}

void JobReconciler::stop(const JobId &Job, const FleetSide &,
                         const LocalSide &Local) {
  spdlog::info("job {}: assignment {} ends here, its tasks stop", Job.value(),
               Local.Assignment_);
  propose(Job, datacentre::ReleaseJob{Job, Local.Assignment_});
}

void JobReconciler::reportEnd(const JobId &Job, const FleetSide &,
                              const LocalSide &Local) {
  fleet::EndJob End;
  End.Job_ = Job;
  End.Assignment_ = Local.Assignment_;
  End.WallMs_ = static_cast<std::uint64_t>(Time_.wallNow().count());
  bool Found = false;
  Machine_.withState([&](const DataCentreState &State) {
    const JobRecord *Record = State.findJob(Job);
    Found = Record != nullptr;
    if (Found)
      End.End_ = summarizeEnd(*Record, End.Message_);
  });
  if (Found)
    proposeToFleet(Job, End);
}

void JobReconciler::giveBack(const JobId &Job, const FleetSide &,
                             const LocalSide &Local) {
  fleet::ReleaseJob Release{Job, Local.Assignment_, false, {}};
  bool Found = false;
  Machine_.withState([&](const DataCentreState &State) {
    const JobRecord *Record = State.findJob(Job);
    Found = Record && Record->Placed_ == 0;
    if (Found)
      Release.Progress_ = datacentre::encodeProgress(*Record);
  });
  if (Found)
    proposeToFleet(Job, Release);
}

void JobReconciler::drop(const JobId &Job, const FleetSide &,
                         const LocalSide &) {
  propose(Job, datacentre::DropJob{Job});
}

void JobReconciler::reportUnused(const JobId &Job, const FleetSide &Fleet,
                                 const LocalSide &) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  proposeToFleet(Job,
                 fleet::EndJob{Job, Fleet.Assignment_, fleet::JobEnd::Cancelled,
                               "cancelled before it ran", WallMs});
}

void JobReconciler::propose(const JobId &Job,
                            const datacentre::Command &Value) {
  Proposer_.propose(
      Job, Value,
      [this, Job](const Outcome<datacentre::CommandResult> &Result) {
        const bool Applied = Result && Result.value().Error_.empty();
        if (Applied)
          return noteJob(Job);
        noteJobLater(Job);
      });
}

void JobReconciler::proposeToFleet(const JobId &Job,
                                   const fleet::Command &Value) {
  AtFleet_->insert(Job);
  std::weak_ptr<std::set<JobId>> Open = AtFleet_;
  FleetProposals_.propose(fleet::encodeCommand(Value), FleetTimeout,
                          [this, Open, Job](Outcome<std::string> Result) {
                            Strand_.post([this, Open, Job, Result] {
                              if (!Open.expired())
                                onFleetResult(Job, Result);
                            });
                          });
}

void JobReconciler::onFleetResult(const JobId &Job,
                                  const Outcome<std::string> &Bytes) {
  AtFleet_->erase(Job);
  if (!Bytes)
    return noteJobLater(Job);
  const Outcome<fleet::CommandResult> Result =
      fleet::decodeResult(Bytes.value());
  const bool Unknown =
      Result && Result.value().Error_ == getErrorName(ErrorCode::NotFound);
  const LocalSide Local = readLocal(Job);
  // The fleet's leader does not know it: its end was recorded long ago.
  if (Unknown && Local.Known_ && Local.AllEnded_)
    return propose(Job, datacentre::DropJob{Job});
  // Our replica of the fleet's log may not have applied the effect yet.
  noteJobLater(Job);
}

void JobReconciler::noteJobLater(const JobId &Job) {
  std::weak_ptr<std::set<JobId>> Alive = AtFleet_;
  Strand_.postAfter(ReviewAgain, [this, Alive, Job] {
    if (!Alive.expired())
      noteJob(Job);
  });
}
