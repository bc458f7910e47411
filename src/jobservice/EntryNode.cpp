#include "tulipweir/jobservice/EntryNode.h"

#include "tulipweir/jobservice/MemberLinks.h"
#include "tulipweir/net/StrandExecutor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// One attempt: many times a commit of some tens of milliseconds, and little
/// more than an election, so that a leader that froze is not waited for.
static constexpr Duration AttemptTimeout = 800ms;
/// Between attempts while nobody is known to lead.
static constexpr Duration AttemptPause = 40ms;
/// A leader that confirmed itself less long ago counts as there.
static constexpr Duration LeaderFreshness = 1500ms;

class EntryNode::Impl : public std::enable_shared_from_this<EntryNode::Impl> {
public:
  Impl(const EntryNodeSettings &Settings, net::IoPool &Pool, const Clock &Time,
       EventLog &Log)
      : Settings_(Settings), Time_(Time), Log_(Log),
        Links_(Pool.context(), "", Settings.LinkPort_,
               makeMemberLinkSettings(Settings.Secret_)),
        Strand_(Pool), Seeds_(Settings.Seeds_.begin(), Settings.Seeds_.end()),
        Known_(Seeds_) {}

  void ask();
  void stop() { Links_.stop(); }
  void setSeeds(const std::vector<std::string> &Seeds);
  void call(const jobs::JobCall &Call, TimePoint Deadline, Done Reply);
  std::string findUnready() const;
  std::string makeDump() const;

  net::StrandExecutor &strand() { return Strand_; }

private:
  /// A call on its way to an answer.
  struct Pending {
    std::string Body_;
    TimePoint GiveUpAt_;
    Done Reply_;
    bool IsUnknown_ = false; ///< Some attempt may have taken effect.
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void askOne(const std::string &Name);
  void noteView(const std::string &From, const jobs::GroupView &View);
  void noteSilence(const std::string &From);
  void attempt(const PendingPtr &Current);
  void onAnswer(const PendingPtr &Current, const std::string &From,
                const Outcome<std::string> &Answer);
  void retryAfter(const PendingPtr &Current, Duration Pause);
  std::string pickTarget();

  const EntryNodeSettings Settings_;
  const Clock &Time_;
  EventLog &Log_;
  MemberLinks Links_;
  net::StrandExecutor Strand_;

  // On the strand only.
  std::set<std::string> Seeds_;
  std::set<std::string> Known_;
  std::size_t NextTarget_ = 0;
  bool HadLeader_ = false;

  mutable std::mutex Lock_; ///< Guards what queries read.
  std::string Leader_;
  TimePoint LeaderSeen_ = TimePoint::min();
};

void EntryNode::Impl::setSeeds(const std::vector<std::string> &Seeds) {
  Seeds_ = {Seeds.begin(), Seeds.end()};
  Known_.insert(Seeds_.begin(), Seeds_.end());
}

void EntryNode::Impl::ask() {
  std::string Leader;
  {
    const std::lock_guard Hold(Lock_);
    Leader = Leader_;
  }
  const bool IsFresh = findUnready().empty();
  if (HadLeader_ != IsFresh) {
    HadLeader_ = IsFresh;
    Event Line;
    Line.Kind_ =
        IsFresh ? EventKind::DependencyRegained : EventKind::DependencyLost;
    Line.Reason_ = IsFresh ? "leader " + Leader : findUnready();
    Log_.write(Line);
  }
  if (IsFresh)
    askOne(Leader);
  else
    for (const std::string &Name : std::set<std::string>(Known_))
      askOne(Name);
  Strand_.postAfter(Settings_.AskInterval_, [Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->ask();
  });
}

void EntryNode::Impl::askOne(const std::string &Name) {
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
            return Owner->noteSilence(Name);
          const auto View = jobs::decodeGroupView(Answer.value());
          if (View)
            Owner->noteView(Name, View.value());
        });
      });
}

void EntryNode::Impl::noteSilence(const std::string &From) {
  const std::lock_guard Hold(Lock_);
  if (Leader_ == From)
    Leader_.clear();
}

void EntryNode::Impl::noteView(const std::string &From,
                               const jobs::GroupView &View) {
  if (!View.Members_.empty()) {
    Known_ = Seeds_;
    Known_.insert(View.Members_.begin(), View.Members_.end());
  }
  const std::lock_guard Hold(Lock_);
  // Only a leader says for sure that it leads; others say whom to ask.
  if (View.Leader_ == From) {
    Leader_ = From;
    LeaderSeen_ = Time_.now();
    return;
  }
  if (Leader_ == From || Leader_.empty())
    Leader_ = View.Leader_;
}

