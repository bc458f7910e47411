//===- Commands.h - Commands of the job log --------------------*- C++ -*-===//
//
// Every change to the replicated state of jobs is one of these commands. A
// command that is not permitted changes nothing and reports so in its result.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_COMMANDS_H
#define TULIPWEIR_JOBS_COMMANDS_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/jobs/Configuration.h"
#include "tulipweir/jobs/JobSpec.h"
#include "tulipweir/jobs/Waves.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tulipweir::jobs {

/// Identifies one task of one occurrence of a job.
struct TaskKey {
  std::string Job_;
  std::uint64_t Occurrence_ = 0;
  std::uint64_t Step_ = 0;
  std::uint64_t Index_ = 0;
  auto operator<=>(const TaskKey &) const = default;
};

/// Formats the task for logs, within its job, as "occurrence.step.index".
std::string toText(const TaskKey &Task);

/// How a run ended.
enum class RunOutcome : std::uint8_t {
  Done = 0,
  Failed = 1,          ///< The task or its server failed.
  Stopped = 2,         ///< The scheduler ordered it to stop.
  LeaseExpired = 3,    ///< The server's lease expired.
  GangMemberEnded = 4, ///< Another member of its gang ended.
  GangTimedOut = 5,    ///< The other members of its gang did not start in time.
  Refused = 6,         ///< The server declined to start it.
  NeverRan = 7,        ///< The start order is known not to have arrived.
};

/// What a backend server declares about itself when it registers.
struct ServerFacts {
  /// The text of an IncarnationId: unique to this incarnation, never reused.
  std::string Id_;
  std::string Service_;
  std::string DataCentre_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  std::string Address_; ///< At most one live server per address.
  Resources Capacity_;
  bool operator==(const ServerFacts &) const = default;

  /// Returns whether the server carries the label. The empty label matches
  /// every server.
  bool hasLabel(const std::string &Label) const {
    return Label.empty() ||
           std::find(Labels_.begin(), Labels_.end(), Label) != Labels_.end();
  }
};

/// Replaces the configuration if its version is higher than the current one.
struct PutConfiguration {
  Configuration Configuration_;
  bool operator==(const PutConfiguration &) const = default;
};

struct SubmitJob {
  std::string Host_;
  std::string PathPrefix_; ///< Queue prefix; must exist when applied.
  JobSpec Spec_;
  std::uint64_t AcceptedMs_ = 0; ///< Wall time; used only to order jobs.
  bool operator==(const SubmitJob &) const = default;
};

struct CancelJob {
  std::string Id_;
  bool operator==(const CancelJob &) const = default;
};

/// Makes the tasks of an occurrence ready; proposed once the occurrence is due.
struct OpenOccurrence {
  std::string Job_;
  std::uint64_t Occurrence_ = 0;
  bool operator==(const OpenOccurrence &) const = default;
};

/// Registers a server. Refused if its incarnation has ended or another server
/// holds its address.
struct AddServer {
  ServerFacts Facts_;
  bool operator==(const AddServer &) const = default;
};

/// A checkpoint that was reported while the run was in progress.
struct SavedCheckpoint {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  bool operator==(const SavedCheckpoint &) const = default;
};

/// How long a server's reports listed a run.
struct ReportedRun {
  TaskKey Task_;
  std::uint64_t AgeMs_ = 0;
  bool operator==(const ReportedRun &) const = default;
};

/// How a server disappeared, as observed by the leader.
struct CrashEvidence {
  bool IsCrash_ = false;         ///< The server vanished without notice.
  bool IsConfirmed_ = false;     ///< A new incarnation reports at its address.
  bool IsCorrelated_ = false;    ///< Many servers vanished at the same time.
  bool WasServerStable_ = false; ///< No recent unexplained crash before it.
  /// The runs that were placed on the server and appeared in its reports,
  /// ordered by task.
  std::vector<ReportedRun> ReportedRuns_;
  bool operator==(const CrashEvidence &) const = default;
};

/// Removes a server that has left, or whose runs must all have ended. All its
/// tasks wait again.
struct RemoveServer {
  std::string Id_;
  std::vector<SavedCheckpoint> Checkpoints_;
  bool IsFinal_ = false; ///< It left for good; otherwise it may return.
  CrashEvidence Evidence_{};
  bool operator==(const RemoveServer &) const = default;
};

struct TaskStart {
  TaskKey Task_;
  std::uint64_t Run_ = 0; ///< Higher than any earlier run of the task.
  std::string Server_;
  bool operator==(const TaskStart &) const = default;
};

/// Places tasks. Each start is accepted or refused on its own, except that a
/// gang is accepted as a whole or not at all, and all its starts are in one
/// command.
struct StartTasks {
  std::vector<TaskStart> Starts_;
  bool operator==(const StartTasks &) const = default;
};

struct TaskEnd {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  RunOutcome Outcome_ = RunOutcome::Done;
  std::string Checkpoint_;
  bool operator==(const TaskEnd &) const = default;
};

struct EndTasks {
  std::string Server_;
  std::vector<TaskEnd> Ends_;
  bool operator==(const EndTasks &) const = default;
};

/// Deletes ended jobs that clients no longer query.
struct ForgetJobs {
  std::vector<std::string> Ids_;
  bool operator==(const ForgetJobs &) const = default;
};

/// Starts a maintenance wave for an operator; a known wave is left unchanged.
struct StartWave {
  WaveSpec Spec_;
  bool operator==(const StartWave &) const = default;
};

/// Records that the VM's maintenance for the wave has certainly begun, or that
/// the VM no longer exists.
struct RecordMaintenanceStart {
  std::uint64_t Wave_ = 0;
  std::string Vm_;
  bool operator==(const RecordMaintenanceStart &) const = default;
};

/// Starts or ends the evacuation of a data centre, in which no task may start
/// meanwhile. The last order wins, so a repeated order changes nothing.
struct EvacuateDataCentre {
  std::string DataCentre_;
  bool IsStart_ = true; ///< Otherwise the evacuation ends.
  bool operator==(const EvacuateDataCentre &) const = default;
};

/// A run that has not crashed its server, of a task under which servers have
/// crashed before.
struct SurvivingRun {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  bool IsHarmless_ = false; ///< Clears the task of suspicion.
  bool operator==(const SurvivingRun &) const = default;
};

struct RecordSurvivingRuns {
  std::vector<SurvivingRun> Runs_;
  bool operator==(const RecordSurvivingRuns &) const = default;
};

using Command =
    std::variant<PutConfiguration, SubmitJob, CancelJob, OpenOccurrence,
                 AddServer, RemoveServer, StartTasks, EndTasks, ForgetJobs,
                 StartWave, RecordMaintenanceStart, EvacuateDataCentre,
                 RecordSurvivingRuns>;

enum class CommandStatus : std::uint8_t {
  Done = 0,
  AlreadyDone = 1, ///< Accepted earlier; nothing changed.
  NotFound = 2,    ///< No such queue, job or server.
  Refused = 3,     ///< Not permitted; nothing changed.
};

struct CommandResult {
  CommandStatus Status_ = CommandStatus::Done;
  /// StartTasks only: whether each start was accepted, in their order.
  std::vector<bool> Accepted_;
  /// Ids of the jobs that the command failed.
  std::vector<std::string> FailedJobs_{};
  bool operator==(const CommandResult &) const = default;
};

std::string encodeCommand(const Command &Cmd);
Outcome<Command> decodeCommand(std::string_view Bytes);
std::string encodeResult(const CommandResult &Result);
Outcome<CommandResult> decodeResult(std::string_view Bytes);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_COMMANDS_H
