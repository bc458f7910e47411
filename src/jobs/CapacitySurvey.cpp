#include "jobs/CapacitySurvey.h"

#include "jobs/CapacityShares.h"
#include "jobs/LongRunningRank.h"

#include <algorithm>
#include <limits>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::int64_t Percent = 100;
/// Only one out of this many servers is reserved at a time, so that short work
/// continues where there is more long-running work than capacity.
static constexpr std::size_t ServersPerReservation = 24;
/// How often interference-free processors for relocations are computed over all
/// servers: half a report interval, as most servers have reported nothing new
/// sooner.
static constexpr Duration RelocationInterval = std::chrono::milliseconds(250);
/// The fleet has spare capacity if less than this percentage of the processors
/// is reserved.
static constexpr std::int64_t MaxSpareReservedPercent = 70;

void CapacitySurvey::update(const JobRegistry &Registry,
                            const LiveServerTable &LiveServers,
                            const CapacityShares &Shares, ReadyTimes &Waits,
                            TimePoint Now) {
  HasWaitingLongRunning_ = !Registry.readyLongRunningSteps().empty();
  if (!surveyNext(Registry, LiveServers, Now))
    return;
  HasSpareCapacity_ = Found_.ReservedMilliCpus_ * Percent <
                      Found_.MilliCpus_ * MaxSpareReservedPercent;
  reserveForLongRunning(Registry, LiveServers, Shares, Waits, Now);
  if (Now >= NextRelocationSurvey_) {
    NextRelocationSurvey_ = Now + RelocationInterval;
    surveyRelocation(Registry, LiveServers, Now);
  }
}

/// Surveys the next servers, in the order of ids. Returns whether a survey of
/// all servers is complete.
bool CapacitySurvey::surveyNext(const JobRegistry &Registry,
                                const LiveServerTable &LiveServers,
                                TimePoint Now) {
  const std::map<std::string, ServerRecord> &Servers = Registry.servers();
  auto It = LastSurveyed_.empty() ? Servers.begin()
                                  : Servers.upper_bound(LastSurveyed_);
  for (std::size_t Count = 0; It != Servers.end() && Count < MaxSurveyed;
       ++It, ++Count)
    if (LiveServers.canStart(Registry, It->second, Now))
      surveyServer(It->second, *LiveServers.find(It->first), Now);
  if (It != Servers.end()) {
    LastSurveyed_ = std::prev(It)->first;
    return false;
  }
  LastSurveyed_.clear();
  Found_ = std::exchange(Next_, {});
  return true;
}

void CapacitySurvey::surveyServer(const ServerRecord &Server,
                                  const LiveServer &Live, TimePoint Now) {
  Next_.MilliCpus_ += Server.Facts_.Capacity_.MilliCpus_;
  Next_.ReservedMilliCpus_ += Server.Used_.MilliCpus_;
  if (Live.NoStartsUntil_ > Now || Server.Serving_.size() > 1 ||
      Health_.getHealthState(Server.Facts_.Id_, Now) != HealthState::Healthy)
    return;
  const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
  if (Server.Serving_.empty())
    Next_.FreeWithoutServing_.push_back(Free);
  else
    Next_.FreeBySoleImage_[Server.Serving_.begin()->first].push_back(Free);
}

std::vector<CapacitySurvey::UsableServer>
CapacitySurvey::listUsable(const JobRegistry &Registry,
                           const LiveServerTable &LiveServers,
                           TimePoint Now) const {
  std::vector<UsableServer> Servers;
  for (const auto &[Id, Server] : Registry.servers())
    if (LiveServers.canStart(Registry, Server, Now))
      Servers.push_back(
          {&Server, Health_.getHealthState(Id, Now) == HealthState::Healthy});
  return Servers;
}

