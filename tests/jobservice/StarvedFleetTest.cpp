//===- StarvedFleetTest.cpp - Invariants with a slow leader ---------------===//
//
// What happened: beside builds and other plays, or with a leader that ran three
// times slower, servers that were well lost their leases, runs that were done
// began again, and cancelled tasks ran on (KNOWN-RED.txt: LOST, TWICE, UNASKED
// on large days). No trace showed one day's break twice, for it depended on
// what else the machine did. Here the leader's time is a figure: what it must
// keep to holds whatever that is; that no lease is lost, as long as each server
// can be answered twice a lease.
//
//===----------------------------------------------------------------------===//

#include "jobservice/StarvedFleet.h"

#include <gmock/gmock.h>

using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;
using tulipweir::Duration;

/// From a leader with time to spare to one that answers a server of 90 each two
/// seconds; reports alone would take 300 a second.
static const std::vector<tulipweir::Duration> Budgets = {500us, 3ms, 10ms,
                                                         20ms};
static constexpr std::uint64_t Seeds = 6;

TEST(StarvedFleetTest, NoLeaseIsLostByTheLeadersSlowness) {
  for (const tulipweir::Duration Cost : Budgets)
    for (const tulipweir::Duration Commit : {10ms, 160ms}) {
      FleetScenario Scenario;
      Scenario.ReportCost_ = Cost;
      Scenario.CommitInterval_ = Commit;
      StarvedFleet Fleet(Scenario);
      Fleet.run();
      EXPECT_THAT(Fleet.Violations_, testing::IsEmpty());
      EXPECT_EQ(Fleet.LeasesLost_, 0U) << Cost.count() << " ns a report";
      EXPECT_GT(Fleet.Started_, 100U);
      EXPECT_GT(Fleet.Done_, 100U);
    }
}

TEST(StarvedFleetTest, NothingRunsTwiceDespiteServerLosses) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    for (const tulipweir::Duration Cost : Budgets) {
      FleetScenario Scenario;
      Scenario.Seed_ = Seed;
      Scenario.ReportCost_ = Cost;
      Scenario.CommitInterval_ = 10ms * static_cast<int>(1 + Seed * 4);
      Scenario.HasFaults_ = true;
      StarvedFleet Fleet(Scenario);
      Fleet.run();
      EXPECT_THAT(Fleet.Violations_, testing::IsEmpty())
          << "seed " << Seed << ", " << Cost.count() << " ns a report";
      EXPECT_GT(Fleet.ServersLost_, 20U);
      EXPECT_GT(Fleet.Started_, 100U);
    }
}

TEST(StarvedFleetTest, InvariantsHoldWithoutLeases) {
  // A server's turn comes each nine seconds, a lease lasts five.
  FleetScenario Scenario;
  Scenario.ReportCost_ = 100ms;
  Scenario.HasFaults_ = true;
  Scenario.Length_ = 60s;
  StarvedFleet Fleet(Scenario);
  Fleet.run();
  EXPECT_THAT(Fleet.Violations_, testing::IsEmpty());
}

/// What a report costs a leader with time to spare.
static constexpr Duration NormalCost = 5ms;

static FleetScenario makeScenario(std::uint64_t Seed, Duration Cost,
                                  Duration Length) {
  FleetScenario Scenario;
  Scenario.Seed_ = Seed;
  Scenario.ReportCost_ = Cost;
  Scenario.Length_ = Length;
  Scenario.HasFaults_ = Seed % 2 == 0;
  Scenario.MaxLongRunningJobs_ = 10;
  return Scenario;
}

// Guards against a leader that works only on reports whose relays have given
// them up: a quarter more work per report cost 97% of the starts.
TEST(StarvedFleetTest, ThroughputFallsNoFasterThanTheLeadersSpeed) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    StarvedFleet Normal(makeScenario(Seed, NormalCost, 60s));
    Normal.run();
    for (const std::size_t Factor : {2, 5, 6, 10, 20}) {
      StarvedFleet Slow(
          makeScenario(Seed, NormalCost * static_cast<int>(Factor), 60s));
      Slow.run();
      EXPECT_GE(Slow.Started_ * Factor, Normal.Started_)
          << "seed " << Seed << ", " << Factor << " times slower";
      EXPECT_GE(Slow.Done_ * Factor, Normal.Done_)
          << "seed " << Seed << ", " << Factor << " times slower";
      EXPECT_THAT(Slow.Violations_, testing::IsEmpty());
    }
  }
}

