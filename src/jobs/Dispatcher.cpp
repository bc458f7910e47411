#include "jobs/Dispatcher.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Two rounds of reports: by then every server of a rack has asked once.
static constexpr Duration RackPatience = 500ms;
/// How long a serving task waits for a server where only its own image serves,
/// and a filling one for a server where it disturbs nobody.
static constexpr Duration CompanyPatience = 500ms;
static constexpr Duration FillingPatience = 1000ms;
/// How long a task waits for processors that filling tasks don't use.
static constexpr Duration IdlePatience = 150ms;
/// Serving tasks reserve for their peaks; on average they use half.
static constexpr std::int64_t ServingUsePercent = 55;
static constexpr std::int64_t Percent = 100;
/// A filling image that uses a tenth of a server's processors lengthens a tail
/// by a sixth or more; measured effects are near 0 or from 3 to 6.
static constexpr double DisturbingEffect = 1.5;
/// Where filling tasks must go slower than that, no more are added.
static constexpr std::uint64_t LeastPace = 40;
/// Bounds the work of one plan; the most urgent come first.
static constexpr std::size_t MostStepsLookedAt = 256;
/// What a server may start at once: a report's answer stays small.
static constexpr std::size_t MostStartsAtOnce = 64;

static bool isServing(const StepSpec &Step) { return Step.TailTargetMs_ > 0; }

void Dispatcher::reset() {
  ReadySince_.clear();
  Taken_.clear();
}

void Dispatcher::settle(const std::vector<TaskStart> &Starts) {
  for (const TaskStart &Each : Starts)
    Taken_.erase(Each.Task_);
}

void Dispatcher::prune(const JobBook &Book) {
  std::erase_if(ReadySince_, [&Book](const auto &Each) {
    return Book.readySteps().count(Each.first) == 0;
  });
}

Duration Dispatcher::getWait(const ReadyStep &Step, TimePoint Now) {
  return Now - ReadySince_.try_emplace(Step, Now).first->second;
}

/// What a task is expected to use of what it reserves.
static std::int64_t getUse(const StepSpec &Step) {
  return isServing(Step) ? Step.Need_.MilliCpus_ * ServingUsePercent / Percent
                         : Step.Need_.MilliCpus_;
}

Dispatcher::Room Dispatcher::measureRoom(const JobBook &Book,
                                         const ServerRecord &Server) const {
  Room Left;
  Left.Free_ = Server.Facts_.Capacity_ - Server.Used_;
  Left.Idle_ = Server.Facts_.Capacity_.MilliCpus_;
  for (const auto &[Task, Run] : Server.Placed_) {
    const StepSpec &Step = Book.findJob(Task.Job_)->Spec_.Steps_[Task.Step_];
    if (isServing(Step))
      Left.Serving_.insert(Step.Image_);
    Left.Idle_ -= getUse(Step);
    if (Step.Fills_)
      ++Left.Filling_;
  }
  return Left;
}

std::uint64_t Dispatcher::countBeside(const ServerRecord &Server,
                                      const ReadyStep &Step) const {
  std::uint64_t Beside = 0;
  for (const auto &[Task, Run] : Server.Placed_)
    if (Task.Job_ == Step.Job_ && Task.Occurrence_ == Step.Occurrence_ &&
        Task.Step_ == Step.Step_)
      ++Beside;
  return Beside;
}

bool Dispatcher::isFit(const StepSpec &Step, const ServerRecord &Server,
                       const Room &Left, Duration Waited) const {
  if (!Step.getReserved().fitsIn(Left.Free_))
    return false;
  if (!Step.DataRack_.empty() && Step.DataRack_ != Server.Facts_.Rack_ &&
      Waited < RackPatience)
    return false;
  if (isServing(Step))
    return isFitToServe(Step, Left, Waited);
  if (Step.Fills_)
    return isFitToFill(Step, Left, Waited);
  return Step.Need_.MilliCpus_ <= Left.Idle_ || Waited >= IdlePatience;
}

/// Tasks of one image together: what disturbs it is then kept from few servers.
bool Dispatcher::isFitToServe(const StepSpec &Step, const Room &Left,
                              Duration Waited) const {
  const bool IsAmongEquals =
      Left.Serving_.empty() ||
      (Left.Serving_.size() == 1 && Left.Serving_.count(Step.Image_) == 1);
  return IsAmongEquals || Waited >= CompanyPatience;
}

bool Dispatcher::isFitToFill(const StepSpec &Step, const Room &Left,
                             Duration Waited) const {
  if (Step.Need_.MilliCpus_ > Left.Idle_)
    return false;
  if (Left.Serving_.empty())
    return true;
  const bool Disturbs = isDisturbing(Left, Step.Image_);
  const std::uint64_t Pace =
      Disturbs ? Left.Pace_.Disturbing_ : Left.Pace_.Others_;
  return Pace >= LeastPace &&
         Waited >= (Disturbs ? FillingPatience : Duration(0));
}

