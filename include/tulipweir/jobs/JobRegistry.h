//===- JobRegistry.h - Replicated state of jobs ----------------*- C++ -*-===//
//
// Holds the configuration, backend servers and jobs, and where each run is
// placed. Deterministic: the same commands produce the same state on all
// replicas. Invariants are enforced here, whatever a leader proposes: a task
// is not placed twice, does not start early, and does not exceed a server's
// capacity or its own attempts.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBREGISTRY_H
#define TULIPWEIR_JOBS_JOBREGISTRY_H

#include "tulipweir/core/HashedMap.h"
#include "tulipweir/jobs/Commands.h"
#include "tulipweir/jobs/CrashRecord.h"
#include "tulipweir/jobs/ServerIncarnations.h"
#include "tulipweir/jobs/Waves.h"

#include <map>
#include <set>
#include <unordered_map>

namespace tulipweir::jobs {

enum class JobState : std::uint8_t {
  Queued = 0, ///< No task has been placed.
  Running = 1,
  Completed = 2,
  Failed = 3,
  Cancelled = 4,
};

/// Why a job failed.
enum class FailureCause : std::uint8_t {
  Unknown = 0,
  Attempts = 1, ///< A task used up its queue's attempts.
  Crashes = 2,  ///< A task crashed the servers that ran it.
};

inline bool isEnded(JobState State) { return State >= JobState::Completed; }

enum class TaskState : std::uint8_t { Waiting = 0, Placed = 1, Done = 2 };

/// A run that was placed and has not ended.
struct Placement {
  std::uint64_t Run_ = 0;
  std::string Server_;
  bool operator==(const Placement &) const = default;
};

struct TaskRecord {
  TaskState State_ = TaskState::Waiting;
  std::uint64_t LastRun_ = 0; ///< 0 if it was never placed.
  std::uint64_t FailedRuns_ = 0;
  std::uint64_t LastFailedRun_ = 0;   ///< Of a gang; 0 if none has failed.
  std::string Checkpoint_;            ///< From which the next run resumes.
  std::vector<Placement> Placements_; ///< More than one only with a copy.
  /// The latest placements that ended with the removal of their servers. The
  /// ends of these runs may still be reported.
  std::vector<Placement> LostPlacements_;
  CrashRecords Crashes_; ///< Crashes of servers that ran it.
  /// The last run that outlasted its isolation without crashing its server.
  std::uint64_t LastSurvivingRun_ = 0;
  bool operator==(const TaskRecord &) const = default;
};

struct StepRecord {
  std::vector<TaskRecord> Tasks_;
  std::uint64_t Waiting_ = 0;   ///< Number of tasks in that state.
  std::uint64_t DoneCount_ = 0; ///< Number of tasks in that state.
  bool operator==(const StepRecord &) const = default;
};

struct OccurrenceRecord {
  std::uint64_t Number_ = 0;
  std::vector<StepRecord> Steps_;
  bool operator==(const OccurrenceRecord &) const = default;
};

struct JobRecord {
  JobSpec Spec_;
  QueuePolicy Policy_; ///< Latest known policy of its queue.
  JobState State_ = JobState::Queued;
  std::uint64_t Sequence_ = 0; ///< Order of acceptance.
  std::uint64_t AcceptedMs_ = 0;
  std::uint64_t OccurrencesDone_ = 0;
  std::uint64_t Placements_ = 0;                  ///< Runs that have not ended.
  std::vector<OccurrenceRecord> OpenOccurrences_; ///< Occurrences in progress.
  std::uint64_t CreatedOccurrenceCount_ = 0;      ///< Ended ones included.
  FailureCause Cause_ = FailureCause::Unknown;
  std::string Reason_; ///< Names the task that failed the job; else empty.
  bool operator==(const JobRecord &) const = default;

  const OccurrenceRecord *findOccurrence(std::uint64_t Number) const;
  OccurrenceRecord *findOccurrence(std::uint64_t Number);
  /// Returns this job's task with that key, or nullptr. The key's job is
  /// ignored.
  const TaskRecord *findTask(const TaskKey &Task) const;
  /// Returns when the job is due by its queue's objective, as wall time.
  std::uint64_t getDueMs() const;
};

struct ServerRecord {
  ServerFacts Facts_;
  std::map<TaskKey, std::uint64_t> Placed_; ///< Run number by task.
  /// The previous incarnation at the address crashed, and no task is known to
  /// be the cause.
  bool IsAfterCrash_ = false;

