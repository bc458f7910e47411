//===- PaceControllerTest.cpp - Paces and tails over the target ----------===//

#include "jobs/PaceController.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class PaceControllerTest : public ::testing::Test {
protected:
  void update(std::uint64_t TailPercent, const ImagePaces &Planned = {}) {
    Time_ += 250ms;
    Controller_.update("s", {TailPercent, true}, Planned, Time_);
  }
  std::uint64_t readPace() const { return Controller_.getPace("s", "a"); }

  PaceController Controller_;
  TimePoint Time_{1h};
};

} // namespace

TEST_F(PaceControllerTest, FillingTasksRunAtFullSpeedWithoutServingTasks) {
  EXPECT_EQ(readPace(), 100U);
  EXPECT_EQ(Controller_.getMinPace("s"), 100U);
  EXPECT_FALSE(Controller_.needsOrders("s", Time_));
}

TEST_F(PaceControllerTest, FillingTasksAreSlowedOnlyIfATailStaysOverItsTarget) {
  update(150);
  update(150);
  EXPECT_EQ(readPace(), 100U);
  for (int I = 0; I < 20; ++I)
    update(150);
  EXPECT_EQ(readPace(), 0U) << "in less than 5 s";
  for (int I = 0; I < 20; ++I)
    update(50);
  EXPECT_EQ(readPace(), 100U);
}

TEST_F(PaceControllerTest, FillingTasksStopBeforeAViolationIsCounted) {
  // Noisy readings fall below the target now and then; a violation is counted
  // after 5.5 s, in which the last reduction must have had its effect of 0.65
  // s.
  const std::uint64_t Tails[] = {130, 95, 120, 98, 140, 110, 92, 130};
  Duration Until{};
  for (int I = 0; readPace() > 0 && I < 100; ++I) {
    update(Tails[I % 8]);
    Until += 250ms;
  }
  EXPECT_LE(Until, 4s);
}

TEST_F(PaceControllerTest, AdjustmentWaitsForEffectOfPreviousOne) {
  for (int I = 0; readPace() == 100 && I < 100; ++I)
    update(150);
  const std::uint64_t Reduced = readPace();
  ASSERT_GT(Reduced, 0U);
  Controller_.update("s", {300, true}, {}, Time_ + 1ms);
  Controller_.update("s", {300, true}, {}, Time_ + 600ms);
  EXPECT_EQ(readPace(), Reduced);
  Controller_.update("s", {300, true}, {}, Time_ + 700ms);
  EXPECT_EQ(readPace(), 0U);
}

TEST_F(PaceControllerTest, LowerOfPlanAndLimitApplies) {
  update(50, {{"a", 40}});
  EXPECT_EQ(readPace(), 40U);
  EXPECT_EQ(Controller_.getPace("s", "b"), 100U);
  EXPECT_EQ(Controller_.getMinPace("s"), 40U);
  EXPECT_EQ(Controller_.getLimit("s"), 100U);
  for (int I = 0; I < 20; ++I)
    update(150, {{"a", 40}});
  EXPECT_EQ(readPace(), 0U);
  EXPECT_EQ(Controller_.getPace("s", "b"), 0U);
}

TEST_F(PaceControllerTest, SmallPaceChangesAreIgnored) {
  update(50, {{"a", 50}});
  update(50, {{"a", 57}});
  EXPECT_EQ(readPace(), 50U);
  update(50, {{"a", 62}});
  EXPECT_EQ(readPace(), 62U);
  update(50, {{"a", 95}});
  update(50, {});
  EXPECT_EQ(readPace(), 100U) << "a return to full speed is always ordered";
  update(50, {{"a", 4}});
  update(50, {{"a", 0}});
  EXPECT_EQ(readPace(), 0U) << "a stop is always ordered";
}

TEST_F(PaceControllerTest, ServerWithStablePacesReportsAsUsual) {
  update(50, {{"a", 50}});
  EXPECT_TRUE(Controller_.isAdjusting("s", Time_));
  for (int I = 0; I < 4; ++I)
    update(50, {{"a", 50}});
  EXPECT_FALSE(Controller_.isAdjusting("s", Time_));
  EXPECT_TRUE(Controller_.needsOrders("s", Time_))
      << "new tasks need the order";
  for (int I = 0; I < 10; ++I)
    update(150, {{"a", 50}});
  EXPECT_TRUE(Controller_.isAdjusting("s", Time_))
      << "the effect of the limit must be observed";
}

TEST_F(PaceControllerTest, ChangedPaceIsRepeatedForSomeTime) {
  update(50, {{"a", 50}});
  EXPECT_TRUE(Controller_.needsOrders("s", Time_));
  update(50);
  EXPECT_TRUE(Controller_.needsOrders("s", Time_)) << "an answer may be lost";
  for (int I = 0; I < 12; ++I)
    update(10);
  EXPECT_EQ(readPace(), 100U);
  EXPECT_FALSE(Controller_.needsOrders("s", Time_));
}
