#include "tulipweir/jobs/Commands.h"

#include "jobs/JobPacking.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace {
/// The encoded form of a result, with flags as 0 and 1.
struct PackedResult {
  CommandStatus Status_ = CommandStatus::Done;
  std::vector<std::uint64_t> Accepted_;
  std::vector<std::string> FailedJobs_;
};
auto fields(PackedResult &X) {
  return std::tie(X.Status_, X.Accepted_, X.FailedJobs_);
}
} // namespace

std::string jobs::toText(const TaskKey &Task) {
  return std::to_string(Task.Occurrence_) + "." + std::to_string(Task.Step_) +
         "." + std::to_string(Task.Index_);
}

std::string jobs::encodeCommand(const Command &Cmd) {
  return packing::pack(Cmd);
}

Outcome<Command> jobs::decodeCommand(std::string_view Bytes) {
  return packing::unpack<Command>(Bytes, "a command");
}

std::string jobs::encodeResult(const CommandResult &Result) {
  PackedResult Packed{Result.Status_, {}, Result.FailedJobs_};
  for (const bool Accepted : Result.Accepted_)
    Packed.Accepted_.push_back(Accepted ? 1 : 0);
  return packing::pack(Packed);
}

Outcome<CommandResult> jobs::decodeResult(std::string_view Bytes) {
  auto Packed = packing::unpack<PackedResult>(Bytes, "a result");
  if (!Packed)
    return std::move(Packed).as_failure();
  CommandResult Result{Packed.value().Status_, {}, Packed.value().FailedJobs_};
  for (const std::uint64_t Accepted : Packed.value().Accepted_)
    Result.Accepted_.push_back(Accepted != 0);
  return Result;
}
