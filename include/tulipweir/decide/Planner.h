//===- Planner.h - Placement, throttling and eviction of tasks --*- C++ -*-===//
//
// The planner decides for the leader of a data centre. It receives events in
// the order in which they were committed or measured, and returns decisions on
// request. It changes nothing by itself: a decision counts only once its
// committed effect is reported back (recordPlacement, recordEnd). It uses no
// sockets, clocks, JSON or threads.
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
  /// Reserved for the services on the server; never given to tasks.
  Resources ServiceShare_;
  bool Draining_ = false;
  bool operator==(const ServerInfo &) const = default;
};

/// A task that waits to be placed.
struct TaskInfo {
  TaskId Task_;
  AttemptNumber NextAttempt_;
  TeamId Team_;
  JobClassId Class_;
  /// Higher goes first; urgent from Policy::UrgentPriority_ on.
  std::uint32_t Priority_ = 0;
  Resources Declared_;
  bool operator==(const TaskInfo &) const = default;
};

/// Why an attempt ended, as far as the planner distinguishes it.
enum class EndReason : std::uint8_t {
  Finished,
  Failed,
  Lost,
  Evicted,
  Cancelled,
};

/// A usage measurement of one attempt. It may arrive late.
struct UsageSample {
  TaskId Task_;
  AttemptNumber Attempt_;
  BackendServerId Server_;
  Resources Usage_;
  Duration WorkSinceCheckpoint_{};
  TimePoint SampledAt_{}; ///< When the sample was taken, not when it arrived.
};

/// A measurement of one service on one backend server. It may arrive late.
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

  // Commands: events that the leader reports.

  void setPolicy(const Policy &Settings);
  void upsertServer(const ServerInfo &Server);
  /// Removes a server. Its attempts are ended with recordEnd before or after.
  void removeServer(const BackendServerId &Server);
  void addWaiting(const TaskInfo &Task, TimePoint Now);
  /// Removes a cancelled waiting task. Running tasks end with recordEnd.
  void removeWaiting(const TaskId &Task);
  /// Records a committed placement. Also rebuilds the state after an election.
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

  /// Returns at most Budget decisions, most urgent first. The work is
  /// proportional to Budget, not to the number of tasks or servers. A decision
  /// is not returned again until its effect was reported back or its retry time
  /// passed.
  std::vector<Decision> decide(TimePoint Now, std::size_t Budget);

  /// Returns why a task waits or runs where it does; nullopt if it is unknown.
  std::optional<Explanation> explain(const TaskId &Task, TimePoint Now) const;

  /// Returns all servers with their reserved resources, for the dump.
  std::vector<ServerView> listServers() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_PLANNER_H
