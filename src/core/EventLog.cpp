#include "tulipweir/core/EventLog.h"

#include <array>

using namespace tulipweir;

std::string_view tulipweir::getEventName(EventKind Kind) {
  // In the order of the enumeration.
  static constexpr std::array<std::string_view, EventKinds> Names = {
      "process_started",
      "process_stopping",
      "settings_reloaded",
      "dependency_lost",
      "dependency_regained",
      "call_answered",
      "job_accepted",
      "job_refused",
      "job_ended",
      "job_cancelled",
      "task_started",
      "task_waiting",
      "room_unused",
      "room_reserved",
      "task_ended",
      "task_stopped",
      "task_paced",
      "task_absent",
      "task_suspected",
      "server_seen",
      "server_restarted",
      "server_waits",
      "server_draining",
      "server_gone",
      "report_refused",
      "server_quarantined",
      "server_returned",
      "configuration_accepted",
      "configuration_refused",
      "leadership_begun",
      "leadership_ended",
      "leases_limited",
      "leadership_handed_over",
      "members_changed",
      "storage_trouble",
      "clock_jumped",
      "advice_taken",
      "maintenance",
      "evacuation",
      "leader_load",
      "log_recovered",
      "snapshots_early"};
  static_assert(!Names.back().empty());
  return Names.at(static_cast<std::size_t>(Kind));
}
