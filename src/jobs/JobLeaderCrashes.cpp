#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A live server reports more often than this.
static constexpr Duration SilenceThreshold = 1500ms;
/// The interval at which isolated runs are checked for having proved harmless.
static constexpr Duration ProofCheckInterval = 250ms;

static std::uint64_t toMs(Duration Value) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

std::vector<JobLeader::Impl::LostRun>
JobLeader::Impl::listLostRuns(const std::string &Server) const {
  const LiveServer *Live = LiveServers_.find(Server);
  return Machine_.read([&](const JobRegistry &Registry) {
    std::vector<LostRun> Lost;
    if (const ServerRecord *Record = Registry.findServer(Server))
      for (const auto &[Task, Run] : Record->Placed_)
        Lost.push_back(
            {Task, Run, Live ? Live->getObservedTime(Task, Run) : Duration(0)});
    return Lost;
  });
}

CrashEvidence
JobLeader::Impl::assessCrash(const std::string &Server, Departure How,
                             const std::vector<LostRun> &Lost) const {
  CrashEvidence Crash;
  const TimePoint Now = Time_.now();
  const LiveServer *Live = LiveServers_.find(Server);
  // A server that announced its shutdown may go without notice.
  if (!Live || Live->IsDraining_ || Live->WasEmptying_)
    return Crash;
  Crash.IsCrash_ = true;
  Crash.IsConfirmed_ = How != Departure::Silent;
  // A server may be back before others that crashed with it have been silent
  // for long, so any that has not reported since may be one of them.
  const Duration MinSilence =
      How == Departure::Restarted ? Duration(0) : SilenceThreshold;
  Crash.IsCorrelated_ =
      Crashes_.isCorrelated(LiveServers_, Server, Now, MinSilence);
  Crash.WasServerStable_ = Machine_.read([&](const JobRegistry &Registry) {
    const ServerRecord *Record = Registry.findServer(Server);
    return Record && LiveServers_.isStable(*Record);
  });
  for (const LostRun &Run : Lost)
    if (Run.Seen_ > Duration(0))
      Crash.ReportedRuns_.push_back({Run.Task_, toMs(Run.Seen_)});
  return Crash;
}

/// Logs which tasks the replicated state suspects of the crash.
void JobLeader::Impl::handleCrash(const std::string &Server,
                                  TimePoint LastHeard,
                                  const std::vector<LostRun> &Lost) {
  std::vector<Event> Lines;
  Machine_.read([&](const JobRegistry &Registry) {
    for (const LostRun &Run : Lost) {
      const TaskRecord *Task = Registry.findTask(Run.Task_);
      const bool IsSuspected = Task && !Task->Crashes_.empty() &&
                               Task->Crashes_.back().Server_ == Server &&
                               needsIsolation(Task->Crashes_);
      if (!IsSuspected)
        continue;
      Event Line;
      Line.Kind_ = EventKind::TaskSuspected;
      Line.Job_ = Run.Task_.Job_;
      Line.Task_ = toText(Run.Task_);
      Line.Attempt_ = Run.Run_;
      Line.Server_ = Server;
      Line.Count_ = Task->Crashes_.size();
      Line.AgeMs_ = static_cast<std::int64_t>(toMs(Run.Seen_));
      Line.Outcome_ =
          Task->Crashes_.back().IsConclusive_ ? "conclusive" : "open";
      Line.Reason_ = "servers crashed: " + listServers(Task->Crashes_);
      Lines.push_back(std::move(Line));
    }
    return 0;
  });
  for (const Event &Line : Lines)
    Log_.write(Line);
  Meter_.add(JobCounter::CrashesSuspected, Lines.empty() ? 0 : 1);
  Meter_.add(JobCounter::TasksSuspected, Lines.size());
  Crashes_.recordCrash(LastHeard);
}

/// Stores which suspected runs have proved harmless: another leader does not
/// see how long they have run.
void JobLeader::Impl::storeProvedRuns() {
  const TimePoint Now = Time_.now();
  if (IsProving_ || Now < NextProofCheck_)
    return;
  NextProofCheck_ = Now + ProofCheckInterval;
  RecordSurvivingRuns Command;
  Machine_.read([&](const JobRegistry &Registry) {
    for (const auto &[Key, Servers] : Registry.crashSuspects()) {
      const TaskRecord &Task = *Registry.findTask(Key);
      for (const Placement &Placed : Task.Placements_) {
        const LiveServer *Live = LiveServers_.find(Placed.Server_);
        const std::uint64_t Seen =
            Live ? toMs(Live->getObservedTime(Key, Placed.Run_)) : 0;
        const bool IsHarmless = Seen >= HarmlessAgeMs;
        const bool IsProved = Seen >= getIsolationMs(Task.Crashes_) &&
                              Task.LastSurvivingRun_ != Placed.Run_;
        if (IsHarmless || IsProved)
          Command.Runs_.push_back({Key, Placed.Run_, IsHarmless});
      }
    }
    return 0;
  });
  if (Command.Runs_.empty())
    return;
  IsProving_ = true;
  propose(Command,
          [this](const Outcome<CommandResult> &) { IsProving_ = false; });
}

void JobLeader::Impl::handleFailedJobs(const CommandResult &Result) {
  for (const std::string &Id : Result.FailedJobs_)
    handleJobEnd(Id);
}

/// Logs and counts the end of a job once. Does nothing for a job that has not
/// ended.
void JobLeader::Impl::handleJobEnd(const std::string &Id) {
  Event Line;
  Line.Kind_ = EventKind::JobEnded;
  Line.Job_ = Id;
  FailureCause Cause = FailureCause::Unknown;
  const JobState State = Machine_.read([&](const JobRegistry &Registry) {
    const JobRecord *Job = Registry.findJob(Id);
    if (!Job)
      return JobState::Queued;
    Line.Reason_ = Job->Reason_;
    Cause = Job->Cause_;
    return Job->State_;
  });
  if (!isEnded(State) || !EndedJobs_.record(Id, Time_.now()))
    return;
  requestStops(Id);
  Line.Outcome_ = State == JobState::Completed ? "completed"
                  : State == JobState::Failed  ? "failed"
                                               : "cancelled";
  if (Cause == FailureCause::Crashes)
    Meter_.add(JobCounter::JobsGivenUp, 1);
  Log_.write(Line);
  meterJobEnd(Id, State == JobState::Completed ? JobCounter::JobsCompleted
                                               : JobCounter::JobsFailed);
}
