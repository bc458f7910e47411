//===- JobLeaderServersTest.cpp - Tests of servers that come and go -------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(JobLeaderTest, ReportOfUnknownServiceIsRejected) {
  ServerReport Invalid = makeReport("s1");
  Invalid.Facts_.Service_ = "unheard-of";
  const auto Answer = tryReport(Invalid);
  ASSERT_TRUE(Answer && !*Answer);
  EXPECT_EQ(Answer->error().Code_, ErrorCode::InvalidArgument);
  EXPECT_TRUE(Machine_.read(
      [](const JobRegistry &Registry) { return Registry.servers().empty(); }));
}

TEST_F(JobLeaderTest, RejectedReportLeavesTheServersLease) {
  call(CallKind::Submit, "j", {makeStep(2, 2500)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  ServerReport Invalid = makeReport("s1");
  Invalid.Facts_.Service_ = "unheard-of";
  const auto Answer = tryReport(Invalid);
  ASSERT_TRUE(Answer && !*Answer) << "the report is rejected";
  // The runs there keep their lease and continue.
  Strand_.advance(3s);
  ServerReport After = makeReport("s1");
  After.Running_ = {makeRunning(Orders.Starts_[0])};
  const ServerOrders Later = report(After);
  EXPECT_TRUE(Later.Stops_.empty());
  EXPECT_GT(Later.LeaseMs_, 0U);
}

TEST_F(JobLeaderTest, ServerOfARemovedServiceContinues) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  Configuration Without = makeConfiguration(2);
  Without.Queues_.clear();
  Without.Services_ = {{"other", true, false}};
  Leader_.putConfiguration(Without, [](const Outcome<void> &) {});
  Strand_.runAll();
  ServerReport After = makeReport("s1");
  After.Running_ = {makeRunning(Orders.Starts_.at(0))};
  EXPECT_GT(report(After).LeaseMs_, 0U);
}

TEST_F(JobLeaderTest, LateReportGetsNoLeaseAndChangesNothing) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerReport Delayed = makeReport("s1");
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(report(Delayed), ServerOrders{});
}

// A relay passes on the ends in a report that was not delivered. Its server may
// be down: if the report counted as a heartbeat, the server's tasks would
// restart elsewhere a lease later.
TEST_F(JobLeaderTest, LateEndsCountButExtendNoLease) {
  call(CallKind::Submit, "j", {makeStep(2, 1000)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 2U);
  ServerReport Delayed = makeReport("s1");
  Delayed.Running_ = {makeRunning(Orders.Starts_[1])};
  Delayed.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Done)};
  Strand_.advance(5s);
  std::optional<ServerOrders> Answer;
  Leader_.recordLateEnds(Delayed, [&Answer](Outcome<ServerOrders> Reply) {
    Answer = Reply.value();
  });
  Strand_.runAll();
  EXPECT_EQ(Answer, ServerOrders{});
  const auto GetState = [this](const TaskKey &Task) {
    return Machine_.read([&Task](const JobRegistry &Registry) {
      return Registry.findTask(Task)->State_;
    });
  };
  EXPECT_EQ(GetState(Orders.Starts_[0].Task_), TaskState::Done);
  EXPECT_EQ(GetState(Orders.Starts_[1].Task_), TaskState::Placed);
  Strand_.advance(3s);
  EXPECT_EQ(GetState(Orders.Starts_[1].Task_), TaskState::Waiting);
}

