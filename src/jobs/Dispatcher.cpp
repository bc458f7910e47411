#include "jobs/Dispatcher.h"

#include "jobs/GangPlanner.h"

#include <algorithm>
#include <limits>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Two report intervals, within which every server of a rack has reported.
static constexpr Duration RackPatience = 500ms;
/// How long a serving task waits for a server without other serving images,
/// while one has room: three report intervals.
static constexpr Duration CompanyPatience = 1500ms;
/// How long it waits for a server with its own image rather than an empty one:
/// one and a half report intervals.
static constexpr Duration EqualsPatience = 750ms;
/// Without such room it starts beside other images after MixingPatience, and up
/// to HarmPatience later the more filling images it would slow there.
static constexpr Duration MixingPatience = 250ms;
static constexpr Duration HarmPatience = 1500ms;
/// How long a filling task waits for a server where it slows no serving task.
static constexpr Duration DisturbingPatience = 3000ms;
/// How long a task whose run failed waits for another server: two report
/// intervals.
static constexpr Duration FailurePatience = 1s;
/// How long a task waits for processors that filling tasks don't use.
static constexpr Duration IdlePatience = 150ms;
/// A job without a running task starts on any server after this time, if the
/// fleet is not full.
static constexpr Duration IdleJobPatience = 1s;
/// A gang that prefers one rack may use several after this time.
static constexpr Duration GangPatience = 1500ms;
/// Most starts in one answer to a report.
static constexpr std::size_t MostStartsAtOnce = 64;

static constexpr std::int64_t Unlimited =
    std::numeric_limits<std::int64_t>::max();

void Dispatcher::reset() {
  Waits_.reset();
  Taken_.clear();
  Failed_.clear();
  Stragglers_.reset();
  Order_.reset();
  Isolation_.reset();
}

void Dispatcher::settle(const std::vector<TaskStart> &Starts) {
  for (const TaskStart &Each : Starts)
    Taken_.erase(Each.Task_);
}

void Dispatcher::noteFailure(const TaskKey &Task, const std::string &ServerId,
                             TimePoint Now) {
  Failed_[Task] = {ServerId, Now};
}

/// Whether the task has just failed on this server, which may be the cause.
bool Dispatcher::isToAvoid(const TaskKey &Task, const Plan &Own) const {
  const auto Found = Failed_.find(Task);
  return Found != Failed_.end() &&
         Found->second.Server_ == Own.Server_.Facts_.Id_ &&
         Own.Now_ - Found->second.At_ < FailurePatience;
}

void Dispatcher::prune(const JobRegistry &Book) {
  std::erase_if(Failed_, [&Book](const auto &Each) {
    const TaskRecord *Task = Book.findTask(Each.first);
    return !Task || Task->State_ == TaskState::Done;
  });
  Isolation_.prune(Book);
  Waits_.prune(Book);
}

/// Whether one of the step's tasks fits, near its data unless it has waited for
/// long.
bool Dispatcher::hasRoom(const StepSpec &Step, const Plan &Own,
                         Duration Waited) const {
  const ServerRoom &Left = Own.Left_;
  const Resources *Held = Survey_.findHeld(Own.Server_.Facts_.Id_);
  const bool IsHeld = !Step.LongRunning_ && !Step.Fills_ && Held;
  const Resources Free = IsHeld ? Left.Free_ - *Held : Left.Free_;
  if (!Step.getReserved().fitsIn(Free))
    return false;
  return Step.DataRack_.empty() || Step.DataRack_ == Own.Server_.Facts_.Rack_ ||
         Waited >= RackPatience;
}

/// Whether a task that fits runs well there without slowing others.
bool Dispatcher::isFit(const StepSpec &Step, Plan &Own, Duration Waited,
                       bool IsIdleJob, std::uint64_t Waiting) const {
  const ServerRoom &Left = Own.Left_;
  if (Step.isServing())
    return isFitToServe(Step, Left, Waited, Waiting);
  if (Step.Fills_)
    return isFitToFill(Step, Own, Waited, IsIdleJob);
  return Step.Need_.MilliCpus_ <= Left.Idle_ || Waited >= IdlePatience;
}

