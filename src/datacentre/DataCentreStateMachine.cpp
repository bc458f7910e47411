//===- DataCentreStateMachine.cpp - Data centre state machine -------------===//

#include "tulipweir/datacentre/DataCentreStateMachine.h"
#include "tulipweir/datacentre/DataCentreCodec.h"

#include <mutex>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::datacentre;

DataCentreStateMachine::DataCentreStateMachine(const RecordLimits &Limits,
                                               AppliedListener OnApplied,
                                               RestoredListener OnRestored)
    : Limits_(Limits), OnApplied_(std::move(OnApplied)),
      OnRestored_(std::move(OnRestored)), State_(Limits) {}

std::string
DataCentreStateMachine::apply(const replication::CommittedEntry &Entry) {
  const Outcome<Command> Value = decodeCommand(Entry.Command_);
  if (!Value) {
    // Every replica refuses these bytes alike, so this is a result rather than
    // a failure of the replica.
    CommandResult Refusal;
    Refusal.Error_ = std::string(getErrorName(Value.error().Code_));
    Refusal.Message_ = Value.error().Message_;
    return encodeResult(Refusal);
  }
  std::vector<Change> Changes;
  CommandResult Result;
  {
    const std::unique_lock Lock(Mutex_);
    Result = State_.apply(Value.value(), Entry.Term_, Entry.Index_, &Changes);
    AppliedIndex_ = Entry.Index_;
  }
  if (OnApplied_)
    OnApplied_(AppliedCommand{Entry.Term_, Entry.Index_, Value.value(), Result,
                              Changes});
  return encodeResult(Result);
}

Outcome<void>
DataCentreStateMachine::restoreSnapshot(std::string_view Snapshot) {
  auto Restored = DataCentreState::decode(Snapshot, Limits_);
  if (!Restored)
    return Restored.as_failure();
  {
    const std::unique_lock Lock(Mutex_);
    State_ = std::move(Restored).value();
    AppliedIndex_ = 0;
  }
  if (OnRestored_)
    OnRestored_();
  return succeed();
}

std::string DataCentreStateMachine::takeSnapshot() const {
  const std::shared_lock Lock(Mutex_);
  return State_.encode();
}

void DataCentreStateMachine::withState(
    const std::function<void(const DataCentreState &)> &Callback) const {
  const std::shared_lock Lock(Mutex_);
  Callback(State_);
}

void DataCentreStateMachine::withStateAndIndex(
    const std::function<void(const DataCentreState &, std::uint64_t)> &Callback)
    const {
  const std::shared_lock Lock(Mutex_);
  Callback(State_, AppliedIndex_);
}
