//===- PaceControllerTest.cpp - What a tail over its target does to paces ------===//

#include "jobs/PaceController.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class PaceGuardTest : public ::testing::Test {
protected:
  void note(std::uint64_t TailPercent, const ImagePaces &Planned = {}) {
    Time_ += 250ms;
    Guard_.note("s", {TailPercent, true}, Planned, Time_);
  }
  std::uint64_t pace() const { return Guard_.getPace("s", "a"); }

  PaceGuard Guard_;
  TimePoint Time_{1h};
};

} // namespace

TEST_F(PaceGuardTest, WithoutServingTasksEverythingWorksAtFullSpeed) {
  EXPECT_EQ(pace(), 100U);
  EXPECT_EQ(Guard_.getLeast("s"), 100U);
  EXPECT_FALSE(Guard_.isToBeTold("s", Time_));
}

TEST_F(PaceGuardTest, AllThatFillsIsSlowedOnlyWhenATailStaysOverForLong) {
  note(150);
  note(150);
  EXPECT_EQ(pace(), 100U);
  for (int I = 0; I < 20; ++I)
    note(150);
  EXPECT_EQ(pace(), 0U) << "well before 5 s are over";
  for (int I = 0; I < 20; ++I)
    note(50);
  EXPECT_EQ(pace(), 100U);
}

TEST_F(PaceGuardTest, NothingFillsBesideATailThatIsOverForLong) {
  // Rough figures dip below the target now and then; harm is counted after
  // 5.5 s, in which the last step must have had its effect of 0.65 s.
  const std::uint64_t Tails[] = {130, 95, 120, 98, 140, 110, 92, 130};
  Duration Until{};
  for (int I = 0; pace() > 0 && I < 100; ++I) {
    note(Tails[I % 8]);
    Until += 250ms;
  }
  EXPECT_LE(Until, 4s);
}

TEST_F(PaceGuardTest, OneCorrectionWaitsForTheEffectOfTheLast) {
  for (int I = 0; pace() == 100 && I < 100; ++I)
    note(150);
  const std::uint64_t First = pace();
  ASSERT_GT(First, 0U);
  Guard_.note("s", {300, true}, {}, Time_ + 1ms);
  Guard_.note("s", {300, true}, {}, Time_ + 600ms);
  EXPECT_EQ(pace(), First);
  Guard_.note("s", {300, true}, {}, Time_ + 700ms);
  EXPECT_EQ(pace(), 0U);
}

TEST_F(PaceGuardTest, TheSlowerOfPlanAndGuardCounts) {
  note(50, {{"a", 40}});
  EXPECT_EQ(pace(), 40U);
  EXPECT_EQ(Guard_.getPace("s", "b"), 100U);
  EXPECT_EQ(Guard_.getLeast("s"), 40U);
  EXPECT_EQ(Guard_.getGuarded("s"), 100U);
  for (int I = 0; I < 20; ++I)
    note(150, {{"a", 40}});
  EXPECT_EQ(pace(), 0U);
  EXPECT_EQ(Guard_.getPace("s", "b"), 0U);
}

TEST_F(PaceGuardTest, SmallChangesOfAPlanAreNotWorthAnOrder) {
  note(50, {{"a", 50}});
  note(50, {{"a", 57}});
  EXPECT_EQ(pace(), 50U);
  note(50, {{"a", 62}});
  EXPECT_EQ(pace(), 62U);
  note(50, {{"a", 95}});
  note(50, {});
  EXPECT_EQ(pace(), 100U) << "the full speed is always told";
  note(50, {{"a", 4}});
  note(50, {{"a", 0}});
  EXPECT_EQ(pace(), 0U) << "and so is a stop";
}

TEST_F(PaceGuardTest, AServerWhosePacesRestIsHeardAsUsual) {
  note(50, {{"a", 50}});
  EXPECT_TRUE(Guard_.isMoving("s", Time_));
  for (int I = 0; I < 4; ++I)
    note(50, {{"a", 50}});
  EXPECT_FALSE(Guard_.isMoving("s", Time_));
  EXPECT_TRUE(Guard_.isToBeTold("s", Time_)) << "what starts has to be told";
  for (int I = 0; I < 10; ++I)
    note(150, {{"a", 50}});
  EXPECT_TRUE(Guard_.isMoving("s", Time_)) << "the guard has to see its effect";
}

TEST_F(PaceGuardTest, AChangedPaceIsRepeatedForAWhile) {
  note(50, {{"a", 50}});
  EXPECT_TRUE(Guard_.isToBeTold("s", Time_));
  note(50);
  EXPECT_TRUE(Guard_.isToBeTold("s", Time_)) << "an answer may be lost";
  for (int I = 0; I < 12; ++I)
    note(10);
  EXPECT_EQ(pace(), 100U);
  EXPECT_FALSE(Guard_.isToBeTold("s", Time_));
}
