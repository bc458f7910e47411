//===- CrashingTaskTest.cpp - Tasks that crash the servers they run on ----===//
//
// Guards against restarting a task without bound although it crashes every
// server that starts it, and against failing healthy jobs in its place.
//
//===----------------------------------------------------------------------===//

#include "jobs/CrashSimulator.h"

#include <gmock/gmock.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;
using testing::IsEmpty;

static constexpr std::uint64_t Seeds = 6;

/// Expects that no guarantee was broken and all healthy jobs are completed.
static void expectNoViolations(const CrashSimulator &Simulator,
                               const std::string &Case = "") {
  EXPECT_THAT(Simulator.Violations_, IsEmpty()) << Case;
  EXPECT_THAT(Simulator.listUnfinished(), IsEmpty()) << Case;
}

static void expectGivenUp(const CrashSimulator &Simulator,
                          const std::string &Job) {
  EXPECT_EQ(Simulator.getState(Job), JobState::Failed) << Job;
  EXPECT_GE(Simulator.countCrashes(Job), 2U) << Job;
}

TEST(CrashingTaskTest, ATaskThatCrashesItsServersIsGivenUp) {
  for (const Duration RestartDelay : {1s, 3s, 8s}) {
    CrashScenario Scenario;
    Scenario.RestartDelay_ = RestartDelay;
    CrashSimulator Simulator(Scenario);
    Simulator.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
    Simulator.run(60s);
    expectNoViolations(Simulator);
    expectGivenUp(Simulator, "bad");
  }
}

TEST(CrashingTaskTest, TasksWhoseServersNeverComeBackAreGivenUp) {
  CrashScenario Scenario;
  Scenario.RestartsServers_ = false;
  CrashSimulator Simulator(Scenario);
  Simulator.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
  Simulator.run(60s);
  expectNoViolations(Simulator);
  expectGivenUp(Simulator, "bad");
}

TEST(CrashingTaskTest, ManyCrashingTasksAreGivenUpAcrossLeaderChanges) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CrashScenario Scenario;
    Scenario.Seed_ = Seed;
    Scenario.LeaderInterval_ = 7s;
    Scenario.PartitionInterval_ = 5s;
    CrashSimulator Simulator(Scenario);
    for (int I = 0; I < 8; ++I) {
      Simulator.submit("bad" + std::to_string(I),
                       {makeStep(6, 1000), makeStep(4, 500)}, {{I % 2, I % 4}});
      Simulator.run(700ms);
    }
    Simulator.run(90s);
    expectNoViolations(Simulator, "seed " + std::to_string(Seed));
    for (int I = 0; I < 8; ++I)
      expectGivenUp(Simulator, "bad" + std::to_string(I));
  }
}

TEST(CrashingTaskTest, AStepOfCrashingTasksIsGivenUp) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> All;
  for (std::uint64_t I = 0; I < 40; ++I)
    All.insert({0, I});
  CrashSimulator Simulator(CrashScenario{});
  Simulator.submit("bad", {makeStep(40, 1000)}, All);
  Simulator.run(60s);
  expectNoViolations(Simulator);
  expectGivenUp(Simulator, "bad");
}

TEST(CrashingTaskTest, AGangThatCrashesSeveralServersAtOnceIsGivenUp) {
  StepSpec Gang = makeStep(6, 6000);
  Gang.Gang_ = true;
  CrashSimulator Simulator(CrashScenario{});
  Simulator.submit("bad", {Gang}, {{0, 0}, {0, 2}, {0, 4}});
  Simulator.run(60s);
  expectNoViolations(Simulator);
  expectGivenUp(Simulator, "bad");
}

TEST(CrashingTaskTest, SpeculativeCopiesAndLongRunningTasksAreGivenUp) {
  CrashSimulator Simulator(CrashScenario{});
  StepSpec Copied = makeStep(6, 1000);
  Copied.Speculative_ = true;
  Simulator.submit("copied", {Copied}, {{0, 1}});
  Simulator.submit("lasting", {makeServing(4, "other")}, {{0, 3}});
  Simulator.run(60s);
  expectNoViolations(Simulator);
  expectGivenUp(Simulator, "copied");
  expectGivenUp(Simulator, "lasting");
}

TEST(CrashingTaskTest, TasksThatCrashTheirServersAfterSomeSecondsAreGivenUp) {
  for (const Duration Delay : {400ms, 1500ms, 4000ms}) {
    CrashScenario Scenario;
    Scenario.CrashDelay_ = Delay;
    CrashSimulator Simulator(Scenario);
    Simulator.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
    Simulator.run(90s);
    expectNoViolations(Simulator, std::to_string(Delay.count()));
    expectGivenUp(Simulator, "bad");
  }
}

TEST(CrashingTaskTest, JobsOnServersThatCrashByThemselvesAreNotGivenUp) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CrashScenario Scenario;
    Scenario.Seed_ = Seed;
    Scenario.MassCrashInterval_ = 6s;
    Scenario.PartitionInterval_ = 4s;
    Scenario.UnstableServers_ = 4;
    Scenario.JobInterval_ = 150ms;
    Scenario.LeaderInterval_ = Seed % 2 == 0 ? Duration(9s) : Duration(0);
    CrashSimulator Simulator(Scenario);
    Simulator.run(40s);
    EXPECT_GT(Simulator.HealthyRunsCrashed_, 50U);
    EXPECT_GT(Simulator.RunsDone_, 300U);
    EXPECT_THAT(Simulator.Violations_, IsEmpty()) << "seed " << Seed;
  }
}

