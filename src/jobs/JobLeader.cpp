#include "tulipweir/jobs/JobLeader.h"

#include "jobs/JobLeaderImpl.h"

#include <algorithm>
#include <array>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// How often leadership, leases and due times are looked at.
static constexpr Duration TickInterval = 50ms;
/// How often, and of how many of the first waiting steps, it is said why they
/// wait.
static constexpr Duration ExplanationInterval = 1s;
static constexpr std::size_t MostExplained = 8;
/// How often what is kept of steps and failures that are over is forgotten.
static constexpr Duration PruneInterval = 1s;
/// A server that was told to come again does so within some hundred ms.
static constexpr Duration BehindFor = 2s;
/// Clocks that are kept in step are slewed by less.
static constexpr Duration NoticedJump = 500ms;
static constexpr std::uint64_t Percent = 100;

bool JobLeader::Impl::isLeading() const {
  return Watch_.isLeading() && Group_.findLeaseTerm(Time_.now()) == Term_;
}

Duration JobLeader::Impl::getLongestLease() const {
  return Settings_.Lease_ * (Percent + Settings_.ClockDriftPercent_) / Percent;
}

Error JobLeader::Impl::makeNotLeading() const {
  return Error::make(ErrorCode::NotLeader, Group_.getStatus().LeaderName_);
}

void JobLeader::Impl::beginLeading(std::uint64_t Term) {
  Term_ = Term;
  const TimePoint Now = Time_.now();
  Dispatcher_.reset();
  Paces_.reset();
  Advice_.reset();
  // What is known of pairs and loads holds whoever leads.
  if (Effects_.isFull())
    Effects_.reset();
  Health_.reset();
  Crashes_.reset();
  Conflicts_.reset();
  Leaving_.clear();
  IsProving_ = false;
  NextProof_ = Now;
  IsAsking_ = false;
  Waves_.reset();
  LeadingSince_ = Now;
  Open_.clear();
  Lapsed_.clear();
  Unheard_.clear();
  NextLapseRound_ = Now;
  IsListing_ = false;
  IsOrdering_ = false;
  NextQuestion_ = Now;
  NextPrune_ = Now;
  EndedSince_.clear();
  AcceptedAt_.clear();
  Started_.clear();
  Explained_.clear();
  Machine_.read([&](const JobBook &Book) {
    // An earlier leader's last answer left before this one was elected.
    Board_.reset(Book, Now, getLongestLease());
    PendingStops_.reset(Book, Now);
    for (const auto &[Id, Job] : Book.jobs())
      if (isEnded(Job.State_))
        EndedSince_[Id] = Now;
    return 0;
  });
  Event Line;
  Line.Kind_ = EventKind::LeadershipBegun;
  Line.Term_ = Term;
  Log_.write(Line);
}

void JobLeader::Impl::endLeading() {
  Event Line;
  Line.Kind_ = EventKind::LeadershipEnded;
  Line.Term_ = Term_;
  Log_.write(Line);
}

void JobLeader::Impl::propose(const Command &Value, ResultCallback Done) {
  const std::weak_ptr<Impl> Weak = weak_from_this();
  Group_.propose(
      encodeCommand(Value), [Weak, &Strand = Strand_, Done = std::move(Done)](
                                const Outcome<replication::Applied> &Applied) {
        Outcome<CommandResult> Result = fail(ErrorCode::Unavailable, "");
        // Whoever asked must know the difference: only NotLeader says for sure
        // that nothing was taken.
        if (Applied)
          Result = decodeResult(Applied.value().Result_);
        else if (Applied.error().Code_ == ErrorCode::NotLeader)
          Result = Applied.error();
        else
          Result = fail(ErrorCode::Timeout, Applied.error().Message_);
        Strand.post([Weak, Done, Result] {
          if (!Weak.expired())
            Done(Result);
        });
      });
}

void JobLeader::Impl::noteBehind() { BehindUntil_ = Time_.now() + BehindFor; }

