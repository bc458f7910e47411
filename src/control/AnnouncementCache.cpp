//===- AnnouncementCache.cpp - Expands batches into announcements --------===//

#include "control/AnnouncementCache.h"

#include <limits>

using namespace tulipweir;
using namespace tulipweir::control;
using wire::BatchVerdict;

/// Longer than the interval at which an entry uses any number it still needs.
static constexpr Duration MaxUnusedTime = std::chrono::minutes(2);
static constexpr Duration EvictionInterval = std::chrono::seconds(10);

namespace {
/// Builds the reply of a batch, one announcement at a time.
class ReplyWriter {
public:
  /// Returns false if another leader may exist; processing of the batch stops
  /// there.
  bool add(const wire::Announcement &Announced,
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
    const wire::AnnouncementReply &Content = Answer.value();
    Reply_.LeaseTtlMs_ = Content.LeaseTtlMs_;
    Reply_.HeartbeatMs_ = Content.HeartbeatMs_;
    if (Content != wire::makeUsualReply(Announced, Content.LeaseTtlMs_,
                                        Content.HeartbeatMs_))
      Reply_.Exceptions_.push_back({Position, BatchVerdict::Differs,
                                    Content.Commands_, Content.Renewals_, "",
                                    ""});
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

static bool isSequenceValid(const wire::Announcement &Stored,
                            const wire::AnnouncementDigest &Digest) {
  return Digest.Later_ <=
         std::numeric_limits<std::uint64_t>::max() - Stored.Sequence_;
}

/// Reconstructs the full announcement from a digest. Service reports are not
/// repeated; the progress of running tasks advances by the elapsed time.
wire::Announcement
AnnouncementCache::expand(const CachedAnnouncement &Stored,
                          const wire::AnnouncementDigest &Digest,
                          TimePoint Now) {
  wire::Announcement Announced = Stored.Value_;
  Announced.Sequence_ += Digest.Later_;
  Announced.ServiceReports_.clear();
  const auto Elapsed = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                            Stored.ReceivedAt_)
          .count());
  for (wire::AttemptReport &Report : Announced.Attempts_)
    if (Report.State_ == wire::AttemptState::Running)
      Report.ProgressMs_ += Elapsed;
  return Announced;
}

Outcome<wire::AnnouncementBatchReply>
AnnouncementCache::onBatch(const wire::AnnouncementBatch &Batch, TimePoint Now,
                           const Handler &Handle) {
  const auto Digests = wire::unpackDigests(Batch.Digests_);
  if (!Digests)
    return Digests.as_failure();
  evictUnused(Now);
  Session &EntrySession = Sessions_[{Batch.Entry_, Batch.Incarnation_}];
  ReplyWriter Writer;
  for (const wire::NumberedAnnouncement &Numbered : Batch.Full_) {
    const Outcome<wire::AnnouncementReply> Answer = Handle(Numbered.Value_);
    if (!Writer.add(Numbered.Value_, Answer))
      return Answer.as_failure();
    if (Answer)
      store(EntrySession, Numbered, Now);
  }
  for (const wire::AnnouncementDigest &Digest : Digests.value()) {
    const auto It = EntrySession.ByNumber_.find(Digest.Number_);
    if (It == EntrySession.ByNumber_.end() ||
        !isSequenceValid(It->second.Value_, Digest)) {
      Writer.addUnknown();
      continue;
    }
    It->second.UsedAt_ = Now;
    const wire::Announcement Announced = expand(It->second, Digest, Now);
    const Outcome<wire::AnnouncementReply> Answer = Handle(Announced);
    if (!Writer.add(Announced, Answer))
      return Answer.as_failure();
  }
  return std::move(Writer.Reply_);
}

/// Keeps one number per server and entry process: the highest, as batches may
/// be reordered.
void AnnouncementCache::store(Session &EntrySession,
                              const wire::NumberedAnnouncement &Numbered,
                              TimePoint Now) {
  std::uint64_t &Latest = EntrySession.Latest_[Numbered.Value_.Server_];
  if (Numbered.Number_ <= Latest)
    return;
  EntrySession.ByNumber_.erase(Latest);
  Latest = Numbered.Number_;
  EntrySession.ByNumber_[Numbered.Number_] = {Numbered.Value_, Now, Now};
}

void AnnouncementCache::evictUnused(TimePoint Now) {
  if (Now - LastEvictionAt_ < EvictionInterval)
    return;
  LastEvictionAt_ = Now;
  for (auto &[Key, EntrySession] : Sessions_) {
    std::erase_if(EntrySession.ByNumber_, [Now](const auto &Entry) {
      return Now - Entry.second.UsedAt_ >= MaxUnusedTime;
    });
    std::erase_if(EntrySession.Latest_,
                  [&EntrySession = EntrySession](const auto &Entry) {
                    return !EntrySession.ByNumber_.contains(Entry.second);
                  });
  }
  std::erase_if(Sessions_, [](const auto &Entry) {
    return Entry.second.ByNumber_.empty();
  });
}

std::size_t AnnouncementCache::size() const {
  std::size_t Count = 0;
  for (const auto &[Key, EntrySession] : Sessions_)
    Count += EntrySession.ByNumber_.size();
  return Count;
}
