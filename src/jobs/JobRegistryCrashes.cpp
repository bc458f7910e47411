// Crash attribution of JobRegistry.
#include "tulipweir/jobs/JobRegistry.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

static std::uint64_t findAgeMs(const CrashEvidence &Crash,
                               const TaskKey &Task) {
  const auto It =
      std::lower_bound(Crash.ReportedRuns_.begin(), Crash.ReportedRuns_.end(),
                       Task, [](const ReportedRun &Run, const TaskKey &Key) {
                         return Run.Task_ < Key;
                       });
  return It != Crash.ReportedRuns_.end() && It->Task_ == Task ? It->AgeMs_ : 0;
}

/// Returns whether both suspects belong to the same run of a task or gang.
static bool isSameRun(const JobRegistry &Registry, const CrashSuspect &First,
                      const CrashSuspect &Second) {
  TaskKey Sibling = First.Task_;
  Sibling.Index_ = Second.Task_.Index_;
  const StepSpec *Step = Registry.findStep(First.Task_);
  return First.Task_ == Second.Task_ ||
         (Step && Step->Gang_ && Sibling == Second.Task_ &&
          First.Run_ == Second.Run_);
}

/// Returns whether an earlier incarnation at the server's address crashed under
/// the task.
static bool hasCrashedBefore(const CrashRecords &Records,
                             const ServerFacts &Server) {
  return std::any_of(
      Records.begin(), Records.end(), [&Server](const CrashRecord &Crash) {
        return Crash.Address_ == Server.Address_ && Crash.Server_ != Server.Id_;
      });
}

static bool isSettled(const CrashSuspect &Suspect) {
  return Suspect.AgeMs_ >= SettledAgeMs;
}

/// Returns the runs that may have crashed the server. Clears the crash records
/// of tasks whose runs had lasted long enough to be harmless.
std::vector<CrashSuspect>
JobRegistry::collectSuspects(const CrashEvidence &Crash,
                             const std::map<TaskKey, std::uint64_t> &Placed) {
  std::vector<CrashSuspect> Suspects;
  for (const auto &[Task, Run] : Placed) {
    TaskRecord *Record = findMutableTask(Task);
    if (!Record)
      continue;
    CrashSuspect Suspect{Task, Run, findAgeMs(Crash, Task), false};
    if (Suspect.AgeMs_ >= HarmlessAgeMs) {
      Record->Crashes_.clear();
      updateSuspect(Task);
      continue;
    }
    // A new leader does not know how long the run had been reported, so an age
    // of 0 does not incriminate a run that has outlasted its isolation.
    if (Suspect.AgeMs_ == 0 && Record->LastSurvivingRun_ == Run)
      continue;
    Suspect.IsIsolated_ = needsIsolation(Record->Crashes_) &&
                          Suspect.AgeMs_ < getIsolationMs(Record->Crashes_);
    Suspects.push_back(std::move(Suspect));
  }
  return Suspects;
}

/// Attributes the crash to isolated runs, as no run started beside them;
/// otherwise to all runs that have not been shown to be harmless.
void JobRegistry::recordCrash(const ServerFacts &Server,
                              const CrashEvidence &Crash,
                              const std::map<TaskKey, std::uint64_t> &Placed) {
  std::vector<CrashSuspect> Suspects = collectSuspects(Crash, Placed);
  const auto Others = std::stable_partition(
      Suspects.begin(), Suspects.end(),
      [](const CrashSuspect &Suspect) { return Suspect.IsIsolated_; });
  const bool AreOthersSettled = std::all_of(Others, Suspects.end(), isSettled);
  const bool IsIsolated = Others != Suspects.begin() && AreOthersSettled;
  if (IsIsolated)
    Suspects.erase(Others, Suspects.end());
  const bool IsOneRun = std::all_of(
      Suspects.begin(), Suspects.end(), [&](const CrashSuspect &Suspect) {
        return isSameRun(*this, Suspects.front(), Suspect);
      });
  const bool IsConclusive =
      IsOneRun && Crash.WasServerStable_ && !Crash.IsCorrelated_;
  for (const CrashSuspect &Suspect : Suspects) {
    const TaskRecord *Task = findTask(Suspect.Task_);
    if (!Task)
      continue;
    CrashRecord Record;
    Record.Run_ = Suspect.Run_;
    Record.Server_ = Server.Id_;
    Record.Address_ = Server.Address_;
    Record.AgeMs_ = Suspect.AgeMs_;
    Record.IsCorrelated_ = Crash.IsCorrelated_;
    // A second crash at the same address may be caused by the machine at that
    // address.
    Record.IsConclusive_ =
        IsConclusive && !hasCrashedBefore(Task->Crashes_, Server);
    Record.IsConfirmed_ = Crash.IsConfirmed_;
    Record.OnlyIsolates_ =
        !IsIsolated && !AreOthersSettled && isSettled(Suspect);
    addCrashTo(Suspect.Task_, Record);
  }
}

