//===- LargeFleetTest.cpp - A leader of thousands of servers --------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class LargeFleetTest : public JobLeaderTest {
protected:
  static constexpr int Servers = 3'000;

  static std::string getId(int Server) { return "s" + std::to_string(Server); }
  /// Lets all servers report once more.
  void reportAll() {
    for (int I = 0; I < Servers; ++I)
      report(makeReport(getId(I)));
  }
  std::uint64_t reportAndGetInterval(int Server) {
    return report(makeReport(getId(Server))).NextReportMs_;
  }
};

} // namespace

// Pattern of load: 3,000 servers register at once and run nothing. Guards
// against idle servers that take the leader's time from the others.
TEST_F(LargeFleetTest, OnlyServersWithoutRunsReportLessOften) {
  reportAll();
  reportAll();
  EXPECT_EQ(reportAndGetInterval(1), 1'250U) << "a quarter of the lease";
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  EXPECT_EQ(reportAndGetInterval(2), 500U) << "it was given a task";
  EXPECT_EQ(reportAndGetInterval(3), 1'250U);
}

// Guards against an interval that stays long when the fleet has become small.
TEST_F(LargeFleetTest, ASmallFleetReportsAsUsual) {
  for (int I = 0; I < 100; ++I)
    report(makeReport(getId(I)));
  EXPECT_EQ(reportAndGetInterval(1), 500U);
}

// Pattern of load: a change of leader with the leases of 3,000 servers. Guards
// against leases that end as the new leader does not get round to them.
TEST_F(LargeFleetTest, AChangeOfLeaderLosesNoLease) {
  reportAll();
  beginNextTerm();
  // All relays come back at once, within two seconds.
  for (int I = 0; I < Servers; ++I) {
    const ServerOrders Orders = report(makeReport(getId(I)));
    EXPECT_GT(Orders.LeaseMs_, 0U) << I;
    if (I % 30 == 0)
      Strand_.advance(20ms);
  }
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 0U);
}

// Pattern of load: 1,850 tasks become ready at once on a fleet that is idle.
// Guards against tasks that wait while most servers are free.
TEST_F(LargeFleetTest, ManyStartsFitIntoOneRoundOfReports) {
  reportAll();
  for (int Job = 0; Job < 37; ++Job)
    call(CallKind::Submit, "j" + std::to_string(Job), {makeStep(50, 1000)});
  std::size_t Started = 0;
  int Reports = 0;
  for (; Started < 1'850 && Reports < Servers; ++Reports)
    Started += report(makeReport(getId(Reports))).Starts_.size();
  EXPECT_EQ(Started, 1'850U);
  EXPECT_LT(Reports, Servers / 4) << "half a second of their reports";
}
