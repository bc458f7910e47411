//===- Planner.h - Where tasks run, and what gives way ---------*- C++ -*-===//
//
// The decisions of a data centre's leader. It is told events in the order in
// which they were committed or measured, and asked for decisions; it changes
// nothing by itself: a decision counts only once its committed effect is told
// back (recordPlacement, recordEnd). No sockets, clocks, JSON or threads
// inside.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_PLANNER_H
#define TULIPWEIR_DECIDE_PLANNER_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/decide/Decision.h"
#include "tulipweir/decide/Policy.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace tulipweir::decide {

/// A backend server as the planner sees it.
struct ServerInfo {
  BackendServerId Server_;
  RackId Rack_;
  Resources Capacity_;
  /// Set aside for the services it serves; never given to tasks.
  Resources ServiceShare_;
  bool Draining_ = false;
  bool operator==(const ServerInfo &) const = default;
};

/// A task that waits for a place.
struct TaskInfo {
  TaskId Task_;
  AttemptNumber NextAttempt_;
  TeamId Team_;
  JobClassId Class_;
  std::uint32_t Priority_ = 0; ///< Higher goes first; urgent from the policy.
  Resources Declared_;
  bool operator==(const TaskInfo &) const = default;
};

/// Why an attempt ended, as far as the decisions care.
enum class EndReason : std::uint8_t {
  Finished,
  Failed,
  Lost,
  Evicted,
  Cancelled,
};

/// A late measurement of one attempt.
struct UsageSample {
  TaskId Task_;
  AttemptNumber Attempt_;
  BackendServerId Server_;
  Resources Usage_;
  Duration WorkSinceCheckpoint_{};
  TimePoint SampledAt_{}; ///< When it was taken, not when it arrived.
};

/// A late measurement of one service on one backend server.
struct ServiceSample {
  BackendServerId Server_;
  ServiceId Service_;
  std::uint32_t Requests_ = 0;
  Duration P99_{};
  std::uint32_t LoadPercent_ = 0;
  TimePoint SampledAt_{};
};

/// Not thread-safe: the leader's planning strand owns it.
class Planner {
public:
  Planner(const Policy &Settings, std::uint64_t Seed);
  ~Planner();
  Planner(const Planner &) = delete;
  Planner &operator=(const Planner &) = delete;

  // Commands: events told to the planner.

  void setPolicy(const Policy &Settings);
  void upsertServer(const ServerInfo &Server);
  /// Its attempts must have been ended with recordEnd before or after.
  void removeServer(const BackendServerId &Server);
  void addWaiting(const TaskInfo &Task, TimePoint Now);
  /// Forgets a waiting task (cancelled). Running ones end with recordEnd.
  void removeWaiting(const TaskId &Task);
  /// A placement was committed. Also used to rebuild after an election.
  void recordPlacement(const TaskInfo &Task, AttemptNumber Attempt,
                       const BackendServerId &Server,
                       const Resources &Reservation, TimePoint Now);
  void updateReservation(const TaskId &Task, AttemptNumber Attempt,
                         const Resources &Reservation);
  void updateThrottle(const TaskId &Task, AttemptNumber Attempt,
                      std::uint32_t Percent, TimePoint Now);
  void recordEnd(const TaskId &Task, AttemptNumber Attempt, EndReason Reason,
                 TimePoint Now);
  void addUsageSample(const UsageSample &Sample);
  void addServiceSample(const ServiceSample &Sample);

  // Queries.

  /// Returns at most Budget decisions for now, most urgent first. Bounded
  /// work: proportional to Budget, not to all tasks or servers. The same
  /// decision is not returned again until its effect was told back or its
  /// retry time passed.
  std::vector<Decision> decide(TimePoint Now, std::size_t Budget);

  /// Why this task waits or stands where it stands; nullopt if unknown.
  std::optional<Explanation> explain(const TaskId &Task, TimePoint Now) const;

  /// All servers with what is reserved, for the dump.
  std::vector<ServerView> listServers() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_PLANNER_H
