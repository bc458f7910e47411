// What ChangingLeaders records of its tasks, and its violations.
#include "jobservice/ChangingLeaders.h"

#include <iomanip>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

std::string ChangingLeaders::formatTime(Duration Time) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(2)
      << std::chrono::duration<double>(Time).count();
  return Out.str();
}

static TaskKey makeKey(const Event &Value) {
  // Jobs of the fleet have one step, so the last part of the name is the index.
  return {Value.Job_, 0, 0,
          std::stoull(Value.Task_.substr(Value.Task_.rfind('.') + 1))};
}

void ChangingLeaders::recordEvent(const Event &Value) {
  if (Value.Kind_ == EventKind::TaskStarted && Value.Outcome_ == "placed")
    recordPlacement(Value);
  if (Value.Kind_ == EventKind::LeadershipBegun)
    Events_.push_back(formatTime(getTime()) + " term " +
                      std::to_string(Value.Term_.value_or(0)) + " begins");
  if (Value.Kind_ == EventKind::ServerGone)
    Events_.push_back(formatTime(getTime()) + " remove " + Value.Server_);
  if (Value.Kind_ == EventKind::ServerRestarted)
    Events_.push_back(formatTime(getTime()) + " back " + Value.Server_ + ", " +
                      Value.Reason_);
  if (ObserveEvent_)
    ObserveEvent_(Value);
}

/// A task may be placed again only after the leases of the servers that ran it
/// have ended.
void ChangingLeaders::recordPlacement(const Event &Started) {
  const TaskKey Task = makeKey(Started);
  TaskHistory &History = Histories_[Task];
  ++History.Placements_;
  History.PreviouslyPlacedAt_ = std::exchange(History.PlacedAt_, Time_.now());
  for (const Server &Other : Servers_)
    if (!Other.IsGone_ && Other.getIncarnation() != Started.Server_ &&
        Other.Running_.count(Task) != 0)
      recordViolation("is placed on " + Started.Server_ + " within the lease " +
                          "of " + Other.Id_,
                      Task);
  if (LongRunningJobs_.count(Task.Job_) != 0)
    Events_.push_back(formatTime(getTime()) + " place " + Task.Job_ + "." +
                      std::to_string(Task.Index_) + " on " + Started.Server_);
}

void ChangingLeaders::recordAbsence(const TaskKey &Task, TaskHistory &History) {
  const Duration Away = Time_.now() - History.LastRunning_;
  History.IsAway_ = false;
  if (Away < 1s)
    return;
  ++Absences_;
  LongAbsences_.push_back({Task, History.LastRunning_ - StartedAt_, getTime(),
                           History.Placements_});
  if (History.Placements_ > 1)
    MaxDowntimeSincePlacement_ = std::max(
        MaxDowntimeSincePlacement_, Time_.now() - History.PreviouslyPlacedAt_);
  else
    MaxDowntime_ = std::max(MaxDowntime_, Away);
}

void ChangingLeaders::updateObservations() {
  const TimePoint Now = Time_.now();
  std::set<TaskKey> Seen;
  for (const Server &Backend : Servers_) {
    if (Backend.IsGone_)
      continue;
    for (const auto &[Task, Run] : Backend.Running_) {
      if (Run.IsLongRunning_)
        Seen.insert(Task);
      const auto Cancelled = Cancelled_.find(Task.Job_);
      if (Cancelled != Cancelled_.end())
        MaxTimeAfterCancel_ =
            std::max(MaxTimeAfterCancel_, Now - Cancelled->second);
    }
  }
  for (const TaskKey &Task : Seen) {
    TaskHistory &History = Histories_[Task];
    if (History.IsAway_)
      recordAbsence(Task, History);
    History.HasRun_ = true;
    History.LastRunning_ = Now;
    History.Placements_ = 0;
  }
  for (auto &[Task, History] : Histories_)
    if (Seen.count(Task) == 0)
      History.IsAway_ = History.HasRun_ && Cancelled_.count(Task.Job_) == 0;
}

void ChangingLeaders::recordViolation(const std::string &What,
                                      const TaskKey &Task) {
  Violations_.push_back(formatTime(getTime()) + " " + Task.Job_ + "." +
                        std::to_string(Task.Index_) + " " + What);
}

std::string ChangingLeaders::describe() const {
  std::ostringstream Out;
  const auto Longest =
      std::max_element(LongAbsences_.begin(), LongAbsences_.end(),
                       [](const Absence &A, const Absence &B) {
                         return A.Until_ - A.From_ < B.Until_ - B.From_;
                       });
  if (Longest == LongAbsences_.end())
    return "no absence";
  const std::string Name =
      Longest->Task_.Job_ + "." + std::to_string(Longest->Task_.Index_);
  Out << Absences_ << " absences; " << Name << " away from "
      << formatTime(Longest->From_) << " to " << formatTime(Longest->Until_)
      << " (" << formatTime(Longest->Until_ - Longest->From_) << " s), "
      << Longest->Placements_ << " placements";
  for (const std::string &Line : Events_) {
    const double At = std::stod(Line);
    const double From = std::chrono::duration<double>(Longest->From_).count();
    const double Until = std::chrono::duration<double>(Longest->Until_).count();
    const bool IsOther = Line.find(" place ") != std::string::npos &&
                         Line.find(Name + " ") == std::string::npos;
    if (At >= From - 1 && At <= Until && !IsOther)
      Out << "\n  " << Line;
  }
  return Out.str();
}
