//===- CrashingTaskTest.cpp - Tasks that crash the servers they run on ----===//
//
// Guards against tasks that crash each server that starts them being started
// again without a bound, and against sound jobs given up in their place.
//
//===----------------------------------------------------------------------===//

#include "jobs/CrashFleet.h"

#include <gmock/gmock.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;
using testing::IsEmpty;

static constexpr std::uint64_t Seeds = 6;

/// No promise is broken, and no sound job is left over.
static void expectSound(const CrashFleet &Fleet, const std::string &Case = "") {
  EXPECT_THAT(Fleet.Broken_, IsEmpty()) << Case;
  EXPECT_THAT(Fleet.listUnfinished(), IsEmpty()) << Case;
}

static void expectGivenUp(const CrashFleet &Fleet, const std::string &Job) {
  EXPECT_EQ(Fleet.getState(Job), JobState::Failed) << Job;
  EXPECT_GE(Fleet.countCrashes(Job), 2U) << Job;
}

TEST(CrashingTaskTest, ATaskThatCrashesItsServersIsGivenUp) {
  for (const Duration Back : {1s, 3s, 8s}) {
    CrashDay Day;
    Day.BackAfter_ = Back;
    CrashFleet Fleet(Day);
    Fleet.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
    Fleet.run(60s);
    expectSound(Fleet);
    expectGivenUp(Fleet, "bad");
  }
}

TEST(CrashingTaskTest, SoAreTasksWhoseServersNeverComeBack) {
  CrashDay Day;
  Day.AreBack_ = false;
  CrashFleet Fleet(Day);
  Fleet.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
  Fleet.run(60s);
  expectSound(Fleet);
  expectGivenUp(Fleet, "bad");
}

TEST(CrashingTaskTest, ManyAtOnceAreTooWhoeverLeads) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CrashDay Day;
    Day.Seed_ = Seed;
    Day.LeaderLasts_ = 7s;
    Day.CutInterval_ = 5s;
    CrashFleet Fleet(Day);
    for (int I = 0; I < 8; ++I) {
      Fleet.submit("bad" + std::to_string(I),
                   {makeStep(6, 1000), makeStep(4, 500)}, {{I % 2, I % 4}});
      Fleet.run(700ms);
    }
    Fleet.run(90s);
    expectSound(Fleet, "seed " + std::to_string(Seed));
    for (int I = 0; I < 8; ++I)
      expectGivenUp(Fleet, "bad" + std::to_string(I));
  }
}

TEST(CrashingTaskTest, SoIsAStepOfNothingElse) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> All;
  for (std::uint64_t I = 0; I < 40; ++I)
    All.insert({0, I});
  CrashFleet Fleet(CrashDay{});
  Fleet.submit("bad", {makeStep(40, 1000)}, All);
  Fleet.run(60s);
  expectSound(Fleet);
  expectGivenUp(Fleet, "bad");
}

TEST(CrashingTaskTest, SoIsAGangThatCrashesSeveralServersAtATime) {
  StepSpec Gang = makeStep(6, 6000);
  Gang.Gang_ = true;
  CrashFleet Fleet(CrashDay{});
  Fleet.submit("bad", {Gang}, {{0, 0}, {0, 2}, {0, 4}});
  Fleet.run(60s);
  expectSound(Fleet);
  expectGivenUp(Fleet, "bad");
}

TEST(CrashingTaskTest, SoAreCopiesAndTasksThatLast) {
  CrashFleet Fleet(CrashDay{});
  StepSpec Copied = makeStep(6, 1000);
  Copied.Speculative_ = true;
  Fleet.submit("copied", {Copied}, {{0, 1}});
  Fleet.submit("lasting", {makeServing(4, "other")}, {{0, 3}});
  Fleet.run(60s);
  expectSound(Fleet);
  expectGivenUp(Fleet, "copied");
  expectGivenUp(Fleet, "lasting");
}

TEST(CrashingTaskTest, SoAreTasksThatCrashTheirServersAfterSomeSeconds) {
  for (const Duration After : {400ms, 1500ms, 4000ms}) {
    CrashDay Day;
    Day.CrashAfter_ = After;
    CrashFleet Fleet(Day);
    Fleet.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
    Fleet.run(90s);
    expectSound(Fleet, std::to_string(After.count()));
    expectGivenUp(Fleet, "bad");
  }
}

TEST(CrashingTaskTest, JobsOnServersThatCrashByThemselvesAreNotGivenUp) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CrashDay Day;
    Day.Seed_ = Seed;
    Day.MassCrashInterval_ = 6s;
    Day.CutInterval_ = 4s;
    Day.Unstable_ = 4;
    Day.JobInterval_ = 150ms;
    Day.LeaderLasts_ = Seed % 2 == 0 ? Duration(9s) : Duration(0);
    CrashFleet Fleet(Day);
    Fleet.run(40s);
    EXPECT_GT(Fleet.SoundCrashed_, 50U);
    EXPECT_GT(Fleet.Done_, 300U);
    EXPECT_THAT(Fleet.Broken_, IsEmpty()) << "seed " << Seed;
  }
}

TEST(CrashingTaskTest, NorAreJobsBesideTasksThatCrashThem) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CrashDay Day;
    Day.Seed_ = Seed;
    Day.Unstable_ = 3;
    Day.MassCrashInterval_ = 15s;
    CrashFleet Fleet(Day);
    for (int I = 0; I < 12; ++I) {
      Fleet.submit("bad" + std::to_string(I), {makeStep(6, 1000)},
                   {{0, I % 6}});
      Fleet.run(1500ms);
    }
    Fleet.run(60s);
    EXPECT_THAT(Fleet.Broken_, IsEmpty()) << "seed " << Seed;
    for (int I = 0; I < 12; ++I)
      expectGivenUp(Fleet, "bad" + std::to_string(I));
  }
}

// On a full fleet the only room is on servers that crashed and came back, where
// isolated runs follow one another.
TEST(CrashingTaskTest, TasksThatLastAreSoonBackOnAFullFleet) {
  static constexpr Duration MostWithoutRun = 6s;
  for (const std::size_t PerServer : {2U, 4U, 8U}) {
    CrashDay Day;
    Day.Servers_ = 16 * PerServer;
    Day.SoundJobsUntil_ = 0s;
    CrashFleet Fleet(Day);
    const auto Cpus = static_cast<std::int64_t>(16'000 / PerServer);
    Fleet.submit("lasting",
                 {makeServing(Day.Servers_ * PerServer, "image", Cpus)}, {});
    Fleet.run(8s);
    Fleet.crashFirst(2);
    Fleet.run(10s);
    Fleet.crashFirst(2);
    Fleet.run(20s);
    EXPECT_THAT(Fleet.Broken_, IsEmpty());
    EXPECT_GT(Fleet.SoundCrashed_, 2 * PerServer);
    EXPECT_LE(Fleet.getLongestOutage(), Day.BackAfter_ + MostWithoutRun)
        << PerServer
        << " tasks on a server, ms: " << Fleet.getLongestOutage() / 1ms;
  }
}
