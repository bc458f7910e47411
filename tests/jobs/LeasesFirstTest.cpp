//===- LeasesFirstTest.cpp - What a new leader does first -----------------===//
//
// What happened: after all controls had lost power for a second and a half,
// 1,780 runs lapsed at once (large trouble-2 and scale-2, five days at a time
// beside ten busy loops). Leases of six seconds had two to three left by the
// time that a leader was there, and it answered the first servers with starts,
// each of them planned for over a thousand waiting steps and committed, while
// the others' leases ran out.
//
//===----------------------------------------------------------------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class LeasesFirstTest : public JobLeaderTest {
protected:
  static constexpr int Servers = 20;

  static std::string nameOf(int Number) { return "s" + std::to_string(Number); }
  /// All servers have reported to an earlier leader; work waits that came
  /// since.
  void beginAnew() {
    for (int I = 0; I < Servers; ++I)
      report(makeReport(nameOf(I)));
    Group_.IsLeader_ = false;
    Strand_.advance(100ms);
    Group_.IsLeader_ = true;
    Group_.Term_ = 2;
    Strand_.advance(100ms);
    call(CallKind::Submit, "j", {makeStep(8 * Servers, 500)});
  }
};

} // namespace

TEST_F(LeasesFirstTest, ANewLeaderStartsNothingUntilMostServersHaveTheirLease) {
  beginAnew();
  for (int I = 0; I < Servers / 2; ++I) {
    const ServerOrders Orders = report(makeReport(nameOf(I)));
    EXPECT_GT(Orders.LeaseMs_, 0U);
    EXPECT_TRUE(Orders.Starts_.empty()) << nameOf(I);
  }
  for (int I = Servers / 2; I < Servers; ++I)
    report(makeReport(nameOf(I)));
  EXPECT_FALSE(report(makeReport(nameOf(0))).Starts_.empty());
}

TEST_F(LeasesFirstTest, ServersThatStaySilentHoldNothingUpForLong) {
  beginAnew();
  Strand_.advance(2s);
  EXPECT_FALSE(report(makeReport(nameOf(0))).Starts_.empty());
}

TEST_F(LeasesFirstTest, ServersThatLeftSinceAreNotWaitedFor) {
  beginAnew();
  for (int I = 1; I < Servers; ++I)
    Leader_.leave(nameOf(I), [](const Outcome<void> &) {});
  Strand_.runAll();
  EXPECT_FALSE(report(makeReport(nameOf(0))).Starts_.empty());
}
