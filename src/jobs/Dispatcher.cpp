#include "jobs/Dispatcher.h"

#include "jobs/GangPlanner.h"
#include "jobs/LongRunningRank.h"

#include <algorithm>
#include <limits>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Longest wait of a task whose run failed for another server: two report
/// intervals.
static constexpr Duration MaxOtherServerWait = 1s;
/// Longest wait of a long-running task that takes precedence for a healthy
/// server: two report intervals.
static constexpr Duration MaxHealthyServerWait = 1s;
/// A gang that prefers one rack may use several after this time.
static constexpr Duration MaxSingleRackWait = 1500ms;
/// Plans are audited no more often: on a large fleet thousands are made in a
/// second, each beside hundreds of overdue steps.
static constexpr Duration AuditInterval = 5ms;
/// Limits the starts in one answer to a report.
static constexpr std::size_t MaxStartsPerReport = 64;

static constexpr std::int64_t Unlimited =
    std::numeric_limits<std::int64_t>::max();

void Dispatcher::reset(const JobRegistry &Registry) {
  ReadyTimes_.reset(Registry);
  Proposed_.clear();
  LastFailures_.clear();
  StragglerDetector_.reset();
  PassedOver_.reset();
  Overdue_.reset();
  PlansBesideOverdue_.clear();
  Order_.reset();
  Isolation_.reset();
}

void Dispatcher::releaseProposed(const std::vector<TaskStart> &Starts) {
  for (const TaskStart &Start : Starts)
    Proposed_.erase(Start.Task_);
}

void Dispatcher::recordFailure(const TaskKey &Task, const std::string &ServerId,
                               TimePoint Now) {
  LastFailures_[Task] = {ServerId, Now};
}

/// Returns whether the task has just failed on this server, which may be the
/// cause.
bool Dispatcher::hasJustFailedHere(const TaskKey &Task,
                                   const ServerPlan &Plan) const {
  const auto It = LastFailures_.find(Task);
  return It != LastFailures_.end() &&
         It->second.Server_ == Plan.Server_.Facts_.Id_ &&
         Plan.Now_ - It->second.At_ < MaxOtherServerWait;
}

void Dispatcher::prune(const JobRegistry &Registry) {
  std::erase_if(LastFailures_, [&Registry](const auto &Entry) {
    const TaskRecord *Task = Registry.findTask(Entry.first);
    return !Task || Task->State_ == TaskState::Done;
  });
  Isolation_.prune(Registry);
  ReadyTimes_.prune(Registry);
}

void Dispatcher::survey(const JobRegistry &Registry,
                        const LiveServerTable &LiveServers, TimePoint Now) {
  StragglerDetector_.survey(Registry, LiveServers, Now);
  Survey_.update(Registry, LiveServers, Shares_, ReadyTimes_, Now);
  PassedOver_.update(Registry, Now);
  Overdue_.update(Registry, ReadyTimes_, LiveServers, Now);
}

/// Returns whether only long-running tasks run on the server.
static bool hasOnlyLongRunning(const JobRegistry &Registry,
                               const ServerRecord &Server) {
  return std::all_of(Server.Placed_.begin(), Server.Placed_.end(),
                     [&Registry](const auto &Placed) {
                       return Registry.findJob(Placed.first.Job_)
                           ->Spec_.Steps_[Placed.first.Step_]
                           .LongRunning_;
                     });
}