TEST_F(JobLeaderTest, SupersededReportGetsNoOrders) {
  call(CallKind::Submit, "a", {makeStep(1, 100)});
  call(CallKind::Submit, "b", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 2U);
  const auto ReportEnd = [&] {
    ServerReport Report = makeReport("s1");
    Report.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Done)};
    Report.Running_ = {makeRunning(Orders.Starts_[1])};
    auto Answer = std::make_shared<std::optional<Outcome<ServerOrders>>>();
    Leader_.report(Report, [Answer](Outcome<ServerOrders> Reply) {
      *Answer = std::move(Reply);
    });
    Strand_.runAll();
    return Answer;
  };
  // The commit hangs, so the server abandons the report and sends another one.
  Group_.IsHeld_ = true;
  const auto First = ReportEnd();
  const auto Second = ReportEnd();
  Group_.commitAll();
  Strand_.runAll();
  ASSERT_TRUE(*First && **First && *Second && **Second);
  EXPECT_EQ((*First)->value(), ServerOrders{});
  EXPECT_GT((*Second)->value().LeaseMs_, 0U);
  EXPECT_EQ((*Second)->value().EndsNoted_, 1U);
}

TEST_F(JobLeaderTest, NewIncarnationAtAnAddressEndsTheOldOne) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  report(makeReport("s1"));
  // The new incarnation takes over once it has reported for a second while the
  // old one was silent. Its first report alone could be a delayed one.
  EXPECT_EQ(report(makeIncarnationReport("s1-again", "s1")).LeaseMs_, 0U);
  Strand_.advance(1s);
  report(makeIncarnationReport("s1-again", "s1"));
  const ServerOrders Orders = report(makeIncarnationReport("s1-again", "s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(Orders.Starts_[0].Run_, 2U);
  // A delayed report of the old incarnation changes nothing.
  EXPECT_EQ(report(makeReport("s1")), ServerOrders{});
  EXPECT_EQ(Machine_.read([](const JobRegistry &Registry) {
    return Registry.findServer("s1");
  }),
            nullptr);
}

TEST_F(JobLeaderTest, LateReportOfAnEndedIncarnationReplacesNone) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  std::uint64_t Percent = 0;
  // Two delayed reports of an incarnation that has ended without being
  // registered, one now and one much later.
  for (int I = 0; I < 2; ++I) {
    EXPECT_EQ(report(makeIncarnationReport("s0", "s1")).LeaseMs_, 0U);
    for (int Reports = 0; Reports < 4; ++Reports) {
      Strand_.advance(500ms);
      ServerReport Alive = makeReport("s1");
      Alive.Running_ = {makeRunning(Orders.Starts_[0])};
      Alive.Running_[0].Percent_ = ++Percent;
      const ServerOrders Again = report(Alive);
      EXPECT_GT(Again.LeaseMs_, 0U);
      EXPECT_TRUE(Again.Stops_.empty());
    }
  }
  EXPECT_EQ(Machine_.read([](const JobRegistry &Registry) {
    return Registry.findTask({"j", 0, 0, 0})->LastRun_;
  }),
            1U);
}

TEST_F(JobLeaderTest, EndedIncarnationStaysEndedUnderANewLeader) {
  report(makeReport("s1"));
  Strand_.advance(Settings_.Lease_ * 2); // Its lease expires.
  report(makeIncarnationReport("s1-again", "s1"));
  beginNextTerm();
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  for (int I = 0; I < 4; ++I) {
    EXPECT_EQ(report(makeReport("s1")), ServerOrders{}) << "a delayed report";
    Strand_.advance(500ms);
  }
  EXPECT_EQ(report(makeIncarnationReport("s1-again", "s1")).Starts_.size(), 1U);
}

// Guards against a restart under a server's id that leaves no trace in the log.
TEST_F(JobLeaderTest, RestartUnderTheSameIdIsLoggedOnce) {
  for (const char *Id :
       {"s1/1000", "s1/1000", "s1/2000", "s1/2000", "s1/2000", "s1/2000"}) {
    report(makeIncarnationReport(Id, "s1"));
    Strand_.advance(500ms);
  }
  ASSERT_EQ(Log_.count(EventKind::ServerRestarted), 1U);
  EXPECT_EQ(Log_.last(EventKind::ServerRestarted).Server_, "s1/2000");
  EXPECT_EQ(Log_.last(EventKind::ServerRestarted).Reason_, "s1/1000 has ended");
}

