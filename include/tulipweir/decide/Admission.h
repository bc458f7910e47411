//===- Admission.h - Admission control for one service ---------*- C++ -*-===//
//
// The bounded queue in front of one service. A request that cannot start
// before its deadline is refused at once, with a time after which a slot is
// likely to be free, instead of waiting first and being refused late. The
// drain rate is measured from the requests that leave the queue to start.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_ADMISSION_H
#define TULIPWEIR_DECIDE_ADMISSION_H

#include "tulipweir/core/AdmissionRules.h"
#include "tulipweir/core/Time.h"

#include <cstddef>
#include <cstdint>

namespace tulipweir::decide {

enum class AdmissionChoice : std::uint8_t {
  Start,     ///< Nothing waits and a slot is free: send the request now.
  Queue,     ///< Append the request to the queue.
  QueueFull, ///< Refuse: the queue is at its limit.
  TooLate,   ///< Refuse: the request would not start before its deadline.
};

struct AdmissionResult {
  AdmissionChoice Choice_ = AdmissionChoice::Start;
  Duration ExpectedWait_{}; ///< Expected time until the request starts.
  Duration RetryAfter_{};   ///< When to retry a refused request.
  bool operator==(const AdmissionResult &) const = default;
};

/// The slots of one service that an entry may use.
struct SlotStatus {
  std::size_t Free_ = 0;   ///< Free slots over all granted servers.
  std::size_t Total_ = 0;  ///< Granted slots over all servers.
  Duration ServiceTime_{}; ///< Expected duration of one request.
  bool operator==(const SlotStatus &) const = default;
};

struct AdmissionSettings {
  std::size_t QueueLimit_ = 256; ///< Requests that may wait.
  /// Bounds of Retry-After.
  Duration MinRetryAfter_ = std::chrono::milliseconds(50);
  Duration MaxRetryAfter_ = std::chrono::seconds(30);
  /// Time over which the drain rate is averaged.
  Duration RateWindow_ = std::chrono::seconds(2);
  bool operator==(const AdmissionSettings &) const = default;
};

/// Counts the waiting requests; the caller keeps the queue itself. Not
/// thread-safe.
class Admission {
public:
  Admission(const AdmissionSettings &Settings, TimePoint Now);

  /// Returns what to do with a new request. Changes nothing: the caller reports
  /// a queued request with recordQueued.
  AdmissionResult evaluate(TimePoint Now, TimePoint Deadline,
                           const SlotStatus &Slots) const;

  /// Records that a request was put into the queue.
  void recordQueued(TimePoint Now, const SlotStatus &Slots);
  /// Records that a waiting request got a slot and left the queue.
  void recordDequeued(TimePoint Now);
  /// Records that a waiting request was abandoned (deadline passed or caller
  /// gone).
  void recordAbandoned();
  void setSettings(const AdmissionSettings &Settings);

  std::size_t waiting() const { return Waiting_; }
  /// Returns the requests that leave the queue per second, measured since it
  /// last became non-empty. The first estimate is the nominal rate of the
  /// slots.
  double drainRate(TimePoint Now) const;

private:
  Duration estimateWait(TimePoint Now, const SlotStatus &Slots) const;

  AdmissionSettings Settings_;
  std::size_t Waiting_ = 0;
  DrainRate DrainRate_; ///< Requests; decays while requests wait.
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_ADMISSION_H
