#include "jobservice/StarvedFleet.h"

#include <numeric>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

/// As the link between a relay and the leader gives a call up.
static constexpr Duration CallTimeout = 800ms;
static constexpr Duration LookInterval = 250ms;
static constexpr Duration JobInterval = 60ms;
static constexpr int TasksOfAJob = 8;
/// A task with so many crashed servers may be given up.
static constexpr std::size_t CrashesToGiveUp = 3;
/// A fifth of a report's cost is its reading, also where it is not handled.
static constexpr int ReadingParts = 5;

static std::string nameRelay(int Number) {
  return "relay" + std::to_string(Number);
}

static replication::ReplicaStatus makeStatus(int Relays) {
  replication::ReplicaStatus Status;
  Status.IsLeader_ = true;
  Status.Members_ = {{{"me", 1}, replication::MemberRole::Voter}};
  for (int I = 0; I < Relays; ++I)
    Status.Members_.push_back(
        {{nameRelay(I), 1}, replication::MemberRole::Voter});
  return Status;
}

static JobLeaderSettings makeSettings(const FleetDay &Day) {
  JobLeaderSettings Settings;
  Settings.Lease_ = Day.Lease_;
  return Settings;
}

StarvedFleet::StarvedFleet(const FleetDay &Day)
    : Day_(Day), Random_(Day.Seed_), Settings_(makeSettings(Day)),
      Flush_(
          "me", Time_, [] { return makeStatus(Relays); },
          [this](const std::string &Member, const FlushRequest &Request,
                 const std::function<void()> &) {
            for (int I = 0; I < Relays; ++I)
              if (nameRelay(I) == Member)
                Relays_[static_cast<std::size_t>(I)]->flushServers(Request);
          }),
      Leader_(Settings_, Time_, Strand_, Group_, Machine_, Advisor_, Provider_,
              Flush_, Log_, Meter_),
      Inbox_(Time_, Meter_,
             [this](ReportBatch Batch, ReportInbox::Reply Reply) {
               InHand_ = InHand{std::move(Batch), std::move(Reply)};
             }) {
  for (int I = 0; I < Relays; ++I)
    Relays_.push_back(std::make_shared<ReportRelay>(
        Strand_, Time_,
        [this](ReportBatch Batch, Duration, ReportRelay::BatchDone Done) {
          receive(std::move(Batch), std::move(Done));
        }));
  Leader_.start();
  Strand_.advance(100ms);
  Leader_.putConfiguration(jobs::test::makeConfiguration(),
                           [](const Outcome<void> &) {});
  Strand_.runAll();
  Group_.IsHeld_ = true;
  Servers_.resize(static_cast<std::size_t>(Day.Servers_));
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Servers_[I].Id_ = "i-" + std::to_string(I) + "-0";
    Servers_[I].Relay_ = static_cast<int>(I) % Relays;
    Servers_[I].NextReport_ = Time_.now() + 10ms * static_cast<int>(draw(50));
    Servers_[I].AnsweredAt_ = Time_.now();
  }
  Begin_ = FreeFrom_ = Time_.now();
  NextFault_ = Time_.now() + 3s;
}

void StarvedFleet::run() {
  const TimePoint End = Time_.now() + Day_.Length_;
  while (Time_.now() < End)
    step();
}

std::size_t StarvedFleet::countStarts(Duration From, Duration Until) const {
  const auto At = [this](Duration Passed) {
    return std::next(StartsBySecond_.begin(),
                     static_cast<std::ptrdiff_t>(Passed / Duration(1s)));
  };
  return std::accumulate(At(From), At(Until), std::size_t{0});
}

