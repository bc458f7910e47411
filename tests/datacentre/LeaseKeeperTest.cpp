//===- LeaseKeeperTest.cpp ------------------------------------------------===//

#include "tulipweir/datacentre/LeaseKeeper.h"
#include "datacentre/FakeBackendServer.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;

static const TaskId Task{JobId("j"), 0};
static const AttemptNumber First(1);

TEST(LeaseKeeperTest, NeverEndsBeforeTheBackendServerForAnyDriftWithinBound) {
  std::mt19937 Random(1);
  const LeaseSettings Settings{milliseconds(3000), 50'000, milliseconds(200)};
  std::uniform_real_distribution<double> Rate(0.95, 1.05);
  Duration Closest = std::chrono::hours(1);
  for (int I = 0; I < 2000; ++I) {
    // Every other pair of clocks is at the ends of the bound.
    const DriftingClock Server{I % 2 ? Rate(Random) : 0.95};
    const DriftingClock Leader{I % 2 ? Rate(Random) : 1.05};
    const Duration Sent = milliseconds(Random() % 100'000);
    const Duration Answered = Sent + milliseconds(Random() % 50);
    LeaseKeeper Keeper(Settings, FencingToken{1, 0}, Leader.at(Sent));
    ASSERT_TRUE(Keeper.renew(Task, First, {Leader.at(Answered), true}));
    const TimePoint Ends = Keeper.findEnd(Task, First, FencingToken{1, 1});
    // The server stops as late as it may, by its own clock.
    const Duration Runs = Settings.Ttl_ + Settings.StopGrace_;
    const Duration RealStop = Sent + scale(Runs, 1 / Server.Rate_);
    ASSERT_GE(Ends + Duration(2), Leader.at(RealStop));
    Closest = std::min(Closest, Ends - Leader.at(RealStop));
  }
  // The bound is used up, not passed by.
  EXPECT_LT(Closest, milliseconds(1));
}

TEST(LeaseKeeperTest, LeasesOfEarlierLeadersEndAFullTtlAfterTheElection) {
  const TimePoint Elected{std::chrono::hours(1)};
  const LeaseSettings Settings;
  const FencingToken LastPlaced{5, 7};
  const LeaseKeeper Keeper(Settings, LastPlaced, Elected);
  const FencingToken Earlier{4, 1};
  const FencingToken Own{5, 8};
  EXPECT_FALSE(Keeper.hasRunOut(Task, First, LastPlaced, Elected))
      << "another keeper of this term may have granted it";
  EXPECT_FALSE(Keeper.hasRunOut(Task, First, Earlier, Elected + Settings.Ttl_));
  EXPECT_TRUE(
      Keeper.hasRunOut(Task, First, Earlier, Elected + Settings.longestRun()));
  EXPECT_TRUE(Keeper.hasRunOut(Task, First, Own, Elected))
      << "never granted, and no earlier leader can have seen it";
}

TEST(LeaseKeeperTest, GrantsNothingWithoutLeadership) {
  const TimePoint Now{std::chrono::hours(1)};
  LeaseKeeper Keeper(LeaseSettings{}, FencingToken{}, Now);
  EXPECT_FALSE(Keeper.renew(Task, First, {Now, false}));
  EXPECT_TRUE(Keeper.hasRunOut(Task, First, FencingToken{1, 1}, Now));
}
