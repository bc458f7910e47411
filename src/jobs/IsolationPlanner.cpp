#include "jobs/IsolationPlanner.h"

#include <algorithm>
#include <array>
#include <tuple>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// One of this many servers may be closed for suspected tasks at a time.
static constexpr std::size_t ServersForOne = 4;
/// How long a lasting task waits for isolation, by the number of its crashes,
/// as isolated runs follow one another on a full fleet. Without a bound from
/// the third crash on.
static constexpr std::array<Duration, 3> IsolationPatience = {0s, 1s, 2s};
/// How long a task with several crashes waits for a stable server without
/// lasting tasks, and then for any stable server.
static constexpr Duration EmptyPatience = 1s;
static constexpr Duration StablePatience = 4s;
/// How long a task waits until a crash is confirmed.
static constexpr Duration NewsPatience = 8s;
/// How long a server is reserved while its latest runs settle.
static constexpr Duration ReservedFor = 2500ms;
/// Servers report more often.
static constexpr Duration ReportLimit = 1s;
/// How often the waiting tasks are listed, and how many are considered for each
/// report.
static constexpr Duration RefreshInterval = 200ms;
static constexpr std::size_t MostLookedAt = 64;

void IsolationPlanner::reset() {
  Since_.clear();
  Released_.clear();
  Reserved_.clear();
  Waiting_.clear();
  IsCrowded_ = false;
  NextLook_ = 0;
  RefreshedAt_ = {};
}

bool IsolationPlanner::isIsolating(const TaskKey &Key,
                                   const TaskRecord &Task) const {
  return needsIsolation(Task.Crashes_) &&
         (Task.Crashes_.size() > 1 || !IsCrowded_) && !isReleased(Key, Task);
}

bool IsolationPlanner::isReleased(const TaskKey &Key,
                                  const TaskRecord &Task) const {
  const auto Released = Released_.find(Key);
  const std::uint64_t Run =
      Task.LastRun_ + (Task.State_ == TaskState::Waiting ? 1 : 0);
  return Released != Released_.end() && Released->second == Run;
}

void IsolationPlanner::prune(const JobRegistry &Book) {
  std::erase_if(Since_, [&Book](const auto &Each) {
    const TaskRecord *Task = Book.findTask(Each.first);
    return !Task || Task->State_ != TaskState::Waiting ||
           Book.crashSuspects().count(Each.first) == 0;
  });
  std::erase_if(Released_, [&Book](const auto &Each) {
    return Book.crashSuspects().count(Each.first) == 0;
  });
  std::erase_if(Reserved_, [&Book](const auto &Each) {
    const TaskRecord *Task = Book.findTask(Each.second.Task_);
    return !Task || Task->State_ != TaskState::Waiting;
  });
}

/// Whether a run of a suspected task may still crash its server.
static bool isUnproved(const TaskRecord &Task, const LiveServer *Live,
                       const TaskKey &Key, std::uint64_t Run) {
  const auto Needed = std::chrono::milliseconds(getIsolationMs(Task.Crashes_));
  return Task.LastSurvivingRun_ != Run &&
         (!Live || Live->getObservedTime(Key, Run) < Needed);
}

bool IsolationPlanner::isClosed(const JobRegistry &Book,
                                const LiveServerTable &Board,
                                const ServerRecord &Server,
                                TimePoint Now) const {
  const auto Kept = Reserved_.find(Server.Facts_.Id_);
  if (Kept != Reserved_.end() && Now < Kept->second.Until_)
    return true;
  if (Book.crashSuspects().empty())
    return false;
  const LiveServer *Live = Board.find(Server.Facts_.Id_);
  return std::any_of(Server.Placed_.begin(), Server.Placed_.end(),
                     [&](const auto &Each) {
                       if (Book.crashSuspects().count(Each.first) == 0)
                         return false;
                       const TaskRecord &Task = *Book.findTask(Each.first);
                       return isIsolating(Each.first, Task) &&
                              isUnproved(Task, Live, Each.first, Each.second);
                     });
}

