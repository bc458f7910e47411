#include "tulipweir/jobservice/EntryNode.h"

#include "jobservice/EntryMetrics.h"
#include "jobservice/LeaderOutage.h"
#include "jobservice/LeaderSearch.h"
#include "jobservice/SubmittedIds.h"
#include "tulipweir/jobservice/MemberLinks.h"
#include "tulipweir/net/StrandExecutor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Timeout of one attempt: many times a commit of some tens of milliseconds,
/// and little more than an election, so that a call does not wait long for a
/// frozen leader.
static constexpr Duration AttemptTimeout = 800ms;
/// Delay between attempts while no leader is known.
static constexpr Duration RetryDelay = 40ms;
/// A leader that has not confirmed its leadership for this time counts as lost.
static constexpr Duration MaxLeaderAge = 1500ms;

static LeaderOutageSettings
makeOutageSettings(const EntryNodeSettings &Settings) {
  LeaderOutageSettings Result;
  Result.ElectionTimeout_ = Settings.ElectionTimeout_;
  Result.MaxAnswerAge_ = MaxLeaderAge;
  Result.ElectionWait_ = Settings.LeaderWaitTimeout_;
  Result.FirstAnswerWait_ = Settings.NoLeaderTimeout_;
  return Result;
}

class EntryNode::Impl : public std::enable_shared_from_this<EntryNode::Impl> {
public:
  Impl(const EntryNodeSettings &Settings, net::IoPool &Pool, const Clock &Time,
       net::Metrics &Metrics, EventLog &Log)
      : Settings_(Settings), Time_(Time), Log_(Log), Meter_(Metrics),
        Links_(Pool.context(), "", Settings.LinkPort_,
               makeMemberLinkSettings(Settings.Secret_)),
        Strand_(Pool), Seeds_(Settings.Seeds_.begin(), Settings.Seeds_.end()),
        KnownMembers_(Seeds_),
        Search_(Settings.OutagePollPeriod_, Settings.OutagePollInterval_,
                Settings.Seed_),
        Submitted_(SubmittedIdsSettings()),
        Outage_(makeOutageSettings(Settings), Time.now()) {
    Outage_.setMembers(KnownMembers_);
  }

  void pollLeader();
  void searchLeader();
  void stop() { Links_.stop(); }
  void setSeeds(const std::vector<std::string> &Seeds);
  void call(const jobs::JobCall &Call, TimePoint Deadline, Done Reply);
  std::string getUnreadyReason() const;
  std::string makeDump() const;
  Duration getOutageAge() const;

  net::StrandExecutor &strand() { return Strand_; }

private:
  /// A call without a reply so far.
  struct PendingCall {
    std::string Body_;
    std::string Caller_; ///< Host and path, which identify the job.
    bool IsSubmission_ = false;
    TimePoint Deadline_;       ///< The caller's.
    TimePoint LeaderDeadline_; ///< When a call that nobody received ends.
    Done Reply_;
    bool MayHaveRun_ = false; ///< An attempt may have taken effect.
  };
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  void queryMember(const std::string &Name);
  void queryMembers();
  void handleGroupView(const std::string &From, const jobs::GroupView &View);
  void handleNoAnswer(const std::string &From);
  void sendAttempt(const PendingCallPtr &Pending);
  void onAnswer(const PendingCallPtr &Pending, const std::string &From,
                const Outcome<std::string> &Answer);
  void onFailure(const PendingCallPtr &Pending, const std::string &From,
                 const Error &Failure);
  void finishUnanswered(const PendingCallPtr &Pending);
  void retryAfter(const PendingCallPtr &Pending, Duration Delay);
  std::string getLeader() const {
    const std::lock_guard Hold(Lock_);
    return Leader_;
  }

  const EntryNodeSettings Settings_;
  const Clock &Time_;
  EventLog &Log_;
  EntryMetrics Meter_;
  MemberLinks Links_;
  net::StrandExecutor Strand_;

