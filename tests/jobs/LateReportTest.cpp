//===- LateReportTest.cpp - Reports that arrive seconds after the sending -===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class LateReportTest : public JobLeaderTest {
protected:
  /// Returns the next report of a server with the given clock.
  ServerReport makeTimedReport(const std::string &Id, std::uint64_t ClockMs) {
    ServerReport Report = makeReport(Id);
    Report.ServerClockMs_ = ClockMs;
    return Report;
  }
};

} // namespace

// Guards against a lost server whose last report arrives seconds late and
// keeps its tasks away for that much longer.
TEST_F(LateReportTest, DelayedReportOfALostServerDoesNotLengthenItsLease) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ServerReport Report = makeReport("s1");
  Report.ServerClockMs_ = 10'000;
  ASSERT_EQ(report(Report).Starts_.size(), 1U);
  // Sent after 500 ms, and 4 s on the way.
  ServerReport Delayed = makeReport("s1");
  Delayed.ServerClockMs_ = 10'500;
  Strand_.advance(4500ms);
  report(Delayed);
  Strand_.advance(Settings_.Lease_ - 4500ms);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty())
      << "the server's own lease has not ended before";
  Strand_.advance(Settings_.Lease_ * 3 / 100 + 100ms);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
  // The silence counts from the sending as well.
  EXPECT_GE(Log_.last(EventKind::ServerGone).AgeMs_.value_or(0),
            std::chrono::milliseconds(Settings_.Lease_ / 1ms).count());
}

// Guards against a lease that ends before the server's own. A server that
// reports late, but regularly, keeps its tasks, also if its clock is unknown,
// goes back, or runs slow.
TEST_F(LateReportTest, LateReportsOfARunningServerKeepItsLease) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  for (int I = 0; I < 120; ++I) {
    ServerReport Report = makeReport("s1");
    Report.ServerClockMs_ = 10'000 + static_cast<std::uint64_t>(I) * 490;
    if (I >= 60)
      Report.ServerClockMs_ -= 20'000;
    else if (I % 7 == 0)
      Report.ServerClockMs_ = 0;
    Strand_.advance(500ms);
    EXPECT_GT(report(Report).LeaseMs_, 0U);
    EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  }
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 0U);
}

// Guards against a delayed report that brings back a server which was removed:
// the tasks placed there would wait for another lease.
TEST_F(LateReportTest, DelayedReportDoesNotRegisterARemovedServer) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  ASSERT_EQ(report(makeTimedReport("s1", 10'000)).Starts_.size(), 1U);
  const ServerReport Delayed = makeTimedReport("s1", 11'000);
  Strand_.advance(Settings_.Lease_ + 500ms);
  ASSERT_EQ(Log_.count(EventKind::ServerGone), 1U);
  const ServerOrders Orders = report(Delayed);
  EXPECT_EQ(Orders.LeaseMs_, 0U);
  EXPECT_TRUE(Orders.Starts_.empty());
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// Guards against delayed reports that arrive in another order than they were
// sent in, as each went to another control.
TEST_F(LateReportTest, OvertakenDelayedReportDoesNotRegisterARemovedServer) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  ASSERT_EQ(report(makeTimedReport("s1", 10'000)).Starts_.size(), 1U);
  const ServerReport First = makeTimedReport("s1", 11'000);
  const ServerReport Second = makeTimedReport("s1", 12'000);
  Strand_.advance(Settings_.Lease_ + 500ms);
  ASSERT_EQ(Log_.count(EventKind::ServerGone), 1U);
  EXPECT_EQ(report(Second).LeaseMs_, 0U);
  const ServerOrders Orders = report(First);
  EXPECT_EQ(Orders.LeaseMs_, 0U);
  EXPECT_TRUE(Orders.Starts_.empty());
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(LateReportTest, DelayedReportDoesNotVoidTheClaimOfASuccessor) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  ASSERT_EQ(report(makeTimedReport("s1", 10'000)).Starts_.size(), 1U);
  const ServerReport Delayed = makeTimedReport("s1", 11'000);
  Strand_.advance(Settings_.Lease_ - 1500ms);
  report(makeIncarnationReport("s1-again", "s1"));
  Strand_.advance(500ms);
  report(Delayed);
  Strand_.advance(500ms);
  report(makeIncarnationReport("s1-again", "s1"));
  EXPECT_EQ(report(makeIncarnationReport("s1-again", "s1")).Starts_.size(), 1U);
}

TEST_F(LateReportTest, EndsInADelayedReportCount) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeTimedReport("s1", 10'000));
  ServerReport Delayed = makeTimedReport("s1", 11'000);
  Delayed.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done)};
  Strand_.advance(4s);
  report(Delayed);
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

// The clock of a server that was suspended has stood still.
TEST_F(LateReportTest, SecondReportOfASuspendedServerGetsALease) {
  report(makeTimedReport("s1", 10'000));
  Strand_.advance(4s);
  const ServerOrders First = report(makeTimedReport("s1", 10'100));
  EXPECT_EQ(First.LeaseMs_, 0U);
  EXPECT_LE(First.NextReportMs_, 100U);
  Strand_.advance(100ms);
  EXPECT_GT(report(makeTimedReport("s1", 10'200)).LeaseMs_, 0U);
  Strand_.advance(500ms);
  EXPECT_GT(report(makeTimedReport("s1", 10'700)).LeaseMs_, 0U);
}

TEST_F(LateReportTest, ClockThatStandsStillIsIgnored) {
  for (int I = 0; I < 20; ++I) {
    EXPECT_GT(report(makeTimedReport("s1", 10'000)).LeaseMs_, 0U);
    Strand_.advance(500ms);
  }
}
