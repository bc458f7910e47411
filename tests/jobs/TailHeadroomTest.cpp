//===- TailHeadroomTest.cpp - Filling work that a server tolerates -------===//

#include "jobs/TailHeadroom.h"

#include "jobs/InterferenceSamples.h"
#include "jobs/JobFixture.h"

#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

namespace {

/// A server of four processors with one serving image.
class TailHeadroomTest : public ::testing::Test {
protected:
  TailHeadroomTest() {
    trainPairs(Interference_, "s", "heavy", "light");
    Server_.Facts_ = makeServer("s1", 4000);
    Server_.Serving_["s"] = 2;
  }
  /// Baseline is the longest tail under the tasks' own load, relative to its
  /// target.
  TailHeadroom makeHeadroom(double Baseline) {
    Loads_.updateServer("s1", {2000, 1000, {{"s", std::log(Baseline)}}});
    return {Interference_, Loads_, Server_};
  }

  InterferenceModel Interference_;
  ServingLoads Loads_;
  ServerRecord Server_;
};

} // namespace

TEST_F(TailHeadroomTest, InterferingImageFitsAtLowLoad) {
  EXPECT_TRUE(makeHeadroom(0.2).fits("heavy", 800));
  EXPECT_FALSE(makeHeadroom(0.6).fits("heavy", 800));
  EXPECT_TRUE(makeHeadroom(0.6).fits("light", 2000));
}

TEST_F(TailHeadroomTest, HardlyAnythingFitsAtPeakLoad) {
  EXPECT_FALSE(makeHeadroom(0.8).fits("heavy", 200));
  EXPECT_FALSE(makeHeadroom(0.85).fits("light", 2000));
  EXPECT_FALSE(makeHeadroom(1.1).fits("light", 1));
}

TEST_F(TailHeadroomTest, PlacedTasksReduceHeadroom) {
  TailHeadroom Headroom = makeHeadroom(0.4);
  const double Before = Headroom.getMinHeadroom();
  ASSERT_TRUE(Headroom.fits("heavy", 500));
  Headroom.place("heavy", 500);
  EXPECT_NEAR(Before - Headroom.getMinHeadroom(), HeavyWeight * 500 / 4000,
              0.1);
  EXPECT_FALSE(Headroom.fits("heavy", 500));
  Server_.FillingCpus_["heavy"] = 500;
  EXPECT_FALSE(makeHeadroom(0.4).fits("heavy", 500))
      << "placed before the plan";
}

TEST_F(TailHeadroomTest, EverythingFitsWithoutServingTasks) {
  Server_.Serving_.clear();
  EXPECT_TRUE(makeHeadroom(2).fits("heavy", 4000));
}
