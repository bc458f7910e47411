#include "control/JobJson.h"

#include "control/DecisionJson.h"

#include <algorithm>
#include <cctype>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::JobRecord;
using datacentre::JobSpec;
using datacentre::TaskRecord;
using datacentre::TaskState;

static constexpr std::size_t MaxNameBytes = 128;
static constexpr std::size_t MaxPayloadBytes = 65'536;
static constexpr std::int64_t MaxTasks = 10'000;
static constexpr std::int64_t MaxPriority = 1'000;
static constexpr std::int64_t MaxAttempts = 1'000;

static const char *getStateName(TaskState State) {
  switch (State) {
  case TaskState::Waiting:
    return "waiting";
  case TaskState::Placed:
    return "running";
  case TaskState::Finished:
    return "finished";
  case TaskState::Failed:
    return "failed";
  case TaskState::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

/// A job's name is part of URL paths, so it must not contain slashes, spaces or
/// percent signs.
static bool isPathSafe(const std::string &Name) {
  return std::all_of(Name.begin(), Name.end(), [](unsigned char Byte) {
    return std::isalnum(Byte) || Byte == '-' || Byte == '_' || Byte == '.';
  });
}

Outcome<JobSubmission> control::parseJobSubmission(const std::string &Body) {
  Outcome<JsonFields> Parsed = JsonFields::parse(Body);
  if (!Parsed)
    return std::move(Parsed).as_failure();
  JsonFields &Fields = Parsed.value();
  JobSubmission Job;
  JobSpec &Spec = Job.Spec_;
  Spec.Job_ = JobId(Fields.readString("job", true, MaxNameBytes));
  Spec.Team_ = TeamId(Fields.readString("team", true, MaxNameBytes));
  Spec.Class_ = JobClassId(Fields.readString("class", false, MaxNameBytes));
  Spec.Priority_ = static_cast<std::uint32_t>(
      Fields.readInteger("priority", 0, 0, MaxPriority));
  Spec.Tasks_ =
      static_cast<std::uint32_t>(Fields.readInteger("tasks", 1, 1, MaxTasks));
  Spec.Declared_ = Fields.readResources("declared");
  Spec.Payload_ = Fields.readString("payload", false, MaxPayloadBytes);
  Spec.MaxAttempts_ = static_cast<std::uint32_t>(
      Fields.readInteger("maxAttempts", 5, 1, MaxAttempts));
  Job.Preferred_ =
      DataCentreId(Fields.readString("dataCentre", false, MaxNameBytes));
  if (const Outcome<void> Checked = Fields.finish(); !Checked)
    return Checked.as_failure();
  if (!isPathSafe(Spec.Job_.value()))
    return fail(ErrorCode::InvalidArgument,
                "\"job\" may hold letters, digits, '-', '_' and '.' only");
  return Job;
}

Json control::makeSpecJson(const JobSpec &Spec) {
  return {{"job", Spec.Job_.value()},
          {"team", Spec.Team_.value()},
          {"class", Spec.Class_.value()},
          {"priority", Spec.Priority_},
          {"tasks", Spec.Tasks_},
          {"declared", makeResourcesJson(Spec.Declared_)},
          {"maxAttempts", Spec.MaxAttempts_}};
}

Json control::makeProgressJson(const JobRecord &Job) {
  std::uint64_t Counts[5] = {};
  for (const TaskRecord &Task : Job.Tasks_)
    ++Counts[static_cast<std::size_t>(Task.State_)];
  Json Result = {{"cancelling", Job.Cancelling_}};
  for (std::size_t State = 0; State < std::size(Counts); ++State)
    Result[getStateName(static_cast<TaskState>(State))] = Counts[State];
  return Result;
}

static Json makeTaskJson(const TaskRecord &Task, std::uint32_t Index) {
  Json Result = {{"index", Index},
                 {"state", getStateName(Task.State_)},
                 {"attempt", Task.Attempt_.value()},
                 {"failures", Task.Failures_},
                 {"evictions", Task.Evictions_},
                 {"losses", Task.Losses_},
                 {"message", Task.Message_}};
  if (Task.State_ != TaskState::Placed)
    return Result;
  Result["server"] = Task.Server_.value();
  Result["reservation"] = makeResourcesJson(Task.Reservation_);
  return Result;
}

Json control::makeTasksJson(const JobRecord &Job, std::uint32_t First,
                            std::uint32_t Limit) {
  Json Result = Json::array();
  const std::size_t End =
      std::min<std::size_t>(Job.Tasks_.size(), std::size_t(First) + Limit);
  for (std::size_t Index = First; Index < End; ++Index)
    Result.push_back(
        makeTaskJson(Job.Tasks_[Index], static_cast<std::uint32_t>(Index)));
  return Result;
}

Json control::makeExplanationJson(const decide::Explanation &Value) {
  Json Result = {{"job", Value.Task_.Job_.value()},
                 {"task", Value.Task_.Index_},
                 {"running", Value.Running_},
                 {"declared", makeResourcesJson(Value.Declared_)},
                 {"reservation", makeResourcesJson(Value.Reservation_)},
                 {"whatWouldHelp", Value.WhatWouldHelp_}};
  if (Value.Server_)
    Result["server"] = Value.Server_->value();
  if (Value.Last_)
    Result["last"] = makeDecisionJson(*Value.Last_);
  return Result;
}
