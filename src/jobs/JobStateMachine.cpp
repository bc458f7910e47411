#include "tulipweir/jobs/JobStateMachine.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

std::string JobStateMachine::apply(const replication::CommittedEntry &Entry) {
  const Outcome<Command> Decoded = decodeCommand(Entry.Command_);
  // Only a newer version of this program can have written such an entry.
  if (!Decoded)
    return encodeResult({CommandStatus::Refused, {}});
  const std::lock_guard Hold(Lock_);
  return encodeResult(Registry_.apply(Decoded.value()));
}

std::string JobStateMachine::takeSnapshot() const {
  const std::lock_guard Hold(Lock_);
  return Registry_.encode();
}

Outcome<void> JobStateMachine::restoreSnapshot(std::string_view Snapshot) {
  Outcome<JobRegistry> Decoded = JobRegistry::decode(Snapshot);
  if (!Decoded)
    return std::move(Decoded).as_failure();
  const std::lock_guard Hold(Lock_);
  Registry_.replace(std::move(Decoded.value()));
  return succeed();
}