  // Used on the strand only.
  std::set<std::string> Seeds_;
  std::set<std::string> KnownMembers_;
  LeaderSearch Search_;
  bool HadLeader_ = false;
  std::uint64_t PollRound_ = 0; ///< Outdates the timers of earlier rounds.
  TimePoint SearchedAt_ = TimePoint::min();
  /// A leader that did not answer. Other members may still name it; it is used
  /// again once it has confirmed itself.
  std::string SilentLeader_;
  SubmittedIds Submitted_;

  mutable std::mutex Lock_; ///< Guards the members below, which queries read.
  std::string Leader_;
  LeaderOutage Outage_;
};

void EntryNode::Impl::setSeeds(const std::vector<std::string> &Seeds) {
  Seeds_ = {Seeds.begin(), Seeds.end()};
  KnownMembers_.insert(Seeds_.begin(), Seeds_.end());
  const std::lock_guard Hold(Lock_);
  Outage_.setMembers(KnownMembers_);
}

void EntryNode::Impl::pollLeader() {
  {
    const std::lock_guard Hold(Lock_);
    Outage_.recordPoll(Time_.now());
  }
  const std::string Leader = getLeader();
  const bool IsFresh = getUnreadyReason().empty();
  if (HadLeader_ != IsFresh) {
    HadLeader_ = IsFresh;
    Event Line;
    Line.Kind_ =
        IsFresh ? EventKind::DependencyRegained : EventKind::DependencyLost;
    Line.Reason_ = IsFresh ? "leader " + Leader : getUnreadyReason();
    Log_.write(Line);
  }
  const bool KnowsLeader = IsFresh && !Leader.empty();
  if (KnowsLeader)
    queryMember(Leader);
  else
    queryMembers();
  const auto Next = [Weak = weak_from_this(), Round = ++PollRound_] {
    const std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && Self->PollRound_ == Round)
      Self->pollLeader();
  };
  Strand_.postAfter(KnowsLeader ? Settings_.LeaderPollInterval_
                                : Settings_.OutagePollInterval_,
                    Next);
}

/// Asks members after the leader was lost, unless that was done just now.
void EntryNode::Impl::searchLeader() {
  if (SearchedAt_ == TimePoint::min() ||
      Time_.now() - SearchedAt_ >= Settings_.OutagePollInterval_)
    pollLeader();
}

void EntryNode::Impl::queryMembers() {
  SearchedAt_ = Time_.now();
  // Members go on naming a leader that has not answered here.
  std::set<std::string> PossibleLeaders = {getLeader(), SilentLeader_};
  PossibleLeaders.erase("");
  for (const std::string &Name :
       Search_.chooseNext(KnownMembers_, PossibleLeaders))
    queryMember(Name);
}

void EntryNode::Impl::queryMember(const std::string &Name) {
  Links_.call(
      Name, wire::MessageKind::GroupView, "", AttemptTimeout,
      [Weak = weak_from_this(), Name](const Outcome<std::string> &Answer) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        Self->Strand_.post([Weak, Name, Answer] {
          const std::shared_ptr<Impl> Owner = Weak.lock();
          if (!Owner)
            return;
          if (!Answer)
            return Owner->handleNoAnswer(Name);
          const auto View = jobs::decodeGroupView(Answer.value());
          if (View)
            Owner->handleGroupView(Name, View.value());
        });
      });
}

void EntryNode::Impl::handleNoAnswer(const std::string &From) {
  {
    const std::lock_guard Hold(Lock_);
    if (From.empty() || Leader_ != From)
      return;
    Leader_.clear();
  }
  SilentLeader_ = From;
  searchLeader();
}

void EntryNode::Impl::handleGroupView(const std::string &From,
                                      const jobs::GroupView &View) {
  if (!View.Members_.empty()) {
    KnownMembers_ = Seeds_;
    KnownMembers_.insert(View.Members_.begin(), View.Members_.end());
  }
  const TimePoint Now = Time_.now();
  const std::lock_guard Hold(Lock_);
  // A member without a replica knows no members and takes no part in elections.
  if (!View.Members_.empty()) {
    Outage_.setMembers({View.Members_.begin(), View.Members_.end()});
    Outage_.recordMember(From, Now);
  }
  // Only the leader itself confirms its leadership; other members give a hint.
  if (View.Leader_ == From) {
    Leader_ = From;
    SilentLeader_.clear();
    if (const std::optional<Duration> Length = Outage_.recordLeader(Now))
      Meter_.OutageLength_.record(*Length);
    return;
  }
  if (Leader_ == From || Leader_.empty())
    Leader_ = View.Leader_ == SilentLeader_ ? "" : View.Leader_;
}

