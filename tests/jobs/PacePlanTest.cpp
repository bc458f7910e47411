//===- PacePlanTest.cpp - Planned paces keep tails below their targets ---===//
//
// The weights are those of real pairs: an interfering image multiplies a tail
// by exp(5 * share of the server), any other by exp(0.3 * share).
//
//===----------------------------------------------------------------------===//

#include "jobs/PacePlan.h"

#include "jobs/InterferenceSamples.h"

#include <gtest/gtest.h>

#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

namespace {

class PacePlanTest : public ::testing::Test {
protected:
  PacePlanTest() { trainPairs(Interference_, "s", "heavy", "light"); }

  /// Baseline is the tail under the task's own load, relative to its target.
  ImagePaces plan(double Baseline, const FillingUse &RequestedShares,
                  double AvailableShare = 1) {
    return planPaces(Interference_, {{"s", std::log(Baseline)}},
                     RequestedShares, AvailableShare);
  }

  InterferenceModel Interference_;
};

} // namespace

TEST_F(PacePlanTest, AllImagesRunAtFullSpeedAtLowLoad) {
  EXPECT_EQ(plan(0.2, {{"heavy", 0.2}, {"light", 0.4}}), ImagePaces{});
}

TEST_F(PacePlanTest, MostInterferingImageIsSlowedFirst) {
  const ImagePaces Paces = plan(0.6, {{"heavy", 0.2}, {"light", 0.3}});
  ASSERT_EQ(Paces.count("heavy"), 1U);
  EXPECT_LT(Paces.at("heavy"), 50U);
  EXPECT_EQ(Paces.count("light"), 0U);
}

TEST_F(PacePlanTest, PaceFallsAsTailApproachesTarget) {
  std::uint64_t Before = 100;
  for (const double Baseline : {0.3, 0.4, 0.5, 0.6, 0.7, 0.8}) {
    const ImagePaces Paces = plan(Baseline, {{"heavy", 0.3}});
    ASSERT_EQ(Paces.count("heavy"), 1U) << Baseline;
    EXPECT_LT(Paces.at("heavy"), Before) << Baseline;
    Before = Paces.at("heavy");
    // The tail is never expected to exceed its target.
    EXPECT_LT(Baseline * std::exp(5 * 0.3 * double(Before) / 100), 1)
        << Baseline;
  }
  EXPECT_EQ(plan(0.95, {{"heavy", 0.3}}).at("heavy"), 0U);
}

TEST_F(PacePlanTest, AllImagesStopIfLoadAloneExceedsTarget) {
  const ImagePaces Paces = plan(1.2, {{"heavy", 0.1}, {"light", 0.3}});
  EXPECT_EQ(Paces.at("heavy"), 0U);
  EXPECT_EQ(Paces.at("light"), 0U);
}

TEST_F(PacePlanTest, AllImagesAreSlowedIfProcessorsAreShort) {
  const ImagePaces Paces =
      plan(0.2, {{"light", 0.4}, {"other", 0.2}}, /*AvailableShare=*/0.255);
  EXPECT_NEAR(double(Paces.at("light")), 50, 2);
  EXPECT_NEAR(double(Paces.at("other")), 50, 2);
  EXPECT_EQ(plan(0.2, {{"light", 0.4}}, -0.1).at("light"), 0U);
}

TEST_F(PacePlanTest, LongestTailOfSeveralServingImagesDecides) {
  const ImagePaces Paces =
      planPaces(Interference_, {{"s", std::log(0.2)}, {"t", std::log(0.97)}},
                {{"x", 0.2}}, 1);
  EXPECT_EQ(Paces.at("x"), 0U);
}

TEST_F(PacePlanTest, NothingIsSlowedWithoutServingTasks) {
  EXPECT_EQ(planPaces(Interference_, {}, {{"heavy", 0.9}}, 1), ImagePaces{});
}
