#include "control/JobRoutes.h"

#include "control/JobJson.h"
#include "control/OperatorErrors.h"
#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::DataCentreState;

static constexpr Duration ProposeTimeout = std::chrono::seconds(8);
static constexpr std::uint64_t DefaultJobs = 100;
static constexpr std::uint64_t MostJobs = 1000;
static constexpr std::uint64_t DefaultTasks = 100;
static constexpr std::uint64_t MostTasks = 1000;

const RouteEntry<JobRoutes> JobRoutes::Table[] = {
    {"POST", "/jobs", &JobRoutes::submit},
    {"GET", "/jobs", &JobRoutes::list},
    {"GET", "/jobs/{}", &JobRoutes::show},
    {"POST", "/jobs/{}/cancel", &JobRoutes::cancel},
    {"GET", "/jobs/{}/explain", &JobRoutes::explain},
    {"GET", "/passed-on/jobs/{}", &JobRoutes::show},
    {"GET", "/passed-on/jobs/{}/explain", &JobRoutes::explain}};

static const char *getEndName(fleet::JobEnd End) {
  switch (End) {
  case fleet::JobEnd::Finished:
    return "finished";
  case fleet::JobEnd::Failed:
    return "failed";
  case fleet::JobEnd::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

static std::string describeState(const fleet::FleetJob &Job) {
  if (Job.End_)
    return getEndName(*Job.End_);
  if (Job.Cancelling_)
    return "cancelling";
  return Job.DataCentre_.value().empty() ? "unassigned" : "assigned";
}

static Json makeJobJson(const fleet::NamedJob &Job) {
  Json Result = {{"job", Job.Job_.value()},
                 {"team", Job.Record_.Team_.value()},
                 {"state", describeState(Job.Record_)},
                 {"dataCentre", Job.Record_.DataCentre_.value()},
                 {"assignment", Job.Record_.Assignment_},
                 {"submittedWallMs", Job.Record_.SubmittedWallMs_}};
  if (const auto Spec = datacentre::decodeJobSpec(Job.Record_.Spec_)) {
    Result["priority"] = Spec.value().Priority_;
    Result["tasks"] = Spec.value().Tasks_;
  }
  if (!Job.Record_.End_)
    return Result;
  Result["endedWallMs"] = Job.Record_.EndedWallMs_;
  Result["message"] = Job.Record_.Message_;
  return Result;
}

/// The answer to a job command that the fleet applied or refused.
static wire::OperatorAnswer makeCommandAnswer(const JobId &Job,
                                              const Outcome<std::string> &Bytes,
                                              Json Extra) {
  if (!Bytes)
    return makeErrorAnswer(
        getErrorName(Bytes.error().Code_),
        Bytes.error().Message_ +
            "; whether it was taken is open, sending it again is safe");
  const Outcome<fleet::CommandResult> Result =
      fleet::decodeResult(Bytes.value());
  if (!Result)
    return makeErrorAnswer(Result.error());
  if (!Result.value().Error_.empty())
    return makeErrorAnswer(Result.value().Error_, Result.value().Message_);
  Extra["job"] = Job.value();
  Extra["message"] = Result.value().Message_;
  return {200, renderJson(Extra)};
}

JobRoutes::JobRoutes(DataCentreId DataCentre,
                     const fleet::FleetStateMachine &Fleet,
                     const BundleKeeper &Keeper,
                     const datacentre::DataCentreStateMachine &Machine,
                     FleetProposer &Proposer, FleetSurvey &Survey,
                     DataCentreDuties &Duties, const Clock &Time)
    : DataCentre_(std::move(DataCentre)), Fleet_(Fleet), Keeper_(Keeper),
      Machine_(Machine), Proposer_(Proposer), Survey_(Survey), Duties_(Duties),
      Time_(Time) {}

RouteMatch JobRoutes::handle(const wire::OperatorCall &Call,
                             OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

/// What makes it doubtful that a task ever runs. Not certain, as larger
/// servers may come and quotas may change, so it is no refusal.
std::vector<std::string>
JobRoutes::listWarnings(const datacentre::JobSpec &Spec) const {
  std::vector<std::string> Warnings;
  if (const auto InForce = Keeper_.getBundle())
    for (const decide::TeamQuota &Quota : InForce->Policy_.Quotas_)
      if (Quota.Team_ == Spec.Team_ && !Spec.Declared_.fitsIn(Quota.Limit_))
        Warnings.push_back("one task declares more than the whole quota of "
                           "team " +
                           Spec.Team_.value());
  bool Fits = false;
  Machine_.withState([&](const DataCentreState &State) {
    Fits = State.servers().empty() ||
           std::any_of(State.servers().begin(), State.servers().end(),
                       [&Spec](const auto &Entry) {
                         return Spec.Declared_.fitsIn(
                             Entry.second.Info_.Capacity_);
                       });
  });
  if (!Fits)
    Warnings.push_back("one task declares more than any backend server of " +
                       DataCentre_.value() + " has");
  return Warnings;
}

void JobRoutes::submit(const RoutedCall &Call, OperatorDone Done) {
  Outcome<JobSubmission> Parsed = parseJobSubmission(Call.Call_.Body_);
  if (!Parsed)
    return Done(makeErrorAnswer(Parsed.error()));
  const JobSubmission &Job = Parsed.value();
  const fleet::SubmitJob Command{
      Job.Spec_.Job_, Job.Spec_.Team_, datacentre::encodeJobSpec(Job.Spec_),
      Job.Preferred_, static_cast<std::uint64_t>(Time_.wallNow().count())};
  Json Extra = {{"warnings", listWarnings(Job.Spec_)}};
  Proposer_.propose(fleet::encodeCommand(Command), ProposeTimeout,
                    [Done = std::move(Done), Name = Job.Spec_.Job_,
                     Extra](const Outcome<std::string> &Bytes) {
                      Done(makeCommandAnswer(Name, Bytes, Extra));
                    });
}

void JobRoutes::cancel(const RoutedCall &Call, OperatorDone Done) {
  const JobId Job(Call.Words_.front());
  Proposer_.propose(
      fleet::encodeCommand(fleet::CancelJob{Job}), ProposeTimeout,
      [Done = std::move(Done), Job](const Outcome<std::string> &Bytes) {
        Done(makeCommandAnswer(Job, Bytes, Json::object()));
      });
}

void JobRoutes::list(const RoutedCall &Call, OperatorDone Done) {
  const std::uint64_t Limit = Call.findNumber("limit", DefaultJobs, MostJobs);
  Json Jobs = Json::array();
  for (const fleet::NamedJob &Job :
       Fleet_.listJobs(Limit, JobId(Call.findQuery("after")))) {
    Json One = makeJobJson(Job);
    Machine_.withState([&](const DataCentreState &State) {
      if (const datacentre::JobRecord *Record = State.findJob(Job.Job_))
        One["progress"] = makeProgressJson(*Record);
    });
    Jobs.push_back(std::move(One));
  }
  Done({200, renderJson({{"jobs", std::move(Jobs)}})});
}

void JobRoutes::show(const RoutedCall &Call, OperatorDone Done) {
  answerWhereHeld(Call, std::move(Done), &JobRoutes::showHere);
}

void JobRoutes::explain(const RoutedCall &Call, OperatorDone Done) {
  answerWhereHeld(Call, std::move(Done), &JobRoutes::explainHere);
}

void JobRoutes::answerWhereHeld(const RoutedCall &Call, OperatorDone Done,
                                Local Here) {
  const JobId Name(Call.Words_.front());
  const std::optional<fleet::NamedJob> Job = Fleet_.findJob(Name);
  if (!Job)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::NotFound, "there is no job " + Name.value())));
  const DataCentreId &Holder = Job->Record_.DataCentre_;
  const bool Elsewhere =
      !Job->Record_.End_ && !Holder.value().empty() && Holder != DataCentre_;
  if (Elsewhere && !readPassedPath(Call.Call_.Path_).PassedOn_)
    return Survey_.passOn(Holder, Call.Call_, std::move(Done));
  (this->*Here)(Call, *Job, std::move(Done));
}

