#include "jobs/RoomSurvey.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::int64_t Percent = 100;
/// One server of so many is held at a time: where more work lasts than there is
/// room for, short work goes on.
static constexpr std::size_t ServersForAHold = 24;
/// Roomy: less than that part of the processors is reserved.
static constexpr std::int64_t RoomyPercent = 70;
static constexpr std::int64_t Unlimited =
    std::numeric_limits<std::int64_t>::max();

void RoomSurvey::take(const JobBook &Book, const ServerBoard &Board,
                      ReadyTimes &Waits, TimePoint Now) {
  holdRoom(Book, Board, Waits, Now);
  std::map<std::string, std::int64_t> Wanted;
  surveyWaiting(Book, Wanted);
  surveyMoving(surveyServers(Book, Board, Now), Wanted);
}

/// Wanted: by filling image, the processors that waiting tasks ask for.
void RoomSurvey::surveyWaiting(const JobBook &Book,
                               std::map<std::string, std::int64_t> &Wanted) {
  Steps_ = Book.readySteps().size();
  Least_ = {Unlimited, Unlimited, Unlimited};
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    Least_.Memory_ = std::min(Least_.Memory_, Step.Need_.MemoryMib_);
    std::int64_t &Cpus = Step.Fills_ ? Least_.FillingCpus_ : Least_.PlainCpus_;
    Cpus = std::min(Cpus, Step.Need_.MilliCpus_);
    if (Step.Fills_)
      Wanted[Step.Image_] +=
          Step.Need_.MilliCpus_ * static_cast<std::int64_t>(Waiting);
  }
}

std::vector<const ServerRecord *>
RoomSurvey::surveyServers(const JobBook &Book, const ServerBoard &Board,
                          TimePoint Now) {
  FreeAmongEquals_.clear();
  FreeAlone_.clear();
  std::int64_t Capacity = 0;
  std::int64_t Reserved = 0;
  std::vector<const ServerRecord *> Usable;
  for (const auto &[Id, Server] : Book.servers()) {
    Capacity += Server.Facts_.Capacity_.MilliCpus_;
    Reserved += Server.Used_.MilliCpus_;
    const ServerLive *Live = Board.find(Id);
    if (!Live || !Live->takesStarts())
      continue;
    Usable.push_back(&Server);
    const bool IsOfInterest =
        Server.Serving_.size() <= 1 && Live->NoStartsUntil_ <= Now;
    if (!IsOfInterest || Health_.getFitness(Id, Now) != Fitness::Sound)
      continue;
    const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
    if (Server.Serving_.empty())
      FreeAlone_.push_back(Free);
    else
      FreeAmongEquals_[Server.Serving_.begin()->first].push_back(Free);
  }
  IsRoomy_ = Reserved * Percent < Capacity * RoomyPercent;
  return Usable;
}

void RoomSurvey::surveyMoving(const std::vector<const ServerRecord *> &Usable,
                              std::map<std::string, std::int64_t> &Wanted) {
  SafeRoom_.clear();
  for (const std::string &Image : MovingImages_) {
    std::int64_t &Idle = SafeRoom_[Image];
    for (const ServerRecord *Server : Usable)
      if (!Effects_.isDisturbingAny(Server->Serving_, Image))
        Idle += std::max<std::int64_t>(ServerRoom::measureIdle(*Server), 0);
    // What waits already goes first.
    Idle -= Wanted[Image];
  }
  MovingImages_.clear();
}

/// The server that is nearest to having room for such a task that lasts.
const ServerRecord *RoomSurvey::findNearest(const JobBook &Book,
                                            const ServerBoard &Board,
                                            const std::string &Service,
                                            const Resources &Need,
                                            TimePoint Now) const {
  const ServerRecord *Best = nullptr;
  std::int64_t MostFree = 0;
  for (const auto &[Id, Server] : Book.servers()) {
    const ServerLive *Live = Board.find(Id);
    const bool IsUsable =
        Live && Live->takesStarts() && Server.Facts_.Service_ == Service &&
        Held_.count(Id) == 0 && Health_.getFitness(Id, Now) == Fitness::Sound;
    const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
    const bool IsNearer = Free.MemoryMib_ >= Need.MemoryMib_ &&
                          (!Best || Free.MilliCpus_ > MostFree);
    if (!IsUsable || !IsNearer)
      continue;
    Best = &Server;
    MostFree = Free.MilliCpus_;
  }
  return Best;
}

/// For each task that lasts and has waited too long, the server that is nearest
/// to having room for it starts nothing that would take it.
void RoomSurvey::holdRoom(const JobBook &Book, const ServerBoard &Board,
                          ReadyTimes &Waits, TimePoint Now) {
  Held_.clear();
  AnyLastingWaits_ = false;
  const std::size_t MostHeld = 1 + Book.servers().size() / ServersForAHold;
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (!Step.LongRunning_)
      continue;
    AnyLastingWaits_ = true;
    if (Waits.getWait(Ready, Now) < LastingPatience)
      continue;
    const Resources Need = Step.getReserved();
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    for (std::uint64_t I = 0; I < Waiting && Held_.size() < MostHeld; ++I) {
      const ServerRecord *Best =
          findNearest(Book, Board, Job.Policy_.Service_, Need, Now);
      if (!Best)
        break;
      Held_[Best->Facts_.Id_] = Need;
    }
  }
}

bool RoomSurvey::takeSafeRoom(const StepSpec &Step) {
  MovingImages_.insert(Step.Image_);
  const auto Found = SafeRoom_.find(Step.Image_);
  if (Found == SafeRoom_.end() || Step.Need_.MilliCpus_ > Found->second)
    return false;
  Found->second -= Step.Need_.MilliCpus_;
  return true;
}

/// How many tasks that need so much fit into these.
static std::uint64_t countFits(const std::vector<Resources> &Places,
                               const Resources &Need) {
  std::uint64_t Count = 0;
  for (Resources Free : Places)
    for (; Need.fitsIn(Free); Free = Free - Need)
      ++Count;
  return Count;
}

bool RoomSurvey::hasRoomAmongEquals(const std::string &Image,
                                    const Resources &Need,
                                    std::uint64_t Tasks) const {
  const auto Equals = FreeAmongEquals_.find(Image);
  return Equals != FreeAmongEquals_.end() &&
         countFits(Equals->second, Need) >= Tasks;
}

bool RoomSurvey::hasRoomAlone(const Resources &Need) const {
  return std::any_of(
      FreeAlone_.begin(), FreeAlone_.end(),
      [&Need](const Resources &Free) { return Need.fitsIn(Free); });
}

const Resources *RoomSurvey::findHeld(const std::string &ServerId) const {
  const auto Held = Held_.find(ServerId);
  return Held == Held_.end() ? nullptr : &Held->second;
}
