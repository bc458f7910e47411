#include "jobservice/StarvedFleet.h"

#include <numeric>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

/// The timeout of a call on the link between a relay and the leader.
static constexpr Duration CallTimeout = 800ms;
/// A request to a member that has not handled it by then has failed.
static constexpr Duration RequestTimeout = 500ms;
static constexpr Duration TimeoutCheckInterval = 250ms;
static constexpr Duration JobInterval = 60ms;
static constexpr int TasksPerJob = 8;
/// A task with this many crashed servers may be given up.
static constexpr std::size_t MaxCrashes = 3;
/// Reading a report takes a fifth of its cost, even if it is not handled.
static constexpr int ReadCostDivisor = 5;

static std::string nameRelay(int Number) {
  return "relay" + std::to_string(Number);
}

replication::ReplicaStatus StarvedFleet::getStatus() const {
  replication::ReplicaStatus Status;
  Status.IsLeader_ = true;
  Status.Members_ = {{{"me", 1}, replication::MemberRole::Voter}};
  for (std::size_t I = 0; I < RelayExecutors_.size(); ++I) {
    const std::string Name = nameRelay(static_cast<int>(I));
    Status.Members_.push_back({{Name, 1}, replication::MemberRole::Voter});
    const bool IsSilent =
        RelayExecutors_[I]->isStopped() && Scenario_.AreStoppedRelaysLost_;
    recordSilence(Status, Name,
                  IsSilent ? Time_.now() - RelayStoppedAt_ : Duration(0));
  }
  return Status;
}

void StarvedFleet::sendFlushRequest(const std::string &Member,
                                    const FlushRequest &Request,
                                    const std::function<void()> &Failed) {
  for (std::size_t I = 0; I < Relays_.size(); ++I) {
    if (nameRelay(static_cast<int>(I)) != Member)
      continue;
    const auto IsHandled = std::make_shared<bool>(false);
    deliver(I, [this, I, Request, IsHandled] {
      *IsHandled = true;
      Relays_[I]->flushServers(Request);
    });
    if (*IsHandled)
      return;
    Strand_.postAfter(RequestTimeout, [IsHandled, Failed] {
      if (!*IsHandled)
        Failed();
    });
  }
}

void StarvedFleet::deliver(std::size_t Relay,
                           const std::function<void()> &Task) {
  RelayExecutor &Target = *RelayExecutors_[Relay];
  if (!Target.isStopped() || !Scenario_.AreStoppedRelaysLost_)
    Target.run(Task);
}

/// Stops and resumes relays, one at a time.
void StarvedFleet::stopRelays() {
  const TimePoint Now = Time_.now();
  RelayExecutor &Stopped = *RelayExecutors_[StoppedRelay_];
  if (Stopped.isStopped() &&
      Now - RelayStoppedAt_ >= Scenario_.RelayStopTime_) {
    NextRelayStop_ = Now + Scenario_.RelayStopPause_;
    Stopped.resume();
    Strand_.runAll();
  }
  if (Stopped.isStopped() || Now < NextRelayStop_)
    return;
  StoppedRelay_ = drawBelow(Relays);
  RelayStoppedAt_ = Now;
  RelayExecutors_[StoppedRelay_]->stop();
}

static JobLeaderSettings makeSettings(const FleetScenario &Scenario) {
  JobLeaderSettings Settings;
  Settings.Lease_ = Scenario.Lease_;
  return Settings;
}

