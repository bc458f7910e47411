//===- AnnouncementBatcher.cpp - Batches of heartbeats --------------------===//

#include "tulipweir/entry/AnnouncementBatcher.h"

#include "tulipweir/wire/Codec.h"

#include <algorithm>
#include <map>
#include <mutex>

using namespace tulipweir;
using namespace tulipweir::entry;
using wire::AnnouncementBatchReply;
using wire::BatchException;
using wire::BatchVerdict;

/// A batch is sent early when it reaches this number of announcements.
static constexpr std::size_t MaxBatchSize = 512;
/// Longer announcements are sent individually, so that a batch always fits in a
/// frame and one long announcement cannot block the heartbeats of other
/// servers.
static constexpr std::size_t MaxBatchedBytes = 8192;
static constexpr Duration AcknowledgedTtl = std::chrono::minutes(2);

/// Returns the error code with that name, or Internal for an unknown name.
static ErrorCode findErrorCode(const std::string &Name) {
  constexpr int Last = static_cast<int>(ErrorCode::Internal);
  for (int Code = 0; Code <= Last; ++Code)
    if (getErrorName(static_cast<ErrorCode>(Code)) == Name)
      return static_cast<ErrorCode>(Code);
  return ErrorCode::Internal;
}

namespace {
/// An announcement that has not been answered yet.
struct PendingAnnouncement {
  wire::Announcement Announcement_;
  TimePoint Deadline_;
  ControlCallback<wire::Announcement> Done_;
  bool ForceFull_ = false;   ///< The leader requested it in full.
  std::uint64_t Number_ = 0; ///< 0 if it is sent as a digest.
};

/// A batch and its announcements in the order of the batch's positions.
struct OutgoingBatch {
  wire::AnnouncementBatch Batch_;
  std::vector<PendingAnnouncement> Items_;
  std::vector<PendingAnnouncement> Individual_; ///< Sent outside the batch.
};

/// A full announcement that the leader has acknowledged.
struct AcknowledgedAnnouncement {
  std::uint64_t Number_ = 0;
  wire::Announcement Announcement_;
  TimePoint AcknowledgedAt_;
};
} // namespace

class AnnouncementBatcher::Queue : public std::enable_shared_from_this<Queue> {
public:
  explicit Queue(const BatcherDependencies &Deps) : Deps_(Deps) {}

  TimePoint now() const { return Deps_.Clock_.now(); }

  void add(PendingAnnouncement Item) {
    const std::lock_guard Lock(Mutex_);
    const bool Urgent = !findDigestBase(Item);
    Pending_.push_back(std::move(Item));
    const Duration Delay =
        Urgent ? Deps_.Settings_.UrgentPeriod_ : Deps_.Settings_.Period_;
    scheduleFlush(Pending_.size() >= MaxBatchSize ? Deps_.Clock_.now()
                                                  : Deps_.Clock_.now() + Delay);
  }

private:
  /// Schedules a flush at Due unless an earlier one is scheduled. Requires
  /// the lock.
  void scheduleFlush(TimePoint Due) {
    if (Due >= FlushAt_)
      return;
    FlushAt_ = Due;
    const Duration Delay = std::max(Duration::zero(), Due - Deps_.Clock_.now());
    Deps_.Timers_.runAfter(Delay, [Weak = weak_from_this(), Due] {
      if (const std::shared_ptr<Queue> Self = Weak.lock())
        Self->flush(Due);
    });
  }

  /// Returns the acknowledged announcement that a digest of Item can refer to,
  /// or nullptr if Item must be sent in full. Requires the lock.
  const AcknowledgedAnnouncement *
  findDigestBase(const PendingAnnouncement &Item) const {
    const auto It = Acknowledged_.find(Item.Announcement_.Server_);
    if (Item.ForceFull_ || It == Acknowledged_.end())
      return nullptr;
    const AcknowledgedAnnouncement &Last = It->second;
    const Duration Age = Deps_.Clock_.now() - Last.AcknowledgedAt_;
    const bool Due =
        Age >= Deps_.Settings_.FullRefresh_ ||
        (Age >= Deps_.Settings_.Refresh_ &&
         wire::hasNewMeasures(Item.Announcement_, Last.Announcement_));
    if (Due || !wire::saysTheSame(Item.Announcement_, Last.Announcement_) ||
        wire::hasTailMoved(Item.Announcement_, Last.Announcement_))
      return nullptr;
    return &Last;
  }

