//===- EventLog.h - Structured events of all processes ---------*- C++ -*-===//
//
// One event for each decision that touches a request or changes what a process
// believes. Every kind is listed here and in docs/LOGS.md; field names are the
// same everywhere.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_EVENTLOG_H
#define TULIPWEIR_CORE_EVENTLOG_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tulipweir {

enum class EventKind : std::uint8_t {
  ProcessStarted,
  ProcessStopping,
  SettingsReloaded,
  DependencyLost,
  DependencyRegained,
  CallAnswered, ///< A client's call, by the process it reached.
  JobAccepted,
  JobRefused,
  JobEnded,
  JobCancelled,
  TaskStarted,
  TaskWaiting,  ///< Why a step does not start; at a change of reason.
  RoomUnused,   ///< A long-running step waits while servers have room for it.
  RoomReserved, ///< A server's capacity is kept for a long-running step.
  TaskEnded,
  TaskStopped, ///< We ordered it to stop.
  TaskPaced,
  TaskAbsent,    ///< A long-running task that was not placed for a while.
  TaskSuspected, ///< Servers crashed under it; its next run is isolated.
  ServerSeen,
  ServerRestarted, ///< It reports under the id of an earlier incarnation.
  ServerWaits,     ///< It claims the address of another life that was heard.
  ServerDraining,
  ServerGone,
  ReportRefused, ///< A heartbeat that names no server to use.
  ServerQuarantined,
  ServerReturned,
  ConfigurationAccepted,
  ConfigurationRefused,
  LeadershipBegun,
  LeadershipEnded,
  LeasesLimited,        ///< Members told a new leader how long leases can last.
  LeadershipHandedOver, ///< Its VM is slow, another one is not.
  MembersChanged,
  StorageTrouble,
  ClockJumped,
  AdviceTaken,    ///< The advice service said which servers may run a step.
  Maintenance,    ///< A wave of maintenance, or one VM of it.
  Evacuation,     ///< Of a data centre: begun, or over.
  LeaderLoad,     ///< What a leader did in the last second.
  LogRecovered,   ///< A control has read its log at start.
  SnapshotsEarly, ///< The log's size began or ceased to make snapshots early.
};

inline constexpr std::size_t EventKinds =
    static_cast<std::size_t>(EventKind::SnapshotsEarly) + 1;

/// The name of the kind as it stands in a log.
std::string_view getEventName(EventKind Kind);

/// Empty and unset fields are left out of the line.
struct Event {
  EventKind Kind_ = EventKind::ProcessStarted;
  std::string Job_;
  std::string Task_;   ///< occurrence.step.index within the job.
  std::string Server_; ///< The life of a backend server.
  std::string Outcome_;
  std::string Reason_;
  std::optional<std::uint64_t> Attempt_;
  std::optional<std::uint64_t> Term_;
  std::optional<std::uint64_t> Version_;
  std::optional<std::int64_t> AgeMs_; ///< Of what the decision rests on.
  std::optional<std::uint64_t> Count_;
};

/// Thread-safe and never blocking.
class EventLog {
public:
  virtual ~EventLog() = default;
  virtual void write(const Event &Value) = 0;
  /// Returns whether a line of this kind would be left out now; if so, it is
  /// counted. For frequent kinds, whose texts would be made in vain.
  virtual bool leavesOut(EventKind) { return false; }
};

/// Writes nothing: for tests that don't look.
class NoEventLog final : public EventLog {
public:
  void write(const Event &) override {}
  bool leavesOut(EventKind) override { return true; }
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_EVENTLOG_H
