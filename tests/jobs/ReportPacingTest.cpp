//===- ReportPacingTest.cpp - When servers report next --------------------===//

#include "jobs/ReportPacing.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

// Guards against slower offers of capacity on fleets where one server of many
// is free.
TEST(ReportPacingTest, IdleServersOfASmallFleetReportLikeBusyOnes) {
  const ReportPacing Pacing({500ms, 6s});
  EXPECT_EQ(Pacing.getIdleInterval(0), 500ms);
  EXPECT_EQ(Pacing.getIdleInterval(1'000), 500ms);
}

// Pattern of load: a fleet that is mostly idle. Guards against reports that
// bring no news in proportion to its servers.
TEST(ReportPacingTest, ReportsOfIdleServersDoNotGrowWithTheFleet) {
  const ReportPacing Pacing({500ms, 8s});
  EXPECT_EQ(Pacing.getIdleInterval(2'000), 1s);
  EXPECT_EQ(Pacing.getIdleInterval(3'000), 1500ms);
}

// Guards against idle servers that count as silent: four intervals of a busy
// server.
TEST(ReportPacingTest, IdleServersReportBeforeTheyCountAsSilent) {
  const ReportPacing Pacing({500ms, 30s});
  EXPECT_EQ(Pacing.getIdleInterval(12'000), 1500ms);
}

// Guards against a lease that is lost with a few reports.
TEST(ReportPacingTest, ALeaseOutlastsThreeLostReports) {
  for (const Duration Lease : {5000ms, 6000ms, 7000ms}) {
    const ReportPacing Pacing({500ms, Lease});
    EXPECT_LE(4 * Pacing.getIdleInterval(12'000), Lease);
  }
}

// Guards against an interval below the one of busy servers.
TEST(ReportPacingTest, AShortLeaseDoesNotShortenTheUsualInterval) {
  const ReportPacing Pacing({500ms, 1s});
  EXPECT_EQ(Pacing.getIdleInterval(12'000), 500ms);
}
