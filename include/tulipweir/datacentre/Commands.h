//===- Commands.h - Entries of a data centre's log --------------*- C++ -*-===//
//
// Defines the commands that the replicas of a data centre apply, and their
// results. encodeCommand and decodeCommand in DataCentreCodec.h convert them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_COMMANDS_H
#define TULIPWEIR_DATACENTRE_COMMANDS_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/wire/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tulipweir::datacentre {

/// A batch job as an operator submits it. All its tasks have the same
/// specification.
struct JobSpec {
  JobId Job_;
  TeamId Team_;
  JobClassId Class_;
  std::uint32_t Priority_ = 0;
  std::uint32_t Tasks_ = 1;
  Resources Declared_;  ///< Resources of each task.
  std::string Payload_; ///< Opaque to the scheduler.
  std::uint32_t MaxAttempts_ =
      5; ///< The job fails when one task has this many failed attempts.
  bool operator==(const JobSpec &) const = default;
};

/// Registers a backend server's first announcement of a boot or a changed
/// announcement. A new boot ends every attempt of the previous boot as lost, so
/// ServerTracker proposes it only when the leases of those attempts have
/// expired.
struct RegisterServer {
  BackendServerId Server_;
  BootId Boot_;
  RackId Rack_;
  std::string Address_;
  Resources Capacity_;
  std::vector<ServiceId> Services_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  bool Draining_ = false;
  bool operator==(const RegisterServer &) const = default;
};

/// Removes a server that has no attempt placed on it.
struct ForgetServer {
  BackendServerId Server_;
  bool operator==(const ForgetServer &) const = default;
};

/// Adopts a job that the fleet assigned to this data centre. Assignment_ starts
/// at 1 and increases with each assignment of the same job. An assignment that
/// is not higher than the latest one adopted here is refused, even after the
/// job was dropped.
struct AdoptJob {
  JobSpec Spec_;
  std::uint64_t Assignment_ = 0;
  /// Progress encoded by the data centre that released the job
  /// (encodeProgress). If it is empty, every task starts from the beginning.
  std::string Progress_;
  bool operator==(const AdoptJob &) const = default;
};

/// Places the next attempt of a waiting task. Refused if the server's capacity
/// would be exceeded in any dimension, the task is not waiting, the attempt is
/// not the next one, or the server is draining, unknown or of another boot.
struct PlaceTask {
  TaskId Task_;
  AttemptNumber Attempt_;
  BackendServerId Server_;
  BootId Boot_;
  Resources Reservation_;
  bool operator==(const PlaceTask &) const = default;
};

/// Changes the reservation of a running attempt. Refused if it grows in a
/// dimension whose capacity would then be exceeded.
struct ChangeReservation {
  TaskId Task_;
  AttemptNumber Attempt_;
  Resources Reservation_;
  bool operator==(const ChangeReservation &) const = default;
};

enum class AttemptEnd : std::uint8_t {
  Finished,
  Failed,
  Lost,    ///< The lease expired, or the VM restarted.
  Evicted, ///< The task waits and resumes from Checkpoint_.
  Cancelled,
};

/// Ends a placed attempt and frees its reservation. Applied once per attempt.
struct EndAttempt {
  TaskId Task_;
  AttemptNumber Attempt_;
  AttemptEnd End_ = AttemptEnd::Finished;
  std::string Checkpoint_; ///< Replaces the task's one unless empty.
  std::string Message_;
  bool operator==(const EndAttempt &) const = default;
};

/// Cancels a job: its waiting tasks end at once and its running tasks are
/// stopped.
struct CancelJob {
  JobId Job_;
  bool operator==(const CancelJob &) const = default;
};

/// Removes a job after the fleet has recorded that all its tasks ended, or that
/// it was released and has no placed tasks left.
struct DropJob {
  JobId Job_;
  bool operator==(const DropJob &) const = default;
};

/// Commands for a non-repeatable request. WallMs_ is the proposer's wall clock
/// time; the retention period counts from the highest value applied so far.
struct BeginRecord {
  wire::BeginRequest Request_;
  std::uint64_t WallMs_ = 0;
  bool operator==(const BeginRecord &) const = default;
};
struct FinishRecord {
  wire::FinishRequest Request_;
  std::uint64_t WallMs_ = 0;
  bool operator==(const FinishRecord &) const = default;
};
struct AbandonRecord {
  wire::AbandonRequest Request_;
  std::uint64_t WallMs_ = 0;
  bool operator==(const AbandonRecord &) const = default;
};
/// Ends an entry process that stopped reporting or came back with another
/// incarnation. The requests that it began and did not finish become unknown.
struct EndEntry {
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  bool operator==(const EndEntry &) const = default;
};

/// Releases a job for another data centre: no further task of it is placed
/// here, and its running attempts write a checkpoint and stop.
struct ReleaseJob {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  bool operator==(const ReleaseJob &) const = default;
};

using Command =
    std::variant<RegisterServer, ForgetServer, AdoptJob, PlaceTask,
                 ChangeReservation, EndAttempt, CancelJob, DropJob, BeginRecord,
                 FinishRecord, AbandonRecord, EndEntry, ReleaseJob>;

/// Progress of one task of a released job, for the data centre that adopts the
/// job next.
struct TaskProgress {
  bool Finished_ = false;
  bool Failed_ = false;
  AttemptNumber Attempt_; ///< The next attempt follows it.
  std::uint32_t Failures_ = 0;
  std::string Checkpoint_;
  bool operator==(const TaskProgress &) const = default;
};

/// Result of applying a command. The command took effect if Error_ is empty.
struct CommandResult {
  std::string Error_;             ///< Stable name of an ErrorCode, or empty.
  std::string Message_;           ///< For operators.
  FencingToken Token_;            ///< Fencing token; PlaceTask only.
  wire::BeginRequestReply Begin_; ///< BeginRecord only.
  bool operator==(const CommandResult &) const = default;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_COMMANDS_H
