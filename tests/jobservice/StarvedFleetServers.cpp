// The servers of StarvedFleet, with their side of the protocol.

#include "jobservice/StarvedFleet.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

void StarvedFleet::endRuns(Server &Backend) {
  const Server::EndedRuns Ended = Backend.endDueRuns(Time_.now());
  if (Ended.HasLeaseExpired_)
    LeasesLost_ += Ended.Count_ == 0 ? 0 : 1;
  else
    Done_ += Ended.Count_;
}

void StarvedFleet::report(std::size_t Number) {
  Server &Backend = Servers_[Number];
  const ServerReport Report = Backend.makeReport(Number, Time_.now());
  Backend.LastReportedEnd_ = Backend.LastEnd_;
  const auto Relay = static_cast<std::size_t>(Backend.Relay_);
  deliver(Relay, [this, Relay, Report, Number] {
    Relays_[Relay]->add(Report, [this, Number, Id = Report.Facts_.Id_,
                                 Sequence = Report.Sequence_](
                                    const Outcome<ServerOrders> &Answer) {
      if (Servers_[Number].getIncarnation() == Id)
        handleAnswer(Number, Sequence, Answer);
    });
  });
}

void StarvedFleet::handleAnswer(std::size_t Number, std::uint64_t Sequence,
                                const Outcome<ServerOrders> &Answer) {
  Server &Backend = Servers_[Number];
  const TimePoint Now = Time_.now();
  if (!Backend.awaitsAnswer(Sequence, Now))
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
  Backend.acknowledge(Orders, Now);
  if (Orders.LeaseMs_ == 0)
    return;
  Backend.AnsweredAt_ = Now;
  Backend.extendLease(std::chrono::milliseconds(Orders.LeaseMs_));
  for (const StopOrder &Stop : Orders.Stops_)
    Backend.stop(Stop, Now);
  for (const StartOrder &Start : Orders.Starts_)
    startRun(Backend, Start);
}

void StarvedFleet::startRun(Server &Backend, const StartOrder &Start) {
  if (!Backend.accepts(Start))
    return;
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
