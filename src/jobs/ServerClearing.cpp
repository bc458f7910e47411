#include "jobs/ServerClearing.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The look at all pairs of images and servers costs a millisecond at 350.
static constexpr Duration PlanInterval = 500ms;
/// One server is chosen after the other: what the last one brought shows by
/// then.
static constexpr Duration ChoiceInterval = 1s;
/// Servers stay cleared for so long after the last work without room.
static constexpr Duration KeepTime = 15s;
/// At most one of so many servers is cleared.
static constexpr std::size_t ServersForOne = 6;
/// A server where more of the processors is reserved by what serves costs more
/// moves than it brings room.
static constexpr std::int64_t MostServingPercent = 60;
/// Less waiting work than that part of a server is not worth clearing one.
static constexpr std::int64_t LeastStarvedPercent = 50;
static constexpr std::int64_t Percent = 100;

void ServerClearing::reset() {
  Kept_.clear();
  Targets_.clear();
  NextPlan_ = NextChoice_ = StarvedUntil_ = TimePoint();
}

bool ServerClearing::isUsable(const ServerBoard &Board, const std::string &Id,
                              TimePoint Now) const {
  const ServerLive *Live = Board.find(Id);
  return Live && Live->takesStarts() && Live->NoStartsUntil_ <= Now &&
         Health_.getFitness(Id, Now) == Fitness::Sound;
}

/// Processors that waiting filling tasks ask for beyond those that are idle
/// where they disturb nobody, thousandths.
std::int64_t ServerClearing::measureStarved(const JobBook &Book,
                                            const ServerBoard &Board,
                                            TimePoint Now) const {
  std::map<std::string, std::int64_t> Wanted;
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (Step.Fills_)
      Wanted[Step.Image_] +=
          Step.Need_.MilliCpus_ *
          static_cast<std::int64_t>(Job.findOccurrence(Ready.Occurrence_)
                                        ->Steps_[Ready.Step_]
                                        .Waiting_);
  }
  if (Wanted.empty())
    return 0;
  std::vector<ServerRoom> Rooms;
  for (const auto &[Id, Server] : Book.servers())
    if (isUsable(Board, Id, Now))
      Rooms.push_back(ServerRoom::measure(Server));
  std::int64_t Starved = 0;
  for (const auto &[Image, Cpus] : Wanted) {
    std::int64_t Idle = 0;
    for (const ServerRoom &Left : Rooms)
      if (Idle < Cpus && !Effects_.isDisturbingAny(Left.Serving_, Image))
        Idle += std::max<std::int64_t>(Left.Idle_, 0);
    Starved += std::max<std::int64_t>(Cpus - Idle, 0);
  }
  return Starved;
}

void ServerClearing::listTargets(const JobBook &Book, const ServerBoard &Board,
                                 TimePoint Now) {
  Targets_.clear();
  for (const auto &[Id, Server] : Book.servers()) {
    if (isKept(Id) || !isUsable(Board, Id, Now))
      continue;
    ServerRoom Left = ServerRoom::measure(Server);
    if (!Left.Serving_.empty())
      Targets_.emplace(Id, std::move(Left));
  }
}

/// Where its image serves alone, else where fewest further filling images would
/// disturb.
std::string ServerClearing::findTarget(
    const JobBook &Book, const TaskKey &Task,
    const std::map<std::string, ServerRoom> &Rooms) const {
  const StepSpec &Step = *Book.findStep(Task);
  std::string Best;
  double LeastHarm = 0;
  for (const auto &[Id, Left] : Rooms) {
    if (!Step.getReserved().fitsIn(Left.Free_))
      continue;
    const ServerRecord *Server = Book.findServer(Id);
    const bool IsFit =
        Server && Server->Facts_.hasLabel(Step.Label_) &&
        Server->Facts_.Service_ == Book.findJob(Task.Job_)->Policy_.Service_ &&
        (Step.SpreadLimit_ == 0 ||
         Server->countTasksOf(Task) < Step.SpreadLimit_);
    if (!IsFit)
      continue;
    const bool IsAmongEquals =
        Left.Serving_.size() == 1 && Left.Serving_.count(Step.Image_) == 1;
    const double Harm =
        IsAmongEquals ? -1 : Effects_.getAddedHarm(Left.Serving_, Step.Image_);
    if (!Best.empty() && Harm >= LeastHarm)
      continue;
    Best = Id;
    LeastHarm = Harm;
  }
  return Best;
}

/// Whether all that serves there would find room elsewhere.
bool ServerClearing::canBeCleared(const JobBook &Book,
                                  const ServerRecord &Server) const {
  std::map<std::string, ServerRoom> Rooms = Targets_;
  Rooms.erase(Server.Facts_.Id_);
  for (const auto &[Task, Run] : Server.Placed_) {
    const StepSpec &Step = *Book.findStep(Task);
    if (!Step.isServing())
      continue;
    const std::string Target = findTarget(Book, Task, Rooms);
    if (Target.empty())
      return false;
    Rooms.at(Target).take(Step);
  }
  return true;
}

void ServerClearing::keepOneMore(const JobBook &Book, const ServerBoard &Board,
                                 TimePoint Now) {
  if (Kept_.size() >= Book.servers().size() / ServersForOne ||
      Now < NextChoice_)
    return;
  // The least to move for the most processors.
  std::vector<std::pair<double, const ServerRecord *>> Order;
  for (const auto &[Id, Server] : Book.servers()) {
    const std::int64_t Capacity = Server.Facts_.Capacity_.MilliCpus_;
    if (isKept(Id) || !isUsable(Board, Id, Now) ||
        Server.ServingCpus_ * Percent > Capacity * MostServingPercent)
      continue;
    Order.emplace_back(double(Server.ServingCpus_) /
                           double(std::max<std::int64_t>(Capacity, 1)),
                       &Server);
  }
  std::sort(Order.begin(), Order.end(), [](const auto &Left, const auto &Right) {
    return std::pair(Left.first, Left.second->Facts_.Id_) <
           std::pair(Right.first, Right.second->Facts_.Id_);
  });
  for (const auto &[Part, Server] : Order) {
    if (!canBeCleared(Book, *Server))
      continue;
    Kept_[Server->Facts_.Id_] = Now;
    Targets_.erase(Server->Facts_.Id_);
    NextChoice_ = Now + ChoiceInterval;
    return;
  }
}

void ServerClearing::plan(const JobBook &Book, const ServerBoard &Board,
                          TimePoint Now) {
  if (Now < NextPlan_ || !Effects_.hasLearned())
    return;
  NextPlan_ = Now + PlanInterval;
  std::erase_if(Kept_, [&Book](const auto &Each) {
    return !Book.findServer(Each.first);
  });
  std::int64_t Capacity = 0;
  for (const auto &[Id, Server] : Book.servers())
    Capacity = std::max(Capacity, Server.Facts_.Capacity_.MilliCpus_);
  listTargets(Book, Board, Now);
  if (measureStarved(Book, Board, Now) * Percent >
      Capacity * LeastStarvedPercent) {
    StarvedUntil_ = Now;
    keepOneMore(Book, Board, Now);
  }
  if (Now - StarvedUntil_ >= KeepTime)
    Kept_.clear();
}

bool ServerClearing::takeRoom(const JobBook &Book, const TaskKey &Task) {
  const std::string Target = findTarget(Book, Task, Targets_);
  if (Target.empty())
    return false;
  Targets_.at(Target).take(*Book.findStep(Task));
  return true;
}
