//===- NaiveJobs.h - The jobs' rules, written down again ------------------===//
//
// The same commands over flat lists that are searched from end to end, with
// nothing derived and nothing indexed. Written from docs/PLATFORM.md, to be
// compared with JobBook.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBS_NAIVEJOBS_H
#define TULIPWEIR_TESTS_JOBS_NAIVEJOBS_H

#include "tulipweir/jobs/JobBook.h"

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
    RunEnd How_ = RunEnd::Done;
    bool IsLost_ = false; ///< Given up with its server.
  };
  struct Job {
    JobSpec Spec_;
    std::string Prefix_;
    std::uint64_t Attempts_ = 0;
    std::string Service_;
    JobState State_ = JobState::Queued;
    std::uint64_t Opened_ = 0;
  };

  Verdict submit(const SubmitJob &Value) {
    if (find(Value.Spec_.Id_))
      return Verdict::AlreadyDone;
    for (const QueuePolicy &Queue : Configuration_.Queues_)
      if (Queue.Host_ == Value.Host_ &&
          Queue.PathPrefix_ == Value.PathPrefix_) {
        Jobs_.push_back({Value.Spec_, Queue.PathPrefix_, Queue.Attempts_,
                         Queue.Service_, JobState::Queued,
                         Value.Spec_.RepeatCount_ == 0 ? 1U : 0U});
        return Verdict::Done;
      }
    return Verdict::NotFound;
  }
  Verdict cancel(const std::string &Id) {
    Job *Found = find(Id);
    if (!Found)
      return Verdict::NotFound;
    if (isEnded(Found->State_))
      return Verdict::AlreadyDone;
    Found->State_ = JobState::Cancelled;
    return Verdict::Done;
  }
  Verdict open(const OpenOccurrence &Value) {
    Job *Found = find(Value.Job_);
    if (!Found)
      return Verdict::NotFound;
    if (isEnded(Found->State_) || Found->Opened_ != Value.Occurrence_ ||
        Found->Opened_ >= Found->Spec_.countOccurrences())
      return Verdict::Refused;
    ++Found->Opened_;
    return Verdict::Done;
  }
  void addServer(const ServerFacts &Facts) {
    for (ServerFacts &Each : Servers_)
      if (Each.Id_ == Facts.Id_) {
        Each = Facts;
        return;
      }
    Servers_.push_back(Facts);
  }
  void removeServer(const std::string &Id) {
    for (Run &Each : Runs_)
      if (Each.Server_ == Id && !Each.IsOver_) {
        Each.IsOver_ = Each.IsLost_ = true;
        Each.How_ = RunEnd::Lapsed;
      }
    std::erase_if(Servers_,
                  [&Id](const ServerFacts &Each) { return Each.Id_ == Id; });
  }
  bool start(const TaskStart &Start) {
    if (!mayStart(Start))
      return false;
    Runs_.push_back({Start.Task_, Start.Run_, Start.Server_, false, {}, false});
    Job &Owner = *find(Start.Task_.Job_);
    if (Owner.State_ == JobState::Queued)
      Owner.State_ = JobState::Running;
    return true;
  }
  void end(const std::string &Server, const TaskEnd &End) {
    Job *Owner = find(End.Task_.Job_);
    for (Run &Each : Runs_) {
      const bool IsIt = Each.Task_ == End.Task_ && Each.Number_ == End.Run_ &&
                        Each.Server_ == Server;
      if (!IsIt)
        continue;
      const bool IsLateDone = Each.IsLost_ && End.How_ == RunEnd::Done;
      if (Each.IsOver_ && !IsLateDone)
        return;
      if (Owner && isEnded(Owner->State_)) {
        Each.IsOver_ = true;
        Each.How_ = RunEnd::Stopped;
        return;
      }
      Each.IsOver_ = true;
      Each.How_ = End.How_;
      settle(*Owner, End);
      return;
    }
  }
  void evacuate(const EvacuateDataCentre &Value) {
    std::erase(Evacuated_, Value.DataCentre_);
    if (Value.IsBegun_)
      Evacuated_.push_back(Value.DataCentre_);
  }
  void configure(const Configuration &Value) {
    if (Value.Version_ <= Configuration_.Version_)
      return;
    Configuration_ = Value;
    for (Job &Each : Jobs_)
      for (const QueuePolicy &Queue : Value.Queues_)
        if (Queue.PathPrefix_ == Each.Prefix_) {
          Each.Attempts_ = Queue.Attempts_;
          Each.Service_ = Queue.Service_;
        }
  }

  const Job *find(const std::string &Id) const {
    return const_cast<NaiveJobs *>(this)->find(Id);
  }
  bool isDone(const TaskKey &Task) const {
    return std::any_of(Runs_.begin(), Runs_.end(), [&Task](const Run &Each) {
      return Each.Task_ == Task && Each.IsOver_ && Each.How_ == RunEnd::Done;
    });
  }
  std::int64_t getUsed(const std::string &Server) const {
    std::int64_t Used = 0;
    for (const Run &Each : Runs_)
      if (Each.Server_ == Server && !Each.IsOver_)
        Used += stepOf(Each.Task_).getReserved().MilliCpus_;
    return Used;
  }
  std::uint64_t countPending() const {
    return static_cast<std::uint64_t>(
        std::count_if(Jobs_.begin(), Jobs_.end(), [](const Job &Each) {
          return Each.State_ == JobState::Queued;
        }));
  }
  const std::vector<Job> &jobs() const { return Jobs_; }
  const std::vector<ServerFacts> &servers() const { return Servers_; }
  const std::vector<Run> &runs() const { return Runs_; }

