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
static constexpr std::uint64_t MaxJobs = 1000;
static constexpr std::uint64_t DefaultTasks = 100;
static constexpr std::uint64_t MaxTasks = 1000;

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

/// Returns the reply for a job command that the fleet applied or rejected.
static wire::OperatorAnswer makeCommandAnswer(const JobId &Job,
                                              const Outcome<std::string> &Bytes,
                                              Json Extra) {
  if (!Bytes)
    return makeErrorAnswer(
        getErrorName(Bytes.error().Code_),
        Bytes.error().Message_ +
            "; the outcome is unknown, sending it again is safe");
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
                     const BundleStore &Bundles,
                     const datacentre::DataCentreStateMachine &Machine,
                     FleetProposer &Proposer, FleetSurvey &Survey,
                     DataCentreService &LeaderService, const Clock &Time)
    : DataCentre_(std::move(DataCentre)), Fleet_(Fleet), Bundles_(Bundles),
      Machine_(Machine), Proposer_(Proposer), Survey_(Survey),
      DataCentreService_(LeaderService), Time_(Time) {}

RouteMatch JobRoutes::handle(const wire::OperatorCall &Call,
                             OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

/// Returns reasons why a task may never run. These are only warnings, as larger
/// servers may be added and quotas may change.
std::vector<std::string>
JobRoutes::listWarnings(const datacentre::JobSpec &Spec) const {
  std::vector<std::string> Warnings;
  if (const auto InForce = Bundles_.getBundle())
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
  const JobId Job(Call.PathParams_.front());
  Proposer_.propose(
      fleet::encodeCommand(fleet::CancelJob{Job}), ProposeTimeout,
      [Done = std::move(Done), Job](const Outcome<std::string> &Bytes) {
        Done(makeCommandAnswer(Job, Bytes, Json::object()));
      });
}

void JobRoutes::list(const RoutedCall &Call, OperatorDone Done) {
  const std::uint64_t Limit =
      Call.getNumberParam("limit", DefaultJobs, MaxJobs);
  Json Jobs = Json::array();
  for (const fleet::NamedJob &Job :
       Fleet_.listJobs(Limit, JobId(Call.getQueryParam("after")))) {
    Json JobJson = makeJobJson(Job);
    Machine_.withState([&](const DataCentreState &State) {
      if (const datacentre::JobRecord *Record = State.findJob(Job.Job_))
        JobJson["progress"] = makeProgressJson(*Record);
    });
    Jobs.push_back(std::move(JobJson));
  }
  Done({200, renderJson({{"jobs", std::move(Jobs)}})});
}

void JobRoutes::show(const RoutedCall &Call, OperatorDone Done) {
  answerAtHolder(Call, std::move(Done), &JobRoutes::showHere);
}

void JobRoutes::explain(const RoutedCall &Call, OperatorDone Done) {
  answerAtHolder(Call, std::move(Done), &JobRoutes::explainHere);
}

void JobRoutes::answerAtHolder(const RoutedCall &Call, OperatorDone Done,
                               LocalHandler Handler) {
  const JobId Name(Call.PathParams_.front());
  const std::optional<fleet::NamedJob> Job = Fleet_.findJob(Name);
  if (!Job)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::NotFound, "there is no job " + Name.value())));
  const DataCentreId &Holder = Job->Record_.DataCentre_;
  const bool Elsewhere =
      !Job->Record_.End_ && !Holder.value().empty() && Holder != DataCentre_;
  if (Elsewhere && !parseForwardedPath(Call.Call_.Path_).IsForwarded_)
    return Survey_.forward(Holder, Call.Call_, std::move(Done));
  (this->*Handler)(Call, *Job, std::move(Done));
}

void JobRoutes::showHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                         OperatorDone Done) {
  const auto First = static_cast<std::uint32_t>(
      Call.getNumberParam("firstTask", 0, UINT32_MAX / 2));
  const auto Limit = static_cast<std::uint32_t>(
      Call.getNumberParam("tasks", DefaultTasks, MaxTasks));
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

/// Returns the reason why a task that the planner does not know is not running.
static Json makeNotRunningJson(const fleet::NamedJob &Job, std::uint64_t Task,
                               const datacentre::TaskRecord *Record) {
  std::string Reason = "the fleet has not assigned the job yet";
  if (Job.Record_.End_)
    Reason = std::string("the job has ended: ") + getEndName(*Job.Record_.End_);
  else if (Record && Record->State_ != datacentre::TaskState::Waiting)
    Reason = "the task has ended: " + Record->Message_;
  else if (!Job.Record_.DataCentre_.value().empty())
    Reason = "data centre " + Job.Record_.DataCentre_.value() +
             " is adopting the job";
  return {{"job", Job.Job_.value()},
          {"task", Task},
          {"running", false},
          {"whatWouldHelp", Reason}};
}

void JobRoutes::explainHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                            OperatorDone Done) {
  const auto Index =
      static_cast<std::uint32_t>(Call.getNumberParam("task", 0, UINT32_MAX));
  DataCentreService_.visit(
      [this, Job, Index, Done](DataCentreLeadership *Leader) {
        if (!Leader)
          return Done(makeErrorAnswer(
              Error::make(ErrorCode::Unavailable,
                          "this control process no longer leads; try again")));
        const TaskId Task{Job.Job_, Index};
        const std::optional<decide::Explanation> It =
            Leader->planning().planner().explain(Task, Time_.now());
        if (It)
          return Done({200, renderJson(makeExplanationJson(*It))});
        Json Body;
        Machine_.withState([&](const DataCentreState &State) {
          Body = makeNotRunningJson(Job, Index, State.findTask(Task));
        });
        Done({200, renderJson(Body)});
      });
}
