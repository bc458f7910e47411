//===- DataCentreState.cpp - Replicated state of a data centre ------------===//

#include "tulipweir/datacentre/DataCentreState.h"
#include "datacentre/CommandApplier.h"
#include "datacentre/Fields.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// Version of the snapshot format. Increase it with every change of the format.
static constexpr std::uint64_t SnapshotFormat = 1;

namespace tulipweir::datacentre {

/// The part of a job that cannot be rebuilt from its tasks, and the tasks.
struct JobSnapshot {
  JobSpec Spec_;
  std::uint64_t Assignment_ = 0;
  bool Cancelling_ = false;
  bool Releasing_ = false;
  std::vector<TaskRecord> Tasks_;
};
struct DroppedJobSnapshot {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
};
struct SnapshotHeader {
  std::uint64_t Format_ = 0;
  std::uint64_t Servers_ = 0;
  std::uint64_t Jobs_ = 0;
  std::uint64_t Dropped_ = 0;
};

static void fields(auto &V, IsA<JobSnapshot> auto &X) {
  V(X.Spec_, X.Assignment_, X.Cancelling_, X.Releasing_, X.Tasks_);
}
static void fields(auto &V, IsA<DroppedJobSnapshot> auto &X) {
  V(X.Job_, X.Assignment_);
}
static void fields(auto &V, IsA<SnapshotHeader> auto &X) {
  V(X.Format_, X.Servers_, X.Jobs_, X.Dropped_);
}

} // namespace tulipweir::datacentre

/// Restores the counters of the job and the placements on its servers from its
/// tasks. Returns false if a task is placed on an unknown server.
static bool linkTasks(JobRecord &Job,
                      std::map<BackendServerId, ServerRecord> &Servers) {
  for (std::uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
    const TaskRecord &Task = Job.Tasks_[I];
    if (Task.State_ == TaskState::Waiting)
      continue;
    if (Task.State_ != TaskState::Placed) {
      ++Job.Ended_;
      continue;
    }
    const auto Server = Servers.find(Task.Server_);
    if (Server == Servers.end())
      return false;
    Server->second.Placed_.insert(TaskId{Job.Spec_.Job_, I});
    Server->second.Reserved_ = Server->second.Reserved_ + Task.Reservation_;
    ++Job.Placed_;
  }
  return true;
}

CommandResult DataCentreState::apply(const Command &Value, std::uint64_t Term,
                                     std::uint64_t Index,
                                     std::vector<Change> *Changes) {
  CommandApplier Applier(*this, FencingToken{Term, Index}, Changes);
  return std::visit(
      [&Applier](const auto &Alternative) {
        return Applier.apply(Alternative);
      },
      Value);
}

const TaskRecord *DataCentreState::findTask(const TaskId &Task) const {
  const JobRecord *Job = findJob(Task.Job_);
  if (!Job || Task.Index_ >= Job->Tasks_.size())
    return nullptr;
  return &Job->Tasks_[Task.Index_];
}

const JobRecord *DataCentreState::findJob(const JobId &Job) const {
  const auto It = Jobs_.find(Job);
  return It == Jobs_.end() ? nullptr : &It->second;
}

const ServerRecord *
DataCentreState::findServer(const BackendServerId &Server) const {
  const auto It = Servers_.find(Server);
  return It == Servers_.end() ? nullptr : &It->second;
}

std::uint64_t DataCentreState::findAssignment(const JobId &Job) const {
  if (const JobRecord *Record = findJob(Job))
    return Record->Assignment_;
  const auto It = DroppedAssignments_.find(Job);
  return It == DroppedAssignments_.end() ? 0 : It->second;
}

std::vector<Change> DataCentreState::listChanges() const {
  std::vector<Change> Changes;
  ChangeRecorder Recorder(&Changes);
  for (const auto &[Id, Server] : Servers_)
    Recorder.recordServer(ChangeKind::ServerChanged, Id);
  for (const auto &[Id, Job] : Jobs_) {
    Recorder.recordJob(ChangeKind::JobAdopted, Id);
    if (Job.Cancelling_)
      Recorder.recordJob(ChangeKind::JobCancelling, Id);
    if (Job.Releasing_)
      Recorder.recordJob(ChangeKind::JobReleasing, Id);
    for (std::uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
      const TaskId Task{Id, I};
      if (Job.Tasks_[I].State_ == TaskState::Placed)
        Recorder.recordPlacement(ChangeKind::TaskPlaced, Task, Job.Tasks_[I]);
      else
        Recorder.recordTask(Task, Job.Tasks_[I]);
    }
    if (Job.Ended_ == Job.Tasks_.size())
      Recorder.recordJob(ChangeKind::JobEnded, Id);
  }
  return Changes;
}

std::string DataCentreState::encode() const {
  pack::Writer Out;
  Out.write(SnapshotHeader{SnapshotFormat, Servers_.size(), Jobs_.size(),
                           DropOrder_.size()});
  for (const auto &[Id, Server] : Servers_)
    Out.write(Server.Info_);
  for (const auto &[Id, Job] : Jobs_)
    Out.write(JobSnapshot{Job.Spec_, Job.Assignment_, Job.Cancelling_,
                          Job.Releasing_, Job.Tasks_});
  for (const JobId &Job : DropOrder_)
    Out.write(DroppedJobSnapshot{Job, DroppedAssignments_.at(Job)});
  return Out.take() + Records_.encode();
}

Outcome<DataCentreState> DataCentreState::decode(std::string_view Bytes,
                                                 const RecordLimits &Limits) {
  try {
    DataCentreState Result(Limits);
    pack::Stream In(Bytes);
    const auto Header = In.next<SnapshotHeader>();
    if (Header.Format_ != SnapshotFormat)
      return fail(ErrorCode::VersionMismatch,
                  "snapshot of format " + std::to_string(Header.Format_) +
                      "; this program reads " + std::to_string(SnapshotFormat));
    for (std::uint64_t I = 0; I < Header.Servers_; ++I) {
      auto Info = In.next<RegisterServer>();
      ServerRecord &Server = Result.Servers_[Info.Server_];
      Server.Info_ = std::move(Info);
    }
    for (std::uint64_t I = 0; I < Header.Jobs_; ++I) {
      auto Decoded = In.next<JobSnapshot>();
      JobRecord &Job = Result.Jobs_[Decoded.Spec_.Job_];
      Job.Spec_ = std::move(Decoded.Spec_);
      Job.Assignment_ = Decoded.Assignment_;
      Job.Cancelling_ = Decoded.Cancelling_;
      Job.Releasing_ = Decoded.Releasing_;
      Job.Tasks_ = std::move(Decoded.Tasks_);
      if (!linkTasks(Job, Result.Servers_))
        return fail(ErrorCode::Malformed,
                    "a task is placed on an unknown backend server");
    }
    for (std::uint64_t I = 0; I < Header.Dropped_; ++I) {
      auto Decoded = In.next<DroppedJobSnapshot>();
      Result.DroppedAssignments_[Decoded.Job_] = Decoded.Assignment_;
      Result.DropOrder_.push_back(std::move(Decoded.Job_));
    }
    auto Records = RequestRecords::decode(In.rest(), Limits);
    if (!Records)
      return Records.as_failure();
    Result.Records_ = std::move(Records).value();
    return Result;
  } catch (const std::exception &Exception) {
    return fail(ErrorCode::Malformed,
                std::string("snapshot: ") + Exception.what());
  }
}
