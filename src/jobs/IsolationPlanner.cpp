#include "jobs/IsolationPlanner.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// One server of so many is closed for suspected tasks at a time, so that other
/// work goes on.
static constexpr std::size_t ServersForOne = 4;
/// How long a task with several crashes waits for a stable server on which
/// nothing lasts, and then for any stable server.
static constexpr Duration EmptyPatience = 1s;
static constexpr Duration StablePatience = 4s;
/// How long a task waits for news of a server that may only be cut off.
static constexpr Duration NewsPatience = 8s;
/// How long a server is kept until what started there last has settled.
static constexpr Duration ReservedFor = 2500ms;
/// How long the list of services with stable servers is good.
static constexpr Duration StableInterval = 500ms;

void IsolationPlanner::reset() {
  Since_.clear();
  Reserved_.clear();
  StableAt_ = {};
}

void IsolationPlanner::prune(const JobBook &Book) {
  std::erase_if(Since_, [&Book](const auto &Each) {
    const TaskRecord *Task = Book.findTask(Each.first);
    return !Task || Task->State_ != TaskState::Waiting ||
           Book.crashSuspects().count(Each.first) == 0;
  });
  std::erase_if(Reserved_, [&Book](const auto &Each) {
    const TaskRecord *Task = Book.findTask(Each.second.Task_);
    return !Task || Task->State_ != TaskState::Waiting;
  });
}

/// Whether the suspected run on the server may still crash it.
static bool isUnproved(const TaskRecord &Task, const ServerLive *Live,
                       const TaskKey &Key, std::uint64_t Run) {
  const auto Needed = std::chrono::milliseconds(getIsolationMs(Task.Crashes_));
  return needsIsolation(Task.Crashes_) && Task.ProvedRun_ != Run &&
         (!Live || Live->getSeenFor(Key, Run) < Needed);
}

bool IsolationPlanner::isClosed(const JobBook &Book, const ServerBoard &Board,
                                const ServerRecord &Server,
                                TimePoint Now) const {
  const auto Kept = Reserved_.find(Server.Facts_.Id_);
  if (Kept != Reserved_.end() && Now < Kept->second.Until_)
    return true;
  if (Book.crashSuspects().empty())
    return false;
  const ServerLive *Live = Board.find(Server.Facts_.Id_);
  return std::any_of(Server.Placed_.begin(), Server.Placed_.end(),
                     [&](const auto &Each) {
                       return Book.crashSuspects().count(Each.first) != 0 &&
                              isUnproved(*Book.findTask(Each.first), Live,
                                         Each.first, Each.second);
                     });
}

/// Whether all that runs on the server has run for a while.
bool IsolationPlanner::isQuiet(const ServerBoard &Board,
                               const ServerRecord &Server) {
  const ServerLive *Live = Board.find(Server.Facts_.Id_);
  return std::all_of(
      Server.Placed_.begin(), Server.Placed_.end(), [Live](const auto &Each) {
        return Live && Live->getSeenFor(Each.first, Each.second) >=
                           std::chrono::milliseconds(SettledAfterMs);
      });
}

std::size_t IsolationPlanner::countIsolated(const JobBook &Book,
                                            const ServerBoard &Board) {
  std::size_t Count = 0;
  for (const TaskKey &Key : Book.crashSuspects()) {
    const TaskRecord &Task = *Book.findTask(Key);
    for (const Placement &Each : Task.Placements_)
      Count += isUnproved(Task, Board.find(Each.Server_), Key, Each.Run_);
  }
  return Count;
}

