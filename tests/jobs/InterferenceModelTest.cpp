//===- InterferenceModelTest.cpp - Learned interference between images ---===//

#include "jobs/InterferenceModel.h"

#include "jobs/InterferenceSamples.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

TEST(InterferenceModelTest, InterferingPairsAreDetected) {
  InterferenceModel Interference;
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Share(0, 0.3);
  std::normal_distribution<double> Noise(0, 0.3);
  for (int I = 0; I < 600; ++I) {
    const double Heavy = Share(Random);
    const double Light = Share(Random);
    const FillingUse Use = {{"heavy", Heavy}, {"light", Light}};
    Interference.learn(
        "sensitive", Use,
        std::exp(-0.9 + 8 * std::max(Heavy - 0.08, 0.0) + Noise(Random)));
    Interference.learn("calm", Use, std::exp(-0.9 + Noise(Random)));
  }
  EXPECT_TRUE(Interference.hasLearned());
  EXPECT_TRUE(Interference.isInterfering("sensitive", "heavy"));
  EXPECT_FALSE(Interference.isInterfering("sensitive", "light"));
  EXPECT_FALSE(Interference.isInterfering("calm", "heavy"));
  EXPECT_FALSE(Interference.isInterfering("unknown", "heavy"));
}

TEST(InterferenceModelTest, ClassificationIsKeptDuringSmallUse) {
  InterferenceModel Interference;
  std::mt19937 Random(9);
  std::uniform_real_distribution<double> Share(0, 0.3);
  for (int I = 0; I < 500; ++I) {
    const double Heavy = Share(Random);
    Interference.learn("s", {{"heavy", Heavy}},
                       Heavy > 0.1 ? std::exp(-0.9 + 6 * Heavy) : 0.4);
  }
  ASSERT_TRUE(Interference.isInterfering("s", "heavy"));
  for (int I = 0; I < 5000; ++I)
    Interference.learn("s", {{"heavy", 0.05}}, 0.4);
  EXPECT_TRUE(Interference.isInterfering("s", "heavy"));
  for (int I = 0; I < 2000; ++I)
    Interference.learn("s", {{"heavy", 0.3}}, 0.4);
  EXPECT_FALSE(Interference.isInterfering("s", "heavy"))
      << "recent samples show no interference";
}

TEST(InterferenceModelTest, OutliersAndManyImagesAreBounded) {
  InterferenceModel Interference;
  for (int I = 0; I < 400; ++I) {
    const std::string Image = "image" + std::to_string(I);
    Interference.learn("s" + std::to_string(I), {{Image, 1.0}},
                       I % 2 == 0 ? 1e9 : 1e-9);
    EXPECT_FALSE(Interference.isInterfering("s0", Image));
  }
  Interference.learn("s0", {{"x", 0.1}}, 0);
  EXPECT_FALSE(Interference.isInterfering("s399", "image399"));
}

TEST(InterferenceModelTest, WeightMarginShrinksWithSamples) {
  InterferenceModel Interference;
  const double Unknown = Interference.getWeight("s", "light");
  EXPECT_GT(Unknown, 1);
  trainPairs(Interference, "s", "heavy", "light", 20, 0.15, 11);
  const double Early = Interference.getWeight("s", "light");
  EXPECT_LE(Early, Unknown);
  trainPairs(Interference, "s", "heavy", "light", 400, 0.15, 12);
  const double Known = Interference.getWeight("s", "light");
  EXPECT_LT(Known, Early);
  EXPECT_NEAR(Known, LightWeight, 0.3);
  EXPECT_NEAR(Interference.getWeight("s", "heavy"), HeavyWeight, 0.5);
  EXPECT_NEAR(Interference.predict("s", {{"heavy", 0.1}, {"light", 0.1}}), 0.53,
              0.1);
  EXPECT_EQ(Interference.predict("other", {{"heavy", 0.1}}), 0);
}

TEST(InterferenceModelTest, FullTableCanBeReset) {
  InterferenceModel Interference;
  EXPECT_FALSE(Interference.isFull());
  for (int I = 0; I < 70; ++I)
    Interference.learn("s", {{"old" + std::to_string(I), 0.2}}, 2.7);
  EXPECT_TRUE(Interference.isFull());
  Interference.reset();
  EXPECT_FALSE(Interference.isFull());
  for (int I = 0; I < 300; ++I) {
    const double Share = 0.02 * (I % 20);
    Interference.learn("s", {{"new", Share}}, std::exp(5 * Share));
  }
  EXPECT_TRUE(Interference.isInterfering("s", "new"));
}
