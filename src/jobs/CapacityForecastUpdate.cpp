// Updates of CapacityForecast.
#include "jobs/CapacityForecast.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

static constexpr double MilliCpusPerCpu = 1000;
/// The interval at which the forecast is computed: half a report interval, as
/// most servers have reported nothing new sooner.
static constexpr Duration UpdateInterval = 250ms;
/// The least interval for each open job, so that updates take no more than
/// about a hundredth of a processor with thousands of them.
static constexpr Duration UpdatePausePerJob = 100us;
/// Likewise for servers, each of which reports twice a second.
static constexpr Duration UpdatePausePerServer = 700us;
/// Rates are measured while work waits for a report interval: each server has
/// asked for work since.
static constexpr Duration MinMeasuredWait = 500ms;
/// A rate is forgotten when nothing has waited for this time, as other servers
/// and other work are there by then.
static constexpr Duration MaxRateAge = 10s;
/// After the end of an evacuation, servers report and start work for some
/// seconds before a rate shows it.
static constexpr Duration ReturnTime = 5s;
/// If more than one server in four is silent, the leader does not know what
/// happens on the servers.
static constexpr std::size_t MaxSilentFraction = 4;
/// How long a forecast stays unreliable after reports were late.
static constexpr Duration SilenceRecovery = 2s;
/// A proposal that was not committed after this time is not counted any more.
static constexpr Duration MaxRecentAge = 5s;
// Bounds of memory. What exceeds them is not counted, which only makes the
// forecast accept more.
static constexpr std::size_t MaxTracked = 16'384;
static constexpr std::size_t MaxQueues = 256;

static double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void CapacityForecast::updateFree(const JobRegistry &Registry,
                                  const LiveServerTable &LiveServers,
                                  const ServerHealth &Health, TimePoint Now) {
  std::unordered_map<std::string, Resources> Free;
  Roomy_.clear();
  for (const auto &[Id, Server] : Registry.servers()) {
    if (!LiveServers.acceptsStarts(Registry, Server) ||
        Health.getHealthState(Id, Now) != HealthState::Healthy)
      continue;
    const Resources Current = Server.Facts_.Capacity_ - Server.Used_;
    Free[Id] = Current;
    const auto Before = Free_.find(Id);
    if (Before == Free_.end())
      continue;
    const Resources &Old = Before->second;
    const Resources Lasting = {
        std::min(Old.MilliCpus_, Current.MilliCpus_),
        std::min(Old.MemoryMib_, Current.MemoryMib_),
        std::min(Old.Accelerators_, Current.Accelerators_)};
    if (Lasting.MilliCpus_ > 0 || Lasting.MemoryMib_ > 0)
      Roomy_.push_back(
          {Lasting, Server.Facts_.Service_, Server.Facts_.Labels_});
  }
  Free_ = std::move(Free);
}

void CapacityForecast::updateKnowledge(const JobRegistry &Registry,
                                       const LiveServerTable &LiveServers,
                                       TimePoint Now) {
  double MilliCpus = 0;
  for (const auto &[Id, Server] : Registry.servers())
    if (LiveServers.acceptsStarts(Registry, Server))
      MilliCpus += static_cast<double>(Server.Facts_.Capacity_.MilliCpus_);
  Capacity_ = MilliCpus / MilliCpusPerCpu;
  const bool IsFirst = LastUpdate_ == TimePoint{};
  const double Weight =
      IsFirst
          ? 1
          : 1 - std::exp(-toSeconds(Now - LastUpdate_) / toSeconds(RateWindow));
  MeanCapacity_ += (Capacity_ - MeanCapacity_) * Weight;
  LastUpdate_ = Now;

  std::size_t Silent = 0;
  for (const auto &[Id, Live] : LiveServers.servers())
    Silent += Live.isSilent(Now) ? 1 : 0;
  if (Silent * MaxSilentFraction > LiveServers.servers().size())
    UnreliableUntil_ = std::max(UnreliableUntil_, Now + SilenceRecovery);

  const std::size_t Evacuated = Registry.evacuated().size();
  if (Evacuated < EvacuatedCount_) {
    UnreliableUntil_ = std::max(UnreliableUntil_, Now + ReturnTime);
    for (auto &[Class, State] : Classes_)
      State.Lanes_.clear();
  }
  EvacuatedCount_ = Evacuated;
}

