#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A filling task slower than that is moved, if there is room elsewhere, unless
/// it is nearly done.
static constexpr std::uint64_t LeastPaceToStay = 40;
static constexpr std::uint64_t LeastPercentToStay = 90;
/// Without progress for so long a run stands still: usual runs of 0.6 to 3 s
/// change their percent with every report. Filling ones may have to wait for
/// idle processors, and those that last for their start.
static constexpr Duration StallTime = 2s;
static constexpr Duration StallOfFilling = 6s;
static constexpr Duration StallOfLasting = 4s;
/// On a server that leaves, what is so far done may end by itself, as long as
/// there is more time left than a stop and the way of its report take.
static constexpr std::uint64_t LeastPercentToEnd = 60;
static constexpr std::uint64_t EvacuationMs = 1500;
static constexpr std::uint64_t Percent = 100;
/// A server that was silent for longer may have lost its tasks: four reports.
static constexpr Duration HeardLately = 2s;

/// A run that makes no progress although nothing holds it back.
bool JobLeader::Impl::isStalled(const JobBook &Book, const std::string &Server,
                                const RunningTask &Running) const {
  const StepSpec *Step = Book.findStep(Running.Task_);
  const ServerLive *Live = Board_.find(Server);
  if (!Step || !Live || Step->Gang_)
    return false;
  const auto Found = Live->Progress_.find(Running.Task_);
  if (Found == Live->Progress_.end())
    return false;
  const Duration Still = Time_.now() - Found->second.ChangedAt_;
  if (Step->LongRunning_)
    return Running.Percent_ < Percent && Still >= StallOfLasting;
  if (!Step->Fills_)
    return Still >= StallTime;
  return Still >= StallOfFilling && Paces_.getPace(Server) == FillingPace{};
}

/// Whether so few others of the step are away that this task may be, too.
bool JobLeader::Impl::maySpare(
    const JobBook &Book, const StepSpec &Step, const TaskKey &Task,
    const std::map<TaskKey, std::uint64_t> &Stopping) const {
  const auto IsAtWork = [&](const TaskKey &Other, const TaskRecord &Record) {
    for (const Placement &Each : Record.Placements_) {
      const ServerLive *Live = Board_.find(Each.Server_);
      if (!Live || Time_.now() - Live->LastHeard_ > HeardLately)
        continue;
      const auto Seen = Live->Progress_.find(Other);
      const bool IsSeen = Seen != Live->Progress_.end() &&
                          Seen->second.Run_ == Each.Run_ &&
                          Seen->second.Percent_ >= Percent;
      if (IsSeen && Live->StopsSent_.count(Other) == 0 &&
          Stopping.count(Other) == 0)
        return true;
    }
    return false;
  };
  const std::vector<TaskRecord> &Tasks = Book.findJob(Task.Job_)
                                             ->findOccurrence(Task.Occurrence_)
                                             ->Steps_[Task.Step_]
                                             .Tasks_;
  std::uint64_t Away = 0;
  TaskKey Other = Task;
  for (Other.Index_ = 0; Other.Index_ < Tasks.size(); ++Other.Index_)
    if (Other.Index_ != Task.Index_ && !IsAtWork(Other, Tasks[Other.Index_]))
      ++Away;
  return Away < std::max<std::uint64_t>(Step.MayMiss_, 1);
}

/// Whether the work is better saved now, as its server is about to leave.
bool JobLeader::Impl::isToEvacuate(
    const JobBook &Book, const ServerReport &Report, const RunningTask &Running,
    const std::map<TaskKey, std::uint64_t> &Stopping) const {
  const StepSpec *Step = Book.findStep(Running.Task_);
  if (!Step || Step->Gang_)
    return false;
  const ServerLive *Live = Board_.find(Report.Facts_.Id_);
  if (!Report.IsDraining_ && Live && Live->IsEmptying_) {
    if (!Step->LongRunning_)
      return Step->Checkpointing_ && Running.Percent_ < LeastPercentToEnd;
    const auto Told = Live->StopsSent_.find(Running.Task_);
    const bool IsTold =
        Told != Live->StopsSent_.end() && Told->second == Running.Run_;
    return IsTold || maySpare(Book, *Step, Running.Task_, Stopping);
  }
  if (!Report.IsDraining_)
    return false;
  if (Step->LongRunning_)
    return true;
  const bool MayEndInTime = Running.Percent_ >= LeastPercentToEnd &&
                            Report.RemainingMs_ > EvacuationMs;
  return Step->Checkpointing_ && !MayEndInTime;
}

