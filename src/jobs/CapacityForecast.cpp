#include "jobs/CapacityForecast.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

static constexpr double MilliCpusPerCpu = 1000;
/// A rate is used once it was measured for this time.
static constexpr Duration MinObservedTime = 1s;
// Bounds of memory. What exceeds them is not counted, which only makes the
// forecast accept more.
static constexpr std::size_t MaxRecent = 1024;
static constexpr std::size_t MaxPriorities = 64;

CapacityForecast::Lane::Lane() : Rate_(RateWindow), LateRate_(RateWindow) {}

bool CapacityForecast::Lane::isKnown(TimePoint Now) const {
  return Rate_.getObservedTime(Now) >= MinObservedTime;
}

CapacityForecast::Lane *CapacityForecast::findLane(std::size_t Class,
                                                   std::uint64_t Priority) {
  if (Class == NoClass)
    return nullptr;
  std::map<std::uint64_t, Lane> &Lanes = Classes_[Class].second.Lanes_;
  if (Lanes.size() >= MaxPriorities && Lanes.count(Priority) == 0)
    return nullptr;
  return &Lanes[Priority];
}

void CapacityForecast::reset() {
  ++Generation_;
  Free_.clear();
  Roomy_.clear();
  ClassIndexes_.clear();
  Classes_.clear();
  Tracked_.clear();
  Recent_.clear();
  BacklogByQueue_.clear();
  NextUpdate_ = {};
  UnreliableUntil_ = {};
  EvacuatedCount_ = 0;
  Capacity_ = 0;
  MeanCapacity_ = 0;
  LastUpdate_ = {};
}

std::size_t CapacityForecast::findClass(const QueuePolicy &Queue,
                                        const StepSpec &Step) {
  WorkClass Class{Queue.Service_, Step.Label_,
                  Step.Fills_ ? WorkKind::Filling : WorkKind::Bounded};
  const auto It = ClassIndexes_.find(Class);
  if (It != ClassIndexes_.end())
    return It->second;
  if (Classes_.size() >= MaxClasses)
    return NoClass;
  ClassIndexes_.emplace(Class, Classes_.size());
  Classes_.emplace_back(std::move(Class), ClassState());
  return Classes_.size() - 1;
}

JobDemand CapacityForecast::makeDemand(const JobSpec &Job,
                                       const QueuePolicy &Queue) {
  JobDemand Demand;
  Demand.Priority_ = Queue.Priority_;
  std::vector<Duration> RunTimes;
  for (const StepSpec &Step : Job.Steps_) {
    RunTimes.push_back(Step.LongRunning_ ? Duration(0)
                                         : RunTimes_.getTypical(Queue, Step));
    if (Step.LongRunning_)
      continue;
    const std::size_t Class = findClass(Queue, Step);
    if (RunTimes.back() <= Duration(0) || Class == NoClass) {
      Demand.IsKnown_ = false;
      continue;
    }
    const double Work = static_cast<double>(Step.Count_) *
                        getWorkPerTask(Step, RunTimes.back());
    const auto It = std::find_if(
        Demand.Classes_.begin(), Demand.Classes_.end(),
        [Class](const ClassDemand &Known) { return Known.Class_ == Class; });
    if (It == Demand.Classes_.end()) {
      Demand.Classes_.push_back({Class, Work, Step.Need_});
      continue;
    }
    It->Work_ += Work;
    if (Step.Need_.MilliCpus_ < It->SmallestTask_.MilliCpus_)
      It->SmallestTask_ = Step.Need_;
  }
  Demand.Chain_ = getLongestChain(Job, RunTimes);
  return Demand;
}

void CapacityForecast::addAccepted(const std::string &Id,
                                   const JobDemand &Demand, TimePoint Due,
                                   TimePoint Limit, TimePoint Now) {
  if (Recent_.size() < MaxRecent)
    Recent_.push_back({Id, Demand, Due, Limit, Now});
}

double CapacityForecast::getExtraRate(const WorkClass &Class) const {
  // Servers that have come back serve more than was measured.
  double Rate = std::max(0.0, Capacity_ - MeanCapacity_);
  if (Class.Kind_ == WorkKind::Bounded)
    Rate += static_cast<double>(Shares_.Yieldable_) / MilliCpusPerCpu;
  return Rate;
}

void CapacityForecast::addRecent(const JobDemand &Demand, std::size_t Class,
                                 TimePoint Due, TimePoint Limit,
                                 WaitForecast &Result) const {
  for (const RecentJob &Recent : Recent_) {
    if (Recent.Demand_.Priority_ != Demand.Priority_)
      continue;
    for (const ClassDemand &Other : Recent.Demand_.Classes_) {
      if (Other.Class_ != Class)
        continue;
      if (Recent.Due_ <= Due)
        Result.OnTime_.Backlog_ += Other.Work_;
      if (Recent.Limit_ <= Limit)
        Result.InOrder_.Backlog_ += Other.Work_;
    }
  }
}