void CapacitySurvey::surveyRelocation(const JobRegistry &Registry,
                                      const LiveServerTable &LiveServers,
                                      TimePoint Now) {
  InterferenceFreeCpus_.clear();
  if (RelocatingImages_.empty())
    return;
  for (const UsableServer &Entry : listUsable(Registry, LiveServers, Now)) {
    const ServerRecord &Server = *Entry.Server_;
    const std::int64_t Idle =
        RemainingCapacity::computeIdleCpus(Server, Loads_);
    const TailHeadroom Tails(Interference_, Loads_, Server);
    for (const auto &[Image, Need] : RelocatingImages_)
      if (Need <= Idle && Tails.fits(Image, Need))
        InterferenceFreeCpus_[Image] += Need;
  }
  // Waiting tasks take precedence over relocations.
  for (const ReadyStep &Ready : Registry.readySteps()) {
    const JobRecord &Job = *Registry.findJob(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (!Step.Fills_ || RelocatingImages_.count(Step.Image_) == 0)
      continue;
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    InterferenceFreeCpus_[Step.Image_] -=
        Step.Need_.MilliCpus_ * static_cast<std::int64_t>(Waiting);
  }
  RelocatingImages_.clear();
}

/// Returns the capacity that is free once all other than long-running work on
/// the server has ended.
static Resources getReclaimable(const ServerRecord &Server) {
  return Server.Facts_.Capacity_ - Server.UsedByLongRunning_;
}

/// Returns whether the server can have capacity for a task of the step once
/// its short work has ended.
static bool canMakeRoom(const ServerRecord &Server, const JobRecord &Job,
                        const ReadyStep &Ready) {
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  if (!Step.getReserved().fitsIn(getReclaimable(Server)) ||
      Server.Facts_.Service_ != Job.Policy_.Service_ ||
      !Server.Facts_.hasLabel(Step.Label_))
    return false;
  return Step.SpreadLimit_ == 0 ||
         Server.countTasksOfStep({Ready.Job_, Ready.Occurrence_, Ready.Step_,
                                  0}) < Step.SpreadLimit_;
}

/// Sorts by priority, then by rank.
static void sortByRank(const JobRegistry &Registry,
                       std::vector<const ReadyStep *> &Steps) {
  std::vector<std::pair<LongRunningRank, const ReadyStep *>> Ranked;
  Ranked.reserve(Steps.size());
  for (const ReadyStep *Step : Steps)
    Ranked.emplace_back(getLongRunningRank(getStepRecord(Registry, *Step)),
                        Step);
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const auto &A, const auto &B) {
                     if (A.second->Priority_ != B.second->Priority_)
                       return A.second->Priority_ < B.second->Priority_;
                     return A.first > B.first;
                   });
  std::transform(Ranked.begin(), Ranked.end(), Steps.begin(),
                 [](const auto &Entry) { return Entry.second; });
}

