//===- LeaderClient.cpp ---------------------------------------------------===//

#include "tulipweir/entry/LeaderClient.h"

#include "tulipweir/wire/Codec.h"

#include <algorithm>
#include <type_traits>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

// The pause after every process was tried once, which is about the duration of
// an election.
static constexpr Duration RoundPause = milliseconds(50);
// A process that does not reply within this time is skipped.
static constexpr Duration TryTimeout = milliseconds(400);

/// A call that is being sent to the control processes in turn.
struct LeaderClient::Call {
  wire::MessageKind Kind_;
  std::string Body_;
  TimePoint Deadline_;
  bool Idempotent_ = true;       ///< The call may be repeated after a timeout.
  std::size_t TriedInRound_ = 0; ///< The processes tried in this round.
  /// A try timed out, so it stays unknown whether the call took effect.
  bool MayHaveTakenEffect_ = false;
  std::function<void(Outcome<std::string>)> Done_;
};

class LeaderClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(std::vector<std::unique_ptr<ControlLink>> Links, Timers &Timers,
       const Clock &Clock)
      : Links_(std::move(Links)), Timers_(Timers), Clock_(Clock) {}

  void start(std::shared_ptr<Call> Pending) {
    if (Links_.empty())
      return Pending->Done_(
          fail(ErrorCode::Unavailable, "no control process is configured"));
    callProcess(std::move(Pending), Leader_.load());
  }

  std::string getLeaderName() const {
    return LeaderKnown_ ? Links_[Leader_]->name() : std::string();
  }

private:
  void callProcess(std::shared_ptr<Call> Pending, std::size_t Index) {
    const Duration Remaining = Pending->Deadline_ - Clock_.now();
    if (Remaining <= Duration::zero())
      return failCall(*Pending);
    ++Pending->TriedInRound_;
    const Duration CallTimeout =
        Pending->Idempotent_ ? std::min(Remaining, TryTimeout) : Remaining;
    Links_[Index]->call(Pending->Kind_, Pending->Body_, CallTimeout,
                        [Self = shared_from_this(), Pending,
                         Index](Outcome<std::string> Reply) {
                          Self->onReply(Pending, Index, std::move(Reply));
                        });
  }

  void onReply(const std::shared_ptr<Call> &Pending, std::size_t Index,
               Outcome<std::string> Reply) {
    if (Reply) {
      Leader_ = Index;
      LeaderKnown_ = true;
      return Pending->Done_(std::move(Reply));
    }
    const Error &Problem = Reply.error();
    const bool TimedOut = Problem.Code_ == ErrorCode::Timeout;
    const bool NotHandled = Problem.Code_ == ErrorCode::NotLeader ||
                            Problem.Code_ == ErrorCode::Unavailable;
    if (TimedOut)
      Pending->MayHaveTakenEffect_ = true;
    if (NotHandled || (TimedOut && Pending->Idempotent_))
      return retryElsewhere(Pending, Index, Problem);
    if (TimedOut)
      updateLeaderHint(Index, (Index + 1) % Links_.size());
    Pending->Done_(std::move(Reply));
  }

  // Makes the next call start at the process that this call tries next.
  void updateLeaderHint(std::size_t From, std::size_t To) {
    Leader_.compare_exchange_strong(From, To);
  }

  void retryElsewhere(const std::shared_ptr<Call> &Pending, std::size_t Index,
                      const Error &Problem) {
    const std::size_t Next = findNext(Index, Problem);
    updateLeaderHint(Index, Next);
    if (Pending->TriedInRound_ <= Links_.size())
      return callProcess(Pending, Next);
    if (Pending->Deadline_ - Clock_.now() <= RoundPause)
      return failCall(*Pending);
    Pending->TriedInRound_ = 0;
    Timers_.runAfter(RoundPause, [Self = shared_from_this(), Pending, Next] {
      Self->callProcess(Pending, Next);
    });
  }

  std::size_t findNext(std::size_t Index, const Error &Problem) const {
    if (Problem.Code_ == ErrorCode::NotLeader)
      for (std::size_t Candidate = 0; Candidate < Links_.size(); ++Candidate)
        if (Candidate != Index && Links_[Candidate]->name() == Problem.Message_)
          return Candidate;
    return (Index + 1) % Links_.size();
  }

  static void failCall(const Call &Pending) {
    if (Pending.MayHaveTakenEffect_)
      return Pending.Done_(
          fail(ErrorCode::Timeout, "no leader answered in time"));
    Pending.Done_(fail(ErrorCode::Unavailable, "no leader was found in time"));
  }

  std::vector<std::unique_ptr<ControlLink>> Links_;
  Timers &Timers_;
  const Clock &Clock_;
  std::atomic<std::size_t> Leader_{0};
  std::atomic<bool> LeaderKnown_{false};

  friend class LeaderClient;
};

LeaderClient::LeaderClient(std::vector<std::unique_ptr<ControlLink>> Links,
                           Timers &Timers, const Clock &Clock)
    : Impl_(std::make_shared<Impl>(std::move(Links), Timers, Clock)) {}

LeaderClient::~LeaderClient() = default;

template <class Request>
void LeaderClient::send(const Request &Message, Duration Timeout,
                        ControlCallback<Request> Done) {
  auto Pending = std::make_shared<Call>();
  Pending->Kind_ = Request::Kind;
  Pending->Body_ = wire::encode(Message);
  Pending->Deadline_ = Impl_->Clock_.now() + Timeout;
  Pending->Idempotent_ = !std::is_same_v<Request, wire::OperatorCall>;
  Pending->Done_ = [Done = std::move(Done)](Outcome<std::string> Body) {
    if (!Body)
      return Done(std::move(Body).as_failure());
    Done(wire::decode<typename Request::Reply>(Body.value()));
  };
  Impl_->start(std::move(Pending));
}

void LeaderClient::report(const wire::EntryReport &Report, Duration Timeout,
                          ControlCallback<wire::EntryReport> Done) {
  send(Report, Timeout, std::move(Done));
}

void LeaderClient::announce(const wire::Announcement &Announcement,
                            Duration Timeout,
                            ControlCallback<wire::Announcement> Done) {
  send(Announcement, Timeout, std::move(Done));
}

void LeaderClient::announceBatch(
    const wire::AnnouncementBatch &Batch, Duration Timeout,
    ControlCallback<wire::AnnouncementBatch> Done) {
  send(Batch, Timeout, std::move(Done));
}

void LeaderClient::begin(const wire::BeginRequest &Request, Duration Timeout,
                         ControlCallback<wire::BeginRequest> Done) {
  send(Request, Timeout, std::move(Done));
}

void LeaderClient::finish(const wire::FinishRequest &Request, Duration Timeout,
                          ControlCallback<wire::FinishRequest> Done) {
  send(Request, Timeout, std::move(Done));
}

void LeaderClient::abandon(const wire::AbandonRequest &Request,
                           Duration Timeout,
                           ControlCallback<wire::AbandonRequest> Done) {
  send(Request, Timeout, std::move(Done));
}

void LeaderClient::callOperator(const wire::OperatorCall &Call,
                                Duration Timeout,
                                ControlCallback<wire::OperatorCall> Done) {
  send(Call, Timeout, std::move(Done));
}

std::string LeaderClient::getLeaderName() const {
  return Impl_->getLeaderName();
}
