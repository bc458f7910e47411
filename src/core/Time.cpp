#include "tulipweir/core/Time.h"

#include <ctime>

using namespace tulipweir;

BootClock::time_point BootClock::now() noexcept {
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

TimePoint SystemClock::now() const { return BootClock::now(); }

WallTime SystemClock::wallNow() const {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<WallTime>(SinceEpoch);
}