/// Keeps tasks of one image together: each serving image excludes some filling
/// images, so servers with several leave room for few.
bool Dispatcher::isFitToServe(const StepSpec &Step, const ServerRoom &Left,
                              Duration Waited, std::uint64_t Waiting) const {
  const bool IsAmongEquals =
      Left.Serving_.size() == 1 && Left.Serving_.count(Step.Image_) == 1;
  if (IsAmongEquals)
    return true;
  // A waiting task serves no requests, so it waits only for free room.
  const bool HasEquals =
      Survey_.hasRoomAmongEquals(Step.Image_, Step.getReserved(), Waiting);
  if (Left.Serving_.empty())
    return !HasEquals || Waited >= EqualsPatience;
  if (HasEquals || Survey_.hasRoomAlone(Step.getReserved()))
    return Waited >= CompanyPatience;
  const double Harm = Effects_.getAddedHarm(Left.Serving_, Step.Image_);
  const auto More = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(HarmPatience) * Harm);
  return Waited >= MixingPatience + More;
}

bool Dispatcher::isFitToFill(const StepSpec &Step, Plan &Own, Duration Waited,
                             bool IsIdleJob) const {
  const ServerRoom &Left = Own.Left_;
  // Bounds the wait while there is room: it is paced where it slows others.
  if (IsIdleJob && Survey_.isRoomy() && Waited >= IdleJobPatience)
    return true;
  if (Step.Need_.MilliCpus_ > Left.Idle_ - Left.KeptIdle_)
    return false;
  if (Waited < DisturbingPatience &&
      Effects_.isDisturbingAny(Left.Serving_, Step.Image_))
    return false;
  return Paces_.getGuarded(Own.Server_.Facts_.Id_) == PaceGuard::FullPace &&
         getTails(Own).fits(Step.Image_, Step.Need_.MilliCpus_);
}

TailRoom &Dispatcher::getTails(Plan &Own) const {
  if (!Own.Tails_)
    Own.Tails_.emplace(Effects_, Loads_, Own.Server_);
  return *Own.Tails_;
}

void Dispatcher::survey(const JobRegistry &Book, const LiveServerTable &Board,
                        TimePoint Now) {
  Stragglers_.survey(Book, Board, Now);
  Survey_.take(Book, Board, Waits_, Now);
}

/// Whether only lasting tasks run there.
static bool isIdleBut(const JobRegistry &Book, const ServerRecord &Server) {
  return std::all_of(Server.Placed_.begin(), Server.Placed_.end(),
                     [&Book](const auto &Each) {
                       return Book.findJob(Each.first.Job_)
                           ->Spec_.Steps_[Each.first.Step_]
                           .LongRunning_;
                     });
}

std::vector<TaskStart> Dispatcher::plan(const JobRegistry &Book,
                                        const LiveServerTable &Board,
                                        const std::string &ServerId,
                                        TimePoint Now, WallTime Wall) {
  const ServerRecord *Server = Book.findServer(ServerId);
  const LiveServer *Live = Board.find(ServerId);
  const bool MayStart = Server && Board.acceptsStarts(Book, *Server) &&
                        Live->NoStartsUntil_ <= Now;
  const HealthState Fit = Health_.getHealthState(ServerId, Now);
  if (!MayStart || Fit == HealthState::Quarantined)
    return {};
  if (Fit == HealthState::Probation && !isIdleBut(Book, *Server))
    return {};
  if (Fit == HealthState::Healthy)
    if (const auto Start = planIsolated(Book, Board, *Server, Now)) {
      Taken_.insert(Start->Task_);
      return {*Start};
    }
  if (Isolation_.isClosed(Book, Board, *Server, Now))
    return {};
  Plan Own{*Server,
           ServerRoom::measure(*Server, Loads_),
           Now,
           {},
           MostStartsAtOnce,
           std::nullopt,
           {},
           {}};
  Own.Left_.Free_ = Own.Left_.Free_ - Board.sumUnplacedUsage(Book, *Server);
  if (Fit == HealthState::Probation)
    Own.MostStarts_ = 1;
  Order_.update(Book, Waits_, Now, Wall);
  const std::size_t Images = Order_.countFillingImages();
  Own.RefusedWhereItDisturbs_.assign(Images, Unlimited);
  Own.Refused_.assign(Images, Unlimited);
  for (const Candidate &Each : Order_.candidates()) {
    if (isFull(Own))
      break;
    const bool MayFit =
        Each.Reserved_.fitsIn(Own.Left_.Free_) &&
        (Each.IdleNeeded_ <= Own.Left_.Idle_ || Survey_.isRoomy());
    // Its tasks may all have been placed since the order was made.
    if (MayFit && !isRefused(Each, Own) &&
        Book.readySteps().count(Each.Step_) != 0)
      planStep(Book, Each, Own);
  }
  // A copy would take room that a lasting task waits for.
  if (!Survey_.isAnyLastingWaiting())
    planCopies(Book, Own);
  return std::move(Own.Starts_);
}