void JobLeader::Impl::tick() {
  const TimePoint Now = Time_.now();
  if (Now - std::exchange(LastTick_, Now) > TickInterval + BehindAfter)
    noteBehind();
  Watch_.poll();
  watchClock();
  keepLoads();
  answerOverdue();
  if (isLeading()) {
    removeLapsed();
    noteProvedRuns();
    explainWaits();
    openDue();
    startGang();
    askAdvice();
    keepWaves();
    forgetEnded();
  }
  Strand_.postAfter(TickInterval, [Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->tick();
  });
}

/// Also where another leads: reports that it decides teach this member, too.
void JobLeader::Impl::keepLoads() {
  const TimePoint Now = Time_.now();
  Loads_.updateRanges(Now);
  if (Now < NextForgetting_)
    return;
  NextForgetting_ = Now + PruneInterval;
  Machine_.read([this](const JobBook &Book) {
    Loads_.prune(Book);
    return 0;
  });
}

/// Due times follow the wall clock, which may be set at any moment.
void JobLeader::Impl::watchClock() {
  const Duration Offset =
      Duration(Time_.wallNow()) - Duration(Time_.now().time_since_epoch());
  const Duration Jump = WallOffset_ ? Offset - *WallOffset_ : Duration(0);
  WallOffset_ = Offset;
  if (std::chrono::abs(Jump) < NoticedJump)
    return;
  Event Line;
  Line.Kind_ = EventKind::ClockJumped;
  Line.AgeMs_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(Jump).count();
  Line.Reason_ = Jump > Duration(0) ? "ahead" : "back";
  Log_.write(Line);
}

/// Says of the first steps that wait why they do, once for each reason.
void JobLeader::Impl::explainWaits() {
  const TimePoint Now = Time_.now();
  if (Now < NextExplanation_)
    return;
  NextExplanation_ = Now + ExplanationInterval;
  Machine_.read([&](const JobBook &Book) {
    std::erase_if(Explained_, [&Book](const auto &Each) {
      return Book.readySteps().count(Each.first) == 0;
    });
    std::size_t Looked = 0;
    for (const ReadyStep &Step : Book.readySteps()) {
      if (++Looked > MostExplained)
        break;
      std::string Reason = Dispatcher_.explainWait(Book, Board_, Step, Now);
      const auto [Place, IsNew] = Explained_.try_emplace(Step);
      // A step that came just now mostly starts with the next report.
      if (IsNew || Place->second == Reason)
        continue;
      Place->second = Reason;
      Event Line;
      Line.Kind_ = EventKind::TaskWaiting;
      Line.Job_ = Step.Job_;
      Line.Task_ =
          std::to_string(Step.Occurrence_) + "." + std::to_string(Step.Step_);
      Line.Reason_ = std::move(Reason);
      Log_.write(Line);
    }
    return 0;
  });
}

static std::string_view getReason(Departure How) {
  static constexpr std::array<std::string_view, 4> Reasons = {
      "it left", "its VM is in maintenance",
      "another incarnation runs at its address",
      "silent until its lease ran out"};
  return Reasons.at(static_cast<std::size_t>(How));
}

