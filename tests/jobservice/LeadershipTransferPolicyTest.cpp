//===- LeadershipTransferPolicyTest.cpp - Whom a slow leader gives way to -===//
//
// What happened: with its leader slowed by three for 28 s, alone on an idle
// machine, the large deployment lost 8,389 runs to lapsed leases and earned
// 0.290 of what it was owed, while four members of the group were idle
// (deploy/days/starved-leader.toml; KNOWN-RED.txt). Nothing told the leader
// that it was slow: its queue looks as under a heavy load, which no other
// member would bear better.
//
//===----------------------------------------------------------------------===//

#include "jobservice/LeadershipTransferPolicy.h"
#include "jobservice/ProcessorProbe.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

namespace {

class LeadershipTransferPolicyTest : public ::testing::Test {
protected:
  LeadershipTransferPolicyTest() {
    Time_.advance(1h);
    for (const char *Name : {"me", "x", "y"})
      Status_.Members_.push_back({{Name, 1}, replication::MemberRole::Voter});
    Status_.Members_.push_back({{"new", 1}, replication::MemberRole::Learner});
    Status_.Responsive_ = {"x", "y", "new"};
    Status_.IsLeader_ = true;
    Status_.LeaderSince_ = Time_.now() - 1min;
  }
  /// Whom a leader finds whose work takes so long, and usually 70 us.
  std::string find(Duration Own) const {
    ProcessorProbe Speed;
    for (int I = 0; I < 5; ++I)
      Speed.note(70us);
    for (int I = 0; I < 5; ++I)
      Speed.note(Own);
    const std::optional<TransferTarget> Found =
        Policy_.chooseTarget(Status_, Speed);
    return Found ? Found->Name_ : "";
  }

  ManualClock Time_;
  replication::ReplicaStatus Status_;
  LeadershipTransferPolicy Policy_{Time_};
};

} // namespace

TEST_F(LeadershipTransferPolicyTest, ASlowLeaderGivesWayToTheFastestVoter) {
  Policy_.recordProbe("x", 80us);
  Policy_.recordProbe("y", 70us);
  Policy_.recordProbe("new", 10us);
  EXPECT_EQ(find(210us), "y");
}

TEST_F(LeadershipTransferPolicyTest, ALoadThatSlowsNobodyKeepsTheLeader) {
  Policy_.recordProbe("x", 70us);
  Policy_.recordProbe("y", 60us);
  EXPECT_EQ(find(70us), "");
  EXPECT_EQ(find(100us), "");
}

// Seen in trials with nothing slowed: 79 us where another control took 45, and,
// beside eight busy loops on the machine, 96 where another took 63.
TEST_F(LeadershipTransferPolicyTest,
       ProcessorsOfOneKindDifferAndNothingIsSlow) {
  Policy_.recordProbe("x", 45us);
  EXPECT_EQ(find(79us), "");
  Policy_.recordProbe("x", 63us);
  EXPECT_EQ(find(96us), "");
  // Slower than ever, but no other does much better.
  EXPECT_EQ(find(140us), "x");
  Policy_.recordProbe("x", 90us);
  EXPECT_EQ(find(140us), "");
}

TEST_F(LeadershipTransferPolicyTest, WhereAllAreSlowNobodyIsBetter) {
  Policy_.recordProbe("x", 200us);
  Policy_.recordProbe("y", 220us);
  EXPECT_EQ(find(210us), "");
}

TEST_F(LeadershipTransferPolicyTest, WhoIsNotHeardOrSaidItLongAgoIsNotTaken) {
  Policy_.recordProbe("x", 70us);
  Policy_.recordProbe("y", 90us);
  Status_.Responsive_ = {"y"};
  EXPECT_EQ(find(210us), "y");
  Time_.advance(3s);
  EXPECT_EQ(find(210us), "");
}

TEST_F(LeadershipTransferPolicyTest, ALeaderThatBeganJustNowAndAFollowerStay) {
  Policy_.recordProbe("x", 70us);
  Status_.LeaderSince_ = Time_.now() - 1s;
  EXPECT_EQ(find(210us), "");
  Status_.LeaderSince_ = Time_.now() - 1min;
  Status_.IsLeader_ = false;
  EXPECT_EQ(find(210us), "");
}

TEST_F(LeadershipTransferPolicyTest, WhoCannotTellIsNotTaken) {
  Policy_.recordProbe("x", 0us);
  EXPECT_EQ(find(210us), "");
  Policy_.recordProbe("x", 70us);
  EXPECT_FALSE(Policy_.chooseTarget(Status_, ProcessorProbe()));
}

TEST(ProcessorProbeTest, OneInterruptionIsNoSlowness) {
  ProcessorProbe Probe;
  for (const Duration Each : {70us, 70us, 900us, 75us})
    Probe.note(Each);
  EXPECT_EQ(Probe.getWorkTime(), Duration(0));
  Probe.note(80us);
  EXPECT_EQ(Probe.getWorkTime(), Duration(70us));
}

TEST(ProcessorProbeTest, WhatLastsShows) {
  ProcessorProbe Probe;
  for (int I = 0; I < 5; ++I)
    Probe.note(70us);
  for (int I = 0; I < 4; ++I)
    Probe.note(210us);
  EXPECT_EQ(Probe.getWorkTime(), Duration(70us));
  Probe.note(230us);
  EXPECT_EQ(Probe.getWorkTime(), Duration(210us));
}

TEST(ProcessorProbeTest, TheWorkTakesTime) {
  EXPECT_GT(timeWork(SystemClock()), Duration(0));
}
