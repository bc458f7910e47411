//===- Decision.cpp - Decisions of the planner ---------------------------===//

#include "tulipweir/decide/Decision.h"

#include <array>
#include <cassert>
#include <cstddef>

using namespace tulipweir;
using namespace tulipweir::decide;

std::string_view decide::getKindName(DecisionKind Kind) {
  static constexpr std::array<std::string_view, 7> Names = {
      "place", "reserve", "throttle", "evict", "quarantine", "readmit", "hold"};
  const auto Position = static_cast<std::size_t>(Kind);
  assert(Position < Names.size() && "decision kind out of range");
  return Names[Position];
}

std::string_view decide::getReasonName(ReasonCode Reason) {
  static constexpr std::array<std::string_view, 15> Names = {
      "best_score",          "no_room",          "never_fits",
      "quota_reached",       "backing_off",      "all_quarantined",
      "urgent_work",         "tail_over_target", "tail_recovered",
      "usage_over_reserved", "learned_size",     "fails_every_task",
      "probation_passed",    "server_leaving"};
  const auto Position = static_cast<std::size_t>(Reason);
  assert(Position < Names.size() && "reason out of range");
  return Names[Position];
}
