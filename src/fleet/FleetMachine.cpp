//===- FleetMachine.cpp - The fleet's state behind a log ------------------===//

#include "tulipweir/fleet/FleetMachine.h"
#include "Results.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::fleet;

static std::shared_ptr<const Bundle> shareInForce(const FleetState &State) {
  if (!State.bundles().history().latest())
    return nullptr;
  return std::make_shared<const Bundle>(State.bundles().inForce());
}

template <class Names>
static std::vector<NamedJob> collect(const JobBook &Book, const Names &Wanted,
                                     std::size_t Limit, const JobId &After) {
  std::vector<NamedJob> Listed;
  for (auto Next = Wanted.upper_bound(After);
       Next != Wanted.end() && Listed.size() < Limit; ++Next)
    Listed.push_back({*Next, *Book.find(*Next)});
  return Listed;
}

FleetMachine::FleetMachine(AppliedListener OnApplied,
                           RestoredListener OnRestored)
    : OnApplied_(std::move(OnApplied)), OnRestored_(std::move(OnRestored)) {}

std::string FleetMachine::apply(const replication::CommittedEntry &Entry) {
  const auto Decoded = decodeCommand(Entry.Command_);
  if (!Decoded)
    return encodeResult(
        refuse(Decoded.error().Code_, Decoded.error().Message_));
  if (Batch_.owns_lock()) {
    ToldLater_.push_back({Decoded.value(), applyLocked(Decoded.value())});
    return encodeResult(ToldLater_.back().Result_);
  }
  beginBatch();
  const CommandResult Result = applyLocked(Decoded.value());
  ToldLater_.push_back({Decoded.value(), Result});
  endBatch();
  return encodeResult(Result);
}

CommandResult FleetMachine::applyLocked(const Command &Value) {
  const BundleVersion Before = State_.bundles().inForce().Version_;
  CommandResult Result = State_.apply(Value);
  if (Before != State_.bundles().inForce().Version_)
    Bundle_ = shareInForce(State_);
  return Result;
}

void FleetMachine::beginBatch() { Batch_.lock(); }

void FleetMachine::endBatch() {
  Batch_.unlock();
  for (const Told &Each : std::exchange(ToldLater_, {}))
    if (OnApplied_)
      OnApplied_(Each.Command_, Each.Result_);
}

std::string FleetMachine::takeSnapshot() const {
  const std::lock_guard Lock(Mutex_);
  return encodeState(State_);
}

Outcome<void> FleetMachine::restoreSnapshot(std::string_view Snapshot) {
  auto Decoded = decodeState(Snapshot);
  if (!Decoded)
    return std::move(Decoded).as_failure();
  {
    const std::lock_guard Lock(Mutex_);
    State_ = std::move(Decoded.value());
    Bundle_ = shareInForce(State_);
  }
  if (OnRestored_)
    OnRestored_();
  return succeed();
}

std::optional<wire::SignedBundle> FleetMachine::getInForce() const {
  const std::lock_guard Lock(Mutex_);
  const AcceptedBundle *Latest = State_.bundles().history().latest();
  if (!Latest)
    return std::nullopt;
  return wire::SignedBundle{Latest->Version_, Latest->Digest_, Latest->Text_};
}

std::shared_ptr<const Bundle> FleetMachine::getBundle() const {
  const std::lock_guard Lock(Mutex_);
  return Bundle_;
}

std::optional<AcceptedBundle>
FleetMachine::findBundle(BundleVersion Version) const {
  const std::lock_guard Lock(Mutex_);
  return State_.bundles().history().findVersion(Version);
}

std::vector<AcceptedBundle> FleetMachine::listHistory(std::size_t Limit) const {
  const std::lock_guard Lock(Mutex_);
  return State_.bundles().history().list(Limit);
}

std::optional<NamedJob> FleetMachine::findJob(const JobId &Job) const {
  const std::lock_guard Lock(Mutex_);
  const FleetJob *Found = State_.jobs().find(Job);
  if (!Found)
    return std::nullopt;
  return NamedJob{Job, *Found};
}

std::vector<NamedJob> FleetMachine::listHeld(const DataCentreId &DataCentre,
                                             std::size_t Limit,
                                             const JobId &After) const {
  const std::lock_guard Lock(Mutex_);
  const auto Found = State_.jobs().held().find(DataCentre);
  if (Found == State_.jobs().held().end())
    return {};
  return collect(State_.jobs(), Found->second, Limit, After);
}

std::vector<NamedJob> FleetMachine::listUnassigned(std::size_t Limit) const {
  const std::lock_guard Lock(Mutex_);
  return collect(State_.jobs(), State_.jobs().unassigned(), Limit, JobId());
}

std::vector<NamedJob> FleetMachine::listJobs(std::size_t Limit,
                                             const JobId &After) const {
  const std::lock_guard Lock(Mutex_);
  const auto &Jobs = State_.jobs().jobs();
  std::vector<NamedJob> Listed;
  for (auto Next = Jobs.upper_bound(After);
       Next != Jobs.end() && Listed.size() < Limit; ++Next)
    Listed.push_back({Next->first, Next->second});
  return Listed;
}
