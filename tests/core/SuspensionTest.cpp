//===- SuspensionTest.cpp - Time while a machine is suspended -------------===//
//
// Guards against leases that last longer on a machine that was suspended, as
// they were judged by a clock that stands still meanwhile. The program's own
// clock_gettime plays the suspension: it moves CLOCK_BOOTTIME and the time of
// day, and no other clock.
//
//===----------------------------------------------------------------------===//

#include "tulipweir/core/Time.h"

#include <gtest/gtest.h>

#include <ctime>
#include <sys/syscall.h>
#include <type_traits>
#include <unistd.h>

using namespace tulipweir;
using namespace std::chrono_literals;

static std::time_t SuspendedSeconds = 0;

// NOLINTNEXTLINE(readability-identifier-naming): the library's own name.
extern "C" int clock_gettime(clockid_t Which, timespec *To) noexcept {
  const long Code = ::syscall(SYS_clock_gettime, Which, To);
  const bool Counts = Which == CLOCK_BOOTTIME || Which == CLOCK_REALTIME;
  if (Code == 0 && Counts)
    To->tv_sec += SuspendedSeconds;
  return static_cast<int>(Code);
}

TEST(SuspensionTest, LeasesRunOnWhileTheMachineIsSuspended) {
  const SystemClock Time;
  const TimePoint Before = Time.now();
  SuspendedSeconds = 8;
  const TimePoint After = Time.now();
  SuspendedSeconds = 0;
  EXPECT_GE(After - Before, 8s);
}

// A reading of the steady clock must not be compared with a lease's end.
static_assert(
    !std::is_convertible_v<std::chrono::steady_clock::time_point, TimePoint>);
