//===- BundleHistory.cpp - History of accepted bundles -------------------===//

#include "tulipweir/fleet/BundleHistory.h"

#include <algorithm>
#include <cassert>
#include <charconv>

using namespace tulipweir;
using namespace tulipweir::fleet;

static constexpr int HexBase = 16;

static ArchivedBundle archiveRecord(const AcceptedBundle &Full) {
  ArchivedBundle Short;
  Short.Version_ = Full.Version_.value();
  Short.WallMs_ = Full.WallMs_;
  const char *Next = Full.Digest_.value().data();
  assert(Full.Digest_.value().size() == Short.Digest_.size() * 2);
  for (std::uint8_t &Byte : Short.Digest_) {
    std::from_chars(Next, Next + 2, Byte, HexBase);
    Next += 2;
  }
  return Short;
}

static AcceptedBundle expandRecord(const ArchivedBundle &Short) {
  static constexpr char Digits[] = "0123456789abcdef";
  AcceptedBundle Full;
  Full.Version_ = BundleVersion(Short.Version_);
  Full.WallMs_ = Short.WallMs_;
  std::string Text;
  for (const std::uint8_t Byte : Short.Digest_) {
    Text += Digits[Byte / HexBase];
    Text += Digits[Byte % HexBase];
  }
  Full.Digest_ = Digest(Text);
  return Full;
}

void BundleHistory::append(AcceptedBundle Accepted) {
  assert((!latest() || latest()->Version_ < Accepted.Version_) &&
         "bundle versions must increase");
  Recent_.push_back(std::move(Accepted));
  if (Recent_.size() > MaxTexts)
    Recent_[Recent_.size() - 1 - MaxTexts].Text_.clear();
  if (Recent_.size() <= MaxDetailedRecords)
    return;
  Archive_.push_back(archiveRecord(Recent_.front()));
  Recent_.pop_front();
}

const AcceptedBundle *BundleHistory::latest() const {
  return Recent_.empty() ? nullptr : &Recent_.back();
}

std::optional<AcceptedBundle>
BundleHistory::findVersion(BundleVersion Version) const {
  const auto It =
      std::ranges::lower_bound(Recent_, Version, {}, &AcceptedBundle::Version_);
  if (It != Recent_.end() && It->Version_ == Version)
    return *It;
  const auto Old = std::ranges::lower_bound(Archive_, Version.value(), {},
                                            &ArchivedBundle::Version_);
  if (Old != Archive_.end() && Old->Version_ == Version.value())
    return expandRecord(*Old);
  return std::nullopt;
}

const AcceptedBundle *
BundleHistory::findDigest(const Digest &BundleDigest) const {
  const auto It = std::find_if(Recent_.rbegin(), Recent_.rend(),
                               [&](const AcceptedBundle &Accepted) {
                                 return Accepted.Digest_ == BundleDigest;
                               });
  return It == Recent_.rend() ? nullptr : &*It;
}

std::vector<AcceptedBundle> BundleHistory::list(std::size_t Limit) const {
  std::vector<AcceptedBundle> Listed;
  for (auto It = Recent_.rbegin();
       It != Recent_.rend() && Listed.size() < Limit; ++It)
    Listed.push_back(*It);
  for (auto It = Archive_.rbegin();
       It != Archive_.rend() && Listed.size() < Limit; ++It)
    Listed.push_back(expandRecord(*It));
  return Listed;
}
