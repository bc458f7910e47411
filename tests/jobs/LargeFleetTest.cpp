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
