//===- PeriodicWorkPacingTest.cpp - Periodic work of a busy leader --------===//

#include "jobs/PeriodicWorkPacing.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class PeriodicWorkPacingTest : public ::testing::Test {
protected:
  /// Lets reports come that have waited for so long. Returns the factor.
  std::int64_t run(Duration Time, Duration Waited) {
    for (const TimePoint End = Now_ + Time; Now_ < End; Now_ += 50ms) {
      Pacing_.recordReport(Waited);
      Pacing_.update(Now_);
    }
    return Pacing_.getFactor();
  }

  TimePoint Now_{1h};
  PeriodicWorkPacing Pacing_;
};

} // namespace

// Guards against periodic work that is put off at a leader that keeps up.
TEST_F(PeriodicWorkPacingTest, ReportsThatHardlyWaitChangeNothing) {
  EXPECT_EQ(run(5s, 3ms), 1);
  EXPECT_EQ(run(5s, 30ms), 1);
}

// Guards against intervals that grow without a bound.
TEST_F(PeriodicWorkPacingTest, IntervalsGrowUpToABoundWhileReportsWait) {
  EXPECT_GT(run(500ms, 100ms), 1);
  EXPECT_EQ(run(10s, 100ms), PeriodicWorkPacing::MaxFactor);
}

// Guards against a state that outlasts what brought it about.
TEST_F(PeriodicWorkPacingTest,
       IntervalsReturnWithinASecondOnceReportsDoNotWait) {
  run(5s, 100ms);
  EXPECT_EQ(run(1s, 3ms), 1);
}

// Guards against a leader without reports that counts as behind for ever.
TEST_F(PeriodicWorkPacingTest, WithoutReportsIntervalsReturn) {
  run(5s, 100ms);
  for (int I = 0; I < 20; ++I)
    Pacing_.update(Now_ += 50ms);
  EXPECT_EQ(Pacing_.getFactor(), 1);
}