void JobRoutes::showHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                         OperatorDone Done) {
  const auto First = static_cast<std::uint32_t>(
      Call.findNumber("firstTask", 0, UINT32_MAX / 2));
  const auto Limit = static_cast<std::uint32_t>(
      Call.findNumber("tasks", DefaultTasks, MostTasks));
  Json Result = makeJobJson(Job);
  if (const auto Spec = datacentre::decodeJobSpec(Job.Record_.Spec_))
    Result["spec"] = makeSpecJson(Spec.value());
  Machine_.withState([&](const DataCentreState &State) {
    const datacentre::JobRecord *Record = State.findJob(Job.Job_);
    if (!Record)
      return;
    Result["progress"] = makeProgressJson(*Record);
    Result["taskList"] = makeTasksJson(*Record, First, Limit);
  });
  Done({200, renderJson(Result)});
}

/// Why a task that no planner knows is not running.
static Json makeAbsentJson(const fleet::NamedJob &Job, std::uint64_t Task,
                           const datacentre::TaskRecord *Record) {
  std::string Why = "the fleet has not assigned the job yet";
  if (Job.Record_.End_)
    Why = std::string("the job has ended: ") + getEndName(*Job.Record_.End_);
  else if (Record && Record->State_ != datacentre::TaskState::Waiting)
    Why = "the task has ended: " + Record->Message_;
  else if (!Job.Record_.DataCentre_.value().empty())
    Why = "data centre " + Job.Record_.DataCentre_.value() +
          " is taking the job over";
  return {{"job", Job.Job_.value()},
          {"task", Task},
          {"running", false},
          {"whatWouldHelp", Why}};
}

void JobRoutes::explainHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                            OperatorDone Done) {
  const auto Index =
      static_cast<std::uint32_t>(Call.findNumber("task", 0, UINT32_MAX));
  Duties_.visit([this, Job, Index, Done](DataCentreLeadership *Leader) {
    if (!Leader)
      return Done(makeErrorAnswer(Error::make(
          ErrorCode::Unavailable, "this control leads no more; try again")));
    const TaskId Task{Job.Job_, Index};
    const std::optional<decide::Explanation> Found =
        Leader->planning().planner().explain(Task, Time_.now());
    if (Found)
      return Done({200, renderJson(makeExplanationJson(*Found))});
    Json Body;
    Machine_.withState([&](const DataCentreState &State) {
      Body = makeAbsentJson(Job, Index, State.findTask(Task));
    });
    Done({200, renderJson(Body)});
  });
}
