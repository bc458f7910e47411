// The servers of StarvedFleet, with their side of the protocol.

#include "jobservice/StarvedFleet.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

void StarvedFleet::endRuns(Server &Backend) {
  const TimePoint Now = Time_.now();
  std::vector<TaskKey> Ended;
  if (Backend.HasLease_ && Now >= Backend.LeaseEnd_) {
    Backend.HasLease_ = false;
    LeasesLost_ += Backend.Running_.empty() ? 0 : 1;
    for (const auto &[Task, Run] : Backend.Running_)
      Ended.push_back(Task);
    for (const TaskKey &Task : Ended)
      endRun(Backend, Task, RunOutcome::LeaseExpired);
    return;
  }
  for (const auto &[Task, Run] : Backend.Running_)
    if (Run.EndsAt_ <= Now)
      Ended.push_back(Task);
  for (const TaskKey &Task : Ended)
    endRun(Backend, Task, RunOutcome::Done);
}

void StarvedFleet::endRun(Server &Backend, const TaskKey &Task,
                          RunOutcome How) {
  const std::uint64_t Run = Backend.Running_.at(Task).Number_;
  Backend.Running_.erase(Task);
  Backend.Ended_.push_back({++Backend.LastEnd_, {Task, Run, How, ""}});
  if (!Backend.IsWaiting_)
    Backend.NextReport_ = std::min(Backend.NextReport_, Time_.now() + 50ms);
  Done_ += How == RunOutcome::Done ? 1 : 0;
}

void StarvedFleet::report(std::size_t Number) {
  Server &Backend = Servers_[Number];
  ServerReport Report;
  Report.Facts_ = jobs::test::makeServer(Backend.Id_);
  Report.Facts_.Address_ = "place" + std::to_string(Number) + ":1";
  Report.Sequence_ = ++Backend.Sequence_;
  for (const auto &[Task, Run] : Backend.Running_)
    Report.Running_.push_back(
        {Task, Run.Number_, "", Run.IsLongRunning_ ? 100U : 50U, 0});
  Report.Ended_ = Backend.Ended_;
  Backend.LastReportedEnd_ = Backend.LastEnd_;
  Backend.IsWaiting_ = true;
  Backend.SentAt_ = Time_.now();
  const auto Relay = static_cast<std::size_t>(Backend.Relay_);
  deliver(Relay, [this, Relay, Report, Number] {
    Relays_[Relay]->add(Report, [this, Number, Id = Report.Facts_.Id_,
                                 Sequence = Report.Sequence_](
                                    const Outcome<ServerOrders> &Answer) {
      if (Servers_[Number].Id_ == Id)
        handleAnswer(Number, Sequence, Answer);
    });
  });
}

void StarvedFleet::handleAnswer(std::size_t Number, std::uint64_t Sequence,
                                const Outcome<ServerOrders> &Answer) {
  Server &Backend = Servers_[Number];
  const TimePoint Now = Time_.now();
  if (Backend.IsGone_ || Sequence != Backend.Sequence_ || !Backend.IsWaiting_ ||
      Now - Backend.SentAt_ > ReportTimeout)
    return;
  Backend.IsWaiting_ = false;
  if (!Answer) {
    Backend.Relay_ = (Backend.Relay_ + 1) % Relays;
    Backend.NextReport_ = Now + 100ms;
    return;
  }
  const ServerOrders &Orders = Answer.value();
  for (const EndedTask &End : Backend.Ended_)
    if (End.Number_ <= Orders.EndsNoted_ &&
        End.End_.Outcome_ == RunOutcome::Done)
      recordCompletion(End.End_);
  std::erase_if(Backend.Ended_, [&Orders](const EndedTask &End) {
    return End.Number_ <= Orders.EndsNoted_;
  });
  const bool HasNews = !Backend.Ended_.empty() || !Orders.Starts_.empty();
  Backend.NextReport_ =
      Now + (HasNews ? 50ms : std::chrono::milliseconds(Orders.NextReportMs_));
  if (Orders.LeaseMs_ == 0)
    return;
  Backend.HasLease_ = true;
  Backend.AnsweredAt_ = Now;
  Backend.LeaseEnd_ =
      std::max(Backend.LeaseEnd_,
               Backend.SentAt_ + std::chrono::milliseconds(Orders.LeaseMs_));
  for (const StopOrder &Stop : Orders.Stops_) {
    std::uint64_t &HighestRun = Backend.HighestRunNumbers_[Stop.Task_];
    HighestRun = std::max(HighestRun, Stop.Run_);
    const auto It = Backend.Running_.find(Stop.Task_);
    if (It != Backend.Running_.end() && It->second.Number_ == Stop.Run_)
      endRun(Backend, Stop.Task_, RunOutcome::Stopped);
  }
  for (const StartOrder &Start : Orders.Starts_)
    startRun(Backend, Start);
}

void StarvedFleet::startRun(Server &Backend, const StartOrder &Start) {
  std::uint64_t &HighestRun = Backend.HighestRunNumbers_[Start.Task_];
  if (Start.Run_ <= HighestRun)
    return;
  HighestRun = Start.Run_;
  const TimePoint Now = Time_.now();
  for (const Server &Other : Servers_)
    if (!Other.IsGone_ && Other.Running_.count(Start.Task_) != 0)
      recordViolation("runs on two servers", Start.Task_);
  TaskHistory &History = Histories_[Start.Task_];
  History.LastRun_ = std::max(History.LastRun_, Start.Run_);
  if (History.IsDone_)
    recordViolation("started after it was acknowledged as done", Start.Task_);
  const auto Cancelled = Cancelled_.find(Start.Task_.Job_);
  if (Cancelled != Cancelled_.end() && Now - Cancelled->second > MaxCancelDelay)
    recordViolation("started after its job was cancelled", Start.Task_);
  const bool IsLongRunning =
      Machine_.read([&Start](const JobRegistry &Registry) {
        const StepSpec *Step = Registry.findStep(Start.Task_);
        return Step && Step->LongRunning_;
      });
  Backend.Running_[Start.Task_] = {
      Start.Run_,
      IsLongRunning ? TimePoint::max()
                    : Now + 10ms * static_cast<int>(20 + drawBelow(180)),
      IsLongRunning};
  History.LastRunning_ = Now;
  if (IsLongRunning)
    LongRunningTasks_.insert(Start.Task_);
  ++Started_;
  ++StartsBySecond_.back();
}
