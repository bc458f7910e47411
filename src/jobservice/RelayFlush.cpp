#include "jobservice/RelayFlush.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Longest time to wait for a member: one lease, after which nothing runs on a
/// server that was not heard.
static constexpr Duration LongestRound = 6s;

/// A request without an answer is sent again after this time.
static constexpr Duration AskAgainAfter = 1s;

RelayFlush::RelayFlush(std::string Self, const Clock &Time,
                       GetStatus FindStatus, Ask Asking)
    : Self_(std::move(Self)), Time_(Time), FindStatus_(std::move(FindStatus)),
      Ask_(std::move(Asking)) {}

void RelayFlush::flush(const std::string &ServerId,
                       std::function<void()> Done) {
  begin({{ServerId},
         false,
         0,
         {},
         [Done = std::move(Done)](const Heard &) { Done(); },
         Time_.now()});
}

void RelayFlush::findHeard(const std::vector<std::string> &ServerIds,
                           std::function<void(Heard)> Done) {
  begin({ServerIds, true, 0, {}, std::move(Done), Time_.now()});
}

void RelayFlush::begin(Round Asked) {
  const auto Fresh = std::make_shared<Round>(std::move(Asked));
  std::vector<std::uint64_t> Ids;
  for (const replication::Member &Each : FindStatus_().Members_) {
    if (Each.Id_.Name_ == Self_)
      continue;
    Open_.emplace(++LastId_, PendingRequest{Fresh, Each.Id_.Name_});
    Ids.push_back(LastId_);
  }
  Fresh->Open_ = Ids.size();
  if (Ids.empty())
    return Fresh->Done_({});
  for (const std::uint64_t Id : Ids)
    ask(Id);
}

void RelayFlush::ask(std::uint64_t Id) {
  PendingRequest &Own = Open_.at(Id);
  Own.HasFailed_ = false;
  Own.AskedAt_ = Time_.now();
  Ask_(Own.Member_, {Self_, Id, Own.Round_->Servers_, Own.Round_->OnlySilent_},
       [Weak = std::weak_ptr(Alive_), Id] {
         const std::shared_ptr<RelayFlush *> Self = Weak.lock();
         if (!Self)
           return;
         const auto Found = (*Self)->Open_.find(Id);
         if (Found != (*Self)->Open_.end())
           Found->second.HasFailed_ = true;
       });
}

void RelayFlush::onBatch(std::uint64_t FlushId,
                         const std::vector<std::string> &Servers) {
  if (Open_.count(FlushId) != 0)
    settle(FlushId, Servers);
}

void RelayFlush::settle(std::uint64_t Id,
                        const std::vector<std::string> &Servers) {
  const std::shared_ptr<Round> Own = Open_.extract(Id).mapped().Round_;
  Own->Heard_.insert(Servers.begin(), Servers.end());
  if (--Own->Open_ == 0)
    Own->Done_(std::move(Own->Heard_));
}

void RelayFlush::retryExpired() {
  if (Open_.empty())
    return;
  const replication::ReplicaStatus Status = FindStatus_();
  const TimePoint Now = Time_.now();
  std::vector<std::uint64_t> Over;
  std::vector<std::uint64_t> Failed;
  for (const auto &[Id, Each] : Open_) {
    const bool IsMember = std::any_of(
        Status.Members_.begin(), Status.Members_.end(),
        [&Each = Each](const auto &M) { return M.Id_.Name_ == Each.Member_; });
    const bool IsGone =
        !IsMember ||
        std::find(Status.Unresponsive_.begin(), Status.Unresponsive_.end(),
                  Each.Member_) != Status.Unresponsive_.end();
    if (!Status.IsLeader_ || IsGone ||
        Now - Each.Round_->Begin_ >= LongestRound)
      Over.push_back(Id);
    else if (Each.HasFailed_ || Now - Each.AskedAt_ >= AskAgainAfter)
      Failed.push_back(Id);
  }
  for (const std::uint64_t Id : Failed)
    ask(Id);
  for (const std::uint64_t Id : Over)
    onBatch(Id, {});
}
