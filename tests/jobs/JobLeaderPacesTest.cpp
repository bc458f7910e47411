//===- JobLeaderPacesTest.cpp - Pace orders of a leader ------------------===//

#include "jobs/LeaderFixture.h"

#include <cmath>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(JobLeaderTest, PaceOrderIsRepeatedOnlyIfLost) {
  call(CallKind::Submit, "s", {makeServing(1, "serve", 500)});
  call(CallKind::Submit, "f", {makeFilling(1, "fill")});
  std::map<TaskKey, std::uint64_t> Runs;
  std::vector<PaceOrder> Paces;
  // Both tasks run; the tail stays over its target, whatever the cause.
  const auto SendReport = [&](std::uint64_t Used) {
    Strand_.advance(250ms);
    ServerReport Report = makeReport("s1");
    for (const auto &[Task, Run] : Runs)
      Report.Running_.push_back(
          {Task, Run, "", 50, Task.Job_ == "s" ? 150 : Used});
    const ServerOrders Orders = report(Report);
    for (const StartOrder &Start : Orders.Starts_)
      Runs[Start.Task_] = Start.Run_;
    Paces.insert(Paces.end(), Orders.Paces_.begin(), Orders.Paces_.end());
  };
  for (int I = 0; I < 30 && Runs.size() < 2; ++I)
    SendReport(1000);
  ASSERT_EQ(Runs.size(), 2U);
  for (int I = 0; I < 40 && (Paces.empty() || Paces.back().Percent_ > 0); ++I)
    SendReport(Paces.empty() ? 1000 : Paces.back().Percent_ * 10);
  ASSERT_FALSE(Paces.empty());
  EXPECT_EQ(Paces.back().Percent_, 0U);
  const std::size_t SentCount = Paces.size();
  for (int I = 0; I < 20; ++I)
    SendReport(0);
  EXPECT_EQ(Paces.size(), SentCount) << "a repeated order restarts its delay";
  for (int I = 0; I < 5; ++I)
    SendReport(1000);
  EXPECT_EQ(Paces.size(), SentCount + 1)
      << "the task runs as if the order was lost";
}

// Guards against a filling task that works on beside a tail over its target
// because the order that stops it was lost.
TEST_F(JobLeaderTest, LostSecondReductionIsRepeatedBeforeAViolation) {
  call(CallKind::Submit, "s", {makeServing(1, "serve", 500)});
  call(CallKind::Submit, "f", {makeFilling(1, "fill")});
  std::map<TaskKey, std::uint64_t> Runs;
  std::uint64_t Pace = 100; // In force on the server.
  bool IsOrderLost = false;
  // The tail is over its target while the filling task works at all.
  const auto SendReport = [&] {
    Strand_.advance(250ms);
    ServerReport Report = makeReport("s1");
    for (const auto &[Task, Run] : Runs) {
      const bool IsServing = Task.Job_ == "s";
      const std::uint64_t Tail = Pace > 0 ? 130 : 50;
      Report.Running_.push_back(
          {Task, Run, "", IsServing ? 100U : 50U, IsServing ? Tail : Pace * 9});
    }
    const ServerOrders Orders = report(Report);
    for (const StartOrder &Start : Orders.Starts_)
      Runs[Start.Task_] = Start.Run_;
    for (const PaceOrder &Order : Orders.Paces_) {
      const bool IsSecond = Order.Percent_ == 0;
      if (!IsSecond || std::exchange(IsOrderLost, true))
        Pace = Order.Percent_;
    }
  };
  for (int I = 0; I < 30 && Runs.size() < 2; ++I)
    SendReport();
  ASSERT_EQ(Runs.size(), 2U);
  Duration OverFor{};
  for (; Pace > 0 && OverFor < 20s; OverFor += 250ms)
    SendReport();
  EXPECT_TRUE(IsOrderLost);
  EXPECT_LT(OverFor, 5500ms);
}

TEST_F(JobLeaderTest, InterferenceLearnedAsFollowerAppliesAfterElection) {
  call(CallKind::Submit, "serves", {makeServing(1, "s")});
  call(CallKind::Submit, "fills", {makeFilling(1, "heavy")});
  ServerOrders Orders = report(makeReport("s1"));
  for (int I = 0; Orders.Starts_.size() < 2 && I < 20; ++I) {
    Strand_.advance(250ms);
    Orders = report(makeReport("s1"));
  }
  ASSERT_EQ(Orders.Starts_.size(), 2U);
  // Beside the filling task the tail grows by exp(5 * share).
  const auto MakeReport = [&](std::uint64_t UsedCpus, double BaseMs) {
    ServerReport Report = makeReport("s1");
    for (const StartOrder &Start : Orders.Starts_) {
      Report.Running_.push_back(makeRunning(Start));
      RunningTask &Last = Report.Running_.back();
      const bool IsServing = Start.Task_.Job_ == "serves";
      Last.Percent_ = IsServing ? 100 : 50;
      const double Tail = BaseMs * std::exp(5 * double(UsedCpus) / 4000);
      Last.Measure_ = IsServing ? std::uint64_t(Tail) : UsedCpus;
    }
    return Report;
  };
  Group_.IsLeader_ = false;
  Strand_.advance(100ms);
  for (int I = 0; I < 600; ++I) {
    Leader_.observe(MakeReport(std::uint64_t(50 * (I % 20)), 30));
    Strand_.advance(50ms);
  }
  Group_.IsLeader_ = true;
  ++Group_.Term_;
  Strand_.advance(100ms);
  // The load has risen; with the filling task at full speed the tail would
  // exceed its target.
  std::optional<PaceOrder> Last;
  for (int I = 0; I < 12; ++I) {
    const ServerOrders Answer = report(MakeReport(0, 70));
    if (!Answer.Paces_.empty())
      Last = Answer.Paces_.back();
    Strand_.advance(250ms);
  }
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->Task_.Job_, "fills");
  EXPECT_LT(Last->Percent_, 50U);
}

// Guards against a filling task that stays stopped for ever, as a new leader
// takes it for running at full speed.
TEST_F(JobLeaderTest, StoppedTaskResumesUnderANewLeader) {
  call(CallKind::Submit, "s", {makeServing(1, "serve", 500)});
  call(CallKind::Submit, "f", {makeFilling(1, "fill")});
  std::map<TaskKey, std::uint64_t> Runs;
  std::uint64_t Pace = 100;
  std::uint64_t Tail = 130;
  const auto SendReport = [&] {
    Strand_.advance(250ms);
    ServerReport Report = makeReport("s1");
    for (const auto &[Task, Run] : Runs) {
      const bool IsServing = Task.Job_ == "s";
      Report.Running_.push_back(
          {Task, Run, "", IsServing ? 100U : 50U, IsServing ? Tail : Pace * 9});
    }
    const ServerOrders Orders = report(Report);
    for (const StartOrder &Start : Orders.Starts_)
      Runs[Start.Task_] = Start.Run_;
    for (const PaceOrder &Order : Orders.Paces_)
      Pace = Order.Percent_;
  };
  for (int I = 0; I < 30 && Runs.size() < 2; ++I)
    SendReport();
  ASSERT_EQ(Runs.size(), 2U);
  for (int I = 0; Pace > 0 && I < 80; ++I)
    SendReport();
  ASSERT_EQ(Pace, 0U);
  beginNextTerm();
  Tail = 10;
  for (int I = 0; I < 20; ++I)
    SendReport();
  EXPECT_GT(Pace, 0U) << "5 s after the change";
}
