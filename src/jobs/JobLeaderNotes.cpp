#include "jobs/JobLeaderImpl.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

static std::string_view getName(RunEnd How) {
  static constexpr std::array<std::string_view, 8> Names = {
      "done",   "failed", "stopped", "lapsed",
      "broken", "alone",  "refused", "never_ran"};
  return Names.at(static_cast<std::size_t>(How));
}

void JobLeader::Impl::noteEnded(const std::string &Job, Counted How) {
  Meter_.add(How, 1);
  Started_.erase(Job);
  const auto Accepted = AcceptedAt_.find(Job);
  if (Accepted == AcceptedAt_.end())
    return;
  Meter_.record(Timed::Finish, Time_.now() - Accepted->second);
  AcceptedAt_.erase(Accepted);
}

void JobLeader::Impl::noteStarted(const TaskStart &Start, bool IsTaken) {
  Meter_.add(IsTaken ? Counted::TasksStarted : Counted::StartsRefused, 1);
  const auto Accepted = AcceptedAt_.find(Start.Task_.Job_);
  if (IsTaken && Accepted != AcceptedAt_.end() &&
      Started_.insert(Start.Task_.Job_).second)
    Meter_.record(Timed::FirstStart, Time_.now() - Accepted->second);
}

static Event makeLine(const std::string &Server, const TaskKey &Task,
                      std::uint64_t Run, RunEnd How) {
  Event Line;
  Line.Kind_ = EventKind::TaskEnded;
  Line.Job_ = Task.Job_;
  Line.Task_ = toText(Task);
  Line.Attempt_ = Run;
  Line.Server_ = Server;
  Line.Outcome_ = getName(How);
  return Line;
}

void JobLeader::Impl::logEnds(const std::string &Server,
                              const std::vector<TaskEnd> &Ends) {
  for (const TaskEnd &End : Ends)
    Log_.write(makeLine(Server, End.Task_, End.Run_, End.How_));
}

void JobLeader::Impl::logLost(const std::string &Server,
                              const std::vector<LostRun> &Lost) {
  for (const LostRun &Each : Lost) {
    Event Line = makeLine(Server, Each.Task_, Each.Run_, RunEnd::Lapsed);
    Line.AgeMs_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(Each.Seen_)
            .count();
    Log_.write(Line);
  }
}

void JobLeader::Impl::noteHealth(const EndTasks &Ended) {
  const ServerLive *Live = Board_.find(Ended.Server_);
  const TimePoint Now = Time_.now();
  for (const TaskEnd &End : Ended.Ends_) {
    if (End.How_ == RunEnd::Failed)
      Dispatcher_.recordFailure(End.Task_, Ended.Server_, Now);
    if (End.How_ == RunEnd::Failed)
      noteSick(Ended.Server_, End.Task_.Job_, "runs of several jobs failed");
    if (End.How_ != RunEnd::Done || !Live)
      continue;
    const RunProgress *Seen = Live->findProgressBefore(End.Task_);
    const StepSpec *Step = Machine_.read(
        [&End](const JobBook &Book) { return Book.findStep(End.Task_); });
    // What fills goes as fast as others let it, which says nothing of a server.
    const bool IsTelling =
        Step && !Step->Fills_ && Seen && Seen->Run_ == End.Run_;
    const bool WasSick =
        Health_.getFitness(Ended.Server_, Now) != Fitness::Sound;
    const bool IsSick =
        Health_.noteDone(Ended.Server_, End.Task_.Job_, End.Task_.Step_,
                         IsTelling ? Now - Seen->SeenAt_ : Duration(0), Now);
    if (IsSick)
      logQuarantine(Ended.Server_, End.Task_.Job_,
                    "runs take much longer than elsewhere");
    else if (WasSick &&
             Health_.getFitness(Ended.Server_, Now) == Fitness::Sound) {
      Event Line;
      Line.Kind_ = EventKind::ServerReturned;
      Line.Server_ = Ended.Server_;
      Line.Reason_ = "a run was done there";
      Log_.write(Line);
    }
  }
}

void JobLeader::Impl::noteSick(const std::string &Server,
                               const std::string &Job, const char *Why) {
  if (Health_.noteFailed(Server, Job, Time_.now()))
    logQuarantine(Server, Job, Why);
}

void JobLeader::Impl::logQuarantine(const std::string &Server,
                                    const std::string &Job, const char *Why) {
  Event Line;
  Line.Kind_ = EventKind::ServerQuarantined;
  Line.Server_ = Server;
  Line.Job_ = Job;
  Line.Reason_ = Why;
  Log_.write(Line);
}
