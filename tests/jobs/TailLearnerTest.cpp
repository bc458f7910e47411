//===- TailLearnerTest.cpp - From reports to loads and pairs --------------===//

#include "jobs/TailLearner.h"

#include "jobs/JobFixture.h"
#include "jobs/InterferenceSamples.h"

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// Two servers of four processors, on each a task of one step that serves, and
/// on the first one that fills.
class TailLearnerTest : public JobBookTest {
protected:
  TailLearnerTest() {
    submit(makeJob("serves", {makeServing(2, "s", 1000, 1000)}));
    submit(makeJob("fills", {makeFilling(1, "heavy", 2000)}));
    start(makeStart("serves", 0, "s1"));
    start(makeStart("serves", 1, "s2"));
    start(makeStart("fills", 0, "s1"));
  }

  /// Of the tails, milliseconds, and processors, thousandths.
  ServerTails report(const std::string &Server, double TailMs,
                     std::uint64_t Filled, std::uint64_t Percent = 100) {
    ServerReport Report;
    Report.Facts_ = makeServer(Server);
    const std::uint64_t Index = Server == "s1" ? 0 : 1;
    Report.Running_ = {{{"serves", 0, 0, Index},
                        1,
                        "",
                        Percent,
                        static_cast<std::uint64_t>(TailMs)}};
    if (Index == 0)
      Report.Running_.push_back({{"fills", 0, 0, 0}, 1, "", 50, Filled});
    return Learner_.learn(Book_, Report, Now_ += 50ms);
  }
  /// So many reports of both, while the load swings threefold.
  void run(int Reports) {
    std::normal_distribution<double> Noise(0, 0.1);
    for (int I = 0; I < Reports; ++I) {
      const double Base = 400 + 200 * std::sin(double(I) / 60);
      const auto Filled = static_cast<std::uint64_t>(100 * (I % 16));
      report("s1",
             Base *
                 std::exp(HeavyWeight * double(Filled) / 4000 + Noise(Random_)),
             Filled);
      report("s2", Base * std::exp(Noise(Random_)), 0);
    }
  }

  TailEffects Effects_;
  ServingLoads Loads_;
  TailLearner Learner_{Effects_, Loads_};
  std::mt19937 Random_{17};
  TimePoint Now_{1h};
};

} // namespace

TEST_F(TailLearnerTest, APairIsLearnedAgainstALoadThatSwings) {
  run(400);
  EXPECT_TRUE(Effects_.isDisturbing("s", "heavy"));
  EXPECT_NEAR(Effects_.getWeight("s", "heavy"), HeavyWeight, 1.5);
}

TEST_F(TailLearnerTest, AServerWithoutIdleProcessorsTeachesNothing) {
  run(400);
  const double Before = Effects_.getWeight("s", "heavy");
  // Four processors of four: every tail grows, whatever fills.
  for (int I = 0; I < 300; ++I)
    report("s1", 5000, 4000);
  EXPECT_EQ(Effects_.getWeight("s", "heavy"), Before);
}

TEST_F(TailLearnerTest, ATaskThatIsNotAtWorkHasNoTail) {
  for (int I = 0; I < 100; ++I)
    report("s2", 5, 0, /*Percent=*/40);
  EXPECT_EQ(Loads_.findBase({"serves", 0, 0}), std::nullopt);
}

TEST_F(TailLearnerTest, AReportSaysWhatServesAndWhatIsLeft) {
  run(100);
  const ServerTails Found = report("s1", 800, 500);
  EXPECT_TRUE(Found.HasServing_);
  EXPECT_TRUE(Found.HasFilling_);
  EXPECT_EQ(Found.WorstPercent_, 80U);
  EXPECT_NEAR(Found.Asked_.at("heavy"), 0.5, 1e-9);
  EXPECT_EQ(Found.Serving_.Reserved_, 1000);
  EXPECT_LT(Found.LeftShare_, 0.95);
  EXPECT_GT(Found.LeftShare_, 0.65);
  EXPECT_EQ(Found.Serving_.WorstBases_.size(), 1U);
}
