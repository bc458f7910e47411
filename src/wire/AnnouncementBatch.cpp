//===- AnnouncementBatch.cpp - Many heartbeats in one message -------------===//

#include "tulipweir/wire/AnnouncementBatch.h"

#include "tulipweir/wire/PackedNumbers.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::wire;

/// Usage that moved by more than one part of so many is no noise.
static constexpr std::int64_t UsageParts = 10;
/// Usage that moved by more than one part of so many is said at once.
static constexpr std::int64_t UsageJumpParts = 2;
/// A p99 or mean that moved by more than one part of so many is no noise.
static constexpr std::uint32_t MeasureParts = 4;
static constexpr std::uint32_t LoadPoints = 10;
/// A p99 that moved by more than one part of so many is said at once.
static constexpr std::uint32_t TailParts = 2;

std::string wire::packDigests(const std::vector<AnnouncementDigest> &Sorted) {
  std::string Bytes;
  std::uint64_t Before = 0;
  for (const AnnouncementDigest &Each : Sorted) {
    assert(Each.Number_ >= Before && "not sorted");
    appendNumber(Bytes, Each.Number_ - Before);
    appendNumber(Bytes, Each.Later_);
    Before = Each.Number_;
  }
  return Bytes;
}

Outcome<std::vector<AnnouncementDigest>>
wire::unpackDigests(std::string_view Bytes) {
  std::vector<AnnouncementDigest> Result;
  std::uint64_t Before = 0;
  while (!Bytes.empty()) {
    const std::optional<std::uint64_t> Step = takeNumber(Bytes);
    const std::optional<std::uint64_t> Later = takeNumber(Bytes);
    if (!Step || !Later || *Step > ~Before)
      return fail(ErrorCode::Malformed, "not a list of digests");
    Before += *Step;
    Result.push_back({Before, *Later});
  }
  return Result;
}

AnnouncementReply wire::makeUsualReply(const Announcement &To,
                                       std::uint32_t LeaseTtlMs,
                                       std::uint32_t HeartbeatMs) {
  AnnouncementReply Reply;
  Reply.LeaseTtlMs_ = LeaseTtlMs;
  Reply.HeartbeatMs_ = HeartbeatMs;
  for (const AttemptReport &Each : To.Attempts_)
    if (Each.State_ == AttemptState::Running)
      Reply.Renewals_.push_back({Each.Task_, Each.Attempt_, Each.Token_});
  return Reply;
}

static bool isNear(std::int64_t Now, std::int64_t Last, std::int64_t Parts) {
  const std::int64_t Apart = Now > Last ? Now - Last : Last - Now;
  return Apart <= Last / Parts;
}

static bool isNear(const Resources &Now, const Resources &Last,
                   std::int64_t Parts) {
  return isNear(Now.MilliCpus_, Last.MilliCpus_, Parts) &&
         isNear(Now.MemoryMib_, Last.MemoryMib_, Parts) &&
         Now.Accelerators_ == Last.Accelerators_;
}

bool wire::saysTheSame(const Announcement &Now, const Announcement &Last) {
  if (Now.Sequence_ <= Last.Sequence_ ||
      Now.Attempts_.size() != Last.Attempts_.size())
    return false;
  // What may differ is made equal; all else, fields to come included, counts.
  Announcement Same = Now;
  Same.Sequence_ = Last.Sequence_;
  Same.ServiceReports_ = Last.ServiceReports_;
  for (std::size_t I = 0; I < Same.Attempts_.size(); ++I) {
    AttemptReport &Report = Same.Attempts_[I];
    const AttemptReport &Before = Last.Attempts_[I];
    Report.UsageAgeMs_ = Before.UsageAgeMs_;
    Report.ProgressMs_ = Before.ProgressMs_;
    if (isNear(Report.Usage_, Before.Usage_, UsageJumpParts))
      Report.Usage_ = Before.Usage_;
  }
  return Same == Last;
}

static bool hasMoved(std::uint32_t Now, std::uint32_t Last,
                     std::uint32_t Parts) {
  const std::uint32_t Apart = Now > Last ? Now - Last : Last - Now;
  return Apart > Last / Parts;
}

static bool hasNewMeasure(const ServiceReport &Now, const ServiceReport &Last) {
  const bool Idle = Now.Requests_ == 0 && Last.Requests_ == 0;
  if (Now.Service_ != Last.Service_ || Idle)
    return Now.Service_ != Last.Service_;
  return hasMoved(Now.Requests_, Last.Requests_, MeasureParts) ||
         hasMoved(Now.P99Micros_, Last.P99Micros_, MeasureParts) ||
         hasMoved(Now.MeanMicros_, Last.MeanMicros_, MeasureParts) ||
         Now.LoadPercent_ > Last.LoadPercent_ + LoadPoints ||
         Last.LoadPercent_ > Now.LoadPercent_ + LoadPoints;
}

static bool hasTailMovedOf(const ServiceReport &Now,
                           const ServiceReport &Last) {
  return Now.Service_ != Last.Service_ ||
         hasMoved(Now.P99Micros_, Last.P99Micros_, TailParts);
}

static bool differsBy(bool (*Rule)(const ServiceReport &,
                                   const ServiceReport &),
                      const Announcement &Now, const Announcement &Last) {
  const std::vector<ServiceReport> &One = Now.ServiceReports_;
  const std::vector<ServiceReport> &Other = Last.ServiceReports_;
  return !std::equal(One.begin(), One.end(), Other.begin(), Other.end(),
                     [Rule](const ServiceReport &A, const ServiceReport &B) {
                       return !Rule(A, B);
                     });
}

bool wire::hasNewMeasures(const Announcement &Now, const Announcement &Last) {
  const auto IsNear = [](const AttemptReport &A, const AttemptReport &B) {
    return isNear(A.Usage_, B.Usage_, UsageParts);
  };
  if (!std::equal(Now.Attempts_.begin(), Now.Attempts_.end(),
                  Last.Attempts_.begin(), Last.Attempts_.end(), IsNear))
    return true;
  return differsBy(&hasNewMeasure, Now, Last);
}

bool wire::hasTailMoved(const Announcement &Now, const Announcement &Last) {
  return differsBy(&hasTailMovedOf, Now, Last);
}
