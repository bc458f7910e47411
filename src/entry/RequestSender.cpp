//===- RequestSender.cpp --------------------------------------------------===//

#include "tulipweir/entry/RequestSender.h"

#include "entry/AnswerCheck.h"

#include <algorithm>
#include <array>
#include <mutex>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

static constexpr std::size_t MaxTries = 4;
// When servers are busy, a slot is likely to be free after the time of a few
// requests.
static constexpr Duration RefusedRetryAfter = milliseconds(200);
static constexpr Duration LostRetryAfter = milliseconds(100);
// A hedge is sent when a response takes this multiple of the mean latency.
static constexpr int HedgeAfterMeans = 3;
static constexpr Duration MinHedgeDelay = milliseconds(2);
// Without hedging, a try is replaced after this multiple of the mean latency,
// but not before half of the remaining time.
static constexpr int ReplaceAfterMeans = 4;

namespace {

/// The execution of one request. The mutex guards the members below it, and no
/// calls are made with it held.
class RequestExecution : public std::enable_shared_from_this<RequestExecution> {
public:
  RequestExecution(const RequestSenderDependencies &Deps, SharedRequest Request,
                   ResultCallback Done)
      : Deps_(Deps), Request_(std::move(Request)), Done_(std::move(Done)),
        Gate_(Deps.Router_.findGate(Request_->Service_)) {}

  void start() {
    if (!Gate_)
      return finish(FinalResult::makeNotRun(RequestReason::UnknownService,
                                            "no such service"));
    acquireSlot(std::nullopt);
  }

private:
  struct Try {
    HeldSlot Held_;
    TimePoint SentAt_;
    std::uint64_t ExchangeId_ = 0; ///< The id for cancel; 0 until it is known.
    bool Open_ = true;
    bool Cancelled_ = false;
  };

  void acquireSlot(const ExcludedServer &Excluded) {
    const TimePoint EnqueuedAt = Deps_.Clock_.now();
    Gate_->acquireSlot(
        Request_->Deadline_, Excluded,
        [Self = shared_from_this(), EnqueuedAt](SlotResult Answer) {
          Self->onGate(std::move(Answer), EnqueuedAt);
        });
  }

  void onGate(SlotResult Answer, TimePoint EnqueuedAt) {
    Deps_.Metrics_.QueueWait_.record(Deps_.Clock_.now() - EnqueuedAt);
    if (Answer.Slot_)
      return startTry(std::move(Answer.Slot_));
    failRequest(Answer.Reason_, Answer.RetryAfter_);
  }

  void startTry(AcquiredSlot Slot) {
    const TimePoint Now = Deps_.Clock_.now();
    const HeldSlot Held = Deps_.Router_.registerSlot(Gate_, std::move(Slot));
    if (Now >= Request_->Deadline_) {
      Deps_.Router_.release(Held, std::nullopt, Duration::zero());
      return failRequest(RequestReason::DeadlinePassed, Duration::zero());
    }
    const std::optional<std::size_t> Added = addTry(Held, Now);
    if (!Added)
      return Deps_.Router_.release(Held, std::nullopt, Duration::zero());
    const std::size_t Index = *Added;
    Deps_.Metrics_.Tries_.add();
    if (Index == 0)
      Gate_->countFirstTry();
    const std::uint64_t ExchangeId = Deps_.Client_.send(
        Held.Slot_->address(), makeForwarded(Now), Request_->Deadline_,
        [Self = shared_from_this(), Index](net::HttpResult Result) {
          Self->onTryEnd(Index, std::move(Result));
        });
    setExchangeId(Index, ExchangeId);
    if (Index == 0 && Request_->Repeatable_)
      scheduleSecondTry(Now);
  }

  // Returns nullopt once the caller has its result: it may be "not run", so
  // nothing may be sent after it.
  std::optional<std::size_t> addTry(const HeldSlot &Held, TimePoint Now) {
    std::lock_guard Lock(Mutex_);
    if (Finished_)
      return std::nullopt;
    const std::size_t Index = TryCount_++;
    Tries_[Index] = {Held, Now, 0, true, false};
    ++OpenTries_;
    return Index;
  }

