//===- DataCentreCodec.cpp - Encodes commands and results -----------------===//

#include "tulipweir/datacentre/DataCentreCodec.h"
#include "datacentre/Fields.h"

using namespace tulipweir;
using namespace tulipweir::datacentre;

namespace tulipweir::datacentre {

static void fields(auto &V, IsA<TaskProgress> auto &X) {
  V(X.Finished_, X.Failed_, X.Attempt_, X.Failures_, X.Checkpoint_);
}

} // namespace tulipweir::datacentre

template <class T> static std::string encodeOne(const T &Value) {
  pack::Writer Out;
  Out.write(Value);
  return Out.take();
}

template <class T>
static Outcome<T> decodeOne(std::string_view Bytes, const char *Kind) {
  try {
    pack::Stream In(Bytes);
    T Value = In.next<T>();
    In.expectEnd();
    return Value;
  } catch (const std::exception &Exception) {
    return fail(ErrorCode::Malformed,
                std::string(Kind) + ": " + Exception.what());
  }
}

std::string tulipweir::datacentre::encodeCommand(const Command &Value) {
  return encodeOne(Value);
}

Outcome<Command> tulipweir::datacentre::decodeCommand(std::string_view Bytes) {
  return decodeOne<Command>(Bytes, "command");
}

std::string tulipweir::datacentre::encodeResult(const CommandResult &Value) {
  return encodeOne(Value);
}

Outcome<CommandResult>
tulipweir::datacentre::decodeResult(std::string_view Bytes) {
  return decodeOne<CommandResult>(Bytes, "result");
}

std::string tulipweir::datacentre::encodeJobSpec(const JobSpec &Value) {
  return encodeOne(Value);
}

Outcome<JobSpec> tulipweir::datacentre::decodeJobSpec(std::string_view Bytes) {
  return decodeOne<JobSpec>(Bytes, "job");
}

std::string tulipweir::datacentre::encodeProgress(const JobRecord &Job) {
  std::vector<TaskProgress> Progress;
  Progress.reserve(Job.Tasks_.size());
  for (const TaskRecord &Task : Job.Tasks_)
    Progress.push_back(TaskProgress{
        Task.State_ == TaskState::Finished, Task.State_ == TaskState::Failed,
        Task.Attempt_, Task.Failures_, Task.Checkpoint_});
  return encodeOne(Progress);
}

Outcome<std::vector<TaskProgress>>
tulipweir::datacentre::decodeProgress(std::string_view Bytes,
                                      std::size_t TaskCount) {
  if (Bytes.empty())
    return std::vector<TaskProgress>();
  auto Progress = decodeOne<std::vector<TaskProgress>>(Bytes, "progress");
  if (Progress && Progress.value().size() != TaskCount)
    return fail(ErrorCode::Malformed,
                "progress of " + std::to_string(Progress.value().size()) +
                    " tasks for a job of " + std::to_string(TaskCount));
  return Progress;
}
