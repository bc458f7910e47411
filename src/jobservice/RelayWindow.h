//===- RelayWindow.h - Bounds the reports in flight of a relay --*- C++ -*-===//
//
// Bounds the reports that a relay has in flight to the leader. A window adapts
// to the latency of answers, with a minimum that keeps the leader busy if its
// commits are slow. A limit below the window is halved whenever the leader
// rejects reports as expired or does not answer, so that a leader that is slow
// by any factor handles the reports that it gets in time.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_RELAYWINDOW_H
#define TULIPWEIR_SRC_JOBSERVICE_RELAYWINDOW_H

#include "tulipweir/core/Time.h"

#include <cstddef>

namespace tulipweir::jobservice {

/// Not thread-safe.
class RelayWindow {
public:
  // Commands.

  void recordSent(std::size_t Reports) { InFlight_ += Reports; }
  /// Records that a batch was answered after Latency, of which the leader spent
  /// Handled on handling it.
  void recordAnswered(std::size_t Reports, Duration Latency, Duration Handled);
  /// Records that a batch sent at SentAt was rejected as expired or not
  /// answered.
  void recordLost(std::size_t Reports, TimePoint SentAt, TimePoint Now);

  // Queries.

  /// Returns how many more reports may be sent.
  std::size_t getAvailable() const;
  /// Returns how many more urgent reports may be sent. Urgent reports may
  /// exceed the window, as relays have similar windows but different numbers of
  /// servers.
  std::size_t getAvailableForUrgent() const;
  /// Returns the most reports that a single batch should make the leader
  /// handle.
  std::size_t getBatchLimit() const;

private:
  /// Returns how many more reports fit into a window of Maximum.
  std::size_t getAvailableInWindow(std::size_t Maximum) const;
  void adapt(Duration Latency, Duration Waited);
  void raiseLimit(std::size_t Answered, bool IsFast);

  static constexpr std::size_t InitialWindow = 8;
  static constexpr std::size_t MaxWindow = 2048;

  std::size_t InFlight_ = 0; ///< Reports without an answer so far.
  std::size_t Window_ = InitialWindow;
  std::size_t Limit_ = MaxWindow;
  TimePoint LimitReducedAt_{};
  /// Reports answered since the limit was last raised.
  std::size_t LimitCredit_ = 0;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_RELAYWINDOW_H