/// Returns whether the job is due at times of its own, so that no caller waits
/// for it.
static bool isTimed(const JobSpec &Job) { return Job.RepeatCount_ > 0; }

/// Returns nullptr if too many jobs are tracked. All tasks of a new job have
/// been waiting since the last update.
CapacityForecast::TrackedJob *CapacityForecast::track(const JobRecord &Job,
                                                      bool IsNew, TimePoint Now,
                                                      WallTime Wall) {
  const auto [It, IsAdded] = Tracked_.try_emplace(Job.Sequence_);
  if (!IsAdded)
    return &It->second;
  if (Tracked_.size() > MaxTracked) {
    Tracked_.erase(It);
    return nullptr;
  }
  TrackedJob &Result = It->second;
  Result.Id_ = Job.Spec_.Id_;
  // Kept as a time of the steady clock: the wall clock may be set later.
  const Duration Age =
      Wall - WallTime(static_cast<std::int64_t>(Job.AcceptedMs_));
  const TimePoint AcceptedAt = Now - std::max(Age, Duration(0));
  const Duration Objective = getObjective(Job.Spec_, Job.Policy_);
  Result.Due_ = AcceptedAt + Objective;
  Result.Limit_ =
      AcceptedAt + Objective * static_cast<std::int64_t>(LatenessLimit_);
  for (const StepSpec &Spec : Job.Spec_.Steps_) {
    TrackedStep &Step = Result.Steps_.emplace_back();
    if (Spec.LongRunning_)
      continue;
    Step.Class_ = findClass(Job.Policy_, Spec);
    Step.RunTime_ = RunTimes_.getTypical(Job.Policy_, Spec);
    Step.WorkPerTask_ = getWorkPerTask(Spec, Step.RunTime_);
    Step.Waiting_ = IsNew ? Spec.Count_ : 0;
  }
  return &Result;
}

void CapacityForecast::trackNewJobs(const JobRegistry &Registry, TimePoint Now,
                                    WallTime Wall) {
  std::erase_if(Recent_, [&](const RecentJob &Recent) {
    const JobRecord *Job = Registry.findJob(Recent.Id_);
    if (Job)
      track(*Job, /*IsNew=*/true, Now, Wall);
    return Job || Now - Recent.At_ > MaxRecentAge;
  });
  for (const ReadyStep &Ready : Registry.readySteps()) {
    const auto It = Tracked_.find(Ready.Sequence_);
    TrackedJob *Job =
        It != Tracked_.end()
            ? &It->second
            : track(*Registry.findJob(Ready.Job_), /*IsNew=*/false, Now, Wall);
    if (!Job)
      continue;
    TrackedStep &Step = Job->Steps_[Ready.Step_];
    if (Step.ReadyAt_ + 1 < Updates_)
      Step.ReadySince_ = Now;
    Step.ReadyAt_ = Updates_;
  }
}

CapacityForecast::RemainingWork
CapacityForecast::sumRemaining(const JobRecord &Job,
                               const TrackedJob &Tracked) {
  RemainingWork Result;
  Result.Waiting_.resize(Tracked.Steps_.size());
  std::vector<Duration> RunTimes(Tracked.Steps_.size());
  for (const OccurrenceRecord &Occurrence : Job.OpenOccurrences_) {
    for (std::size_t I = 0; I < RunTimes.size(); ++I) {
      const StepRecord &Step = Occurrence.Steps_[I];
      const bool IsDone = Step.DoneCount_ == Step.Tasks_.size();
      RunTimes[I] = IsDone ? Duration(0) : Tracked.Steps_[I].RunTime_;
    }
    const Duration Chain = getLongestChain(Job.Spec_, RunTimes);
    Result.Chain_ = std::max(Result.Chain_, Chain);
    for (std::size_t I = 0; I < Tracked.Steps_.size(); ++I)
      Result.Waiting_[I] += Occurrence.Steps_[I].Waiting_;
  }
  return Result;
}

