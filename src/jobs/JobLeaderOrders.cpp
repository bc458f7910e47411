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
bool JobLeader::Impl::isStalled(const StepSpec &Step, const std::string &Server,
                                const RunProgress &Progress,
                                TimePoint Now) const {
  const Duration Still = Now - Progress.ChangedAt_;
  // The least of the three, so that most runs cost no more than this.
  if (Still < StallTime || Step.Gang_)
    return false;
  if (Step.LongRunning_)
    return Progress.Percent_ < Percent && Still >= StallOfLasting;
  if (!Step.Fills_)
    return true;
  return Still >= StallOfFilling &&
         Paces_.getMinPace(Server) == PaceController::FullPace;
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
      const RunProgress *Seen = Live->findProgress(Other);
      const bool IsSeen =
          Seen && Seen->Run_ == Each.Run_ && Seen->Percent_ >= Percent;
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
    const JobBook &Book, const StepSpec &Step, const ServerLive &Live,
    const ServerReport &Report, const RunningTask &Running,
    const std::map<TaskKey, std::uint64_t> &Stopping) const {
  if (Step.Gang_ || (!Report.IsDraining_ && !Live.IsEmptying_))
    return false;
  if (!Report.IsDraining_) {
    if (!Step.LongRunning_)
      return Step.Checkpointing_ && Running.Percent_ < LeastPercentToEnd;
    const auto Told = Live.StopsSent_.find(Running.Task_);
    const bool IsTold =
        Told != Live.StopsSent_.end() && Told->second == Running.Run_;
    return IsTold || maySpare(Book, Step, Running.Task_, Stopping);
  }
  if (Step.LongRunning_)
    return true;
  const bool MayEndInTime = Running.Percent_ >= LeastPercentToEnd &&
                            Report.RemainingMs_ > EvacuationMs;
  return Step.Checkpointing_ && !MayEndInTime;
}

/// Whether a task that hardly works, as it would disturb, can go on elsewhere.
/// A stop costs it nothing, for it makes a checkpoint.
bool JobLeader::Impl::isToMove(const StepSpec &Step, const ServerRecord &Server,
                               const RunningTask &Running) {
  const bool IsSlow =
      Step.Fills_ && Step.Checkpointing_ &&
      Running.Percent_ < LeastPercentToStay &&
      Paces_.getPace(Server.Facts_.Id_, Step.Image_) < LeastPaceToStay;
  if (!IsSlow || !Dispatcher_.claimInterferenceFreeCpus(Step))
    return false;
  Meter_.add(Counted::TasksMoved, 1);
  return true;
}

/// The step of a run that is placed on the server and shall go on there;
/// nullptr for any other run.
static const StepSpec *findWanted(const JobBook &Book,
                                  const std::string &Server,
                                  const TaskKey &Task, std::uint64_t Run) {
  const JobRecord *Job = Book.findJob(Task.Job_);
  if (!Job || isEnded(Job->State_))
    return nullptr;
  const TaskRecord *Record = Job->findTask(Task);
  const bool IsOpen = Record && Record->State_ != TaskState::Done;
  const bool IsHere =
      IsOpen &&
      std::any_of(Record->Placements_.begin(), Record->Placements_.end(),
                  [&](const Placement &Each) {
                    return Each.Run_ == Run && Each.Server_ == Server;
                  });
  return IsHere ? &Job->Spec_.Steps_[Task.Step_] : nullptr;
}

/// Why the run, which is wanted where it is, is better stopped; empty if not.
std::string_view JobLeader::Impl::findStopReason(
    const JobBook &Book, const StepSpec &Step, const ServerRecord &Server,
    const ServerLive &Live, const ServerReport &Report, std::size_t At,
    const std::map<TaskKey, std::uint64_t> &Stopping) {
  const RunningTask &Running = Report.Running_[At];
  const bool IsSeen = At < Live.Progress_.size();
  if (IsSeen &&
      isStalled(Step, Report.Facts_.Id_, Live.Progress_[At], Time_.now()))
    return StandsStill;
  if (isToEvacuate(Book, Step, Live, Report, Running, Stopping))
    return "its server is about to leave, or to have its maintenance";
  if (isToMove(Step, Server, Running))
    return "it would disturb here and has room elsewhere";
  return "";
}