/// Adds the record to the task. A gang's crash counts against all its members,
/// as its failures do.
void JobRegistry::addCrashTo(const TaskKey &Task, const CrashRecord &Record) {
  const auto It = Jobs_.find(Task.Job_);
  if (It == Jobs_.end() || isEnded(It->second.State_))
    return;
  JobRecord &Job = It->second;
  const auto Add = [&](const TaskKey &Key) {
    TaskRecord *Member = findMutableTask(Key);
    if (!Member || Member->State_ == TaskState::Done)
      return;
    addCrash(Member->Crashes_, Record);
    updateSuspect(Key);
  };
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  Add(Task);
  if (Step.Gang_)
    for (std::uint64_t Index = 0; Index < Step.Count_; ++Index)
      Add({Task.Job_, Task.Occurrence_, Task.Step_, Index});
  failJobForCrashes(Task);
}

void JobRegistry::failJobForCrashes(const TaskKey &Task) {
  const TaskRecord *Record = findTask(Task);
  JobRecord &Job = Jobs_.at(Task.Job_);
  if (!Record || isEnded(Job.State_) || !shouldGiveUp(Record->Crashes_))
    return;
  const std::string Servers = listServers(Record->Crashes_);
  markCrashesExplained(*Record);
  failJob(Job, Task, FailureCause::Crashes, "crashed the servers " + Servers);
}

/// Marks the crashes under the task as explained by it, so that its servers
/// count as stable again.
void JobRegistry::markCrashesExplained(const TaskRecord &Task) {
  for (const CrashRecord &Crash : Task.Crashes_) {
    Incarnations_.attributeCrash(Crash.Address_, Crash.Server_);
    if (ServerRecord *Server = Servers_.find(findServerAt(Crash.Address_)))
      Server->IsAfterCrash_ = Incarnations_.isAfterCrash(Crash.Address_);
  }
}

/// Marks the server's crash as confirmed, as another incarnation has registered
/// at its address.
void JobRegistry::confirmCrashesOf(const std::string &Server) {
  for (const TaskKey &Task : listSuspectsOf(Server)) {
    TaskRecord *Record = findMutableTask(Task);
    // The task is gone if an earlier iteration failed its job.
    if (!Record)
      continue;
    for (CrashRecord &Crash : Record->Crashes_)
      if (Crash.Server_ == Server)
        Crash.IsConfirmed_ = true;
    failJobForCrashes(Task);
  }
}

CommandResult JobRegistry::apply(const RecordSurvivingRuns &Cmd) {
  for (const SurvivingRun &Survivor : Cmd.Runs_) {
    TaskRecord *Record = findMutableTask(Survivor.Task_);
    if (!Record || Record->LastRun_ != Survivor.Run_)
      continue;
    Record->LastSurvivingRun_ = Survivor.Run_;
    if (Survivor.IsHarmless_)
      Record->Crashes_.clear();
    updateSuspect(Survivor.Task_);
  }
  return {};
}

void JobRegistry::dropCrashesOf(const std::string &Server) {
  for (const TaskKey &Task : listSuspectsOf(Server)) {
    std::erase_if(findMutableTask(Task)->Crashes_,
                  [&Server](const CrashRecord &Crash) {
                    return Crash.Server_ == Server;
                  });
    updateSuspect(Task);
  }
}

void JobRegistry::updateSuspect(const TaskKey &Task) {
  const JobRecord *Job = findJob(Task.Job_);
  const TaskRecord *Record = Job ? Job->findTask(Task) : nullptr;
  const bool IsSuspect = Record && !isEnded(Job->State_) &&
                         Record->State_ != TaskState::Done &&
                         !Record->Crashes_.empty();
  if (const auto It = Suspects_.find(Task); It != Suspects_.end()) {
    for (const std::string &Server : It->second)
      SuspectsByServer_.erase({Server, Task});
    Suspects_.erase(It);
  }
  if (!IsSuspect)
    return;
  std::vector<std::string> &Servers = Suspects_[Task];
  for (const CrashRecord &Crash : Record->Crashes_)
    if (SuspectsByServer_.emplace(Crash.Server_, Task).second)
      Servers.push_back(Crash.Server_);
}

std::vector<TaskKey>
JobRegistry::listSuspectsOf(const std::string &Server) const {
  std::vector<TaskKey> Tasks;
  for (auto It = SuspectsByServer_.lower_bound({Server, TaskKey{}});
       It != SuspectsByServer_.end() && It->first == Server; ++It)
    Tasks.push_back(It->second);
  return Tasks;
}

void JobRegistry::updateSuspectsOf(const JobRecord &Job) {
  std::vector<TaskKey> Tasks;
  for (auto It = Suspects_.lower_bound({Job.Spec_.Id_, 0, 0, 0});
       It != Suspects_.end() && It->first.Job_ == Job.Spec_.Id_; ++It)
    Tasks.push_back(It->first);
  for (const TaskKey &Task : Tasks)
    updateSuspect(Task);
}
