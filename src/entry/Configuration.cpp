//===- Configuration.cpp --------------------------------------------------===//

#include "tulipweir/entry/Configuration.h"

using namespace tulipweir;
using namespace tulipweir::entry;

Outcome<Configuration>
Configuration::makeFrom(const wire::SignedBundle &Signed) {
  if (fleet::computeDigest(Signed.Text_) != Signed.Digest_)
    return fail(ErrorCode::Corrupt,
                "the digest does not match the bundle's text");
  fleet::BundleCheck Check = fleet::checkBundle(Signed.Text_);
  if (Check.Bundle_.empty()) {
    const std::string Place =
        Check.Problems_.empty() ? "" : Check.Problems_.front().Location_;
    return fail(ErrorCode::InvalidArgument,
                "the bundle is invalid at " + Place);
  }
  Configuration Result;
  Result.Bundle_ = std::move(Check.Bundle_.front());
  Result.Digest_ = Signed.Digest_;
  if (Result.Bundle_.Version_ != Signed.Version_)
    return fail(ErrorCode::VersionMismatch,
                "the version does not match the bundle's text");
  for (const fleet::ServiceConfig &Service : Result.Bundle_.Services_)
    Result.Services_.emplace(Service.Service_, Service);
  for (const fleet::CallerLimit &Limit : Result.Bundle_.CallerLimits_)
    Result.CallerLimits_.emplace(Limit.Caller_, Limit);
  return Result;
}

const fleet::ServiceConfig *
Configuration::findService(const ServiceId &Service) const {
  const auto It = Services_.find(Service);
  return It == Services_.end() ? nullptr : &It->second;
}

Outcome<bool> ConfigurationHolder::adopt(const wire::SignedBundle &Signed) {
  if (Signed.Version_ <= getVersion())
    return false;
  Outcome<Configuration> Checked = Configuration::makeFrom(Signed);
  if (!Checked)
    return std::move(Checked).as_failure();
  auto Next = std::make_shared<const Configuration>(std::move(Checked.value()));
  std::lock_guard Lock(Mutex_);
  // Another thread may have adopted a newer bundle in the meantime.
  if (Current_ && Current_->Bundle_.Version_ >= Next->Bundle_.Version_)
    return false;
  Current_ = std::move(Next);
  return true;
}

std::shared_ptr<const Configuration> ConfigurationHolder::get() const {
  std::lock_guard Lock(Mutex_);
  return Current_;
}

BundleVersion ConfigurationHolder::getVersion() const {
  std::lock_guard Lock(Mutex_);
  return Current_ ? Current_->Bundle_.Version_ : BundleVersion();
}
