//===- Admission.cpp - Admission control for one service -----------------===//

#include "tulipweir/decide/Admission.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::decide;

Admission::Admission(const AdmissionSettings &Settings, TimePoint Now)
    : Settings_(Settings), DrainRate_(Settings.RateWindow_) {
  DrainRate_.assume(0, Now);
}

void Admission::setSettings(const AdmissionSettings &Settings) {
  Settings_ = Settings;
  DrainRate_.setWindow(Settings.RateWindow_);
}

/// Returns the requests per second that the slots serve when all are busy.
static double computeNominalRate(const SlotStatus &Slots) {
  const double ServiceSeconds =
      std::chrono::duration<double>(Slots.ServiceTime_).count();
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
  if (isTooLate(Result.ExpectedWait_, Slots.ServiceTime_, Remaining)) {
    Result.Choice_ = AdmissionChoice::TooLate;
    Result.RetryAfter_ =
        computeRetryAfter(Result.ExpectedWait_, Slots.ServiceTime_, Remaining,
                          Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_);
    return Result;
  }
  if (StartsNow)
    return Result;
  Result.Choice_ = AdmissionChoice::Queue;
  if (Waiting_ >= Settings_.QueueLimit_) {
    Result.Choice_ = AdmissionChoice::QueueFull;
    Result.RetryAfter_ =
        std::clamp(Result.ExpectedWait_, Settings_.MinRetryAfter_,
                   Settings_.MaxRetryAfter_);
  }
  return Result;
}

void Admission::recordQueued(TimePoint Now, const SlotStatus &Slots) {
  // There is no measured drain rate while the queue is empty.
  if (Waiting_ == 0)
    DrainRate_.assume(computeNominalRate(Slots), Now);
  ++Waiting_;
}

void Admission::recordDequeued(TimePoint Now) {
  assert(Waiting_ > 0 && "no request is waiting");
  DrainRate_.record(1, Now);
  --Waiting_;
}

void Admission::recordAbandoned() {
  assert(Waiting_ > 0 && "no request is waiting");
  --Waiting_;
}

double Admission::drainRate(TimePoint Now) const {
  return DrainRate_.getPerSecond(Now);
}

Duration Admission::estimateWait(TimePoint Now, const SlotStatus &Slots) const {
  const double Rate =
      Waiting_ == 0 ? computeNominalRate(Slots) : drainRate(Now);
  const auto Ahead = static_cast<double>(Waiting_ + 1 - Slots.Free_);
  return tulipweir::estimateWait(Ahead, Rate);
}