void JobLeader::Impl::removeServer(const std::string &Id, Departure How,
                                   ResultCallback Done) {
  const bool IsOver = How != Departure::Silent;
  if (IsOver)
    Leaving_.insert(Id);
  if (ServerLive *Live = Board_.find(Id))
    Live->IsRemoving_ = true;
  Event Line;
  Line.Kind_ = EventKind::ServerGone;
  Line.Server_ = Id;
  Line.Reason_ = getReason(How);
  Line.Term_ = Term_;
  if (const ServerLive *Live = Board_.find(Id))
    Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Time_.now() - Live->LastHeard_)
                      .count();
  const std::vector<LostRun> Lost = listLost(Id);
  Line.Count_ = Lost.size();
  Log_.write(Line);
  logLost(Id, Lost);
  Meter_.add(Counted::ServersGone, 1);
  Meter_.add(Counted::TasksLapsed, Lost.size());
  CrashEvidence Crash;
  if (How == Departure::Replaced || How == Departure::Silent)
    Crash = judgeCrash(Id, How, Lost);
  const ServerLive *Known = Board_.find(Id);
  const TimePoint LastHeard = Known ? Known->LastHeard_ : Time_.now();
  propose(RemoveServer{Id, Board_.listSaved(Id), IsOver, Crash},
          [this, Id, Lost, LastHeard, IsCrash = Crash.IsCrash_,
           Done = std::move(Done)](Outcome<CommandResult> Result) {
            Leaving_.erase(Id);
            // Unknown or refused: asked again at the next tick.
            if (ServerLive *Live = Board_.find(Id))
              Live->IsRemoving_ = false;
            if (Result)
              Board_.remove(Id);
            if (Result)
              PendingStops_.forget(Id);
            if (Result && IsCrash)
              noteCrash(Id, LastHeard, Lost);
            if (Result)
              noteFailed(Result.value());
            Done(std::move(Result));
          });
}

void JobLeader::Impl::openDue() {
  const auto Wall = static_cast<std::uint64_t>(
      (Time_.wallNow() +
       std::chrono::duration_cast<WallTime>(Settings_.EarliestStart_))
          .count());
  std::vector<OpenOccurrence> Due;
  Machine_.read([&](const JobBook &Book) {
    for (const std::string &Id : Book.timedJobs()) {
      const JobRecord &Job = *Book.findJob(Id);
      const std::uint64_t At =
          Job.Spec_.FirstDueMs_ + Job.OpenedUpTo_ * Job.Spec_.IntervalMs_;
      if (At <= Wall)
        Due.push_back({Id, Job.OpenedUpTo_});
    }
    return 0;
  });
  // One that is proposed twice is refused the second time.
  for (const OpenOccurrence &Each : Due)
    propose(Each, [](const Outcome<CommandResult> &) {});
}

void JobLeader::Impl::startGang() {
  std::vector<TaskStart> Starts = Machine_.read([&](const JobBook &Book) {
    if (Time_.now() >= NextPrune_) {
      NextPrune_ = Time_.now() + PruneInterval;
      Dispatcher_.prune(Book);
    }
    Dispatcher_.survey(Book, Board_, Time_.now());
    return Dispatcher_.planGang(Book, Board_, Time_.now());
  });
  if (Starts.empty())
    return;
  propose(StartTasks{Starts}, [this, Starts](const Outcome<CommandResult> &) {
    Dispatcher_.releaseProposed(Starts);
  });
}

void JobLeader::Impl::forgetEnded() {
  const TimePoint Now = Time_.now();
  ForgetJobs Old;
  for (const auto &[Id, Since] : EndedSince_)
    if (Now - Since > Settings_.Retention_)
      Old.Ids_.push_back(Id);
  if (Old.Ids_.empty())
    return;
  for (const std::string &Id : Old.Ids_)
    EndedSince_.erase(Id);
  propose(Old, [](const Outcome<CommandResult> &) {});
}

JobLeader::JobLeader(const JobLeaderSettings &Settings, const Clock &Time,
                     Executor &Strand, replication::Replica &Group,
                     const JobMachine &Machine, Advisor &Advising,
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
void JobLeader::noteLateEnds(const ServerReport &Report,
                             Done<ServerOrders> Reply) {
  Impl_->noteLateEnds(Report, Reply);
}
void JobLeader::observe(const ServerReport &Report) { Impl_->observe(Report); }
void JobLeader::noteBehind() { Impl_->noteBehind(); }
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
bool JobLeader::isLeading() const { return Impl_->isLeading(); }
std::optional<std::uint64_t> JobLeader::findFencingToken() const {
  return Impl_->findFencingToken();
}