/// The runs that are placed on the server and that its report does not name,
/// neither as going on nor as ended.
static std::vector<std::pair<TaskKey, std::uint64_t>>
listUnreported(const ServerRecord &Server, const ServerReport &Report) {
  std::set<std::pair<TaskKey, std::uint64_t>> Reported;
  for (const RunningTask &Each : Report.Running_)
    Reported.emplace(Each.Task_, Each.Run_);
  for (const EndedTask &Each : Report.Ended_)
    Reported.emplace(Each.End_.Task_, Each.End_.Run_);
  std::vector<std::pair<TaskKey, std::uint64_t>> Missing;
  for (const auto &Each : Server.Placed_)
    if (Reported.count(Each) == 0)
      Missing.emplace_back(Each);
  return Missing;
}

void JobLeader::Impl::stopRunsOf(const std::string &Job) {
  Machine_.read([&](const JobBook &Book) {
    if (const JobRecord *Ended = Book.findJob(Job))
      PendingStops_.add(*Ended, Time_.now());
    return 0;
  });
}

ServerOrders JobLeader::Impl::makeOrders(const ServerReport &Report,
                                         std::vector<TaskEnd> &NeverRan) {
  ServerOrders Orders;
  const std::string &Id = Report.Facts_.Id_;
  ServerLive *Live = Board_.find(Id);
  std::map<TaskKey, std::uint64_t> StopsSent;
  std::vector<std::pair<RunningTask, std::string_view>> Stopped;
  Machine_.read([&](const JobBook &Book) {
    const ServerRecord &Server = *Book.findServer(Id);
    const auto Stop = [&](const TaskKey &Task, std::uint64_t Run) {
      Orders.Stops_.push_back({Task, Run});
      StopsSent[Task] = Run;
    };
    std::size_t Wanted = 0;
    bool AnyUnplaced = false;
    Resources Left = Report.Facts_.Capacity_;
    for (std::size_t At = 0; At < Report.Running_.size(); ++At) {
      const RunningTask &Each = Report.Running_[At];
      const StepSpec *Step = findWanted(Book, Id, Each.Task_, Each.Run_);
      Wanted += Step ? 1 : 0;
      AnyUnplaced =
          AnyUnplaced || (!Step && !Server.isPlaced(Each.Task_, Each.Run_));
      if (const StepSpec *Known = Step ? Step : Book.findStep(Each.Task_))
        Left = Left - Known->getReserved();
      const std::string_view Why =
          Step ? findStopReason(Book, *Step, Server, *Live, Report, At,
                                StopsSent)
               : "it is no longer wanted";
      if (Why.empty())
        continue;
      Stop(Each.Task_, Each.Run_);
      const auto Before = Live->StopsSent_.find(Each.Task_);
      if (Before == Live->StopsSent_.end() || Before->second != Each.Run_)
        Stopped.emplace_back(Each, Why);
    }
    Live->MayHaveUnplaced_ = AnyUnplaced;
    // Mostly the report names all that is placed there.
    if (Wanted == Server.Placed_.size())
      return 0;
    // Where nothing starts any more, what was placed and never seen counts as
    // unwanted: it is outlawed, and begins elsewhere.
    const bool MayStart = !Book.isEvacuated(Server.Facts_);
    for (const auto &[Task, Run] : listUnreported(Server, Report)) {
      const StepSpec *Step = findWanted(Book, Id, Task, Run);
      // The capacity may have shrunk since the task was placed.
      if (!MayStart || !Step || !Step->getReserved().fitsIn(Left)) {
        const auto Before = Live->StopsSent_.find(Task);
        // Told to stop in an earlier answer, and still not there: the order to
        // start it, if one ever left, can't take effect any more.
        if (Before != Live->StopsSent_.end() && Before->second == Run)
          NeverRan.push_back({Task, Run, RunEnd::NeverRan, ""});
        else
          Stop(Task, Run);
        continue;
      }
      Left = Left - Step->getReserved();
      const std::string *Ticket = Advice_.findTicket(
          {Task.Job_, Task.Occurrence_, Task.Step_}, Id, Time_.now());
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