  net::HttpRequest makeForwarded(TimePoint Now) const {
    net::HttpRequest Forward = Request_->Forward_;
    const auto Remaining =
        std::chrono::floor<milliseconds>(Request_->Deadline_ - Now);
    const auto RemainingMs = std::max<std::int64_t>(1, Remaining.count());
    Forward.Headers_.push_back({header::Deadline, std::to_string(RemainingMs)});
    return Forward;
  }

  // The request may have ended before send returned the exchange id.
  void setExchangeId(std::size_t Index, std::uint64_t ExchangeId) {
    bool Superseded = false;
    {
      std::lock_guard Lock(Mutex_);
      Tries_[Index].ExchangeId_ = ExchangeId;
      Superseded = Finished_ && Tries_[Index].Open_;
      Tries_[Index].Cancelled_ |= Superseded;
    }
    if (Superseded)
      Deps_.Client_.cancel(ExchangeId);
  }

  void onTryEnd(std::size_t Index, net::HttpResult Result) {
    const TryResult Classification = checkAnswer(Result, Request_->Id_);
    const TimePoint Now = Deps_.Clock_.now();
    HeldSlot Held;
    Duration Latency{};
    bool Cancelled = false;
    bool Last = false;
    {
      std::lock_guard Lock(Mutex_);
      Try &Ended = Tries_[Index];
      Ended.Open_ = false;
      Held = std::move(Ended.Held_);
      Latency = Now - Ended.SentAt_;
      Cancelled = Ended.Cancelled_ && Classification.End_ != TryEnd::Complete;
      Last = --OpenTries_ == 0;
      MayHaveRun_ |= Classification.End_ == TryEnd::MayHaveRun;
      LastServer_ = Held.Slot_->server();
    }
    if (Classification.WrongId_) {
      Deps_.Metrics_.WrongIds_.add();
      // The responses on the server's connections are out of order, so none of
      // them is reused.
      Deps_.Client_.forget(Held.Slot_->address());
    }
    if (Classification.End_ == TryEnd::Complete) {
      Deps_.Metrics_.BackendLatency_.record(Latency);
      finish(FinalResult::makeServed(std::move(Result.Response_.value())));
    }
    Deps_.Router_.release(Held,
                          Cancelled ? classifyCancelled(Latency)
                                    : Classification.ServerResult_,
                          Latency);
    if (Classification.End_ != TryEnd::Complete && Last)
      retryOrFail(Classification.Reason_);
  }

  // A cancelled try counts as slow if it lasted longer than the mean latency. A
  // hedge that was cancelled early says nothing about its server.
  std::optional<decide::RequestResult>
  classifyCancelled(Duration Latency) const {
    if (Latency <= Gate_->getMeanLatency())
      return std::nullopt;
    return decide::RequestResult::Served;
  }

  void retryOrFail(RequestReason Reason) {
    ExcludedServer Excluded;
    bool Allowed = false;
    {
      std::lock_guard Lock(Mutex_);
      if (Finished_)
        return;
      Allowed = (Request_->Repeatable_ || !MayHaveRun_) && TryCount_ < MaxTries;
      Excluded = LastServer_;
    }
    if (!Allowed || Deps_.Clock_.now() >= Request_->Deadline_)
      return failRequest(Reason, getRetryAfter(Reason));
    if (!Gate_->trySpendRetry()) {
      Deps_.Metrics_.RetriesDenied_.add();
      return failRequest(Reason, getRetryAfter(Reason));
    }
    Deps_.Metrics_.Retries_.add();
    acquireSlot(Excluded);
  }

  static Duration getRetryAfter(RequestReason Reason) {
    return Reason == RequestReason::ServersRefused ? RefusedRetryAfter
                                                   : LostRetryAfter;
  }

  void scheduleSecondTry(TimePoint Now) {
    const Duration Mean = Gate_->getMeanLatency();
    const Duration Remaining = Request_->Deadline_ - Now;
    const Duration Delay =
        Request_->Hedged_ ? std::max(Mean * HedgeAfterMeans, MinHedgeDelay)
                          : std::max(Mean * ReplaceAfterMeans, Remaining / 2);
    if (Mean == Duration::zero() || Delay >= Remaining)
      return;
    // A weak pointer, so that the timer does not keep a finished request alive.
    Deps_.Timers_.runAfter(Delay, [Weak = weak_from_this()] {
      if (const std::shared_ptr<RequestExecution> Self = Weak.lock())
        Self->startSecondTry();
    });
  }

