//===- AnnouncementDigests.cpp - Batches, read as announcements -----------===//

#include "control/AnnouncementDigests.h"

#include <limits>

using namespace tulipweir;
using namespace tulipweir::control;
using wire::BatchException;
using wire::BatchVerdict;

/// Longer than any entry goes without naming a number that it uses.
static constexpr Duration ForgetAfter = std::chrono::minutes(2);
static constexpr Duration SweepEvery = std::chrono::seconds(10);

namespace {
/// Writes the reply, one announcement after the other.
class ReplyWriter {
public:
  /// False if another leader could exist: the batch ends there.
  bool add(const wire::Announcement &Value,
           const Outcome<wire::AnnouncementReply> &Answer) {
    const std::uint32_t Position = Next_++;
    if (!Answer) {
      const Error &Problem = Answer.error();
      if (Problem.Code_ == ErrorCode::NotLeader)
        return false;
      Reply_.Exceptions_.push_back({Position,
                                    BatchVerdict::Refused,
                                    {},
                                    {},
                                    std::string(getErrorName(Problem.Code_)),
                                    Problem.Message_});
      return true;
    }
    const wire::AnnouncementReply &Said = Answer.value();
    Reply_.LeaseTtlMs_ = Said.LeaseTtlMs_;
    Reply_.HeartbeatMs_ = Said.HeartbeatMs_;
    if (Said !=
        wire::makeUsualReply(Value, Said.LeaseTtlMs_, Said.HeartbeatMs_))
      Reply_.Exceptions_.push_back({Position, BatchVerdict::Differs,
                                    Said.Commands_, Said.Renewals_, "", ""});
    return true;
  }
  void addUnknown() {
    Reply_.Exceptions_.push_back(
        {Next_++, BatchVerdict::SendFull, {}, {}, "", ""});
  }

  wire::AnnouncementBatchReply Reply_;

private:
  std::uint32_t Next_ = 0;
};
} // namespace

static bool fits(const wire::Announcement &Stored,
                 const wire::AnnouncementDigest &Digest) {
  return Digest.Later_ <=
         std::numeric_limits<std::uint64_t>::max() - Stored.Sequence_;
}

/// What the digest says, written out. Measures of services are not repeated;
/// a running task has gone on since.
wire::Announcement
AnnouncementDigests::expand(const Known &Stored,
                            const wire::AnnouncementDigest &Digest,
                            TimePoint Now) {
  wire::Announcement Value = Stored.Value_;
  Value.Sequence_ += Digest.Later_;
  Value.ServiceReports_.clear();
  const auto Since = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                            Stored.SaidAt_)
          .count());
  for (wire::AttemptReport &Report : Value.Attempts_)
    if (Report.State_ == wire::AttemptState::Running)
      Report.ProgressMs_ += Since;
  return Value;
}

Outcome<wire::AnnouncementBatchReply>
AnnouncementDigests::onBatch(const wire::AnnouncementBatch &Batch,
                             TimePoint Now, const Handler &Handle) {
  const auto Digests = wire::unpackDigests(Batch.Digests_);
  if (!Digests)
    return Digests.as_failure();
  forgetUnused(Now);
  Session &From = Sessions_[{Batch.Entry_, Batch.Incarnation_}];
  ReplyWriter Writer;
  for (const wire::NumberedAnnouncement &Full : Batch.Full_) {
    const Outcome<wire::AnnouncementReply> Answer = Handle(Full.Value_);
    if (!Writer.add(Full.Value_, Answer))
      return Answer.as_failure();
    if (Answer)
      remember(From, Full, Now);
  }
  for (const wire::AnnouncementDigest &Digest : Digests.value()) {
    const auto Found = From.ByNumber_.find(Digest.Number_);
    if (Found == From.ByNumber_.end() || !fits(Found->second.Value_, Digest)) {
      Writer.addUnknown();
      continue;
    }
    Found->second.UsedAt_ = Now;
    const wire::Announcement Value = expand(Found->second, Digest, Now);
    const Outcome<wire::AnnouncementReply> Answer = Handle(Value);
    if (!Writer.add(Value, Answer))
      return Answer.as_failure();
  }
  return std::move(Writer.Reply_);
}

/// One number per server and entry process: the highest, as batches may
/// arrive in another order.
void AnnouncementDigests::remember(Session &Of,
                                   const wire::NumberedAnnouncement &Full,
                                   TimePoint Now) {
  std::uint64_t &Latest = Of.Latest_[Full.Value_.Server_];
  if (Full.Number_ <= Latest)
    return;
  Of.ByNumber_.erase(Latest);
  Latest = Full.Number_;
  Of.ByNumber_[Full.Number_] = {Full.Value_, Now, Now};
}

void AnnouncementDigests::forgetUnused(TimePoint Now) {
  if (Now - SweptAt_ < SweepEvery)
    return;
  SweptAt_ = Now;
  for (auto &[Key, Each] : Sessions_) {
    std::erase_if(Each.ByNumber_, [Now](const auto &Entry) {
      return Now - Entry.second.UsedAt_ >= ForgetAfter;
    });
    std::erase_if(Each.Latest_, [&Each = Each](const auto &Entry) {
      return !Each.ByNumber_.contains(Entry.second);
    });
  }
  std::erase_if(Sessions_, [](const auto &Entry) {
    return Entry.second.ByNumber_.empty();
  });
}

std::size_t AnnouncementDigests::size() const {
  std::size_t Count = 0;
  for (const auto &[Key, Each] : Sessions_)
    Count += Each.ByNumber_.size();
  return Count;
}
