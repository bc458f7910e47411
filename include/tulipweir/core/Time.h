//===- Time.h - Clocks as dependencies -------------------------*- C++ -*-===//
//
// Pure modules take the time as an argument. Programs read it from a Clock
// that is handed in, so that tests drive it by hand.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_TIME_H
#define TULIPWEIR_CORE_TIME_H

#include <chrono>
#include <cstdint>

namespace tulipweir {

using Duration = std::chrono::nanoseconds;

/// A monotonic clock that also counts the time for which the machine is
/// suspended. The steady clock does not, so a lease judged by it would last
/// longer here than elsewhere.
struct BootClock {
  // NOLINTBEGIN(readability-identifier-naming): as the library names them.
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now() noexcept;
};

/// A reading of this machine's BootClock; never sent to another process.
using TimePoint = BootClock::time_point;
/// Milliseconds since 1970, UTC; sent between processes, never used for leases.
using WallTime = std::chrono::milliseconds;

/// A source of both times. Implementations are thread-safe.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// A clock that moves only when told to. Not thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now_; }
  WallTime wallNow() const override { return Wall_; }
  void advance(Duration By) {
    Now_ += By;
    Wall_ += std::chrono::duration_cast<WallTime>(By);
  }
  /// Sets the wall clock alone, as an operator or a time service does.
  void setWall(WallTime Wall) { Wall_ = Wall; }

private:
  TimePoint Now_{std::chrono::hours(1)};
  WallTime Wall_{std::chrono::hours(24 * 365 * 50)};
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_TIME_H
