#include "tulipweir/core/AdmissionRules.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;

/// Work per second below which a queue counts as standing still.
static constexpr double MinPerSecond = 1e-9;
/// The longest wait that is told apart, in seconds.
static constexpr double MaxWaitSeconds = 3600;

static double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double DrainRate::getDecay(TimePoint Now) const {
  return std::exp(-std::max(0.0, toSeconds(Now - At_)) / toSeconds(Window_));
}

void DrainRate::reset(TimePoint Now) {
  Work_ = 0;
  ObservedSeconds_ = 0;
  At_ = Now;
}

void DrainRate::assume(double PerSecond, TimePoint Now) {
  ObservedSeconds_ = toSeconds(Window_);
  Work_ = PerSecond * ObservedSeconds_;
  At_ = Now;
}

void DrainRate::record(double Work, TimePoint Now) {
  ObservedSeconds_ = toSeconds(getObservedTime(Now));
  Work_ = Work_ * getDecay(Now) + Work;
  At_ = std::max(At_, Now);
}

void DrainRate::skip(TimePoint Now) { At_ = std::max(At_, Now); }

void DrainRate::setWindow(Duration Window) {
  const double Factor = toSeconds(Window) / toSeconds(Window_);
  Work_ *= Factor;
  ObservedSeconds_ *= Factor;
  Window_ = Window;
}

double DrainRate::getPerSecond(TimePoint Now) const {
  const double Observed = toSeconds(getObservedTime(Now));
  return Observed > 0 ? Work_ * getDecay(Now) / Observed : 0;
}

Duration DrainRate::getObservedTime(TimePoint Now) const {
  const double Window = toSeconds(Window_);
  const double Observed = Window - (Window - ObservedSeconds_) * getDecay(Now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Observed));
}

Duration tulipweir::estimateWait(double Work, double PerSecond) {
  const double Seconds = Work / std::max(PerSecond, MinPerSecond);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxWaitSeconds)));
}

Duration tulipweir::computeRetryAfter(Duration Wait, Duration ServiceTime,
                                      Duration Remaining, Duration Least,
                                      Duration Most) {
  const Duration Slack = std::max(Duration::zero(), Remaining - ServiceTime);
  return std::clamp(Wait - Slack, Least, Most);
}