bool Dispatcher::isDisturbing(const Room &Left,
                              const std::string &Image) const {
  return std::any_of(Left.Serving_.begin(), Left.Serving_.end(),
                     [&](const std::string &Serving) {
                       return Effects_.getEffect(Serving, Image) >=
                              DisturbingEffect;
                     });
}

bool Dispatcher::isDisturbing(const JobBook &Book, const std::string &ServerId,
                              const std::string &Image) const {
  const ServerRecord *Server = Book.findServer(ServerId);
  return Server && isDisturbing(measureRoom(Book, *Server), Image);
}

void Dispatcher::take(const StepSpec &Step, Room &Left) {
  Left.Free_ = Left.Free_ - Step.getReserved();
  if (isServing(Step))
    Left.Serving_.insert(Step.Image_);
  Left.Idle_ -= getUse(Step);
  if (Step.Fills_)
    ++Left.Filling_;
}

std::vector<TaskStart> Dispatcher::plan(const JobBook &Book,
                                        const ServerBoard &Board,
                                        const std::string &ServerId,
                                        TimePoint Now) {
  std::vector<TaskStart> Starts;
  const ServerRecord *Server = Book.findServer(ServerId);
  const ServerLive *Live = Board.find(ServerId);
  const bool MayStart = Server && Live && !Live->IsDraining_ &&
                        !Live->IsRemoving_ && Live->NoStartsUntil_ <= Now;
  if (!MayStart)
    return Starts;
  Room Left = measureRoom(Book, *Server);
  Left.Pace_ = Paces_.getPace(ServerId);
  std::size_t LookedAt = 0;
  for (const ReadyStep &Ready : Book.readySteps()) {
    const bool IsEnough = ++LookedAt > MostStepsLookedAt ||
                          Starts.size() >= MostStartsAtOnce;
    if (IsEnough)
      break;
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (Step.Gang_ || Job.Policy_.Service_ != Server->Facts_.Service_)
      continue;
    const Duration Waited = getWait(Ready, Now);
    std::uint64_t Beside = countBeside(*Server, Ready);
    const std::vector<TaskRecord> &Tasks =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Tasks_;
    for (std::uint64_t Index = 0; Index < Tasks.size(); ++Index) {
      if (Tasks[Index].State_ != TaskState::Waiting)
        continue;
      const bool IsCrowded =
          Step.SpreadLimit_ > 0 && Beside >= Step.SpreadLimit_;
      if (IsCrowded || !isFit(Step, *Server, Left, Waited))
        break;
      const TaskStart Start{
          {Ready.Job_, Ready.Occurrence_, Ready.Step_, Index},
          Tasks[Index].LastRun_ + 1,
          ServerId};
      if (Taken_.count(Start.Task_) != 0)
        continue;
      if (!Book.findObjection(Start).empty())
        break;
      Starts.push_back(Start);
      Taken_.insert(Start.Task_);
      take(Step, Left);
      ++Beside;
    }
  }
  return Starts;
}

std::vector<TaskStart> Dispatcher::planGang(const JobBook &Book,
                                            const ServerBoard &Board,
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
    std::uint64_t Run = 0;
    for (const TaskRecord &Task : Record.Tasks_)
      Run = std::max(Run, Task.LastRun_);
    // Servers of one rack come one after another, the data's rack first.
    std::vector<std::pair<std::string, const ServerRecord *>> Servers;
    for (const auto &[Id, Server] : Book.servers()) {
      const ServerLive *Live = Board.find(Id);
      const bool IsUsable = Live && !Live->IsDraining_ && !Live->IsRemoving_ &&
                            Live->NoStartsUntil_ <= Now &&
                            Server.Facts_.Service_ == Job.Policy_.Service_;
      if (IsUsable)
        Servers.emplace_back(
            (Server.Facts_.Rack_ == Step.DataRack_ ? "0" : "1") +
                Server.Facts_.Rack_,
            &Server);
    }
    std::sort(Servers.begin(), Servers.end(),
              [](const auto &Left, const auto &Right) {
                return Left.first < Right.first;
              });
    std::vector<TaskStart> Starts;
    for (const auto &[Key, Server] : Servers) {
      Resources Free = Server->Facts_.Capacity_ - Server->Used_;
      std::uint64_t Beside = 0;
      while (Starts.size() < Record.Tasks_.size()) {
        const TaskStart Start{
            {Ready.Job_, Ready.Occurrence_, Ready.Step_, Starts.size()},
            Run + 1,
            Server->Facts_.Id_};
        const bool IsCrowded =
            Step.SpreadLimit_ > 0 && Beside >= Step.SpreadLimit_;
        if (IsCrowded || !Step.getReserved().fitsIn(Free) ||
            !Book.findObjection(Start).empty())
          break;
        Free = Free - Step.getReserved();
        ++Beside;
        Starts.push_back(Start);
      }
    }
    if (Starts.size() < Record.Tasks_.size())
      continue;
    for (const TaskStart &Each : Starts)
      Taken_.insert(Each.Task_);
    return Starts;
  }
  return {};
}
