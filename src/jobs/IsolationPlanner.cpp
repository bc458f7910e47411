#include "jobs/IsolationPlanner.h"

#include <algorithm>
#include <array>
#include <tuple>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// One out of this many servers may be reserved for suspected tasks at a time.
static constexpr std::size_t ServersPerIsolation = 4;
/// Longest wait of a long-running task for isolation, by the number of its
/// crashes: isolated runs follow one another on a full fleet. From the third
/// crash on the wait is not limited.
static constexpr std::array<Duration, 3> MaxIsolationWait = {0s, 1s, 2s};
/// How long a task with several crashes waits for a stable server without
/// serving tasks, and then for any stable server.
static constexpr Duration MaxEmptyServerWait = 1s;
static constexpr Duration MaxStableServerWait = 4s;
/// How long a task waits for a suspected crash to be confirmed.
static constexpr Duration MaxConfirmationWait = 8s;
/// How long a server is reserved until its latest runs have settled.
static constexpr Duration ReservationTime = 2500ms;
/// A reservation that ended this long ago is dropped, as servers report more
/// often.
static constexpr Duration MaxReportDelay = 1s;
/// How often the waiting tasks are listed, and how many are considered per
/// report.
static constexpr Duration RefreshInterval = 200ms;
static constexpr std::size_t MaxConsidered = 64;

void IsolationPlanner::reset() {
  ExemptRuns_.clear();
  Reservations_.clear();
  Waiting_.clear();
  HasTooManyFirstSuspects_ = false;
  NextConsidered_ = 0;
  RefreshedAt_ = {};
}

/// Returns whether the task waits for a server; gangs are planned elsewhere.
static bool isWaitingAlone(const JobRecord &Job, const TaskKey &Key,
                           const TaskRecord &Task) {
  return Task.State_ == TaskState::Waiting &&
         !Job.Spec_.Steps_[Key.Step_].Gang_;
}

void IsolationPlanner::observe(const JobRegistry &Registry, TimePoint Now) {
  for (const auto &[Key, Servers] : Registry.crashSuspects()) {
    const JobRecord &Job = *Registry.findJob(Key.Job_);
    const TaskRecord &Task = *Job.findTask(Key);
    if (!needsIsolation(Task.Crashes_))
      continue;
    if (isWaitingAlone(Job, Key, Task))
      WaitingSince_.try_emplace(Key, Now);
    else
      WaitingSince_.erase(Key);
  }
}

bool IsolationPlanner::isIsolating(const TaskKey &Key,
                                   const TaskRecord &Task) const {
  return needsIsolation(Task.Crashes_) &&
         (Task.Crashes_.size() > 1 || !HasTooManyFirstSuspects_) &&
         !isExempt(Key, Task);
}

bool IsolationPlanner::isExempt(const TaskKey &Key,
                                const TaskRecord &Task) const {
  const auto Exempt = ExemptRuns_.find(Key);
  const std::uint64_t Run =
      Task.LastRun_ + (Task.State_ == TaskState::Waiting ? 1 : 0);
  return Exempt != ExemptRuns_.end() && Exempt->second == Run;
}

void IsolationPlanner::prune(const JobRegistry &Registry) {
  std::erase_if(WaitingSince_, [&Registry](const auto &Entry) {
    const TaskRecord *Task = Registry.findTask(Entry.first);
    return !Task || Task->State_ != TaskState::Waiting ||
           Registry.crashSuspects().count(Entry.first) == 0;
  });
  std::erase_if(ExemptRuns_, [&Registry](const auto &Entry) {
    return Registry.crashSuspects().count(Entry.first) == 0;
  });
  std::erase_if(Reservations_, [&Registry](const auto &Entry) {
    const TaskRecord *Task = Registry.findTask(Entry.second.Task_);
    return !Task || Task->State_ != TaskState::Waiting;
  });
}

/// Returns whether a run of a suspected task may still crash its server.
static bool mayStillCrash(const TaskRecord &Task, const LiveServer *Live,
                          const TaskKey &Key, std::uint64_t Run) {
  const auto Needed = std::chrono::milliseconds(getIsolationMs(Task.Crashes_));
  return Task.LastSurvivingRun_ != Run &&
         (!Live || Live->getObservedTime(Key, Run) < Needed);
}

/// Returns whether a long-running task that must not wait any longer may start
/// beside the unproved run. A crash before the new run has settled is not
/// conclusive, so from the third crash of the suspect on nothing may.
static bool isOpenAsLastResort(const TaskRecord &Task, const LiveServer *Live,
                               const TaskKey &Key, std::uint64_t Run) {
  return Live && Task.Crashes_.size() < MaxIsolationWait.size() &&
         Live->getObservedTime(Key, Run) >=
             std::chrono::milliseconds(SettledAgeMs);
}