void CapacityForecast::addServed(TrackedJob &Tracked, std::uint64_t Priority,
                                 const std::vector<std::uint64_t> &Waiting) {
  for (std::size_t I = 0; I < Tracked.Steps_.size(); ++I) {
    TrackedStep &Step = Tracked.Steps_[I];
    const std::uint64_t Left = I < Waiting.size() ? Waiting[I] : 0;
    const std::uint64_t Before = std::exchange(Step.Waiting_, Left);
    // Tasks that were lost with their server wait again.
    Lane *Served = Left < Before ? findLane(Step.Class_, Priority) : nullptr;
    if (!Served)
      continue;
    const double Work = static_cast<double>(Before - Left) * Step.WorkPerTask_;
    Served->Served_ += Work;
    if (Tracked.IsLate_)
      Served->LateServed_ += Work;
  }
}

/// Returns whether a step that waits has nothing to wait for but room.
static bool waitsForRoom(const StepSpec &Step, const QueuePolicy &Queue) {
  return !Step.Gang_ && Step.SpreadLimit_ == 0 && !Queue.Advice_.IsRequired_;
}

void CapacityForecast::addBacklog(const JobRecord &Job, TrackedJob &Tracked,
                                  bool IsSuspect, TimePoint Now) {
  const bool IsOnTime = isTimed(Job.Spec_) || !Tracked.IsLate_;
  const TimePoint Due = isTimed(Job.Spec_) ? Now : Tracked.Due_;
  const TimePoint Limit = isTimed(Job.Spec_) ? Now : Tracked.Limit_;
  // By lane, the smallest task that finds no room, and the longest wait.
  std::map<Lane *, std::pair<Resources, Duration>> Blocked;
  double Total = 0;
  for (std::size_t I = 0; I < Tracked.Steps_.size(); ++I) {
    const TrackedStep &Step = Tracked.Steps_[I];
    Lane *Waiting = Step.Waiting_ > 0
                        ? findLane(Step.Class_, Job.Policy_.Priority_)
                        : nullptr;
    if (!Waiting)
      continue;
    if (Step.RunTime_ <= Duration(0))
      Classes_[Step.Class_].second.HasUnknown_ = true;
    const double Work = static_cast<double>(Step.Waiting_) * Step.WorkPerTask_;
    Total += Work;
    Waiting->InOrder_.add(Limit, Work);
    if (IsOnTime)
      Waiting->OnTime_.add(Due, Work);
    else
      Waiting->Late_.add(Limit, Work);
    const StepSpec &Spec = Job.Spec_.Steps_[I];
    const bool IsReady = Step.ReadyAt_ == Updates_;
    const Duration Wait = Now - Step.ReadySince_;
    if (IsSuspect || !IsReady || Wait == Duration(0) ||
        !waitsForRoom(Spec, Job.Policy_))
      continue;
    const auto [It, IsNew] = Blocked.try_emplace(Waiting, Spec.Need_, Wait);
    if (!IsNew && Spec.Need_.MilliCpus_ < It->second.first.MilliCpus_)
      It->second.first = Spec.Need_;
    It->second.second = std::max(It->second.second, Wait);
  }
  for (const auto &[Waiting, Task] : Blocked) {
    if (Waiting->isKnown(Now) || Task.second > MaxWaitWithRoom)
      Waiting->InOrder_.addBlocked(Task.first);
    Waiting->LongWaits_ += Task.second > MaxWaitWithRoom ? 1 : 0;
    Waiting->MeasuredWaits_ += Task.second > MinMeasuredWait ? 1 : 0;
  }
  if (Total == 0)
    return;
  const std::string Queue = Job.Policy_.getKey();
  if (BacklogByQueue_.size() < MaxQueues || BacklogByQueue_.count(Queue) != 0)
    BacklogByQueue_[Queue] += Total;
}

