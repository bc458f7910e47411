//===- DataCentreState.h - Replicated state of a data centre ----*- C++ -*-===//
//
// Servers, jobs, tasks, placements and records of non-repeatable requests of
// one data centre. Deterministic; no clock, lock or socket inside.
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
  Placed, ///< On Server_ under Attempt_; holds Reservation_.
  Finished,
  Failed, ///< MaxAttempts_ attempts failed.
  Cancelled,
};

struct TaskRecord {
  TaskState State_ = TaskState::Waiting;
  AttemptNumber Attempt_; ///< The latest one; 0 before the first.
  FencingToken Token_;
  BackendServerId Server_;
  BootId Boot_;
  Resources Reservation_;
  std::string Checkpoint_;
  std::string Message_;        ///< Of the latest end.
  std::uint32_t Failures_ = 0; ///< Attempts that ended as failed.
  std::uint32_t Evictions_ = 0;
  std::uint32_t Losses_ = 0;
  bool operator==(const TaskRecord &) const = default;
};

struct JobRecord {
  JobSpec Spec_;
  std::uint64_t Assignment_ = 0;
  bool Cancelling_ = false;
  bool Releasing_ = false; ///< Nothing of it is placed here any more.
  std::vector<TaskRecord> Tasks_;
  std::uint32_t Ended_ = 0;  ///< Tasks that are finished, failed or cancelled.
  std::uint32_t Placed_ = 0; ///< Tasks that hold a place.
  bool operator==(const JobRecord &) const = default;
};

struct ServerRecord {
  RegisterServer Info_;
  Resources Reserved_;
  std::set<TaskId> Placed_;
  bool operator==(const ServerRecord &) const = default;
};

/// Not thread-safe; DataCentreStateMachine adds the lock. Work per command is
/// logarithmic, except that a new boot, a cancellation and an adoption touch
/// the tasks that they concern.
class DataCentreState {
public:
  explicit DataCentreState(const RecordLimits &Limits) : Records_(Limits) {}

  // Commands.

  /// Applies one command. Term and Index are its place in the log. A refused
  /// command changes nothing but the records' time. What changed is appended
  /// to Changes if that is given, in the order in which it happened.
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

  /// The highest assignment under which the job was adopted here, 0 if it is
  /// not remembered.
  std::uint64_t findAssignment(const JobId &Job) const;

  /// Changes that lead from an empty state to this one, as a listener needs
  /// them to rebuild what it derives: servers, then jobs with their tasks.
  std::vector<Change> listChanges() const;

  /// The whole state as msgpack, and back.
  std::string encode() const;
  static Outcome<DataCentreState> decode(std::string_view Bytes,
                                         const RecordLimits &Limits);

  bool operator==(const DataCentreState &) const = default;

private:
  friend class CommandApplier;

  std::map<BackendServerId, ServerRecord> Servers_;
  std::map<JobId, JobRecord> Jobs_;
  /// Assignments of dropped jobs, oldest drop first; a bounded number. A
  /// leader whose fleet replica lags must not adopt a dropped job again.
  std::map<JobId, std::uint64_t> DroppedAssignments_;
  std::deque<JobId> DropOrder_;
  RequestRecords Records_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_DATACENTRESTATE_H
