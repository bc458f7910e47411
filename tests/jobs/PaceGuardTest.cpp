//===- PaceGuardTest.cpp - Pace, learned effects
//----------------------------===//

#include "jobs/PaceGuard.h"
#include "jobs/TailEffects.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class PaceGuardTest : public ::testing::Test {
protected:
  void note(std::uint64_t TailPercent, double Disturbing, bool HasOthers) {
    Time_ += 250ms;
    Guard_.note("s", {TailPercent, Disturbing, HasOthers}, Time_);
  }
  FillingPace pace() const { return Guard_.getPace("s"); }

  PaceGuard Guard_;
  TimePoint Time_{1h};
};

} // namespace

TEST_F(PaceGuardTest, WithoutServingTasksEverythingWorksAtFullSpeed) {
  EXPECT_EQ(pace(), FillingPace{});
  EXPECT_FALSE(Guard_.isToBeTold("s", Time_));
}

TEST_F(PaceGuardTest, DisturbingTasksShareASmallBudget) {
  note(40, 0.18, true);
  EXPECT_EQ(pace().Disturbing_, 50U);
  EXPECT_EQ(pace().Others_, 100U);
}

TEST_F(PaceGuardTest, TheBudgetShrinksAsATailNearsItsTarget) {
  note(40, 0.1, true);
  const std::uint64_t Calm = pace().Disturbing_;
  note(80, 0.1, true);
  EXPECT_LT(pace().Disturbing_, Calm);
  note(99, 0.1, true);
  EXPECT_EQ(pace().Disturbing_, 0U);
}

TEST_F(PaceGuardTest, OthersAreSlowedOnlyWhenATailStaysOverForLong) {
  note(150, 0, true);
  note(150, 0, true);
  EXPECT_EQ(pace().Others_, 100U);
  for (int I = 0; I < 20; ++I)
    note(150, 0, true);
  EXPECT_EQ(pace().Others_, 0U) << "well before 5 s are over";
  for (int I = 0; I < 20; ++I)
    note(50, 0, true);
  EXPECT_EQ(pace().Others_, 100U);
}

TEST_F(PaceGuardTest, NothingFillsBesideATailThatIsOverForLong) {
  // Rough figures dip below the target now and then; harm is counted after
  // 5.5 s, in which the last step must have had its effect of 0.65 s.
  const std::uint64_t Tails[] = {130, 95, 120, 98, 140, 110, 92, 130};
  Duration Until{};
  for (int I = 0; pace().Others_ > 0 && I < 100; ++I) {
    note(Tails[I % 8], 0, true);
    Until += 250ms;
  }
  EXPECT_LE(Until, 4s);
}

TEST_F(PaceGuardTest, OneCorrectionWaitsForTheEffectOfTheLast) {
  note(50, 0.09, false);
  note(300, 0.09, false);
  const double First = Guard_.getBudget("s");
  Guard_.note("s", {50, 0.09, false}, Time_ + 1ms);
  Guard_.note("s", {300, 0.09, false}, Time_ + 2ms);
  EXPECT_EQ(Guard_.getBudget("s"), First);
}

TEST_F(PaceGuardTest, AChangedPaceIsRepeatedForAWhile) {
  note(99, 0.2, false);
  EXPECT_TRUE(Guard_.isToBeTold("s", Time_));
  for (int I = 0; I < 40; ++I)
    note(10, 0.05, false);
  EXPECT_EQ(pace(), FillingPace{});
  EXPECT_FALSE(Guard_.isToBeTold("s", Time_));
}

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