/// Adds to a rate what was served since the last update, if some work waited at
/// both updates: before the first there may have been room.
static void measure(DrainRate &Rate, bool DidWait, bool Waits, double Served,
                    TimePoint Now) {
  if (DidWait && Waits)
    Rate.record(Served, Now);
  else
    Rate.skip(Now);
}

void CapacityForecast::updateRates(TimePoint Now) {
  for (auto &[Class, State] : Classes_)
    for (auto &[Priority, Each] : State.Lanes_) {
      Each.OnTime_.finish();
      Each.InOrder_.finish();
      Each.Late_.finish();
      const bool IsFull = isReliable(Now) && Each.LongWaits_ >= MinLongWaits;
      const bool IsMeasured =
          isReliable(Now) && (IsFull || Each.MeasuredWaits_ >= MinLongWaits);
      const bool HasLate = IsMeasured && !Each.Late_.isEmpty();
      measure(Each.Rate_, Each.IsMeasured_, IsMeasured, Each.Served_, Now);
      measure(Each.LateRate_, Each.HasLate_, HasLate, Each.LateServed_, Now);
      Each.IsMeasured_ = IsMeasured;
      if (IsFull)
        Each.FullAt_ = Now;
      else if (Now - Each.FullAt_ > MaxRateAge) {
        Each.Rate_.reset(Now);
        Each.LateRate_.reset(Now);
      }
      Each.IsFull_ = IsFull;
      Each.HasLate_ = HasLate;
    }
}

void CapacityForecast::updateTracked(const JobRegistry &Registry,
                                     TimePoint Now) {
  std::set<std::string_view> Suspects;
  for (const auto &[Task, Servers] : Registry.crashSuspects())
    Suspects.insert(Task.Job_);
  for (auto It = Tracked_.begin(); It != Tracked_.end();) {
    TrackedJob &Tracked = It->second;
    const JobRecord *Job = Registry.findJob(Tracked.Id_);
    const bool IsGone = !Job || Job->Sequence_ != It->first;
    if (!IsGone && Job->State_ == JobState::Completed)
      addServed(Tracked, Job->Policy_.Priority_, {});
    if (IsGone || isEnded(Job->State_)) {
      It = Tracked_.erase(It);
      continue;
    }
    ++It;
    const RemainingWork Remaining = sumRemaining(*Job, Tracked);
    addServed(Tracked, Job->Policy_.Priority_, Remaining.Waiting_);
    Tracked.IsLate_ = Tracked.Due_ < Now + Remaining.Chain_;
    // Work that its callers have given up is put off for any other.
    const bool IsUseful =
        isTimed(Job->Spec_) || Tracked.Limit_ >= Now + Remaining.Chain_;
    if (IsUseful)
      addBacklog(*Job, Tracked, Suspects.count(Tracked.Id_) != 0, Now);
  }
}

void CapacityForecast::update(const JobRegistry &Registry,
                              const LiveServerTable &LiveServers,
                              const ServerHealth &Health, TimePoint Now,
                              WallTime Wall) {
  if (Now < NextUpdate_)
    return;
  // Labels are the clients' choice, so classes that are not used any more must
  // make room for others.
  if (Classes_.size() >= MaxClasses)
    reset();
  NextUpdate_ =
      Now +
      std::max({UpdateInterval,
                UpdatePausePerJob * static_cast<std::int64_t>(Tracked_.size()),
                UpdatePausePerServer *
                    static_cast<std::int64_t>(Registry.servers().size())});
  ++Updates_;
  updateFree(Registry, LiveServers, Health, Now);
  updateKnowledge(Registry, LiveServers, Now);
  trackNewJobs(Registry, Now, Wall);
  BacklogByQueue_.clear();
  for (auto &[Class, State] : Classes_) {
    State.HasUnknown_ = false;
    for (auto &[Priority, Each] : State.Lanes_) {
      Each.Served_ = 0;
      Each.LateServed_ = 0;
      Each.LongWaits_ = 0;
      Each.MeasuredWaits_ = 0;
      Each.OnTime_ = {};
      Each.InOrder_ = {};
      Each.Late_ = {};
    }
  }
  updateTracked(Registry, Now);
  updateRates(Now);
}
