//===- JobLeaderPacesTest.cpp - Paces that a leader tells -----------------===//

#include "jobs/LeaderFixture.h"

#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(JobLeaderTest, APaceIsToldOnceAndAgainOnlyWhereItWasLost) {
  call(CallKind::Submit, "s", {makeServing(1, "serve", 500)});
  call(CallKind::Submit, "f", {makeFilling(1, "fill")});
  std::map<TaskKey, std::uint64_t> Runs;
  std::vector<PaceOrder> Paces;
  // Both run; the tail stays over its target, whoever is to blame.
  const auto Beat = [&](std::uint64_t Used) {
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
    Beat(1000);
  ASSERT_EQ(Runs.size(), 2U);
  for (int I = 0; I < 40 && (Paces.empty() || Paces.back().Percent_ > 0); ++I)
    Beat(Paces.empty() ? 1000 : Paces.back().Percent_ * 10);
  ASSERT_FALSE(Paces.empty());
  EXPECT_EQ(Paces.back().Percent_, 0U);
  const std::size_t Told = Paces.size();
  for (int I = 0; I < 20; ++I)
    Beat(0);
  EXPECT_EQ(Paces.size(), Told) << "a repeated order begins its delay anew";
  for (int I = 0; I < 5; ++I)
    Beat(1000);
  EXPECT_EQ(Paces.size(), Told + 1) << "it works on as if nothing had come";
}

TEST_F(JobLeaderTest, WhatAMemberHeardOfPairsHoldsOnceItLeads) {
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
    for (const StartOrder &Each : Orders.Starts_) {
      Report.Running_.push_back(makeRunning(Each));
      RunningTask &Last = Report.Running_.back();
      const bool IsServing = Each.Task_.Job_ == "serves";
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
  // Its own load has risen; at full speed the tail would be over its target.
  std::optional<PaceOrder> Last;
  for (int I = 0; I < 12; ++I) {
    const ServerOrders Told = report(MakeReport(0, 70));
    if (!Told.Paces_.empty())
      Last = Told.Paces_.back();
    Strand_.advance(250ms);
  }
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->Task_.Job_, "fills");
  EXPECT_LT(Last->Percent_, 50U);
}