void StarvedFleet::step() {
  Strand_.advance(Step);
  const TimePoint Now = Time_.now();
  if (Now >= NextCommit_) {
    NextCommit_ = Now + Day_.ForACommit_;
    Group_.commitAll();
    Strand_.runAll();
  }
  if (Now >= NextJob_) {
    NextJob_ = Now + JobInterval;
    handIn();
    if (draw(4) == 0)
      cancelOne();
  }
  if (Day_.HasFaults_ && Now >= NextFault_) {
    NextFault_ = Now + Day_.FaultInterval_;
    strike();
  }
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Server &Own = Servers_[I];
    if (Own.IsGone_)
      continue;
    work(Own);
    if (Own.IsWaiting_ && Now - Own.SentAt_ > Patience) {
      Own.IsWaiting_ = false;
      Own.Relay_ = (Own.Relay_ + 1) % Relays;
      Own.NextReport_ = Now;
    }
    if (!Own.IsWaiting_ && Own.NextReport_ <= Now)
      report(I);
  }
  serve();
  observe();
  if (Now < NextLook_)
    return;
  NextLook_ = Now + LookInterval;
  Flush_.retryExpired();
  std::erase_if(Gathers_, [Now](const auto &Each) {
    Each->look(Now);
    return Each->isSent();
  });
}

Duration StarvedFleet::getReportCost() const {
  const Duration Passed = Time_.now() - Begin_;
  const bool IsSlow = Passed >= Day_.SlowFrom_ && Passed < Day_.SlowUntil_;
  return IsSlow ? Day_.SlowReport_ : Day_.ForAReport_;
}

/// Judges what goes on at the moment.
void StarvedFleet::observe() {
  const TimePoint Now = Time_.now();
  StartsBySecond_.resize(
      static_cast<std::size_t>((Now - Begin_) / Duration(1s)) + 1);
  for (const Server &Each : Servers_) {
    if (Each.IsGone_)
      continue;
    LongestWithoutLease_ =
        std::max(LongestWithoutLease_, Now - Each.AnsweredAt_);
    for (const auto &[Task, Own] : Each.Running_) {
      Stories_[Task].AtWork_ = Now;
      const auto Cancelled = Cancelled_.find(Task.Job_);
      if (Cancelled != Cancelled_.end())
        LongestAfterCancel_ =
            std::max(LongestAfterCancel_, Now - Cancelled->second);
    }
  }
  for (const TaskKey &Task : LastingTasks_) {
    if (Cancelled_.count(Task.Job_) != 0 || mayBeGivenUp(Task))
      continue;
    TaskStory &Story = Stories_[Task];
    if (isGone(Story.PlacedOn_))
      Story.AtWork_ = std::max(Story.AtWork_, Story.PlacedAt_);
    LongestAway_ = std::max(LongestAway_, Now - Story.AtWork_);
  }
}

bool StarvedFleet::mayBeGivenUp(const TaskKey &Task) const {
  return Machine_.read([&Task](const JobRegistry &Book) {
    const TaskRecord *Record = Book.findTask(Task);
    return Record && Record->Crashes_.size() >= CrashesToGiveUp;
  });
}

void StarvedFleet::notePlaced(const Event &Started) {
  if (Started.Outcome_ != "placed")
    return;
  // Jobs of the fleet have one step.
  const std::string Index = Started.Task_.substr(Started.Task_.rfind('.') + 1);
  TaskStory &Story = Stories_[{Started.Job_, 0, 0, std::stoull(Index)}];
  Story.PlacedOn_ = Started.Server_;
  Story.PlacedAt_ = Time_.now();
}

bool StarvedFleet::isGone(const std::string &Id) const {
  return std::none_of(
      Servers_.begin(), Servers_.end(),
      [&Id](const Server &Each) { return Each.Id_ == Id && !Each.IsGone_; });
}

void StarvedFleet::receive(ReportBatch Batch, ReportRelay::BatchDone Done) {
  const TimePoint Now = Time_.now();
  const auto Shared = std::make_shared<ReportRelay::BatchDone>(std::move(Done));
  Calls_.push_back({Shared, Now});
  FreeFrom_ =
      std::max(FreeFrom_, Now) +
      getReportCost() / ReadingParts * static_cast<int>(Batch.Reports_.size());
  Work_.post([this, Shared, Now, Sent = std::move(Batch)]() mutable {
    Inbox_.add(std::move(Sent), Now, [Shared](ReportBatchReply Reply) {
      if (*Shared)
        std::exchange(*Shared, nullptr)(std::move(Reply));
    });
  });
}

