#include "jobservice/RelayFlush.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Longest time to wait for a member. This is one lease, after which nothing
/// runs on a server that has not been heard.
static constexpr Duration RoundTimeout = 6s;

/// A request without an answer is sent again after this time.
static constexpr Duration ResendInterval = 1s;

RelayFlush::RelayFlush(std::string Self, const Clock &Time,
                       GetStatus FindStatus, SendRequest Send)
    : Self_(std::move(Self)), Time_(Time), FindStatus_(std::move(FindStatus)),
      SendRequest_(std::move(Send)) {}

void RelayFlush::flush(const std::string &ServerId,
                       std::function<void()> Done) {
  startRound({{ServerId},
              false,
              0,
              {},
              [Done = std::move(Done)](const Heard &) { Done(); },
              Time_.now()});
}

void RelayFlush::findHeard(const std::vector<std::string> &ServerIds,
                           std::function<void(Heard)> Done) {
  startRound({ServerIds, true, 0, {}, std::move(Done), Time_.now()});
}

void RelayFlush::startRound(Round Initial) {
  const auto NewRound = std::make_shared<Round>(std::move(Initial));
  std::vector<std::uint64_t> Ids;
  for (const replication::Member &Member : FindStatus_().Members_) {
    if (Member.Id_.Name_ == Self_)
      continue;
    Requests_.emplace(++LastId_, PendingRequest{NewRound, Member.Id_.Name_});
    Ids.push_back(LastId_);
  }
  NewRound->Unanswered_ = Ids.size();
  if (Ids.empty())
    return NewRound->Done_({});
  for (const std::uint64_t Id : Ids)
    sendRequest(Id);
}

static bool contains(const std::vector<std::string> &Names,
                     const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

jobs::PartialAnswer
RelayFlush::findPartialAnswer(const std::vector<std::string> &ServerIds) const {
  struct OpenRound {
    const Round *Round_;
    bool AwaitsReachable_;
  };
  const replication::ReplicaStatus Status = FindStatus_();
  // The requests of a round follow one another.
  std::vector<OpenRound> Rounds;
  for (const auto &[Id, Request] : Requests_) {
    if (!Request.Round_->OnlySilent_)
      continue;
    if (Rounds.empty() || Rounds.back().Round_ != Request.Round_.get())
      Rounds.push_back({Request.Round_.get(), false});
    if (contains(Status.Reachable_, Request.Member_))
      Rounds.back().AwaitsReachable_ = true;
  }
  jobs::PartialAnswer Answer;
  std::unordered_set<std::string_view> Wanted(ServerIds.begin(),
                                              ServerIds.end());
  // The newest round that names a server counts.
  for (auto It = Rounds.rbegin(); It != Rounds.rend(); ++It)
    for (const std::string &Server : It->Round_->Servers_) {
      if (Wanted.erase(Server) == 0)
        continue;
      if (It->Round_->Heard_.count(Server) != 0)
        Answer.Heard_.insert(Server);
      else if (It->AwaitsReachable_)
        Answer.Unknown_.insert(Server);
    }
  return Answer;
}

void RelayFlush::sendRequest(std::uint64_t Id) {
  PendingRequest &Request = Requests_.at(Id);
  Request.HasFailed_ = false;
  Request.SentAt_ = Time_.now();
  SendRequest_(
      Request.Member_,
      {Self_, Id, Request.Round_->Servers_, Request.Round_->OnlySilent_},
      [Weak = std::weak_ptr(Alive_), Id] {
        const std::shared_ptr<RelayFlush *> Self = Weak.lock();
        if (!Self)
          return;
        const auto It = (*Self)->Requests_.find(Id);
        if (It != (*Self)->Requests_.end())
          It->second.HasFailed_ = true;
      });
}

void RelayFlush::onBatch(std::uint64_t FlushId,
                         const std::vector<std::string> &Servers) {
  if (Requests_.count(FlushId) != 0)
    completeRequest(FlushId, Servers);
}

void RelayFlush::completeRequest(std::uint64_t Id,
                                 const std::vector<std::string> &Servers) {
  const std::shared_ptr<Round> CurrentRound =
      Requests_.extract(Id).mapped().Round_;
  CurrentRound->Heard_.insert(Servers.begin(), Servers.end());
  if (--CurrentRound->Unanswered_ == 0)
    CurrentRound->Done_(std::move(CurrentRound->Heard_));
}

void RelayFlush::retryExpired() {
  if (Requests_.empty())
    return;
  const replication::ReplicaStatus Status = FindStatus_();
  const TimePoint Now = Time_.now();
  std::vector<std::uint64_t> Expired;
  std::vector<std::uint64_t> Resends;
  for (const auto &[Id, Request] : Requests_) {
    const bool IsMember =
        std::any_of(Status.Members_.begin(), Status.Members_.end(),
                    [&Request = Request](const auto &Member) {
                      return Member.Id_.Name_ == Request.Member_;
                    });
    const bool IsGone =
        !IsMember || contains(Status.Unresponsive_, Request.Member_);
    if (!Status.IsLeader_ || IsGone ||
        Now - Request.Round_->StartedAt_ >= RoundTimeout)
      Expired.push_back(Id);
    else if (Request.HasFailed_ || Now - Request.SentAt_ >= ResendInterval)
      Resends.push_back(Id);
  }
  for (const std::uint64_t Id : Resends)
    sendRequest(Id);
  for (const std::uint64_t Id : Expired)
    onBatch(Id, {});
}