/// The tasks that wait for isolation, the most urgent first.
std::vector<IsolationPlanner::Waiting>
IsolationPlanner::listWaiting(const JobBook &Book) const {
  std::vector<Waiting> List;
  for (const TaskKey &Key : Book.crashSuspects()) {
    const JobRecord *Job = Book.findJob(Key.Job_);
    const TaskRecord *Task = Job->findTask(Key);
    if (Task->State_ == TaskState::Waiting && needsIsolation(Task->Crashes_) &&
        !Job->Spec_.Steps_[Key.Step_].Gang_)
      List.push_back({Key, Job, Task});
  }
  std::stable_sort(
      List.begin(), List.end(), [](const Waiting &Left, const Waiting &Right) {
        const auto GetKey = [](const Waiting &Each) {
          return std::pair(Each.Job_->Policy_.Priority_, Each.Job_->getDueMs());
        };
        return GetKey(Left) < GetKey(Right);
      });
  return List;
}

void IsolationPlanner::updateStable(const JobBook &Book,
                                    const ServerBoard &Board, TimePoint Now) {
  if (Now - StableAt_ < StableInterval)
    return;
  StableAt_ = Now;
  Stable_.clear();
  for (const auto &[Id, Server] : Book.servers())
    if (Board.takesStarts(Book, Server) && Board.isStable(Server))
      Stable_.insert(Server.Facts_.Service_);
}

bool IsolationPlanner::isSuitable(const Waiting &Each, const ServerBoard &Board,
                                  const ServerRecord &Server,
                                  TimePoint Now) const {
  const auto Since = Since_.find(Each.Task_);
  const Duration Waited =
      Since == Since_.end() ? Duration(0) : Now - Since->second;
  const CrashRecords &Crashes = Each.Record_->Crashes_;
  if (isUnsure(Crashes) && Waited < NewsPatience)
    return false;
  const bool HasStable = Stable_.count(Server.Facts_.Service_) != 0;
  if (Waited >= StablePatience || !HasStable)
    return true;
  const std::string &Address = Server.Facts_.Address_;
  if (!Board.isStable(Server) || hasCrashedAt(Crashes, Address))
    return false;
  return Crashes.size() == 1 || Server.Serving_.empty() ||
         Waited >= EmptyPatience;
}

std::optional<TaskStart> IsolationPlanner::plan(const JobBook &Book,
                                                const ServerBoard &Board,
                                                const ServerRecord &Server,
                                                TimePoint Now,
                                                const MayRun &May) {
  const std::string &Id = Server.Facts_.Id_;
  if (Book.crashSuspects().empty())
    return std::nullopt;
  const std::vector<Waiting> List = listWaiting(Book);
  if (!List.empty())
    updateStable(Book, Board, Now);
  for (const Waiting &Each : List)
    Since_.try_emplace(Each.Task_, Now);
  const auto Kept = Reserved_.find(Id);
  const bool IsKept = Kept != Reserved_.end();
  const TaskKey KeptFor = IsKept ? Kept->second.Task_ : TaskKey{};
  const bool IsOver = IsKept && Now >= Kept->second.Until_;
  const std::size_t Isolated = countIsolated(Book, Board) + Reserved_.size();
  const std::size_t Most = 1 + Book.servers().size() / ServersForOne;
  for (const Waiting &Each : List) {
    if (IsKept ? Each.Task_ != KeptFor : Isolated >= Most)
      continue;
    const TaskStart Start{Each.Task_, Each.Record_->LastRun_ + 1, Id};
    const bool IsElsewhere =
        std::any_of(Reserved_.begin(), Reserved_.end(), [&](const auto &Other) {
          return Other.first != Id && Other.second.Task_ == Each.Task_;
        });
    if (IsElsewhere || !isSuitable(Each, Board, Server, Now) ||
        !May(*Each.Job_, Each.Task_) || !Book.findObjection(Start).empty())
      continue;
    // A first crash needs no proof of what caused it.
    if (Each.Record_->Crashes_.size() == 1 || IsOver ||
        isQuiet(Board, Server)) {
      Reserved_.erase(Id);
      return Start;
    }
    if (!IsKept)
      Reserved_[Id] = {Each.Task_, Now + ReservedFor};
    return std::nullopt;
  }
  // What it was kept for cannot start there any more.
  if (IsKept)
    Reserved_.erase(Id);
  return std::nullopt;
}
