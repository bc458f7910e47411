//===- LeaseManager.h - Expiry of task leases at the leader -----*- C++ -*-===//
//
// The leader's volatile account of task leases. One object per leadership:
// made anew after each election, once everything committed before it was
// applied, and thrown away when leadership is lost. It may also be made anew
// within a term: it then trusts nothing of its predecessor.
//
// A backend server counts a lease from when it SENT the announcement, by its
// own clock; the leader counts it from when it answers, by its own clock, and
// adds what two drifting clocks and a slow stop can make of it. So the
// leader's end is never before the real one. docs/LEASES.md has the argument.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_LEASEMANAGER_H
#define TULIPWEIR_DATACENTRE_LEASEMANAGER_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/datacentre/Leadership.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace tulipweir::datacentre {

/// Settings that every control of a data centre must share: a new leader
/// judges the leases of earlier ones by its own.
struct LeaseSettings {
  Duration Ttl_ = std::chrono::seconds(3);
  /// How far any clock's rate may be off, in millionths. 1000 is ten times
  /// what a common crystal does.
  std::uint32_t DriftPpm_ = 1000;
  /// How long a backend server may take to stop a task whose lease ran out.
  Duration StopGrace_ = std::chrono::milliseconds(200);
  bool operator==(const LeaseSettings &) const = default;

  /// Returns how long after the answer an attempt may run at most.
  Duration getMaxRunTime() const {
    return stretchForDrift(Ttl_ + StopGrace_, DriftPpm_);
  }
};

/// Not thread-safe: the leader's strand owns it.
class LeaseManager {
public:
  /// LastPlaced is the highest token of a placement that another keeper may
  /// have granted a lease for; ElectedAt a moment after the election.
  LeaseManager(const LeaseSettings &Settings, const FencingToken &LastPlaced,
               TimePoint ElectedAt);

  // Commands.

  /// Grants or renews the lease of an attempt, for the answer to a message
  /// received before Moment. False, and nothing granted, if another leader
  /// could exist by then.
  [[nodiscard]] bool renew(const TaskId &Task, AttemptNumber Attempt,
                           const LeadershipCheck &Check);

  /// Forgets an attempt that ended.
  void forget(const TaskId &Task, AttemptNumber Attempt);

  // Queries.

  /// Until when the attempt may run at most, whoever renewed it. Token is that
  /// of its placement.
  TimePoint findExpiry(const TaskId &Task, AttemptNumber Attempt,
                       const FencingToken &Token) const;

  /// Whether no lease of the attempt can still run.
  bool hasExpired(const TaskId &Task, AttemptNumber Attempt,
                  const FencingToken &Token, TimePoint Now) const {
    return Now >= findExpiry(Task, Attempt, Token);
  }

  const LeaseSettings &settings() const { return Settings_; }
  std::size_t size() const { return Leases_.size(); }

private:
  struct Lease {
    AttemptNumber Attempt_;
    TimePoint Expiry_;
  };

  const LeaseSettings Settings_;
  const FencingToken LastPlaced_;
  const TimePoint EarlierLeasesEnd_;
  std::unordered_map<TaskId, Lease> Leases_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_LEASEMANAGER_H