/// Late reports without ends that are news cost their reading alone.
int StarvedFleet::countHandled(const ReportBatch &Batch) const {
  return Machine_.read([&Batch](const JobRegistry &Book) {
    int Count = static_cast<int>(Batch.Reports_.size() - Batch.LateReports_);
    for (std::size_t I = 0; I < Batch.LateReports_; ++I) {
      const std::vector<EndedTask> &Ends = Batch.Reports_[I].Ended_;
      Count += std::any_of(Ends.begin(), Ends.end(), [&Book](const auto &Each) {
        const TaskRecord *Task = Book.findTask(Each.End_.Task_);
        return Task && Task->State_ != TaskState::Done;
      });
    }
    return Count;
  });
}

/// Lets the leader work for as long as its budget does.
void StarvedFleet::serve() {
  const TimePoint Now = Time_.now();
  for (const Call &Each : Calls_)
    if (*Each.Done_ && Now - Each.SentAt_ > CallTimeout)
      std::exchange(*Each.Done_, nullptr)(fail(ErrorCode::Timeout, "late"));
  std::erase_if(Calls_, [](const Call &Each) { return !*Each.Done_; });
  while (FreeFrom_ <= Now) {
    if (InHand_) {
      handle(std::move(*std::exchange(InHand_, std::nullopt)));
      continue;
    }
    if (Work_.isIdle())
      return;
    FreeFrom_ = std::max(FreeFrom_, Now - Step);
    Work_.runNext();
    if (InHand_)
      FreeFrom_ += getReportCost() * (ReadingParts - 1) / ReadingParts *
                   countHandled(InHand_->Batch_);
  }
}

void StarvedFleet::handle(InHand Next) {
  const auto Gather = ReportGather::decide(
      std::move(Next.Batch_), Leader_, Flush_, Time_,
      [this, Reply = std::move(Next.Reply_)](ReportBatchReply Answers) {
        Answers.AwaitingStop_ = Leader_.listAwaitingStop();
        Reply(std::move(Answers));
      });
  if (!Gather->isSent())
    Gathers_.push_back(Gather);
  Strand_.runAll();
}

void StarvedFleet::handIn() {
  const std::string Id = "job" + std::to_string(Jobs_.size());
  StepSpec Step = jobs::test::makeStep(TasksOfAJob, 1000);
  const bool IsLasting =
      draw(10) == 0 && (Day_.MostLasting_ == 0 || Lasting_ < Day_.MostLasting_);
  Step.LongRunning_ = IsLasting;
  Lasting_ += IsLasting ? 1 : 0;
  Jobs_.push_back(Id);
  Leader_.call({CallKind::Submit, jobs::test::Host,
                std::string(jobs::test::Prefix) + Id,
                jobs::test::makeJob("", {Step})},
               [](const Outcome<JobCallReply> &) {});
}

void StarvedFleet::cancelOne() {
  const std::string Id = Jobs_[draw(Jobs_.size())];
  Leader_.call(
      {CallKind::Cancel, jobs::test::Host, std::string(jobs::test::Prefix) + Id,
       jobs::test::makeJob("", {})},
      [this, Id](const Outcome<JobCallReply> &Reply) {
        const bool IsCancelled = Machine_.read([&Id](const JobRegistry &Book) {
          const JobRecord *Job = Book.findJob(Id);
          return Job && Job->State_ == JobState::Cancelled;
        });
        if (Reply && IsCancelled)
          Cancelled_.try_emplace(Id, Time_.now());
      });
}

