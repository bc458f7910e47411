//===- Messages.h - Typed messages between our processes -------*- C++ -*-===//
//
// What entries and control processes say to each other. Each request type
// names its kind and its reply type. Encoding is msgpack, in Codec.h.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_WIRE_MESSAGES_H
#define TULIPWEIR_WIRE_MESSAGES_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/wire/MessageKind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tulipweir::wire {

/// How one attempt of a task stands at its backend server.
enum class AttemptState : std::uint8_t {
  Running = 0,
  Finished = 1,     ///< Ended by itself with success.
  Failed = 2,       ///< Ended by itself without success.
  Stopped = 3,      ///< Stopped on command or because its lease ran out.
  Checkpointed = 4, ///< Stopped on an eviction; Checkpoint_ says where.
};

/// One attempt as its backend server reports it.
struct AttemptReport {
  TaskId Task_;
  AttemptNumber Attempt_;
  FencingToken Token_;
  AttemptState State_ = AttemptState::Running;
  std::string Checkpoint_;       ///< Opaque; empty when there is none yet.
  std::string Message_;          ///< Why it failed, for people.
  Resources Usage_;              ///< Measured; may lag.
  std::uint32_t UsageAgeMs_ = 0; ///< How old Usage_ is.
  std::uint32_t ProgressMs_ = 0; ///< Work done since the last checkpoint.
  bool operator==(const AttemptReport &) const = default;
};

/// One service as its backend server measured it over the last period.
struct ServiceReport {
  ServiceId Service_;
  std::uint32_t Requests_ = 0;
  std::uint32_t P99Micros_ = 0;
  std::uint32_t MeanMicros_ = 0;
  std::uint32_t LoadPercent_ = 0; ///< Busy slots over all slots.
  std::uint32_t AgeMs_ = 0;       ///< How old the measurement is.
  bool operator==(const ServiceReport &) const = default;
};

/// What a backend server is commanded to do with one task.
enum class TaskCommandKind : std::uint8_t {
  Start = 0,
  Stop = 1,       ///< At once, without a checkpoint.
  Checkpoint = 2, ///< Write a checkpoint, then stop: an eviction.
  Throttle = 3,   ///< Run at ThrottlePercent_ of full speed; 100 lifts it.
};

/// One command to a backend server.
struct TaskCommand {
  TaskCommandKind Kind_ = TaskCommandKind::Start;
  TaskId Task_;
  AttemptNumber Attempt_;
  FencingToken Token_;
  std::string Payload_;    ///< Start: what to run, from the job.
  std::string Checkpoint_; ///< Start: where to resume; empty for afresh.
  Resources Reservation_;  ///< Start: what is set aside for it.
  std::uint32_t ThrottlePercent_ = 100;
  bool operator==(const TaskCommand &) const = default;
};

/// A lease that is renewed: valid for LeaseTtlMs_ of the reply, counted from
/// the moment the backend server SENT the announcement.
struct LeaseRenewal {
  TaskId Task_;
  AttemptNumber Attempt_;
  FencingToken Token_;
  bool operator==(const LeaseRenewal &) const = default;
};

struct AnnouncementReply {
  std::uint32_t LeaseTtlMs_ = 0;
  std::uint32_t HeartbeatMs_ = 0; ///< When to announce next.
  std::vector<TaskCommand> Commands_;
  std::vector<LeaseRenewal> Renewals_;
  bool operator==(const AnnouncementReply &) const = default;
};

/// A backend server's heartbeat. The first one of a boot registers it.
struct Announcement {
  static constexpr MessageKind Kind = MessageKind::Announcement;
  using Reply = AnnouncementReply;

  BackendServerId Server_;
  BootId Boot_;
  DataCentreId DataCentre_;
  RackId Rack_;
  std::string Address_; ///< "ip:port" where it serves requests.
  Resources Capacity_;
  std::vector<ServiceId> Services_;
  std::uint32_t Slots_ = 0;       ///< Requests it serves at a time.
  std::uint32_t Connections_ = 0; ///< Connections it accepts.
  bool Draining_ = false;         ///< It is leaving: no new work.
  std::uint64_t Sequence_ = 0;    ///< Rises with each announcement of a boot.
  std::vector<AttemptReport> Attempts_; ///< All it holds: an inventory.
  std::vector<ServiceReport> ServiceReports_;
  bool operator==(const Announcement &) const = default;
};

/// What one entry holds of one backend server.
struct GrantHeld {
  BackendServerId Server_;
  BootId Boot_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  std::uint32_t InFlight_ = 0; ///< Sent and not answered.
  bool operator==(const GrantHeld &) const = default;
};

/// A backend server as an entry routes to it, with this entry's share.
struct Route {
  BackendServerId Server_;
  BootId Boot_;
  std::string Address_;
  std::vector<ServiceId> Services_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  bool Draining_ = false;
  bool operator==(const Route &) const = default;
};

/// A signed bundle as it travels: the text and its sign-offs.
struct SignedBundle {
  BundleVersion Version_;
  Digest Digest_;
  std::string Text_; ///< JSON with comments, byte for byte as proposed.
  bool operator==(const SignedBundle &) const = default;
};

