#include "jobservice/ProcessorProbe.h"

#include <algorithm>
#include <cstdint>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// Each step depends on the result of the previous one and takes about 2 ns at
/// 3 GHz, regardless of the load on the core's other hardware thread. All steps
/// take 30 us: long enough to be timed, and at four runs a second about 0.01%
/// of a core.
static constexpr std::uint64_t WorkSteps = 15'000;
/// Parameters of a linear congruential generator, whose steps the compiler
/// cannot skip.
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
