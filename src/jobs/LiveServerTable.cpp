#include "jobs/LiveServerTable.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Returns the index of the run in the list, or the list's size if it is not
/// there. The search begins at the expected index.
static std::size_t findRun(const std::vector<RunningTask> &Runs,
                           const TaskKey &Task, std::uint64_t Run,
                           std::size_t Expected) {
  for (std::size_t I = 0; I < Runs.size(); ++I) {
    const std::size_t At = (Expected + I) % Runs.size();
    // The task index differs most often, so it is compared first.
    if (Runs[At].Task_.Index_ == Task.Index_ && Runs[At].Run_ == Run &&
        Runs[At].Task_ == Task)
      return At;
  }
  return Runs.size();
}

static const RunProgress *
findProgressIn(const std::vector<RunningTask> &Running,
               const std::vector<RunProgress> &Progress, const TaskKey &Task) {
  for (std::size_t I = 0; I < Running.size(); ++I)
    if (Running[I].Task_.Index_ == Task.Index_ && Running[I].Task_ == Task)
      return &Progress[I];
  return nullptr;
}

const RunProgress *LiveServer::findProgress(const TaskKey &Task) const {
  return findProgressIn(Running_, Progress_, Task);
}

const RunProgress *LiveServer::findPreviousProgress(const TaskKey &Task) const {
  return findProgressIn(PreviousRunning_, PreviousProgress_, Task);
}

Duration LiveServer::getObservedTime(const TaskKey &Task,
                                     std::uint64_t Run) const {
  const RunProgress *Progress = findProgress(Task);
  return Progress && Progress->Run_ == Run ? LastHeard_ - Progress->SeenAt_
                                           : Duration(0);
}

RunTimeBounds LiveServer::boundRunTime(const TaskKey &Task,
                                       std::uint64_t Run) const {
  const RunProgress *Seen = findPreviousProgress(Task);
  if (!Seen || Seen->Run_ != Run || !PreviousSent_ || !LastSent_)
    return {};
  RunTimeBounds Bounds;
  Bounds.Shortest_ =
      boundTimeBetween(Seen->FirstSent_, *PreviousSent_).Shortest_;
  if (Seen->SentBefore_)
    Bounds.Longest_ = boundTimeBetween(*Seen->SentBefore_, *LastSent_).Longest_;
  return Bounds;
}

void LiveServerTable::reset(const JobRegistry &Registry, TimePoint Now,
                            Duration Lease) {
  Servers_.clear();
  IdleCount_ = 0;
  for (const auto &[Id, Server] : Registry.servers())
    add(Id, Now, Now + Lease);
}

bool LiveServerTable::recordReport(const ServerReport &Report, TimePoint Now,
                                   Duration Lease) {
  const auto [Live, IsNew] = Servers_.tryEmplace(Report.Facts_.Id_);
  if (IsNew) {
    Live.LeaseEnd_ = Now + Lease;
    boundFirstLeaseEnd(Live);
  }
  if (Report.Sequence_ <= Live.LastSequence_)
    return false;
  Live.LastSequence_ = Report.Sequence_;
  Live.LastHeard_ = Now;
  Live.PreviousSent_ = Live.LastSent_;
  Live.LastSent_ = SendTime{Now - std::chrono::milliseconds(Report.WaitedMs_),
                            Report.ServerClockMs_};
  Live.IsDraining_ = Report.IsDraining_;
  // Runs that have ended since the last report are looked up once more.
  std::swap(Live.Running_, Live.PreviousRunning_);
  std::swap(Live.Progress_, Live.PreviousProgress_);
  Live.Running_ = Report.Running_;
  updateProgress(Live, Now);
  return true;
}

void LiveServerTable::updateProgress(LiveServer &Live, TimePoint Now) {
  Live.Progress_.clear();
  // A server lists its runs in the same order each time, except for new and
  // ended ones, so a run usually follows the one that was found before.
  std::size_t Expected = 0;
  for (const RunningTask &Run : Live.Running_) {
    RunProgress Progress{
        Run.Run_,        Run.Percent_,       Now, Now, Run.Percent_,
        *Live.LastSent_, Live.PreviousSent_, 0,   {}};
    const std::size_t At =
        findRun(Live.PreviousRunning_, Run.Task_, Run.Run_, Expected);
    if (At < Live.PreviousRunning_.size()) {
      const RunProgress &Previous = Live.PreviousProgress_[At];
      Progress.SeenAt_ = Previous.SeenAt_;
      Progress.FirstPercent_ = Previous.FirstPercent_;
      Progress.FirstSent_ = Previous.FirstSent_;
      Progress.SentBefore_ = Previous.SentBefore_;
      Progress.Changes_ = Previous.Changes_;
      Progress.LongestPercentTime_ = Previous.LongestPercentTime_;
      if (Previous.Percent_ == Run.Percent_)
        Progress.ChangedAt_ = Previous.ChangedAt_;
      if (Previous.Percent_ < Run.Percent_) {
        const auto Percents =
            static_cast<std::int64_t>(Run.Percent_ - Previous.Percent_);
        ++Progress.Changes_;
        Progress.LongestPercentTime_ =
            std::max<Duration>(Progress.LongestPercentTime_,
                               (Now - Previous.ChangedAt_) / Percents);
      }
      Expected = At + 1;
    }
    Live.Progress_.push_back(Progress);
  }
}