  // Totals over the placed tasks, maintained incrementally because a leader
  // handles a thousand reports a second. CPUs in thousandths.
  Resources Used_;
  Resources UsedByLongRunning_;  ///< The part of it that rarely becomes free.
  std::int64_t ServingCpus_ = 0; ///< Requested by serving tasks.
  std::int64_t OtherCpus_ = 0;   ///< Requested by all other tasks.
  std::map<std::string, std::uint64_t> Serving_;    ///< Serving tasks by image.
  std::map<std::string, std::int64_t> FillingCpus_; ///< Requested, by image.

  void add(const TaskKey &Task, std::uint64_t Run, const StepSpec &Step);
  void remove(const TaskKey &Task, const StepSpec &Step);
  bool isPlaced(const TaskKey &Task, std::uint64_t Run) const {
    const auto It = Placed_.find(Task);
    return It != Placed_.end() && It->second == Run;
  }
  /// Returns how many tasks of the same job, occurrence and step are placed
  /// here.
  std::uint64_t countTasksOfStep(const TaskKey &Task) const;
};

/// A step with waiting tasks whose dependencies are done. Ordered by scheduling
/// priority.
struct ReadyStep {
  std::uint64_t Priority_ = 0;
  std::uint64_t DueMs_ = 0;
  std::uint64_t Sequence_ = 0; ///< Sequence number of the job.
  std::uint64_t Occurrence_ = 0;
  std::uint64_t Step_ = 0;
  std::string Job_;
  auto operator<=>(const ReadyStep &) const = default;
};

/// Replicated state machine of jobs, servers and placements. Not thread-safe.
class JobRegistry {
public:
  // Commands.

  CommandResult apply(const Command &Cmd);
  /// Replaces the state by that of a snapshot. The versions below increase.
  void replace(JobRegistry Snapshot);

  // Queries.

  const Configuration &configuration() const { return Configuration_; }
  const JobRecord *findJob(const std::string &Id) const;
  const TaskRecord *findTask(const TaskKey &Task) const;
  /// Returns the task's step, or nullptr if the job or the step is unknown.
  const StepSpec *findStep(const TaskKey &Task) const;
  const std::unordered_map<std::string, JobRecord> &jobs() const {
    return Jobs_;
  }
  const std::map<std::string, ServerRecord> &servers() const {
    return Servers_.ordered();
  }
  const ServerRecord *findServer(const std::string &Id) const;
  /// Returns the registered incarnations of the server, which are several only
  /// while all but one are about to be removed.
  std::vector<std::string>
  listIncarnationsOf(const std::string &ServerId) const;
  /// Returns the id of the server at the address, or an empty string.
  std::string findServerAt(const std::string &Address) const;
  /// Returns whether the incarnation has ended: it left, or another one has
  /// registered at its address.
  bool isOver(const std::string &ServerId) const {
    return Incarnations_.isOver(ServerId);
  }
  const WaveRegistry &waves() const { return Waves_; }
  /// Returns the data centres in which no task may start.
  const std::set<std::string> &evacuated() const { return Evacuated_; }
  bool isEvacuated(const ServerFacts &Server) const {
    return Evacuated_.count(Server.DataCentre_) != 0;
  }
  const std::set<ReadyStep> &readySteps() const { return Ready_; }
  /// Increases whenever a step is added to readySteps().
  std::uint64_t getReadyVersion() const { return ReadyVersion_; }
  /// Increases whenever records of jobs are removed. Pointers to the others
  /// stay valid.
  std::uint64_t getForgottenVersion() const { return ForgottenVersion_; }
  /// Returns the steps of readySteps() whose tasks are long-running.
  const std::set<ReadyStep> &readyLongRunningSteps() const {
    return ReadyLongRunning_;
  }
  /// Returns the steps of readySteps() whose tasks start together.
  const std::set<ReadyStep> &readyGangs() const { return ReadyGangs_; }
  /// Returns the ids of the jobs whose next occurrence is not open yet.
  const std::set<std::string> &timedJobs() const { return Timed_; }
  /// Returns the number of accepted jobs of the queue that have not started a
  /// task.
  std::uint64_t countPending(const std::string &QueueKey) const;
  /// Returns the unfinished tasks of open jobs under which servers crashed,
  /// with the ids of these servers.
  const std::map<TaskKey, std::vector<std::string>> &crashSuspects() const {
    return Suspects_;
  }
  /// Returns why the start would be refused; empty if it would be accepted.
  /// Costs a few map lookups.
  std::string findRejectionReason(const TaskStart &Start) const;

