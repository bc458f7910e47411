//===- Commands.h - Entries of a data centre's log --------------*- C++ -*-===//
//
// The commands that a data centre's replicas apply, and their results. Encoded
// by encodeCommand/decodeCommand of DataCentreCodec.h.
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

/// A batch job as an operator submits it. All its tasks are alike.
struct JobSpec {
  JobId Job_;
  TeamId Team_;
  JobClassId Class_;
  std::uint32_t Priority_ = 0;
  std::uint32_t Tasks_ = 1;
  Resources Declared_;            ///< Of each task.
  std::string Payload_;           ///< What a task runs; opaque to us.
  std::uint32_t MaxAttempts_ = 5; ///< Failed attempts of one task before
                                  ///< the job counts as failed.
  bool operator==(const JobSpec &) const = default;
};

/// A backend server's first announcement of a boot, or a changed one. A new
/// boot ends every attempt of the earlier boot as lost, so it is proposed only
/// when none of them can still run (ServerTracker).
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

/// Forgets a server that has no attempt left.
struct ForgetServer {
  BackendServerId Server_;
  bool operator==(const ForgetServer &) const = default;
};

/// Takes over a job that the fleet assigned here. Assignment_ is from 1 and
/// rises with each assignment of the same job; one that is not higher than the
/// latest adopted here is refused, also after the job was dropped.
struct AdoptJob {
  JobSpec Spec_;
  std::uint64_t Assignment_ = 0;
  /// What the data centre that released it passed on (encodeProgress); empty:
  /// every task starts afresh.
  std::string Progress_;
  bool operator==(const AdoptJob &) const = default;
};

/// Places the next attempt of a waiting task. Refused when it would overfill
/// the server in any dimension, the task is not waiting, the attempt is not
/// the next one, or the server is draining, unknown or of another boot.
struct PlaceTask {
  TaskId Task_;
  AttemptNumber Attempt_;
  BackendServerId Server_;
  BootId Boot_;
  Resources Reservation_;
  bool operator==(const PlaceTask &) const = default;
};

/// Changes what is set aside for a running attempt; refused if it would grow
/// in a dimension that is then overfull.
struct ChangeReservation {
  TaskId Task_;
  AttemptNumber Attempt_;
  Resources Reservation_;
  bool operator==(const ChangeReservation &) const = default;
};

enum class AttemptEnd : std::uint8_t {
  Finished,
  Failed,
  Lost,    ///< Its lease ran out, or its VM restarted.
  Evicted, ///< Checkpoint_ holds where to resume; the task waits again.
  Cancelled,
};

/// Ends a placed attempt and frees what it held. Applied once per attempt.
struct EndAttempt {
  TaskId Task_;
  AttemptNumber Attempt_;
  AttemptEnd End_ = AttemptEnd::Finished;
  std::string Checkpoint_; ///< Kept if not empty; resumes from there.
  std::string Message_;
  bool operator==(const EndAttempt &) const = default;
};

/// Stops a job: waiting tasks end at once, running ones are to be stopped.
struct CancelJob {
  JobId Job_;
  bool operator==(const CancelJob &) const = default;
};

/// Drops a job whose tasks all ended, once the fleet has recorded its end; or
/// a released one without placed tasks, once the fleet has recorded that.
struct DropJob {
  JobId Job_;
  bool operator==(const DropJob &) const = default;
};

/// The three commands about a non-repeatable request. WallMs_ is the
/// proposer's time; retention counts from the highest one applied.
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
/// An entry process is gone (its reports ended, or it came back with another
/// incarnation): what it had begun and not finished becomes unknown.
struct EndEntry {
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  bool operator==(const EndEntry &) const = default;
};

/// Prepares a job for another data centre: no further task of it is placed
/// here; its running attempts are to be checkpointed and stopped.
struct ReleaseJob {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  bool operator==(const ReleaseJob &) const = default;
};

using Command =
    std::variant<RegisterServer, ForgetServer, AdoptJob, PlaceTask,
                 ChangeReservation, EndAttempt, CancelJob, DropJob, BeginRecord,
                 FinishRecord, AbandonRecord, EndEntry, ReleaseJob>;

/// How one task of a released job stood, for whoever adopts the job next.
struct TaskProgress {
  bool Finished_ = false;
  bool Failed_ = false;
  AttemptNumber Attempt_; ///< The latest one; numbering goes on from it.
  std::uint32_t Failures_ = 0;
  std::string Checkpoint_;
  bool operator==(const TaskProgress &) const = default;
};

/// What applying a command answered. Error_ empty: it took effect.
struct CommandResult {
  std::string Error_;             ///< Stable name of an ErrorCode, or empty.
  std::string Message_;           ///< For people, with figures.
  FencingToken Token_;            ///< PlaceTask: the placement's token.
  wire::BeginRequestReply Begin_; ///< BeginRecord only.
  bool operator==(const CommandResult &) const = default;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_COMMANDS_H
