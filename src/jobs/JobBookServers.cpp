// Servers that come and go.
#include "tulipweir/jobs/JobBook.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

CommandResult JobBook::apply(const AddServer &Value) {
  const ServerFacts &Facts = Value.Facts_;
  const std::string Occupant = findServerAt(Facts.Address_);
  const bool IsTaken = !Occupant.empty() && Occupant != Facts.Id_;
  if (IsTaken || isOver(Facts.Id_))
    return {Verdict::Refused, {}};
  const std::string Before =
      Incarnations_.registerIncarnation(Facts.Id_, Facts.Address_);
  const auto [Place, IsNew] = Servers_.try_emplace(Facts.Id_);
  if (!IsNew)
    IdByAddress_.erase(Place->second.Facts_.Address_);
  Place->second.Facts_ = Facts;
  Place->second.IsAfterCrash_ = Incarnations_.isAfterCrash(Facts.Address_);
  IdByAddress_[Facts.Address_] = Facts.Id_;
  // A server that is heard again has not crashed.
  if (IsNew)
    dropCrashesOf(Facts.Id_);
  if (!Before.empty())
    confirmCrashOf(Before);
  return {IsNew ? Verdict::Done : Verdict::AlreadyDone, {}};
}

/// More lost runs than that of one task are not told from strangers.
static constexpr std::size_t MostLostRuns = 4;

static void keepLost(TaskRecord &Task, Placement Lost) {
  if (Task.Lost_.size() >= MostLostRuns)
    Task.Lost_.erase(Task.Lost_.begin());
  Task.Lost_.push_back(std::move(Lost));
}

CommandResult JobBook::apply(const RemoveServer &Value) {
  if (Value.IsOver_)
    Incarnations_.endIncarnation(Value.Id_);
  const auto Found = Servers_.find(Value.Id_);
  if (Found == Servers_.end())
    return {Verdict::AlreadyDone, {}};
  const std::map<TaskKey, std::uint64_t> Placed = Found->second.Placed_;
  const ServerFacts Facts = Found->second.Facts_;
  for (const auto &[Task, Run] : Placed) {
    TaskEnd End{Task, Run, RunEnd::Lapsed, ""};
    for (const SavedWork &Saved : Value.Saved_)
      if (Saved.Task_ == Task && Saved.Run_ == Run)
        End.Checkpoint_ = Saved.Checkpoint_;
    endRun(Value.Id_, End);
    if (TaskRecord *Lost = findTaskToChange(Task))
      keepLost(*Lost, {Run, Value.Id_});
  }
  IdByAddress_.erase(Facts.Address_);
  Servers_.erase(Found);
  if (Value.Crash_.IsCrash_) {
    Incarnations_.recordCrash(Facts.Address_);
    noteCrash(Facts, Value.Crash_, Placed);
  }
  return {};
}
