//===- RelayWindow.h - Bounds the reports in flight of a relay --*- C++ -*-===//
//
// Bounds the reports that a relay has on their way to the leader. A window
// follows the time that answers take, with a floor that keeps the leader busy
// where its commits are slow. A limit below it is halved whenever the leader
// rejects reports as expired or does not answer, so that a leader that is slow
// by any factor handles what it gets in time.
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
  /// A batch was answered that took so long; the leader had it in hand for
  /// Handled of that.
  void recordAnswered(std::size_t Reports, Duration Latency, Duration Handled);
  /// A batch sent at SentAt was rejected as expired, or not answered at all.
  void recordLost(std::size_t Reports, TimePoint SentAt, TimePoint Now);

  // Queries.

  /// Returns how many more reports may be sent.
  std::size_t getAvailable() const;
  /// Returns how many more may be sent if they are urgent. Relays have similar
  /// windows but different numbers of servers.
  std::size_t getAvailableForUrgent() const;
  /// Returns the most that a single batch should make the leader do.
  std::size_t getBatchLimit() const;

private:
  std::size_t getAvailableBelow(std::size_t Maximum) const;
  void adapt(Duration Latency, Duration Waited);
  void raiseLimit(std::size_t Answered, bool IsFast);

  static constexpr std::size_t InitialWindow = 8;
  static constexpr std::size_t MaxWindow = 2048;

  std::size_t InFlight_ = 0; ///< Reports that have no answer yet.
  std::size_t Window_ = InitialWindow;
  std::size_t Limit_ = MaxWindow;
  TimePoint LimitReducedAt_{};
  std::size_t LimitCredit_ = 0; ///< Reports answered since it was changed.
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_RELAYWINDOW_H