std::string EntryNode::Impl::pickTarget() {
  {
    const std::lock_guard Hold(Lock_);
    if (!Leader_.empty())
      return Leader_;
  }
  if (Known_.empty())
    return "";
  NextTarget_ = (NextTarget_ + 1) % Known_.size();
  return *std::next(Known_.begin(), static_cast<std::ptrdiff_t>(NextTarget_));
}

void EntryNode::Impl::call(const jobs::JobCall &Call, TimePoint Deadline,
                           Done Reply) {
  const auto Current = std::make_shared<Pending>();
  Current->Body_ = jobs::encodeCall(Call);
  const Duration Patience = findUnready().empty()
                                ? Settings_.Patience_
                                : Settings_.ImpatienceWithoutLeader_;
  Current->GiveUpAt_ = std::min(Deadline, Time_.now() + Patience);
  Current->Reply_ = std::move(Reply);
  attempt(Current);
}

void EntryNode::Impl::attempt(const PendingPtr &Current) {
  const Duration Left = Current->GiveUpAt_ - Time_.now();
  if (Left <= Duration(0))
    return Current->Reply_({std::nullopt, Current->IsUnknown_
                                              ? LostCall::Unknown
                                              : LostCall::NotRun});
  const std::string Target = pickTarget();
  Links_.call(Target, wire::MessageKind::JobCall, Current->Body_,
              std::min(Left, AttemptTimeout),
              [Weak = weak_from_this(), Current,
               Target](const Outcome<std::string> &Answer) {
                const std::shared_ptr<Impl> Self = Weak.lock();
                if (!Self)
                  return;
                Self->Strand_.post([Weak, Current, Target, Answer] {
                  if (const std::shared_ptr<Impl> Owner = Weak.lock())
                    Owner->onAnswer(Current, Target, Answer);
                });
              });
}

void EntryNode::Impl::onAnswer(const PendingPtr &Current,
                               const std::string &From,
                               const Outcome<std::string> &Answer) {
  if (Answer) {
    auto Reply = jobs::decodeCallReply(Answer.value());
    if (Reply)
      return Current->Reply_({std::move(Reply.value()), LostCall::NotRun});
    Current->IsUnknown_ = true;
    return retryAfter(Current, AttemptPause);
  }
  const Error &Why = Answer.error();
  if (Why.Code_ == ErrorCode::NotLeader) {
    const std::lock_guard Hold(Lock_);
    const bool IsNews = !Why.Message_.empty() && Why.Message_ != From;
    if (Leader_ == From || Leader_.empty())
      Leader_ = IsNews ? Why.Message_ : "";
    return retryAfter(Current, IsNews ? Duration(0) : AttemptPause);
  }
  // Anything but a frame that never left may have taken effect.
  if (Why.Code_ != ErrorCode::Unavailable)
    Current->IsUnknown_ = true;
  noteSilence(From);
  retryAfter(Current, AttemptPause);
}

void EntryNode::Impl::retryAfter(const PendingPtr &Current, Duration Pause) {
  const auto Again = [Weak = weak_from_this(), Current] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->attempt(Current);
  };
  if (Pause <= Duration(0))
    return Strand_.post(Again);
  Strand_.postAfter(Pause, Again);
}

std::string EntryNode::Impl::findUnready() const {
  const std::lock_guard Hold(Lock_);
  if (LeaderSeen_ == TimePoint::min())
    return "no leader was found yet";
  if (Time_.now() - LeaderSeen_ > LeaderFreshness)
    return "the leader has not answered lately";
  return "";
}

std::string EntryNode::Impl::makeDump() const {
  const std::string Unready = findUnready();
  const std::lock_guard Hold(Lock_);
  return nlohmann::json{{"leader", Leader_}, {"unready", Unready}}.dump();
}

EntryNode::EntryNode(const EntryNodeSettings &Settings, net::IoPool &Pool,
                     const Clock &Time, net::Metrics &, EventLog &Log)
    : Impl_(std::make_shared<Impl>(Settings, Pool, Time, Log)) {}
EntryNode::~EntryNode() { stop(); }

void EntryNode::start() {
  Impl_->strand().post([Impl = Impl_] { Impl->ask(); });
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
std::string EntryNode::findUnready() const { return Impl_->findUnready(); }
std::string EntryNode::makeDump() const { return Impl_->makeDump(); }