/// A suspected task that the server starts by itself.
std::optional<TaskStart> Dispatcher::planIsolated(const JobRegistry &Book,
                                                  const LiveServerTable &Board,
                                                  const ServerRecord &Server,
                                                  TimePoint Now) {
  const Resources Free = Server.Facts_.Capacity_ - Server.Used_ -
                         Board.sumUnplacedUsage(Book, Server);
  const auto MayRun = [&](const JobRecord &Job, const TaskKey &Task) {
    return Taken_.count(Task) == 0 &&
           Job.Spec_.Steps_[Task.Step_].getReserved().fitsIn(Free) &&
           isAdvised(Job, Task, Server.Facts_.Id_, Now);
  };
  return Isolation_.plan(Book, Board, Server, Now, MayRun);
}

/// Starts copies of stragglers. The state machine refuses a second copy, and
/// one on the server of the first run.
void Dispatcher::planCopies(const JobRegistry &Book, Plan &Own) {
  for (const TaskKey &Task : Stragglers_.list()) {
    const TaskRecord *Record = Book.findTask(Task);
    const bool IsOpen = Record && Record->State_ == TaskState::Placed &&
                        Taken_.count(Task) == 0 && !isToAvoid(Task, Own);
    if (!IsOpen || Own.Starts_.size() >= Own.MostStarts_)
      continue;
    const StepSpec &Step = *Book.findStep(Task);
    const TaskStart Start{Task, Record->LastRun_ + 1, Own.Server_.Facts_.Id_};
    const bool IsRoomy = Step.getReserved().fitsIn(Own.Left_.Free_) &&
                         Step.Need_.MilliCpus_ <= Own.Left_.Idle_;
    if (!IsRoomy || !Book.findRejectionReason(Start).empty() ||
        !isAdvised(*Book.findJob(Task.Job_), Task, Start.Server_, Own.Now_))
      continue;
    Own.Starts_.push_back(Start);
    Taken_.insert(Task);
    Own.Left_.take(Step);
  }
}

/// Whether no waiting task can fit any more.
bool Dispatcher::isFull(const Plan &Own) const {
  const ServerRoom &Left = Own.Left_;
  if (Own.Starts_.size() >= Own.MostStarts_)
    return true;
  const LeastNeeds &Least = Order_.leastNeeds();
  return Left.Free_.MemoryMib_ < Least.Memory_ ||
         (Left.Free_.MilliCpus_ < Least.PlainCpus_ &&
          Left.Idle_ < Least.FillingCpus_);
}

bool Dispatcher::isAdvised(const JobRecord &Job, const TaskKey &Task,
                           const std::string &ServerId, TimePoint Now) const {
  return !Job.Policy_.Advice_.IsRequired_ ||
         Advice_.findTicket({Task.Job_, Task.Occurrence_, Task.Step_}, ServerId,
                            Now);
}