/// Whether all that runs on the server has run for a while.
bool IsolationPlanner::isQuiet(const LiveServerTable &Board,
                               const ServerRecord &Server) {
  const LiveServer *Live = Board.find(Server.Facts_.Id_);
  return std::all_of(
      Server.Placed_.begin(), Server.Placed_.end(), [Live](const auto &Each) {
        return Live && Live->getObservedTime(Each.first, Each.second) >=
                           std::chrono::milliseconds(SettledAgeMs);
      });
}

/// Servers that may be closed for suspected tasks at a time.
static std::size_t getMostIsolated(const JobRegistry &Book) {
  return 1 + Book.servers().size() / ServersForOne;
}

void IsolationPlanner::refresh(const JobRegistry &Book,
                               const LiveServerTable &Board, TimePoint Now) {
  if (Now - RefreshedAt_ < RefreshInterval)
    return;
  RefreshedAt_ = Now;
  // The server may have gone, or may no longer suit the task.
  std::erase_if(Reserved_, [&](const auto &Each) {
    return !Board.find(Each.first) || Now - Each.second.Until_ >= ReportLimit;
  });
  std::size_t First = 0;
  std::size_t Isolated = 0;
  std::vector<std::tuple<std::uint64_t, std::uint64_t, TaskKey>> Order;
  for (const auto &[Key, Servers] : Book.crashSuspects()) {
    const JobRecord &Job = *Book.findJob(Key.Job_);
    const TaskRecord &Task = *Job.findTask(Key);
    if (!needsIsolation(Task.Crashes_))
      continue;
    std::size_t Open = 0;
    for (const Placement &Each : Task.Placements_)
      Open += isUnproved(Task, Board.find(Each.Server_), Key, Each.Run_);
    const bool IsWaiting =
        Task.State_ == TaskState::Waiting && !Job.Spec_.Steps_[Key.Step_].Gang_;
    if (IsWaiting)
      Order.emplace_back(Job.Policy_.Priority_, Job.getDueMs(), Key);
    else
      Since_.erase(Key);
    if (isReleased(Key, Task))
      continue;
    Isolated += Open;
    if (Task.Crashes_.size() == 1)
      First += Open + (IsWaiting ? 1 : 0);
  }
  IsCrowded_ = First > getMostIsolated(Book);
  Isolated_ = IsCrowded_ ? 0 : Isolated;
  std::sort(Order.begin(), Order.end());
  Waiting_.clear();
  for (const auto &[Priority, DueMs, Key] : Order) {
    const TaskRecord &Task = *Book.findTask(Key);
    const Duration Waited = Now - Since_.try_emplace(Key, Now).first->second;
    const std::size_t Crashes = Task.Crashes_.size();
    if (Book.findStep(Key)->LongRunning_ &&
        Crashes < IsolationPatience.size() &&
        Waited >= IsolationPatience.at(Crashes))
      Released_[Key] = Task.LastRun_ + 1;
    if (isIsolating(Key, Task))
      Waiting_.push_back(Key);
  }
  if (!Waiting_.empty())
    listStable(Book, Board);
}

void IsolationPlanner::listStable(const JobRegistry &Book,
                                  const LiveServerTable &Board) {
  Stable_.clear();
  for (const auto &[Id, Server] : Book.servers())
    if (Board.acceptsStarts(Book, Server) && Board.isStable(Server))
      Stable_.insert(Server.Facts_.Service_);
}

bool IsolationPlanner::isReservedElsewhere(const TaskKey &Task,
                                           const std::string &Id) const {
  return std::any_of(Reserved_.begin(), Reserved_.end(), [&](const auto &Each) {
    return Each.first != Id && Each.second.Task_ == Task;
  });
}