std::vector<TaskStart> Dispatcher::plan(const JobRegistry &Registry,
                                        const LiveServerTable &LiveServers,
                                        const std::string &ServerId,
                                        TimePoint Now, WallTime Wall) {
  const ServerRecord *Server = Registry.findServer(ServerId);
  const LiveServer *Live = LiveServers.find(ServerId);
  const bool MayStart = Server &&
                        LiveServers.acceptsStarts(Registry, *Server) &&
                        Live->NoStartsUntil_ <= Now;
  if (!MayStart)
    return {};
  const HealthState Fit = Health_.getHealthState(ServerId, Now);
  const bool IsFit =
      Fit == HealthState::Healthy ||
      (Fit == HealthState::Probation && hasOnlyLongRunning(Registry, *Server));
  if (Fit == HealthState::Healthy)
    if (const auto Start = planIsolated(Registry, LiveServers, *Server, Now)) {
      Proposed_.insert(Start->Task_);
      return {*Start};
    }
  const IsolationPlanner::Closure Closure =
      Isolation_.getClosure(Registry, LiveServers, *Server, Now);
  if (Closure == IsolationPlanner::Closure::Closed)
    return {};
  // Slow runs may be an effect of late reports, failures may be those of the
  // jobs, probation ends only with a completed run, and most suspected runs are
  // harmless. A long-running task that must not wait any longer is better off
  // on such a server than on none.
  const bool OnlyAsLastResort =
      !IsFit || Closure == IsolationPlanner::Closure::OnlyAsLastResort;
  // A task that fails at once tells that the others would, too.
  const bool MayFail =
      Fit == HealthState::Probation ||
      (Fit == HealthState::Quarantined && !Health_.wasSlow(ServerId));
  ServerPlan Plan{*Server, RemainingCapacity::compute(*Server, Loads_), Now};
  Plan.MaxStarts_ = MayFail ? 1 : MaxStartsPerReport;
  Plan.MayFail_ = MayFail;
  Plan.Remaining_.Free_ =
      Plan.Remaining_.Free_ - LiveServers.sumUnplacedUsage(Registry, *Server);
  Plan.IsPaced_ = Paces_.getLimit(ServerId) != PaceController::FullPace;
  PassedOver_.recordRoom(Plan.Remaining_.Free_.MilliCpus_, Now);
  Order_.update({Registry, ReadyTimes_, PassedOver_, Overdue_, Now, Wall});
  const std::size_t Images = Order_.countFillingImages();
  Plan.RejectedCpusAvoidingInterference_.assign(Images, Unlimited);
  Plan.RejectedCpus_.assign(Images, Unlimited);
  for (const Candidate &Entry : Order_.candidates()) {
    if (isFull(Plan))
      break;
    if (OnlyAsLastResort && !acceptsAnyServer(Registry, Entry.Step_, Now))
      continue;
    const bool MayFit =
        Entry.Reserved_.fitsIn(Plan.Remaining_.Free_) &&
        (!Entry.fills() || Entry.IdleNeeded_ <= getFillableCpus(Plan));
    if (MayFit && !isKnownRejected(Entry, Plan))
      planStep(Registry, Entry, Plan);
  }
  audit(Registry, Plan);
  // A copy would take capacity that a long-running task waits for.
  if (!OnlyAsLastResort && !Survey_.hasWaitingLongRunning())
    planCopies(Registry, Plan);
  return std::move(Plan.Starts_);
}

/// Records a plan that is made beside an overdue task which would fit.
void Dispatcher::audit(const JobRegistry &Registry, const ServerPlan &Plan) {
  if (Overdue_.isEmpty() || Plan.Now_ < NextAudit_)
    return;
  NextAudit_ = Plan.Now_ + AuditInterval;
  const Resources Left = Plan.Remaining_.Free_;
  const ReadyStep *Step = Overdue_.findFitting(
      Registry, Plan.Server_, Left + Plan.StartedBounded_,
      [&](const ReadyStep &Ready) {
        const bool FitsInLeft = Registry.findJob(Ready.Job_)
                                    ->Spec_.Steps_[Ready.Step_]
                                    .getReserved()
                                    .fitsIn(Left);
        // More urgent work comes first.
        if (!FitsInLeft && Ready.Priority_ > Plan.BoundedPriority_)
          return false;
        const std::vector<TaskRecord> &Tasks =
            getStepRecord(Registry, Ready).Tasks_;
        TaskKey Key{Ready.Job_, Ready.Occurrence_, Ready.Step_, 0};
        for (; Key.Index_ < Tasks.size(); ++Key.Index_)
          if (Tasks[Key.Index_].State_ == TaskState::Waiting &&
              !Isolation_.isIsolating(Key, Tasks[Key.Index_]) &&
              !Proposed_.contains(Key))
            return true;
        return false;
      });
  if (Step)
    PlansBesideOverdue_.push_back({Plan.Server_.Facts_.Id_, *Step,
                                   Left.MilliCpus_,
                                   Plan.StartedBounded_.MilliCpus_});
}

/// Returns whether the step is long-running, and has waited for too long for a
/// healthy server.
bool Dispatcher::acceptsAnyServer(const JobRegistry &Registry,
                                  const ReadyStep &Step, TimePoint Now) {
  const JobRecord *Job = Registry.findJob(Step.Job_);
  return Job && Job->Spec_.Steps_[Step.Step_].LongRunning_ &&
         ReadyTimes_.takesPrecedence(Step, Now) &&
         ReadyTimes_.getWait(Step, Now) >= MaxHealthyServerWait;
}

/// Returns the suspected task that the server starts in isolation, if any.
std::optional<TaskStart>
Dispatcher::planIsolated(const JobRegistry &Registry,
                         const LiveServerTable &LiveServers,
                         const ServerRecord &Server, TimePoint Now) {
  const Resources Free = Server.Facts_.Capacity_ - Server.Used_ -
                         LiveServers.sumUnplacedUsage(Registry, Server);
  const auto MayRun = [&](const JobRecord &Job, const TaskKey &Task) {
    return !Proposed_.contains(Task) &&
           Job.Spec_.Steps_[Task.Step_].getReserved().fitsIn(Free) &&
           isAdvised(Job, Task, Server.Facts_.Id_, Now);
  };
  return Isolation_.plan(Registry, LiveServers, Server, Now, MayRun);
}

