// What the book concludes from servers that crashed.
#include "tulipweir/jobs/JobBook.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace {

/// A run that was placed on a server that crashed.
struct Suspect {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::uint64_t AgeMs_ = 0; ///< Zero if no report named it.
  bool IsIsolated_ = false; ///< Suspected before, and still to be proved.
};

} // namespace

static std::uint64_t findAgeMs(const CrashEvidence &Crash,
                               const TaskKey &Task) {
  const auto Found = std::lower_bound(
      Crash.Seen_.begin(), Crash.Seen_.end(), Task,
      [](const SeenRun &Each, const TaskKey &Key) { return Each.Task_ < Key; });
  return Found != Crash.Seen_.end() && Found->Task_ == Task ? Found->AgeMs_ : 0;
}

/// Whether one run of a task, or of a gang, is behind both.
static bool isSameRun(const JobBook &Book, const Suspect &Left,
                      const Suspect &Right) {
  TaskKey Sibling = Left.Task_;
  Sibling.Index_ = Right.Task_.Index_;
  const StepSpec *Step = Book.findStep(Left.Task_);
  return Left.Task_ == Right.Task_ ||
         (Step && Step->Gang_ && Sibling == Right.Task_ &&
          Left.Run_ == Right.Run_);
}

/// A crash is put down to a run in isolation, as nothing began beside it; else
/// to all runs that have not proved to be harmless.
void JobBook::noteCrash(const ServerFacts &Server, const CrashEvidence &Crash,
                        const std::map<TaskKey, std::uint64_t> &Placed) {
  std::vector<Suspect> Suspects;
  std::size_t Settled = 0;
  bool AnyIsolated = false;
  for (const auto &[Task, Run] : Placed) {
    Suspect Each{Task, Run, findAgeMs(Crash, Task), false};
    TaskRecord *Record = findTaskToChange(Task);
    // A new leader has not seen for how long the run was there.
    const bool IsProved =
        Record && Each.AgeMs_ == 0 && Record->ProvedRun_ == Run;
    const bool IsHarmless = Each.AgeMs_ >= HarmlessAfterMs;
    if (Record && IsHarmless) {
      Record->Crashes_.clear();
      updateSuspect(Task);
    }
    if (!Record || IsHarmless || IsProved)
      continue;
    const std::uint64_t ProvedAfterMs = getIsolationMs(Record->Crashes_);
    Each.IsIsolated_ =
        needsIsolation(Record->Crashes_) && Each.AgeMs_ < ProvedAfterMs;
    AnyIsolated = AnyIsolated || Each.IsIsolated_;
    if (!Each.IsIsolated_ && Each.AgeMs_ >= ProvedAfterMs)
      ++Settled;
    Suspects.push_back(std::move(Each));
  }
  const std::vector<Suspect> All = Suspects;
  const auto IsSettled = [](const Suspect &Each) {
    return Each.AgeMs_ >= SettledAfterMs;
  };
  const bool AnyFresh = !std::all_of(All.begin(), All.end(), IsSettled);
  if (AnyIsolated)
    std::erase_if(Suspects,
                  [](const Suspect &Each) { return !Each.IsIsolated_; });
  const bool IsOne =
      std::all_of(Suspects.begin(), Suspects.end(), [&](const Suspect &Each) {
        return isSameRun(*this, Suspects.front(), Each);
      });
  const std::size_t Others = All.size() - Suspects.size();
  const bool IsConclusive =
      IsOne && Others <= Settled && Crash.IsStable_ && !Crash.IsAmongMany_;
  for (const Suspect &Each : Suspects) {
    const TaskRecord *Record = findTask(Each.Task_);
    if (!Record)
      continue;
    // A second crash at one address may be the address's fault.
    const bool IsIndependent = !hasCrashedAt(Record->Crashes_, Server.Address_);
    addCrashTo(Each.Task_, {Each.Run_, Server.Id_, Server.Address_, Each.AgeMs_,
                            Crash.IsAmongMany_, IsConclusive && IsIndependent,
                            Crash.IsConfirmed_,
                            !AnyIsolated && AnyFresh && IsSettled(Each)});
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
    Lives_.explainCrash(Crash.Address_, Crash.Server_);
    const auto Server = Servers_.find(findServerAt(Crash.Address_));
    if (Server != Servers_.end())
      Server->second.IsAfterCrash_ = Lives_.isAfterCrash(Crash.Address_);
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