/// Submits crashing tasks beside sound jobs and expects that only they are
/// given up.
static void expectOnlyCrashingTasksGivenUp(CrashScenario Scenario) {
  for (Scenario.Seed_ = 1; Scenario.Seed_ <= Seeds; ++Scenario.Seed_) {
    Scenario.UnstableServers_ = 3;
    Scenario.MassCrashInterval_ = 15s;
    CrashSimulator Simulator(Scenario);
    for (int I = 0; I < 12; ++I) {
      Simulator.submit("bad" + std::to_string(I), {makeStep(6, 1000)},
                       {{0, I % 6}});
      Simulator.run(1500ms);
    }
    Simulator.run(60s);
    EXPECT_THAT(Simulator.Violations_, IsEmpty()) << "seed " << Scenario.Seed_;
    for (int I = 0; I < 12; ++I)
      expectGivenUp(Simulator, "bad" + std::to_string(I));
  }
}

TEST(CrashingTaskTest, JobsBesideCrashingTasksAreNotGivenUp) {
  expectOnlyCrashingTasksGivenUp({});
}

// On a full fleet, the only free capacity is on servers that crashed and
// restarted, where isolated runs start one after another.
TEST(CrashingTaskTest, LongRunningTasksRestartSoonOnAFullFleet) {
  static constexpr Duration MaxRestartDelay = 6s;
  for (const std::size_t PerServer : {2U, 4U, 8U}) {
    CrashScenario Scenario;
    Scenario.Servers_ = 16 * PerServer;
    Scenario.HealthyJobsFor_ = 0s;
    CrashSimulator Simulator(Scenario);
    const auto Cpus = static_cast<std::int64_t>(16'000 / PerServer);
    Simulator.submit(
        "lasting", {makeServing(Scenario.Servers_ * PerServer, "image", Cpus)},
        {});
    Simulator.run(8s);
    Simulator.crashFirst(2);
    Simulator.run(10s);
    Simulator.crashFirst(2);
    Simulator.run(20s);
    EXPECT_THAT(Simulator.Violations_, IsEmpty());
    EXPECT_GT(Simulator.HealthyRunsCrashed_, 2 * PerServer);
    EXPECT_LE(Simulator.getLongestOutage(),
              Scenario.RestartDelay_ + MaxRestartDelay)
        << PerServer
        << " tasks on a server, ms: " << Simulator.getLongestOutage() / 1ms;
  }
}

/// Servers start again under their ids, and relays flush at once.
static CrashScenario makeScenarioWithIds(Duration RestartDelay) {
  CrashScenario Scenario;
  Scenario.KeepsIds_ = true;
  Scenario.FlushDelay_ = 10ms;
  Scenario.RestartDelay_ = RestartDelay;
  return Scenario;
}

// Guards against a task that crashes its servers without bound as they start
// again under their ids.
TEST(CrashingTaskTest, ATaskThatCrashesServersThatKeepTheirIdsIsGivenUp) {
  for (const Duration RestartDelay : {300ms, 800ms, 3000ms, 8000ms}) {
    CrashSimulator Simulator(makeScenarioWithIds(RestartDelay));
    Simulator.submit("bad", {makeStep(6, 1000)}, {{0, 2}});
    Simulator.submit("lasting", {makeServing(4, "other")}, {{0, 3}});
    Simulator.run(60s);
    expectNoViolations(Simulator, std::to_string(RestartDelay.count()));
    expectGivenUp(Simulator, "bad");
    expectGivenUp(Simulator, "lasting");
  }
}

// Guards against sound jobs that are given up as their servers crash together
// and are back before the others have been silent for long.
TEST(CrashingTaskTest, JobsOnServersThatKeepTheirIdsAreNotGivenUp) {
  for (const Duration RestartDelay : {300ms, 800ms, 3000ms})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      CrashScenario Scenario = makeScenarioWithIds(RestartDelay);
      Scenario.Seed_ = Seed;
      Scenario.MassCrashInterval_ = 4s;
      Scenario.UnstableServers_ = 4;
      Scenario.JobInterval_ = 150ms;
      Scenario.LeaderInterval_ = Seed % 2 == 0 ? Duration(9s) : Duration(0);
      CrashSimulator Simulator(Scenario);
      Simulator.run(40s);
      EXPECT_GT(Simulator.HealthyRunsCrashed_, 50U);
      EXPECT_THAT(Simulator.Violations_, IsEmpty())
          << "seed " << Seed << ", restart after " << RestartDelay / 1ms
          << " ms";
    }
}

// Guards against sound jobs that are given up in the place of the tasks that
// crash their servers, and against crashing tasks that are not.
TEST(CrashingTaskTest, JobsBesideCrashingTasksOnServersThatKeepTheirIds) {
  for (const Duration RestartDelay : {300ms, 800ms, 3000ms})
    expectOnlyCrashingTasksGivenUp(makeScenarioWithIds(RestartDelay));
}
