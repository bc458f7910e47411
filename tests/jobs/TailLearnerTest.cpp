//===- TailLearnerTest.cpp - Learning load and interference from reports --===//

#include "jobs/TailLearner.h"

#include "jobs/InterferenceSamples.h"
#include "jobs/JobFixture.h"

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// Two servers of four processors, each with one task of a serving step; the
/// first one also runs a filling task.
class TailLearnerTest : public JobRegistryTest {
protected:
  TailLearnerTest() {
    submit(makeJob("serves", {makeServing(2, "s", 1000, 1000)}));
    submit(makeJob("fills", {makeFilling(1, "heavy", 2000)}));
    start(makeStart("serves", 0, "s1"));
    start(makeStart("serves", 1, "s2"));
    start(makeStart("fills", 0, "s1"));
  }

  /// Sends a report with a tail in milliseconds and filling processors in
  /// thousandths.
  ServerTails report(const std::string &Server, double TailMs,
                     std::uint64_t FilledCpus, std::uint64_t Percent = 100) {
    ServerReport Report;
    Report.Facts_ = makeServer(Server);
    const std::uint64_t Index = Server == "s1" ? 0 : 1;
    Report.Running_ = {{{"serves", 0, 0, Index},
                        1,
                        "",
                        Percent,
                        static_cast<std::uint64_t>(TailMs)}};
    if (Index == 0)
      Report.Running_.push_back({{"fills", 0, 0, 0}, 1, "", 50, FilledCpus});
    return Learner_.learn(Registry_, Report, Now_ += 50ms);
  }
  /// Sends this many reports of both servers while the load changes threefold.
  void run(int Reports) {
    std::normal_distribution<double> Noise(0, 0.1);
    for (int I = 0; I < Reports; ++I) {
      const double Base = 400 + 200 * std::sin(double(I) / 60);
      const auto FilledCpus = static_cast<std::uint64_t>(100 * (I % 16));
      report("s1",
             Base * std::exp(HeavyWeight * double(FilledCpus) / 4000 +
                             Noise(Random_)),
             FilledCpus);
      report("s2", Base * std::exp(Noise(Random_)), 0);
    }
  }

  InterferenceModel Interference_;
  ServingLoads Loads_;
  TailLearner Learner_{Interference_, Loads_};
  std::mt19937 Random_{17};
  TimePoint Now_{1h};
};

} // namespace

TEST_F(TailLearnerTest, InterferenceIsLearnedUnderChangingLoad) {
  run(400);
  EXPECT_TRUE(Interference_.isInterfering("s", "heavy"));
  EXPECT_NEAR(Interference_.getWeight("s", "heavy"), HeavyWeight, 1.5);
}

TEST_F(TailLearnerTest, SaturatedServerAddsNoSamples) {
  run(400);
  const double Before = Interference_.getWeight("s", "heavy");
  // All four processors are used: every tail grows, whichever images fill.
  for (int I = 0; I < 300; ++I)
    report("s1", 5000, 4000);
  EXPECT_EQ(Interference_.getWeight("s", "heavy"), Before);
}

TEST_F(TailLearnerTest, StartingTaskHasNoTail) {
  for (int I = 0; I < 100; ++I)
    report("s2", 5, 0, /*Percent=*/40);
  EXPECT_EQ(Loads_.findBaseline({"serves", 0, 0}), std::nullopt);
}

TEST_F(TailLearnerTest, ReportYieldsServingUseAndAvailableShare) {
  run(100);
  const ServerTails Tails = report("s1", 800, 500);
  EXPECT_TRUE(Tails.HasServing_);
  EXPECT_TRUE(Tails.HasFilling_);
  EXPECT_EQ(Tails.WorstPercent_, 80U);
  EXPECT_NEAR(Tails.RequestedShares_.at("heavy"), 0.5, 1e-9);
  EXPECT_EQ(Tails.Serving_.Reserved_, 1000);
  EXPECT_LT(Tails.AvailableShare_, 0.95);
  EXPECT_GT(Tails.AvailableShare_, 0.65);
  EXPECT_EQ(Tails.Serving_.WorstBaselines_.size(), 1U);
}
