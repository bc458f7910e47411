//===- Admission.h - Whether a request may wait ----------------*- C++ -*-===//
//
// The bounded queue in front of one service. A request that cannot start
// before its deadline is refused at once, with the time after which a place is
// likely; it is never held back to be refused late. The drain rate is
// measured from the starts out of the queue.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_ADMISSION_H
#define TULIPWEIR_DECIDE_ADMISSION_H

#include "tulipweir/core/Time.h"

#include <cstddef>
#include <cstdint>

namespace tulipweir::decide {

enum class AdmissionChoice : std::uint8_t {
  Start,     ///< Nothing waits and a slot is free: send it now.
  Queue,     ///< Put it last in the queue.
  QueueFull, ///< Refuse: the queue is at its limit.
  TooLate,   ///< Refuse: it would not start before its deadline.
};

struct AdmissionResult {
  AdmissionChoice Choice_ = AdmissionChoice::Start;
  Duration ExpectedWait_{}; ///< Until it would start.
  Duration RetryAfter_{};   ///< Of a refusal: when to come back.
  bool operator==(const AdmissionResult &) const = default;
};

/// What the slots of one service look like to the entry that asks.
struct SlotStatus {
  std::size_t Free_ = 0;   ///< Free over all granted servers.
  std::size_t Total_ = 0;  ///< Granted over all servers.
  Duration ServiceTime_{}; ///< How long one request is expected to run.
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

/// Counts who waits; the caller keeps the queue itself. Not thread-safe.
class Admission {
public:
  Admission(const AdmissionSettings &Settings, TimePoint Now);

  /// Says what to do with a request that arrives. Changes nothing: tell what
  /// was done with recordQueued.
  AdmissionResult evaluate(TimePoint Now, TimePoint Deadline,
                           const SlotStatus &Slots) const;

  /// The request was put into the queue.
  void recordQueued(TimePoint Now, const SlotStatus &Slots);
  /// A waiting request got a slot and left the queue.
  void recordDequeued(TimePoint Now);
  /// A waiting request was given up (deadline, caller gone).
  void recordAbandoned();
  void setSettings(const AdmissionSettings &Settings) { Settings_ = Settings; }

  std::size_t waiting() const { return Waiting_; }
  /// Requests that leave the queue per second, measured since it last became
  /// non-empty; it starts from what the slots promise.
  double drainRate(TimePoint Now) const;

private:
  Duration estimateWait(TimePoint Now, const SlotStatus &Slots) const;
  Duration clampRetryAfter(Duration Wait) const;

  AdmissionSettings Settings_;
  std::size_t Waiting_ = 0;
  double DrainRate_ =
      0; ///< Per second, as of DrainRateAt_; decays while some wait.
  TimePoint DrainRateAt_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_ADMISSION_H
