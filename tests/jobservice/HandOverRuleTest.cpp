//===- HandOverRuleTest.cpp - Whom a slow leader gives way to -------------===//
//
// What happened: with its leader slowed by three for 28 s, alone on an idle
// machine, the large deployment lost 8,389 runs to lapsed leases and earned
// 0.290 of what it was owed, while four members of the group were idle
// (deploy/days/starved-leader.toml; KNOWN-RED.txt). Nothing told the leader
// that it was slow: its queue looks as under a heavy load, which no other
// member would bear better.
//
//===----------------------------------------------------------------------===//

#include "jobservice/HandOverRule.h"
#include "jobservice/ProcessorProbe.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

namespace {

class HandOverRuleTest : public ::testing::Test {
protected:
  HandOverRuleTest() {
    Time_.advance(1h);
    for (const char *Name : {"me", "x", "y"})
      Status_.Members_.push_back({{Name, 1}, replication::MemberRole::Voter});
    Status_.Members_.push_back({{"new", 1}, replication::MemberRole::Learner});
    Status_.Heard_ = {"x", "y", "new"};
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
    const std::optional<BetterLeader> Found = Rule_.findBetter(Status_, Speed);
    return Found ? Found->Name_ : "";
  }

  ManualClock Time_;
  replication::ReplicaStatus Status_;
  HandOverRule Rule_{Time_};
};

} // namespace

TEST_F(HandOverRuleTest, ASlowLeaderGivesWayToTheFastestVoter) {
  Rule_.note("x", 80us);
  Rule_.note("y", 70us);
  Rule_.note("new", 10us);
  EXPECT_EQ(find(210us), "y");
}

TEST_F(HandOverRuleTest, ALoadThatSlowsNobodyKeepsTheLeader) {
  Rule_.note("x", 70us);
  Rule_.note("y", 60us);
  EXPECT_EQ(find(70us), "");
  EXPECT_EQ(find(100us), "");
}

// Seen in trials with nothing slowed: 79 us where another control took 45, and,
// beside eight busy loops on the machine, 96 where another took 63.
TEST_F(HandOverRuleTest, ProcessorsOfOneKindDifferAndNothingIsSlow) {
  Rule_.note("x", 45us);
  EXPECT_EQ(find(79us), "");
  Rule_.note("x", 63us);
  EXPECT_EQ(find(96us), "");
  // Slower than ever, but no other does much better.
  EXPECT_EQ(find(140us), "x");
  Rule_.note("x", 90us);
  EXPECT_EQ(find(140us), "");
}

TEST_F(HandOverRuleTest, WhereAllAreSlowNobodyIsBetter) {
  Rule_.note("x", 200us);
  Rule_.note("y", 220us);
  EXPECT_EQ(find(210us), "");
}

TEST_F(HandOverRuleTest, WhoIsNotHeardOrSaidItLongAgoIsNotTaken) {
  Rule_.note("x", 70us);
  Rule_.note("y", 90us);
  Status_.Heard_ = {"y"};
  EXPECT_EQ(find(210us), "y");
  Time_.advance(3s);
  EXPECT_EQ(find(210us), "");
}

TEST_F(HandOverRuleTest, ALeaderThatBeganJustNowAndAFollowerStay) {
  Rule_.note("x", 70us);
  Status_.LeaderSince_ = Time_.now() - 1s;
  EXPECT_EQ(find(210us), "");
  Status_.LeaderSince_ = Time_.now() - 1min;
  Status_.IsLeader_ = false;
  EXPECT_EQ(find(210us), "");
}

TEST_F(HandOverRuleTest, WhoCannotTellIsNotTaken) {
  Rule_.note("x", 0us);
  EXPECT_EQ(find(210us), "");
  Rule_.note("x", 70us);
  EXPECT_FALSE(Rule_.findBetter(Status_, ProcessorProbe()));
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
