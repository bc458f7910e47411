#include "jobservice/EmulatedServer.h"

#include "jobs/JobFixture.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

/// The next report follows an end, and an answer with news, after this time.
static constexpr Duration NewsDelay = 50ms;

ServerReport EmulatedServer::makeReport(std::size_t Place, TimePoint Now) {
  ServerReport Report;
  Report.Facts_ = jobs::test::makeServer(getIncarnation());
  Report.Facts_.Address_ = "place" + std::to_string(Place) + ":1";
  Report.Sequence_ = ++Sequence_;
  if (BornMs_ != 0)
    Report.ServerClockMs_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Now - StartedAt_)
            .count());
  for (const auto &[Task, Run] : Running_)
    Report.Running_.push_back(
        {Task, Run.Number_, "", Run.IsLongRunning_ ? 100U : 50U, 0});
  Report.Ended_ = Ended_;
  IsWaiting_ = true;
  SentAt_ = Now;
  return Report;
}

EmulatedServer::EndedRuns EmulatedServer::endDueRuns(TimePoint Now) {
  const bool IsExpired = HasLease_ && Now >= LeaseEnd_;
  if (IsExpired)
    HasLease_ = false;
  std::vector<TaskKey> Ended;
  for (const auto &[Task, Run] : Running_)
    if (IsExpired || Run.EndsAt_ <= Now)
      Ended.push_back(Task);
  for (const TaskKey &Task : Ended)
    endRun(Task, IsExpired ? RunOutcome::LeaseExpired : RunOutcome::Done, Now);
  return {Ended.size(), IsExpired};
}

void EmulatedServer::endRun(const TaskKey &Task, RunOutcome How,
                            TimePoint Now) {
  const std::uint64_t Run = Running_.at(Task).Number_;
  Running_.erase(Task);
  Ended_.push_back({++LastEnd_, {Task, Run, How, ""}});
  if (!IsWaiting_)
    NextReport_ = std::min(NextReport_, Now + NewsDelay);
}

void EmulatedServer::acknowledge(const ServerOrders &Orders, TimePoint Now) {
  std::erase_if(Ended_, [&Orders](const EndedTask &End) {
    return End.Number_ <= Orders.EndsNoted_;
  });
  const bool HasNews = !Ended_.empty() || !Orders.Starts_.empty();
  NextReport_ =
      Now +
      (HasNews ? NewsDelay : std::chrono::milliseconds(Orders.NextReportMs_));
}

void EmulatedServer::extendLease(Duration Lease) {
  HasLease_ = true;
  LeaseEnd_ = std::max(LeaseEnd_, SentAt_ + Lease);
}

void EmulatedServer::stop(const StopOrder &Stop, TimePoint Now) {
  std::uint64_t &HighestRun = HighestRunNumbers_[Stop.Task_];
  HighestRun = std::max(HighestRun, Stop.Run_);
  const auto It = Running_.find(Stop.Task_);
  if (It != Running_.end() && It->second.Number_ == Stop.Run_)
    endRun(Stop.Task_, RunOutcome::Stopped, Now);
}

bool EmulatedServer::accepts(const StartOrder &Start) {
  std::uint64_t &HighestRun = HighestRunNumbers_[Start.Task_];
  if (Start.Run_ <= HighestRun)
    return false;
  HighestRun = Start.Run_;
  return true;
}

bool EmulatedServer::awaitsAnswer(std::uint64_t Sequence, TimePoint Now) const {
  return !IsGone_ && Sequence == Sequence_ && IsWaiting_ &&
         Now - SentAt_ <= ReportTimeout;
}