IsolationPlanner::Closure
IsolationPlanner::getClosure(const JobRegistry &Registry,
                             const LiveServerTable &LiveServers,
                             const ServerRecord &Server, TimePoint Now) const {
  const auto It = Reservations_.find(Server.Facts_.Id_);
  if (It != Reservations_.end() && Now < It->second.Until_)
    return Closure::Closed;
  Closure Strictest = Closure::Open;
  if (Registry.crashSuspects().empty())
    return Strictest;
  const LiveServer *Live = LiveServers.find(Server.Facts_.Id_);
  for (const auto &[Key, Run] : Server.Placed_) {
    if (Registry.crashSuspects().count(Key) == 0)
      continue;
    const TaskRecord &Task = *Registry.findTask(Key);
    if (!isIsolating(Key, Task) || !mayStillCrash(Task, Live, Key, Run))
      continue;
    if (!isOpenAsLastResort(Task, Live, Key, Run))
      return Closure::Closed;
    Strictest = Closure::OnlyAsLastResort;
  }
  return Strictest;
}

/// Returns whether every run on the server has been seen for SettledAgeMs.
bool IsolationPlanner::isSettled(const LiveServerTable &LiveServers,
                                 const ServerRecord &Server) {
  const LiveServer *Live = LiveServers.find(Server.Facts_.Id_);
  return std::all_of(
      Server.Placed_.begin(), Server.Placed_.end(), [Live](const auto &Entry) {
        return Live && Live->getObservedTime(Entry.first, Entry.second) >=
                           std::chrono::milliseconds(SettledAgeMs);
      });
}

/// Returns how many servers may be reserved for suspected tasks at a time.
static std::size_t getMaxIsolated(const JobRegistry &Registry) {
  return 1 + Registry.servers().size() / ServersPerIsolation;
}

void IsolationPlanner::refresh(const JobRegistry &Registry,
                               const LiveServerTable &LiveServers,
                               TimePoint Now) {
  if (Now - RefreshedAt_ < RefreshInterval)
    return;
  RefreshedAt_ = Now;
  // The server may be gone, or may no longer suit the task.
  std::erase_if(Reservations_, [&](const auto &Entry) {
    return !LiveServers.find(Entry.first) ||
           Now - Entry.second.Until_ >= MaxReportDelay;
  });
  observe(Registry, Now);
  std::size_t FirstSuspects = 0;
  std::size_t UnprovedRuns = 0;
  std::vector<std::tuple<std::uint64_t, std::uint64_t, TaskKey>> Order;
  for (const auto &[Key, Servers] : Registry.crashSuspects()) {
    const JobRecord &Job = *Registry.findJob(Key.Job_);
    const TaskRecord &Task = *Job.findTask(Key);
    if (!needsIsolation(Task.Crashes_))
      continue;
    std::size_t Unproved = 0;
    for (const Placement &Placed : Task.Placements_)
      Unproved += mayStillCrash(Task, LiveServers.find(Placed.Server_), Key,
                                Placed.Run_);
    const bool IsWaiting = isWaitingAlone(Job, Key, Task);
    if (IsWaiting)
      Order.emplace_back(Job.Policy_.Priority_, Job.getDueMs(), Key);
    if (isExempt(Key, Task))
      continue;
    UnprovedRuns += Unproved;
    if (Task.Crashes_.size() == 1)
      FirstSuspects += Unproved + (IsWaiting ? 1 : 0);
  }
  HasTooManyFirstSuspects_ = FirstSuspects > getMaxIsolated(Registry);
  UnprovedRuns_ = HasTooManyFirstSuspects_ ? 0 : UnprovedRuns;
  std::sort(Order.begin(), Order.end());
  Waiting_.clear();
  for (const auto &[Priority, DueMs, Key] : Order) {
    const TaskRecord &Task = *Registry.findTask(Key);
    const Duration Waited = Now - WaitingSince_.at(Key);
    const std::size_t Crashes = Task.Crashes_.size();
    if (Registry.findStep(Key)->LongRunning_ &&
        Crashes < MaxIsolationWait.size() &&
        Waited >= MaxIsolationWait.at(Crashes))
      ExemptRuns_[Key] = Task.LastRun_ + 1;
    if (isIsolating(Key, Task))
      Waiting_.push_back(Key);
  }
  if (!Waiting_.empty())
    refreshStable(Registry, LiveServers);
}

void IsolationPlanner::refreshStable(const JobRegistry &Registry,
                                     const LiveServerTable &LiveServers) {
  StableServices_.clear();
  for (const auto &[Id, Server] : Registry.servers())
    if (LiveServers.acceptsStarts(Registry, Server) &&
        LiveServers.isStable(Server))
      StableServices_.insert(Server.Facts_.Service_);
}