void EntryNode::Impl::call(const jobs::JobCall &Call, TimePoint Deadline,
                           Done Reply) {
  const auto Pending = std::make_shared<PendingCall>();
  jobs::JobCall Named = Call;
  Named.DataCentre_ = Settings_.DataCentre_;
  Pending->Body_ = jobs::encodeCall(Named);
  Pending->Caller_ = Call.Host_ + Call.Path_;
  Pending->IsSubmission_ = Call.Kind_ == jobs::CallKind::Submit;
  Pending->Deadline_ = Deadline;
  Pending->Reply_ = std::move(Reply);
  const TimePoint Now = Time_.now();
  // An earlier submission of this id may have been accepted.
  Pending->MayHaveRun_ =
      Pending->IsSubmission_ && Submitted_.mayBeAccepted(Pending->Caller_, Now);
  {
    const std::lock_guard Hold(Lock_);
    Pending->LeaderDeadline_ = std::min(Deadline, Now + Outage_.getWait(Now));
  }
  sendAttempt(Pending);
}

void EntryNode::Impl::sendAttempt(const PendingCallPtr &Pending) {
  const TimePoint Now = Time_.now();
  const std::string Target = getLeader();
  // Only the known leader gets the call: another member may be frozen, which
  // would make the outcome unknown.
  const bool IsOver =
      Now >= Pending->Deadline_ || (Target.empty() && !Pending->MayHaveRun_ &&
                                    Now >= Pending->LeaderDeadline_);
  if (IsOver)
    return finishUnanswered(Pending);
  if (Target.empty())
    return retryAfter(Pending, RetryDelay);
  if (Pending->MayHaveRun_)
    Meter_.AskedAgain_.add();
  if (Pending->IsSubmission_)
    Submitted_.beginAttempt(Pending->Caller_);
  Links_.call(Target, wire::MessageKind::JobCall, Pending->Body_,
              std::min(Pending->Deadline_ - Now, AttemptTimeout),
              [Weak = weak_from_this(), Pending,
               Target](const Outcome<std::string> &Answer) {
                const std::shared_ptr<Impl> Self = Weak.lock();
                if (!Self)
                  return;
                Self->Strand_.post([Weak, Pending, Target, Answer] {
                  if (const std::shared_ptr<Impl> Owner = Weak.lock())
                    Owner->onAnswer(Pending, Target, Answer);
                });
              });
}

/// Returns whether the call may have taken effect although it failed. Only the
/// errors of a frame that was never sent and of a control that did not accept
/// the call exclude it.
static bool mayHaveRun(const Error &Failure) {
  return Failure.Code_ != ErrorCode::Unavailable &&
         Failure.Code_ != ErrorCode::NotLeader;
}

void EntryNode::Impl::onAnswer(const PendingCallPtr &Pending,
                               const std::string &From,
                               const Outcome<std::string> &Answer) {
  Outcome<jobs::JobCallReply> Reply =
      boost::outcome_v2::failure(Answer ? Error() : Answer.error());
  if (Answer)
    Reply = jobs::decodeCallReply(Answer.value());
  const bool MayBeAccepted =
      Reply ? Reply.value().Outcome_ == jobs::CallOutcome::Done
            : mayHaveRun(Reply.error());
  if (Pending->IsSubmission_)
    Submitted_.endAttempt(Pending->Caller_, MayBeAccepted, Time_.now());
  if (Reply) {
    Meter_.Answered_.add();
    return Pending->Reply_({std::move(Reply.value()), CallEffect::NotRun, {}});
  }
  Pending->MayHaveRun_ |= MayBeAccepted;
  onFailure(Pending, From, Reply.error());
}