/// Whether a task of the same image that needs no more was refused.
bool Dispatcher::isRefused(const Candidate &Step, const Plan &Own) const {
  if (Step.FillingImage_ == Candidate::NotFilling)
    return false;
  if (Step.IsIdleJob_ && Survey_.isRoomy())
    return false;
  const bool IsChoosy = Own.Now_ - Step.WaitsSince_ < DisturbingPatience;
  const std::int64_t Least =
      IsChoosy ? Own.RefusedWhereItDisturbs_[Step.FillingImage_]
               : Own.Refused_[Step.FillingImage_];
  return Step.IdleNeeded_ >= Least;
}

void Dispatcher::refuse(const Candidate &Step, Plan &Own) {
  if (Step.FillingImage_ == Candidate::NotFilling)
    return;
  std::int64_t &Choosy = Own.RefusedWhereItDisturbs_[Step.FillingImage_];
  Choosy = std::min(Choosy, Step.IdleNeeded_);
  if (Own.Now_ - Step.WaitsSince_ < DisturbingPatience)
    return;
  std::int64_t &Any = Own.Refused_[Step.FillingImage_];
  Any = std::min(Any, Step.IdleNeeded_);
}

/// Adds the starts of a step's tasks, as far as they fit.
void Dispatcher::planStep(const JobRegistry &Book, const Candidate &From,
                          Plan &Own) {
  const ReadyStep &Ready = From.Step_;
  const JobRecord &Job = *Book.findJob(Ready.Job_);
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  TaskKey Key{Ready.Job_, Ready.Occurrence_, Ready.Step_, 0};
  const std::string &ServerId = Own.Server_.Facts_.Id_;
  if (Step.Gang_ || Job.Policy_.Service_ != Own.Server_.Facts_.Service_ ||
      !isAdvised(Job, Key, ServerId, Own.Now_))
    return;
  const Duration Waited = Own.Now_ - From.WaitsSince_;
  std::uint64_t Beside = Own.Server_.countTasksOfStep(Key);
  bool IsIdleJob = Job.Placements_ == 0;
  const StepRecord &Record =
      Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_];
  const std::vector<TaskRecord> &Tasks = Record.Tasks_;
  for (std::uint64_t Index = 0; Index < Tasks.size(); ++Index) {
    const TaskRecord &Task = Tasks[Index];
    Key.Index_ = Index;
    if (Task.State_ != TaskState::Waiting || Isolation_.isIsolating(Key, Task))
      continue;
    const bool IsCrowded = Step.SpreadLimit_ > 0 && Beside >= Step.SpreadLimit_;
    if (IsCrowded || Own.Starts_.size() >= Own.MostStarts_ ||
        !hasRoom(Step, Own, Waited))
      return;
    if (!isFit(Step, Own, Waited, IsIdleJob, Record.Waiting_))
      return refuse(From, Own);
    const TaskStart Start{Key, Task.LastRun_ + 1, ServerId};
    // Lasting tasks also fail by themselves, and another server may suit
    // another image better.
    const bool IsAvoided = !Step.LongRunning_ && isToAvoid(Start.Task_, Own);
    if (Taken_.count(Start.Task_) != 0 || IsAvoided)
      continue;
    if (!Book.findRejectionReason(Start).empty())
      return;
    Own.Starts_.push_back(Start);
    Taken_.insert(Start.Task_);
    IsIdleJob = false;
    Own.Left_.take(Step);
    if (Step.Fills_)
      getTails(Own).take(Step.Image_, Step.Need_.MilliCpus_);
    ++Beside;
  }
}

