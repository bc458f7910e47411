#include "tulipweir/jobs/JobLeader.h"

#include "jobs/JobLeaderImpl.h"

#include <algorithm>
#include <array>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The interval at which leadership, leases and due times are checked.
static constexpr Duration TickInterval = 50ms;
/// The interval at which a member notes what waits.
static constexpr Duration ObservationInterval = 250ms;
/// The interval at which state of ended steps and past failures is pruned.
static constexpr Duration PruneInterval = 1s;
/// How long the leader counts as overloaded after the last sign of it. Servers
/// whose reports were deferred report again within a few hundred ms.
static constexpr Duration OverloadPeriod = 2s;
/// The least jump of the wall clock that is logged. Synchronized clocks are
/// slewed by less.
static constexpr Duration MinClockJump = 500ms;
/// The longest lease that is limited after a change of the leader. Members
/// remember reports for longer than this.
static constexpr Duration MaxLimitedLease = 12s;
static constexpr std::uint64_t Percent = 100;

bool JobLeader::Impl::isLeading() const {
  return Watch_.isLeading() && Group_.findLeaseTerm(Time_.now()) == Term_;
}

Duration JobLeader::Impl::getMaxLease() const {
  return Settings_.Lease_ * (Percent + Settings_.ClockDriftPercent_) / Percent;
}

Error JobLeader::Impl::makeNotLeaderError() const {
  return Error::make(ErrorCode::NotLeader, Group_.getStatus().LeaderName_);
}

void JobLeader::Impl::beginLeading(std::uint64_t Term) {
  Term_ = Term;
  const TimePoint Now = Time_.now();
  Paces_.reset();
  Advice_.reset();
  // Learned interference and loads do not depend on who leads, so they are
  // kept.
  if (Effects_.isFull())
    Effects_.reset();
  Health_.reset();
  Stalls_.reset();
  Crashes_.reset();
  Shares_.reset();
  Conflicts_.reset();
  Leaving_.clear();
  Admission_.reset();
  OpenSubmissions_.reset();
  IsProving_ = false;
  Work_.take();
  PeriodicWork_.reset();
  NextSurvey_ = NextForecast_ = Now;
  Figures_ = {};
  LoadLoggedAt_ = Now;
  NextProofCheck_ = Now;
  IsAdvicePending_ = false;
  Waves_.reset();
  LeadingSince_ = Now;
  PendingReports_.clear();
  ExpiryChecks_.clear();
  Unheard_.clear();
  NextExpiryRound_ = Now;
  IsListing_ = false;
  IsOrdering_ = false;
  NextAdviceRequest_ = Now;
  EndedJobs_.clear();
  AcceptedAt_.clear();
  StartedJobs_.clear();
  LoggedWaitReasons_.clear();
  LoggedReservations_.clear();
  Machine_.read([&](const JobRegistry &Registry) {
    // The previous leader sent its last answer before this leader's election,
    // so the longest lease from now on covers it. limitLeases shortens it.
    LiveServers_.reset(Registry, Now, getMaxLease());
    Dispatcher_.reset(Registry);
    PendingStops_.reset(Registry, Now);
    Absences_.reset(Registry, Now);
    for (const auto &[Id, Job] : Registry.jobs())
      if (isEnded(Job.State_))
        EndedJobs_.record(Id, Now);
    return 0;
  });
  Event Line;
  Line.Kind_ = EventKind::LeadershipBegun;
  Line.Term_ = Term;
  Log_.write(Line);
  if (getMaxLease() > MaxLimitedLease)
    return;
  Relays_.findLeaseBounds(
      Term, [Weak = weak_from_this(), Term](const LeaseBounds &Bounds) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        // Also while the leader's lease is interrupted for a moment.
        if (Self && Self->Watch_.isLeading() && Self->Term_ == Term)
          Self->limitLeases(Bounds);
      });
}