/// A server leaves at once with work on it, or falls silent; another life
/// begins at its place some time later.
void StarvedFleet::strike() {
  for (Server &Each : Servers_)
    if (Each.IsGone_ && draw(4) == 0)
      renew(Each);
  const std::size_t Number = draw(Servers_.size());
  Server &Own = Servers_[Number];
  if (Own.IsGone_)
    return;
  ++Left_;
  if (draw(2) == 0) {
    Own.IsGone_ = true;
    return;
  }
  // Its last report is on its way, or kept, when its leaving arrives; or it was
  // deferred or lost, and there is no other.
  if (!Own.IsWaiting_ && draw(2) == 0)
    report(Number);
  leave(Own);
}

void StarvedFleet::leave(Server &Own) {
  Own.IsGone_ = true;
  Leader_.leave(Own.Id_, [](const Outcome<void> &) {});
  for (const EndedTask &Each : Own.Ended_)
    if (Each.End_.Outcome_ == RunOutcome::Done &&
        Each.Number_ <= Own.LastReported_)
      noteDone(Each.End_);
  Strand_.runAll();
}

void StarvedFleet::renew(Server &Own) {
  Server Fresh;
  const std::size_t Dash = Own.Id_.rfind('-');
  Fresh.Id_ = Own.Id_.substr(0, Dash + 1) +
              std::to_string(std::stoi(Own.Id_.substr(Dash + 1)) + 1);
  Fresh.Relay_ = static_cast<int>(draw(Relays));
  Fresh.NextReport_ = Time_.now();
  Fresh.AnsweredAt_ = Time_.now();
  Own = std::move(Fresh);
}

void StarvedFleet::work(Server &Own) {
  const TimePoint Now = Time_.now();
  std::vector<TaskKey> Over;
  if (Own.HasLease_ && Now >= Own.LeaseEnd_) {
    Own.HasLease_ = false;
    LeasesLost_ += Own.Running_.empty() ? 0 : 1;
    for (const auto &[Task, Each] : Own.Running_)
      Over.push_back(Task);
    for (const TaskKey &Each : Over)
      end(Own, Each, RunOutcome::LeaseExpired);
    return;
  }
  for (const auto &[Task, Each] : Own.Running_)
    if (Each.EndsAt_ <= Now)
      Over.push_back(Task);
  for (const TaskKey &Each : Over)
    end(Own, Each, RunOutcome::Done);
}

void StarvedFleet::end(Server &Own, const TaskKey &Task, RunOutcome How) {
  const std::uint64_t Run = Own.Running_.at(Task).Number_;
  Own.Running_.erase(Task);
  Own.Ended_.push_back({++Own.LastEnd_, {Task, Run, How, ""}});
  if (!Own.IsWaiting_)
    Own.NextReport_ = std::min(Own.NextReport_, Time_.now() + 50ms);
  Done_ += How == RunOutcome::Done ? 1 : 0;
}

void StarvedFleet::report(std::size_t Number) {
  Server &Own = Servers_[Number];
  ServerReport Report;
  Report.Facts_ = jobs::test::makeServer(Own.Id_);
  Report.Facts_.Address_ = "place" + std::to_string(Number) + ":1";
  Report.Sequence_ = ++Own.Sequence_;
  for (const auto &[Task, Each] : Own.Running_)
    Report.Running_.push_back(
        {Task, Each.Number_, "", Each.IsLasting_ ? 100U : 50U, 0});
  Report.Ended_ = Own.Ended_;
  Own.LastReported_ = Own.LastEnd_;
  Own.IsWaiting_ = true;
  Own.SentAt_ = Time_.now();
  Relays_[static_cast<std::size_t>(Own.Relay_)]->add(
      Report, [this, Number, Id = Own.Id_,
               Sequence = Own.Sequence_](const Outcome<ServerOrders> &Answer) {
        if (Servers_[Number].Id_ == Id)
          take(Number, Sequence, Answer);
      });
}