StarvedFleet::StarvedFleet(const FleetScenario &Scenario)
    : Scenario_(Scenario), Random_(Scenario.Seed_),
      Settings_(makeSettings(Scenario)),
      Flush_(
          "me", Time_, [this] { return getStatus(); },
          [this](const std::string &Member, const FlushRequest &Request,
                 const std::function<void()> &Failed) {
            sendFlushRequest(Member, Request, Failed);
          }),
      Leader_(Settings_, Time_, Strand_, Replica_, Machine_, Advisor_,
              Provider_, Flush_, Log_, Meter_),
      Inbox_(
          Time_, Meter_, [this](ReportBatch Batch, ReportInbox::Reply Reply) {
            InProgress_ = BatchInProgress{std::move(Batch), std::move(Reply)};
          }) {
  for (std::size_t I = 0; I < Relays; ++I) {
    RelayExecutors_.push_back(std::make_unique<RelayExecutor>(Strand_));
    Relays_.push_back(std::make_shared<ReportRelay>(
        *RelayExecutors_[I], Time_,
        [this, I](ReportBatch Batch, Duration, ReportRelay::BatchDone Done) {
          receive(I, std::move(Batch), std::move(Done));
        }));
  }
  Leader_.start();
  Strand_.advance(100ms);
  Leader_.putConfiguration(jobs::test::makeConfiguration(),
                           [](const Outcome<void> &) {});
  Strand_.runAll();
  Replica_.IsHeld_ = true;
  Servers_.resize(static_cast<std::size_t>(Scenario.Servers_));
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Servers_[I].Id_ = "i-" + std::to_string(I) + "-0";
    Servers_[I].StartedAt_ = Time_.now();
    if (Scenario_.KeepsIds_)
      Servers_[I].BornMs_ = 1;
    Servers_[I].Relay_ = static_cast<int>(I) % Relays;
    Servers_[I].NextReport_ =
        Time_.now() + 10ms * static_cast<int>(drawBelow(50));
    Servers_[I].AnsweredAt_ = Time_.now();
  }
  StartedAt_ = LeaderFreeAt_ = Time_.now();
  NextFault_ = Time_.now() + 3s;
  NextRelayStop_ = Time_.now() + 3s;
}

void StarvedFleet::run() {
  const TimePoint End = Time_.now() + Scenario_.Length_;
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
    NextCommit_ = Now + Scenario_.CommitInterval_;
    Replica_.commitAll();
    Strand_.runAll();
  }
  if (Now >= NextJob_) {
    NextJob_ = Now + JobInterval;
    submitJob();
    if (drawBelow(4) == 0)
      cancelRandomJob();
  }
  if (Scenario_.HasFaults_ && Now >= NextFault_) {
    NextFault_ = Now + Scenario_.FaultInterval_;
    injectFault();
  }
  if (Scenario_.RelayStopTime_ > Duration(0))
    stopRelays();
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Server &Backend = Servers_[I];
    if (Backend.IsGone_)
      continue;
    endRuns(Backend);
    if (Backend.IsWaiting_ && Now - Backend.SentAt_ > Server::ReportTimeout) {
      Backend.IsWaiting_ = false;
      Backend.Relay_ = (Backend.Relay_ + 1) % Relays;
      Backend.NextReport_ = Now;
    }
    if (!Backend.IsWaiting_ && Backend.NextReport_ <= Now)
      report(I);
  }
  runLeader();
  updateObservations();
  if (Now < NextTimeoutCheck_)
    return;
  NextTimeoutCheck_ = Now + TimeoutCheckInterval;
  Flush_.retryExpired();
  std::erase_if(Collectors_, [Now](const auto &Collector) {
    Collector->sendIfOverdue(Now);
    return Collector->isSent();
  });
}

Duration StarvedFleet::getReportCost() const {
  const Duration Passed = Time_.now() - StartedAt_;
  const bool IsSlow =
      Passed >= Scenario_.SlowFrom_ && Passed < Scenario_.SlowUntil_;
  return IsSlow ? Scenario_.SlowReportCost_ : Scenario_.ReportCost_;
}

/// Updates the maxima from the current state of the servers.
void StarvedFleet::updateObservations() {
  const TimePoint Now = Time_.now();
  StartsBySecond_.resize(
      static_cast<std::size_t>((Now - StartedAt_) / Duration(1s)) + 1);
  for (const Server &Backend : Servers_) {
    if (Backend.IsGone_)
      continue;
    MaxTimeWithoutLease_ =
        std::max(MaxTimeWithoutLease_, Now - Backend.AnsweredAt_);
    for (const auto &[Task, Run] : Backend.Running_) {
      Histories_[Task].LastRunning_ = Now;
      const auto Cancelled = Cancelled_.find(Task.Job_);
      if (Cancelled != Cancelled_.end())
        MaxTimeAfterCancel_ =
            std::max(MaxTimeAfterCancel_, Now - Cancelled->second);
    }
  }
  for (const TaskKey &Task : LongRunningTasks_) {
    if (Cancelled_.count(Task.Job_) != 0 || mayBeGivenUp(Task))
      continue;
    TaskHistory &History = Histories_[Task];
    if (isGone(History.PlacedOn_))
      History.LastRunning_ = std::max(History.LastRunning_, History.PlacedAt_);
    MaxDowntime_ = std::max(MaxDowntime_, Now - History.LastRunning_);
  }
}

