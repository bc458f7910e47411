// Registration and removal of servers in JobRegistry.
#include "tulipweir/jobs/IncarnationId.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

CommandResult JobRegistry::apply(const AddServer &Cmd) {
  const ServerFacts &Facts = Cmd.Facts_;
  const std::string Current = findServerAt(Facts.Address_);
  const bool IsTaken = !Current.empty() && Current != Facts.Id_;
  if (IsTaken || isOver(Facts.Id_))
    return {CommandStatus::Refused, {}};
  const std::string Previous =
      Incarnations_.registerIncarnation(Facts.Id_, Facts.Address_);
  const auto [Server, IsNew] = Servers_.tryEmplace(Facts.Id_);
  if (!IsNew && Server.Facts_.Address_ != Facts.Address_)
    Incarnations_.vacate(Server.Facts_.Address_);
  if (!IsNew)
    IdByAddress_.erase(Server.Facts_.Address_);
  Server.Facts_ = Facts;
  Server.IsAfterCrash_ = Incarnations_.isAfterCrash(Facts.Address_);
  IdByAddress_[Facts.Address_] = Facts.Id_;
  // A server that registers again under the same id has not crashed.
  if (IsNew)
    dropCrashesOf(Facts.Id_);
  if (!Previous.empty())
    confirmCrashesOf(Previous);
  return {IsNew ? CommandStatus::Done : CommandStatus::AlreadyDone, {}};
}

std::vector<std::string>
JobRegistry::listIncarnationsOf(const std::string &ServerId) const {
  std::vector<std::string> Incarnations;
  if (Servers_.find(ServerId))
    Incarnations.push_back(ServerId);
  const std::string Prefix = ServerId + IncarnationSeparator;
  const auto &Ordered = Servers_.ordered();
  for (auto It = Ordered.lower_bound(Prefix);
       It != Ordered.end() && It->first.rfind(Prefix, 0) == 0; ++It)
    Incarnations.push_back(It->first);
  return Incarnations;
}

/// Lost placements kept per task; late ends of older runs are not recognized.
static constexpr std::size_t MaxLostPlacements = 4;

static void addLostPlacement(TaskRecord &Task, Placement Lost) {
  if (Task.LostPlacements_.size() >= MaxLostPlacements)
    Task.LostPlacements_.erase(Task.LostPlacements_.begin());
  Task.LostPlacements_.push_back(std::move(Lost));
}

CommandResult JobRegistry::apply(const RemoveServer &Cmd) {
  if (Cmd.IsFinal_)
    Incarnations_.endIncarnation(Cmd.Id_);
  const ServerRecord *Removed = Servers_.find(Cmd.Id_);
  if (!Removed)
    return {CommandStatus::AlreadyDone, {}};
  const std::map<TaskKey, std::uint64_t> Placed = Removed->Placed_;
  const ServerFacts Facts = Removed->Facts_;
  for (const auto &[Task, Run] : Placed) {
    TaskEnd End{Task, Run, RunOutcome::LeaseExpired, ""};
    for (const SavedCheckpoint &Saved : Cmd.Checkpoints_)
      if (Saved.Task_ == Task && Saved.Run_ == Run)
        End.Checkpoint_ = Saved.Checkpoint_;
    endRun(Cmd.Id_, End);
    if (TaskRecord *Record = findMutableTask(Task))
      addLostPlacement(*Record, {Run, Cmd.Id_});
  }
  IdByAddress_.erase(Facts.Address_);
  Incarnations_.vacate(Facts.Address_);
  Servers_.erase(Cmd.Id_);
  if (Cmd.Evidence_.IsCrash_) {
    Incarnations_.recordCrash(Facts.Address_);
    recordCrash(Facts, Cmd.Evidence_, Placed);
  }
  return {};
}