bool IsolationPlanner::isReservedElsewhere(const TaskKey &Task,
                                           const std::string &Id) const {
  return std::any_of(Reservations_.begin(), Reservations_.end(),
                     [&](const auto &Entry) {
                       return Entry.first != Id && Entry.second.Task_ == Task;
                     });
}

bool IsolationPlanner::isSuitable(const TaskKey &Task,
                                  const CrashRecords &Crashes,
                                  const LiveServerTable &LiveServers,
                                  const ServerRecord &Server,
                                  TimePoint Now) const {
  const auto Since = WaitingSince_.find(Task);
  const Duration Waited =
      Since == WaitingSince_.end() ? Duration(0) : Now - Since->second;
  if (isLastCrashUnconfirmed(Crashes) && Waited < MaxConfirmationWait)
    return false;
  const bool HasStable = StableServices_.count(Server.Facts_.Service_) != 0;
  if (Waited >= MaxStableServerWait || !HasStable)
    return true;
  if (!LiveServers.isStable(Server) ||
      hasCrashedAt(Crashes, Server.Facts_.Address_))
    return false;
  return Crashes.size() == 1 || Server.Serving_.empty() ||
         Waited >= MaxEmptyServerWait;
}

std::optional<TaskStart> IsolationPlanner::plan(
    const JobRegistry &Registry, const LiveServerTable &LiveServers,
    const ServerRecord &Server, TimePoint Now, const MayRun &May) {
  if (Registry.crashSuspects().empty())
    return std::nullopt;
  refresh(Registry, LiveServers, Now);
  const std::string &Id = Server.Facts_.Id_;
  const StartContext Context{Registry, LiveServers, Server, Now, May};
  if (Reservations_.count(Id) != 0)
    return planReserved(Context);
  if (UnprovedRuns_ + Reservations_.size() >= getMaxIsolated(Registry))
    return std::nullopt;
  const std::size_t Count = std::min(Waiting_.size(), MaxConsidered);
  for (std::size_t I = 0; I < Count; ++I) {
    const TaskKey &Key = Waiting_[(NextConsidered_ + I) % Waiting_.size()];
    std::optional<TaskStart> Start = findStart(Context, Key);
    if (!Start)
      continue;
    // After a first crash the cause need not be proved, so other runs need not
    // have settled.
    const bool IsFirst = Registry.findTask(Key)->Crashes_.size() == 1;
    if (IsFirst || isSettled(LiveServers, Server)) {
      ++UnprovedRuns_;
      return Start;
    }
    Reservations_[Id] = {Key, Now + ReservationTime};
    return std::nullopt;
  }
  // The next report considers the suspects after these.
  NextConsidered_ = Waiting_.size() > MaxConsidered
                        ? (NextConsidered_ + MaxConsidered) % Waiting_.size()
                        : 0;
  return std::nullopt;
}

/// Returns the start that the server is reserved for, once its runs have
/// settled or the reservation ends.
std::optional<TaskStart>
IsolationPlanner::planReserved(const StartContext &Context) {
  const auto It = Reservations_.find(Context.Server_.Facts_.Id_);
  const bool IsListed = std::find(Waiting_.begin(), Waiting_.end(),
                                  It->second.Task_) != Waiting_.end();
  std::optional<TaskStart> Start =
      IsListed ? findStart(Context, It->second.Task_) : std::nullopt;
  const bool IsOver = Context.Now_ >= It->second.Until_;
  if (Start && !IsOver && !isSettled(Context.LiveServers_, Context.Server_))
    return std::nullopt;
  Reservations_.erase(It);
  UnprovedRuns_ += Start ? 1 : 0;
  return Start;
}

/// Returns the task's start on the server, if nothing prevents it.
std::optional<TaskStart>
IsolationPlanner::findStart(const StartContext &Context,
                            const TaskKey &Key) const {
  const TaskRecord *Task = Context.Registry_.findTask(Key);
  const std::string &Id = Context.Server_.Facts_.Id_;
  if (!Task || Task->State_ != TaskState::Waiting ||
      isReservedElsewhere(Key, Id) ||
      !isSuitable(Key, Task->Crashes_, Context.LiveServers_, Context.Server_,
                  Context.Now_))
    return std::nullopt;
  TaskStart Start{Key, Task->LastRun_ + 1, Id};
  if (!Context.MayRun_(*Context.Registry_.findJob(Key.Job_), Key) ||
      !Context.Registry_.findRejectionReason(Start).empty())
    return std::nullopt;
  return Start;
}