void JobLeader::Impl::limitLeases(const LeaseBounds &Bounds) {
  const TimePoint Now = Time_.now();
  std::vector<std::string> Ids;
  for (const auto &[Id, Live] : LiveServers_.servers())
    Ids.push_back(Id);
  std::uint64_t Limited = 0;
  for (const std::string &Id : Ids) {
    const TimePoint HeardAt = Bounds.getFor(Id);
    // The clocks that measured the age may be slow as well.
    const Duration Drift =
        (Now - HeardAt) * Settings_.ClockDriftPercent_ / Percent;
    if (LiveServers_.limitLease(Id, HeardAt, HeardAt + getMaxLease() + Drift))
      ++Limited;
  }
  if (Limited == 0)
    return;
  Event Line;
  Line.Kind_ = EventKind::LeasesLimited;
  Line.Term_ = Term_;
  Line.Count_ = Limited;
  Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Now - Bounds.Others_)
                    .count();
  Log_.write(Line);
}

void JobLeader::Impl::endLeading() {
  Event Line;
  Line.Kind_ = EventKind::LeadershipEnded;
  Line.Term_ = Term_;
  Log_.write(Line);
}

/// Returns the result of a proposal. Only NotLeader guarantees that the command
/// was not accepted. With any other error the outcome is unknown, which the
/// caller must be able to tell.
static Outcome<CommandResult>
toResult(const Outcome<replication::Applied> &Applied) {
  if (Applied)
    return decodeResult(Applied.value().Result_);
  if (Applied.error().Code_ == ErrorCode::NotLeader)
    return Applied.error();
  return fail(ErrorCode::Timeout, Applied.error().Message_);
}

void JobLeader::Impl::propose(const Command &Value, ResultCallback Done) {
  proposeIn(&Executor::post, Value, std::move(Done));
}

void JobLeader::Impl::proposeOrder(const Command &Value, ResultCallback Done) {
  proposeIn(&Executor::postUrgent, Value, std::move(Done));
}

void JobLeader::Impl::proposeIn(PostMember Post, const Command &Value,
                                ResultCallback Done) {
  Group_.propose(
      encodeCommand(Value),
      [Weak = weak_from_this(), &Strand = Strand_, Post,
       Done = std::move(Done)](const Outcome<replication::Applied> &Applied) {
        (Strand.*Post)([Weak, Done, Result = toResult(Applied)] {
          if (!Weak.expired())
            Done(Result);
        });
      });
}

void JobLeader::Impl::markOverloaded() {
  OverloadedUntil_ = Time_.now() + OverloadPeriod;
}

void JobLeader::Impl::tick() {
  const TimePoint Now = Time_.now();
  if (Now - std::exchange(LastTick_, Now) > TickInterval + OverloadDelay)
    markOverloaded();
  Watch_.poll();
  detectClockJump();
  updateLoads();
  answerOverdueReports();
  if (isLeading()) {
    logLoad();
    checkExpiredLeases();
    storeProvedRuns();
    logWaits();
    logLongAbsences();
    pacePeriodicWork();
    updateAdmission();
    openDueOccurrences();
    survey();
    startGang();
    requestAdvice();
    advanceWaves();
    pruneEndedJobs();
  }
  Strand_.postAfter(TickInterval, [Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->tick();
  });
}

/// Updates the learned loads and the times of waits, also while another member
/// leads: this member learns from the reports that the other one handles, and
/// if it becomes the leader, waits continue.
void JobLeader::Impl::updateLoads() {
  const WorkTimer::Scope Measured(Work_, LeaderWork::Surveys);
  const TimePoint Now = Time_.now();
  Loads_.updateRanges(Now);
  if (Now < NextObservation_)
    return;
  NextObservation_ = Now + ObservationInterval;
  const bool IsPruning = Now >= NextPrune_;
  if (IsPruning)
    NextPrune_ = Now + PruneInterval;
  Machine_.read([&](const JobRegistry &Registry) {
    if (IsPruning) {
      Loads_.prune(Registry);
      RunTimes_.prune(Registry);
      Stalls_.prune(Registry);
      Dispatcher_.prune(Registry);
      PendingStops_.observe(Registry, Now);
    }
    Dispatcher_.observe(Registry, Now);
    return 0;
  });
}

/// Logs jumps of the wall clock. Due times follow it, and it may be set at any
/// moment.
void JobLeader::Impl::detectClockJump() {
  const Duration Offset =
      Duration(Time_.wallNow()) - Duration(Time_.now().time_since_epoch());
  const Duration Jump = WallOffset_ ? Offset - *WallOffset_ : Duration(0);
  WallOffset_ = Offset;
  if (std::chrono::abs(Jump) < MinClockJump)
    return;
  Event Line;
  Line.Kind_ = EventKind::ClockJumped;
  Line.AgeMs_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(Jump).count();
  Line.Reason_ = Jump > Duration(0) ? "ahead" : "back";
  Log_.write(Line);
}

