#include "tulipweir/jobs/JobLeader.h"

#include "jobs/Dispatcher.h"
#include "jobs/Newcomers.h"
#include "jobs/PaceGuard.h"
#include "jobs/PaceSetter.h"
#include "jobs/ServerBoard.h"
#include "replication/LeaderWatch.h"

#include <algorithm>
#include <array>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// How often leadership, leases and due times are looked at.
static constexpr Duration TickInterval = 50ms;
/// A server that refused a start is left alone for so long: its room is not
/// what we think.
static constexpr Duration RefusalPause = 500ms;
/// How long a server that leaves is waited for: a report takes some
/// milliseconds, also over a queue of others.
static constexpr Duration LeavePause = 150ms;
/// How soon a life that claims a taken address is asked again.
static constexpr std::uint64_t NewcomerReportMs = 250;
/// A filling task slower than that is moved, if there is room elsewhere, unless
/// it is nearly done.
static constexpr std::uint64_t LeastPaceToStay = 40;
static constexpr std::uint64_t LeastPercentToStay = 90;
/// Told with a refusal that only a newer version of this program ends.
static constexpr std::uint64_t UnsupportedRetryMs = 60'000;
/// Without progress for so long a run stands still: usual runs of 0.6 to 3 s
/// change their percent with every report. Filling ones may have to wait for
/// idle processors, and those that last for their start.
static constexpr Duration StallTime = 2s;
static constexpr Duration StallOfFilling = 6s;
static constexpr Duration StallOfLasting = 4s;
/// On a server that leaves, what is so far done may end by itself, as long as
/// there is more time left than a stop and the way of its report take.
static constexpr std::uint64_t LeastPercentToEnd = 60;
static constexpr std::uint64_t EvacuationMs = 1500;
/// How often, and of how many of the first waiting steps, it is said why they
/// wait.
static constexpr Duration ExplanationInterval = 1s;
static constexpr std::size_t MostExplained = 8;
/// Clocks that are kept in step are slewed by less.
static constexpr Duration NoticedJump = 500ms;
static constexpr std::uint64_t Percent = 100;

static std::string toText(const TaskKey &Task) {
  return std::to_string(Task.Occurrence_) + "." + std::to_string(Task.Step_) +
         "." + std::to_string(Task.Index_);
}

static std::string_view getName(RunEnd How) {
  static constexpr std::array<std::string_view, 8> Names = {
      "done",   "failed", "stopped", "lapsed",
      "broken", "alone",  "refused", "never_ran"};
  return Names.at(static_cast<std::size_t>(How));
}

class JobLeader::Impl : public std::enable_shared_from_this<JobLeader::Impl> {
public:
  Impl(const JobLeaderSettings &Settings, const Clock &Time, Executor &Strand,
       replication::Replica &Group, const JobMachine &Machine, EventLog &Log,
       JobMeter &Meter)
      : Settings_(Settings), Time_(Time), Strand_(Strand), Group_(Group),
        Machine_(Machine), Log_(Log), Meter_(Meter),
        Watch_(Group, Strand,
               {[this](std::uint64_t Term) { beginLeading(Term); },
                [this] { endLeading(); }}) {}

  void start() { tick(); }
  void call(JobCall Call, Done<JobCallReply> Reply);
  void report(ServerReport Report, Done<ServerOrders> Reply);
  void leave(const std::string &ServerId, Done<void> Reply);
  void putConfiguration(Configuration Value, Done<void> Reply);
  void readConfiguration(const Done<Configuration> &Reply);
  bool isLeading() const;

private:
  using ResultCallback = std::function<void(Outcome<CommandResult>)>;
  /// A report on its way to its answer.
  struct Handling {
    ServerReport Report_;
    Done<ServerOrders> Reply_;
    TimePoint ArrivedAt_;
    bool IsStale_ = false;
  };
  using HandlingPtr = std::shared_ptr<Handling>;

  /// How long a server whose clock is slow may count on a lease.
  Duration getLongestLease() const;
  void beginLeading(std::uint64_t Term);
  void endLeading();
  void tick();
  void watchClock();
  void explainWaits();
  void removeLapsed();
  void openDue();
  void startGang();
  void forgetEnded();
  /// IsOver: for good, so that what may still come of it is late.
  void removeServer(const std::string &Id, const std::string &Why, bool IsOver,
                    ResultCallback Done);
  void propose(const Command &Value, ResultCallback Done);
  auto failNotLeading() const;

  void submit(JobCall Call, const Done<JobCallReply> &Reply);
  void show(const JobCall &Call, const Done<JobCallReply> &Reply) const;
  void cancel(const JobCall &Call, const Done<JobCallReply> &Reply);

