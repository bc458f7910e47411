//===- IncarnationConflicts.h - Which incarnation is the latest -*- C++ -*-===//
//
// A report of an unknown incarnation, of a server or at an address for which
// another incarnation is registered, comes either from a server that has
// started again or is a delayed report of an earlier incarnation. Sequence
// numbers and start times do not tell, as they may go back. A running server
// answers: it reports again soon after the leader's answer.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H
#define TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/ServerReport.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Decides when an incarnation may replace a registered one. Not thread-safe.
class IncarnationConflicts {
public:
  /// An unknown incarnation that would replace a registered one.
  struct Claim {
    std::string Successor_;
    std::string Registered_;
    /// Whether one server sent the reports of both, so that only its latest
    /// incarnation runs. Otherwise they report the same address.
    bool AreOfSameServer_ = false;
    auto operator<=>(const Claim &) const = default;
  };

  void reset() { Claims_.clear(); }

  /// Records a report of the successor, which was received at ReceivedAt and
  /// is answered now. The registered incarnation was last heard at
  /// RegisteredHeard. Returns true if the claim begins now: the caller then has
  /// the relays flush their reports of the registered incarnation.
  bool recordReport(const Claim &Value, const ServerReport &Report,
                    TimePoint ReceivedAt, TimePoint RegisteredHeard,
                    TimePoint Now);
  /// Records that all relays have flushed their reports for the claim that
  /// began at Begin.
  void recordFlush(const Claim &Value, TimePoint Begin);

  /// Whether the successor has proved to be the later one.
  bool mayTakeOver(const Claim &Value, TimePoint Now) const;

  void forget(const std::string &Successor);

private:
  struct Progress {
    /// Since when the successor has reported while the other one is silent.
    TimePoint Begin_;
    bool IsFlushed_ = false;
    /// The successor has reported after an answer to it.
    bool IsRunning_ = false;
    // The last report of the successor.
    std::uint64_t LastSequence_ = 0;
    std::uint64_t LastClockMs_ = 0;
    TimePoint AnsweredAt_{};
  };
  std::map<Claim, Progress> Claims_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H
