//===- DepartingServersTest.cpp - Tests of final reports of servers -------===//
//
// Guards against a run that has finished and starts again elsewhere. Its final
// report is still buffered by a relay when the leader removes the server,
// because the server left or because its lease expired while the leader could
// not answer it in time. A fixed delay does not help: a relay buffers a report
// for up to 350 ms and then waits for the leader's answer, which takes longer
// if the leader is overloaded or the relay is slow. Waiting 150 to 500 ms for
// the final report was too short.
//
//===----------------------------------------------------------------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class DepartingServersTest : public JobLeaderTest {
protected:
  DepartingServersTest() { Relays_.AnswersAutomatically_ = false; }
  /// Starts one run on s1.
  StartOrder startRun() {
    call(CallKind::Submit, "j", {makeStep(1, 100)});
    const ServerOrders Orders = report(makeReport("s1"));
    EXPECT_EQ(Orders.Starts_.size(), 1U);
    return Orders.Starts_.at(0);
  }
  ServerReport makeFinalReport(const StartOrder &Run) {
    ServerReport Last = makeReport("s1");
    Last.Ended_ = {makeEnded(1, Run, RunOutcome::Done)};
    return Last;
  }
  void leave() {
    Leader_.leave("s1", [this](const Outcome<void> &Result) {
      HasLeft_ = Result.has_value();
    });
    Strand_.runAll();
  }
  bool isStartedElsewhere() {
    return !report(makeReport("s2")).Starts_.empty();
  }
  void expireLease() {
    Strand_.advance(Settings_.Lease_ + Settings_.Lease_ / 10);
  }

  bool HasLeft_ = false;
};

} // namespace

TEST_F(DepartingServersTest, LeaveWaitsForBufferedReports) {
  const StartOrder Run = startRun();
  leave();
  Strand_.advance(2s);
  EXPECT_FALSE(isStartedElsewhere());
  report(makeFinalReport(Run));
  Relays_.answer();
  Strand_.runAll();
  EXPECT_FALSE(isStartedElsewhere());
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(DepartingServersTest, LeaveEndsOnceTheRelaysHaveFlushed) {
  startRun();
  leave();
  EXPECT_FALSE(HasLeft_);
  Relays_.answer();
  Strand_.runAll();
  EXPECT_TRUE(HasLeft_);
  EXPECT_TRUE(isStartedElsewhere());
}

TEST_F(DepartingServersTest, ServerThatARelayHearsIsKept) {
  const StartOrder Run = startRun();
  expireLease();
  Relays_.answer({"s1"});
  Strand_.advance(500ms);
  EXPECT_FALSE(isStartedElsewhere());
  report(makeFinalReport(Run));
  EXPECT_FALSE(isStartedElsewhere()) << "the task is completed";
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(DepartingServersTest, SilentServerIsRemovedOnceNoRelayHearsIt) {
  startRun();
  expireLease();
  EXPECT_FALSE(isStartedElsewhere()) << "the relays are being asked";
  Relays_.answer({"s1"});
  // A relay had heard the server then. When they are asked again, none has.
  Strand_.advance(2s);
  Relays_.answer();
  Strand_.runAll();
  EXPECT_TRUE(isStartedElsewhere());
}

TEST_F(DepartingServersTest, ServerThatReportsDuringTheCheckIsKept) {
  const StartOrder Run = startRun();
  expireLease();
  ServerReport Alive = makeReport("s1");
  Alive.Running_ = {makeRunning(Run)};
  EXPECT_GT(report(Alive).LeaseMs_, 0U);
  Relays_.answer();
  Strand_.runAll();
  EXPECT_FALSE(isStartedElsewhere());
}

TEST_F(DepartingServersTest, NewIncarnationWaitsForReportsOfTheOldOne) {
  const StartOrder Run = startRun();
  for (int I = 0; I < 6; ++I) {
    EXPECT_EQ(report(makeIncarnationReport("s1-again", "s1")).LeaseMs_, 0U);
    Strand_.advance(250ms);
  }
  report(makeFinalReport(Run));
  Relays_.answer();
  Strand_.runAll();
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
  EXPECT_FALSE(isStartedElsewhere());
}

// Guards against an end that is rejected because the removal of its server is
// proposed but not committed. The task would run twice.
TEST_F(DepartingServersTest, EndThatArrivesDuringTheRemovalIsRecorded) {
  const StartOrder Run = startRun();
  expireLease();
  Group_.IsHeld_ = true;
  Relays_.answer();
  Strand_.runAll();
  ASSERT_EQ(Log_.count(EventKind::ServerGone), 1U);
  const std::optional<Outcome<ServerOrders>> Answer =
      tryReport(makeFinalReport(Run));
  EXPECT_FALSE(Answer && *Answer) << "it gets no lease";
  Group_.IsHeld_ = false;
  Group_.commitAll();
  Strand_.runAll();
  EXPECT_FALSE(isStartedElsewhere()) << "the task is completed";
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

// Guards against a silent relay that hides what the other relays have said.
TEST_F(DepartingServersTest, ServerThatARelayHearsIsKeptBesideASilentRelay) {
  const StartOrder Run = startRun();
  Relays_.Partial_.Heard_ = {"s1"};
  expireLease();
  Strand_.advance(Settings_.Lease_);
  EXPECT_FALSE(isStartedElsewhere());
  report(makeFinalReport(Run));
  EXPECT_FALSE(isStartedElsewhere()) << "the task is completed";
}

// Guards against a relay that is short of processor time: it holds the report
// of a completed run and answers late.
TEST_F(DepartingServersTest, ReportThatASlowRelayHoldsCounts) {
  const StartOrder Run = startRun();
  Relays_.Partial_.Unknown_ = {"s1"};
  expireLease();
  Strand_.advance(1500ms);
  EXPECT_FALSE(isStartedElsewhere());
  report(makeFinalReport(Run));
  Relays_.answer();
  Strand_.advance(2s);
  EXPECT_FALSE(isStartedElsewhere()) << "the task is completed";
}

// Guards against an old answer that no relay has heard the server. It turned to
// another relay after that one had answered.
TEST_F(DepartingServersTest, AnswerThatComesLateIsNotEnoughForARemoval) {
  startRun();
  Relays_.Partial_.Unknown_ = {"s1"};
  expireLease();
  Strand_.advance(1s);
  Relays_.answer();
  Strand_.advance(100ms);
  EXPECT_FALSE(isStartedElsewhere()) << "the relays are asked again";
  Relays_.answer({"s1"});
  Strand_.advance(100ms);
  EXPECT_FALSE(isStartedElsewhere());
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 0U);
}

// A relay that never answers must not keep a lost server: its long-running
// tasks have to run elsewhere within half a lease of the lease's end.
TEST_F(DepartingServersTest, RelayThatNeverAnswersKeepsNoServer) {
  startRun();
  Relays_.Partial_.Unknown_ = {"s1"};
  Strand_.advance(Settings_.Lease_ * (100 + Settings_.ClockDriftPercent_) /
                      100 +
                  Settings_.Lease_ / 2 + 100ms);
  EXPECT_TRUE(isStartedElsewhere());
  EXPECT_EQ(Log_.last(EventKind::ServerGone).Reason_,
            "no report until its lease expired; a relay did not say whether it "
            "has heard it");
}
