//===- FillingAtASlowLeaderTest.cpp - A full fleet, a leader short of CPU -===//

#include "jobs/FillingLoad.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// The parameter is by how much the leader is slower than one that needs half
/// of its processor.
class FillingAtASlowLeaderTest : public FillingLoad,
                                 public ::testing::WithParamInterface<int> {
protected:
  static constexpr double Load = 1.4;

  FillingAtASlowLeaderTest() {
    FillingScenario Scenario;
    Scenario.Servers_ = 350;
    Scenario.Load_ = Load;
    Scenario.Length_ = 40s;
    const int Factor = GetParam();
    Scenario.Costs_ = {Factor * 210us, Factor * 7us, Factor * 3500us};
    play(Scenario);
  }
};

} // namespace

// Guards against a leader that, as more work waits, spends more of its
// processor on the order of that work and on surveys, until hardly a report is
// handled and nothing ends in time.
TEST_P(FillingAtASlowLeaderTest, RoomIsSpentOnJobsThatEndInTime) {
  EXPECT_GE(getWorth() * Load, 1.0) << "of what the servers can run";
}

// Guards against answers that come after the server has dropped the report.
TEST_P(FillingAtASlowLeaderTest, ReportsAreHandledWithinTheirTimeout) {
  EXPECT_LT(getLongestWait(5s), 1s);
}

INSTANTIATE_TEST_SUITE_P(Factors, FillingAtASlowLeaderTest,
                         ::testing::Values(1, 4, 5));
