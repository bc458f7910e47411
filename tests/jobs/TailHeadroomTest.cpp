//===- TailHeadroomTest.cpp - What serving tasks on a server still bear -------===//

#include "jobs/TailHeadroom.h"

#include "jobs/JobFixture.h"
#include "jobs/InterferenceSamples.h"

#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

namespace {

/// A server of four processors with one image that serves.
class TailRoomTest : public ::testing::Test {
protected:
  TailRoomTest() {
    teachPairs(Effects_, "s", "heavy", "light");
    Server_.Facts_ = makeServer("s1", 4000);
    Server_.Serving_["s"] = 2;
  }
  /// Base: the worst tail by its own load, of its target.
  TailRoom measure(double Base) {
    Loads_.noteServer("s1", {2000, 1000, {{"s", std::log(Base)}}});
    return {Effects_, Loads_, Server_};
  }

  TailEffects Effects_;
  ServingLoads Loads_;
  ServerRecord Server_;
};

} // namespace

TEST_F(TailRoomTest, InAQuietHourEvenWhatDisturbsMayWork) {
  EXPECT_TRUE(measure(0.2).fits("heavy", 800));
  EXPECT_FALSE(measure(0.6).fits("heavy", 800));
  EXPECT_TRUE(measure(0.6).fits("light", 2000));
}

TEST_F(TailRoomTest, AtItsPeakAServiceBearsHardlyAnything) {
  EXPECT_FALSE(measure(0.8).fits("heavy", 200));
  EXPECT_FALSE(measure(0.85).fits("light", 2000));
  EXPECT_FALSE(measure(1.1).fits("light", 1));
}

TEST_F(TailRoomTest, WhatIsPlacedThereCounts) {
  TailRoom Room = measure(0.4);
  const double Before = Room.getLeast();
  ASSERT_TRUE(Room.fits("heavy", 500));
  Room.take("heavy", 500);
  EXPECT_NEAR(Before - Room.getLeast(), HeavyWeight * 500 / 4000, 0.1);
  EXPECT_FALSE(Room.fits("heavy", 500));
  Server_.FillingCpus_["heavy"] = 500;
  EXPECT_FALSE(measure(0.4).fits("heavy", 500)) << "placed before";
}

TEST_F(TailRoomTest, WithoutServingTasksEverythingFits) {
  Server_.Serving_.clear();
  EXPECT_TRUE(measure(2).fits("heavy", 4000));
}
