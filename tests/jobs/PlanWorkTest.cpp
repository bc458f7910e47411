//===- PlanWorkTest.cpp - The work of a plan beside a long queue ----------===//
//
// A leader plans for thousands of reports a second. If a plan costs more while
// much work waits, a leader that falls behind once stays behind: its queue
// grows, its plans cost more, and it handles fewer reports.
//
//===----------------------------------------------------------------------===//

#include "jobs/DispatcherFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class PlanWorkTest : public DispatcherTest {
protected:
  static constexpr int Images = 30;
  static constexpr int TasksPerStep = 40;
  static constexpr std::int64_t ServerCpus = 10'000;
  static constexpr std::int64_t ServingCpus = 8'000;

  /// Adds a server with a serving task that reserves most of its processors.
  void addBusyServer() {
    for (const char *Idle : {"s1", "s2"})
      apply(RemoveServer{Idle, {}, true, {}});
    apply(AddServer{makeServer("busy", ServerCpus)});
    LiveServers_.reset(Registry_, Now_, 10s);
    StepSpec Serving = makeServing(1, "serving");
    Serving.Need_.MilliCpus_ = ServingCpus;
    submitNow(makeJob("lasting", {Serving}));
    advance(5s);
    ASSERT_EQ(plan("busy").size(), 1U);
  }
  /// Submits jobs of all images that need these processors for each task.
  void submitFilling(std::int64_t MilliCpus, int JobsPerImage) {
    for (int I = 0; I < Images * JobsPerImage; ++I) {
      StepSpec Filling =
          makeFilling(TasksPerStep, "f" + std::to_string(I % Images));
      Filling.Need_.MilliCpus_ = MilliCpus;
      submitNow(makeJob("filling" + std::to_string(I), {Filling}));
    }
    advance(200ms);
  }
  /// Returns the records that a plan reads which starts nothing.
  std::uint64_t countReadInVain() {
    Dispatcher_.takeRecordsRead();
    EXPECT_TRUE(plan("busy").empty());
    return Dispatcher_.takeRecordsRead();
  }
};

} // namespace

// Guards against plans that read each task of each waiting step to find that
// none of them suits the server.
TEST_F(PlanWorkTest, StepsThatSuitNoServerCostNoLookAtTheirTasks) {
  addBusyServer();
  submitFilling(5'000, 1);
  const std::uint64_t Few = countReadInVain();
  EXPECT_LE(Few, std::uint64_t(Images));
  submitFilling(5'000, 9);
  EXPECT_EQ(countReadInVain(), Few) << "ten times as many steps wait";
}

// Guards against plans that read steps of each image for a server whose idle
// processors are kept for the tails of its serving tasks.
TEST_F(PlanWorkTest, StepsThatLackIdleProcessorsAreNotRead) {
  addBusyServer();
  const std::int64_t Idle =
      RemainingCapacity::computeIdleCpus(*Registry_.findServer("busy"), Loads_);
  submitFilling(Idle, 2);
  EXPECT_EQ(countReadInVain(), 0U);
}

// Guards against plans that read filling steps for a server whose filling tasks
// are slowed down.
TEST_F(PlanWorkTest, FillingStepsAreNotReadForAPacedServer) {
  addBusyServer();
  submitFilling(500, 2);
  for (int I = 0; I < 10; ++I) {
    advance(500ms);
    Paces_.update("busy", {200, true}, {}, Now_);
  }
  ASSERT_LT(Paces_.getLimit("busy"), PaceController::FullPace);
  EXPECT_EQ(countReadInVain(), 0U);
}

// Guards against a search for gangs, twenty times a second, that reads all
// steps of the queue.
TEST_F(PlanWorkTest, TheSearchForGangsReadsNoOtherSteps) {
  submitFilling(500, 10);
  StepSpec Gang = makeStep(2, 1'000);
  Gang.Gang_ = true;
  submitNow(makeJob("gang", {Gang}));
  Dispatcher_.takeRecordsRead();
  EXPECT_EQ(Dispatcher_.planGang(Registry_, LiveServers_, Now_).size(), 0U);
  EXPECT_EQ(Dispatcher_.takeRecordsRead(), 1U);
}

// Guards against plans that use records of jobs from before a snapshot.
TEST_F(PlanWorkTest, ASnapshotReplacesTheRecordsThatPlansUse) {
  submitFilling(500, 1);
  const std::uint64_t Ready = Registry_.getReadyVersion();
  const std::uint64_t Forgotten = Registry_.getForgottenVersion();
  Registry_.replace(JobRegistry::decode(Registry_.encode()).value());
  EXPECT_GT(Registry_.getReadyVersion(), Ready);
  EXPECT_GT(Registry_.getForgottenVersion(), Forgotten);
  EXPECT_FALSE(plan("s1").empty());
}
