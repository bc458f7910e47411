//===- Time.cpp - Clocks as dependencies
//------------------------------------===//

#include "tulipweir/core/Time.h"

using namespace tulipweir;

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<WallTime>(SinceEpoch);
}
