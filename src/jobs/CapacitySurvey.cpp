#include "jobs/CapacitySurvey.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::int64_t Percent = 100;
/// One server of so many is held at a time: where more work lasts than there is
/// room for, short work goes on.
static constexpr std::size_t ServersForAHold = 24;
/// How often room for what moves is looked for on all servers: half a round of
/// reports, by which nothing new is known of most.
static constexpr Duration MovingInterval = std::chrono::milliseconds(250);
/// Roomy: less than that part of the processors is reserved.
static constexpr std::int64_t RoomyPercent = 70;

void RoomSurvey::take(const JobBook &Book, const ServerBoard &Board,
                      ReadyTimes &Waits, TimePoint Now) {
  const std::vector<Usable> Servers = surveyServers(Book, Board, Now);
  holdRoom(Book, Servers, Waits, Now);
  if (Now >= NextMoving_) {
    NextMoving_ = Now + MovingInterval;
    surveyMoving(Book, Servers);
  }
}

std::vector<RoomSurvey::Usable>
RoomSurvey::surveyServers(const JobBook &Book, const ServerBoard &Board,
                          TimePoint Now) {
  FreeAmongEquals_.clear();
  FreeAlone_.clear();
  std::int64_t Capacity = 0;
  std::int64_t Reserved = 0;
  std::vector<Usable> Servers;
  for (const auto &[Id, Server] : Book.servers()) {
    if (!Board.takesStarts(Book, Server))
      continue;
    Capacity += Server.Facts_.Capacity_.MilliCpus_;
    Reserved += Server.Used_.MilliCpus_;
    const ServerLive *Live = Board.find(Id);
    const bool IsSound = Health_.getFitness(Id, Now) == Fitness::Sound;
    Servers.push_back({&Server, IsSound});
    if (!IsSound || Live->NoStartsUntil_ > Now || Server.Serving_.size() > 1)
      continue;
    const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
    if (Server.Serving_.empty())
      FreeAlone_.push_back(Free);
    else
      FreeAmongEquals_[Server.Serving_.begin()->first].push_back(Free);
  }
  IsRoomy_ = Reserved * Percent < Capacity * RoomyPercent;
  return Servers;
}

void RoomSurvey::surveyMoving(const JobBook &Book,
                              const std::vector<Usable> &Servers) {
  SafeRoom_.clear();
  if (MovingImages_.empty())
    return;
  for (const Usable &Each : Servers) {
    const ServerRecord &Server = *Each.Server_;
    const std::int64_t Idle = ServerRoom::measureIdle(Server, Loads_);
    const TailRoom Tails(Effects_, Loads_, Server);
    for (const auto &[Image, Need] : MovingImages_)
      if (Need <= Idle && Tails.fits(Image, Need))
        SafeRoom_[Image] += Need;
  }
  // What waits already goes first.
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (!Step.Fills_ || MovingImages_.count(Step.Image_) == 0)
      continue;
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    SafeRoom_[Step.Image_] -=
        Step.Need_.MilliCpus_ * static_cast<std::int64_t>(Waiting);
  }
  MovingImages_.clear();
}

/// For each task that lasts and has waited too long, the server that is nearest
/// to having room for it starts nothing that would take it.
void RoomSurvey::holdRoom(const JobBook &Book, std::vector<Usable> Servers,
                          ReadyTimes &Waits, TimePoint Now) {
  Held_.clear();
  AnyLastingWaits_ = false;
  std::size_t ToHold = 1 + Book.servers().size() / ServersForAHold;
  const auto GetFree = [](const Usable &Each) {
    return Each.Server_->Facts_.Capacity_ - Each.Server_->Used_;
  };
  bool IsSorted = false;
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (!Step.LongRunning_)
      continue;
    AnyLastingWaits_ = true;
    if (ToHold == 0 || Waits.getWait(Ready, Now) < ReadyTimes::LastingPatience)
      continue;
    // Sorted once for all that wait: there may be hundreds, and as many
    // servers.
    if (!std::exchange(IsSorted, true))
      std::stable_sort(Servers.begin(), Servers.end(),
                       [&](const Usable &A, const Usable &B) {
                         return GetFree(A).MilliCpus_ > GetFree(B).MilliCpus_;
                       });
    const Resources Need = Step.getReserved();
    std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    for (const Usable &Each : Servers) {
      if (Waiting == 0 || ToHold == 0)
        break;
      const bool IsNear =
          Each.IsSound_ &&
          Each.Server_->Facts_.Service_ == Job.Policy_.Service_ &&
          GetFree(Each).MemoryMib_ >= Need.MemoryMib_;
      if (!IsNear || !Held_.try_emplace(Each.Server_->Facts_.Id_, Need).second)
        continue;
      --Waiting;
      --ToHold;
    }
  }
}

bool RoomSurvey::takeSafeRoom(const StepSpec &Step) {
  std::int64_t &Need = MovingImages_[Step.Image_];
  Need = std::max(Need, Step.Need_.MilliCpus_);
  const auto Found = SafeRoom_.find(Step.Image_);
  if (Found == SafeRoom_.end() || Step.Need_.MilliCpus_ > Found->second)
    return false;
  Found->second -= Step.Need_.MilliCpus_;
  return true;
}

/// Whether so many tasks that need so much fit into these.
static bool doFit(const std::vector<Resources> &Places, const Resources &Need,
                  std::uint64_t Tasks) {
  std::uint64_t Count = 0;
  for (Resources Free : Places)
    for (; Count < Tasks && Need.fitsIn(Free); Free = Free - Need)
      ++Count;
  return Count >= Tasks;
}

bool RoomSurvey::hasRoomAmongEquals(const std::string &Image,
                                    const Resources &Need,
                                    std::uint64_t Tasks) const {
  const auto Equals = FreeAmongEquals_.find(Image);
  return Equals != FreeAmongEquals_.end() && doFit(Equals->second, Need, Tasks);
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
