//===- DataCentreState.h - Replicated state of a data centre ----*- C++ -*-===//
//
// Holds the servers, jobs, tasks, placements and records of non-repeatable
// requests of one data centre. It is deterministic and uses no clock, lock or
// socket.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_DATACENTRESTATE_H
#define TULIPWEIR_DATACENTRE_DATACENTRESTATE_H

#include "tulipweir/datacentre/Changes.h"
#include "tulipweir/datacentre/Commands.h"
#include "tulipweir/datacentre/RequestRecords.h"

#include <deque>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace tulipweir::datacentre {

enum class TaskState : std::uint8_t {
  Waiting,
  Placed, ///< Runs as Attempt_ on Server_.
  Finished,
  Failed, ///< After MaxAttempts_ failed attempts.
  Cancelled,
};

struct TaskRecord {
  TaskState State_ = TaskState::Waiting;
  AttemptNumber Attempt_; ///< The latest one; 0 if none.
  FencingToken Token_;
  BackendServerId Server_;
  BootId Boot_;
  Resources Reservation_;
  std::string Checkpoint_;
  std::string Message_;        ///< From the latest attempt end.
  std::uint32_t Failures_ = 0; ///< Failed attempts.
  std::uint32_t Evictions_ = 0;
  std::uint32_t Losses_ = 0;
  bool operator==(const TaskRecord &) const = default;
};

struct JobRecord {
  JobSpec Spec_;
  std::uint64_t Assignment_ = 0;
  bool Cancelling_ = false;
  bool Releasing_ = false; ///< Its tasks are no longer placed.
  std::vector<TaskRecord> Tasks_;
  std::uint32_t Ended_ = 0;  ///< Finished, failed or cancelled tasks.
  std::uint32_t Placed_ = 0; ///< Tasks that are placed.
  bool operator==(const JobRecord &) const = default;
};

struct ServerRecord {
  RegisterServer Info_;
  Resources Reserved_;
  std::set<TaskId> Placed_;
  bool operator==(const ServerRecord &) const = default;
};

/// Not thread-safe; DataCentreStateMachine adds the lock. A command takes
/// logarithmic time, except that a new boot, a cancellation and an adoption
/// also visit each task that they affect.
class DataCentreState {
public:
  explicit DataCentreState(const RecordLimits &Limits) : Records_(Limits) {}

  // Commands.

  /// Applies one command. Term and Index are its position in the log. A refused
  /// command changes nothing except the time of the request records. Appends
  /// every change to Changes, if given, in the order in which it happened.
  CommandResult apply(const Command &Value, std::uint64_t Term,
                      std::uint64_t Index,
                      std::vector<Change> *Changes = nullptr);

  // Queries.

  const std::map<BackendServerId, ServerRecord> &servers() const {
    return Servers_;
  }
  const std::map<JobId, JobRecord> &jobs() const { return Jobs_; }
  const RequestRecords &records() const { return Records_; }
  const TaskRecord *findTask(const TaskId &Task) const;
  const JobRecord *findJob(const JobId &Job) const;
  const ServerRecord *findServer(const BackendServerId &Server) const;

  /// Returns the highest assignment under which the job was adopted here, or 0
  /// if none is remembered.
  std::uint64_t findAssignment(const JobId &Job) const;

  /// Returns the changes that lead from an empty state to this one, so that a
  /// listener can rebuild its derived state: servers first, then jobs with
  /// their tasks.
  std::vector<Change> listChanges() const;

  /// Converts the whole state to and from msgpack.
  std::string encode() const;
  static Outcome<DataCentreState> decode(std::string_view Bytes,
                                         const RecordLimits &Limits);

  bool operator==(const DataCentreState &) const = default;

private:
  friend class CommandApplier;

  std::map<BackendServerId, ServerRecord> Servers_;
  std::map<JobId, JobRecord> Jobs_;
  /// Assignments of the most recently dropped jobs. DropOrder_ lists them
  /// oldest first and bounds their number. They keep a leader whose fleet
  /// replica lags from adopting a dropped job again.
  std::map<JobId, std::uint64_t> DroppedAssignments_;
  std::deque<JobId> DropOrder_;
  RequestRecords Records_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_DATACENTRESTATE_H
