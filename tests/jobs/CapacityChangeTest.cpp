//===- CapacityChangeTest.cpp - Servers whose capacity changes ------------===//
//
// Guards against starts that exceed the capacity in a server's latest report.
// This happens if starts were planned for an earlier report and not delivered,
// or are added beside runs that are still stopping and are no longer placed on
// the server.
//
//===----------------------------------------------------------------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class CapacityChangeTest : public JobLeaderTest {
protected:
  ServerReport makeReportOf(const std::string &Id, std::int64_t MilliCpus) {
    ServerReport Report = makeReport(Id);
    Report.Facts_.Capacity_.MilliCpus_ = MilliCpus;
    return Report;
  }
};

} // namespace

TEST_F(CapacityChangeTest, StartsThatDoNotFitAnyMoreAreNotDelivered) {
  call(CallKind::Submit, "j", {makeStep(4, 1000)});
  ASSERT_EQ(report(makeReportOf("s1", 4000)).Starts_.size(), 4U);
  // The server never receives that reply.
  const ServerOrders Orders = report(makeReportOf("s1", 2000));
  EXPECT_EQ(Orders.Starts_.size(), 2U);
  EXPECT_EQ(Orders.Stops_.size(), 2U);
  // The other two certainly do not run on s1 and start elsewhere.
  ServerReport Next = makeReportOf("s1", 2000);
  for (const StartOrder &Start : Orders.Starts_)
    Next.Running_.push_back(makeRunning(Start));
  EXPECT_TRUE(report(Next).Starts_.empty());
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 2U);
}

TEST_F(CapacityChangeTest, RunsThatAreBeingStoppedCount) {
  call(CallKind::Submit, "j", {makeStep(4, 1000)});
  ServerReport Running = makeReportOf("s1", 4000);
  const ServerOrders Orders = report(Running);
  ASSERT_EQ(Orders.Starts_.size(), 4U);
  // The slow server is removed when its lease expires, and returns.
  Strand_.advance(Settings_.Lease_ * 11 / 10 + 100ms);
  call(CallKind::Submit, "other", {makeStep(8, 1000)});
  Running = makeReportOf("s1", 4000);
  for (std::size_t I = 0; I < 3; ++I)
    Running.Running_.push_back(makeRunning(Orders.Starts_[I]));
  const ServerOrders Again = report(Running);
  EXPECT_EQ(Again.Stops_.size(), 3U);
  EXPECT_LE(Again.Starts_.size(), 1U);
}

TEST_F(CapacityChangeTest, AServerThatGrowsAgainIsFilledAgain) {
  call(CallKind::Submit, "j", {makeStep(4, 1000)});
  const ServerOrders Orders = report(makeReportOf("s1", 2000));
  ASSERT_EQ(Orders.Starts_.size(), 2U);
  ServerReport Shrunk = makeReportOf("s1", 1000);
  for (const StartOrder &Start : Orders.Starts_)
    Shrunk.Running_.push_back(makeRunning(Start));
  EXPECT_TRUE(report(Shrunk).Starts_.empty());
  ServerReport Grown = makeReportOf("s1", 4000);
  Grown.Running_ = Shrunk.Running_;
  EXPECT_EQ(report(Grown).Starts_.size(), 2U);
}
