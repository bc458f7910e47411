//===- GangPlannerTest.cpp - Placement of gangs on racks -----------------===//

#include "jobs/GangPlanner.h"

#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

namespace {

/// Two servers on each of the racks r1 (from the fixture) and r2.
class GangPlannerTest : public JobRegistryTest {
protected:
  GangPlannerTest() {
    for (const char *Id : {"t1", "t2"}) {
      ServerFacts Facts = makeServer(Id);
      Facts.Rack_ = "r2";
      apply(AddServer{Facts});
    }
  }
  void submitGang(std::uint64_t Tasks, bool SameRack,
                  const std::string &DataRack = "") {
    StepSpec Step = makeStep(Tasks, 1000);
    Step.Gang_ = true;
    Step.SameRack_ = SameRack;
    Step.DataRack_ = DataRack;
    submit(makeJob("g", {Step}));
  }
  /// Counts the tasks by rack.
  std::map<std::string, std::size_t> plan(bool MaySpread) {
    std::map<std::string, std::size_t> Count;
    const auto Starts =
        planGangStarts(Registry_, *Registry_.readySteps().begin(), MaySpread,
                       [this](const ServerRecord &Server) {
                         return Unusable_ != Server.Facts_.Id_;
                       });
    for (const TaskStart &Start : Starts)
      ++Count[Registry_.findServer(Start.Server_)->Facts_.Rack_];
    return Count;
  }

  std::string Unusable_;
};

using Racks = std::map<std::string, std::size_t>;

} // namespace

TEST_F(GangPlannerTest, RackThatFitsWholeGangIsPreferred) {
  submitGang(6, /*SameRack=*/false);
  Unusable_ = "s1";
  EXPECT_EQ(plan(true), (Racks{{"r2", 6}}));
}

TEST_F(GangPlannerTest, DataRackIsPreferred) {
  submitGang(6, /*SameRack=*/false, "r2");
  EXPECT_EQ(plan(true), (Racks{{"r2", 6}}));
}

TEST_F(GangPlannerTest, SameRackGangIsSpreadOnlyIfAllowed) {
  submitGang(10, /*SameRack=*/true);
  EXPECT_EQ(plan(false), Racks{});
  EXPECT_EQ(plan(true), (Racks{{"r1", 8}, {"r2", 2}}));
}

TEST_F(GangPlannerTest, OtherGangsAreSpreadImmediately) {
  submitGang(10, /*SameRack=*/false);
  EXPECT_EQ(plan(false), (Racks{{"r1", 8}, {"r2", 2}}));
}

TEST_F(GangPlannerTest, GangIsPlacedAsAWholeOrNotAtAll) {
  submitGang(17, /*SameRack=*/false);
  EXPECT_EQ(plan(true), Racks{});
}

TEST_F(GangPlannerTest, PlannedStartsAreAccepted) {
  submitGang(10, /*SameRack=*/false);
  const auto Starts =
      planGangStarts(Registry_, *Registry_.readySteps().begin(), true,
                     [](const ServerRecord &) { return true; });
  const CommandResult Result = apply(StartTasks{Starts});
  EXPECT_EQ(Result.Accepted_, std::vector<bool>(10, true));
}