struct EntryReportReply {
  std::uint32_t GrantTtlMs_ = 0; ///< Counted from when the report was SENT.
  std::uint64_t RoutesVersion_ = 0;
  /// The whole table; absent when RoutesHeld_ was still right.
  std::optional<std::vector<Route>> Routes_;
  BundleVersion InForce_;
  /// The bundle in force; absent when the entry holds it already.
  std::optional<SignedBundle> Bundle_;
  /// The report was brief and the leader does not know its table: nothing was
  /// done, a whole report is to follow at once.
  bool SendFull_ = false;
  bool operator==(const EntryReportReply &) const = default;
};

/// An entry's periodic report. Its reply renews the grants.
struct EntryReport {
  static constexpr MessageKind Kind = MessageKind::EntryReport;
  using Reply = EntryReportReply;

  EntryId Entry_;
  std::string Address_;           ///< "ip:port" of its HTTP side.
  std::uint64_t Incarnation_ = 0; ///< Random per start of the process.
  BundleVersion Held_;
  std::uint64_t RoutesHeld_ = 0;
  bool Stopping_ = false; ///< It gives its grants back.
  /// Only with the table of the last reply: instead of Grants_ it has the
  /// requests in flight to each server of that table, in its order, as packed
  /// numbers, zeros at the end left out. Grants_ has those beyond the table.
  bool Brief_ = false;
  std::string InFlight_;
  std::vector<GrantHeld> Grants_;
  bool operator==(const EntryReport &) const = default;
};

/// An answer as it is recorded and replayed.
struct StoredAnswer {
  std::uint32_t Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  bool operator==(const StoredAnswer &) const = default;
};

/// What the record says about a non-repeatable request.
enum class RequestDisposition : std::uint8_t {
  Run = 0,      ///< Recorded as begun by this call: send it now, once.
  Running = 1,  ///< Another attempt holds it; ask again or wait.
  Replay = 2,   ///< It was served; Answer_ is the recorded answer.
  Conflict = 3, ///< The key stands for another request.
  Unknown = 4,  ///< Begun, never finished, its owner is gone.
  Expired = 5,  ///< The ticket is too old; its record may be gone.
};

struct BeginRequestReply {
  RequestDisposition Disposition_ = RequestDisposition::Unknown;
  std::uint64_t Attempt_ = 0;
  std::optional<StoredAnswer> Answer_;
  bool operator==(const BeginRequestReply &) const = default;
};

/// Asks for the right to run a non-repeatable request.
struct BeginRequest {
  static constexpr MessageKind Kind = MessageKind::BeginRequest;
  using Reply = BeginRequestReply;

  RequestKey Key_;
  Digest Digest_; ///< Of service, path and body.
  EntryId Entry_;
  std::uint64_t EntryIncarnation_ = 0;
  ServiceId Service_;
  std::uint64_t DeadlineWallMs_ = 0;
  /// Random per asker. The same one may ask again after a lost reply and is
  /// told Run with the same attempt; it stops asking once it was told so.
  std::uint64_t Nonce_ = 0;
  bool operator==(const BeginRequest &) const = default;
};

struct RecordReply {
  bool Recorded_ = false; ///< False: another attempt or outcome stands.
  bool operator==(const RecordReply &) const = default;
};

/// Records the end of a begun request.
struct FinishRequest {
  static constexpr MessageKind Kind = MessageKind::FinishRequest;
  using Reply = RecordReply;

  RequestKey Key_;
  std::uint64_t Attempt_ = 0;
  std::optional<StoredAnswer> Answer_; ///< Absent: the outcome is unknown.
  bool operator==(const FinishRequest &) const = default;
};

/// Gives a begun request back: not a byte of it was sent.
struct AbandonRequest {
  static constexpr MessageKind Kind = MessageKind::AbandonRequest;
  using Reply = RecordReply;

  RequestKey Key_;
  std::uint64_t Attempt_ = 0;
  bool operator==(const AbandonRequest &) const = default;
};

struct OperatorAnswer {
  std::uint32_t Status_ = 0; ///< An HTTP status.
  std::string Body_;         ///< JSON.
  bool operator==(const OperatorAnswer &) const = default;
};

/// An operator's HTTP call; the paths are those of docs/API.md.
struct OperatorCall {
  static constexpr MessageKind Kind = MessageKind::OperatorCall;
  using Reply = OperatorAnswer;

  std::string Method_;
  std::string Path_;
  std::string Query_;
  std::string Body_;
  bool operator==(const OperatorCall &) const = default;
};

struct FleetCommandReply {
  std::string Result_; ///< What the fleet's state machine answered.
  bool operator==(const FleetCommandReply &) const = default;
};

/// A proposal for the fleet log, encoded by the fleet module.
struct FleetCommand {
  static constexpr MessageKind Kind = MessageKind::FleetCommand;
  using Reply = FleetCommandReply;

  std::string Command_;
  bool operator==(const FleetCommand &) const = default;
};

/// One-way replication traffic of one group ("fleet" or a data centre's id).
struct ReplicationMessage {
  static constexpr MessageKind Kind = MessageKind::Replication;

  std::string Group_;
  std::string Payload_; ///< Encoded by the replication module.
  bool operator==(const ReplicationMessage &) const = default;
};

} // namespace tulipweir::wire

#endif // TULIPWEIR_WIRE_MESSAGES_H
