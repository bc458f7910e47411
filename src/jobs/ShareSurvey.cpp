#include "jobs/ShareSurvey.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Bounds the work of a decision: more steps wait on a fleet that is asked for
/// several times what it has, where the most urgent ones decide.
static constexpr std::size_t MaxSteps = 128;
static constexpr std::size_t MaxExaminedSteps = 1024;
/// Half of the runs end sooner than expected, half later.
static constexpr double Median = 0.5;
/// A long-running task that has been ready for less does not yield: it has just
/// paid for its start.
static constexpr Duration MinReadyTime = 3s;
static constexpr std::uint64_t Percent = 100;

/// Returns the longest chain of expected run times from the step on.
Duration ShareSurvey::getRemaining(const JobRecord &Job,
                                   const OccurrenceRecord &Occurrence,
                                   std::uint64_t Step) const {
  std::vector<Duration> Ends(Job.Spec_.Steps_.size(), Duration(0));
  Duration Longest(0);
  for (std::size_t Index = Step; Index < Ends.size(); ++Index) {
    const StepRecord &Record = Occurrence.Steps_[Index];
    if (Record.DoneCount_ == Record.Tasks_.size())
      continue;
    Duration Begin(0);
    for (const std::uint64_t Other : Job.Spec_.Steps_[Index].DependsOn_)
      Begin = std::max(Begin, Ends[Other]);
    Ends[Index] = Begin + RunTimes_.getQuantile(Job, Index, Median);
    Longest = std::max(Longest, Ends[Index]);
  }
  return Longest;
}

void ShareSurvey::updateWaiting(const FleetView &View) {
  Waiting_.clear();
  std::size_t Examined = 0;
  for (const ReadyStep &Ready : View.Registry_.readySteps()) {
    if (++Examined > MaxExaminedSteps || Waiting_.size() == MaxSteps)
      break;
    const JobRecord &Job = *View.Registry_.findJob(Ready.Job_);
    const StepSpec &Spec = Job.Spec_.Steps_[Ready.Step_];
    // A gang needs room on several servers at once, and an occurrence of a
    // timed job is not due by the job's objective.
    const bool IsConsidered = !Spec.LongRunning_ && !Spec.Fills_ &&
                              !Spec.Gang_ && Job.Spec_.RepeatCount_ == 0 &&
                              Spec.Need_.MilliCpus_ > 0;
    if (!IsConsidered)
      continue;
    const OccurrenceRecord &Occurrence = *Job.findOccurrence(Ready.Occurrence_);
    const Duration Allowed =
        std::chrono::milliseconds(Job.getDueMs() - Job.AcceptedMs_);
    const Duration End = Duration(View.Wall_) -
                         std::chrono::milliseconds(Job.AcceptedMs_) +
                         getRemaining(Job, Occurrence, Ready.Step_);
    if (End > Allowed)
      continue;
    Waiting_.push_back({Ready, &Job, &Spec,
                        Occurrence.Steps_[Ready.Step_].Waiting_, End - Allowed,
                        End + YieldTime >= Allowed});
  }
}

void ShareSurvey::beginRooms() {
  Rooms_.clear();
  Candidates_.clear();
  Budgets_.clear();
}

/// Returns the index of the server's room; NoRoom if it may start nothing.
std::size_t ShareSurvey::addRoom(const FleetView &View,
                                 const ServerRecord &Server,
                                 const LiveServer &Live) {
  const std::string &Id = Server.Facts_.Id_;
  const bool MayStart =
      View.LiveServers_.acceptsStarts(View.Registry_, Server) &&
      Live.LastSequence_ > 0 && Live.NoStartsUntil_ <= View.Now_ &&
      !Live.isSilent(View.Now_) &&
      View.Health_.getHealthState(Id, View.Now_) == HealthState::Healthy;
  if (!MayStart)
    return NoRoom;
  ServerRoom Room;
  Room.Server_ = &Server;
  Room.Free_ = Server.Facts_.Capacity_ - Server.Used_ -
               View.LiveServers_.sumUnplacedUsage(View.Registry_, Server);
  Room.SoonFree_ = Room.Free_;
  Room.UsedBounded_ = Server.Used_ - Server.UsedByLongRunning_;
  Room.IsReserved_ = View.Capacity_.findReservation(Id) != nullptr;
  Rooms_.push_back(Room);
  return Rooms_.size() - 1;
}

void ShareSurvey::addRun(const FleetView &View, const LiveServer &Live,
                         std::size_t At, std::size_t Room, bool IsYielding) {
  const RunningTask &Running = Live.Running_[At];
  const TaskKey &Task = Running.Task_;
  const JobRecord *Job = View.Registry_.findJob(Task.Job_);
  if (!Job || isEnded(Job->State_))
    return;
  const StepSpec &Spec = Job->Spec_.Steps_[Task.Step_];
  const RunProgress &Progress = Live.Progress_[At];
  const Resources Need = Spec.getReserved();
  const auto Sent = Live.StopsSent_.find(Task);
  const bool IsStopping =
      Sent != Live.StopsSent_.end() && Sent->second == Running.Run_;
  if (!Spec.LongRunning_) {
    if (Room != NoRoom && !Spec.Fills_ &&
        RunTimes_.getQuantile(*Job, Task.Step_, Median) -
                (View.Now_ - Progress.SeenAt_) <=
            YieldTime)
      Rooms_[Room].SoonFree_ = Rooms_[Room].SoonFree_ + Need;
    return;
  }
  if (IsYielding && Room != NoRoom)
    Rooms_[Room].Yielding_ = Rooms_[Room].Yielding_ + Need;
  const std::uint64_t MaxUnavailable = Settings_.getBudget(Spec);
  if (MaxUnavailable == 0)
    return;
  const StepRecord &Record =
      Job->findOccurrence(Task.Occurrence_)->Steps_[Task.Step_];
  Budget &Mine = Budgets_[&Record];
  Mine.Tasks_ = static_cast<std::int64_t>(Record.Tasks_.size());
  Mine.MaxUnavailable_ = static_cast<std::int64_t>(MaxUnavailable);
  if (IsYielding || IsStopping || Running.Percent_ < Percent)
    return;
  ++Mine.Available_;
  if (Room != NoRoom && View.Now_ - Progress.ChangedAt_ >= MinReadyTime)
    Candidates_.push_back(
        {Task, Running.Run_, Room, Need, Job->Policy_.Priority_, &Record});
}

bool ShareSurvey::hasBudget(const YieldCandidate &Candidate) const {
  return Budgets_.at(Candidate.Step_).count() > 0;
}

std::int64_t ShareSurvey::countYieldable() const {
  std::unordered_map<const StepRecord *, std::int64_t> Counted;
  std::int64_t Cpus = 0;
  for (const YieldCandidate &Candidate : Candidates_)
    if (++Counted[Candidate.Step_] <= Budgets_.at(Candidate.Step_).count())
      Cpus += Candidate.Need_.MilliCpus_;
  return Cpus;
}
