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
static constexpr Duration MinBeginBackoff = milliseconds(10);
static constexpr Duration MaxBeginBackoff = milliseconds(200);
// The answer waits for its record this long at most.
static constexpr Duration MaxRecordWait = seconds(1);
static constexpr Duration RecordRetryAfter = seconds(1);
static constexpr Duration RunningRetryAfter = milliseconds(500);

static FinalResult makeHomeUnreachable() {
  return FinalResult::makeUnknown(
      RequestReason::HomeUnreachable,
      "the key's record is in a data centre that this entry cannot reach; "
      "this attempt was not run, an earlier one with this key may have been",
      RecordRetryAfter);
}

static FinalResult makeRecordUnavailable() {
  return FinalResult::makeUnknown(
      RequestReason::RecordUnavailable,
      "the key's record could not be asked; this attempt was not run, an "
      "earlier one with this key may have been",
      RecordRetryAfter);
}

static FinalResult makeRunningElsewhere() {
  return FinalResult::makeUnknown(
      RequestReason::RunningElsewhere,
      "an earlier attempt with this key is still running; ask again with the "
      "same key",
      RunningRetryAfter);
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

static wire::StoredAnswer toStoredAnswer(const net::HttpResponse &Answer) {
  return {Answer.Status_, std::string(Answer.findHeader("Content-Type")),
          Answer.Body_};
}

// Ends that are about the owner's own deadline and say nothing to others.
static bool isSpecificToOwner(RequestReason Reason) {
  return Reason == RequestReason::TooLate ||
         Reason == RequestReason::DeadlinePassed ||
         Reason == RequestReason::RunningElsewhere;
}

namespace {

/// One keyed request at this entry. Its steps follow one another, so nothing
/// here needs a lock but the race between record and patience.
class KeyedRequest : public std::enable_shared_from_this<KeyedRequest> {
public:
  KeyedRequest(const KeyedSenderDependencies &Deps,
               std::shared_ptr<std::atomic<std::uint64_t>> PendingRecords,
               std::uint64_t Nonce, SharedRequest Request, ResultCallback Done)
      : Deps_(Deps), PendingRecords_(std::move(PendingRecords)), Nonce_(Nonce),
        Request_(std::move(Request)), Done_(std::move(Done)) {}

  void start() {
    const DataCentreId &HomeName = Request_->TicketHome_
                                       ? *Request_->TicketHome_
                                       : Deps_.Homes_.findHome(*Request_->Key_);
    Home_ = Deps_.Homes_.findClient(HomeName);
    if (!Home_)
      return Done_(makeHomeUnreachable());
    join();
  }

private:
  void join() {
    const JoinResult Joined = Deps_.Table_.join(
        *Request_->Key_, Request_->Digest_, Request_->Deadline_,
        [Self = shared_from_this()](const FinalResult *Result) {
          Self->onOwnerEnd(Result);
        });
    if (Joined == JoinResult::Conflict)
      return Done_(makeConflict());
    if (Joined == JoinResult::Owner)
      return sendBegin();
    Deps_.Metrics_.AttachedRequests_.add();
  }

  void onOwnerEnd(const FinalResult *Result) {
    if (!Result)
      return Done_(makeRunningElsewhere());
    const bool HasTime = Deps_.Clock_.now() < Request_->Deadline_;
    if (isSpecificToOwner(Result->Reason_) && HasTime)
      return join();
    Done_(*Result);
  }

  wire::BeginRequest makeBegin() const {
    const auto Remaining = std::chrono::duration_cast<WallTime>(
        Request_->Deadline_ - Deps_.Clock_.now());
    const auto DeadlineWall = Deps_.Clock_.wallNow() + Remaining;
    wire::BeginRequest Begin;
    Begin.Key_ = *Request_->Key_;
    Begin.Digest_ = Request_->Digest_;
    Begin.Entry_ = Deps_.Entry_;
    Begin.EntryIncarnation_ = Deps_.Incarnation_;
    Begin.Service_ = Request_->Service_;
    Begin.DeadlineWallMs_ = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, DeadlineWall.count()));
    Begin.Nonce_ = Nonce_;
    return Begin;
  }

  void sendBegin() {
    const Duration Remaining = Request_->Deadline_ - Deps_.Clock_.now();
    if (Remaining <= Duration::zero())
      return end(FoundRunning_ ? makeRunningElsewhere()
                               : makeRecordUnavailable());
    Home_->begin(
        makeBegin(), std::min(Remaining, BeginTimeout),
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
      return Deps_.Plain_.send(Request_,
                               [Self = shared_from_this()](FinalResult Result) {
                                 Self->onResult(std::move(Result));
                               });
    case RequestDisposition::Running:
      return retryBegin();
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
      abandonUncertainBegin(makeWriterParts(), makeBegin());
    end(makeRecordUnavailable());
  }

  void retryBegin() {
    FoundRunning_ = true;
    const Duration Remaining = Request_->Deadline_ - Deps_.Clock_.now();
    if (Remaining <= Backoff_)
      return end(makeRunningElsewhere());
    Deps_.Timers_.runAfter(
        std::exchange(Backoff_, std::min(Backoff_ * 2, MaxBeginBackoff)),
        [Self = shared_from_this()] { Self->sendBegin(); });
  }

  RecordWriterDependencies makeWriterParts() const {
    return {*Home_, Deps_.Timers_, Deps_.Clock_, Deps_.Metrics_,
            PendingRecords_};
  }

  void onResult(FinalResult Result) {
    if (Result.Outcome_ == RequestOutcome::Served)
      return recordServed(std::move(Result));
    // The caller is told at once: what it is told holds whatever becomes of
    // the record. An unwritten Abandon only makes a resend hear "unknown".
    const RequestOutcome FinalOutcome = Result.Outcome_;
    end(std::move(Result));
    if (FinalOutcome == RequestOutcome::NotRun)
      return writeAbandon(makeWriterParts(), {*Request_->Key_, Attempt_});
    writeFinish(makeWriterParts(), {*Request_->Key_, Attempt_, std::nullopt},
                [](bool) {});
  }

  // The answer goes out once it is recorded, or when the patience is over:
  // it is true in any case, and without a record a resend is told "unknown".
  void recordServed(FinalResult Result) {
    wire::FinishRequest Finish{*Request_->Key_, Attempt_,
                               toStoredAnswer(Result.Answer_)};
    Answer_ = std::move(Result);
    const Duration Remaining = Request_->Deadline_ - Deps_.Clock_.now();
    const Duration Wait =
        std::clamp<Duration>(Remaining, Duration::zero(), MaxRecordWait);
    writeFinish(makeWriterParts(), std::move(Finish),
                [Self = shared_from_this()](bool Recorded) {
                  Self->respondServed(Recorded);
                });
    if (Responded_)
      return;
    Deps_.Timers_.runAfter(Wait, [Weak = weak_from_this()] {
      if (const std::shared_ptr<KeyedRequest> Self = Weak.lock())
        Self->respondServed(false);
    });
  }

  void respondServed(bool Recorded) {
    if (Responded_.exchange(true))
      return;
    Answer_.RecordMissing_ = !Recorded;
    end(std::move(Answer_));
  }

  // Those who attached come after the owner; the key is free before either,
  // so that a resend right after the answer finds the record.
  void end(FinalResult Result) {
    const ResultCallback Done = std::move(Done_);
    Deps_.Table_.end(*Request_->Key_, Result);
    Done(std::move(Result));
  }

  const KeyedSenderDependencies Deps_;
  const std::shared_ptr<std::atomic<std::uint64_t>> PendingRecords_;
  const std::uint64_t Nonce_;
  const SharedRequest Request_;
  ResultCallback Done_;
  ControlClient *Home_ = nullptr;
  std::uint64_t Attempt_ = 0;
  bool FoundRunning_ = false;
  Duration Backoff_ = MinBeginBackoff;
  std::atomic<bool> Responded_{false};
  FinalResult Answer_;
};

} // namespace

void KeyedSender::send(SharedRequest Request, ResultCallback Done) {
  assert(Request->Key_ && "only requests with a key are recorded");
  // Unique within this incarnation, and never 0.
  const std::uint64_t Nonce = ++Nonces_;
  std::make_shared<KeyedRequest>(Deps_, PendingRecords_, Nonce,
                                 std::move(Request), std::move(Done))
      ->start();
}