WaitForecast CapacityForecast::estimateClass(const JobDemand &Demand,
                                             const ClassDemand &Asked,
                                             TimePoint Due, TimePoint Limit,
                                             double Promised,
                                             TimePoint Now) const {
  WaitForecast Result;
  const auto &[Class, State] = Classes_[Asked.Class_];
  if (State.HasUnknown_)
    return Result;
  const double Extra = getExtraRate(Class);
  std::size_t Blocked = 0;
  bool IsFull = false;
  // Work of a better priority goes first, at its own rate.
  Duration Before{};
  for (const auto &[Priority, Each] : State.Lanes_) {
    if (Priority > Demand.Priority_)
      break;
    if (!Each.isKnown(Now))
      continue;
    Blocked += Each.InOrder_.countBlocked(Asked.SmallestTask_);
    const double Rate = Each.Rate_.getPerSecond(Now) + Extra;
    IsFull = IsFull || Each.IsFull_;
    if (Priority < Demand.Priority_) {
      Before += estimateWait(Each.InOrder_.sumUntil(Limit), Rate);
      continue;
    }
    Result.OnTime_ = {{}, Each.OnTime_.sumUntil(Due) + Promised, Rate};
    Result.InOrder_ = {{}, Each.InOrder_.sumUntil(Limit) + Promised, Rate};
    addRecent(Demand, Asked.Class_, Due, Limit, Result);
    if (Each.LateRate_.getObservedTime(Now) < MinObservedTime)
      continue;
    // Work that does not get served while it is on time joins the late work.
    const double OnTime =
        Rate * std::chrono::duration<double>(Due - Now - Demand.Chain_).count();
    const double Overflow = std::max(0.0, Result.OnTime_.Backlog_ - OnTime);
    Result.Late_ = {{},
                    Each.Late_.sumUntil(Limit) + Overflow,
                    Each.LateRate_.getPerSecond(Now) + Extra};
  }
  for (LaneForecast *Each : {&Result.OnTime_, &Result.InOrder_, &Result.Late_})
    Each->Wait_ =
        Before + (Each->Backlog_ > 0 ? estimateWait(Each->Backlog_, Each->Rate_)
                                     : Duration(0));
  // Where the rate is known, a long backlog shows sooner than long waits that
  // there is no room.
  Result.IsFull_ =
      Blocked >= MinLongWaits &&
      (IsFull ||
       std::max(Result.OnTime_.Wait_, Result.InOrder_.Wait_) > MaxWaitWithRoom);
  return Result;
}

WaitForecast CapacityForecast::estimate(const JobDemand &Demand, TimePoint Due,
                                        TimePoint Limit,
                                        const std::vector<double> &Promised,
                                        TimePoint Now) const {
  WaitForecast Result;
  if (!Demand.IsKnown_ || !isReliable(Now))
    return Result;
  const auto GetLater = [](const LaneForecast &A, const LaneForecast &B) {
    return A.Wait_ >= B.Wait_ ? A : B;
  };
  for (std::size_t I = 0; I < Demand.Classes_.size(); ++I) {
    const WaitForecast Each =
        estimateClass(Demand, Demand.Classes_[I], Due, Limit, Promised[I], Now);
    if (!Each.IsFull_)
      continue;
    if (!Result.IsFull_) {
      Result = Each;
      continue;
    }
    Result.OnTime_ = GetLater(Result.OnTime_, Each.OnTime_);
    Result.InOrder_ = GetLater(Result.InOrder_, Each.InOrder_);
    Result.Late_ = GetLater(Result.Late_, Each.Late_);
  }
  return Result;
}

bool CapacityForecast::FreeServer::hasLabel(const std::string &Label) const {
  return Label.empty() ||
         std::find(Labels_.begin(), Labels_.end(), Label) != Labels_.end();
}

bool CapacityForecast::hasRoom(const JobSpec &Job,
                               const QueuePolicy &Queue) const {
  for (const StepSpec &Step : Job.Steps_) {
    if (!Step.DependsOn_.empty())
      continue;
    // A filling task reserves no processors: it starts wherever its memory
    // fits, and runs as fast as others let it.
    const Resources Need = Step.getReserved();
    std::uint64_t Missing = Step.Count_;
    for (const FreeServer &Server : Roomy_) {
      if (Missing == 0)
        break;
      // First what is cheapest: few servers of a full fleet have room.
      if (!Need.fitsIn(Server.Lasting_) || Server.Service_ != Queue.Service_ ||
          !Server.hasLabel(Step.Label_))
        continue;
      for (Resources Free = Server.Lasting_; Missing > 0 && Need.fitsIn(Free);
           Free = Free - Need)
        --Missing;
    }
    if (Missing > 0)
      return false;
  }
  return true;
}