std::vector<TaskStart> Dispatcher::planGang(const JobRegistry &Book,
                                            const LiveServerTable &Board,
                                            TimePoint Now) {
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    const StepRecord &Record =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_];
    const bool IsWhole = Step.Gang_ && Record.Waiting_ == Record.Tasks_.size();
    const TaskKey First{Ready.Job_, Ready.Occurrence_, Ready.Step_, 0};
    if (!IsWhole || Taken_.count(First) != 0)
      continue;
    const bool MaySpread = Waits_.getWait(Ready, Now) >= GangPatience;
    std::vector<TaskStart> Starts =
        planGangStarts(Book, Ready, MaySpread, [&](const ServerRecord &Server) {
          const std::string &Id = Server.Facts_.Id_;
          const LiveServer *Live = Board.find(Id);
          return Board.acceptsStarts(Book, Server) &&
                 Live->NoStartsUntil_ <= Now &&
                 Board.sumUnplacedUsage(Book, Server) == Resources{} &&
                 !Isolation_.isClosed(Book, Board, Server, Now) &&
                 Health_.getHealthState(Id, Now) == HealthState::Healthy &&
                 isAdvised(Job, First, Id, Now);
        });
    if (Starts.empty())
      continue;
    for (const TaskStart &Each : Starts)
      Taken_.insert(Each.Task_);
    return Starts;
  }
  return {};
}

std::string Dispatcher::explainWait(const JobRegistry &Book,
                                    const LiveServerTable &Board,
                                    const ReadyStep &Step,
                                    TimePoint Now) const {
  const JobRecord &Job = *Book.findJob(Step.Job_);
  const StepSpec &Spec = Job.Spec_.Steps_[Step.Step_];
  const std::vector<TaskRecord> &Tasks =
      Job.findOccurrence(Step.Occurrence_)->Steps_[Step.Step_].Tasks_;
  std::size_t Suspected = 0;
  TaskKey Key{Step.Job_, Step.Occurrence_, Step.Step_, 0};
  for (; Key.Index_ < Tasks.size(); ++Key.Index_) {
    const TaskRecord &Task = Tasks[Key.Index_];
    Suspected +=
        Task.State_ == TaskState::Waiting && Isolation_.isIsolating(Key, Task);
  }
  std::size_t Unlabelled = 0;
  std::size_t Unadvised = 0;
  std::size_t Evacuated = 0;
  std::size_t Resting = 0;
  std::size_t Full = 0;
  std::size_t Disturbed = 0;
  std::size_t Busy = 0;
  std::size_t Open = 0;
  for (const auto &[Id, Server] : Book.servers()) {
    if (Server.Facts_.Service_ != Job.Policy_.Service_)
      continue;
    if (!Server.Facts_.hasLabel(Spec.Label_)) {
      ++Unlabelled;
      continue;
    }
    const LiveServer *Live = Board.find(Id);
    const ServerRoom Left = ServerRoom::measure(Server, Loads_);
    const bool IsResting =
        !Live || !Live->isInService() || Live->NoStartsUntil_ > Now ||
        Health_.getHealthState(Id, Now) != HealthState::Healthy;
    if (Book.isEvacuated(Server.Facts_))
      ++Evacuated;
    else if (IsResting)
      ++Resting;
    else if (!isAdvised(Job, {Step.Job_, Step.Occurrence_, Step.Step_, 0}, Id,
                        Now))
      ++Unadvised;
    else if (!Spec.getReserved().fitsIn(Left.Free_))
      ++Full;
    else if (Spec.Fills_ &&
             Effects_.isDisturbingAny(Left.Serving_, Spec.Image_))
      ++Disturbed;
    else if (Spec.Fills_ && Spec.Need_.MilliCpus_ > Left.Idle_)
      ++Busy;
    else
      ++Open;
  }
  std::string Text;
  const auto Add = [&Text](std::size_t Count, const char *What) {
    if (Count > 0)
      Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + What;
  };
  Add(Unlabelled, (" without the label " + Spec.Label_).c_str());
  Add(Unadvised, " without a ticket of the advice service");
  Add(Evacuated, " in a data centre that is being evacuated");
  Add(Full, " full");
  Add(Disturbed, " where it would disturb");
  Add(Busy, " without idle processors");
  Add(Resting, " leaving, silent or in quarantine");
  Add(Open, " not asked yet, or kept for others");
  if (Text.empty())
    Text = "no server of its service";
  Add(Suspected, " tasks to be isolated, as servers crashed under them");
  return Text;
}
