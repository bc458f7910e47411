//===- LeaseManagerTest.cpp -----------------------------------------------===//

#include "tulipweir/datacentre/LeaseManager.h"
#include "datacentre/FakeBackendServer.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;

static const TaskId Task{JobId("j"), 0};
static const AttemptNumber First(1);

TEST(LeaseManagerTest, NeverExpiresBeforeTheServerStopsForAnyDriftWithinBound) {
  std::mt19937 Random(1);
  const LeaseSettings Settings{milliseconds(3000), 50'000, milliseconds(200)};
  std::uniform_real_distribution<double> Rate(0.95, 1.05);
  Duration SmallestMargin = std::chrono::hours(1);
  for (int I = 0; I < 2000; ++I) {
    // Every other pair of clocks has the maximum drift.
    const DriftingClock Server{I % 2 ? Rate(Random) : 0.95};
    const DriftingClock Leader{I % 2 ? Rate(Random) : 1.05};
    const Duration SentOffset = milliseconds(Random() % 100'000);
    const Duration Answered = SentOffset + milliseconds(Random() % 50);
    LeaseManager Manager(Settings, FencingToken{1, 0}, Leader.at(SentOffset));
    ASSERT_TRUE(Manager.renew(Task, First, {Leader.at(Answered), true}));
    const TimePoint Expiry =
        Manager.findExpiry(Task, First, FencingToken{1, 1});
    // The server stops the task as late as allowed, by its own clock.
    const Duration MaxRunTime = Settings.Ttl_ + Settings.StopGrace_;
    const Duration RealStop = SentOffset + scale(MaxRunTime, 1 / Server.Rate_);
    ASSERT_GE(Expiry + Duration(2), Leader.at(RealStop));
    SmallestMargin = std::min(SmallestMargin, Expiry - Leader.at(RealStop));
  }
  // The bound is tight: some pair of clocks comes within 1 ms of it.
  EXPECT_LT(SmallestMargin, milliseconds(1));
}

TEST(LeaseManagerTest, LeasesOfEarlierLeadersEndAFullTtlAfterTheElection) {
  const TimePoint Elected{std::chrono::hours(1)};
  const LeaseSettings Settings;
  const FencingToken LastPlaced{5, 7};
  const LeaseManager Manager(Settings, LastPlaced, Elected);
  const FencingToken Earlier{4, 1};
  const FencingToken Later{5, 8};
  EXPECT_FALSE(Manager.hasExpired(Task, First, LastPlaced, Elected))
      << "another LeaseManager of this term may have granted it";
  EXPECT_FALSE(
      Manager.hasExpired(Task, First, Earlier, Elected + Settings.Ttl_));
  EXPECT_TRUE(Manager.hasExpired(Task, First, Earlier,
                                 Elected + Settings.getMaxRunTime()));
  EXPECT_TRUE(Manager.hasExpired(Task, First, Later, Elected))
      << "never granted, and placed after every earlier leader";
}

TEST(LeaseManagerTest, GrantsNothingWithoutLeadership) {
  const TimePoint Now{std::chrono::hours(1)};
  LeaseManager Manager(LeaseSettings{}, FencingToken{}, Now);
  EXPECT_FALSE(Manager.renew(Task, First, {Now, false}));
  EXPECT_TRUE(Manager.hasExpired(Task, First, FencingToken{1, 1}, Now));
}
