// What the book concludes from servers that crashed.
#include "tulipweir/jobs/JobBook.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

static std::uint64_t findAgeMs(const CrashEvidence &Crash,
                               const TaskKey &Task) {
  const auto Found = std::lower_bound(
      Crash.Seen_.begin(), Crash.Seen_.end(), Task,
      [](const SeenRun &Each, const TaskKey &Key) { return Each.Task_ < Key; });
  return Found != Crash.Seen_.end() && Found->Task_ == Task ? Found->AgeMs_ : 0;
}

/// Whether one run of a task, or of a gang, is behind both.
static bool isSameRun(const JobBook &Book, const CrashSuspect &Left,
                      const CrashSuspect &Right) {
  TaskKey Sibling = Left.Task_;
  Sibling.Index_ = Right.Task_.Index_;
  const StepSpec *Step = Book.findStep(Left.Task_);
  return Left.Task_ == Right.Task_ ||
         (Step && Step->Gang_ && Sibling == Right.Task_ &&
          Left.Run_ == Right.Run_);
}

/// Whether a server crashed at the address before, under the task.
static bool hasCrashedBefore(const CrashRecords &Records,
                             const ServerFacts &Server) {
  return std::any_of(
      Records.begin(), Records.end(), [&Server](const CrashRecord &Each) {
        return Each.Address_ == Server.Address_ && Each.Server_ != Server.Id_;
      });
}

static bool isSettled(const CrashSuspect &Each) {
  return Each.AgeMs_ >= SettledAfterMs;
}

/// The runs that may have crashed the server. Those that have run for long are
/// cleared.
std::vector<CrashSuspect>
JobBook::takeSuspects(const CrashEvidence &Crash,
                      const std::map<TaskKey, std::uint64_t> &Placed) {
  std::vector<CrashSuspect> Suspects;
  for (const auto &[Task, Run] : Placed) {
    TaskRecord *Record = findTaskToChange(Task);
    if (!Record)
      continue;
    CrashSuspect Each{Task, Run, findAgeMs(Crash, Task), false};
    if (Each.AgeMs_ >= HarmlessAfterMs) {
      Record->Crashes_.clear();
      updateSuspect(Task);
      continue;
    }
    // A new leader has not seen for how long the run was there.
    if (Each.AgeMs_ == 0 && Record->ProvedRun_ == Run)
      continue;
    Each.IsIsolated_ = needsIsolation(Record->Crashes_) &&
                       Each.AgeMs_ < getIsolationMs(Record->Crashes_);
    Suspects.push_back(std::move(Each));
  }
  return Suspects;
}

/// A crash is put down to runs in isolation, as nothing began beside them; else
/// to all runs that have not proved to be harmless.
void JobBook::noteCrash(const ServerFacts &Server, const CrashEvidence &Crash,
                        const std::map<TaskKey, std::uint64_t> &Placed) {
  std::vector<CrashSuspect> Blamed = takeSuspects(Crash, Placed);
  const auto Others = std::stable_partition(
      Blamed.begin(), Blamed.end(),
      [](const CrashSuspect &Each) { return Each.IsIsolated_; });
  const bool AreOthersSettled = std::all_of(Others, Blamed.end(), isSettled);
  const bool IsIsolated = Others != Blamed.begin() && AreOthersSettled;
  if (IsIsolated)
    Blamed.erase(Others, Blamed.end());
  const bool IsOneRun =
      std::all_of(Blamed.begin(), Blamed.end(), [&](const CrashSuspect &Each) {
        return isSameRun(*this, Blamed.front(), Each);
      });
  const bool IsConclusive = IsOneRun && Crash.IsStable_ && !Crash.IsAmongMany_;
  for (const CrashSuspect &Each : Blamed) {
    const TaskRecord *Task = findTask(Each.Task_);
    if (!Task)
      continue;
    CrashRecord Record;
    Record.Run_ = Each.Run_;
    Record.Server_ = Server.Id_;
    Record.Address_ = Server.Address_;
    Record.AgeMs_ = Each.AgeMs_;
    Record.IsAmongMany_ = Crash.IsAmongMany_;
    // A second crash at one address may be the address's fault.
    Record.IsConclusive_ =
        IsConclusive && !hasCrashedBefore(Task->Crashes_, Server);
    Record.IsConfirmed_ = Crash.IsConfirmed_;
    Record.IsDoubtful_ = !IsIsolated && !AreOthersSettled && isSettled(Each);
    addCrashTo(Each.Task_, Record);
  }
}

