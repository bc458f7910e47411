//===- WideJobsTest.cpp - Filling jobs of all sizes in a full fleet -------===//

#include "jobs/FillingLoad.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

namespace {

class WideJobsTest : public FillingLoad,
                     public ::testing::WithParamInterface<double> {
protected:
  /// Lets more work arrive than the servers can run, by the parameter.
  void playLoad() {
    FillingScenario Scenario;
    Scenario.Load_ = GetParam();
    play(Scenario);
  }
};

} // namespace

// Guards against wide jobs that wait until they are of no use, as small jobs,
// which are worth more for their work, take all room.
TEST_P(WideJobsTest, LargeJobsAreServedAsOftenAsOthers) {
  playLoad();
  const double All = getLargest(0, 1).getServed();
  EXPECT_GE(getLargest(0, 0.1).getServed(), All - 0.15);
  EXPECT_GE(getLargest(0.1, 0.3).getServed(), All - 0.15);
}

// Guards against an order that is fair and wastes the room, by jobs that begin
// and end too late or never.
TEST_P(WideJobsTest, RoomIsSpentOnJobsThatEndInTime) {
  playLoad();
  EXPECT_GE(getWorth() * GetParam(), 1.0) << "of what the servers can run";
}

INSTANTIATE_TEST_SUITE_P(Loads, WideJobsTest,
                         ::testing::Values(1.2, 1.4, 1.6, 2.0));