/// Starts copies of stragglers. The state machine refuses a second copy, and a
/// copy on the server of the first run.
void Dispatcher::planCopies(const JobRegistry &Registry, ServerPlan &Plan) {
  for (const TaskKey &Task : StragglerDetector_.getLateTasks()) {
    const TaskRecord *Record = Registry.findTask(Task);
    const bool IsOpen = Record && Record->State_ == TaskState::Placed &&
                        !Proposed_.contains(Task) &&
                        !hasJustFailedHere(Task, Plan);
    if (!IsOpen || Plan.Starts_.size() >= Plan.MaxStarts_)
      continue;
    const StepSpec &Step = *Registry.findStep(Task);
    const TaskStart Start{Task, Record->LastRun_ + 1, Plan.Server_.Facts_.Id_};
    const bool FitsHere = Step.getReserved().fitsIn(Plan.Remaining_.Free_) &&
                          Step.Need_.MilliCpus_ <= Plan.Remaining_.Idle_;
    if (!FitsHere || !Registry.findRejectionReason(Start).empty() ||
        !isAdvised(*Registry.findJob(Task.Job_), Task, Start.Server_,
                   Plan.Now_))
      continue;
    Plan.Starts_.push_back(Start);
    Proposed_.insert(Task);
    Plan.Remaining_.place(Step);
  }
}

/// Returns the most idle processors that a filling task may need to start on
/// the server.
std::int64_t Dispatcher::getFillableCpus(const ServerPlan &Plan) const {
  // A job of which nothing runs then starts anywhere.
  if (Survey_.hasSpareCapacity())
    return Unlimited;
  return Plan.IsPaced_ ? 0
                       : Plan.Remaining_.Idle_ - Plan.Remaining_.IdleReserve_;
}

/// Returns whether no waiting task can fit any more.
bool Dispatcher::isFull(const ServerPlan &Plan) const {
  const RemainingCapacity &Remaining = Plan.Remaining_;
  if (Plan.Starts_.size() >= Plan.MaxStarts_)
    return true;
  const MinimumNeeds &Minimum = Order_.minimumNeeds();
  return Remaining.Free_.MemoryMib_ < Minimum.Memory_ ||
         (Remaining.Free_.MilliCpus_ < Minimum.PlainCpus_ &&
          std::min(Remaining.Idle_, getFillableCpus(Plan)) <
              Minimum.FillingCpus_);
}

bool Dispatcher::isAdvised(const JobRecord &Job, const TaskKey &Task,
                           const std::string &ServerId, TimePoint Now) const {
  return !Job.Policy_.Advice_.IsRequired_ ||
         Advice_.findTicket({Task.Job_, Task.Occurrence_, Task.Step_}, ServerId,
                            Now);
}

std::vector<TaskStart> Dispatcher::planGang(const JobRegistry &Registry,
                                            const LiveServerTable &LiveServers,
                                            TimePoint Now) {
  for (const ReadyStep &Ready : Registry.readyGangs()) {
    ++RecordsRead_;
    const JobRecord &Job = *Registry.findJob(Ready.Job_);
    const StepRecord &Record =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_];
    const bool IsWhole = Record.Waiting_ == Record.Tasks_.size();
    const TaskKey FirstTask{Ready.Job_, Ready.Occurrence_, Ready.Step_, 0};
    if (!IsWhole || Proposed_.contains(FirstTask))
      continue;
    const bool MaySpread = ReadyTimes_.getWait(Ready, Now) >= MaxSingleRackWait;
    std::vector<TaskStart> Starts = planGangStarts(
        Registry, Ready, MaySpread, [&](const ServerRecord &Server) {
          const std::string &Id = Server.Facts_.Id_;
          const LiveServer *Live = LiveServers.find(Id);
          // Until its first report to this leader a server may be draining.
          return LiveServers.canStart(Registry, Server, Now) &&
                 Live->LastSequence_ > 0 && Live->NoStartsUntil_ <= Now &&
                 LiveServers.sumUnplacedUsage(Registry, Server) ==
                     Resources{} &&
                 !Isolation_.isClosed(Registry, LiveServers, Server, Now) &&
                 Health_.getHealthState(Id, Now) == HealthState::Healthy &&
                 isAdvised(Job, FirstTask, Id, Now);
        });
    if (Starts.empty())
      continue;
    for (const TaskStart &Start : Starts)
      Proposed_.insert(Start.Task_);
    return Starts;
  }
  return {};
}