void StarvedFleet::take(std::size_t Number, std::uint64_t Sequence,
                        const Outcome<ServerOrders> &Answer) {
  Server &Own = Servers_[Number];
  const TimePoint Now = Time_.now();
  if (Own.IsGone_ || Sequence != Own.Sequence_ || !Own.IsWaiting_ ||
      Now - Own.SentAt_ > Patience)
    return;
  Own.IsWaiting_ = false;
  if (!Answer) {
    Own.Relay_ = (Own.Relay_ + 1) % Relays;
    Own.NextReport_ = Now + 100ms;
    return;
  }
  const ServerOrders &Orders = Answer.value();
  for (const EndedTask &Each : Own.Ended_)
    if (Each.Number_ <= Orders.EndsNoted_ &&
        Each.End_.Outcome_ == RunOutcome::Done)
      noteDone(Each.End_);
  std::erase_if(Own.Ended_, [&Orders](const EndedTask &Each) {
    return Each.Number_ <= Orders.EndsNoted_;
  });
  const bool HasNews = !Own.Ended_.empty() || !Orders.Starts_.empty();
  Own.NextReport_ =
      Now + (HasNews ? 50ms : std::chrono::milliseconds(Orders.NextReportMs_));
  if (Orders.LeaseMs_ == 0)
    return;
  Own.HasLease_ = true;
  Own.AnsweredAt_ = Now;
  Own.LeaseEnd_ = std::max(
      Own.LeaseEnd_, Own.SentAt_ + std::chrono::milliseconds(Orders.LeaseMs_));
  for (const StopOrder &Each : Orders.Stops_) {
    std::uint64_t &Highest = Own.Highest_[Each.Task_];
    Highest = std::max(Highest, Each.Run_);
    const auto Found = Own.Running_.find(Each.Task_);
    if (Found != Own.Running_.end() && Found->second.Number_ == Each.Run_)
      end(Own, Each.Task_, RunOutcome::Stopped);
  }
  for (const StartOrder &Each : Orders.Starts_)
    begin(Own, Each);
}

void StarvedFleet::begin(Server &Own, const StartOrder &Start) {
  std::uint64_t &Highest = Own.Highest_[Start.Task_];
  if (Start.Run_ <= Highest)
    return;
  Highest = Start.Run_;
  const TimePoint Now = Time_.now();
  for (const Server &Each : Servers_)
    if (!Each.IsGone_ && Each.Running_.count(Start.Task_) != 0)
      breakPromise("runs in two places", Start.Task_);
  TaskStory &Story = Stories_[Start.Task_];
  Story.LastBegun_ = std::max(Story.LastBegun_, Start.Run_);
  if (Story.IsDone_)
    breakPromise("begins though its end was noted", Start.Task_);
  const auto Cancelled = Cancelled_.find(Start.Task_.Job_);
  if (Cancelled != Cancelled_.end() && Now - Cancelled->second > CancelTime)
    breakPromise("begins after its job was cancelled", Start.Task_);
  const bool IsLasting = Machine_.read([&Start](const JobRegistry &Book) {
    const StepSpec *Step = Book.findStep(Start.Task_);
    return Step && Step->LongRunning_;
  });
  Own.Running_[Start.Task_] = {
      Start.Run_,
      IsLasting ? TimePoint::max()
                : Now + 10ms * static_cast<int>(20 + draw(180)),
      IsLasting};
  Story.AtWork_ = Now;
  if (IsLasting)
    LastingTasks_.insert(Start.Task_);
  ++Started_;
  ++StartsBySecond_.back();
}

/// An end that is noted now must not have been begun again before.
void StarvedFleet::noteDone(const TaskEnd &End) {
  TaskStory &Story = Stories_[End.Task_];
  Story.IsDone_ = true;
  if (Story.LastBegun_ > End.Run_)
    breakPromise("was done, and begun again before that was noted", End.Task_);
}

void StarvedFleet::breakPromise(const std::string &What, const TaskKey &Task) {
  Broken_.push_back(Task.Job_ + "." + std::to_string(Task.Index_) + " " + What +
                    " at " +
                    std::to_string(std::chrono::duration<double>(
                                       Time_.now().time_since_epoch())
                                       .count()));
}