bool StarvedFleet::mayBeGivenUp(const TaskKey &Task) const {
  return Machine_.read([&Task](const JobRegistry &Registry) {
    const TaskRecord *Record = Registry.findTask(Task);
    return Record && Record->Crashes_.size() >= MaxCrashes;
  });
}

void StarvedFleet::recordPlacement(const Event &Started) {
  if (Started.Outcome_ != "placed")
    return;
  // Jobs of the fleet have one step, so the last part of the name is the index.
  const std::string Index = Started.Task_.substr(Started.Task_.rfind('.') + 1);
  TaskHistory &History = Histories_[{Started.Job_, 0, 0, std::stoull(Index)}];
  History.PlacedOn_ = Started.Server_;
  History.PlacedAt_ = Time_.now();
}

bool StarvedFleet::isGone(const std::string &Id) const {
  return std::none_of(
      Servers_.begin(), Servers_.end(), [&Id](const Server &Backend) {
        return Backend.getIncarnation() == Id && !Backend.IsGone_;
      });
}

void StarvedFleet::receive(std::size_t Relay, ReportBatch Batch,
                           ReportRelay::BatchDone Done) {
  const TimePoint Now = Time_.now();
  const auto Shared = std::make_shared<ReportRelay::BatchDone>(std::move(Done));
  Calls_.push_back({Shared, Now, Relay});
  LeaderFreeAt_ = std::max(LeaderFreeAt_, Now) +
                  getReportCost() / ReadCostDivisor *
                      static_cast<int>(Batch.Reports_.size());
  LeaderQueue_.post(
      [this, Relay, Shared, Now, Sent = std::move(Batch)]() mutable {
        Inbox_.add(std::move(Sent), Now,
                   [this, Relay, Shared](const ReportBatchReply &Reply) {
                     deliver(Relay, [Shared, Reply] {
                       if (*Shared)
                         std::exchange(*Shared, nullptr)(Reply);
                     });
                   });
      });
}

/// Returns the number of reports that cost more than reading them. A late
/// report does so only if it lists an ended task that the leader does not know
/// as done.
int StarvedFleet::countHandled(const ReportBatch &Batch) const {
  return Machine_.read([&Batch](const JobRegistry &Registry) {
    int Count = static_cast<int>(Batch.Reports_.size() - Batch.LateReports_);
    for (std::size_t I = 0; I < Batch.LateReports_; ++I) {
      const std::vector<EndedTask> &Ends = Batch.Reports_[I].Ended_;
      Count +=
          std::any_of(Ends.begin(), Ends.end(), [&Registry](const auto &End) {
            const TaskRecord *Task = Registry.findTask(End.End_.Task_);
            return Task && Task->State_ != TaskState::Done;
          });
    }
    return Count;
  });
}

/// Lets the leader work until it has used up its time budget.
void StarvedFleet::runLeader() {
  const TimePoint Now = Time_.now();
  for (const Call &Pending : Calls_)
    if (*Pending.Done_ && Now - Pending.SentAt_ > CallTimeout &&
        !RelayExecutors_[Pending.Relay_]->isStopped())
      std::exchange(*Pending.Done_, nullptr)(fail(ErrorCode::Timeout, "late"));
  std::erase_if(Calls_, [](const Call &Pending) { return !*Pending.Done_; });
  while (LeaderFreeAt_ <= Now) {
    if (InProgress_) {
      handleBatch(std::move(*std::exchange(InProgress_, std::nullopt)));
      continue;
    }
    if (LeaderQueue_.isIdle())
      return;
    LeaderFreeAt_ = std::max(LeaderFreeAt_, Now - Step);
    LeaderQueue_.runNext();
    if (InProgress_)
      LeaderFreeAt_ += getReportCost() * (ReadCostDivisor - 1) /
                       ReadCostDivisor * countHandled(InProgress_->Batch_);
  }
}

void StarvedFleet::handleBatch(BatchInProgress Next) {
  const auto Collector = AnswerCollector::handleBatch(
      std::move(Next.Batch_), Leader_, Flush_, Time_,
      [this, Reply = std::move(Next.Reply_)](ReportBatchReply Answers) {
        Answers.AwaitingStop_ = Leader_.listAwaitingStop();
        Reply(std::move(Answers));
      });
  if (!Collector->isSent())
    Collectors_.push_back(Collector);
  Strand_.runAll();
}

