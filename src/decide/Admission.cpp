//===- Admission.cpp - Admission control for one service -----------------===//

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
  constexpr double MaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxSeconds)));
}

Admission::Admission(const AdmissionSettings &Settings, TimePoint Now)
    : Settings_(Settings), DrainRateAt_(Now) {}

/// Returns the requests per second that the slots serve when all are busy.
static double computeNominalRate(const SlotStatus &Slots) {
  const double ServiceSeconds = toSeconds(Slots.ServiceTime_);
  constexpr double MinSeconds = 1e-6;
  return static_cast<double>(Slots.Total_) /
         std::max(ServiceSeconds, MinSeconds);
}

AdmissionResult Admission::evaluate(TimePoint Now, TimePoint Deadline,
                                    const SlotStatus &Slots) const {
  AdmissionResult Result;
  const bool StartsNow = Slots.Free_ > Waiting_;
  if (!StartsNow)
    Result.ExpectedWait_ = estimateWait(Now, Slots);
  const Duration Remaining =
      std::chrono::duration_cast<Duration>(Deadline - Now);
  if (Result.ExpectedWait_ + Slots.ServiceTime_ > Remaining) {
    Result.Choice_ = AdmissionChoice::TooLate;
    // The request would meet its deadline once the queue is short enough.
    const Duration Slack =
        std::max(Duration::zero(), Remaining - Slots.ServiceTime_);
    Result.RetryAfter_ = clampRetryAfter(Result.ExpectedWait_ - Slack);
    return Result;
  }
  if (StartsNow)
    return Result;
  Result.Choice_ = AdmissionChoice::Queue;
  if (Waiting_ >= Settings_.QueueLimit_) {
    Result.Choice_ = AdmissionChoice::QueueFull;
    Result.RetryAfter_ = clampRetryAfter(Result.ExpectedWait_);
  }
  return Result;
}

void Admission::recordQueued(TimePoint Now, const SlotStatus &Slots) {
  // There is no measured drain rate while the queue is empty.
  if (Waiting_ == 0) {
    DrainRate_ = computeNominalRate(Slots);
    DrainRateAt_ = Now;
  }
  ++Waiting_;
}

void Admission::recordDequeued(TimePoint Now) {
  assert(Waiting_ > 0 && "no request is waiting");
  DrainRate_ = drainRate(Now) + 1 / toSeconds(Settings_.RateWindow_);
  DrainRateAt_ = std::max(DrainRateAt_, Now);
  --Waiting_;
}

void Admission::recordAbandoned() {
  assert(Waiting_ > 0 && "no request is waiting");
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
  constexpr double MinRate = 1e-9;
  return fromSeconds(Ahead / std::max(Rate, MinRate));
}

Duration Admission::clampRetryAfter(Duration Wait) const {
  return std::clamp(Wait, Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_);
}
