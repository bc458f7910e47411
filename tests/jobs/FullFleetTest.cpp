//===- FullFleetTest.cpp - Long-running tasks on a full fleet -------------===//
//
// Guards against long-running tasks that wait although a server has room for
// them, or could have once its short tasks have ended.
//
//===----------------------------------------------------------------------===//

#include "jobs/FullFleet.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

static constexpr std::uint64_t Seeds = 6;
static constexpr Duration MaxWaitBesideRoom = 3s;
/// Only few servers are reserved at a time, one for each task.
static constexpr Duration MaxWaitBesideShortWork = 5s;
static constexpr std::size_t MinWaiting = 25;
static constexpr std::size_t MinStarts = 500;

/// Runs the scenario, in which a quarter of the servers is lost, with several
/// seeds and expects that no long-running task waits for too long. Calls Check
/// with each fleet.
static void expectNoLongWait(
    FullFleetScenario Scenario,
    const std::function<void(const FullFleet &)> &Check = [](const auto &) {}) {
  Scenario.LossAt_ = 10s;
  for (Scenario.Seed_ = 1; Scenario.Seed_ <= Seeds; ++Scenario.Seed_) {
    SCOPED_TRACE("seed " + std::to_string(Scenario.Seed_));
    FullFleet Fleet(Scenario);
    Fleet.run();
    EXPECT_LT(Fleet.MaxWaitBesideRoom_, MaxWaitBesideRoom)
        << Fleet.LongestWait_;
    EXPECT_LT(Fleet.MaxWaitBesideShortWork_, MaxWaitBesideShortWork)
        << Fleet.LongestWaitBesideShortWork_;
    EXPECT_GE(Fleet.MostWaiting_, MinWaiting);
    EXPECT_GE(Fleet.LongRunningStarts_, MinStarts);
    Check(Fleet);
  }
}

TEST(FullFleetTest, NoTaskOfALostServerWaitsBesideRoom) {
  expectNoLongWait({});
}

TEST(FullFleetTest, QuarantinesAfterFailuresKeepNoTaskWaiting) {
  FullFleetScenario Scenario;
  Scenario.FailingJobInterval_ = 300ms;
  expectNoLongWait(Scenario, [](const FullFleet &Fleet) {
    EXPECT_GT(Fleet.Log_.count(EventKind::ServerQuarantined), 20U);
  });
}

TEST(FullFleetTest, QuarantinesForSlowRunsKeepNoTaskWaiting) {
  FullFleetScenario Scenario;
  Scenario.HasSlowServers_ = true;
  expectNoLongWait(Scenario, [](const FullFleet &Fleet) {
    EXPECT_GT(Fleet.Log_.count(EventKind::ServerQuarantined), 0U);
  });
}

// Tasks of the rack that were lost with another server before are suspected.
TEST(FullFleetTest, IsolatedRunsKeepNoTaskWaiting) {
  FullFleetScenario Scenario;
  Scenario.RackCrashAt_ = 18s;
  expectNoLongWait(Scenario);
}

namespace {

/// Sums over several seeds.
struct Totals {
  std::size_t Lost_ = 0;
  std::size_t LongAbsences_ = 0;
  std::size_t Yields_ = 0;
  std::size_t ShortStarts_ = 0;
  Duration MaxWaitBesideRoom_{};
};

} // namespace

static Totals runAll(FullFleetScenario Scenario) {
  Totals Sum;
  Scenario.LossAt_ = 10s;
  for (Scenario.Seed_ = 1; Scenario.Seed_ <= Seeds; ++Scenario.Seed_) {
    FullFleet Fleet(Scenario);
    Fleet.run();
    Sum.Lost_ += Fleet.LostTasks_;
    Sum.LongAbsences_ += Fleet.LongAbsences_;
    Sum.Yields_ += Fleet.Yields_;
    Sum.ShortStarts_ += Fleet.ShortStarts_;
    Sum.MaxWaitBesideRoom_ =
        std::max(Sum.MaxWaitBesideRoom_, Fleet.MaxWaitBesideRoom_);
  }
  return Sum;
}

// Where not all long-running work fits, tasks that ran before come back first.
TEST(FullFleetTest, OrderByJobsHalvesLongAbsences) {
  FullFleetScenario Scenario;
  Scenario.MinShortTasksWaiting_ = 0;
  const Totals Before = runAll(Scenario);
  Scenario.AreSharesEnabled_ = true;
  const Totals With = runAll(Scenario);
  EXPECT_GT(With.Lost_, 200U);
  EXPECT_LE(With.LongAbsences_ * 2, Before.LongAbsences_);
}

// Yields help short work, and what is kept for it lets no long-running task
// wait beside room, though short work without end waits.
TEST(FullFleetTest, YieldsKeepNoTaskWaitingBesideRoom) {
  FullFleetScenario Scenario;
  Scenario.MaxUnavailable_ = 1;
  const Totals Before = runAll(Scenario);
  EXPECT_EQ(Before.Yields_, 0U);
  Scenario.AreSharesEnabled_ = true;
  const Totals With = runAll(Scenario);
  EXPECT_GT(With.Yields_, 100U);
  EXPECT_GT(With.ShortStarts_, Before.ShortStarts_ * 2);
  EXPECT_LT(With.MaxWaitBesideRoom_, MaxWaitBesideRoom);
}

// Guards against tasks of lost servers that stay down while bounded work of
// their priority takes the room that they fit into.
TEST(FullFleetTest, LostTasksComeBackBeforeBoundedWorkStarts) {
  FullFleetScenario Scenario;
  Scenario.Servers_ = 128;
  Scenario.TwoLossesAt_ = 10s;
  Scenario.AreSharesEnabled_ = true;
  Scenario.YieldsWithoutBudget_ = true;
  for (Scenario.Seed_ = 1; Scenario.Seed_ <= Seeds; ++Scenario.Seed_) {
    SCOPED_TRACE("seed " + std::to_string(Scenario.Seed_));
    FullFleet Fleet(Scenario);
    Fleet.run();
    EXPECT_EQ(Fleet.TasksDownBesideRoom_, 0U) << Fleet.FirstDownBesideRoom_;
    EXPECT_GE(Fleet.MostWaiting_, MinWaiting);
    EXPECT_GE(Fleet.LongRunningStarts_, MinStarts);
    EXPECT_GT(Fleet.ShortStarts_, 1000U);
  }
}
