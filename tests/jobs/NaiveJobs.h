//===- NaiveJobs.h - Naive model of JobRegistry ----------------*- C++ -*-===//
//
// Applies the same commands to flat lists that are searched linearly, with no
// derived state and no indexes. Implements docs/PLATFORM.md independently of
// JobRegistry, to be compared with it.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBS_NAIVEJOBS_H
#define TULIPWEIR_TESTS_JOBS_NAIVEJOBS_H

#include "tulipweir/jobs/JobRegistry.h"

#include <algorithm>
#include <string>
#include <vector>

namespace tulipweir::jobs::test {

class NaiveJobs {
public:
  struct Run {
    TaskKey Task_;
    std::uint64_t Number_ = 0;
    std::string Server_;
    bool IsOver_ = false;
    RunOutcome Outcome_ = RunOutcome::Done;
    bool IsLost_ = false; ///< Ended by the removal of its server.
  };
  struct Job {
    JobSpec Spec_;
    std::string Prefix_;
    std::uint64_t Attempts_ = 0;
    std::string Service_;
    JobState State_ = JobState::Queued;
    std::uint64_t Opened_ = 0;
  };

  CommandStatus submit(const SubmitJob &Cmd) {
    if (find(Cmd.Spec_.Id_))
      return CommandStatus::AlreadyDone;
    for (const QueuePolicy &Queue : Configuration_.Queues_)
      if (Queue.Host_ == Cmd.Host_ && Queue.PathPrefix_ == Cmd.PathPrefix_) {
        Jobs_.push_back({Cmd.Spec_, Queue.PathPrefix_, Queue.Attempts_,
                         Queue.Service_, JobState::Queued,
                         Cmd.Spec_.RepeatCount_ == 0 ? 1U : 0U});
        return CommandStatus::Done;
      }
    return CommandStatus::NotFound;
  }
  CommandStatus cancel(const std::string &Id) {
    Job *Entry = find(Id);
    if (!Entry)
      return CommandStatus::NotFound;
    if (isEnded(Entry->State_))
      return CommandStatus::AlreadyDone;
    Entry->State_ = JobState::Cancelled;
    return CommandStatus::Done;
  }
  CommandStatus open(const OpenOccurrence &Cmd) {
    Job *Entry = find(Cmd.Job_);
    if (!Entry)
      return CommandStatus::NotFound;
    if (isEnded(Entry->State_) || Entry->Opened_ != Cmd.Occurrence_ ||
        Entry->Opened_ >= Entry->Spec_.countOccurrences())
      return CommandStatus::Refused;
    ++Entry->Opened_;
    return CommandStatus::Done;
  }
  void addServer(const ServerFacts &Facts) {
    for (ServerFacts &Known : Servers_)
      if (Known.Id_ == Facts.Id_) {
        Known = Facts;
        return;
      }
    Servers_.push_back(Facts);
  }
  void removeServer(const std::string &Id) {
    for (Run &Existing : Runs_)
      if (Existing.Server_ == Id && !Existing.IsOver_) {
        Existing.IsOver_ = Existing.IsLost_ = true;
        Existing.Outcome_ = RunOutcome::LeaseExpired;
      }
    std::erase_if(Servers_, [&Id](const ServerFacts &Server) {
      return Server.Id_ == Id;
    });
  }
  bool start(const TaskStart &Start) {
    if (!canStart(Start))
      return false;
    Runs_.push_back({Start.Task_, Start.Run_, Start.Server_, false, {}, false});
    Job &Owner = *find(Start.Task_.Job_);
    if (Owner.State_ == JobState::Queued)
      Owner.State_ = JobState::Running;
    return true;
  }
  void end(const std::string &Server, const TaskEnd &End) {
    Job *Owner = find(End.Task_.Job_);
    for (Run &Existing : Runs_) {
      const bool IsSameRun = Existing.Task_ == End.Task_ &&
                             Existing.Number_ == End.Run_ &&
                             Existing.Server_ == Server;
      if (!IsSameRun)
        continue;
      const bool IsLateDone =
          Existing.IsLost_ && End.Outcome_ == RunOutcome::Done;
      if (Existing.IsOver_ && !IsLateDone)
        return;
      if (Owner && isEnded(Owner->State_)) {
        Existing.IsOver_ = true;
        Existing.Outcome_ = RunOutcome::Stopped;
        return;
      }
      Existing.IsOver_ = true;
      Existing.Outcome_ = End.Outcome_;
      applyOutcome(*Owner, End);
      return;
    }
  }
  void evacuate(const EvacuateDataCentre &Cmd) {
    std::erase(Evacuated_, Cmd.DataCentre_);
    if (Cmd.IsStart_)
      Evacuated_.push_back(Cmd.DataCentre_);
  }
  void configure(const Configuration &Config) {
    if (Config.Version_ <= Configuration_.Version_)
      return;
    Configuration_ = Config;
    for (Job &Entry : Jobs_)
      for (const QueuePolicy &Queue : Config.Queues_)
        if (Queue.PathPrefix_ == Entry.Prefix_) {
          Entry.Attempts_ = Queue.Attempts_;
          Entry.Service_ = Queue.Service_;
        }
  }