private:
  Job *find(const std::string &Id) {
    for (Job &Each : Jobs_)
      if (Each.Spec_.Id_ == Id)
        return &Each;
    return nullptr;
  }
  const StepSpec &stepOf(const TaskKey &Task) const {
    return find(Task.Job_)->Spec_.Steps_[Task.Step_];
  }
  bool isStepDone(const Job &Owner, std::uint64_t Occurrence,
                  std::uint64_t Step) const {
    for (std::uint64_t I = 0; I < Owner.Spec_.Steps_[Step].Count_; ++I)
      if (!isDone({Owner.Spec_.Id_, Occurrence, Step, I}))
        return false;
    return true;
  }
  bool mayStart(const TaskStart &Start) const {
    const Job *Owner = find(Start.Task_.Job_);
    if (!Owner || isEnded(Owner->State_) ||
        Start.Task_.Occurrence_ >= Owner->Opened_ ||
        Start.Task_.Step_ >= Owner->Spec_.Steps_.size())
      return false;
    const StepSpec &Step = Owner->Spec_.Steps_[Start.Task_.Step_];
    if (Start.Task_.Index_ >= Step.Count_ || isDone(Start.Task_))
      return false;
    for (const std::uint64_t Before : Step.DependsOn_)
      if (!isStepDone(*Owner, Start.Task_.Occurrence_, Before))
        return false;
    std::uint64_t Failures = 0;
    std::uint64_t Beside = 0;
    for (const Run &Each : Runs_) {
      if (Each.Task_ == Start.Task_) {
        if (Each.Number_ >= Start.Run_ || !Each.IsOver_)
          return false;
        Failures += Each.How_ == RunEnd::Failed ? 1 : 0;
      }
      const bool IsOfStep = Each.Task_.Job_ == Start.Task_.Job_ &&
                            Each.Task_.Occurrence_ == Start.Task_.Occurrence_ &&
                            Each.Task_.Step_ == Start.Task_.Step_;
      Beside += IsOfStep && !Each.IsOver_ && Each.Server_ == Start.Server_;
    }
    if (!Step.LongRunning_ && Failures >= Owner->Attempts_)
      return false;
    if (Step.SpreadLimit_ > 0 && Beside >= Step.SpreadLimit_)
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
  void settle(Job &Owner, const TaskEnd &End) {
    const StepSpec &Step = Owner.Spec_.Steps_[End.Task_.Step_];
    if (End.How_ == RunEnd::Failed && !Step.LongRunning_ &&
        !isDone(End.Task_)) {
      const auto Failures =
          std::count_if(Runs_.begin(), Runs_.end(), [&End](const Run &Each) {
            return Each.Task_ == End.Task_ && Each.How_ == RunEnd::Failed &&
                   Each.IsOver_;
          });
      if (static_cast<std::uint64_t>(Failures) >= Owner.Attempts_)
        Owner.State_ = JobState::Failed;
      return;
    }
    if (End.How_ != RunEnd::Done)
      return;
    if (Step.LongRunning_) {
      for (Run &Each : Runs_)
        if (Each.Task_ == End.Task_ && Each.How_ == RunEnd::Done)
          Each.How_ = RunEnd::Stopped;
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
