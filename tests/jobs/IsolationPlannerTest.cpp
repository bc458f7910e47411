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
    for (std::uint64_t Run = 1; Run <= 2; ++Run) {
      const std::string Id = Job + "-server" + std::to_string(Run);
      apply(AddServer{makeServer(Id, 1'000'000)});
      for (std::uint64_t Index = 0; Index < Tasks; ++Index)
        ASSERT_TRUE(start(makeStart(Job, Index, Id, Run)));
      apply(RemoveServer{Id, {}, true, {true, true, false, true, {}}});
    }
  }
  std::optional<TaskStart> plan(const std::string &Server) {
    return Planner_.plan(Registry_, LiveServers_, *Registry_.findServer(Server),
                         Now_, [](const auto &, const auto &) { return true; });
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