bool IsolationPlanner::isSuitable(const TaskKey &Task,
                                  const CrashRecords &Crashes,
                                  const LiveServerTable &Board,
                                  const ServerRecord &Server,
                                  TimePoint Now) const {
  const auto Since = Since_.find(Task);
  const Duration Waited =
      Since == Since_.end() ? Duration(0) : Now - Since->second;
  if (isLastCrashUnconfirmed(Crashes) && Waited < NewsPatience)
    return false;
  const bool HasStable = Stable_.count(Server.Facts_.Service_) != 0;
  if (Waited >= StablePatience || !HasStable)
    return true;
  if (!Board.isStable(Server) || hasCrashedAt(Crashes, Server.Facts_.Address_))
    return false;
  return Crashes.size() == 1 || Server.Serving_.empty() ||
         Waited >= EmptyPatience;
}

std::optional<TaskStart> IsolationPlanner::plan(const JobRegistry &Book,
                                                const LiveServerTable &Board,
                                                const ServerRecord &Server,
                                                TimePoint Now,
                                                const MayRun &May) {
  if (Book.crashSuspects().empty())
    return std::nullopt;
  refresh(Book, Board, Now);
  const std::string &Id = Server.Facts_.Id_;
  const Reporter From{Book, Board, Server, Now, May};
  if (Reserved_.count(Id) != 0)
    return planReserved(From);
  if (Isolated_ + Reserved_.size() >= getMostIsolated(Book))
    return std::nullopt;
  const std::size_t Count = std::min(Waiting_.size(), MostLookedAt);
  for (std::size_t I = 0; I < Count; ++I) {
    const TaskKey &Key = Waiting_[(NextLook_ + I) % Waiting_.size()];
    std::optional<TaskStart> Start = findStart(From, Key);
    if (!Start)
      continue;
    // A first crash needs no proof of what caused it.
    const bool IsFirst = Book.findTask(Key)->Crashes_.size() == 1;
    if (IsFirst || isQuiet(Board, Server)) {
      ++Isolated_;
      return Start;
    }
    Reserved_[Id] = {Key, Now + ReservedFor};
    return std::nullopt;
  }
  // The next report considers the suspects behind these.
  NextLook_ = Waiting_.size() > MostLookedAt
                  ? (NextLook_ + MostLookedAt) % Waiting_.size()
                  : 0;
  return std::nullopt;
}

/// The start for which the server is reserved, once its runs have settled or
/// the reservation ends.
std::optional<TaskStart> IsolationPlanner::planReserved(const Reporter &From) {
  const auto Kept = Reserved_.find(From.Server_.Facts_.Id_);
  const bool IsListed = std::find(Waiting_.begin(), Waiting_.end(),
                                  Kept->second.Task_) != Waiting_.end();
  std::optional<TaskStart> Start =
      IsListed ? findStart(From, Kept->second.Task_) : std::nullopt;
  const bool IsOver = From.Now_ >= Kept->second.Until_;
  if (Start && !IsOver && !isQuiet(From.Board_, From.Server_))
    return std::nullopt;
  Reserved_.erase(Kept);
  Isolated_ += Start ? 1 : 0;
  return Start;
}

/// The task's start on the server, if nothing speaks against it.
std::optional<TaskStart> IsolationPlanner::findStart(const Reporter &From,
                                                     const TaskKey &Key) const {
  const TaskRecord *Task = From.Book_.findTask(Key);
  const std::string &Id = From.Server_.Facts_.Id_;
  if (!Task || Task->State_ != TaskState::Waiting ||
      isReservedElsewhere(Key, Id) ||
      !isSuitable(Key, Task->Crashes_, From.Board_, From.Server_, From.Now_))
    return std::nullopt;
  TaskStart Start{Key, Task->LastRun_ + 1, Id};
  if (!From.May_(*From.Book_.findJob(Key.Job_), Key) ||
      !From.Book_.findRejectionReason(Start).empty())
    return std::nullopt;
  return Start;
}