  std::string encode() const;
  static Outcome<JobRegistry> decode(std::string_view Bytes);

private:
  CommandResult apply(const PutConfiguration &Cmd);
  CommandResult apply(const SubmitJob &Cmd);
  CommandResult apply(const CancelJob &Cmd);
  CommandResult apply(const OpenOccurrence &Cmd);
  CommandResult apply(const AddServer &Cmd);
  CommandResult apply(const RemoveServer &Cmd);
  CommandResult apply(const StartTasks &Cmd);
  CommandResult apply(const EndTasks &Cmd);
  CommandResult apply(const ForgetJobs &Cmd);
  CommandResult apply(const StartWave &Cmd);
  CommandResult apply(const RecordMaintenanceStart &Cmd);
  CommandResult apply(const EvacuateDataCentre &Cmd);
  CommandResult apply(const RecordSurvivingRuns &Cmd);

  void openOccurrence(JobRecord &Job, std::uint64_t Number);
  bool isReady(const JobRecord &Job, const OccurrenceRecord &Occurrence,
               std::size_t Step) const;
  ReadyStep makeReadyStep(const JobRecord &Job, std::uint64_t Occurrence,
                          std::uint64_t Step) const;
  void updateReadyStep(const JobRecord &Job, const OccurrenceRecord &Occurrence,
                       std::size_t Step);
  void updateReadySteps(const JobRecord &Job);
  void removeReadySteps(const JobRecord &Job);
  void placeTask(const TaskStart &Start);
  void endRun(const std::string &Server, const TaskEnd &End);
  static void saveCheckpoint(const StepSpec &Spec, StepRecord &Step,
                             TaskRecord &Task, const TaskEnd &End);
  static void countFailure(const StepSpec &Spec, StepRecord &Step,
                           TaskRecord &Task, std::uint64_t Run);
  void applyLateEnd(const std::string &Server, TaskRecord &Task,
                    const TaskEnd &End);
  void markDone(JobRecord &Job, OccurrenceRecord &Occurrence, std::size_t Step,
                TaskRecord &Task);
  void finishJob(JobRecord &Job, JobState State);
  void failJob(JobRecord &Job, const TaskKey &Task, FailureCause Cause,
               const std::string &Reason);
  std::vector<CrashSuspect>
  collectSuspects(const CrashEvidence &Crash,
                  const std::map<TaskKey, std::uint64_t> &Placed);
  void recordCrash(const ServerFacts &Server, const CrashEvidence &Crash,
                   const std::map<TaskKey, std::uint64_t> &Placed);
  void addCrashTo(const TaskKey &Task, const CrashRecord &Record);
  void markCrashesExplained(const TaskRecord &Task);
  void failJobForCrashes(const TaskKey &Task);
  void confirmCrashesOf(const std::string &Server);
  void dropCrashesOf(const std::string &Server);
  /// Returns the suspected tasks that have a crash record of the server.
  std::vector<TaskKey> listSuspectsOf(const std::string &Server) const;
  /// Updates the suspect indexes; called whenever a task's crash records
  /// change, or whether they count.
  void updateSuspect(const TaskKey &Task);
  void updateSuspectsOf(const JobRecord &Job);
  void requeueIfUnplaced(StepRecord &Step, TaskRecord &Task);
  TaskRecord *findMutableTask(const TaskKey &Task);
  void rebuildIndexes();
  bool isCompleteGang(const std::vector<TaskStart> &Starts,
                      const TaskStart &Member) const;

  Configuration Configuration_;
  /// Unordered, as it is looked up for each task of each report.
  std::unordered_map<std::string, JobRecord> Jobs_;
  HashedMap<ServerRecord> Servers_;
  ServerIncarnations Incarnations_;
  WaveRegistry Waves_;
  std::set<std::string> Evacuated_; ///< Data centre names.
  std::uint64_t NextSequence_ = 1;

  // Indexes, derived from the state above.
  std::unordered_map<std::string, std::string> IdByAddress_; ///< Server ids.
  std::set<ReadyStep> Ready_;
  std::set<ReadyStep> ReadyLongRunning_; ///< A subset of Ready_.
  std::set<ReadyStep> ReadyGangs_;       ///< A subset of Ready_.
  std::uint64_t ReadyVersion_ = 0;
  std::uint64_t ForgottenVersion_ = 0;
  std::set<std::string> Timed_;
  std::map<std::string, std::uint64_t> Pending_; ///< Job count by queue key.
  std::map<TaskKey, std::vector<std::string>> Suspects_;
  std::set<std::pair<std::string, TaskKey>> SuspectsByServer_;
  std::vector<std::string> NewlyFailedJobs_; ///< By the current command.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBREGISTRY_H