static std::string_view getReason(Departure How) {
  static constexpr std::array<std::string_view, 5> Reasons = {
      "the server left", "maintenance of its VM has begun",
      "another incarnation took over its address",
      "the server has started again", "no report until its lease expired"};
  return Reasons.at(static_cast<std::size_t>(How));
}

void JobLeader::Impl::removeServer(const std::string &Id, Departure How,
                                   ResultCallback Done,
                                   std::string_view Detail) {
  const bool IsOver = How != Departure::Silent;
  if (IsOver)
    Leaving_.insert(Id);
  if (LiveServer *Live = LiveServers_.find(Id))
    Live->IsRemoving_ = true;
  Event Line;
  Line.Kind_ = EventKind::ServerGone;
  Line.Server_ = Id;
  Line.Reason_ = getReason(How);
  if (!Detail.empty())
    Line.Reason_.append("; ").append(Detail);
  Line.Term_ = Term_;
  if (const LiveServer *Live = LiveServers_.find(Id))
    Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Time_.now() - Live->LastHeard_)
                      .count();
  const std::vector<LostRun> Lost = listLostRuns(Id);
  Line.Count_ = Lost.size();
  Log_.write(Line);
  logLostRuns(Id, Lost);
  Meter_.add(JobCounter::ServersGone, 1);
  Meter_.add(JobCounter::TasksLapsed, Lost.size());
  CrashEvidence Crash;
  if (How != Departure::Left && How != Departure::Maintained)
    Crash = assessCrash(Id, How, Lost);
  const LiveServer *Known = LiveServers_.find(Id);
  const TimePoint LastHeard = Known ? Known->LastHeard_ : Time_.now();
  Absence Gone;
  Gone.Server_ = Id;
  Gone.LastSeen_ = LastHeard;
  Gone.LeaseEnd_ =
      Known && How == Departure::Silent ? Known->LeaseEnd_ : LastHeard;
  Gone.IsLowerBound_ = Known && Known->LastSequence_ == 0;
  propose(RemoveServer{Id, LiveServers_.listCheckpoints(Id), IsOver, Crash},
          [this, Id, Lost, LastHeard, Gone, IsCrash = Crash.IsCrash_,
           Done = std::move(Done)](Outcome<CommandResult> Result) {
            Leaving_.erase(Id);
            // After a failure or an unknown outcome the next tick retries.
            if (LiveServer *Live = LiveServers_.find(Id))
              Live->IsRemoving_ = false;
            if (Result)
              LiveServers_.remove(Id);
            if (Result)
              PendingStops_.forget(Id);
            if (Result)
              recordLoss(Lost, Gone);
            if (Result && IsCrash)
              handleCrash(Id, LastHeard, Lost);
            if (Result)
              handleFailedJobs(Result.value());
            Done(std::move(Result));
          });
}

void JobLeader::Impl::openDueOccurrences() {
  const auto Wall = static_cast<std::uint64_t>(
      (Time_.wallNow() +
       std::chrono::duration_cast<WallTime>(Settings_.EarliestStart_))
          .count());
  std::vector<OpenOccurrence> Due;
  Machine_.read([&](const JobRegistry &Registry) {
    for (const std::string &Id : Registry.timedJobs()) {
      const JobRecord &Job = *Registry.findJob(Id);
      const std::uint64_t At =
          Job.Spec_.FirstDueMs_ +
          Job.CreatedOccurrenceCount_ * Job.Spec_.IntervalMs_;
      if (At <= Wall)
        Due.push_back({Id, Job.CreatedOccurrenceCount_});
    }
    return 0;
  });
  // The state machine refuses a duplicate proposal.
  for (const OpenOccurrence &Occurrence : Due)
    propose(Occurrence, [](const Outcome<CommandResult> &) {});
}

void JobLeader::Impl::pacePeriodicWork() {
  PeriodicWork_.update(Time_.now());
  Dispatcher_.setOrderAgeFactor(PeriodicWork_.getFactor());
}