void LiveServerTable::boundFirstLeaseEnd(const LiveServer &Live) {
  FirstLeaseEnd_ = std::min(FirstLeaseEnd_, Live.LeaseEnd_);
}

void LiveServerTable::extendLease(const std::string &Id, TimePoint End) {
  LiveServer &Live = Servers_[Id];
  Live.LeaseEnd_ = std::max(Live.LeaseEnd_, End);
  boundFirstLeaseEnd(Live);
}

bool LiveServerTable::limitLease(const std::string &Id, TimePoint HeardAt,
                                 TimePoint End) {
  LiveServer *Live = find(Id);
  if (!Live || Live->LastSequence_ != 0)
    return false;
  Live->LastHeard_ = std::min(Live->LastHeard_, HeardAt);
  const bool IsShorter = End < Live->LeaseEnd_;
  Live->LeaseEnd_ = std::min(Live->LeaseEnd_, End);
  boundFirstLeaseEnd(*Live);
  return IsShorter;
}

LiveServer *LiveServerTable::find(const std::string &Id) {
  return Servers_.find(Id);
}

const LiveServer *LiveServerTable::find(const std::string &Id) const {
  return Servers_.find(Id);
}

void LiveServerTable::add(const std::string &Id, TimePoint Now,
                          TimePoint LeaseEnd) {
  LiveServer &Live = Servers_[Id];
  Live.MayHavePaces_ = true;
  Live.LastHeard_ = Now;
  Live.LeaseEnd_ = std::max(Live.LeaseEnd_, LeaseEnd);
  boundFirstLeaseEnd(Live);
}

void LiveServerTable::remove(const std::string &Id) {
  if (LiveServer *Live = find(Id))
    setIdle(*Live, false);
  Servers_.erase(Id);
}

void LiveServerTable::setIdle(LiveServer &Live, bool IsIdle) {
  if (std::exchange(Live.IsIdle_, IsIdle) != IsIdle)
    IsIdle ? ++IdleCount_ : --IdleCount_;
}

std::vector<std::string> LiveServerTable::listExpired(TimePoint Now) {
  std::vector<std::string> Expired;
  if (Now < FirstLeaseEnd_)
    return Expired;
  FirstLeaseEnd_ = TimePoint::max();
  for (const auto &[Id, Live] : Servers_.ordered()) {
    boundFirstLeaseEnd(Live);
    if (!Live.IsRemoving_ && Live.LeaseEnd_ <= Now)
      Expired.push_back(Id);
  }
  return Expired;
}

Resources LiveServerTable::sumUnplacedUsage(const JobRegistry &Registry,
                                            const ServerRecord &Server) const {
  Resources Used;
  const LiveServer *Live = find(Server.Facts_.Id_);
  if (!Live || !Live->MayHaveUnplaced_)
    return Used;
  for (const RunningTask &Run : Live->Running_)
    if (const StepSpec *Step = Registry.findStep(Run.Task_);
        Step && !Server.isPlaced(Run.Task_, Run.Run_))
      Used = Used + Step->getReserved();
  return Used;
}

/// An incarnation after a crash is stable once it has sent this number of
/// reports, at about two a second.
static constexpr std::uint64_t StableAfterReports = 100;

bool LiveServerTable::isStable(const ServerRecord &Server) const {
  const LiveServer *Live = find(Server.Facts_.Id_);
  return !Server.IsAfterCrash_ ||
         (Live && Live->LastSequence_ >= StableAfterReports);
}

std::vector<SavedCheckpoint>
LiveServerTable::listCheckpoints(const std::string &Id) const {
  std::vector<SavedCheckpoint> Checkpoints;
  if (const LiveServer *Live = find(Id))
    for (const RunningTask &Run : Live->Running_)
      if (!Run.Checkpoint_.empty())
        Checkpoints.push_back({Run.Task_, Run.Run_, Run.Checkpoint_});
  return Checkpoints;
}
