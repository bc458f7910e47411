#include "tulipweir/jobs/JobMachine.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

std::string JobMachine::apply(const replication::CommittedEntry &Entry) {
  const Outcome<Command> Decoded = decodeCommand(Entry.Command_);
  // Only a newer version of this program could have written it.
  if (!Decoded)
    return encodeResult({Verdict::Refused, {}});
  const std::lock_guard Hold(Lock_);
  return encodeResult(Book_.apply(Decoded.value()));
}

std::string JobMachine::takeSnapshot() const {
  const std::lock_guard Hold(Lock_);
  return Book_.encode();
}

Outcome<void> JobMachine::restoreSnapshot(std::string_view Snapshot) {
  Outcome<JobBook> Read = JobBook::decode(Snapshot);
  if (!Read)
    return std::move(Read).as_failure();
  const std::lock_guard Hold(Lock_);
  Book_ = std::move(Read.value());
  return succeed();
}
