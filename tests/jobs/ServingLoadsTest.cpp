//===- ServingLoadsTest.cpp - Load estimates of serving tasks ------------===//
//
// The simulated services have loads that change by a factor of four within
// twenty seconds, each step with its own phase. Tails are those of a queue:
// the shortest tail over the idle share. This gives tails of 30 to 110 ms
// under a target of 150 ms, scattered by a tenth, like those of real services.
//
//===----------------------------------------------------------------------===//

#include "jobs/ServingLoads.h"

#include "jobs/JobFixture.h"

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

constexpr double Pi = 3.14159265358979;
constexpr double ShortestMs = 25;
constexpr double TargetMs = 150;
constexpr double MeanLoad = 0.48;
constexpr double Swing = 0.6;
constexpr double PeriodS = 20;

class ServingLoadsTest : public ::testing::Test {
protected:
  static StepKey makeKey(int Step) {
    return {"j" + std::to_string(Step), 0, 0};
  }
  double loadOf(int Step) const {
    const double Phase = double(Step) / Steps + Seconds_ / PeriodS;
    return MeanLoad * (1 + Swing * std::sin(2 * Pi * Phase));
  }
  double baselineOf(int Step) const {
    return std::log(ShortestMs / (1 - loadOf(Step)) / TargetMs);
  }
  /// Sends reports of ten tasks of each step, twice a second; Interfered of
  /// them have tails that are three times as long.
  void run(double ForS, int Interfered = 0) {
    std::normal_distribution<double> Noise(0, 0.1);
    for (int Round = 0; Round < int(ForS * 20); ++Round) {
      Seconds_ += 0.05;
      Now_ += 50ms;
      for (int Step = 0; Step < Steps; ++Step) {
        const bool IsInterfered = Round % 10 < Interfered;
        Loads_.addSample(makeKey(Step), "image",
                         baselineOf(Step) + Noise(Random_) +
                             (IsInterfered ? std::log(3) : 0),
                         Now_);
      }
      Loads_.updateRanges(Now_);
    }
  }

  static constexpr int Steps = 8;
  ServingLoads Loads_;
  std::mt19937 Random_{5};
  TimePoint Now_{1h};
  double Seconds_ = 0;
};

} // namespace

TEST_F(ServingLoadsTest, LoadOfEachStepIsTracked) {
  run(4);
  for (int Second = 0; Second < 20; ++Second) {
    run(1);
    for (int Step = 0; Step < Steps; ++Step) {
      EXPECT_NEAR(*Loads_.findBaseline(makeKey(Step)), baselineOf(Step), 0.2);
      EXPECT_NEAR(Loads_.getLoad(makeKey(Step)), loadOf(Step), 0.1);
    }
  }
}

TEST_F(ServingLoadsTest, InterferenceWithSomeTasksDoesNotCountAsLoad) {
  run(4);
  for (int Second = 0; Second < 20; ++Second) {
    run(1, /*Interfered=*/3);
    for (int Step = 0; Step < Steps; ++Step)
      EXPECT_NEAR(*Loads_.findBaseline(makeKey(Step)), baselineOf(Step), 0.45)
          << "three tails in ten grow by 1.1";
  }
}

TEST_F(ServingLoadsTest, OutlierIsForgotten) {
  run(10);
  for (int I = 0; I < 40; ++I)
    Loads_.addSample(makeKey(0), "image", std::log(0.01), Now_ += 10ms);
  Loads_.updateRanges(Now_ += 1s);
  EXPECT_GT(Loads_.getLoad(makeKey(4)), 0.8) << "the other steps seem busy";
  run(60);
  EXPECT_NEAR(Loads_.getLoad(makeKey(4)), loadOf(4), 0.15);
}

TEST_F(ServingLoadsTest, DefaultLoadIsUsedWithoutSamples) {
  EXPECT_EQ(Loads_.findBaseline(makeKey(0)), std::nullopt);
  EXPECT_EQ(Loads_.getLoad(makeKey(0)), ServingLoads::DefaultLoad);
  // Tails that never differed do not reveal the load.
  for (int I = 0; I < 100; ++I)
    Loads_.addSample(makeKey(0), "steady", std::log(0.3), Now_ += 50ms);
  Loads_.updateRanges(Now_);
  EXPECT_EQ(Loads_.getLoad(makeKey(0)), ServingLoads::DefaultLoad);
}

TEST_F(ServingLoadsTest, UnreportedTasksCountWithDefaultLoad) {
  ServerRecord Server;
  Server.Facts_ = makeServer("s1");
  Server.ServingCpus_ = 1000;
  EXPECT_EQ(Loads_.estimateUsedCpus(Server), 520);
  Loads_.updateServer("s1", {800, 200, {{"image", -1}}});
  EXPECT_EQ(Loads_.estimateUsedCpus(Server), 200 + 104);
  EXPECT_EQ(Loads_.getWorstBaseline("s1", "image"), -1);
  EXPECT_LT(Loads_.getWorstBaseline("s1", "new"), 0);
  JobRegistry Empty;
  Loads_.prune(Empty);
  EXPECT_EQ(Loads_.estimateUsedCpus(Server), 520) << "the server is gone";
}
