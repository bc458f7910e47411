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
// When servers refuse, a slot is likely to be free after some requests' time.
static constexpr Duration RefusedRetry = milliseconds(200);
static constexpr Duration LostRetry = milliseconds(100);
// A hedge goes out when an answer takes this many times the mean.
static constexpr int HedgeAfterMeans = 3;
static constexpr Duration LeastHedgeDelay = milliseconds(2);
// Without hedging, a try is replaced at half its time if it is this slow.
static constexpr int ReplaceAfterMeans = 4;

namespace {

/// One request on its way. The mutex guards the members below it; nothing is
/// called with it held.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(const SenderParts &Parts, SharedRequest Request, FinalDone Done)
      : Parts_(Parts), Request_(std::move(Request)), Done_(std::move(Done)),
        Gate_(Parts.Router_.findGate(Request_->Service_)) {}

  void start() {
    if (!Gate_)
      return finish(FinalResult::makeNotRun(RequestReason::UnknownService,
                                            "no such service"));
    enter(std::nullopt);
  }

private:
  struct Try {
    SlotHold Hold_;
    TimePoint SentAt_;
    std::uint64_t Number_ = 0; ///< Of the exchange, for cancel; 0: not known.
    bool Open_ = true;
    bool Cancelled_ = false;
  };

  void enter(const ExceptServer &Except) {
    const TimePoint AskedAt = Parts_.Clock_.now();
    Gate_->enter(Request_->Deadline_, Except,
                 [Self = shared_from_this(), AskedAt](GateAnswer Answer) {
                   Self->onGate(std::move(Answer), AskedAt);
                 });
  }

  void onGate(GateAnswer Answer, TimePoint AskedAt) {
    Parts_.Metrics_.QueueWait_.record(Parts_.Clock_.now() - AskedAt);
    if (Answer.Slot_)
      return launch(std::move(Answer.Slot_));
    giveUp(Answer.Reason_, Answer.RetryAfter_);
  }

  void launch(TakenSlot Slot) {
    const TimePoint Now = Parts_.Clock_.now();
    const SlotHold Hold = Parts_.Router_.hold(Gate_, std::move(Slot));
    if (Now >= Request_->Deadline_) {
      Parts_.Router_.release(Hold, std::nullopt, Duration::zero());
      return giveUp(RequestReason::DeadlinePassed, Duration::zero());
    }
    const std::optional<std::size_t> Added = addTry(Hold, Now);
    if (!Added)
      return Parts_.Router_.release(Hold, std::nullopt, Duration::zero());
    const std::size_t Index = *Added;
    Parts_.Metrics_.Tries_.add();
    if (Index == 0)
      Gate_->noteFirstTry();
    const std::uint64_t Number = Parts_.Client_.send(
        Hold.Slot_->address(), makeForward(Now), Request_->Deadline_,
        [Self = shared_from_this(), Index](net::HttpResult Result) {
          Self->onTryEnd(Index, std::move(Result));
        });
    noteNumber(Index, Number);
    if (Index == 0 && Request_->Repeatable_)
      armSecondTry(Now);
  }

  // Nothing more is sent once the caller has its answer, which may have been
  // "not run"; nullopt then.
  std::optional<std::size_t> addTry(const SlotHold &Hold, TimePoint Now) {
    std::lock_guard Lock(Mutex_);
    if (Finished_)
      return std::nullopt;
    const std::size_t Index = TryCount_++;
    Tries_[Index] = {Hold, Now, 0, true, false};
    ++OpenTries_;
    return Index;
  }

  net::HttpRequest makeForward(TimePoint Now) const {
    net::HttpRequest Forward = Request_->Forward_;
    const auto Left =
        std::chrono::floor<milliseconds>(Request_->Deadline_ - Now);
    const auto LeftMs = std::max<std::int64_t>(1, Left.count());
    Forward.Headers_.push_back({header::Deadline, std::to_string(LeftMs)});
    return Forward;
  }

  // The request may have ended while send had not yet returned its number.
  void noteNumber(std::size_t Index, std::uint64_t Number) {
    bool Unwanted = false;
    {
      std::lock_guard Lock(Mutex_);
      Tries_[Index].Number_ = Number;
      Unwanted = Finished_ && Tries_[Index].Open_;
      Tries_[Index].Cancelled_ |= Unwanted;
    }
    if (Unwanted)
      Parts_.Client_.cancel(Number);
  }

  void onTryEnd(std::size_t Index, net::HttpResult Result) {
    const TryVerdict Verdict = checkAnswer(Result, Request_->Id_);
    const TimePoint Now = Parts_.Clock_.now();
    SlotHold Hold;
    Duration Took{};
    bool Cancelled = false;
    bool Last = false;
    {
      std::lock_guard Lock(Mutex_);
      Try &Ended = Tries_[Index];
      Ended.Open_ = false;
      Hold = std::move(Ended.Hold_);
      Took = Now - Ended.SentAt_;
      Cancelled = Ended.Cancelled_ && Verdict.End_ != TryEnd::Whole;
      Last = --OpenTries_ == 0;
      MayHaveRun_ |= Verdict.End_ == TryEnd::MayHaveRun;
      LastServer_ = Hold.Slot_->server();
    }
    if (Verdict.WrongId_) {
      Parts_.Metrics_.WrongIds_.add();
      // Its connections are out of step: none of them is used again.
      Parts_.Client_.forget(Hold.Slot_->address());
    }
    if (Verdict.End_ == TryEnd::Whole) {
      Parts_.Metrics_.BackendLatency_.record(Took);
      finish(FinalResult::makeServed(std::move(Result.Response_.value())));
    }
    Parts_.Router_.release(
        Hold, Cancelled ? judgeCancelled(Took) : Verdict.ForChooser_, Took);
    if (Verdict.End_ != TryEnd::Whole && Last)
      retryOrGiveUp(Verdict.Reason_);
  }

