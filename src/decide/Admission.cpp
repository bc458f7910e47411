//===- Admission.cpp - Whether a request may wait -----------------------===//

#include "tulipweir/decide/Admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

static double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

static Duration fromSeconds(double Seconds) {
  constexpr double Longest = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, Longest)));
}

Admission::Admission(const AdmissionSettings &Settings, TimePoint Now)
    : Settings_(Settings), RateAt_(Now) {}

/// The rate that the slots promise when each is busy all the time.
static double promisedRate(const SlotView &Slots) {
  const double Each = toSeconds(Slots.ServiceTime_);
  constexpr double Shortest = 1e-6;
  return static_cast<double>(Slots.Total_) / std::max(Each, Shortest);
}

AdmissionAnswer Admission::ask(TimePoint Now, TimePoint Deadline,
                               const SlotView &Slots) const {
  AdmissionAnswer Answer;
  const bool StartsNow = Slots.Free_ > Waiting_;
  if (!StartsNow)
    Answer.ExpectedWait_ = expectWait(Now, Slots);
  const Duration Left = std::chrono::duration_cast<Duration>(Deadline - Now);
  if (Answer.ExpectedWait_ + Slots.ServiceTime_ > Left) {
    Answer.Choice_ = AdmissionChoice::TooLate;
    // It would make it once the queue is short enough for its deadline.
    const Duration Spare =
        std::max(Duration::zero(), Left - Slots.ServiceTime_);
    Answer.RetryAfter_ = clampRetry(Answer.ExpectedWait_ - Spare);
    return Answer;
  }
  if (StartsNow)
    return Answer;
  Answer.Choice_ = AdmissionChoice::Queue;
  if (Waiting_ >= Settings_.QueueLimit_) {
    Answer.Choice_ = AdmissionChoice::QueueFull;
    Answer.RetryAfter_ = clampRetry(Answer.ExpectedWait_);
  }
  return Answer;
}

void Admission::noteQueued(TimePoint Now, const SlotView &Slots) {
  // An empty queue says nothing about how fast it would drain.
  if (Waiting_ == 0) {
    Rate_ = promisedRate(Slots);
    RateAt_ = Now;
  }
  ++Waiting_;
}

void Admission::noteDrained(TimePoint Now) {
  assert(Waiting_ > 0 && "nobody waits");
  Rate_ = drainRate(Now) + 1 / toSeconds(Settings_.RateWindow_);
  RateAt_ = std::max(RateAt_, Now);
  --Waiting_;
}

void Admission::noteGivenUp() {
  assert(Waiting_ > 0 && "nobody waits");
  --Waiting_;
}

double Admission::drainRate(TimePoint Now) const {
  const double Passed = std::max(0.0, toSeconds(Now - RateAt_));
  return Rate_ * std::exp(-Passed / toSeconds(Settings_.RateWindow_));
}

Duration Admission::expectWait(TimePoint Now, const SlotView &Slots) const {
  const double Rate = Waiting_ == 0 ? promisedRate(Slots) : drainRate(Now);
  const auto Ahead = static_cast<double>(Waiting_ + 1 - Slots.Free_);
  constexpr double Slowest = 1e-9;
  return fromSeconds(Ahead / std::max(Rate, Slowest));
}

Duration Admission::clampRetry(Duration Wait) const {
  return std::clamp(Wait, Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_);
}
