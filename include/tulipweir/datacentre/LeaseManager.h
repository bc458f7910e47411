//===- LeaseManager.h - Expiry of task leases at the leader -----*- C++ -*-===//
//
// Holds the leader's volatile state of task leases. One object exists per
// leadership: it is created after an election once everything committed before
// it is applied, and destroyed when leadership is lost. A new object may also
// replace it within a term, and then assumes nothing about the leases that the
// previous one granted.
//
// A backend server counts a lease from the time at which it SENT the
// announcement, by its own clock. The leader counts from the time of its
// reply, by its own clock, and adds the maximum clock drift and the time to
// stop a task. The expiry at the leader is therefore never before the real
// one. docs/LEASES.md has the proof.
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

/// Settings that all control processes of a data centre must share, because a
/// new leader computes the expiry of earlier leases from its own settings.
struct LeaseSettings {
  Duration Ttl_ = std::chrono::seconds(3);
  /// Maximum error of any clock's rate, in millionths. 1000 is ten times the
  /// error of a common crystal.
  std::uint32_t DriftPpm_ = 1000;
  /// The longest time that a backend server takes to stop a task whose lease
  /// expired.
  Duration StopGrace_ = std::chrono::milliseconds(200);
  bool operator==(const LeaseSettings &) const = default;

  /// Returns the longest time that an attempt can run after the reply that
  /// granted its lease.
  Duration getMaxRunTime() const {
    return stretchForDrift(Ttl_ + StopGrace_, DriftPpm_);
  }
};

/// Not thread-safe: only the leader's strand uses it.
class LeaseManager {
public:
  /// LastPlaced is the highest token of a placement that another LeaseManager
  /// may have granted a lease for. ElectedAt is a time after the election.
  LeaseManager(const LeaseSettings &Settings, const FencingToken &LastPlaced,
               TimePoint ElectedAt);

  // Commands.

  /// Grants or renews the lease of an attempt, in the reply to a message
  /// received before Check. Returns false and grants nothing if another leader
  /// could exist by then.
  [[nodiscard]] bool renew(const TaskId &Task, AttemptNumber Attempt,
                           const LeadershipCheck &Check);

  /// Removes the lease of an attempt that ended.
  void forget(const TaskId &Task, AttemptNumber Attempt);

  // Queries.

  /// Returns the time after which the attempt cannot run, including leases of
  /// earlier leaders. Token is the fencing token of its placement.
  TimePoint findExpiry(const TaskId &Task, AttemptNumber Attempt,
                       const FencingToken &Token) const;

  /// Returns whether every lease of the attempt has expired.
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
