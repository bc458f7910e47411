//===- PacePlanTest.cpp - Paces at which no tail reaches its target -------===//
//
// The pairs as they were measured: one that disturbs multiplies a tail by
// exp(5 * share of the server), any other by exp(0.3 * share).
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
  PacePlanTest() { teachPairs(Effects_, "s", "heavy", "light"); }

  /// Base: the tail by its own load, of its target.
  ImagePaces plan(double Base, const FillingUse &Asked, double Left = 1) {
    return planPaces(Effects_, {{"s", std::log(Base)}}, Asked, Left);
  }

  TailEffects Effects_;
};

} // namespace

TEST_F(PacePlanTest, InAQuietHourAllWorkAtFullSpeed) {
  EXPECT_EQ(plan(0.2, {{"heavy", 0.2}, {"light", 0.4}}), ImagePaces{});
}

TEST_F(PacePlanTest, WhatDisturbsMostIsSlowedFirst) {
  const ImagePaces Paces = plan(0.6, {{"heavy", 0.2}, {"light", 0.3}});
  ASSERT_EQ(Paces.count("heavy"), 1U);
  EXPECT_LT(Paces.at("heavy"), 50U);
  EXPECT_EQ(Paces.count("light"), 0U);
}

TEST_F(PacePlanTest, ThePaceFallsAsATailNearsItsTarget) {
  std::uint64_t Before = 100;
  for (const double Base : {0.3, 0.4, 0.5, 0.6, 0.7, 0.8}) {
    const ImagePaces Paces = plan(Base, {{"heavy", 0.3}});
    ASSERT_EQ(Paces.count("heavy"), 1U) << Base;
    EXPECT_LT(Paces.at("heavy"), Before) << Base;
    Before = Paces.at("heavy");
    // Never so fast that the tail would be expected over its target.
    EXPECT_LT(Base * std::exp(5 * 0.3 * double(Before) / 100), 1) << Base;
  }
  EXPECT_EQ(plan(0.95, {{"heavy", 0.3}}).at("heavy"), 0U);
}

TEST_F(PacePlanTest, AllAreStoppedWhereATailIsOverByItsOwnLoad) {
  const ImagePaces Paces = plan(1.2, {{"heavy", 0.1}, {"light", 0.3}});
  EXPECT_EQ(Paces.at("heavy"), 0U);
  EXPECT_EQ(Paces.at("light"), 0U);
}

TEST_F(PacePlanTest, WhereProcessorsAreShortAllWorkMoreSlowly) {
  const ImagePaces Paces =
      plan(0.2, {{"light", 0.4}, {"other", 0.2}}, /*Left=*/0.255);
  EXPECT_NEAR(double(Paces.at("light")), 50, 2);
  EXPECT_NEAR(double(Paces.at("other")), 50, 2);
  EXPECT_EQ(plan(0.2, {{"light", 0.4}}, -0.1).at("light"), 0U);
}

TEST_F(PacePlanTest, TheWorstOfSeveralThatServeDecides) {
  const ImagePaces Paces = planPaces(
      Effects_, {{"s", std::log(0.2)}, {"t", std::log(0.97)}}, {{"x", 0.2}}, 1);
  EXPECT_EQ(Paces.at("x"), 0U);
}

TEST_F(PacePlanTest, WithoutServingTasksNothingIsSlowed) {
  EXPECT_EQ(planPaces(Effects_, {}, {{"heavy", 0.9}}, 1), ImagePaces{});
}
