//===- AnnouncementBatcher.cpp - Heartbeats, passed on together -----------===//

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

/// A batch goes out early once it has so many announcements.
static constexpr std::size_t MaxWaiting = 512;
/// Longer ones go alone, so that a batch always fits in a frame and nobody's
/// heartbeat is lost by a neighbour's length.
static constexpr std::size_t MaxBytesOfOne = 8192;
static constexpr Duration ForgetAfter = std::chrono::minutes(2);

/// The code with that stable name; Internal for an unknown one.
static ErrorCode findCode(const std::string &Name) {
  constexpr int Last = static_cast<int>(ErrorCode::Internal);
  for (int Code = 0; Code <= Last; ++Code)
    if (getErrorName(static_cast<ErrorCode>(Code)) == Name)
      return static_cast<ErrorCode>(Code);
  return ErrorCode::Internal;
}

namespace {
/// One announcement until it is answered.
struct Waiting {
  wire::Announcement Value_;
  TimePoint Deadline_;
  ControlDone<wire::Announcement> Done_;
  bool Full_ = false;        ///< The leader asked for it.
  std::uint64_t Number_ = 0; ///< Of it, or of what its digest stands on.
};

/// What was sent, in the order of the batch's positions.
struct Sent {
  wire::AnnouncementBatch Batch_;
  std::vector<Waiting> Items_;
  std::vector<Waiting> Alone_; ///< Not in the batch.
};

/// A whole announcement that the leader has heard.
struct Heard {
  std::uint64_t Number_ = 0;
  wire::Announcement Value_;
  TimePoint SaidAt_;
};
} // namespace

class AnnouncementBatcher::Queue : public std::enable_shared_from_this<Queue> {
public:
  explicit Queue(const BatcherParts &Parts) : Parts_(Parts) {}

  TimePoint now() const { return Parts_.Clock_.now(); }

  void add(Waiting Item) {
    const std::lock_guard Lock(Mutex_);
    const bool Urgent = !findHeard(Item);
    Waiting_.push_back(std::move(Item));
    const Duration Delay =
        Urgent ? Parts_.Settings_.UrgentPeriod_ : Parts_.Settings_.Period_;
    wakeAt(Waiting_.size() >= MaxWaiting ? Parts_.Clock_.now()
                                         : Parts_.Clock_.now() + Delay);
  }

private:
  /// Sees that a batch goes out by then. The lock is held.
  void wakeAt(TimePoint Due) {
    if (Due >= Due_)
      return;
    Due_ = Due;
    const Duration Delay =
        std::max(Duration::zero(), Due - Parts_.Clock_.now());
    Parts_.Timers_.runAfter(Delay, [Weak = weak_from_this(), Due] {
      if (const std::shared_ptr<Queue> Self = Weak.lock())
        Self->flush(Due);
    });
  }

  /// What the item may be a digest of; nullptr if it has to go whole. The lock
  /// is held.
  const Heard *findHeard(const Waiting &Item) const {
    const auto Found = Heard_.find(Item.Value_.Server_);
    if (Item.Full_ || Found == Heard_.end())
      return nullptr;
    const Heard &Last = Found->second;
    const Duration Age = Parts_.Clock_.now() - Last.SaidAt_;
    const bool Due = Age >= Parts_.Settings_.LongestRefresh_ ||
                     (Age >= Parts_.Settings_.Refresh_ &&
                      wire::hasNewMeasures(Item.Value_, Last.Value_));
    if (Due || !wire::saysTheSame(Item.Value_, Last.Value_) ||
        wire::hasTailMoved(Item.Value_, Last.Value_))
      return nullptr;
    return &Last;
  }

  void flush(TimePoint Due) {
    std::shared_ptr<Sent> Out;
    {
      const std::lock_guard Lock(Mutex_);
      // An earlier batch took what this timer was for.
      if (Due != Due_)
        return;
      Due_ = TimePoint::max();
      Out = takeBatch();
    }
    sendSingly(std::move(Out->Alone_));
    if (Out->Items_.empty())
      return;
    Parts_.Control_.announceBatch(
        Out->Batch_, findTimeout(Out->Items_),
        [Self = shared_from_this(),
         Out](const Outcome<AnnouncementBatchReply> &Reply) {
          Self->onReply(std::move(Out->Items_), Reply);
        });
  }

  Duration findTimeout(const std::vector<Waiting> &Items) const {
    TimePoint Last = TimePoint::min();
    for (const Waiting &Each : Items)
      Last = std::max(Last, Each.Deadline_);
    return std::max(Duration(1), Last - Parts_.Clock_.now());
  }

