#include "jobs/ServerBoard.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Where the run stands in the list; its size if it does not. Looked for from
/// the place where it is expected.
static std::size_t findRun(const std::vector<RunningTask> &In,
                           const TaskKey &Task, std::uint64_t Run,
                           std::size_t Expected) {
  for (std::size_t I = 0; I < In.size(); ++I) {
    const std::size_t At = (Expected + I) % In.size();
    // The index differs most often.
    if (In[At].Task_.Index_ == Task.Index_ && In[At].Run_ == Run &&
        In[At].Task_ == Task)
      return At;
  }
  return In.size();
}

static const RunProgress *findIn(const std::vector<RunningTask> &Running,
                                 const std::vector<RunProgress> &Progress,
                                 const TaskKey &Task) {
  for (std::size_t I = 0; I < Running.size(); ++I)
    if (Running[I].Task_.Index_ == Task.Index_ && Running[I].Task_ == Task)
      return &Progress[I];
  return nullptr;
}

const RunProgress *ServerLive::findProgress(const TaskKey &Task) const {
  return findIn(Running_, Progress_, Task);
}

const RunProgress *ServerLive::findProgressBefore(const TaskKey &Task) const {
  return findIn(RunningBefore_, ProgressBefore_, Task);
}

Duration ServerLive::getSeenFor(const TaskKey &Task, std::uint64_t Run) const {
  const RunProgress *Progress = findProgress(Task);
  return Progress && Progress->Run_ == Run ? LastHeard_ - Progress->SeenAt_
                                           : Duration(0);
}

void ServerBoard::reset(const JobRegistry &Book, TimePoint Now,
                        Duration Lease) {
  Servers_.clear();
  for (const auto &[Id, Server] : Book.servers())
    add(Id, Now, Now + Lease);
}

bool ServerBoard::note(const ServerReport &Report, TimePoint Now,
                       Duration Lease) {
  const auto [Place, IsNew] = Servers_.try_emplace(Report.Facts_.Id_);
  ServerLive &Live = Place->second;
  if (IsNew)
    Live.LeaseEnd_ = Now + Lease;
  if (Report.Sequence_ <= Live.LastSequence_)
    return false;
  Live.LastSequence_ = Report.Sequence_;
  Live.LastHeard_ = Now;
  Live.IsDraining_ = Report.IsDraining_;
  // What has ended meanwhile is looked at once more.
  std::swap(Live.Running_, Live.RunningBefore_);
  std::swap(Live.Progress_, Live.ProgressBefore_);
  Live.Running_ = Report.Running_;
  noteProgress(Live, Now);
  return true;
}

void ServerBoard::noteProgress(ServerLive &Live, TimePoint Now) {
  Live.Progress_.clear();
  // A server lists its runs in the same order each time, but for those that
  // came or went: the next one is mostly where the last one was found.
  std::size_t Expected = 0;
  for (const RunningTask &Each : Live.Running_) {
    RunProgress Own{Each.Run_, Each.Percent_, Now, Now};
    const std::size_t At =
        findRun(Live.RunningBefore_, Each.Task_, Each.Run_, Expected);
    if (At < Live.RunningBefore_.size()) {
      const RunProgress &Before = Live.ProgressBefore_[At];
      Own.SeenAt_ = Before.SeenAt_;
      if (Before.Percent_ == Each.Percent_)
        Own.ChangedAt_ = Before.ChangedAt_;
      Expected = At + 1;
    }
    Live.Progress_.push_back(Own);
  }
}

void ServerBoard::extendLease(const std::string &Id, TimePoint End) {
  ServerLive &Live = Servers_[Id];
  Live.LeaseEnd_ = std::max(Live.LeaseEnd_, End);
}

ServerLive *ServerBoard::find(const std::string &Id) {
  const auto Found = Servers_.find(Id);
  return Found == Servers_.end() ? nullptr : &Found->second;
}

const ServerLive *ServerBoard::find(const std::string &Id) const {
  const auto Found = Servers_.find(Id);
  return Found == Servers_.end() ? nullptr : &Found->second;
}

void ServerBoard::add(const std::string &Id, TimePoint Now,
                      TimePoint LeaseEnd) {
  ServerLive &Live = Servers_[Id];
  Live.LastHeard_ = Now;
  Live.LeaseEnd_ = std::max(Live.LeaseEnd_, LeaseEnd);
}

void ServerBoard::remove(const std::string &Id) { Servers_.erase(Id); }

std::vector<std::string> ServerBoard::listLapsed(TimePoint Now) const {
  std::vector<std::string> Lapsed;
  for (const auto &[Id, Live] : Servers_)
    if (!Live.IsRemoving_ && Live.LeaseEnd_ <= Now)
      Lapsed.push_back(Id);
  return Lapsed;
}

Resources ServerBoard::measureUnplaced(const JobRegistry &Book,
                                       const ServerRecord &Server) const {
  Resources Used;
  const ServerLive *Live = find(Server.Facts_.Id_);
  if (!Live || !Live->MayHaveUnplaced_)
    return Used;
  for (const RunningTask &Each : Live->Running_)
    if (const StepSpec *Step = Book.findStep(Each.Task_);
        Step && !Server.isPlaced(Each.Task_, Each.Run_))
      Used = Used + Step->getReserved();
  return Used;
}

/// An incarnation after a crash is stable once it has sent so many reports,
/// about two a second.
static constexpr std::uint64_t StableAfterReports = 100;

bool ServerBoard::isStable(const ServerRecord &Server) const {
  const ServerLive *Live = find(Server.Facts_.Id_);
  return !Server.IsAfterCrash_ ||
         (Live && Live->LastSequence_ >= StableAfterReports);
}

std::vector<SavedCheckpoint>
ServerBoard::listSaved(const std::string &Id) const {
  std::vector<SavedCheckpoint> Saved;
  if (const ServerLive *Live = find(Id))
    for (const RunningTask &Each : Live->Running_)
      if (!Each.Checkpoint_.empty())
        Saved.push_back({Each.Task_, Each.Run_, Each.Checkpoint_});
  return Saved;
}
