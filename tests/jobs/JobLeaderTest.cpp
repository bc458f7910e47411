//===- JobLeaderTest.cpp - Tests of calls, orders and leadership ----------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(JobLeaderTest, JobRunsToCompletion) {
  EXPECT_EQ(call(CallKind::Submit, "j", {makeStep(2, 100)}).Outcome_,
            CallOutcome::Done);
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Queued);
  EXPECT_EQ(call(CallKind::Show, "").Pending_, 1U);
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 2U);
  EXPECT_EQ(Orders.Starts_[0].Payload_, "payload of ");
  EXPECT_EQ(Orders.FencingToken_, 1U);
  EXPECT_GT(Orders.LeaseMs_, 0U);
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Running);
  EXPECT_EQ(call(CallKind::Show, "").Pending_, 0U);
  ServerReport After = makeReport("s1");
  After.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Done),
                  makeEnded(2, Orders.Starts_[1], RunOutcome::Done)};
  EXPECT_EQ(report(After).EndsNoted_, 2U);
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(JobLeaderTest, UnknownQueueAndUnknownJobDiffer) {
  EXPECT_EQ(call(CallKind::Show, "j").Outcome_, CallOutcome::NoJob);
  EXPECT_EQ(call(CallKind::Cancel, "j").Outcome_, CallOutcome::NoJob);
  JobCallReply Reply;
  Leader_.call({CallKind::Show, "other.example", "/x", {}},
               [&Reply](const Outcome<JobCallReply> &Answer) {
                 Reply = Answer.value();
               });
  Strand_.runAll();
  EXPECT_EQ(Reply.Outcome_, CallOutcome::NoQueue);
}

TEST_F(JobLeaderTest, EndIsRecordedOnlyOnceCommitted) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  Group_.IsHeld_ = true;
  ServerReport After = makeReport("s1");
  After.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done)};
  EXPECT_FALSE(tryReport(After).has_value()) << "answered before the commit";
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Running);
  Group_.commitAll();
  Strand_.runAll();
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(JobLeaderTest, JobIsAcceptedOnlyOnceCommitted) {
  Group_.IsHeld_ = true;
  EXPECT_FALSE(tryCall(CallKind::Submit, "j", {makeStep(1, 100)}).has_value());
  Group_.commitAll();
  Strand_.runAll();
  EXPECT_EQ(call(CallKind::Show, "j").Outcome_, CallOutcome::Done);
}

TEST_F(JobLeaderTest, UnknownOutcomeIsNotReportedAsNotLeader) {
  Group_.IsHeld_ = true;
  auto Answer = std::make_shared<std::optional<Outcome<JobCallReply>>>();
  Leader_.call({CallKind::Submit, Host, std::string(Prefix) + "j",
                makeJob("", {makeStep(1, 100)})},
               [Answer](Outcome<JobCallReply> Reply) { *Answer = Reply; });
  Group_.loseAll(/*AreCommitted=*/true);
  Strand_.runAll();
  ASSERT_TRUE(Answer->has_value());
  ASSERT_FALSE(**Answer);
  EXPECT_EQ((*Answer)->error().Code_, ErrorCode::Timeout);
}

TEST_F(JobLeaderTest, LostStartIsOrderedAgain) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders First = report(makeReport("s1"));
  const ServerOrders Second = report(makeReport("s1"));
  ASSERT_EQ(Second.Starts_.size(), 1U);
  EXPECT_EQ(Second.Starts_, First.Starts_) << "the same run, not another one";
  ServerReport Third = makeReport("s1");
  Third.Running_ = {makeRunning(First.Starts_[0])};
  EXPECT_TRUE(report(Third).Starts_.empty());
}

TEST_F(JobLeaderTest, RunsOfACancelledJobAreStopped) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  call(CallKind::Cancel, "j");
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Cancelled);
  ServerReport After = makeReport("s1");
  After.Running_ = {makeRunning(Orders.Starts_.at(0))};
  const ServerOrders Stopping = report(After);
  ASSERT_EQ(Stopping.Stops_.size(), 1U);
  EXPECT_EQ(Stopping.Stops_[0].Run_, 1U);
  EXPECT_TRUE(Stopping.Starts_.empty());
}

TEST_F(JobLeaderTest, ResourcesOfALostStartAreFreedAfterItsStop) {
  call(CallKind::Submit, "j", {makeStep(1, 4000)});
  report(makeReport("s1"));
  call(CallKind::Cancel, "j");
  call(CallKind::Submit, "k", {makeStep(1, 4000)});
  // The start order may still be in transit, so the server is told first to
  // stop the run, which makes it ignore the start.
  const ServerOrders Stopping = report(makeReport("s1"));
  EXPECT_EQ(Stopping.Stops_.size(), 1U);
  EXPECT_TRUE(Stopping.Starts_.empty());
  report(makeReport("s1"));
  const ServerOrders After = report(makeReport("s1"));
  ASSERT_EQ(After.Starts_.size(), 1U);
  EXPECT_EQ(After.Starts_[0].Task_.Job_, "k");
}

TEST_F(JobLeaderTest, UnknownRunIsStopped) {
  ServerReport Report = makeReport("s1");
  Report.Running_ = {{{"ghost", 0, 0, 0}, 3, "", 10, 0}};
  const ServerOrders Orders = report(Report);
  ASSERT_EQ(Orders.Stops_.size(), 1U);
  EXPECT_EQ(Orders.Stops_[0].Task_.Job_, "ghost");
}