/// A gang's crash counts against all its members, as its failures do.
void JobBook::addCrashTo(const TaskKey &Task, const CrashRecord &Record) {
  const auto Found = Jobs_.find(Task.Job_);
  if (Found == Jobs_.end() || isEnded(Found->second.State_))
    return;
  JobRecord &Job = Found->second;
  const auto Add = [&](const TaskKey &Key) {
    TaskRecord *Each = findTaskToChange(Key);
    if (!Each || Each->State_ == TaskState::Done)
      return;
    addCrash(Each->Crashes_, Record);
    updateSuspect(Key);
  };
  const StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  Add(Task);
  if (Step.Gang_)
    for (std::uint64_t Index = 0; Index < Step.Count_; ++Index)
      Add({Task.Job_, Task.Occurrence_, Task.Step_, Index});
  giveUpIfGuilty(Task);
}

void JobBook::giveUpIfGuilty(const TaskKey &Task) {
  const TaskRecord *Record = findTask(Task);
  JobRecord &Job = Jobs_.at(Task.Job_);
  if (!Record || isEnded(Job.State_) || !isToGiveUp(Record->Crashes_))
    return;
  const std::string Servers = listServers(Record->Crashes_);
  explainCrashes(*Record);
  failJob(Job, Task, FailureCause::Crashes, "crashed the servers " + Servers);
}

/// The task's servers crashed for a reason that is over now, and are stable.
void JobBook::explainCrashes(const TaskRecord &Task) {
  for (const CrashRecord &Crash : Task.Crashes_) {
    Incarnations_.attributeCrash(Crash.Address_, Crash.Server_);
    const auto Server = Servers_.find(findServerAt(Crash.Address_));
    if (Server != Servers_.end())
      Server->second.IsAfterCrash_ = Incarnations_.isAfterCrash(Crash.Address_);
  }
}

/// Another incarnation of the server has registered at its address.
void JobBook::confirmCrashOf(const std::string &Server) {
  for (const TaskKey &Task : listSuspectsOf(Server)) {
    TaskRecord *Record = findTaskToChange(Task);
    // An earlier one of these may have ended the job.
    if (!Record)
      continue;
    for (CrashRecord &Each : Record->Crashes_)
      if (Each.Server_ == Server)
        Each.IsConfirmed_ = true;
    giveUpIfGuilty(Task);
  }
}

CommandResult JobBook::apply(const NoteProved &Value) {
  for (const ProvedRun &Each : Value.Runs_) {
    TaskRecord *Record = findTaskToChange(Each.Task_);
    if (!Record || Record->LastRun_ != Each.Run_)
      continue;
    Record->ProvedRun_ = Each.Run_;
    if (Each.IsHarmless_)
      Record->Crashes_.clear();
    updateSuspect(Each.Task_);
  }
  return {};
}

void JobBook::dropCrashesOf(const std::string &Server) {
  for (const TaskKey &Task : listSuspectsOf(Server)) {
    std::erase_if(
        findTaskToChange(Task)->Crashes_,
        [&Server](const CrashRecord &Each) { return Each.Server_ == Server; });
    updateSuspect(Task);
  }
}

void JobBook::updateSuspect(const TaskKey &Task) {
  const JobRecord *Job = findJob(Task.Job_);
  const TaskRecord *Record = Job ? Job->findTask(Task) : nullptr;
  const bool IsSuspect = Record && !isEnded(Job->State_) &&
                         Record->State_ != TaskState::Done &&
                         !Record->Crashes_.empty();
  if (const auto Known = Suspects_.find(Task); Known != Suspects_.end()) {
    for (const std::string &Server : Known->second)
      SuspectsByServer_.erase({Server, Task});
    Suspects_.erase(Known);
  }
  if (!IsSuspect)
    return;
  std::vector<std::string> &Servers = Suspects_[Task];
  for (const CrashRecord &Each : Record->Crashes_)
    if (SuspectsByServer_.emplace(Each.Server_, Task).second)
      Servers.push_back(Each.Server_);
}

std::vector<TaskKey> JobBook::listSuspectsOf(const std::string &Server) const {
  std::vector<TaskKey> Tasks;
  for (auto Each = SuspectsByServer_.lower_bound({Server, TaskKey{}});
       Each != SuspectsByServer_.end() && Each->first == Server; ++Each)
    Tasks.push_back(Each->second);
  return Tasks;
}

void JobBook::updateSuspectsOf(const JobRecord &Job) {
  std::vector<TaskKey> Own;
  for (auto Each = Suspects_.lower_bound({Job.Spec_.Id_, 0, 0, 0});
       Each != Suspects_.end() && Each->first.Job_ == Job.Spec_.Id_; ++Each)
    Own.push_back(Each->first);
  for (const TaskKey &Task : Own)
    updateSuspect(Task);
}
