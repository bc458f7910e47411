#include "tulipweir/jobs/Commands.h"

#include "jobs/JobPacking.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace {
/// A result as it travels: the flags as 0 and 1.
struct PackedResult {
  Verdict Verdict_ = Verdict::Done;
  std::vector<std::uint64_t> Taken_;
  std::vector<std::string> Failed_;
};
auto fields(PackedResult &X) {
  return std::tie(X.Verdict_, X.Taken_, X.Failed_);
}
} // namespace

std::string jobs::toText(const TaskKey &Task) {
  return std::to_string(Task.Occurrence_) + "." + std::to_string(Task.Step_) +
         "." + std::to_string(Task.Index_);
}

std::string jobs::encodeCommand(const Command &Value) {
  return packing::pack(Value);
}

Outcome<Command> jobs::decodeCommand(std::string_view Bytes) {
  return packing::unpack<Command>(Bytes, "a command");
}

std::string jobs::encodeResult(const CommandResult &Value) {
  PackedResult Packed{Value.Verdict_, {}, Value.Failed_};
  for (const bool Each : Value.Taken_)
    Packed.Taken_.push_back(Each ? 1 : 0);
  return packing::pack(Packed);
}

Outcome<CommandResult> jobs::decodeResult(std::string_view Bytes) {
  auto Packed = packing::unpack<PackedResult>(Bytes, "a result");
  if (!Packed)
    return std::move(Packed).as_failure();
  CommandResult Result{Packed.value().Verdict_, {}, Packed.value().Failed_};
  for (const std::uint64_t Each : Packed.value().Taken_)
    Result.Taken_.push_back(Each != 0);
  return Result;
}
