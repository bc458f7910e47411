//===- KeyedSender.cpp ----------------------------------------------------===//

#include "tulipweir/entry/KeyedSender.h"

#include "entry/RecordWriter.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::RequestDisposition;

static constexpr Duration BeginTimeout = milliseconds(1500);
static constexpr Duration FirstAskPause = milliseconds(10);
static constexpr Duration LastAskPause = milliseconds(200);
// The answer waits for its record this long at most.
static constexpr Duration RecordPatience = seconds(1);
static constexpr Duration RecordRetry = seconds(1);
static constexpr Duration RunningRetry = milliseconds(500);

static FinalResult makeUnreachable() {
  return FinalResult::makeUnknown(
      RequestReason::HomeUnreachable,
      "the key's record is in a data centre that this entry cannot reach; "
      "this attempt was not run, an earlier one with this key may have been",
      RecordRetry);
}

static FinalResult makeUnavailable() {
  return FinalResult::makeUnknown(
      RequestReason::RecordUnavailable,
      "the key's record could not be asked; this attempt was not run, an "
      "earlier one with this key may have been",
      RecordRetry);
}

static FinalResult makeRunningElsewhere() {
  return FinalResult::makeUnknown(
      RequestReason::RunningElsewhere,
      "an earlier attempt with this key is still running; ask again with the "
      "same key",
      RunningRetry);
}

static FinalResult makeConflict() {
  return FinalResult::makeNotRun(
      RequestReason::KeyConflict,
      "the key stands for another request; take a new key for a new request");
}

static FinalResult makeReplay(const wire::StoredAnswer &Stored) {
  net::HttpResponse Answer;
  Answer.Status_ = Stored.Status_;
  Answer.Body_ = Stored.Body_;
  if (!Stored.ContentType_.empty())
    Answer.Headers_.push_back({"Content-Type", Stored.ContentType_});
  FinalResult Result = FinalResult::makeServed(std::move(Answer));
  Result.Reason_ = RequestReason::Replayed;
  return Result;
}

static wire::StoredAnswer store(const net::HttpResponse &Answer) {
  return {Answer.Status_, std::string(Answer.findHeader("Content-Type")),
          Answer.Body_};
}

// Ends that are about the owner's own deadline and say nothing to others.
static bool isOwnersOwn(RequestReason Reason) {
  return Reason == RequestReason::TooLate ||
         Reason == RequestReason::DeadlinePassed ||
         Reason == RequestReason::RunningElsewhere;
}

namespace {

/// One keyed request at this entry. Its steps follow one another, so nothing
/// here needs a lock but the race between record and patience.
class KeyedRequest : public std::enable_shared_from_this<KeyedRequest> {
public:
  KeyedRequest(const KeyedParts &Parts,
               std::shared_ptr<std::atomic<std::uint64_t>> Unrecorded,
               std::uint64_t Nonce, SharedRequest Request, FinalDone Done)
      : Parts_(Parts), Unrecorded_(std::move(Unrecorded)), Nonce_(Nonce),
        Request_(std::move(Request)), Done_(std::move(Done)) {}

  void start() {
    const DataCentreId &HomeName =
        Request_->TicketHome_ ? *Request_->TicketHome_
                              : Parts_.Homes_.findHome(*Request_->Key_);
    Home_ = Parts_.Homes_.findClient(HomeName);
    if (!Home_)
      return Done_(makeUnreachable());
    join();
  }

private:
  void join() {
    const JoinResult Joined = Parts_.Table_.join(
        *Request_->Key_, Request_->Digest_, Request_->Deadline_,
        [Self = shared_from_this()](const FinalResult *Result) {
          Self->onAttached(Result);
        });
    if (Joined == JoinResult::Conflict)
      return Done_(makeConflict());
    if (Joined == JoinResult::Owner)
      return ask();
    Parts_.Metrics_.Attached_.add();
  }

  void onAttached(const FinalResult *Result) {
    if (!Result)
      return Done_(makeRunningElsewhere());
    const bool TimeLeft = Parts_.Clock_.now() < Request_->Deadline_;
    if (isOwnersOwn(Result->Reason_) && TimeLeft)
      return join();
    Done_(*Result);
  }

