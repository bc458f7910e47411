#include "jobservice/LeaseSurvey.h"

#include "tulipweir/jobs/IncarnationId.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Longer than any lease: later, no earlier leader's lease is left.
static constexpr Duration MaxSurveyTime = 12s;
/// A member that has started must know the leader before a lease has passed.
static constexpr Duration NoticeInterval = 2s;

LeaseSurvey::LeaseSurvey(std::string Self, const Clock &Time,
                         GetStatus FindStatus, const HeardServers &Heard,
                         SendQuery Send)
    : Self_(std::move(Self)), Time_(Time), FindStatus_(std::move(FindStatus)),
      Heard_(Heard), SendQuery_(std::move(Send)),
      MembersChangedAt_(Time.now()) {}

/// Another change may replace an uncommitted one at the same index, and two
/// changes may cancel each other.
void LeaseSurvey::recordChange(const replication::ReplicaStatus &Status) {
  if (MembersIndex_ == Status.MembersIndex_ && Members_ == Status.Members_)
    return;
  MembersIndex_ = Status.MembersIndex_;
  Members_ = Status.Members_;
  MembersChangedAt_ = Time_.now();
}

void LeaseSurvey::start(std::uint64_t Term, FoundBounds Found) {
  const replication::ReplicaStatus Status = FindStatus_();
  recordChange(Status);
  LedTerm_ = Term;
  NextNotice_ = Time_.now() + NoticeInterval;
  Round_ = Round{Term, Status.PreviousTerm_, Time_.now(), std::move(Found), {}};
  for (const replication::Member &Member : Status.Members_)
    if (Member.Id_.Name_ != Self_)
      Round_->Answers_.try_emplace(Member.Id_.Name_);
  Round_->Found_(computeBounds());
  for (const auto &[Name, Received] : Round_->Answers_)
    ask(Name);
}

void LeaseSurvey::recordLeader(const jobs::LeaseQuery &Query) {
  if (!LastLeader_ || Query.Term_ > LastLeader_->Term_)
    LastLeader_ = KnownLeader{Query.From_, Query.Term_, Time_.now()};
}

void LeaseSurvey::poll() {
  const replication::ReplicaStatus Status = FindStatus_();
  recordChange(Status);
  sendNotices(Status);
  if (!Round_)
    return;
  const bool IsOver = !Status.IsLeader_ || Status.Term_ != Round_->Term_ ||
                      Time_.now() - Round_->StartedAt_ >= MaxSurveyTime;
  if (IsOver)
    return Round_.reset();
  std::vector<std::string> Missing;
  for (const auto &[Name, Received] : Round_->Answers_)
    if (!Received)
      Missing.push_back(Name);
  for (const std::string &Name : Missing)
    ask(Name);
}

void LeaseSurvey::sendNotices(const replication::ReplicaStatus &Status) {
  const TimePoint Now = Time_.now();
  if (!Status.IsLeader_ || Status.Term_ != LedTerm_ || Now < NextNotice_)
    return;
  NextNotice_ = Now + NoticeInterval;
  for (const replication::Member &Member : Status.Members_)
    if (Member.Id_.Name_ != Self_)
      SendQuery_(Member.Id_.Name_, {Self_, LedTerm_, true},
                 [](const Outcome<jobs::LeaseQueryReply> &) {});
}

void LeaseSurvey::ask(const std::string &Member) {
  SendQuery_(Member, {Self_, Round_->Term_, false},
             [Weak = std::weak_ptr(Alive_), Member, Term = Round_->Term_](
                 const Outcome<jobs::LeaseQueryReply> &Result) {
               const std::shared_ptr<LeaseSurvey *> Self = Weak.lock();
               if (Self && (*Self)->Round_ && (*Self)->Round_->Term_ == Term)
                 (*Self)->handleReply(Member, Result);
             });
}

/// Ages count back from now, after the member's answer was made, so times are
/// never too early.
void LeaseSurvey::handleReply(const std::string &Member,
                              const Outcome<jobs::LeaseQueryReply> &Result) {
  std::optional<Answer> &Received = Round_->Answers_.at(Member);
  if (!Result || Received)
    return;
  const TimePoint Now = Time_.now();
  Received.emplace();
  Received->MemorySince_ =
      Now - std::chrono::milliseconds(Result.value().MemoryMs_);
  for (const jobs::HeardServer &Server : Result.value().Heard_)
    Received->HeardAt_.emplace_back(
        Server.Server_, Now - std::chrono::milliseconds(Server.AgeMs_));
  Round_->Found_(computeBounds());
}

/// Returns the time until which the member may have received reports that no
/// answer lists.
TimePoint
LeaseSurvey::getUnknownUntil(const std::string &Member,
                             const std::optional<Answer> &Received) const {
  const TimePoint Until =
      Received ? Received->MemorySince_ : Round_->StartedAt_;
  const bool IsPredecessor = LastLeader_ && LastLeader_->Name_ == Member &&
                             LastLeader_->Term_ == Round_->PreviousTerm_;
  return IsPredecessor ? std::min(Until, LastLeader_->SeenAt_) : Until;
}

jobs::LeaseBounds LeaseSurvey::computeBounds() const {
  jobs::LeaseBounds Bounds;
  Bounds.Others_ = std::max(Heard_.getMemorySince(), MembersChangedAt_);
  // No leader before this one granted a lease later than this one began.
  const auto AddAs = [&](const std::string &Id, TimePoint HeardAt) {
    TimePoint &Latest = Bounds.HeardAt_[Id];
    Latest = std::max(Latest, std::min(HeardAt, Round_->StartedAt_));
  };
  // An earlier version may have registered the server without its start time.
  const auto Add = [&](const std::string &Id, TimePoint HeardAt) {
    const jobs::IncarnationId Incarnation = jobs::IncarnationId::parse(Id);
    AddAs(Id, HeardAt);
    if (Incarnation.hasStartTime())
      AddAs(Incarnation.getServerId(), HeardAt);
  };
  for (const auto &[Id, HeardAt] : Heard_.times())
    Add(Id, HeardAt);
  for (const auto &[Member, Received] : Round_->Answers_) {
    Bounds.Others_ =
        std::max(Bounds.Others_, getUnknownUntil(Member, Received));
    if (!Received)
      continue;
    for (const auto &[Id, HeardAt] : Received->HeardAt_)
      Add(Id, HeardAt);
  }
  return Bounds;
}