  void noteLateEnds(const ServerReport &Report,
                    const Done<ServerOrders> &Reply);
  void admit(const HandlingPtr &Current);
  bool takeOver(const std::string &Occupant, const ServerFacts &Newcomer);
  void addServer(const HandlingPtr &Current);
  void noteEnds(const HandlingPtr &Current);
  void startTasks(const HandlingPtr &Current);
  void answer(const HandlingPtr &Current);
  void noteEnded(const std::string &Job, Counted How);
  void noteStarted(const TaskStart &Start, bool IsTaken);
  void logEnds(const std::string &Server, const std::vector<TaskEnd> &Ends);
  void noteHealth(const EndTasks &Ended);
  void noteSick(const std::string &Server, const std::string &Job,
                const char *Why);
  void logQuarantine(const std::string &Server, const std::string &Job,
                     const char *Why);
  bool isStalled(const JobBook &Book, const std::string &Server,
                 const RunningTask &Running) const;
  static bool isToEvacuate(const JobBook &Book, const ServerReport &Report,
                           const RunningTask &Running);
  /// Images: those that serve there.
  bool isToMove(const JobBook &Book, const std::set<std::string> &Images,
                const ServerReport &Report, const RunningTask &Running);
  ServerOrders makeOrders(const ServerReport &Report,
                          std::vector<TaskEnd> &NeverRan);

  const JobLeaderSettings Settings_;
  const Clock &Time_;
  Executor &Strand_;
  replication::Replica &Group_;
  const JobMachine &Machine_;
  EventLog &Log_;
  JobMeter &Meter_;
  replication::LeaderWatch Watch_;

  std::uint64_t Term_ = 0;
  ServerBoard Board_;
  TailEffects Effects_;
  PaceGuard Paces_;
  ServerHealth Health_;
  Dispatcher Dispatcher_{Effects_, Paces_, Health_};
  PaceSetter Setter_{Time_, Machine_, Dispatcher_, Log_, Effects_, Paces_};
  Newcomers Newcomers_;
  /// Lives whose end is decided, until that is stored.
  std::set<std::string> Leaving_;
  std::map<std::string, TimePoint> EndedSince_;
  /// Of open jobs that this leader accepted itself.
  std::map<std::string, TimePoint> AcceptedAt_;
  std::set<std::string> Started_; ///< Of these.
  /// What was last said of steps that wait.
  std::map<ReadyStep, std::string> Explained_;
  TimePoint NextExplanation_{};
  /// Wall time less steady time, when it was last looked at.
  std::optional<Duration> WallOffset_;
};

bool JobLeader::Impl::isLeading() const {
  return Watch_.isLeading() && Group_.findLeaseTerm(Time_.now()) == Term_;
}

Duration JobLeader::Impl::getLongestLease() const {
  return Settings_.Lease_ * (Percent + Settings_.ClockDriftPercent_) / Percent;
}

auto JobLeader::Impl::failNotLeading() const {
  return fail(ErrorCode::NotLeader, Group_.getStatus().LeaderName_);
}

