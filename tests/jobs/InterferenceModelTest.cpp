//===- InterferenceModelTest.cpp - Learned pairs of images ----------------------===//

#include "jobs/InterferenceModel.h"

#include "jobs/InterferenceSamples.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

TEST(TailEffectsTest, PairsThatDisturbAreToldFromThoseThatDoNot) {
  TailEffects Effects;
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Share(0, 0.3);
  std::normal_distribution<double> Noise(0, 0.3);
  for (int I = 0; I < 600; ++I) {
    const double Heavy = Share(Random);
    const double Light = Share(Random);
    const FillingUse Use = {{"heavy", Heavy}, {"light", Light}};
    Effects.learn(
        "sensitive", Use,
        std::exp(-0.9 + 8 * std::max(Heavy - 0.08, 0.0) + Noise(Random)));
    Effects.learn("calm", Use, std::exp(-0.9 + Noise(Random)));
  }
  EXPECT_TRUE(Effects.hasLearned());
  EXPECT_TRUE(Effects.isDisturbing("sensitive", "heavy"));
  EXPECT_FALSE(Effects.isDisturbing("sensitive", "light"));
  EXPECT_FALSE(Effects.isDisturbing("calm", "heavy"));
  EXPECT_FALSE(Effects.isDisturbing("unknown", "heavy"));
}

TEST(TailEffectsTest, AVerdictOutlastsSmallUsesThatShowNothing) {
  TailEffects Effects;
  std::mt19937 Random(9);
  std::uniform_real_distribution<double> Share(0, 0.3);
  for (int I = 0; I < 500; ++I) {
    const double Heavy = Share(Random);
    Effects.learn("s", {{"heavy", Heavy}},
                  Heavy > 0.1 ? std::exp(-0.9 + 6 * Heavy) : 0.4);
  }
  ASSERT_TRUE(Effects.isDisturbing("s", "heavy"));
  for (int I = 0; I < 5000; ++I)
    Effects.learn("s", {{"heavy", 0.05}}, 0.4);
  EXPECT_TRUE(Effects.isDisturbing("s", "heavy"));
  for (int I = 0; I < 2000; ++I)
    Effects.learn("s", {{"heavy", 0.3}}, 0.4);
  EXPECT_FALSE(Effects.isDisturbing("s", "heavy")) << "it was seen calm";
}

TEST(TailEffectsTest, WildFiguresAndManyImagesStayBounded) {
  TailEffects Effects;
  for (int I = 0; I < 400; ++I) {
    const std::string Image = "image" + std::to_string(I);
    Effects.learn("s" + std::to_string(I), {{Image, 1.0}},
                  I % 2 == 0 ? 1e9 : 1e-9);
    EXPECT_FALSE(Effects.isDisturbing("s0", Image));
  }
  Effects.learn("s0", {{"x", 0.1}}, 0);
  EXPECT_FALSE(Effects.isDisturbing("s399", "image399"));
}

TEST(TailEffectsTest, AWeightIsTakenForMoreTheLessIsKnownOfIt) {
  TailEffects Effects;
  const double Unknown = Effects.getWeight("s", "light");
  EXPECT_GT(Unknown, 1);
  teachPairs(Effects, "s", "heavy", "light", 20, 0.15, 11);
  const double Early = Effects.getWeight("s", "light");
  EXPECT_LE(Early, Unknown);
  teachPairs(Effects, "s", "heavy", "light", 400, 0.15, 12);
  const double Known = Effects.getWeight("s", "light");
  EXPECT_LT(Known, Early);
  EXPECT_NEAR(Known, LightWeight, 0.3);
  EXPECT_NEAR(Effects.getWeight("s", "heavy"), HeavyWeight, 0.5);
  EXPECT_NEAR(Effects.predict("s", {{"heavy", 0.1}, {"light", 0.1}}), 0.53,
              0.1);
  EXPECT_EQ(Effects.predict("other", {{"heavy", 0.1}}), 0);
}

TEST(TailEffectsTest, AFullTableSaysSoAndBeginsAnew) {
  TailEffects Effects;
  EXPECT_FALSE(Effects.isFull());
  for (int I = 0; I < 70; ++I)
    Effects.learn("s", {{"old" + std::to_string(I), 0.2}}, 2.7);
  EXPECT_TRUE(Effects.isFull());
  Effects.reset();
  EXPECT_FALSE(Effects.isFull());
  for (int I = 0; I < 300; ++I) {
    const double Share = 0.02 * (I % 20);
    Effects.learn("s", {{"new", Share}}, std::exp(5 * Share));
  }
  EXPECT_TRUE(Effects.isDisturbing("s", "new"));
}