void StarvedFleet::submitJob() {
  const std::string Id = "job" + std::to_string(Jobs_.size());
  StepSpec Step = jobs::test::makeStep(TasksPerJob, 1000);
  const bool IsLongRunning =
      drawBelow(10) == 0 && (Scenario_.MaxLongRunningJobs_ == 0 ||
                             LongRunningJobs_ < Scenario_.MaxLongRunningJobs_);
  Step.LongRunning_ = IsLongRunning;
  LongRunningJobs_ += IsLongRunning ? 1 : 0;
  Jobs_.push_back(Id);
  Leader_.call({CallKind::Submit, jobs::test::Host,
                std::string(jobs::test::Prefix) + Id,
                jobs::test::makeJob("", {Step})},
               [](const Outcome<JobCallReply> &) {});
}

void StarvedFleet::cancelRandomJob() {
  const std::string Id = Jobs_[drawBelow(Jobs_.size())];
  Leader_.call({CallKind::Cancel, jobs::test::Host,
                std::string(jobs::test::Prefix) + Id,
                jobs::test::makeJob("", {})},
               [this, Id](const Outcome<JobCallReply> &Reply) {
                 const bool IsCancelled =
                     Machine_.read([&Id](const JobRegistry &Registry) {
                       const JobRecord *Job = Registry.findJob(Id);
                       return Job && Job->State_ == JobState::Cancelled;
                     });
                 if (Reply && IsCancelled)
                   Cancelled_.try_emplace(Id, Time_.now());
               });
}

/// Makes a random server leave at once with running tasks, or fall silent, and
/// restarts some of the lost servers as new incarnations.
void StarvedFleet::injectFault() {
  for (Server &Backend : Servers_)
    if (Backend.IsGone_ && drawBelow(4) == 0)
      restartServer(Backend);
  const std::size_t Number = drawBelow(Servers_.size());
  Server &Backend = Servers_[Number];
  if (Backend.IsGone_)
    return;
  ++ServersLost_;
  if (drawBelow(2) == 0) {
    Backend.IsGone_ = true;
    return;
  }
  // When the leave request arrives, the server's last report is either in
  // flight or queued, or it was deferred or lost and no other follows.
  if (!Backend.IsWaiting_ && drawBelow(2) == 0)
    report(Number);
  removeServer(Backend);
}

void StarvedFleet::removeServer(Server &Backend) {
  Backend.IsGone_ = true;
  Leader_.leave(Backend.getIncarnation(), [](const Outcome<void> &) {});
  for (const EndedTask &End : Backend.Ended_)
    if (End.End_.Outcome_ == RunOutcome::Done &&
        End.Number_ <= Backend.LastReportedEnd_)
      recordCompletion(End.End_);
  Strand_.runAll();
}

void StarvedFleet::restartServer(Server &Backend) {
  Server NewServer;
  const std::size_t Dash = Backend.Id_.rfind('-');
  NewServer.Id_ =
      Scenario_.KeepsIds_
          ? Backend.Id_
          : Backend.Id_.substr(0, Dash + 1) +
                std::to_string(std::stoi(Backend.Id_.substr(Dash + 1)) + 1);
  NewServer.BornMs_ = Scenario_.KeepsIds_ ? Backend.BornMs_ + 1 : 0;
  NewServer.StartedAt_ = Time_.now();
  NewServer.Relay_ = static_cast<int>(drawBelow(Relays));
  NewServer.NextReport_ = Time_.now();
  NewServer.AnsweredAt_ = Time_.now();
  Backend = std::move(NewServer);
}

/// Records that a task is done. It is a violation if a later run has started
/// before.
void StarvedFleet::recordCompletion(const TaskEnd &End) {
  TaskHistory &History = Histories_[End.Task_];
  History.IsDone_ = true;
  if (History.LastRun_ > End.Run_)
    recordViolation("started again before it was acknowledged as done",
                    End.Task_);
}

void StarvedFleet::recordViolation(const std::string &Violation,
                                   const TaskKey &Task) {
  Violations_.push_back(Task.Job_ + "." + std::to_string(Task.Index_) + " " +
                        Violation + " at " +
                        std::to_string(std::chrono::duration<double>(
                                           Time_.now().time_since_epoch())
                                           .count()));
}