  // A try that lost against its hedge was slow, if it lasted; a hedge that lost
  // at once was not.
  std::optional<decide::RequestResult> judgeCancelled(Duration Took) const {
    if (Took <= Gate_->getServiceTime())
      return std::nullopt;
    return decide::RequestResult::Served;
  }

  void retryOrGiveUp(RequestReason Reason) {
    ExceptServer Except;
    bool Allowed = false;
    {
      std::lock_guard Lock(Mutex_);
      if (Finished_)
        return;
      Allowed = (Request_->Repeatable_ || !MayHaveRun_) && TryCount_ < MaxTries;
      Except = LastServer_;
    }
    if (!Allowed || Parts_.Clock_.now() >= Request_->Deadline_)
      return giveUp(Reason, retryTimeOf(Reason));
    if (!Gate_->trySpendRetry()) {
      Parts_.Metrics_.RetriesDenied_.add();
      return giveUp(Reason, retryTimeOf(Reason));
    }
    Parts_.Metrics_.Retries_.add();
    enter(Except);
  }

  static Duration retryTimeOf(RequestReason Reason) {
    return Reason == RequestReason::ServersRefused ? RefusedRetry : LostRetry;
  }

  void armSecondTry(TimePoint Now) {
    const Duration Mean = Gate_->getServiceTime();
    const Duration Left = Request_->Deadline_ - Now;
    const Duration Delay =
        Request_->Hedged_ ? std::max(Mean * HedgeAfterMeans, LeastHedgeDelay)
                          : std::max(Mean * ReplaceAfterMeans, Left / 2);
    if (Mean == Duration::zero() || Delay >= Left)
      return;
    // Weak: the timer must not keep what has long been answered.
    Parts_.Timers_.runAfter(Delay, [Weak = weak_from_this()] {
      if (const std::shared_ptr<Exchange> Self = Weak.lock())
        Self->startSecondTry();
    });
  }

  // Beside the first try when hedging is allowed, in its place otherwise.
  void startSecondTry() {
    ExceptServer Except;
    {
      std::lock_guard Lock(Mutex_);
      if (Finished_ || TryCount_ != 1 || !Tries_[0].Open_)
        return;
      Except = Tries_[0].Hold_.Slot_->server();
    }
    TakenSlot Slot = Gate_->tryEnter(Except);
    if (!Slot)
      return;
    if (!Gate_->trySpendRetry()) {
      Parts_.Metrics_.RetriesDenied_.add();
      Parts_.Router_.release(Parts_.Router_.hold(Gate_, std::move(Slot)),
                             std::nullopt, Duration::zero());
      return;
    }
    Parts_.Metrics_.Hedges_.add();
    launch(std::move(Slot));
    if (!Request_->Hedged_)
      cancelTry(0);
  }

  void cancelTry(std::size_t Index) {
    std::uint64_t Number = 0;
    {
      std::lock_guard Lock(Mutex_);
      if (!Tries_[Index].Open_)
        return;
      // It was slow until now; that is learned, so it is no silent end.
      Number = Tries_[Index].Number_;
    }
    Parts_.Client_.cancel(Number);
  }

  // Ends without an answer. What may have run is never called not run. That
  // no try is open, and that none will be, is settled under one lock.
  void giveUp(RequestReason Reason, Duration RetryAfter) {
    bool MayHaveRun = false;
    FinalDone Done;
    {
      std::lock_guard Lock(Mutex_);
      if (Finished_ || OpenTries_ > 0)
        return; // Another try may still bring the answer.
      Finished_ = true;
      MayHaveRun = MayHaveRun_;
      Done = std::move(Done_);
    }
    if (!MayHaveRun)
      return Done(FinalResult::makeNotRun(Reason, "no backend server ran it",
                                          RetryAfter));
    const bool Typed = getReasonStatus(Reason) == UnknownStatus;
    Done(FinalResult::makeUnknown(Typed ? Reason : RequestReason::AnswerLost,
                                  "it was sent, and no whole answer came back",
                                  RetryAfter));
  }

  void finish(FinalResult Result) {
    std::array<std::uint64_t, MaxTries + 1> Unwanted{};
    FinalDone Done;
    {
      std::lock_guard Lock(Mutex_);
      if (std::exchange(Finished_, true))
        return;
      Done = std::move(Done_);
      for (std::size_t Index = 0; Index < TryCount_; ++Index) {
        Try &Other = Tries_[Index];
        if (!Other.Open_ || Other.Number_ == 0)
          continue;
        Other.Cancelled_ = true;
        Unwanted[Index] = Other.Number_;
      }
    }
    Done(std::move(Result));
    for (const std::uint64_t Number : Unwanted)
      if (Number != 0)
        Parts_.Client_.cancel(Number);
  }

  static constexpr unsigned UnknownStatus = 504;

  const SenderParts Parts_;
  const SharedRequest Request_;
  FinalDone Done_;
  const std::shared_ptr<ServiceGate> Gate_;
  std::mutex Mutex_;
  std::array<Try, MaxTries + 1> Tries_; ///< One more for a hedge.
  std::size_t TryCount_ = 0;
  std::size_t OpenTries_ = 0;
  bool MayHaveRun_ = false;
  bool Finished_ = false;
  ExceptServer LastServer_;
};

} // namespace

void RequestSender::send(SharedRequest Request, FinalDone Done) {
  std::make_shared<Exchange>(Parts_, std::move(Request), std::move(Done))
      ->start();
}
