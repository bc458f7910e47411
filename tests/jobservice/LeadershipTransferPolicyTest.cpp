//===- LeadershipTransferPolicyTest.cpp - Tests of transfer targets -------===//
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
    Status_.Heard_ = {"x", "y", "new"};
    Status_.IsLeader_ = true;
    Status_.LeaderSince_ = Time_.now() - 1min;
  }
  /// Whom a leader finds whose work takes so long, and usually 70 us.
  std::string chooseWithWorkTime(Duration WorkTime) const {
    ProcessorProbe Probe;
    for (int I = 0; I < 5; ++I)
      Probe.addSample(70us);
    for (int I = 0; I < 5; ++I)
      Probe.addSample(WorkTime);
    const std::optional<TransferTarget> Target =
        Policy_.chooseTarget(Status_, Probe);
    return Target ? Target->Name_ : "";
  }

  ManualClock Time_;
  replication::ReplicaStatus Status_;
  LeadershipTransferPolicy Policy_{Time_};
};

} // namespace

TEST_F(LeadershipTransferPolicyTest, SlowLeaderTransfersToTheFastestVoter) {
  Policy_.recordProbe("x", 80us);
  Policy_.recordProbe("y", 70us);
  Policy_.recordProbe("new", 10us);
  EXPECT_EQ(chooseWithWorkTime(210us), "y");
}

TEST_F(LeadershipTransferPolicyTest, LoadWithoutSlowdownKeepsTheLeader) {
  Policy_.recordProbe("x", 70us);
  Policy_.recordProbe("y", 60us);
  EXPECT_EQ(chooseWithWorkTime(70us), "");
  EXPECT_EQ(chooseWithWorkTime(100us), "");
}

// Seen in trials with nothing slowed: 79 us where another control took 45, and,
// beside eight busy loops on the machine, 96 where another took 63.
TEST_F(LeadershipTransferPolicyTest, NormalVariationKeepsTheLeader) {
  Policy_.recordProbe("x", 45us);
  EXPECT_EQ(chooseWithWorkTime(79us), "");
  Policy_.recordProbe("x", 63us);
  EXPECT_EQ(chooseWithWorkTime(96us), "");
  // Slower than ever, but no other does much better.
  EXPECT_EQ(chooseWithWorkTime(140us), "x");
  Policy_.recordProbe("x", 90us);
  EXPECT_EQ(chooseWithWorkTime(140us), "");
}

TEST_F(LeadershipTransferPolicyTest, EquallySlowMembersKeepTheLeader) {
  Policy_.recordProbe("x", 200us);
  Policy_.recordProbe("y", 220us);
  EXPECT_EQ(chooseWithWorkTime(210us), "");
}

TEST_F(LeadershipTransferPolicyTest, UnheardMembersAndOldProbesAreIgnored) {
  Policy_.recordProbe("x", 70us);
  Policy_.recordProbe("y", 90us);
  Status_.Heard_ = {"y"};
  EXPECT_EQ(chooseWithWorkTime(210us), "y");
  Time_.advance(3s);
  EXPECT_EQ(chooseWithWorkTime(210us), "");
}

TEST_F(LeadershipTransferPolicyTest, NewLeadersAndFollowersDoNotTransfer) {
  Policy_.recordProbe("x", 70us);
  Status_.LeaderSince_ = Time_.now() - 1s;
  EXPECT_EQ(chooseWithWorkTime(210us), "");
  Status_.LeaderSince_ = Time_.now() - 1min;
  Status_.IsLeader_ = false;
  EXPECT_EQ(chooseWithWorkTime(210us), "");
}

TEST_F(LeadershipTransferPolicyTest, MembersWithoutAProbeAreIgnored) {
  Policy_.recordProbe("x", 0us);
  EXPECT_EQ(chooseWithWorkTime(210us), "");
  Policy_.recordProbe("x", 70us);
  EXPECT_FALSE(Policy_.chooseTarget(Status_, ProcessorProbe()));
}

TEST(ProcessorProbeTest, OneInterruptedSampleIsIgnored) {
  ProcessorProbe Probe;
  for (const Duration Sample : {70us, 70us, 900us, 75us})
    Probe.addSample(Sample);
  EXPECT_EQ(Probe.getWorkTime(), Duration(0));
  Probe.addSample(80us);
  EXPECT_EQ(Probe.getWorkTime(), Duration(70us));
}

TEST(ProcessorProbeTest, LastingSlowdownIsDetected) {
  ProcessorProbe Probe;
  for (int I = 0; I < 5; ++I)
    Probe.addSample(70us);
  for (int I = 0; I < 4; ++I)
    Probe.addSample(210us);
  EXPECT_EQ(Probe.getWorkTime(), Duration(70us));
  Probe.addSample(230us);
  EXPECT_EQ(Probe.getWorkTime(), Duration(210us));
}

TEST(ProcessorProbeTest, WorkloadTakesTime) {
  EXPECT_GT(timeWork(SystemClock()), Duration(0));
}
