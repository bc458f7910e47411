//===- Decision.h - Decisions of the planner -------------------*- C++ -*-===//
//
// A decision holds the candidates that were compared, the choice and its
// reason. The decision stream, explain and the dump all show this value.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_DECISION_H
#define TULIPWEIR_DECIDE_DECISION_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::decide {

enum class DecisionKind : std::uint8_t {
  Place,      ///< Start a waiting task on Server_ with Reservation_.
  Reserve,    ///< Change a running attempt's reservation to Reservation_.
  Throttle,   ///< Set a running attempt to ThrottlePercent_.
  Evict,      ///< Checkpoint and stop a running attempt; the task waits again.
  Quarantine, ///< Give Server_ no new tasks until its probation.
  Readmit,    ///< End the quarantine of Server_.
  Hold,       ///< The task cannot be placed now; Reason_ says why.
};

/// Returns the stable, lower-case name shown to operators.
std::string_view getKindName(DecisionKind Kind);

/// Why a decision was taken. The names are stable; the decision's text adds the
/// figures.
enum class ReasonCode : std::uint8_t {
  BestScore,
  NoRoom,       ///< No server has enough room at the moment.
  NeverFits,    ///< No known server could hold the task even when empty.
  QuotaReached, ///< The team uses its whole quota.
  BackingOff,   ///< The task failed and waits for its next retry.
  AllQuarantined,
  UrgentWork,     ///< Evicted to make room for a task of higher priority.
  TailOverTarget, ///< A service's p99 exceeded its target.
  TailRecovered,
  UsageOverReserved,
  LearnedSize,
  FailsEveryTask,
  ProbationPassed,
  ServerLeaving,
  TailAtRisk, ///< On every server with room a service's p99 would exceed its
              ///< target.
};

std::string_view getReasonName(ReasonCode Reason);

/// A backend server that was considered, with its score or the rule that
/// excluded it.
struct Candidate {
  BackendServerId Server_;
  bool Allowed_ = false;
  double Score_ = 0; ///< Higher is better; 0 when excluded.
  /// The terms of the score, or the rule that excluded the server.
  std::string Note_;
  bool operator==(const Candidate &) const = default;
};

struct Decision {
  DecisionKind Kind_ = DecisionKind::Hold;
  ReasonCode Reason_ = ReasonCode::BestScore;
  std::optional<TaskId> Task_;
  AttemptNumber Attempt_;
  std::optional<BackendServerId> Server_;
  Resources Reservation_;
  std::uint32_t ThrottlePercent_ = 100;
  std::vector<Candidate> Candidates_; ///< A bounded number, best first.
  std::string Text_; ///< One sentence with the figures, for operators.
  bool operator==(const Decision &) const = default;
};

/// The state of one task, as an operator queries it.
struct Explanation {
  TaskId Task_;
  bool Running_ = false;
  std::optional<BackendServerId> Server_;
  Resources Declared_;
  Resources Reservation_;
  std::optional<Decision> Last_; ///< The latest decision about the task.
  std::string WhatWouldHelp_;    ///< What would let a waiting task start.
  bool operator==(const Explanation &) const = default;
};

struct ServerView {
  BackendServerId Server_;
  RackId Rack_;
  Resources Capacity_;
  Resources Reserved_;
  bool Draining_ = false;
  bool Quarantined_ = false;
  std::uint32_t Tasks_ = 0;
  bool operator==(const ServerView &) const = default;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_DECISION_H