  // Starts a hedge if hedging is allowed, and otherwise replaces the first try.
  void startSecondTry() {
    ExcludedServer Excluded;
    {
      std::lock_guard Lock(Mutex_);
      if (Finished_ || TryCount_ != 1 || !Tries_[0].Open_)
        return;
      Excluded = Tries_[0].Held_.Slot_->server();
    }
    AcquiredSlot Slot = Gate_->tryAcquireSlot(Excluded);
    if (!Slot)
      return;
    if (!Gate_->trySpendRetry()) {
      Deps_.Metrics_.RetriesDenied_.add();
      Deps_.Router_.release(Deps_.Router_.registerSlot(Gate_, std::move(Slot)),
                            std::nullopt, Duration::zero());
      return;
    }
    Deps_.Metrics_.Hedges_.add();
    startTry(std::move(Slot));
    if (!Request_->Hedged_)
      cancelTry(0);
  }

  void cancelTry(std::size_t Index) {
    std::uint64_t ExchangeId = 0;
    {
      std::lock_guard Lock(Mutex_);
      if (!Tries_[Index].Open_)
        return;
      // The try is not marked as cancelled, so that its latency is recorded.
      ExchangeId = Tries_[Index].ExchangeId_;
    }
    Deps_.Client_.cancel(ExchangeId);
  }

  // Ends the request without a response. A request that may have run is never
  // reported as "not run". The checks that no try is open and that none can
  // follow use the same lock.
  void failRequest(RequestReason Reason, Duration RetryAfter) {
    bool MayHaveRun = false;
    ResultCallback Done;
    {
      std::lock_guard Lock(Mutex_);
      if (Finished_ || OpenTries_ > 0)
        return; // Another try may still return a response.
      Finished_ = true;
      MayHaveRun = MayHaveRun_;
      Done = std::move(Done_);
    }
    if (!MayHaveRun)
      return Done(FinalResult::makeNotRun(
          Reason, "no backend server ran the request", RetryAfter));
    const bool HasUnknownStatus = getReasonStatus(Reason) == UnknownStatus;
    Done(FinalResult::makeUnknown(
        HasUnknownStatus ? Reason : RequestReason::AnswerLost,
        "the request was sent, but no complete response arrived", RetryAfter));
  }

  void finish(FinalResult Result) {
    std::array<std::uint64_t, MaxTries + 1> Superseded{};
    ResultCallback Done;
    {
      std::lock_guard Lock(Mutex_);
      if (std::exchange(Finished_, true))
        return;
      Done = std::move(Done_);
      for (std::size_t Index = 0; Index < TryCount_; ++Index) {
        Try &OpenTry = Tries_[Index];
        if (!OpenTry.Open_ || OpenTry.ExchangeId_ == 0)
          continue;
        OpenTry.Cancelled_ = true;
        Superseded[Index] = OpenTry.ExchangeId_;
      }
    }
    Done(std::move(Result));
    for (const std::uint64_t ExchangeId : Superseded)
      if (ExchangeId != 0)
        Deps_.Client_.cancel(ExchangeId);
  }

  static constexpr unsigned UnknownStatus = 504;

  const RequestSenderDependencies Deps_;
  const SharedRequest Request_;
  ResultCallback Done_;
  const std::shared_ptr<ServiceGate> Gate_;
  std::mutex Mutex_;
  std::array<Try, MaxTries + 1> Tries_; ///< Includes one hedge.
  std::size_t TryCount_ = 0;
  std::size_t OpenTries_ = 0;
  bool MayHaveRun_ = false;
  bool Finished_ = false;
  ExcludedServer LastServer_;
};

} // namespace

void RequestSender::send(SharedRequest Request, ResultCallback Done) {
  std::make_shared<RequestExecution>(Deps_, std::move(Request), std::move(Done))
      ->start();
}