  wire::BeginRequest makeBegin() const {
    const auto Left = std::chrono::duration_cast<WallTime>(Request_->Deadline_ -
                                                           Parts_.Clock_.now());
    const auto DeadlineWall = Parts_.Clock_.wallNow() + Left;
    wire::BeginRequest Begin;
    Begin.Key_ = *Request_->Key_;
    Begin.Digest_ = Request_->Digest_;
    Begin.Entry_ = Parts_.Entry_;
    Begin.EntryIncarnation_ = Parts_.Incarnation_;
    Begin.Service_ = Request_->Service_;
    Begin.DeadlineWallMs_ = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, DeadlineWall.count()));
    Begin.Nonce_ = Nonce_;
    return Begin;
  }

  void ask() {
    const Duration Left = Request_->Deadline_ - Parts_.Clock_.now();
    if (Left <= Duration::zero())
      return end(AskedBefore_ ? makeRunningElsewhere() : makeUnavailable());
    Home_->begin(
        makeBegin(), std::min(Left, BeginTimeout),
        [Self = shared_from_this()](Outcome<wire::BeginRequestReply> Reply) {
          Self->onBegin(std::move(Reply));
        });
  }

  void onBegin(Outcome<wire::BeginRequestReply> Reply) {
    if (!Reply)
      return onBeginFailed(Reply.error());
    wire::BeginRequestReply &Value = Reply.value();
    switch (Value.Disposition_) {
    case RequestDisposition::Run:
      Attempt_ = Value.Attempt_;
      return Parts_.Plain_.send(
          Request_, [Self = shared_from_this()](FinalResult Result) {
            Self->onSent(std::move(Result));
          });
    case RequestDisposition::Running:
      return askLater();
    case RequestDisposition::Replay:
      if (Value.Answer_)
        return end(makeReplay(*Value.Answer_));
      break;
    case RequestDisposition::Conflict:
      return end(makeConflict());
    case RequestDisposition::Expired:
      return end(FinalResult::makeUnknown(
          RequestReason::KeyExpired,
          "the ticket is too old, and its record may be gone; this attempt was "
          "not run"));
    case RequestDisposition::Unknown:
      break;
    }
    end(FinalResult::makeUnknown(
        RequestReason::RecordUnknown,
        "it began once, and how it ended was not recorded; it will not be run "
        "again under this key"));
  }

  void onBeginFailed(const Error &Problem) {
    if (Problem.Code_ == ErrorCode::InvalidArgument)
      return end(
          FinalResult::makeNotRun(RequestReason::BadRequest, Problem.Message_));
    // It may have begun without our knowing: then it is given back.
    if (Problem.Code_ == ErrorCode::Timeout)
      settleBegin(makeWriterParts(), makeBegin());
    end(makeUnavailable());
  }

  void askLater() {
    AskedBefore_ = true;
    const Duration Left = Request_->Deadline_ - Parts_.Clock_.now();
    if (Left <= Pause_)
      return end(makeRunningElsewhere());
    Parts_.Timers_.runAfter(
        std::exchange(Pause_, std::min(Pause_ * 2, LastAskPause)),
        [Self = shared_from_this()] { Self->ask(); });
  }

  RecordWriterParts makeWriterParts() const {
    return {*Home_, Parts_.Timers_, Parts_.Clock_, Parts_.Metrics_,
            Unrecorded_};
  }

  void onSent(FinalResult Result) {
    if (Result.Outcome_ == RequestOutcome::Served)
      return recordAnswer(std::move(Result));
    // The caller is told at once: what it is told holds whatever becomes of
    // the record. An unwritten Abandon only makes a resend hear "unknown".
    const RequestOutcome How = Result.Outcome_;
    end(std::move(Result));
    if (How == RequestOutcome::NotRun)
      return writeAbandon(makeWriterParts(), {*Request_->Key_, Attempt_});
    writeFinish(makeWriterParts(), {*Request_->Key_, Attempt_, std::nullopt},
                [](bool) {});
  }

  // The answer goes out once it is recorded, or when the patience is over:
  // it is true in any case, and without a record a resend is told "unknown".
  void recordAnswer(FinalResult Result) {
    wire::FinishRequest Finish{*Request_->Key_, Attempt_,
                               store(Result.Answer_)};
    Answer_ = std::move(Result);
    const Duration Left = Request_->Deadline_ - Parts_.Clock_.now();
    const Duration Wait =
        std::clamp<Duration>(Left, Duration::zero(), RecordPatience);
    writeFinish(makeWriterParts(), std::move(Finish),
                [Self = shared_from_this()](bool Recorded) {
                  Self->endAnswered(Recorded);
                });
    if (Answered_)
      return;
    Parts_.Timers_.runAfter(Wait, [Weak = weak_from_this()] {
      if (const std::shared_ptr<KeyedRequest> Self = Weak.lock())
        Self->endAnswered(false);
    });
  }

  void endAnswered(bool Recorded) {
    if (Answered_.exchange(true))
      return;
    Answer_.RecordMissing_ = !Recorded;
    end(std::move(Answer_));
  }

  // Those who attached come after the owner; the key is free before either,
  // so that a resend right after the answer finds the record.
  void end(FinalResult Result) {
    const FinalDone Done = std::move(Done_);
    Parts_.Table_.end(*Request_->Key_, Result);
    Done(std::move(Result));
  }

  const KeyedParts Parts_;
  const std::shared_ptr<std::atomic<std::uint64_t>> Unrecorded_;
  const std::uint64_t Nonce_;
  const SharedRequest Request_;
  FinalDone Done_;
  ControlClient *Home_ = nullptr;
  std::uint64_t Attempt_ = 0;
  bool AskedBefore_ = false;
  Duration Pause_ = FirstAskPause;
  std::atomic<bool> Answered_{false};
  FinalResult Answer_;
};

} // namespace

void KeyedSender::send(SharedRequest Request, FinalDone Done) {
  assert(Request->Key_ && "only requests with a key are recorded");
  // Unique within this incarnation, and never 0.
  const std::uint64_t Nonce = ++Nonces_;
  std::make_shared<KeyedRequest>(Parts_, Unrecorded_, Nonce, std::move(Request),
                                 std::move(Done))
      ->start();
}
