// The jobs of ChangingLeaders, and its servers with their side of the protocol.

#include "jobservice/ChangingLeaders.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

static constexpr std::uint64_t TasksPerJob = 8;
static constexpr int Percent = 100;

/// Submits to the leader, as a client that retries does.
void ChangingLeaders::submit(const std::string &Id, bool IsLongRunning) {
  const std::optional<std::size_t> Leader = Group_.findLeader();
  if (!Leader || !Members_[*Leader])
    return;
  StepSpec Step = jobs::test::makeStep(TasksPerJob, 1000);
  Step.LongRunning_ = IsLongRunning;
  Members_[*Leader]->leader().call({CallKind::Submit, jobs::test::Host,
                                    std::string(jobs::test::Prefix) + Id,
                                    jobs::test::makeJob("", {Step})},
                                   [this, Id](const Outcome<JobCallReply> &R) {
                                     if (R)
                                       Submitted_.insert(Id);
                                   });
}

void ChangingLeaders::submitWork() {
  for (std::uint64_t I = 0; I < Scenario_.LongRunningJobs_; ++I) {
    const std::string Id = "long" + std::to_string(I);
    LongRunningJobs_.insert(Id);
    if (Submitted_.count(Id) == 0)
      submit(Id, true);
  }
  submit("job" + std::to_string(NextJobNumber_++), false);
}

void ChangingLeaders::moveOn(Server &Backend, Duration Pause) {
  Backend.IsWaiting_ = false;
  Backend.Home_ = (Backend.Home_ + 1) % Members_.size();
  Backend.NextReport_ = Time_.now() + Pause;
}

void ChangingLeaders::report(std::size_t Number) {
  Server &Backend = Servers_[Number];
  const ServerReport Report = Backend.makeReport(Number, Time_.now());
  const std::uint64_t Incarnation = Backend.Incarnation_;
  const Endpoint From{Endpoint::Kind::Server, Number};
  const Endpoint To{Endpoint::Kind::Member, Backend.Home_};
  send({From, To, MessageKind::Report,
        [this, From, To, Report, Incarnation] {
          Members_[To.Number_]->report(
              Report, [this, From, To, Sequence = Report.Sequence_,
                       Incarnation](const Outcome<ServerOrders> &Answer) {
                send({To,
                      From,
                      MessageKind::Answer,
                      [this, From, Sequence, Incarnation, Answer] {
                        if (Servers_[From.Number_].Incarnation_ == Incarnation)
                          handleAnswer(From.Number_, Sequence, Answer);
                      },
                      {}});
              });
        },
        [this, From, Sequence = Report.Sequence_, Incarnation] {
          if (Servers_[From.Number_].Incarnation_ == Incarnation)
            handleAnswer(From.Number_, Sequence,
                         fail(ErrorCode::Unavailable, "refused"));
        }});
}

void ChangingLeaders::handleAnswer(std::size_t Number, std::uint64_t Sequence,
                                   const Outcome<ServerOrders> &Answer) {
  Server &Backend = Servers_[Number];
  const TimePoint Now = Time_.now();
  if (!Backend.awaitsAnswer(Sequence, Now))
    return;
  if (!Answer)
    return moveOn(Backend, 100ms);
  Backend.IsWaiting_ = false;
  const ServerOrders &Orders = Answer.value();
  if (!Orders.ReportTo_.empty())
    Backend.Home_ = findMember(Orders.ReportTo_);
  recordAcknowledgedEnds(Backend, Orders);
  Backend.acknowledge(Orders, Now);
  const bool IsFenced = Orders.FencingToken_ < Backend.FencingToken_;
  if (Orders.LeaseMs_ == 0 || IsFenced)
    return;
  Backend.FencingToken_ = Orders.FencingToken_;
  recordTimeToLease(Backend);
  Backend.HadLease_ = true;
  const Duration Lease = std::chrono::milliseconds(Orders.LeaseMs_);
  Backend.extendLease(Lease * Percent /
                      (Percent - Scenario_.ClockSlowPercent_));
  for (const StopOrder &Stop : Orders.Stops_)
    Backend.stop(Stop, Now);
  for (const StartOrder &Start : Orders.Starts_)
    startRun(Backend, Start);
}

void ChangingLeaders::recordAcknowledgedEnds(const Server &Backend,
                                             const ServerOrders &Orders) {
  for (const EndedTask &End : Backend.Ended_)
    if (End.Number_ <= Orders.EndsNoted_ &&
        End.End_.Outcome_ == RunOutcome::Done)
      Completed_.insert(End.End_.Task_);
}

void ChangingLeaders::startRun(Server &Backend, const StartOrder &Start) {
  if (!Backend.accepts(Start))
    return;
  if (Completed_.count(Start.Task_) != 0)
    recordViolation("starts after its completion was acknowledged",
                    Start.Task_);
  for (const Server &Other : Servers_)
    if (!Other.IsGone_ && Other.Running_.count(Start.Task_) != 0)
      recordViolation("runs on " + Other.Id_ + " and " + Backend.Id_,
                      Start.Task_);
  const bool IsLongRunning = LongRunningJobs_.count(Start.Task_.Job_) != 0;
  Backend.Running_[Start.Task_] = {
      Start.Run_,
      IsLongRunning ? TimePoint::max()
                    : Time_.now() + 5ms * static_cast<int>(40 + drawBelow(360)),
      IsLongRunning};
  ++Started_;
}
