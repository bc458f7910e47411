//===- LeadershipTransferPolicyTest.cpp - Tests of transfer targets -------===//
//
// Guards against a leader that keeps leadership on a slow VM while other
// members are idle. Its queue alone looks as under a heavy load, which no
// other member would handle better. With a leader slowed by a factor of three
// for 28 s, a large deployment lost 8,389 runs to lapsed leases
// (deploy/days/starved-leader.toml).
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
  /// Returns the target of a leader with this work time and a baseline of 70
  /// us.
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

// Probe times of controls that are not slowed differ: 79 us against 45 us, and
// 96 us against 63 us beside eight busy loops.
TEST_F(LeadershipTransferPolicyTest, NormalVariationKeepsTheLeader) {
  Policy_.recordProbe("x", 45us);
  EXPECT_EQ(chooseWithWorkTime(79us), "");
  Policy_.recordProbe("x", 63us);
  EXPECT_EQ(chooseWithWorkTime(96us), "");
  // Although this leader is slower than its baseline, no other member is much
  // faster.
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
  Status_.Responsive_ = {"y"};
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