// Guards against a fleet that stays down after a slow spell of its leader.
TEST(StarvedFleetTest, ThroughputRecoversALeaseAfterASlowdown) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    FleetScenario Scenario = makeScenario(Seed, NormalCost, 40s);
    StarvedFleet Normal(Scenario);
    Normal.run();
    for (const int Factor : {2, 4, 6, 10, 20}) {
      Scenario.SlowReportCost_ = NormalCost * Factor;
      Scenario.SlowFrom_ = 15s;
      Scenario.SlowUntil_ = 30s;
      StarvedFleet Fleet(Scenario);
      Fleet.run();
      // The days' random draws differ by some percent.
      EXPECT_GE(Fleet.countStarts(35s, 40s),
                Normal.countStarts(35s, 40s) * 9 / 10)
          << "seed " << Seed << ", " << Factor << " times slower";
      EXPECT_GE(Fleet.countStarts(15s, 30s) * static_cast<std::size_t>(Factor),
                Normal.countStarts(15s, 30s))
          << "seed " << Seed << ", " << Factor << " times slower";
      EXPECT_THAT(Fleet.Violations_, testing::IsEmpty());
    }
  }
}

// Guards against a stop that waits until its server's lease is the oldest: a
// cancelled run is over within cancel_ms and stopMs as long as each server can
// be answered once in that time.
TEST(StarvedFleetTest, NoCancelledRunGoesOnBeyondItsTime) {
  static constexpr Duration CancelAndStop = 3900ms;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
    for (const Duration Cost : {20ms, 30ms, 35ms}) {
      StarvedFleet Fleet(makeScenario(Seed, Cost, 60s));
      Fleet.run();
      EXPECT_LE(Fleet.MaxTimeAfterCancel_, CancelAndStop)
          << "seed " << Seed << ", " << Cost.count() << " ns a report";
    }
}

// Guards against a lost server that is given up late: its lasting tasks have to
// run again within 9 s of their last run, with a lease of 6 s.
TEST(StarvedFleetTest, LastingTasksAreBackInTimeAfterTheirServersLoss) {
  static constexpr Duration MaxDowntime = 9s;
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed)
    for (const Duration Cost : {5ms, 15ms, 20ms, 25ms}) {
      FleetScenario Scenario = makeScenario(Seed, Cost, 60s);
      Scenario.HasFaults_ = true;
      Scenario.Lease_ = 6s;
      StarvedFleet Fleet(Scenario);
      Fleet.run();
      EXPECT_LE(Fleet.MaxDowntime_, MaxDowntime)
          << "seed " << Seed << ", " << Cost.count() << " ns a report";
      EXPECT_GT(Fleet.MaxDowntime_, Scenario.Lease_ / 2);
      EXPECT_THAT(Fleet.Violations_, testing::IsEmpty());
    }
}

// Guards against ends that a relay forgets when it defers their report: a
// server that leaves then tells them to nobody else, and its tasks run twice.
TEST(StarvedFleetTest, NoEndIsLostWithAServerThatLeaves) {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed)
    for (const Duration Cost : {5ms, 25ms, 35ms}) {
      FleetScenario Scenario = makeScenario(Seed, Cost, 60s);
      Scenario.CommitInterval_ = 10ms * static_cast<int>(1 + Seed % 3 * 8);
      Scenario.HasFaults_ = true;
      Scenario.FaultInterval_ = 100ms;
      StarvedFleet Fleet(Scenario);
      Fleet.run();
      EXPECT_THAT(Fleet.Violations_, testing::IsEmpty())
          << "seed " << Seed << ", " << Cost.count() << " ns a report";
      EXPECT_GT(Fleet.ServersLost_, 200U);
    }
}