void JobLeader::Impl::beginLeading(std::uint64_t Term) {
  Term_ = Term;
  const TimePoint Now = Time_.now();
  Dispatcher_.reset();
  Paces_.reset();
  Effects_.reset();
  Health_.reset();
  Newcomers_.reset();
  Leaving_.clear();
  EndedSince_.clear();
  AcceptedAt_.clear();
  Started_.clear();
  Explained_.clear();
  Machine_.read([&](const JobBook &Book) {
    // An earlier leader's last answer left before this one was elected.
    Board_.reset(Book, Now, getLongestLease());
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

void JobLeader::Impl::tick() {
  Watch_.poll();
  watchClock();
  if (isLeading()) {
    removeLapsed();
    explainWaits();
    openDue();
    startGang();
    forgetEnded();
  }
  Strand_.postAfter(TickInterval, [Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->tick();
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

void JobLeader::Impl::removeServer(const std::string &Id,
                                   const std::string &Why, bool IsOver,
                                   ResultCallback Done) {
  if (IsOver)
    Leaving_.insert(Id);
  if (ServerLive *Live = Board_.find(Id))
    Live->IsRemoving_ = true;
  Event Line;
  Line.Kind_ = EventKind::ServerGone;
  Line.Server_ = Id;
  Line.Reason_ = Why;
  Line.Term_ = Term_;
  if (const ServerLive *Live = Board_.find(Id))
    Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Time_.now() - Live->LastHeard_)
                      .count();
  Log_.write(Line);
  Meter_.add(Counted::ServersGone, 1);
  Meter_.add(Counted::TasksLapsed, Machine_.read([&Id](const JobBook &Book) {
    const ServerRecord *Server = Book.findServer(Id);
    return Server ? Server->Placed_.size() : 0;
  }));
  propose(RemoveServer{Id, Board_.listSaved(Id), IsOver},
          [this, Id, Done = std::move(Done)](Outcome<CommandResult> Result) {
            Leaving_.erase(Id);
            // Unknown or refused: asked again at the next tick.
            if (ServerLive *Live = Board_.find(Id))
              Live->IsRemoving_ = false;
            if (Result)
              Board_.remove(Id);
            Done(std::move(Result));
          });
}

void JobLeader::Impl::removeLapsed() {
  for (const std::string &Id : Board_.listLapsed(Time_.now()))
    removeServer(Id, "silent until its lease ran out", /*IsOver=*/false,
                 [](const Outcome<CommandResult> &) {});
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
    Dispatcher_.prune(Book);
    Dispatcher_.surveySafeRoom(Book, Board_, Time_.now());
    return Dispatcher_.planGang(Book, Board_, Time_.now());
  });
  if (Starts.empty())
    return;
  propose(StartTasks{Starts}, [this, Starts](const Outcome<CommandResult> &) {
    Dispatcher_.settle(Starts);
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

// Clients' calls.

void JobLeader::Impl::call(JobCall Call, Done<JobCallReply> Reply) {
  if (!isLeading())
    return Reply(failNotLeading());
  switch (Call.Kind_) {
  case CallKind::Submit:
    return submit(std::move(Call), Reply);
  case CallKind::Show:
    return show(Call, Reply);
  case CallKind::Cancel:
    return cancel(Call, Reply);
  }
}

/// The queue a call is addressed to; the rest of its path is the job's id.
static const QueuePolicy *findQueue(const JobBook &Book, const JobCall &Call,
                                    JobCallReply &Reply, std::string &Id) {
  const Configuration &Current = Book.configuration();
  const QueuePolicy *Queue = Current.findQueue(Call.Host_, Call.Path_);
  if (Queue)
    Id = Call.Path_.substr(Queue->PathPrefix_.size());
  else
    Reply.Outcome_ = Current.Version_ == 0 ? CallOutcome::NoConfiguration
                                           : CallOutcome::NoQueue;
  return Queue;
}

void JobLeader::Impl::submit(JobCall Call, const Done<JobCallReply> &Reply) {
  JobCallReply Result;
  SubmitJob Command;
  bool NeedsAdvice = false;
  const bool HasQueue = Machine_.read([&](const JobBook &Book) {
    const QueuePolicy *Queue = findQueue(Book, Call, Result, Call.Spec_.Id_);
    if (!Queue)
      return false;
    Command.Host_ = Queue->Host_;
    Command.PathPrefix_ = Queue->PathPrefix_;
    NeedsAdvice = Queue->Advice_.IsNeeded_;
    return true;
  });
  if (!HasQueue)
    return Reply(Result);
  if (NeedsAdvice) {
    Result.Outcome_ = CallOutcome::Refused;
    Result.RetryAfterMs_ = UnsupportedRetryMs;
    Result.Reason_ =
        "the queue needs advice on servers, which is not built yet";
    Event Line;
    Line.Kind_ = EventKind::JobRefused;
    Line.Job_ = Call.Spec_.Id_;
    Line.Reason_ = Result.Reason_;
    Log_.write(Line);
    Meter_.add(Counted::JobsRefused, 1);
    return Reply(Result);
  }
  const Outcome<void> Checked = checkJobSpec(Call.Spec_);
  if (!Checked) {
    Result.Outcome_ = CallOutcome::Invalid;
    Result.Reason_ = Checked.error().Message_;
    return Reply(Result);
  }
  Command.AcceptedMs_ = static_cast<std::uint64_t>(Time_.wallNow().count());
  const std::string Id = Call.Spec_.Id_;
  Command.Spec_ = std::move(Call.Spec_);
  const TimePoint Begin = Time_.now();
  propose(Command,
          [this, Id, Begin, Reply](const Outcome<CommandResult> &Applied) {
            JobCallReply Late;
            if (!Applied)
              return Reply(Applied.error());
            const Verdict Taken = Applied.value().Verdict_;
            if (Taken == Verdict::NotFound)
              Late.Outcome_ = CallOutcome::NoQueue;
            Meter_.add(Taken == Verdict::NotFound ? Counted::JobsRefused
                                                  : Counted::JobsAccepted,
                       Taken == Verdict::AlreadyDone ? 0 : 1);
            Meter_.record(Timed::Acknowledge, Time_.now() - Begin);
            if (Taken == Verdict::Done)
              AcceptedAt_.emplace(Id, Begin);
            Event Line;
            Line.Kind_ = Taken == Verdict::NotFound ? EventKind::JobRefused
                                                    : EventKind::JobAccepted;
            Line.Job_ = Id;
            Line.Term_ = Term_;
            if (Taken == Verdict::NotFound)
              Line.Reason_ = "its queue was dropped meanwhile";
            if (Taken == Verdict::AlreadyDone)
              Line.Reason_ = "it was accepted before";
            Log_.write(Line);
            Reply(Late);
          });
}

void JobLeader::Impl::show(const JobCall &Call,
                           const Done<JobCallReply> &Reply) const {
  Reply(Machine_.read([&](const JobBook &Book) {
    JobCallReply Result;
    std::string Id;
    const QueuePolicy *Queue = findQueue(Book, Call, Result, Id);
    if (!Queue)
      return Result;
    if (Id.empty()) {
      Result.IsCount_ = true;
      Result.Pending_ = Book.countPending(Queue->getKey());
      return Result;
    }
    const JobRecord *Job = Book.findJob(Id);
    if (Job)
      Result.State_ = Job->State_;
    else
      Result.Outcome_ = CallOutcome::NoJob;
    return Result;
  }));
}

void JobLeader::Impl::cancel(const JobCall &Call,
                             const Done<JobCallReply> &Reply) {
  JobCallReply Result;
  std::string Id;
  const bool HasQueue = Machine_.read([&](const JobBook &Book) {
    return findQueue(Book, Call, Result, Id) != nullptr;
  });
  if (!HasQueue)
    return Reply(Result);
  propose(
      CancelJob{Id}, [this, Id, Reply](const Outcome<CommandResult> &Applied) {
        if (!Applied)
          return Reply(Applied.error());
        JobCallReply Late;
        if (Applied.value().Verdict_ == Verdict::NotFound)
          Late.Outcome_ = CallOutcome::NoJob;
        else if (EndedSince_.try_emplace(Id, Time_.now()).second)
          noteEnded(Id, Counted::JobsCancelled);
        Event Line;
        Line.Kind_ = EventKind::JobCancelled;
        Line.Job_ = Id;
        Line.Outcome_ = Applied.value().Verdict_ == Verdict::Done ? "cancelled"
                                                                  : "no change";
        Log_.write(Line);
        Reply(Late);
      });
}

// The configuration.

void JobLeader::Impl::putConfiguration(Configuration Value, Done<void> Reply) {
  if (!isLeading())
    return Reply(failNotLeading());
  const std::uint64_t Version = Value.Version_;
  propose(PutConfiguration{std::move(Value)},
          [this, Version, Reply](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return Reply(Applied.error());
            Event Line;
            Line.Kind_ = EventKind::ConfigurationAccepted;
            Line.Version_ = Version;
            Line.Outcome_ = Applied.value().Verdict_ == Verdict::Done
                                ? "in force"
                                : "not above the version in force";
            Log_.write(Line);
            Reply(succeed());
          });
}

void JobLeader::Impl::readConfiguration(const Done<Configuration> &Reply) {
  if (!isLeading())
    return Reply(failNotLeading());
  Reply(
      Machine_.read([](const JobBook &Book) { return Book.configuration(); }));
}

// Backend servers.

void JobLeader::Impl::leave(const std::string &ServerId, Done<void> Reply) {
  if (!isLeading())
    return Reply(failNotLeading());
  Leaving_.insert(ServerId);
  // Its last report may have been overtaken on the way; an end in it counts.
  Strand_.postAfter(LeavePause, [Weak = weak_from_this(), ServerId, Reply] {
    const std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self || !Self->isLeading())
      return Reply(fail(ErrorCode::NotLeader, ""));
    Self->removeServer(ServerId, "it left", /*IsOver=*/true,
                       [Reply](const Outcome<CommandResult> &Result) {
                         if (!Result)
                           return Reply(Result.error());
                         Reply(succeed());
                       });
  });
}

void JobLeader::Impl::report(ServerReport Report, Done<ServerOrders> Reply) {
  if (!isLeading())
    return Reply(failNotLeading());
  // A late report of a life that is over: what it has done counts, but it is
  // told nothing.
  const std::string &Id = Report.Facts_.Id_;
  const bool IsOver =
      Leaving_.count(Id) != 0 || Machine_.read([&Id](const JobBook &Book) {
        return !Book.findServer(Id) && Book.isOver(Id);
      });
  if (IsOver)
    return noteLateEnds(Report, Reply);
  const auto Current = std::make_shared<Handling>();
  Current->Report_ = std::move(Report);
  Current->Reply_ = std::move(Reply);
  Current->ArrivedAt_ = Time_.now();
  admit(Current);
}

void JobLeader::Impl::noteLateEnds(const ServerReport &Report,
                                   const Done<ServerOrders> &Reply) {
  EndTasks Command{Report.Facts_.Id_, {}};
  for (const EndedTask &Each : Report.Ended_)
    if (Each.End_.How_ == RunEnd::Done)
      Command.Ends_.push_back(Each.End_);
  if (Command.Ends_.empty())
    return Reply(ServerOrders{});
  propose(Command,
          [this, Command, Reply](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return Reply(Applied.error());
            logEnds(Command.Server_, Command.Ends_);
            Reply(ServerOrders{});
          });
}

/// Makes sure that the server is in the log, and no other at its address.
void JobLeader::Impl::admit(const HandlingPtr &Current) {
  const ServerFacts &Facts = Current->Report_.Facts_;
  std::vector<std::string> Replaced;
  const bool IsKnown = Machine_.read([&](const JobBook &Book) {
    const ServerRecord *Known = Book.findServer(Facts.Id_);
    if (!Known)
      for (const auto &[Id, Other] : Book.servers())
        if (Other.Facts_.Address_ == Facts.Address_)
          Replaced.push_back(Id);
    return Known && Known->Facts_ == Facts;
  });
  if (ServerLive *Live = Board_.find(Facts.Id_); Live && Live->IsRemoving_)
    return Current->Reply_(
        fail(ErrorCode::Unavailable, "the server is being removed"));
  if (IsKnown)
    return noteEnds(Current);
  for (const std::string &Occupant : Replaced)
    if (!takeOver(Occupant, Facts)) {
      ServerOrders Later;
      Later.NextReportMs_ = NewcomerReportMs;
      return Current->Reply_(std::move(Later));
    }
  addServer(Current);
}

/// Ends the life at the newcomer's address if the newcomer has proved that it
/// is the later one; else says false.
bool JobLeader::Impl::takeOver(const std::string &Occupant,
                               const ServerFacts &Newcomer) {
  const TimePoint Now = Time_.now();
  const ServerLive *Live = Board_.find(Occupant);
  if (Live && Live->IsRemoving_)
    return true;
  Newcomers_.note(Newcomer.Id_, Live ? Live->LastHeard_ : TimePoint::min(),
                  Now);
  if (!Newcomers_.mayTakeOver(Newcomer.Id_, Now)) {
    Event Line;
    Line.Kind_ = EventKind::ServerWaits;
    Line.Server_ = Newcomer.Id_;
    Line.Reason_ = Occupant + " was heard at its address";
    if (Live)
      Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - Live->LastHeard_)
                        .count();
    Log_.write(Line);
    return false;
  }
  Newcomers_.forget(Newcomer.Id_);
  removeServer(Occupant, "another life runs at its address", /*IsOver=*/true,
               [](const Outcome<CommandResult> &) {});
  return true;
}

void JobLeader::Impl::addServer(const HandlingPtr &Current) {
  const ServerFacts &Facts = Current->Report_.Facts_;
  Event Line;
  Line.Kind_ = EventKind::ServerSeen;
  Line.Server_ = Facts.Id_;
  Line.Reason_ = "rack " + Facts.Rack_ + ", " + Facts.DataCentre_;
  Log_.write(Line);
  propose(AddServer{Facts},
          [this, Current](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return Current->Reply_(Applied.error());
            if (Applied.value().Verdict_ == Verdict::Refused)
              return Current->Reply_(
                  fail(ErrorCode::Unavailable,
                       "another life of the server holds its address"));
            noteEnds(Current);
          });
}

void JobLeader::Impl::noteEnded(const std::string &Job, Counted How) {
  Meter_.add(How, 1);
  Started_.erase(Job);
  const auto Accepted = AcceptedAt_.find(Job);
  if (Accepted == AcceptedAt_.end())
    return;
  Meter_.record(Timed::Finish, Time_.now() - Accepted->second);
  AcceptedAt_.erase(Accepted);
}

void JobLeader::Impl::noteStarted(const TaskStart &Start, bool IsTaken) {
  Meter_.add(IsTaken ? Counted::TasksStarted : Counted::StartsRefused, 1);
  const auto Accepted = AcceptedAt_.find(Start.Task_.Job_);
  if (IsTaken && Accepted != AcceptedAt_.end() &&
      Started_.insert(Start.Task_.Job_).second)
    Meter_.record(Timed::FirstStart, Time_.now() - Accepted->second);
}

void JobLeader::Impl::logEnds(const std::string &Server,
                              const std::vector<TaskEnd> &Ends) {
  for (const TaskEnd &End : Ends) {
    Event Line;
    Line.Kind_ = EventKind::TaskEnded;
    Line.Job_ = End.Task_.Job_;
    Line.Task_ = toText(End.Task_);
    Line.Attempt_ = End.Run_;
    Line.Server_ = Server;
    Line.Outcome_ = getName(End.How_);
    Log_.write(Line);
  }
}

void JobLeader::Impl::noteEnds(const HandlingPtr &Current) {
  const ServerReport &Report = Current->Report_;
  const std::string &Id = Report.Facts_.Id_;
  const TimePoint Now = Time_.now();
  const bool WasDraining = Board_.find(Id) && Board_.find(Id)->IsDraining_;
  Current->IsStale_ = !Board_.note(Report, Now, getLongestLease());
  if (Report.IsDraining_ && !WasDraining && !Current->IsStale_) {
    Event Line;
    Line.Kind_ = EventKind::ServerDraining;
    Line.Server_ = Id;
    Line.Count_ = Report.RemainingMs_;
    Log_.write(Line);
  }
  if (Current->IsStale_)
    return Current->Reply_(ServerOrders{});
  Setter_.note(Report);
  EndTasks Command{Id, {}};
  Machine_.read([&](const JobBook &Book) {
    const ServerRecord *Server = Book.findServer(Id);
    if (!Server)
      return 0;
    for (const EndedTask &Each : Report.Ended_) {
      const auto Placed = Server->Placed_.find(Each.End_.Task_);
      const bool IsPlaced =
          Placed != Server->Placed_.end() && Placed->second == Each.End_.Run_;
      const TaskRecord *Task = Book.findTask(Each.End_.Task_);
      const bool IsLateDone = Each.End_.How_ == RunEnd::Done && Task &&
                              Task->State_ != TaskState::Done;
      if (IsPlaced || IsLateDone)
        Command.Ends_.push_back(Each.End_);
    }
    return 0;
  });
  if (Command.Ends_.empty())
    return startTasks(Current);
  const bool AnyRefused = std::any_of(
      Command.Ends_.begin(), Command.Ends_.end(),
      [](const TaskEnd &End) { return End.How_ == RunEnd::Refused; });
  if (AnyRefused)
    Board_.find(Id)->NoStartsUntil_ = Now + RefusalPause;
  propose(
      Command, [this, Current, Command](const Outcome<CommandResult> &Applied) {
        if (!Applied)
          return Current->Reply_(Applied.error());
        logEnds(Command.Server_, Command.Ends_);
        noteHealth(Command);
        Machine_.read([&](const JobBook &Book) {
          for (const TaskEnd &End : Command.Ends_) {
            const JobRecord *Job = Book.findJob(End.Task_.Job_);
            if (!Job || !isEnded(Job->State_) ||
                !EndedSince_.try_emplace(End.Task_.Job_, Time_.now()).second)
              continue;
            Event Line;
            Line.Kind_ = EventKind::JobEnded;
            Line.Job_ = End.Task_.Job_;
            Line.Outcome_ = Job->State_ == JobState::Completed ? "completed"
                            : Job->State_ == JobState::Failed  ? "failed"
                                                               : "cancelled";
            if (Job->State_ == JobState::Failed)
              Line.Reason_ = "task " + toText(End.Task_) +
                             " has failed as often as its queue allows";
            Log_.write(Line);
            noteEnded(End.Task_.Job_, Job->State_ == JobState::Completed
                                          ? Counted::JobsCompleted
                                          : Counted::JobsFailed);
          }
          return 0;
        });
        startTasks(Current);
      });
}

void JobLeader::Impl::noteHealth(const EndTasks &Ended) {
  const ServerLive *Live = Board_.find(Ended.Server_);
  const TimePoint Now = Time_.now();
  for (const TaskEnd &End : Ended.Ends_) {
    if (End.How_ == RunEnd::Failed)
      Dispatcher_.noteFailure(End.Task_, Ended.Server_, Now);
    if (End.How_ == RunEnd::Failed)
      noteSick(Ended.Server_, End.Task_.Job_, "runs of several jobs failed");
    if (End.How_ != RunEnd::Done || !Live)
      continue;
    const auto Seen = Live->Before_.find(End.Task_);
    const StepSpec *Step = Machine_.read(
        [&End](const JobBook &Book) { return Book.findStep(End.Task_); });
    // What fills goes as fast as others let it, which says nothing of a server.
    const bool IsTelling = Step && !Step->Fills_ &&
                           Seen != Live->Before_.end() &&
                           Seen->second.Run_ == End.Run_;
    const bool WasSick =
        Health_.getFitness(Ended.Server_, Now) != Fitness::Sound;
    const bool IsSick = Health_.noteDone(
        Ended.Server_, End.Task_.Job_, End.Task_.Step_,
        IsTelling ? Now - Seen->second.SeenAt_ : Duration(0), Now);
    if (IsSick)
      logQuarantine(Ended.Server_, End.Task_.Job_,
                    "runs take much longer than elsewhere");
    else if (WasSick &&
             Health_.getFitness(Ended.Server_, Now) == Fitness::Sound) {
      Event Line;
      Line.Kind_ = EventKind::ServerReturned;
      Line.Server_ = Ended.Server_;
      Line.Reason_ = "a run was done there";
      Log_.write(Line);
    }
  }
}

void JobLeader::Impl::noteSick(const std::string &Server,
                               const std::string &Job, const char *Why) {
  if (Health_.noteFailed(Server, Job, Time_.now()))
    logQuarantine(Server, Job, Why);
}

void JobLeader::Impl::logQuarantine(const std::string &Server,
                                    const std::string &Job, const char *Why) {
  Event Line;
  Line.Kind_ = EventKind::ServerQuarantined;
  Line.Server_ = Server;
  Line.Job_ = Job;
  Line.Reason_ = Why;
  Log_.write(Line);
}

/// A run that makes no progress although nothing holds it back.
bool JobLeader::Impl::isStalled(const JobBook &Book, const std::string &Server,
                                const RunningTask &Running) const {
  const StepSpec *Step = Book.findStep(Running.Task_);
  const ServerLive *Live = Board_.find(Server);
  if (!Step || !Live || Step->Gang_)
    return false;
  const auto Found = Live->Progress_.find(Running.Task_);
  if (Found == Live->Progress_.end())
    return false;
  const Duration Still = Time_.now() - Found->second.ChangedAt_;
  if (Step->LongRunning_)
    return Running.Percent_ < Percent && Still >= StallOfLasting;
  if (!Step->Fills_)
    return Still >= StallTime;
  return Still >= StallOfFilling && Paces_.getPace(Server) == FillingPace{};
}

/// Whether the work is better saved now, as its server is about to leave.
bool JobLeader::Impl::isToEvacuate(const JobBook &Book,
                                   const ServerReport &Report,
                                   const RunningTask &Running) {
  const StepSpec *Step = Book.findStep(Running.Task_);
  if (!Report.IsDraining_ || !Step || Step->Gang_)
    return false;
  if (Step->LongRunning_)
    return true;
  const bool MayEndInTime = Running.Percent_ >= LeastPercentToEnd &&
                            Report.RemainingMs_ > EvacuationMs;
  return Step->Checkpointing_ && !MayEndInTime;
}

void JobLeader::Impl::startTasks(const HandlingPtr &Current) {
  const std::string &Id = Current->Report_.Facts_.Id_;
  std::vector<TaskStart> Starts = Machine_.read([&](const JobBook &Book) {
    return Dispatcher_.plan(Book, Board_, Id, Time_.now(), Time_.wallNow());
  });
  if (Starts.empty())
    return answer(Current);
  propose(StartTasks{Starts}, [this, Current,
                               Starts](const Outcome<CommandResult> &Applied) {
    Dispatcher_.settle(Starts);
    if (!Applied)
      return Current->Reply_(Applied.error());
    for (std::size_t I = 0; I < Starts.size(); ++I) {
      Event Line;
      Line.Kind_ = EventKind::TaskStarted;
      Line.Job_ = Starts[I].Task_.Job_;
      Line.Task_ = toText(Starts[I].Task_);
      Line.Attempt_ = Starts[I].Run_;
      Line.Server_ = Starts[I].Server_;
      Line.Outcome_ = Applied.value().Taken_[I] ? "placed" : "refused";
      Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Time_.now() - Current->ArrivedAt_)
                        .count();
      Log_.write(Line);
      noteStarted(Starts[I], Applied.value().Taken_[I]);
    }
    answer(Current);
  });
}

/// Whether a task that hardly works, as it would disturb, can go on elsewhere.
/// A stop costs it nothing, for it makes a checkpoint.
bool JobLeader::Impl::isToMove(const JobBook &Book,
                               const std::set<std::string> &Images,
                               const ServerReport &Report,
                               const RunningTask &Running) {
  const std::string &Id = Report.Facts_.Id_;
  const StepSpec *Step = Book.findStep(Running.Task_);
  const bool IsSlow = Step && Step->Fills_ && Step->Checkpointing_ &&
                      Running.Percent_ < LeastPercentToStay &&
                      Paces_.getPace(Id).Disturbing_ < LeastPaceToStay &&
                      Effects_.isDisturbingAny(Images, Step->Image_);
  if (!IsSlow || !Dispatcher_.takeSafeRoom(*Step))
    return false;
  Meter_.add(Counted::TasksMoved, 1);
  return true;
}

ServerOrders JobLeader::Impl::makeOrders(const ServerReport &Report,
                                         std::vector<TaskEnd> &NeverRan) {
  ServerOrders Orders;
  ServerLive *Live = Board_.find(Report.Facts_.Id_);
  std::map<TaskKey, std::uint64_t> Reported;
  std::map<TaskKey, std::uint64_t> StopsSent;
  std::vector<std::pair<RunningTask, std::string_view>> Stopped;
  for (const RunningTask &Each : Report.Running_)
    Reported[Each.Task_] = Each.Run_;
  Machine_.read([&](const JobBook &Book) {
    const ServerRecord *Server = Book.findServer(Report.Facts_.Id_);
    const std::set<std::string> Images =
        Dispatcher_.findServing(Book, Report.Facts_.Id_);
    const auto IsWanted = [&](const TaskKey &Task, std::uint64_t Run) {
      const auto Placed = Server->Placed_.find(Task);
      const bool IsHere =
          Placed != Server->Placed_.end() && Placed->second == Run;
      return IsHere && !isEnded(Book.findJob(Task.Job_)->State_) &&
             Book.findTask(Task)->State_ != TaskState::Done;
    };
    const auto Stop = [&](const TaskKey &Task, std::uint64_t Run) {
      Orders.Stops_.push_back({Task, Run});
      StopsSent[Task] = Run;
    };
    for (const RunningTask &Each : Report.Running_) {
      const char *Why = nullptr;
      if (!IsWanted(Each.Task_, Each.Run_))
        Why = "it is no longer wanted";
      else if (isStalled(Book, Report.Facts_.Id_, Each))
        Why = "it makes no progress";
      else if (isToEvacuate(Book, Report, Each))
        Why = "its server is about to leave";
      else if (isToMove(Book, Images, Report, Each))
        Why = "it would disturb here and has room elsewhere";
      if (!Why)
        continue;
      Stop(Each.Task_, Each.Run_);
      const auto Before = Live->StopsSent_.find(Each.Task_);
      if (Before == Live->StopsSent_.end() || Before->second != Each.Run_)
        Stopped.emplace_back(Each, Why);
    }
    for (const auto &[Task, Run] : Server->Placed_) {
      const auto Found = Reported.find(Task);
      if (Found != Reported.end() && Found->second == Run)
        continue;
      if (!IsWanted(Task, Run)) {
        const auto Before = Live->StopsSent_.find(Task);
        // Told to stop in an earlier answer, and still not there: the order to
        // start it, if one ever left, can't take effect any more.
        if (Before != Live->StopsSent_.end() && Before->second == Run)
          NeverRan.push_back({Task, Run, RunEnd::NeverRan, ""});
        else
          Stop(Task, Run);
        continue;
      }
      Orders.Starts_.push_back({Task, Run,
                                Book.findJob(Task.Job_)->Spec_.Payload_,
                                Book.findTask(Task)->Checkpoint_, ""});
    }
    return 0;
  });
  Live->StopsSent_ = std::move(StopsSent);
  for (const auto &[Task, Why] : Stopped) {
    Event Line;
    Line.Kind_ = EventKind::TaskStopped;
    Line.Job_ = Task.Task_.Job_;
    Line.Task_ = toText(Task.Task_);
    Line.Attempt_ = Task.Run_;
    Line.Server_ = Report.Facts_.Id_;
    Line.Reason_ = Why;
    Log_.write(Line);
    if (Why == "it makes no progress")
      noteSick(Report.Facts_.Id_, Task.Task_.Job_, "runs stand still");
  }
  return Orders;
}

void JobLeader::Impl::answer(const HandlingPtr &Current) {
  const ServerReport &Report = Current->Report_;
  const std::string &Id = Report.Facts_.Id_;
  const ServerLive *Live = Board_.find(Id);
  const bool IsKnown =
      Live && !Live->IsRemoving_ && Machine_.read([&](const JobBook &Book) {
        return Book.findServer(Id) != nullptr;
      });
  if (!IsKnown)
    return Current->Reply_(
        fail(ErrorCode::Unavailable, "the server is being removed"));
  std::vector<TaskEnd> NeverRan;
  ServerOrders Orders = makeOrders(Report, NeverRan);
  if (!NeverRan.empty())
    propose(EndTasks{Id, NeverRan}, [](const Outcome<CommandResult> &) {});
  Orders.LeaseMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings_.Lease_)
          .count());
  Orders.FencingToken_ = Term_;
  for (const EndedTask &Each : Report.Ended_)
    Orders.EndsNoted_ = std::max(Orders.EndsNoted_, Each.Number_);
  Orders.NextReportMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Settings_.ReportInterval_)
          .count());
  Setter_.addPaces(Report, *Board_.find(Id), Orders);
  // Directly before the promise: another may lead by now.
  const TimePoint Now = Time_.now();
  if (Group_.findLeaseTerm(Now) != Term_)
    return Current->Reply_(failNotLeading());
  Board_.extendLease(Id, Now + getLongestLease());
  Meter_.record(Timed::Heartbeat, Now - Current->ArrivedAt_);
  Current->Reply_(std::move(Orders));
}

JobLeader::JobLeader(const JobLeaderSettings &Settings, const Clock &Time,
                     Executor &Strand, replication::Replica &Group,
                     const JobMachine &Machine, EventLog &Log, JobMeter &Meter)
    : Impl_(std::make_shared<Impl>(Settings, Time, Strand, Group, Machine, Log,
                                   Meter)) {}
JobLeader::~JobLeader() = default;

void JobLeader::start() { Impl_->start(); }
void JobLeader::call(JobCall Call, Done<JobCallReply> Reply) {
  Impl_->call(std::move(Call), std::move(Reply));
}
void JobLeader::report(ServerReport Report, Done<ServerOrders> Reply) {
  Impl_->report(std::move(Report), std::move(Reply));
}
void JobLeader::leave(const std::string &ServerId, Done<void> Reply) {
  Impl_->leave(ServerId, std::move(Reply));
}
void JobLeader::putConfiguration(Configuration Value, Done<void> Reply) {
  Impl_->putConfiguration(std::move(Value), std::move(Reply));
}
void JobLeader::readConfiguration(Done<Configuration> Reply) {
  Impl_->readConfiguration(Reply);
}
bool JobLeader::isLeading() const { return Impl_->isLeading(); }