/// Reserves, for each long-running task that has waited too long, the server
/// that is closest to having capacity for it; the server starts no task that
/// would take this capacity.
void CapacitySurvey::reserveForLongRunning(const JobRegistry &Registry,
                                           const LiveServerTable &LiveServers,
                                           const CapacityShares &Shares,
                                           ReadyTimes &Waits, TimePoint Now) {
  const std::map<std::string, Reservation> Previous =
      std::exchange(Reservations_, {});
  std::size_t RemainingReservations =
      1 + Registry.servers().size() / ServersPerReservation;
  const auto GetFree = [](const UsableServer &Entry) {
    return Entry.Server_->Facts_.Capacity_ - Entry.Server_->Used_;
  };
  std::vector<const ReadyStep *> Preferred;
  std::int64_t LeastCpus = std::numeric_limits<std::int64_t>::max();
  for (const ReadyStep &Ready : Registry.readyLongRunningSteps())
    if (Waits.takesPrecedence(Ready, Now)) {
      Preferred.push_back(&Ready);
      LeastCpus = std::min(LeastCpus, Registry.findJob(Ready.Job_)
                                          ->Spec_.Steps_[Ready.Step_]
                                          .getReserved()
                                          .MilliCpus_);
    }
  if (Preferred.empty())
    return;
  if (Shares.isEnabled())
    sortByRank(Registry, Preferred);
  std::vector<UsableServer> Servers = listUsable(Registry, LiveServers, Now);
  // There may be hundreds of steps and of servers, but on a full fleet few
  // servers can make room for any of the steps.
  std::erase_if(Servers, [LeastCpus, &Shares](const UsableServer &Entry) {
    return !Entry.IsSound_ || Shares.isKept(Entry.Server_->Facts_.Id_) ||
           getReclaimable(*Entry.Server_).MilliCpus_ < LeastCpus;
  });
  std::stable_sort(Servers.begin(), Servers.end(),
                   [&](const UsableServer &A, const UsableServer &B) {
                     return GetFree(A).MilliCpus_ > GetFree(B).MilliCpus_;
                   });
  // One small step leaves many servers that can make no room for the others.
  std::int64_t MostCpus = 0;
  for (const UsableServer &Entry : Servers)
    MostCpus = std::max(MostCpus, getReclaimable(*Entry.Server_).MilliCpus_);
  for (const ReadyStep *Each : Preferred) {
    const ReadyStep &Ready = *Each;
    if (RemainingReservations == 0)
      break;
    const JobRecord &Job = *Registry.findJob(Ready.Job_);
    const Resources Need = Job.Spec_.Steps_[Ready.Step_].getReserved();
    if (Need.MilliCpus_ > MostCpus)
      continue;
    std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    for (const UsableServer &Entry : Servers) {
      if (Waiting == 0 || RemainingReservations == 0)
        break;
      if (!canMakeRoom(*Entry.Server_, Job, Ready))
        continue;
      const std::string &Id = Entry.Server_->Facts_.Id_;
      const auto [It, IsNew] =
          Reservations_.try_emplace(Id, Reservation{Need, Ready, Now});
      if (!IsNew)
        continue;
      const auto Before = Previous.find(Id);
      if (Before != Previous.end() && Before->second.Step_ == Ready)
        It->second.Since_ = Before->second.Since_;
      --Waiting;
      --RemainingReservations;
    }
  }
}

bool CapacitySurvey::claimInterferenceFreeCpus(const StepSpec &Step) {
  std::int64_t &Need = RelocatingImages_[Step.Image_];
  Need = std::max(Need, Step.Need_.MilliCpus_);
  const auto It = InterferenceFreeCpus_.find(Step.Image_);
  if (It == InterferenceFreeCpus_.end() || Step.Need_.MilliCpus_ > It->second)
    return false;
  It->second -= Step.Need_.MilliCpus_;
  return true;
}

/// Returns whether this number of tasks with this need fits into the free
/// capacities.
static bool canFitAll(const std::vector<Resources> &FreeCapacities,
                      const Resources &Need, std::uint64_t Tasks) {
  std::uint64_t Count = 0;
  for (Resources Free : FreeCapacities)
    for (; Count < Tasks && Need.fitsIn(Free); Free = Free - Need)
      ++Count;
  return Count >= Tasks;
}

bool CapacitySurvey::hasCapacityBesideSameImage(const std::string &Image,
                                                const Resources &Need,
                                                std::uint64_t Tasks) const {
  const auto It = Found_.FreeBySoleImage_.find(Image);
  return It != Found_.FreeBySoleImage_.end() &&
         canFitAll(It->second, Need, Tasks);
}

bool CapacitySurvey::hasCapacityWithoutServing(const Resources &Need) const {
  return std::any_of(
      Found_.FreeWithoutServing_.begin(), Found_.FreeWithoutServing_.end(),
      [&Need](const Resources &Free) { return Need.fitsIn(Free); });
}

const CapacitySurvey::Reservation *
CapacitySurvey::findReservation(const std::string &ServerId) const {
  const auto It = Reservations_.find(ServerId);
  return It == Reservations_.end() ? nullptr : &It->second;
}
