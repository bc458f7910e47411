//===- ActiveBundle.cpp - Bundle that a process uses ----------------------===//

#include "tulipweir/fleet/ActiveBundle.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::fleet;

static Outcome<Bundle> readOffered(const wire::SignedBundle &Offered) {
  if (computeDigest(Offered.Text_) != Offered.Digest_)
    return fail(ErrorCode::Corrupt,
                "the bundle's text does not match its digest " +
                    Offered.Digest_.value());
  BundleCheck Check = checkBundle(Offered.Text_);
  if (Check.Bundle_.empty())
    return fail(ErrorCode::InvalidArgument, Check.Problems_.front().Location_ +
                                                " " +
                                                Check.Problems_.front().Text_);
  if (Check.Bundle_.front().Version_ != Offered.Version_)
    return fail(ErrorCode::Corrupt,
                "the bundle's text has a different version");
  return std::move(Check.Bundle_.front());
}

Outcome<bool> ActiveBundle::adopt(const wire::SignedBundle &Offered) {
  {
    const std::lock_guard Lock(Mutex_);
    if (Offered.Version_ < Version_)
      return false;
    if (Offered.Version_ == Version_ && Offered.Digest_ == Digest_)
      return false;
    if (Offered.Version_ == Version_)
      return fail(ErrorCode::Conflict,
                  "the active bundle has this version and another digest");
  }
  auto Read = readOffered(Offered);
  if (!Read)
    return std::move(Read).as_failure();
  auto Shared = std::make_shared<const Bundle>(std::move(Read.value()));

  const std::lock_guard Lock(Mutex_);
  // Another thread may have adopted a newer bundle in the meantime.
  if (Offered.Version_ <= Version_)
    return false;
  Version_ = Offered.Version_;
  Digest_ = Offered.Digest_;
  Bundle_ = std::move(Shared);
  return true;
}

BundleVersion ActiveBundle::getVersion() const {
  const std::lock_guard Lock(Mutex_);
  return Version_;
}

Digest ActiveBundle::getDigest() const {
  const std::lock_guard Lock(Mutex_);
  return Digest_;
}

std::shared_ptr<const Bundle> ActiveBundle::getBundle() const {
  const std::lock_guard Lock(Mutex_);
  return Bundle_;
}