TEST_F(JobLeaderTest, DrainingServerGetsNoStarts) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ServerReport Leaving = makeReport("s1");
  Leaving.IsDraining_ = true;
  const ServerOrders Orders = report(Leaving);
  EXPECT_TRUE(Orders.Starts_.empty());
  EXPECT_GT(Orders.LeaseMs_, 0U) << "running tasks continue";
}

TEST_F(JobLeaderTest, TasksOfALeavingServerMoveAtOnce) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  report(makeReport("s1"));
  bool IsDone = false;
  Leader_.leave("s1", [&IsDone](const Outcome<void> &Result) {
    IsDone = Result.has_value();
  });
  Strand_.advance(500ms);
  EXPECT_TRUE(IsDone);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(JobLeaderTest, ServerThatRefusedGetsNoStartsForAWhile) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  ServerReport After = makeReport("s1");
  After.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Refused)};
  EXPECT_TRUE(report(After).Starts_.empty());
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(JobLeaderTest, EndThatArrivesDuringALeaveIsRecorded) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  bool HasLeft = false;
  Leader_.leave("s1", [&HasLeft](const Outcome<void> &Result) {
    HasLeft = Result.has_value();
  });
  Strand_.runAll();
  // The final report arrives after the leave request.
  ServerReport Last = makeReport("s1");
  Last.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done)};
  report(Last);
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
  Strand_.advance(1s);
  EXPECT_TRUE(HasLeft);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
}

TEST_F(JobLeaderTest, TaskWhoseEndARelayDelayedIsNotRunTwice) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  Leader_.leave("s1", [](const Outcome<void> &) {});
  Strand_.advance(400ms);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  ServerReport Last = makeReport("s1");
  Last.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done)};
  report(Last);
  Strand_.advance(1s);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(JobLeaderTest, LeaveOfAnIdleServerIsImmediate) {
  report(makeReport("s1"));
  bool HasLeft = false;
  Leader_.leave("s1", [&HasLeft](const Outcome<void> &Result) {
    HasLeft = Result.has_value();
  });
  Strand_.runAll();
  EXPECT_TRUE(HasLeft);
}

TEST_F(JobLeaderTest, EndThatArrivesAfterALeaveIsRecorded) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  Leader_.leave("s1", [](const Outcome<void> &) {});
  Strand_.advance(1s);
  ServerReport Last = makeReport("s1");
  Last.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done)};
  EXPECT_EQ(report(Last), ServerOrders{})
      << "a server that has left gets no lease";
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

// Guards against pending stops that relays do not know of and so do not treat
// as urgent.
TEST_F(JobLeaderTest, ServersOfACancelledJobAreListedUntilTheyStop) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  report(makeReport("s2"));
  EXPECT_TRUE(Leader_.listAwaitingStop().empty());
  call(CallKind::Cancel, "j");
  Strand_.advance(1s);
  ASSERT_EQ(Leader_.listAwaitingStop().size(), 1U);
  EXPECT_EQ(Leader_.listAwaitingStop()[0], (ServerAwaitingStop{"s1", 1000}));
  ServerReport Runs = makeReport("s1");
  Runs.Running_ = {makeRunning(Orders.Starts_[0])};
  EXPECT_EQ(report(Runs).Stops_.size(), 1U);
  EXPECT_EQ(Leader_.listAwaitingStop().size(), 1U) << "the answer may be lost";
  ServerReport Stopped = makeReport("s1");
  Stopped.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Stopped)};
  report(Stopped);
  EXPECT_TRUE(Leader_.listAwaitingStop().empty());
}

TEST_F(JobLeaderTest, NewLeaderListsPendingStops) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  call(CallKind::Cancel, "j");
  Group_.IsLeader_ = false;
  Strand_.advance(200ms);
  Group_.IsLeader_ = true;
  ++Group_.Term_;
  Strand_.advance(200ms);
  ASSERT_EQ(Leader_.listAwaitingStop().size(), 1U);
  EXPECT_EQ(Leader_.listAwaitingStop()[0].Server_, "s1");
}
