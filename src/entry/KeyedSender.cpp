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
// The maximum time that a response waits for its record.
static constexpr Duration MaxRecordWait = seconds(1);
static constexpr Duration RecordRetryAfter = seconds(1);
static constexpr Duration RunningRetryAfter = milliseconds(500);

static FinalResult makeHomeUnreachable() {
  return FinalResult::makeUnknown(
      RequestReason::HomeUnreachable,
      "the key's record is in a data centre that this entry cannot reach; this "
      "attempt did not run, but an earlier one with this key may have",
      RecordRetryAfter);
}

static FinalResult makeRecordUnavailable() {
  return FinalResult::makeUnknown(
      RequestReason::RecordUnavailable,
      "the key's record could not be read; this attempt did not run, but an "
      "earlier one with this key may have",
      RecordRetryAfter);
}

static FinalResult makeRunningElsewhere() {
  return FinalResult::makeUnknown(RequestReason::RunningElsewhere,
                                  "an earlier attempt with this key is still "
                                  "running; retry with the same key",
                                  RunningRetryAfter);
}

static FinalResult makeConflict() {
  return FinalResult::makeNotRun(
      RequestReason::KeyConflict,
      "the key belongs to another request; use a new key for a new request");
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

// Returns whether the reason depends on the owner's deadline, so that it does
// not apply to the attached requests.
static bool isSpecificToOwner(RequestReason Reason) {
  return Reason == RequestReason::TooLate ||
         Reason == RequestReason::DeadlinePassed ||
         Reason == RequestReason::RunningElsewhere;
}

namespace {

/// One request with a key at this entry. Its steps run one after the other, so
/// only the race between the record and MaxRecordWait needs an atomic flag.
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
    wire::BeginRequestReply &BeginReply = Reply.value();
    switch (BeginReply.Disposition_) {
    case RequestDisposition::Run:
      Attempt_ = BeginReply.Attempt_;
      return Deps_.Plain_.send(Request_,
                               [Self = shared_from_this()](FinalResult Result) {
                                 Self->onResult(std::move(Result));
                               });
    case RequestDisposition::Running:
      return retryBegin();
    case RequestDisposition::Replay:
      if (BeginReply.Answer_)
        return end(makeReplay(*BeginReply.Answer_));
      break;
    case RequestDisposition::Conflict:
      return end(makeConflict());
    case RequestDisposition::Expired:
      return end(FinalResult::makeUnknown(
          RequestReason::KeyExpired,
          "the ticket has expired and its record may have been deleted; this "
          "attempt did not run"));
    case RequestDisposition::Unknown:
      break;
    }
    end(FinalResult::makeUnknown(
        RequestReason::RecordUnknown,
        "the request began once and its end was not recorded; it will not run "
        "again under this key"));
  }

  void onBeginFailed(const Error &Problem) {
    if (Problem.Code_ == ErrorCode::InvalidArgument)
      return end(
          FinalResult::makeNotRun(RequestReason::BadRequest, Problem.Message_));
    // The Begin may have taken effect; if so, it is abandoned.
    if (Problem.Code_ == ErrorCode::Timeout)
      abandonUncertainBegin(makeWriterDependencies(), makeBegin());
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

  RecordWriterDependencies makeWriterDependencies() const {
    return {*Home_, Deps_.Timers_, Deps_.Clock_, Deps_.Metrics_,
            PendingRecords_};
  }

  void onResult(FinalResult Result) {
    if (Result.Outcome_ == RequestOutcome::Served)
      return recordServed(std::move(Result));
    // The caller gets its result before the record is written, because the
    // result is valid either way. If Abandon is not recorded, a repeated
    // request only gets "unknown".
    const RequestOutcome FinalOutcome = Result.Outcome_;
    end(std::move(Result));
    if (FinalOutcome == RequestOutcome::NotRun)
      return writeAbandon(makeWriterDependencies(),
                          {*Request_->Key_, Attempt_});
    writeFinish(makeWriterDependencies(),
                {*Request_->Key_, Attempt_, std::nullopt}, [](bool) {});
  }

  // The response is returned when it is recorded or after MaxRecordWait. It is
  // valid either way; without a record, a repeated request gets "unknown".
  void recordServed(FinalResult Result) {
    wire::FinishRequest Finish{*Request_->Key_, Attempt_,
                               toStoredAnswer(Result.Answer_)};
    Answer_ = std::move(Result);
    const Duration Remaining = Request_->Deadline_ - Deps_.Clock_.now();
    const Duration Wait =
        std::clamp<Duration>(Remaining, Duration::zero(), MaxRecordWait);
    writeFinish(makeWriterDependencies(), std::move(Finish),
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

  // Frees the key and answers the attached requests before the owner, so that a
  // request sent right after the owner's response finds the record.
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
  assert(Request->Key_ && "the request must have a key");
  // The nonce is unique within this incarnation and never 0.
  const std::uint64_t Nonce = ++Nonces_;
  std::make_shared<KeyedRequest>(Deps_, PendingRecords_, Nonce,
                                 std::move(Request), std::move(Done))
      ->start();
}
