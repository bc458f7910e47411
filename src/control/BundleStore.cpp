#include "control/BundleStore.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using fleet::AcceptedBundle;
using wire::SignedBundle;

static constexpr Duration RetryDelay = std::chrono::seconds(1);

static SignedBundle makeSigned(const AcceptedBundle &NewBundle) {
  return {NewBundle.Version_, NewBundle.Digest_, NewBundle.Text_};
}

/// Checks that text, digest and version are consistent.
static Outcome<std::shared_ptr<const fleet::Bundle>>
readBundle(const SignedBundle &NewBundle) {
  fleet::ActiveBundle Held;
  if (const auto Adopted = Held.adopt(NewBundle); !Adopted)
    return Adopted.as_failure();
  return Held.getBundle();
}

static AcceptedBundle makeAccepted(const SignedBundle &NewBundle,
                                   const fleet::Bundle &Parsed) {
  AcceptedBundle Result;
  Result.Version_ = NewBundle.Version_;
  Result.Digest_ = NewBundle.Digest_;
  Result.ParentVersion_ = Parsed.ParentVersion_;
  Result.Note_ = Parsed.Note_;
  Result.Text_ = NewBundle.Text_;
  return Result;
}

BundleStoreCounters BundleStoreCounters::makeFor(net::Metrics &Registry) {
  return {
      Registry.addCounter("tulipweir_bundle_files_damaged_total",
                          "Files of the bundle that were of no use at a start"),
      Registry.addCounter("tulipweir_bundle_writes_failed_total",
                          "Failed writes of the bundle's file"),
      Registry.addCounter("tulipweir_bundle_refused_total",
                          "Bundles of the log that were not taken")};
}

BundleStore::BundleStore(BundleFile *File, Executor &Strand,
                         FindLatestBundle FindLatest, UpdateCallback OnUpdate,
                         const BundleStoreCounters &Counters)
    : File_(File), Strand_(Strand), FindLatest_(std::move(FindLatest)),
      OnUpdate_(std::move(OnUpdate)), Counters_(Counters) {
  load();
}

void BundleStore::load() {
  if (!File_)
    return;
  const auto Loaded = File_->load();
  if (Loaded && !Loaded.value())
    return;
  const auto Parsed =
      Loaded ? readBundle(*Loaded.value()) : Loaded.as_failure();
  if (!Parsed) {
    Counters_.Damaged_.add();
    spdlog::warn("ignoring the unusable bundle file: {}",
                 Parsed.error().Message_);
    return;
  }
  const AcceptedBundle Accepted =
      makeAccepted(*Loaded.value(), *Parsed.value());
  spdlog::info("loaded bundle {} from its file", Accepted.Version_.value());
  setCurrent(std::make_shared<const StoredBundle>(
      StoredBundle{Accepted, Parsed.value()}));
}

void BundleStore::scheduleUpdate() {
  Strand_.post([this] { update(); });
}

void BundleStore::update() {
  const std::optional<AcceptedBundle> Latest = FindLatest_();
  // A log that lags behind says nothing about the current bundle.
  if (!Latest || Latest->Version_ < getVersion())
    return;
  if (Latest->Version_ == getVersion())
    return addAcceptanceDetails(*Latest);
  const SignedBundle Signed = makeSigned(*Latest);
  const auto Parsed = readBundle(Signed);
  if (!Parsed)
    return recordRefusal(Latest->Version_, Parsed.error().Message_);
  if (!persist(Signed))
    return;
  setCurrent(std::make_shared<const StoredBundle>(
      StoredBundle{*Latest, Parsed.value()}));
  OnUpdate_(*Latest);
}

/// Adds the signers and the time of acceptance, which the file lacks, once the
/// log has caught up with the file.
void BundleStore::addAcceptanceDetails(const AcceptedBundle &NewBundle) {
  const std::shared_ptr<const StoredBundle> Held = get();
  if (NewBundle.Digest_ != Held->Accepted_.Digest_)
    return recordRefusal(
        NewBundle.Version_,
        "the current bundle of this version has another digest");
  if (NewBundle != Held->Accepted_)
    setCurrent(std::make_shared<const StoredBundle>(
        StoredBundle{NewBundle, Held->Bundle_}));
}

bool BundleStore::persist(const SignedBundle &NewBundle) {
  const Outcome<void> Saved = File_ ? File_->save(NewBundle) : succeed();
  {
    const std::lock_guard Lock(Mutex_);
    if (!Saved && UnwrittenVersion_ != NewBundle.Version_)
      spdlog::error(
          "bundle {} is not published because it cannot be persisted: {}",
          NewBundle.Version_.value(), Saved.error().Message_);
    UnwrittenVersion_ = Saved ? BundleVersion() : NewBundle.Version_;
  }
  if (Saved)
    return true;
  Counters_.WritesFailed_.add();
  if (RetryScheduled_)
    return false;
  RetryScheduled_ = true;
  Strand_.postAfter(RetryDelay, [this] {
    RetryScheduled_ = false;
    update();
  });
  return false;
}

void BundleStore::recordRefusal(BundleVersion Version,
                                const std::string &Reason) {
  Counters_.Refused_.add();
  if (LastRefusedVersion_ != Version)
    spdlog::error("rejected bundle {} of the log: {}", Version.value(), Reason);
  LastRefusedVersion_ = Version;
}

void BundleStore::setCurrent(std::shared_ptr<const StoredBundle> NewBundle) {
  const std::lock_guard Lock(Mutex_);
  Current_ = std::move(NewBundle);
}

std::shared_ptr<const StoredBundle> BundleStore::get() const {
  const std::lock_guard Lock(Mutex_);
  return Current_;
}

std::shared_ptr<const fleet::Bundle> BundleStore::getBundle() const {
  const auto Held = get();
  return Held ? Held->Bundle_ : nullptr;
}

std::optional<SignedBundle> BundleStore::getInForce() const {
  const auto Held = get();
  if (!Held)
    return std::nullopt;
  return makeSigned(Held->Accepted_);
}

BundleVersion BundleStore::getVersion() const {
  const auto Held = get();
  return Held ? Held->Accepted_.Version_ : BundleVersion();
}

BundleVersion BundleStore::getUnwrittenVersion() const {
  const std::lock_guard Lock(Mutex_);
  return UnwrittenVersion_;
}
