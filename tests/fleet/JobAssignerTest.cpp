//===- JobAssignerTest.cpp ------------------------------------------------===//

#include "tulipweir/fleet/JobAssigner.h"
#include "tulipweir/fleet/FleetState.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::fleet;

using std::chrono::seconds;

static constexpr Duration Ttl = seconds(1000);

namespace {
/// Drives the assigner of one leader by hand.
class JobAssignerTest : public testing::Test {
protected:
  JobAssignerTest() { Assigner_.startLeading(at(0)); }
  static TimePoint at(int Second) { return TimePoint(seconds(100 + Second)); }
  void submit(const char *Job, const char *Preferred = "") {
    State_.apply(
        SubmitJob{JobId(Job), TeamId("t"), "s", DataCentreId(Preferred), 0});
  }
  void reportLoad(const char *DataCentre, int Second, DataCentreLoad Load) {
    Assigner_.renew({DataCentreId(DataCentre), true, Load, {}}, State_.jobs(),
                    at(Second));
  }
  std::vector<std::string> decide(int Second) {
    std::vector<std::string> Chosen;
    for (const Command &Proposed :
         Assigner_.decide(State_.jobs(), at(Second), 10)) {
      if (const auto *Assign = std::get_if<AssignJob>(&Proposed))
        Chosen.push_back(Assign->DataCentre_.value());
      else
        Chosen.push_back("release");
      State_.apply(Proposed);
    }
    return Chosen;
  }

  FleetState State_;
  JobAssigner Assigner_{AssignmentTimes::makeFor(Ttl)};
};
using Names = std::vector<std::string>;
} // namespace

TEST_F(JobAssignerTest, NewLeaderWaitsBeforeAssigning) {
  submit("a");
  reportLoad("east", 0, {0, 0, 8});
  EXPECT_EQ(decide(1), Names());
  EXPECT_EQ(decide(3), Names{"east"});
}

TEST_F(JobAssignerTest, PreferredDataCentreIsChosenWhileReachable) {
  submit("a", "west");
  reportLoad("east", 3, {0, 0, 8});
  reportLoad("west", 3, {1, 50, 8});
  EXPECT_EQ(decide(3), Names{"west"});
  submit("b", "west");
  reportLoad("east", 20, {0, 0, 8});
  EXPECT_EQ(decide(20), Names{"east"}) << "west last reported 17 s ago";
}

TEST_F(JobAssignerTest, JobsAreSpreadBetweenLoadReports) {
  for (const char *Job : {"a", "b", "c", "d"})
    submit(Job);
  reportLoad("east", 3, {0, 0, 8});
  reportLoad("west", 3, {0, 0, 8});
  const auto Chosen = decide(3);
  EXPECT_EQ(std::ranges::count(Chosen, "east"), 2);
  EXPECT_EQ(std::ranges::count(Chosen, "west"), 2);
}

TEST_F(JobAssignerTest, LeastLoadedDataCentreWithServersIsChosen) {
  submit("a");
  reportLoad("east", 3, {0.9, 4, 8});
  reportLoad("west", 3, {0.2, 0, 8});
  reportLoad("empty", 3, {0, 0, 0});
  EXPECT_EQ(decide(3), Names{"west"});
}

TEST_F(JobAssignerTest, JobMovesOnlyAfterTtlAndMargin) {
  submit("a");
  reportLoad("east", 3, {0, 0, 8});
  decide(3);
  reportLoad("west", 1027, {0, 0, 8});
  EXPECT_EQ(decide(1027), Names());
  reportLoad("west", 1028, {0, 0, 8});
  EXPECT_EQ(decide(1028), Names{"release"});
  EXPECT_EQ(decide(1028), Names{"west"});
}

TEST_F(JobAssignerTest, ProposalIsRetriedOnlyAfterRetryInterval) {
  submit("a");
  reportLoad("east", 3, {0, 0, 8});
  EXPECT_EQ(Assigner_.decide(State_.jobs(), at(3), 10).size(), 1U);
  EXPECT_EQ(Assigner_.decide(State_.jobs(), at(7), 10).size(), 0U);
  EXPECT_EQ(Assigner_.decide(State_.jobs(), at(8), 10).size(), 1U);
}
