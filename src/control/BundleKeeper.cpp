#include "control/BundleKeeper.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using fleet::AcceptedBundle;
using wire::SignedBundle;

static constexpr Duration RetryPause = std::chrono::seconds(1);

static SignedBundle makeSigned(const AcceptedBundle &Value) {
  return {Value.Version_, Value.Digest_, Value.Text_};
}

/// Checks text, digest and version against each other.
static Outcome<std::shared_ptr<const fleet::Bundle>>
readBundle(const SignedBundle &Value) {
  fleet::ActiveBundle Held;
  if (const auto Adopted = Held.adopt(Value); !Adopted)
    return Adopted.as_failure();
  return Held.getBundle();
}

static AcceptedBundle makeAccepted(const SignedBundle &Value,
                                   const fleet::Bundle &Read) {
  AcceptedBundle Result;
  Result.Version_ = Value.Version_;
  Result.Digest_ = Value.Digest_;
  Result.ParentVersion_ = Read.ParentVersion_;
  Result.Note_ = Read.Note_;
  Result.Text_ = Value.Text_;
  return Result;
}

KeeperCounters KeeperCounters::makeFor(net::Metrics &From) {
  return {From.addCounter("tulipweir_bundle_files_damaged_total",
                          "Files of the bundle that were of no use at a start"),
          From.addCounter("tulipweir_bundle_writes_failed_total",
                          "Failed writes of the bundle's file"),
          From.addCounter("tulipweir_bundle_refused_total",
                          "Bundles of the log that were not taken")};
}

BundleKeeper::BundleKeeper(BundleFile *File, Executor &Strand,
                           Latest FindLatest, Taken OnTaken,
                           const KeeperCounters &Counters)
    : File_(File), Strand_(Strand), FindLatest_(std::move(FindLatest)),
      OnTaken_(std::move(OnTaken)), Counters_(Counters) {
  load();
}

void BundleKeeper::load() {
  if (!File_)
    return;
  const auto Found = File_->load();
  if (Found && !Found.value())
    return;
  const auto Read = Found ? readBundle(*Found.value()) : Found.as_failure();
  if (!Read) {
    Counters_.Damaged_.add();
    spdlog::warn("starts without the bundle's file: {}", Read.error().Message_);
    return;
  }
  const AcceptedBundle Accepted = makeAccepted(*Found.value(), *Read.value());
  spdlog::info("bundle {} was kept in its file", Accepted.Version_.value());
  set(std::make_shared<const KeptBundle>(KeptBundle{Accepted, Read.value()}));
}

void BundleKeeper::noteChanged() {
  Strand_.post([this] { review(); });
}

void BundleKeeper::review() {
  const std::optional<AcceptedBundle> Found = FindLatest_();
  // A log that is still behind says nothing about what is held.
  if (!Found || Found->Version_ < getVersion())
    return;
  if (Found->Version_ == getVersion())
    return complete(*Found);
  const SignedBundle Signed = makeSigned(*Found);
  const auto Read = readBundle(Signed);
  if (!Read)
    return noteRefused(Found->Version_, Read.error().Message_);
  if (!write(Signed))
    return;
  set(std::make_shared<const KeptBundle>(KeptBundle{*Found, Read.value()}));
  OnTaken_(*Found);
}

/// The log caught up with the file: it knows the signers too.
void BundleKeeper::complete(const AcceptedBundle &Value) {
  const std::shared_ptr<const KeptBundle> Held = get();
  if (Value.Digest_ != Held->Accepted_.Digest_)
    return noteRefused(Value.Version_, "the version held has another digest");
  if (Value != Held->Accepted_)
    set(std::make_shared<const KeptBundle>(KeptBundle{Value, Held->Bundle_}));
}

bool BundleKeeper::write(const SignedBundle &Value) {
  const Outcome<void> Saved = File_ ? File_->save(Value) : succeed();
  {
    const std::lock_guard Lock(Mutex_);
    if (!Saved && Unwritten_ != Value.Version_)
      spdlog::error("bundle {} is not handed on, as it cannot be kept: {}",
                    Value.Version_.value(), Saved.error().Message_);
    Unwritten_ = Saved ? BundleVersion() : Value.Version_;
  }
  if (Saved)
    return true;
  Counters_.WritesFailed_.add();
  if (RetryPlanned_)
    return false;
  RetryPlanned_ = true;
  Strand_.postAfter(RetryPause, [this] {
    RetryPlanned_ = false;
    review();
  });
  return false;
}

void BundleKeeper::noteRefused(BundleVersion Version, const std::string &Why) {
  Counters_.Refused_.add();
  if (LatestRefused_ != Version)
    spdlog::error("bundle {} of the log is not taken: {}", Version.value(),
                  Why);
  LatestRefused_ = Version;
}

void BundleKeeper::set(std::shared_ptr<const KeptBundle> Value) {
  const std::lock_guard Lock(Mutex_);
  Kept_ = std::move(Value);
}

std::shared_ptr<const KeptBundle> BundleKeeper::get() const {
  const std::lock_guard Lock(Mutex_);
  return Kept_;
}

std::shared_ptr<const fleet::Bundle> BundleKeeper::getBundle() const {
  const auto Held = get();
  return Held ? Held->Bundle_ : nullptr;
}

std::optional<SignedBundle> BundleKeeper::getInForce() const {
  const auto Held = get();
  if (!Held)
    return std::nullopt;
  return makeSigned(Held->Accepted_);
}

BundleVersion BundleKeeper::getVersion() const {
  const auto Held = get();
  return Held ? Held->Accepted_.Version_ : BundleVersion();
}

BundleVersion BundleKeeper::getUnwritten() const {
  const std::lock_guard Lock(Mutex_);
  return Unwritten_;
}