  const Job *find(const std::string &Id) const {
    return const_cast<NaiveJobs *>(this)->find(Id);
  }
  bool isDone(const TaskKey &Task) const {
    return std::any_of(Runs_.begin(), Runs_.end(),
                       [&Task](const Run &Existing) {
                         return Existing.Task_ == Task && Existing.IsOver_ &&
                                Existing.Outcome_ == RunOutcome::Done;
                       });
  }
  std::int64_t getUsed(const std::string &Server) const {
    std::int64_t Used = 0;
    for (const Run &Existing : Runs_)
      if (Existing.Server_ == Server && !Existing.IsOver_)
        Used += getStep(Existing.Task_).getReserved().MilliCpus_;
    return Used;
  }
  std::uint64_t countPending() const {
    return static_cast<std::uint64_t>(
        std::count_if(Jobs_.begin(), Jobs_.end(), [](const Job &Entry) {
          return Entry.State_ == JobState::Queued;
        }));
  }
  const std::vector<Job> &jobs() const { return Jobs_; }
  const std::vector<ServerFacts> &servers() const { return Servers_; }
  const std::vector<Run> &runs() const { return Runs_; }

private:
  Job *find(const std::string &Id) {
    for (Job &Entry : Jobs_)
      if (Entry.Spec_.Id_ == Id)
        return &Entry;
    return nullptr;
  }
  const StepSpec &getStep(const TaskKey &Task) const {
    return find(Task.Job_)->Spec_.Steps_[Task.Step_];
  }
  bool isStepDone(const Job &Owner, std::uint64_t Occurrence,
                  std::uint64_t Step) const {
    for (std::uint64_t I = 0; I < Owner.Spec_.Steps_[Step].Count_; ++I)
      if (!isDone({Owner.Spec_.Id_, Occurrence, Step, I}))
        return false;
    return true;
  }
  bool canStart(const TaskStart &Start) const {
    const Job *Owner = find(Start.Task_.Job_);
    if (!Owner || isEnded(Owner->State_) ||
        Start.Task_.Occurrence_ >= Owner->Opened_ ||
        Start.Task_.Step_ >= Owner->Spec_.Steps_.size())
      return false;
    const StepSpec &Step = Owner->Spec_.Steps_[Start.Task_.Step_];
    if (Start.Task_.Index_ >= Step.Count_ || isDone(Start.Task_))
      return false;
    for (const std::uint64_t Dependency : Step.DependsOn_)
      if (!isStepDone(*Owner, Start.Task_.Occurrence_, Dependency))
        return false;
    std::uint64_t Failures = 0;
    std::uint64_t RunsOfStep = 0;
    std::uint64_t OpenRuns = 0;
    for (const Run &Existing : Runs_) {
      if (Existing.Task_ == Start.Task_) {
        if (Existing.Number_ >= Start.Run_)
          return false;
        if (!Existing.IsOver_ && Existing.Server_ == Start.Server_)
          return false;
        OpenRuns += Existing.IsOver_ ? 0 : 1;
        Failures += Existing.Outcome_ == RunOutcome::Failed ? 1 : 0;
      }
      const bool IsOfStep =
          Existing.Task_.Job_ == Start.Task_.Job_ &&
          Existing.Task_.Occurrence_ == Start.Task_.Occurrence_ &&
          Existing.Task_.Step_ == Start.Task_.Step_;
      RunsOfStep +=
          IsOfStep && !Existing.IsOver_ && Existing.Server_ == Start.Server_;
    }
    if (OpenRuns > (Step.Speculative_ ? 1U : 0U))
      return false;
    if (!Step.LongRunning_ && Failures >= Owner->Attempts_)
      return false;
    if (Step.SpreadLimit_ > 0 && RunsOfStep >= Step.SpreadLimit_)
      return false;
    for (const ServerFacts &Server : Servers_)
      if (Server.Id_ == Start.Server_)
        return std::count(Evacuated_.begin(), Evacuated_.end(),
                          Server.DataCentre_) == 0 &&
               Server.Service_ == Owner->Service_ &&
               getUsed(Server.Id_) + Step.getReserved().MilliCpus_ <=
                   Server.Capacity_.MilliCpus_;
    return false;
  }
  void applyOutcome(Job &Owner, const TaskEnd &End) {
    const StepSpec &Step = Owner.Spec_.Steps_[End.Task_.Step_];
    if (End.Outcome_ == RunOutcome::Failed && !Step.LongRunning_ &&
        !isDone(End.Task_)) {
      const auto Failures = std::count_if(
          Runs_.begin(), Runs_.end(), [&End](const Run &Existing) {
            return Existing.Task_ == End.Task_ &&
                   Existing.Outcome_ == RunOutcome::Failed && Existing.IsOver_;
          });
      if (static_cast<std::uint64_t>(Failures) >= Owner.Attempts_)
        Owner.State_ = JobState::Failed;
      return;
    }
    if (End.Outcome_ != RunOutcome::Done)
      return;
    if (Step.LongRunning_) {
      for (Run &Existing : Runs_)
        if (Existing.Task_ == End.Task_ &&
            Existing.Outcome_ == RunOutcome::Done)
          Existing.Outcome_ = RunOutcome::Stopped;
      return;
    }
    for (std::uint64_t K = 0; K < Owner.Spec_.countOccurrences(); ++K)
      for (std::uint64_t S = 0; S < Owner.Spec_.Steps_.size(); ++S)
        if (!isStepDone(Owner, K, S))
          return;
    Owner.State_ = JobState::Completed;
  }

  Configuration Configuration_;
  std::vector<Job> Jobs_;
  std::vector<ServerFacts> Servers_;
  std::vector<Run> Runs_;
  std::vector<std::string> Evacuated_;
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_NAIVEJOBS_H
