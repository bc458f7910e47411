//===- JobPacking.h - Serialized fields of job types -----------*- C++ -*-===//
//
// Lists the fields in their order in the log and on the wire, for
// core/Packing.h. Include it in .cpp files only.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_JOBPACKING_H
#define TULIPWEIR_SRC_JOBS_JOBPACKING_H

#include "core/Packing.h"
#include "tulipweir/jobs/JobRegistry.h"

namespace tulipweir {

inline auto fields(Resources &X) {
  return std::tie(X.MilliCpus_, X.MemoryMib_, X.Accelerators_);
}

namespace jobs {

inline auto fields(StepSpec &X) {
  return std::tie(X.Count_, X.Need_, X.EstimateMs_, X.DependsOn_,
                  X.Checkpointing_, X.Gang_, X.SameRack_, X.Speculative_,
                  X.LongRunning_, X.Fills_, X.Label_, X.DataRack_,
                  X.SpreadLimit_, X.Image_, X.TailTargetMs_, X.MaxUnavailable_);
}
inline auto fields(JobSpec &X) {
  return std::tie(X.Id_, X.Payload_, X.Steps_, X.RepeatCount_, X.FirstDueMs_,
                  X.IntervalMs_);
}
inline auto fields(AdvicePolicy &X) {
  return std::tie(X.IsRequired_, X.PerCallMs_, X.PerServerMs_, X.ValidMs_);
}
inline auto fields(QueuePolicy &X) {
  return std::tie(X.Name_, X.Host_, X.PathPrefix_, X.Service_, X.Priority_,
                  X.Attempts_, X.StretchPercent_, X.ObjectiveMs_, X.Advice_);
}
inline auto fields(ServicePolicy &X) {
  return std::tie(X.Name_, X.EnforcesCapacity_, X.Standby_);
}
inline auto fields(Configuration &X) {
  return std::tie(X.Version_, X.Queues_, X.Services_, X.Source_);
}
inline auto fields(TaskKey &X) {
  return std::tie(X.Job_, X.Occurrence_, X.Step_, X.Index_);
}
inline auto fields(ServerFacts &X) {
  return std::tie(X.Id_, X.Service_, X.DataCentre_, X.Rack_, X.Labels_,
                  X.Address_, X.Capacity_);
}
inline auto fields(PutConfiguration &X) { return std::tie(X.Configuration_); }
inline auto fields(SubmitJob &X) {
  return std::tie(X.Host_, X.PathPrefix_, X.Spec_, X.AcceptedMs_);
}
inline auto fields(CancelJob &X) { return std::tie(X.Id_); }
inline auto fields(OpenOccurrence &X) {
  return std::tie(X.Job_, X.Occurrence_);
}
inline auto fields(AddServer &X) { return std::tie(X.Facts_); }
inline auto fields(SavedCheckpoint &X) {
  return std::tie(X.Task_, X.Run_, X.Checkpoint_);
}
inline auto fields(ReportedRun &X) { return std::tie(X.Task_, X.AgeMs_); }
inline auto fields(CrashEvidence &X) {
  return std::tie(X.IsCrash_, X.IsConfirmed_, X.IsCorrelated_,
                  X.WasServerStable_, X.ReportedRuns_);
}
inline auto fields(RemoveServer &X) {
  return std::tie(X.Id_, X.Checkpoints_, X.IsFinal_, X.Evidence_);
}
constexpr std::size_t optionalFields(const RemoveServer &) { return 1; }
inline auto fields(TaskStart &X) {
  return std::tie(X.Task_, X.Run_, X.Server_);
}
inline auto fields(StartTasks &X) { return std::tie(X.Starts_); }
inline auto fields(TaskEnd &X) {
  return std::tie(X.Task_, X.Run_, X.Outcome_, X.Checkpoint_);
}
inline auto fields(EndTasks &X) { return std::tie(X.Server_, X.Ends_); }
inline auto fields(ForgetJobs &X) { return std::tie(X.Ids_); }
inline auto fields(WaveSpec &X) {
  return std::tie(X.Id_, X.Vms_, X.DeadlineMs_, X.MaxConcurrent_);
}
inline auto fields(WaveRecord &X) { return std::tie(X.Spec_, X.Begun_); }
inline auto fields(StartWave &X) { return std::tie(X.Spec_); }
inline auto fields(RecordMaintenanceStart &X) {
  return std::tie(X.Wave_, X.Vm_);
}
inline auto fields(EvacuateDataCentre &X) {
  return std::tie(X.DataCentre_, X.IsStart_);
}

inline auto fields(SurvivingRun &X) {
  return std::tie(X.Task_, X.Run_, X.IsHarmless_);
}
inline auto fields(RecordSurvivingRuns &X) { return std::tie(X.Runs_); }

inline auto fields(IncarnationAtAddress &X) {
  return std::tie(X.Address_, X.Id_, X.HasCrashed_, X.IsAfterCrash_);
}
constexpr std::size_t optionalFields(const IncarnationAtAddress &) { return 2; }
inline auto fields(Placement &X) { return std::tie(X.Run_, X.Server_); }
inline auto fields(CrashRecord &X) {
  return std::tie(X.Run_, X.Server_, X.Address_, X.AgeMs_, X.IsCorrelated_,
                  X.IsConclusive_, X.IsConfirmed_, X.OnlyIsolates_);
}
inline auto fields(TaskRecord &X) {
  return std::tie(X.State_, X.LastRun_, X.FailedRuns_, X.LastFailedRun_,
                  X.Checkpoint_, X.Placements_, X.LostPlacements_, X.Crashes_,
                  X.LastSurvivingRun_);
}
constexpr std::size_t optionalFields(const TaskRecord &) { return 2; }
inline auto fields(StepRecord &X) {
  return std::tie(X.Tasks_, X.Waiting_, X.DoneCount_);
}
inline auto fields(OccurrenceRecord &X) {
  return std::tie(X.Number_, X.Steps_);
}
inline auto fields(JobRecord &X) {
  return std::tie(X.Spec_, X.Policy_, X.State_, X.Sequence_, X.AcceptedMs_,
                  X.OccurrencesDone_, X.Placements_, X.OpenOccurrences_,
                  X.CreatedOccurrenceCount_, X.Cause_, X.Reason_);
}
constexpr std::size_t optionalFields(const JobRecord &) { return 2; }

/// The largest value of each enumeration.
constexpr std::uint8_t maxOf(RunOutcome) {
  return static_cast<std::uint8_t>(RunOutcome::NeverRan);
}
constexpr std::uint8_t maxOf(CommandStatus) {
  return static_cast<std::uint8_t>(CommandStatus::Refused);
}
constexpr std::uint8_t maxOf(JobState) {
  return static_cast<std::uint8_t>(JobState::Cancelled);
}
constexpr std::uint8_t maxOf(FailureCause) {
  return static_cast<std::uint8_t>(FailureCause::Crashes);
}
constexpr std::uint8_t maxOf(TaskState) {
  return static_cast<std::uint8_t>(TaskState::Done);
}

} // namespace jobs
} // namespace tulipweir

#endif // TULIPWEIR_SRC_JOBS_JOBPACKING_H