/// Whether a task that hardly works, as it would disturb, can go on elsewhere.
/// A stop costs it nothing, for it makes a checkpoint.
bool JobLeader::Impl::isToMove(const JobBook &Book,
                               const std::set<std::string> &Images,
                               const ServerReport &Report,
                               const RunningTask &Running) {
  const std::string &Id = Report.Facts_.Id_;
  const StepSpec *Step = Book.findStep(Running.Task_);
  const bool IsSlow = Step && Step->Fills_ && Step->Checkpointing_ &&
                      Running.Percent_ < LeastPercentToStay &&
                      Paces_.getPace(Id).Disturbing_ < LeastPaceToStay &&
                      Effects_.isDisturbingAny(Images, Step->Image_);
  if (!IsSlow || !Dispatcher_.takeSafeRoom(*Step))
    return false;
  Meter_.add(Counted::TasksMoved, 1);
  return true;
}

ServerOrders JobLeader::Impl::makeOrders(const ServerReport &Report,
                                         std::vector<TaskEnd> &NeverRan) {
  ServerOrders Orders;
  ServerLive *Live = Board_.find(Report.Facts_.Id_);
  std::map<TaskKey, std::uint64_t> Reported;
  std::map<TaskKey, std::uint64_t> StopsSent;
  std::vector<std::pair<RunningTask, std::string_view>> Stopped;
  for (const RunningTask &Each : Report.Running_)
    Reported[Each.Task_] = Each.Run_;
  Machine_.read([&](const JobBook &Book) {
    const ServerRecord *Server = Book.findServer(Report.Facts_.Id_);
    const std::set<std::string> Images =
        Dispatcher_.findServing(Book, Report.Facts_.Id_);
    const auto IsWanted = [&](const TaskKey &Task, std::uint64_t Run) {
      const auto Placed = Server->Placed_.find(Task);
      const bool IsHere =
          Placed != Server->Placed_.end() && Placed->second == Run;
      return IsHere && !isEnded(Book.findJob(Task.Job_)->State_) &&
             Book.findTask(Task)->State_ != TaskState::Done;
    };
    const auto Stop = [&](const TaskKey &Task, std::uint64_t Run) {
      Orders.Stops_.push_back({Task, Run});
      StopsSent[Task] = Run;
    };
    for (const RunningTask &Each : Report.Running_) {
      std::string_view Why;
      if (!IsWanted(Each.Task_, Each.Run_))
        Why = "it is no longer wanted";
      else if (isStalled(Book, Report.Facts_.Id_, Each))
        Why = StandsStill;
      else if (isToEvacuate(Book, Report, Each, StopsSent))
        Why = "its server is about to leave, or to have its maintenance";
      else if (isToMove(Book, Images, Report, Each))
        Why = "it would disturb here and has room elsewhere";
      if (Why.empty())
        continue;
      Stop(Each.Task_, Each.Run_);
      const auto Before = Live->StopsSent_.find(Each.Task_);
      if (Before == Live->StopsSent_.end() || Before->second != Each.Run_)
        Stopped.emplace_back(Each, Why);
    }
    for (const auto &[Task, Run] : Server->Placed_) {
      const auto Found = Reported.find(Task);
      if (Found != Reported.end() && Found->second == Run)
        continue;
      if (!IsWanted(Task, Run)) {
        const auto Before = Live->StopsSent_.find(Task);
        // Told to stop in an earlier answer, and still not there: the order to
        // start it, if one ever left, can't take effect any more.
        if (Before != Live->StopsSent_.end() && Before->second == Run)
          NeverRan.push_back({Task, Run, RunEnd::NeverRan, ""});
        else
          Stop(Task, Run);
        continue;
      }
      const std::string *Ticket =
          Advice_.findTicket({Task.Job_, Task.Occurrence_, Task.Step_},
                             Report.Facts_.Id_, Time_.now());
      Orders.Starts_.push_back(
          {Task, Run, Book.findJob(Task.Job_)->Spec_.Payload_,
           Book.findTask(Task)->Checkpoint_, Ticket ? *Ticket : ""});
    }
    return 0;
  });
  Live->StopsSent_ = std::move(StopsSent);
  for (const auto &[Task, Why] : Stopped) {
    Event Line;
    Line.Kind_ = EventKind::TaskStopped;
    Line.Job_ = Task.Task_.Job_;
    Line.Task_ = toText(Task.Task_);
    Line.Attempt_ = Task.Run_;
    Line.Server_ = Report.Facts_.Id_;
    Line.Reason_ = Why;
    Log_.write(Line);
    if (Why == StandsStill)
      noteSick(Report.Facts_.Id_, Task.Task_.Job_, "runs stand still");
  }
  return Orders;
}
