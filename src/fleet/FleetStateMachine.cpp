//===- FleetStateMachine.cpp - Replicated fleet state machine -------------===//

#include "tulipweir/fleet/FleetStateMachine.h"
#include "Results.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::fleet;

static std::shared_ptr<const Bundle> copyInForce(const FleetState &State) {
  if (!State.bundles().history().latest())
    return nullptr;
  return std::make_shared<const Bundle>(State.bundles().inForce());
}

template <class Names>
static std::vector<NamedJob> collectJobs(const JobRegistry &Registry,
                                         const Names &Wanted, std::size_t Limit,
                                         const JobId &After) {
  std::vector<NamedJob> Listed;
  for (auto It = Wanted.upper_bound(After);
       It != Wanted.end() && Listed.size() < Limit; ++It)
    Listed.push_back({*It, *Registry.find(*It)});
  return Listed;
}

FleetStateMachine::FleetStateMachine(AppliedListener OnApplied,
                                     RestoredListener OnRestored)
    : OnApplied_(std::move(OnApplied)), OnRestored_(std::move(OnRestored)) {}

std::string FleetStateMachine::apply(const replication::CommittedEntry &Entry) {
  const auto Decoded = decodeCommand(Entry.Command_);
  if (!Decoded)
    return encodeResult(
        refuse(Decoded.error().Code_, Decoded.error().Message_));
  if (Batch_.owns_lock()) {
    PendingNotifications_.push_back(
        {Decoded.value(), applyLocked(Decoded.value())});
    return encodeResult(PendingNotifications_.back().Result_);
  }
  beginBatch();
  const CommandResult Result = applyLocked(Decoded.value());
  PendingNotifications_.push_back({Decoded.value(), Result});
  endBatch();
  return encodeResult(Result);
}

CommandResult FleetStateMachine::applyLocked(const Command &Request) {
  const BundleVersion Before = State_.bundles().inForce().Version_;
  CommandResult Result = State_.apply(Request);
  if (Before != State_.bundles().inForce().Version_)
    Bundle_ = copyInForce(State_);
  return Result;
}

void FleetStateMachine::beginBatch() { Batch_.lock(); }

void FleetStateMachine::endBatch() {
  Batch_.unlock();
  for (const AppliedCommand &Applied : std::exchange(PendingNotifications_, {}))
    if (OnApplied_)
      OnApplied_(Applied.Command_, Applied.Result_);
}

std::string FleetStateMachine::takeSnapshot() const {
  const std::lock_guard Lock(Mutex_);
  return encodeState(State_);
}

Outcome<void> FleetStateMachine::restoreSnapshot(std::string_view Snapshot) {
  auto Decoded = decodeState(Snapshot);
  if (!Decoded)
    return std::move(Decoded).as_failure();
  {
    const std::lock_guard Lock(Mutex_);
    State_ = std::move(Decoded.value());
    Bundle_ = copyInForce(State_);
  }
  if (OnRestored_)
    OnRestored_();
  return succeed();
}

std::optional<wire::SignedBundle> FleetStateMachine::getInForce() const {
  const std::lock_guard Lock(Mutex_);
  const AcceptedBundle *Latest = State_.bundles().history().latest();
  if (!Latest)
    return std::nullopt;
  return wire::SignedBundle{Latest->Version_, Latest->Digest_, Latest->Text_};
}

std::shared_ptr<const Bundle> FleetStateMachine::getBundle() const {
  const std::lock_guard Lock(Mutex_);
  return Bundle_;
}

std::optional<AcceptedBundle>
FleetStateMachine::findBundle(BundleVersion Version) const {
  const std::lock_guard Lock(Mutex_);
  return State_.bundles().history().findVersion(Version);
}

std::vector<AcceptedBundle>
FleetStateMachine::listHistory(std::size_t Limit) const {
  const std::lock_guard Lock(Mutex_);
  return State_.bundles().history().list(Limit);
}

std::optional<NamedJob> FleetStateMachine::findJob(const JobId &Job) const {
  const std::lock_guard Lock(Mutex_);
  const FleetJob *Record = State_.jobs().find(Job);
  if (!Record)
    return std::nullopt;
  return NamedJob{Job, *Record};
}

std::vector<NamedJob>
FleetStateMachine::listHeld(const DataCentreId &DataCentre, std::size_t Limit,
                            const JobId &After) const {
  const std::lock_guard Lock(Mutex_);
  const auto It = State_.jobs().held().find(DataCentre);
  if (It == State_.jobs().held().end())
    return {};
  return collectJobs(State_.jobs(), It->second, Limit, After);
}

std::vector<NamedJob>
FleetStateMachine::listUnassigned(std::size_t Limit) const {
  const std::lock_guard Lock(Mutex_);
  return collectJobs(State_.jobs(), State_.jobs().unassigned(), Limit, JobId());
}

std::vector<NamedJob> FleetStateMachine::listJobs(std::size_t Limit,
                                                  const JobId &After) const {
  const std::lock_guard Lock(Mutex_);
  const auto &Jobs = State_.jobs().jobs();
  std::vector<NamedJob> Listed;
  for (auto It = Jobs.upper_bound(After);
       It != Jobs.end() && Listed.size() < Limit; ++It)
    Listed.push_back({It->first, It->second});
  return Listed;
}
