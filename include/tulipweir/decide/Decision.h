//===- Decision.h - Decisions as values ------------------------*- C++ -*-===//
//
// A decision says what was seen, which candidates there were, what was chosen
// and why. The decision stream, explain and the dump all show this value.
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
  Evict,      ///< Checkpoint and stop a running attempt; it waits again.
  Quarantine, ///< Give Server_ no new tasks until probation.
  Readmit,    ///< End a quarantine.
  Hold,       ///< Nothing can be done for the task now; Reason_ says why.
};

/// Returns the stable, lower-case name, as shown to operators.
std::string_view getKindName(DecisionKind Kind);

/// Why a decision was taken. Stable names; the text adds the figures.
enum class ReasonCode : std::uint8_t {
  BestScore,
  NoRoom,       ///< Every server lacks room at the moment.
  NeverFits,    ///< No server known could ever hold it.
  QuotaReached, ///< The team holds its whole quota.
  BackingOff,   ///< It failed and waits before the next try.
  AllQuarantined,
  UrgentWork,     ///< Evicted to make room for a higher priority.
  TailOverTarget, ///< A service's p99 stood over its target.
  TailRecovered,
  UsageOverReserved,
  LearnedSize,
  FailsEveryTask,
  ProbationPassed,
  ServerLeaving,
  TailAtRisk, ///< Every server with room would get a service's tail over its
              ///< target.
};

std::string_view getReasonName(ReasonCode Reason);

/// A backend server that was looked at, and its score or what ruled it out.
struct Candidate {
  BackendServerId Server_;
  bool Allowed_ = false;
  double Score_ = 0; ///< Higher is better; 0 when ruled out.
  std::string Note_; ///< The score's parts, or the rule that ruled it out.
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
  std::vector<Candidate> Candidates_; ///< At most a handful, best first.
  std::string Text_; ///< One sentence with the figures, for people.
  bool operator==(const Decision &) const = default;
};

/// The state of one task as an operator asks for it.
struct Explanation {
  TaskId Task_;
  bool Running_ = false;
  std::optional<BackendServerId> Server_;
  Resources Declared_;
  Resources Reservation_;
  std::optional<Decision> Last_; ///< The latest decision about it.
  std::string WhatWouldHelp_;    ///< What would let a waiting task run.
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