void JobLeader::Impl::survey() {
  const TimePoint Now = Time_.now();
  if (Now < NextSurvey_)
    return;
  NextSurvey_ = Now + TickInterval * (PeriodicWork_.getFactor() - 1);
  const WorkTimer::Scope Measured(Work_, LeaderWork::Surveys);
  Machine_.read([&](const JobRegistry &Registry) {
    Dispatcher_.survey(Registry, LiveServers_, Now);
    Shares_.update({Registry, LiveServers_, Health_,
                    Dispatcher_.capacitySurvey(), Dispatcher_.overdueSteps(),
                    Now, Time_.wallNow()});
    return 0;
  });
  for (const Duration &Away : Shares_.takeReturns()) {
    Meter_.add(JobCounter::TasksReturned, 1);
    Meter_.record(JobTimer::YieldAbsence, Away);
  }
}

void JobLeader::Impl::startGang() {
  const WorkTimer::Scope Measured(Work_, LeaderWork::Surveys);
  std::vector<TaskStart> Starts =
      Machine_.read([&](const JobRegistry &Registry) {
        return Dispatcher_.planGang(Registry, LiveServers_, Time_.now());
      });
  if (Starts.empty())
    return;
  propose(StartTasks{Starts},
          [this, Starts](const Outcome<CommandResult> &Applied) {
            Dispatcher_.releaseProposed(Starts);
            if (Applied)
              endAbsences(Starts, Applied.value().Accepted_);
          });
}

void JobLeader::Impl::pruneEndedJobs() {
  ForgetJobs Old{EndedJobs_.takeBefore(Time_.now() - Settings_.Retention_)};
  if (Old.Ids_.empty())
    return;
  propose(Old, [](const Outcome<CommandResult> &) {});
}

JobLeader::JobLeader(const JobLeaderSettings &Settings, const Clock &Time,
                     Executor &Strand, replication::Replica &Group,
                     const JobStateMachine &Machine, Advisor &Advising,
                     VmProvider &Provider, ReportRelays &Relays, EventLog &Log,
                     JobMeter &Meter)
    : Impl_(std::make_shared<Impl>(Settings, Time, Strand, Group, Machine,
                                   Advising, Provider, Relays, Log, Meter)) {}
JobLeader::~JobLeader() = default;

void JobLeader::start() { Impl_->start(); }
void JobLeader::call(JobCall Call, Done<JobCallReply> Reply) {
  Impl_->call(std::move(Call), std::move(Reply));
}
void JobLeader::report(ServerReport Report, Done<ServerOrders> Reply) {
  Impl_->report(std::move(Report), std::move(Reply));
}
void JobLeader::recordLateEnds(const ServerReport &Report,
                               Done<ServerOrders> Reply) {
  Impl_->recordLateEnds(Report, Reply);
}
void JobLeader::observe(const ServerReport &Report) { Impl_->observe(Report); }
void JobLeader::markOverloaded() { Impl_->markOverloaded(); }
void JobLeader::leave(const std::string &ServerId, Done<void> Reply) {
  Impl_->leave(ServerId, std::move(Reply));
}
void JobLeader::putConfiguration(Configuration Value, Done<void> Reply) {
  Impl_->putConfiguration(std::move(Value), std::move(Reply));
}
void JobLeader::readConfiguration(Done<Configuration> Reply) {
  Impl_->readConfiguration(Reply);
}
void JobLeader::startWave(const WaveSpec &Spec, Done<void> Reply) {
  Impl_->startWave(Spec, Reply);
}
void JobLeader::showWave(std::uint64_t Wave, Done<WaveRecord> Reply) {
  Impl_->showWave(Wave, Reply);
}
void JobLeader::evacuate(const EvacuateDataCentre &Order, Done<void> Reply) {
  Impl_->evacuate(Order, Reply);
}
std::vector<ServerAwaitingStop> JobLeader::listAwaitingStop() const {
  return Impl_->listAwaitingStop();
}
LoadStatus JobLeader::describeLoad() const { return Impl_->describeLoad(); }
bool JobLeader::isLeading() const { return Impl_->isLeading(); }
std::optional<std::uint64_t> JobLeader::findFencingToken() const {
  return Impl_->findFencingToken();
}
