#include "jobservice/ProcessorProbe.h"

#include <algorithm>
#include <cstdint>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// Each step needs the result of the one before, which takes some two
/// nanoseconds at 3 GHz, whatever else the core's other thread does: 30 us in
/// all, long enough to be timed, a hundredth of a percent of a core.
static constexpr std::uint64_t WorkSteps = 15'000;
/// Of a linear congruential generator: no step can be left out.
static constexpr std::uint64_t Multiplier = 6364136223846793005U;
static constexpr std::uint64_t Increment = 1442695040888963407U;
static constexpr unsigned MixShift = 29;

static std::uint64_t runWorkload(std::uint64_t Value) {
  for (std::uint64_t I = 0; I < WorkSteps; ++I) {
    Value = Value * Multiplier + Increment;
    Value ^= Value >> MixShift;
  }
  return Value;
}

Duration jobservice::timeWork(const Clock &Time) {
  const TimePoint StartedAt = Time.now();
  [[maybe_unused]] const volatile std::uint64_t Result = runWorkload(
      static_cast<std::uint64_t>(StartedAt.time_since_epoch().count()));
  return Time.now() - StartedAt;
}

void ProcessorProbe::addSample(Duration WorkTime) {
  Samples_.at(Recorded_ % SampleCount) = WorkTime;
  ++Recorded_;
  const Duration Current = getWorkTime();
  if (Current > Duration(0) &&
      (BaselineWorkTime_ == Duration(0) || Current < BaselineWorkTime_))
    BaselineWorkTime_ = Current;
}

Duration ProcessorProbe::getWorkTime() const {
  if (Recorded_ < SampleCount)
    return Duration(0);
  return *std::min_element(Samples_.begin(), Samples_.end());
}