void EntryNode::Impl::onFailure(const PendingCallPtr &Pending,
                                const std::string &From, const Error &Failure) {
  if (Failure.Code_ != ErrorCode::NotLeader) {
    handleNoAnswer(From);
    return retryAfter(Pending, RetryDelay);
  }
  const bool HasNewLeader = !Failure.Message_.empty() &&
                            Failure.Message_ != From &&
                            Failure.Message_ != SilentLeader_;
  {
    const std::lock_guard Hold(Lock_);
    if (Leader_ == From || Leader_.empty())
      Leader_ = HasNewLeader ? Failure.Message_ : "";
  }
  if (!HasNewLeader)
    searchLeader();
  retryAfter(Pending, HasNewLeader ? Duration(0) : RetryDelay);
}

void EntryNode::Impl::finishUnanswered(const PendingCallPtr &Pending) {
  const TimePoint Now = Time_.now();
  // Another attempt of the same id may have been sent meanwhile.
  const bool IsUnknown =
      Pending->MayHaveRun_ || (Pending->IsSubmission_ &&
                               Submitted_.mayBeAccepted(Pending->Caller_, Now));
  (IsUnknown ? Meter_.Unknown_ : Meter_.WithoutLeader_).add();
  Answer Result;
  Result.Effect_ = IsUnknown ? CallEffect::Unknown : CallEffect::NotRun;
  {
    const std::lock_guard Hold(Lock_);
    Result.RetryAfter_ = Outage_.getRetryAfter(Now, Pending->Caller_);
  }
  Pending->Reply_(std::move(Result));
}

void EntryNode::Impl::retryAfter(const PendingCallPtr &Pending,
                                 Duration Delay) {
  const auto Retry = [Weak = weak_from_this(), Pending] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->sendAttempt(Pending);
  };
  if (Delay <= Duration(0))
    return Strand_.post(Retry);
  Strand_.postAfter(Delay, Retry);
}

std::string EntryNode::Impl::getUnreadyReason() const {
  const std::lock_guard Hold(Lock_);
  if (Outage_.hasLeader(Time_.now()))
    return "";
  return Outage_.hadLeader() ? "the leader has not answered recently"
                             : "no leader was found yet";
}

Duration EntryNode::Impl::getOutageAge() const {
  const std::lock_guard Hold(Lock_);
  return Outage_.getAge(Time_.now());
}

std::string EntryNode::Impl::makeDump() const {
  const std::string Unready = getUnreadyReason();
  const TimePoint Now = Time_.now();
  const std::lock_guard Hold(Lock_);
  return nlohmann::json{
      {"leader", Leader_},
      {"unready", Unready},
      {"outageMs", std::chrono::duration_cast<std::chrono::milliseconds>(
                       Outage_.getAge(Now))
                       .count()},
      {"majorityAnswers", Outage_.hasMajority(Now)}}
      .dump();
}

EntryNode::EntryNode(const EntryNodeSettings &Settings, net::IoPool &Pool,
                     const Clock &Time, net::Metrics &Metrics, EventLog &Log)
    : Impl_(std::make_shared<Impl>(Settings, Pool, Time, Metrics, Log)) {
  Metrics.addGauge(
      "tulipweir_entry_leader_outage_seconds",
      "Time since a leader answered; 0 if that was recently.",
      [Weak = std::weak_ptr<Impl>(Impl_)] {
        const std::shared_ptr<Impl> Self = Weak.lock();
        return Self
                   ? std::chrono::duration<double>(Self->getOutageAge()).count()
                   : 0.0;
      });
}
EntryNode::~EntryNode() { stop(); }

void EntryNode::start() {
  Impl_->strand().post([Impl = Impl_] { Impl->pollLeader(); });
}
void EntryNode::stop() { Impl_->stop(); }
void EntryNode::setSeeds(const std::vector<std::string> &Seeds) {
  Impl_->strand().post([Impl = Impl_, Seeds] { Impl->setSeeds(Seeds); });
}
void EntryNode::call(const jobs::JobCall &Call, TimePoint Deadline,
                     Done Reply) {
  Impl_->strand().post([Impl = Impl_, Call, Deadline, Reply] {
    Impl->call(Call, Deadline, Reply);
  });
}
std::string EntryNode::getUnreadyReason() const {
  return Impl_->getUnreadyReason();
}
std::string EntryNode::makeDump() const { return Impl_->makeDump(); }
