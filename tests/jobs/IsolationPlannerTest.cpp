//===- IsolationPlannerTest.cpp - Isolated runs of suspected tasks -------===//

#include "jobs/IsolationPlanner.h"
#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class IsolationPlannerTest : public JobRegistryTest {
protected:
  /// Starts the job's tasks on a large server that crashes, twice.
  void crashTwice(const std::string &Job, std::uint64_t Tasks) {
    crash(Job, Tasks, 2, 0);
  }
  void crash(const std::string &Job, std::uint64_t Tasks, std::uint64_t Times,
             std::uint64_t AgeMsPerRun) {
    for (std::uint64_t Run = 1; Run <= Times; ++Run) {
      const std::string Id = Job + "-server" + std::to_string(Run);
      apply(AddServer{makeServer(Id, 1'000'000)});
      for (std::uint64_t Index = 0; Index < Tasks; ++Index)
        ASSERT_TRUE(start(makeStart(Job, Index, Id, Run)));
      std::vector<ReportedRun> Runs;
      for (std::uint64_t Index = 0; Index < Tasks; ++Index)
        Runs.push_back({{Job, 0, 0, Index}, Run * AgeMsPerRun});
      apply(RemoveServer{Id, {}, true, {true, true, false, true, Runs}});
    }
  }
  std::optional<TaskStart> plan(const std::string &Server) {
    return Planner_.plan(Registry_, LiveServers_, *Registry_.findServer(Server),
                         Now_, [](const auto &, const auto &) { return true; });
  }

  /// Starts the suspected task on s1 and returns what else may start there once
  /// the run has been reported for this time.
  IsolationPlanner::Closure getClosureAfter(const std::string &Job,
                                            Duration Reported) {
    LiveServers_.reset(Registry_, Now_, 6s);
    const TaskStart Next = makeStart(
        Job, 0, "s1", Registry_.findTask({Job, 0, 0, 0})->LastRun_ + 1);
    EXPECT_TRUE(start(Next));
    ServerReport Report;
    Report.Facts_ = makeServer("s1");
    Report.Running_ = {{Next.Task_, Next.Run_, "", 50, 0}};
    for (const Duration Passed : {Duration(0), Reported}) {
      ++Report.Sequence_;
      Now_ += Passed;
      EXPECT_TRUE(LiveServers_.recordReport(Report, Now_, 6s));
    }
    return Planner_.getClosure(Registry_, LiveServers_,
                               *Registry_.findServer("s1"), Now_);
  }

  TimePoint Now_ = TimePoint{} + 1h;
  LiveServerTable LiveServers_;
  IsolationPlanner Planner_;
};

} // namespace

// A report considers a bounded number of suspects; those behind many that fit
// on no server must be considered by later reports.
TEST_F(IsolationPlannerTest, SuspectBehindManyUnplaceableOnesStarts) {
  static constexpr std::uint64_t Unplaceable = 150;
  StepSpec Large = makeStep(Unplaceable, 5000);
  Large.Need_.MemoryMib_ = 1;
  submit(makeJob("large", {Large}));
  submit(makeJob("small", {makeStep(1, 100)}));
  crashTwice("large", Unplaceable);
  crashTwice("small", 1);
  ASSERT_EQ(Registry_.crashSuspects().size(), Unplaceable + 1);
  LiveServers_.reset(Registry_, Now_, 6s);
  std::optional<TaskStart> Start;
  for (int Report = 0; Report < 8 && !Start; ++Report) {
    Start = plan(Report % 2 == 0 ? "s1" : "s2");
    Now_ += 250ms;
  }
  ASSERT_TRUE(Start);
  EXPECT_EQ(Start->Task_.Job_, "small");
}

TEST_F(IsolationPlannerTest, MostUrgentSuspectStartsFirst) {
  submit(makeJob("first", {makeStep(1, 100)}));
  submit(makeJob("second", {makeStep(1, 100)}));
  crashTwice("second", 1);
  crashTwice("first", 1);
  LiveServers_.reset(Registry_, Now_, 6s);
  const std::optional<TaskStart> Start = plan("s1");
  ASSERT_TRUE(Start);
  EXPECT_EQ(Start->Task_.Job_, "first");
}

TEST_F(IsolationPlannerTest, OverdueTasksMayStartBesideARunThatHasSettled) {
  submit(makeJob("early", {makeStep(1, 100)}));
  submit(makeJob("settled", {makeStep(1, 100)}));
  crash("early", 1, 2, 1500);
  EXPECT_EQ(getClosureAfter("early", 900ms), IsolationPlanner::Closure::Closed);
  end(makeStart("early", 0, "s1", 3), RunOutcome::Done);
  crash("settled", 1, 2, 1500);
  EXPECT_EQ(getClosureAfter("settled", 1s),
            IsolationPlanner::Closure::OnlyAsLastResort);
}

TEST_F(IsolationPlannerTest, NothingStartsBesideASuspectOfThreeCrashes) {
  submit(makeJob("suspect", {makeStep(1, 100)}));
  crash("suspect", 1, 3, 1500);
  EXPECT_EQ(getClosureAfter("suspect", 5s), IsolationPlanner::Closure::Closed);
}