  /// The lock is held.
  std::shared_ptr<Sent> takeBatch() {
    forgetUnused();
    auto Out = std::make_shared<Sent>();
    Out->Batch_.Entry_ = Parts_.Identity_.Entry_;
    Out->Batch_.Incarnation_ = Parts_.Identity_.Incarnation_;
    std::vector<std::pair<wire::AnnouncementDigest, Waiting>> Digests;
    for (Waiting &Item : Waiting_) {
      if (const Heard *Last = findHeard(Item)) {
        const std::uint64_t Later =
            Item.Value_.Sequence_ - Last->Value_.Sequence_;
        Digests.push_back({{Last->Number_, Later}, std::move(Item)});
        continue;
      }
      if (wire::encode(Item.Value_).size() > MaxBytesOfOne) {
        Out->Alone_.push_back(std::move(Item));
        continue;
      }
      Item.Number_ = ++LastNumber_;
      Out->Batch_.Full_.push_back({Item.Number_, Item.Value_});
      Out->Items_.push_back(std::move(Item));
    }
    Waiting_.clear();
    std::sort(Digests.begin(), Digests.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    std::vector<wire::AnnouncementDigest> Packed;
    for (auto &[Digest, Item] : Digests) {
      Item.Number_ = 0;
      Packed.push_back(Digest);
      Out->Items_.push_back(std::move(Item));
    }
    Out->Batch_.Digests_ = wire::packDigests(Packed);
    return Out;
  }

  void onReply(std::vector<Waiting> Items,
               const Outcome<AnnouncementBatchReply> &Reply) {
    if (!Reply && Reply.error().Code_ == ErrorCode::VersionMismatch)
      return sendSingly(std::move(Items));
    if (!Reply) {
      forget(Items);
      for (const Waiting &Each : Items)
        Each.Done_(Reply.as_failure());
      return;
    }
    std::map<std::uint32_t, const BatchException *> Exceptions;
    for (const BatchException &Each : Reply.value().Exceptions_)
      Exceptions[Each.Position_] = &Each;
    for (std::uint32_t Position = 0; Position < Items.size(); ++Position) {
      const auto Found = Exceptions.find(Position);
      const BatchException *Exception =
          Found == Exceptions.end() ? nullptr : Found->second;
      answer(std::move(Items[Position]), Reply.value(), Exception);
    }
  }

  /// Whether the leader heard these whole ones is open, and so what it still
  /// holds of earlier ones.
  void forget(const std::vector<Waiting> &Items) {
    const std::lock_guard Lock(Mutex_);
    for (const Waiting &Each : Items)
      if (Each.Number_ != 0)
        Heard_.erase(Each.Value_.Server_);
  }

  /// By the message that controls of earlier versions know too.
  void sendSingly(std::vector<Waiting> Items) {
    for (Waiting &Each : Items) {
      const Duration Left = Each.Deadline_ - Parts_.Clock_.now();
      Parts_.Control_.announce(Each.Value_, std::max(Duration(1), Left),
                               std::move(Each.Done_));
    }
  }

  void answer(Waiting Item, const AnnouncementBatchReply &Reply,
              const BatchException *Exception) {
    if (Exception && Exception->Verdict_ == BatchVerdict::Refused)
      return Item.Done_(fail(findCode(Exception->Error_), Exception->Message_));
    if (Exception && Exception->Verdict_ == BatchVerdict::SendFull)
      return sendFull(std::move(Item));
    noteHeard(Item);
    wire::AnnouncementReply Answer = wire::makeUsualReply(
        Item.Value_, Reply.LeaseTtlMs_, Reply.HeartbeatMs_);
    if (Exception) {
      Answer.Commands_ = Exception->Commands_;
      Answer.Renewals_ = Exception->Renewals_;
    }
    Item.Done_(std::move(Answer));
  }

  void sendFull(Waiting Item) {
    if (Item.Full_ || Parts_.Clock_.now() >= Item.Deadline_)
      return Item.Done_(
          fail(ErrorCode::Unavailable, "the leader asks for it once more"));
    Item.Full_ = true;
    const std::lock_guard Lock(Mutex_);
    Waiting_.push_back(std::move(Item));
    wakeAt(Parts_.Clock_.now() + Parts_.Settings_.UrgentPeriod_);
  }

  void noteHeard(const Waiting &Item) {
    if (Item.Number_ == 0)
      return;
    const std::lock_guard Lock(Mutex_);
    Heard &Last = Heard_[Item.Value_.Server_];
    if (Item.Number_ > Last.Number_)
      Last = {Item.Number_, Item.Value_, Parts_.Clock_.now()};
  }

  /// The lock is held.
  void forgetUnused() {
    const TimePoint Now = Parts_.Clock_.now();
    if (Now - SweptAt_ < ForgetAfter)
      return;
    SweptAt_ = Now;
    std::erase_if(Heard_, [Now](const auto &Entry) {
      return Now - Entry.second.SaidAt_ >= ForgetAfter;
    });
  }

  const BatcherParts Parts_;
  std::mutex Mutex_;
  std::vector<Waiting> Waiting_; ///< Guarded by Mutex_, as below.
  std::map<BackendServerId, Heard> Heard_;
  TimePoint Due_ = TimePoint::max(); ///< Of the next batch.
  std::uint64_t LastNumber_ = 0;
  TimePoint SweptAt_{};
};

AnnouncementBatcher::AnnouncementBatcher(const BatcherParts &Parts)
    : Queue_(std::make_shared<Queue>(Parts)) {}

AnnouncementBatcher::~AnnouncementBatcher() = default;

void AnnouncementBatcher::announce(const wire::Announcement &Value,
                                   Duration Timeout,
                                   ControlDone<wire::Announcement> Done) {
  Waiting Item;
  Item.Value_ = Value;
  Item.Deadline_ = Queue_->now() + Timeout;
  Item.Done_ = std::move(Done);
  Queue_->add(std::move(Item));
}
