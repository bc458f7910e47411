//===- Admission.cpp - Whether a request may wait -----------------------===//

#include "tulipweir/decide/Admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

static double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

static Duration fromSeconds(double Seconds) {
  constexpr double Longest = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, Longest)));
}

Admission::Admission(const AdmissionSettings &Settings, TimePoint Now)
    : Settings_(Settings), DrainRateAt_(Now) {}

/// The rate that the slots promise when each is busy all the time.
static double computeNominalRate(const SlotStatus &Slots) {
  const double ServiceSeconds = toSeconds(Slots.ServiceTime_);
  constexpr double Shortest = 1e-6;
  return static_cast<double>(Slots.Total_) / std::max(ServiceSeconds, Shortest);
}

AdmissionResult Admission::evaluate(TimePoint Now, TimePoint Deadline,
                                    const SlotStatus &Slots) const {
  AdmissionResult Answer;
  const bool StartsNow = Slots.Free_ > Waiting_;
  if (!StartsNow)
    Answer.ExpectedWait_ = estimateWait(Now, Slots);
  const Duration Remaining =
      std::chrono::duration_cast<Duration>(Deadline - Now);
  if (Answer.ExpectedWait_ + Slots.ServiceTime_ > Remaining) {
    Answer.Choice_ = AdmissionChoice::TooLate;
    // It would make it once the queue is short enough for its deadline.
    const Duration Slack =
        std::max(Duration::zero(), Remaining - Slots.ServiceTime_);
    Answer.RetryAfter_ = clampRetryAfter(Answer.ExpectedWait_ - Slack);
    return Answer;
  }
  if (StartsNow)
    return Answer;
  Answer.Choice_ = AdmissionChoice::Queue;
  if (Waiting_ >= Settings_.QueueLimit_) {
    Answer.Choice_ = AdmissionChoice::QueueFull;
    Answer.RetryAfter_ = clampRetryAfter(Answer.ExpectedWait_);
  }
  return Answer;
}

void Admission::recordQueued(TimePoint Now, const SlotStatus &Slots) {
  // An empty queue says nothing about how fast it would drain.
  if (Waiting_ == 0) {
    DrainRate_ = computeNominalRate(Slots);
    DrainRateAt_ = Now;
  }
  ++Waiting_;
}

void Admission::recordDequeued(TimePoint Now) {
  assert(Waiting_ > 0 && "nobody waits");
  DrainRate_ = drainRate(Now) + 1 / toSeconds(Settings_.RateWindow_);
  DrainRateAt_ = std::max(DrainRateAt_, Now);
  --Waiting_;
}

void Admission::recordAbandoned() {
  assert(Waiting_ > 0 && "nobody waits");
  --Waiting_;
}

double Admission::drainRate(TimePoint Now) const {
  const double Elapsed = std::max(0.0, toSeconds(Now - DrainRateAt_));
  return DrainRate_ * std::exp(-Elapsed / toSeconds(Settings_.RateWindow_));
}

Duration Admission::estimateWait(TimePoint Now, const SlotStatus &Slots) const {
  const double Rate =
      Waiting_ == 0 ? computeNominalRate(Slots) : drainRate(Now);
  const auto Ahead = static_cast<double>(Waiting_ + 1 - Slots.Free_);
  constexpr double Slowest = 1e-9;
  return fromSeconds(Ahead / std::max(Rate, Slowest));
}

Duration Admission::clampRetryAfter(Duration Wait) const {
  return std::clamp(Wait, Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_);
}