TEST_F(JobLeaderTest, NewLeaderAssumesAFullLeaseForEveryServer) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  report(makeReport("s1"));
  Strand_.advance(Settings_.Lease_ * 9 / 10);
  Group_.IsLeader_ = false;
  Strand_.advance(100ms);
  Group_.IsLeader_ = true;
  Group_.Term_ = 2;
  Strand_.advance(Settings_.Lease_ * 9 / 10);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  Strand_.advance(Settings_.Lease_ / 5);
  const ServerOrders Orders = report(makeReport("s2"));
  EXPECT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(Orders.FencingToken_, 2U);
}

TEST_F(JobLeaderTest, FollowerRejectsCallsAndReports) {
  Group_.IsLeader_ = false;
  Group_.LeaderName_ = "other";
  Strand_.advance(100ms);
  const auto Called = tryCall(CallKind::Show, "j", {});
  ASSERT_TRUE(Called && !*Called);
  EXPECT_EQ(Called->error(), Error::make(ErrorCode::NotLeader, "other"));
  const auto Reported = tryReport(makeReport("s1"));
  ASSERT_TRUE(Reported && !*Reported);
  EXPECT_EQ(Reported->error().Code_, ErrorCode::NotLeader);
}

TEST_F(JobLeaderTest, LostLeaderLeaseWithdrawsTheAnswer) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  report(makeReport("s1"));
  Group_.IsHeld_ = true;
  call(CallKind::Submit, "k", {makeStep(1, 100)});
  Group_.commitAll();
  Strand_.runAll();
  auto Answer = std::make_shared<std::optional<Outcome<ServerOrders>>>();
  Leader_.report(makeReport("s1"), [Answer](Outcome<ServerOrders> Reply) {
    *Answer = std::move(Reply);
  });
  Strand_.runAll();
  Group_.HasLease_ = false;
  Group_.commitAll();
  Strand_.runAll();
  ASSERT_TRUE(Answer->has_value());
  EXPECT_FALSE(**Answer) << "another member may be the leader";
}

TEST_F(JobLeaderTest, WaitReasonIsLoggedOnce) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 9000)});
  Strand_.advance(5s);
  ASSERT_EQ(Log_.count(EventKind::TaskWaiting), 1U);
  EXPECT_EQ(Log_.last(EventKind::TaskWaiting).Reason_, "1 full");
}

TEST_F(JobLeaderTest, ClockJumpIsLogged) {
  Strand_.advance(1s);
  EXPECT_EQ(Log_.count(EventKind::ClockJumped), 0U);
  Time_.setWall(Time_.wallNow() + 3s);
  Strand_.advance(1s);
  ASSERT_EQ(Log_.count(EventKind::ClockJumped), 1U);
  EXPECT_EQ(Log_.last(EventKind::ClockJumped).AgeMs_, 3000);
}

TEST_F(JobLeaderTest, TimedJobStartsWhenDueAndNotBefore) {
  JobCall Call{CallKind::Submit, Host, std::string(Prefix) + "t",
               makeJob("", {makeStep(1, 100)})};
  Call.Spec_.RepeatCount_ = 2;
  Call.Spec_.FirstDueMs_ =
      static_cast<std::uint64_t>(Time_.wallNow().count()) + 1000;
  Call.Spec_.IntervalMs_ = 1000;
  Leader_.call(Call, [](const Outcome<JobCallReply> &) {});
  Strand_.runAll();
  Strand_.advance(900ms);
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  Strand_.advance(200ms);
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  Strand_.advance(1000ms);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(JobLeaderTest, GangStartsOnAllItsServers) {
  StepSpec Gang = makeStep(2, 3000);
  Gang.Gang_ = true;
  report(makeReport("s1"));
  report(makeReport("s2"));
  call(CallKind::Submit, "j", {Gang});
  Strand_.advance(200ms);
  const ServerOrders First = report(makeReport("s1"));
  const ServerOrders Second = report(makeReport("s2"));
  ASSERT_EQ(First.Starts_.size(), 1U);
  ASSERT_EQ(Second.Starts_.size(), 1U);
  EXPECT_EQ(First.Starts_[0].Run_, Second.Starts_[0].Run_);
}

TEST_F(JobLeaderTest, EndedJobsAreKeptForTheRetentionTime) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  call(CallKind::Cancel, "j");
  Strand_.advance(Settings_.Retention_ - 1s);
  EXPECT_EQ(call(CallKind::Show, "j").Outcome_, CallOutcome::Done);
  Strand_.advance(2s);
  EXPECT_EQ(call(CallKind::Show, "j").Outcome_, CallOutcome::NoJob);
}

TEST_F(JobLeaderTest, ConfigurationIsReadAsStored) {
  std::string Source;
  Leader_.readConfiguration([&Source](const Outcome<Configuration> &Value) {
    Source = Value.value().Source_;
  });
  EXPECT_EQ(Source, makeConfiguration().Source_);
  Group_.HasLease_ = false;
  bool IsRefused = false;
  Leader_.readConfiguration([&IsRefused](const Outcome<Configuration> &Value) {
    IsRefused = !Value;
  });
  EXPECT_TRUE(IsRefused) << "another member may hold a newer one";
}