  void flush(TimePoint Due) {
    std::shared_ptr<OutgoingBatch> Outgoing;
    {
      const std::lock_guard Lock(Mutex_);
      // An earlier flush already sent the announcements of this timer.
      if (Due != FlushAt_)
        return;
      FlushAt_ = TimePoint::max();
      Outgoing = makeBatch();
    }
    sendIndividually(std::move(Outgoing->Individual_));
    if (Outgoing->Items_.empty())
      return;
    Deps_.Control_.announceBatch(
        Outgoing->Batch_, findTimeout(Outgoing->Items_),
        [Self = shared_from_this(),
         Outgoing](const Outcome<AnnouncementBatchReply> &Reply) {
          Self->onReply(std::move(Outgoing->Items_), Reply);
        });
  }

  Duration findTimeout(const std::vector<PendingAnnouncement> &Items) const {
    TimePoint Last = TimePoint::min();
    for (const PendingAnnouncement &Item : Items)
      Last = std::max(Last, Item.Deadline_);
    return std::max(Duration(1), Last - Deps_.Clock_.now());
  }

  /// Requires the lock.
  std::shared_ptr<OutgoingBatch> makeBatch() {
    pruneAcknowledged();
    auto Outgoing = std::make_shared<OutgoingBatch>();
    Outgoing->Batch_.Entry_ = Deps_.Identity_.Entry_;
    Outgoing->Batch_.Incarnation_ = Deps_.Identity_.Incarnation_;
    std::vector<std::pair<wire::AnnouncementDigest, PendingAnnouncement>>
        Digests;
    for (PendingAnnouncement &Item : Pending_) {
      if (const AcknowledgedAnnouncement *Last = findDigestBase(Item)) {
        const std::uint64_t Later =
            Item.Announcement_.Sequence_ - Last->Announcement_.Sequence_;
        const wire::AnnouncementDigest Digest{Last->Number_, Later};
        Digests.emplace_back(Digest, std::move(Item));
        continue;
      }
      if (wire::encode(Item.Announcement_).size() > MaxBatchedBytes) {
        Outgoing->Individual_.push_back(std::move(Item));
        continue;
      }
      Item.Number_ = ++LastFullNumber_;
      Outgoing->Batch_.Full_.push_back({Item.Number_, Item.Announcement_});
      Outgoing->Items_.push_back(std::move(Item));
    }
    Pending_.clear();
    std::sort(Digests.begin(), Digests.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    std::vector<wire::AnnouncementDigest> Packed;
    for (auto &[Digest, Item] : Digests) {
      Item.Number_ = 0;
      Packed.push_back(Digest);
      Outgoing->Items_.push_back(std::move(Item));
    }
    Outgoing->Batch_.Digests_ = wire::packDigests(Packed);
    return Outgoing;
  }

  void onReply(std::vector<PendingAnnouncement> Items,
               const Outcome<AnnouncementBatchReply> &Reply) {
    if (!Reply && Reply.error().Code_ == ErrorCode::VersionMismatch)
      return sendIndividually(std::move(Items));
    if (!Reply) {
      forgetAcknowledged(Items);
      for (const PendingAnnouncement &Item : Items)
        Item.Done_(Reply.as_failure());
      return;
    }
    std::map<std::uint32_t, const BatchException *> Exceptions;
    for (const BatchException &Exception : Reply.value().Exceptions_)
      Exceptions[Exception.Position_] = &Exception;
    for (std::uint32_t Position = 0; Position < Items.size(); ++Position) {
      const auto It = Exceptions.find(Position);
      const BatchException *Exception =
          It == Exceptions.end() ? nullptr : It->second;
      answer(std::move(Items[Position]), Reply.value(), Exception);
    }
  }

  /// Without a reply it is unknown whether the leader received these full
  /// announcements, and therefore which earlier ones it still has.
  void forgetAcknowledged(const std::vector<PendingAnnouncement> &Items) {
    const std::lock_guard Lock(Mutex_);
    for (const PendingAnnouncement &Item : Items)
      if (Item.Number_ != 0)
        Acknowledged_.erase(Item.Announcement_.Server_);
  }

  /// Uses the single announcement message, which control processes of earlier
  /// versions support too.
  void sendIndividually(std::vector<PendingAnnouncement> Items) {
    for (PendingAnnouncement &Item : Items) {
      const Duration Remaining = Item.Deadline_ - Deps_.Clock_.now();
      Deps_.Control_.announce(Item.Announcement_,
                              std::max(Duration(1), Remaining),
                              std::move(Item.Done_));
    }
  }

  void answer(PendingAnnouncement Item, const AnnouncementBatchReply &Reply,
              const BatchException *Exception) {
    if (Exception && Exception->Verdict_ == BatchVerdict::Refused)
      return Item.Done_(
          fail(findErrorCode(Exception->Error_), Exception->Message_));
    if (Exception && Exception->Verdict_ == BatchVerdict::SendFull)
      return sendFull(std::move(Item));
    recordAcknowledged(Item);
    wire::AnnouncementReply Answer = wire::makeUsualReply(
        Item.Announcement_, Reply.LeaseTtlMs_, Reply.HeartbeatMs_);
    if (Exception) {
      Answer.Commands_ = Exception->Commands_;
      Answer.Renewals_ = Exception->Renewals_;
    }
    Item.Done_(std::move(Answer));
  }

  void sendFull(PendingAnnouncement Item) {
    if (Item.ForceFull_ || Deps_.Clock_.now() >= Item.Deadline_)
      return Item.Done_(fail(ErrorCode::Unavailable,
                             "the leader requests the full announcement"));
    Item.ForceFull_ = true;
    const std::lock_guard Lock(Mutex_);
    Pending_.push_back(std::move(Item));
    scheduleFlush(Deps_.Clock_.now() + Deps_.Settings_.UrgentPeriod_);
  }

  void recordAcknowledged(const PendingAnnouncement &Item) {
    if (Item.Number_ == 0)
      return;
    const std::lock_guard Lock(Mutex_);
    AcknowledgedAnnouncement &Last = Acknowledged_[Item.Announcement_.Server_];
    if (Item.Number_ > Last.Number_)
      Last = {Item.Number_, Item.Announcement_, Deps_.Clock_.now()};
  }

  /// The caller must hold Mutex_.
  void pruneAcknowledged() {
    const TimePoint Now = Deps_.Clock_.now();
    if (Now - PrunedAt_ < AcknowledgedTtl)
      return;
    PrunedAt_ = Now;
    std::erase_if(Acknowledged_, [Now](const auto &Entry) {
      return Now - Entry.second.AcknowledgedAt_ >= AcknowledgedTtl;
    });
  }

  const BatcherDependencies Deps_;
  std::mutex Mutex_;
  std::vector<PendingAnnouncement> Pending_; ///< Guarded by Mutex_, as below.
  std::map<BackendServerId, AcknowledgedAnnouncement> Acknowledged_;
  TimePoint FlushAt_ = TimePoint::max(); ///< The time of the next batch.
  std::uint64_t LastFullNumber_ = 0;
  TimePoint PrunedAt_{};
};

AnnouncementBatcher::AnnouncementBatcher(const BatcherDependencies &Deps)
    : Queue_(std::make_shared<Queue>(Deps)) {}

AnnouncementBatcher::~AnnouncementBatcher() = default;

void AnnouncementBatcher::announce(const wire::Announcement &Announcement,
                                   Duration Timeout,
                                   ControlCallback<wire::Announcement> Done) {
  PendingAnnouncement Item;
  Item.Announcement_ = Announcement;
  Item.Deadline_ = Queue_->now() + Timeout;
  Item.Done_ = std::move(Done);
  Queue_->add(std::move(Item));
}
