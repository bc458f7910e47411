//===- JobLeaderExpiryTest.cpp - Tests of servers whose leases expire -----===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(JobLeaderTest, TasksOfASilentServerMoveOnlyAfterItsLease) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ServerReport Report = makeReport("s1");
  const ServerOrders Orders = report(Report);
  Report = makeReport("s1");
  Report.Running_ = {makeRunning(Orders.Starts_.at(0), "at 4")};
  report(Report);
  Strand_.advance(Settings_.Lease_);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty())
      << "the server's clock may be slow";
  Strand_.advance(Settings_.Lease_ / 10);
  const ServerOrders Elsewhere = report(makeReport("s2"));
  ASSERT_EQ(Elsewhere.Starts_.size(), 1U);
  EXPECT_EQ(Elsewhere.Starts_[0].Run_, 2U);
  EXPECT_EQ(Elsewhere.Starts_[0].Checkpoint_, "at 4");
}

TEST_F(JobLeaderTest, OverloadedLeaderKeepsServersThatRelaysHear) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  const auto IsMoved = [&] {
    return !report(makeReport("s2")).Starts_.empty();
  };
  // The server's report waits at a relay for all this time.
  Relays_.AnswersAutomatically_ = false;
  const Duration Until = Settings_.Lease_ * 3 / 2;
  for (Duration At{}; At < Until; At += std::chrono::seconds(1)) {
    Strand_.advance(std::chrono::seconds(1));
    Leader_.markOverloaded();
    Relays_.answer({"s1"});
  }
  EXPECT_FALSE(IsMoved());
  ServerReport Delayed = makeReport("s1");
  Delayed.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Done)};
  EXPECT_EQ(report(Delayed).EndsNoted_, 1U);
  EXPECT_FALSE(IsMoved()) << "the task is completed";
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(JobLeaderTest, OverloadedLeaderRemovesASilentServer) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  const Duration Until = Settings_.Lease_ * 5 / 2;
  for (Duration At{}; At < Until; At += std::chrono::seconds(1)) {
    Strand_.advance(std::chrono::seconds(1));
    Leader_.markOverloaded();
  }
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// Guards against long-running tasks without a run for two leases.
TEST_F(JobLeaderTest, OverloadedLeaderRemovesASilentServerInTime) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  const Duration Until = Settings_.Lease_ + 2s;
  for (Duration At{}; At < Until; At += 250ms) {
    Strand_.advance(250ms);
    Leader_.markOverloaded();
  }
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// The first answer may be sent before the relay has read a report that has
// arrived.
TEST_F(JobLeaderTest, OverloadedLeaderAsksTheRelaysTwice) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  Relays_.AnswersAutomatically_ = false;
  const auto Pass = [this](Duration Length) {
    for (Duration At{}; At < Length; At += 250ms) {
      Leader_.markOverloaded();
      Strand_.advance(250ms);
    }
  };
  Pass(Settings_.Lease_ + 500ms);
  Relays_.answer();
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  Pass(1500ms);
  Relays_.answer({"s1"});
  Pass(1500ms);
  Relays_.answer();
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty()) << "heard in between";
  Pass(1500ms);
  Relays_.answer();
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// Guards against a relay that does not answer and so delays the tasks of all
// lost servers.
TEST_F(JobLeaderTest, LostServerIsRemovedThoughARelayIsSilent) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  Relays_.AnswersAutomatically_ = false;
  Strand_.advance(Settings_.Lease_ + 1s);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  Strand_.advance(1s);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
  // The late answer has no effect.
  Relays_.answer();
  Strand_.advance(100ms);
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 1U);
}

// Guards against a second lease for a server whose last report was delayed: the
// lease counts from the sending of the report.
TEST_F(JobLeaderTest, LeaseCountsFromTheSendingOfTheReport) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ServerReport Waited = makeReport("s1");
  ASSERT_EQ(report(Waited).Starts_.size(), 1U);
  Strand_.advance(1s);
  Waited = makeReport("s1");
  Waited.WaitedMs_ = 900;
  report(Waited);
  Strand_.advance(Settings_.Lease_ - 500ms);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// An overloaded leader asks the relays early, so that it has the second answer
// when the lease expires.
TEST_F(JobLeaderTest, TasksOfALostServerMoveWhenItsLeaseExpires) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  const Duration Until = Settings_.Lease_ * 103 / 100 + 500ms;
  for (Duration At{}; At < Until; At += 50ms) {
    Strand_.advance(50ms);
    Leader_.markOverloaded();
  }
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// Guards against a change of the leader that gives a lost server a whole new
// lease. Other members know when they last heard it.
TEST_F(JobLeaderTest, LostServerKeepsItsLeaseOverAChangeOfTheLeader) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  const TimePoint HeardAt = Time_.now();
  Strand_.advance(Settings_.Lease_ / 2);
  beginNextTerm();
  ASSERT_TRUE(Relays_.FoundBounds_);
  Relays_.FoundBounds_({HeardAt - 10s, {{"s1", HeardAt}}});
  Strand_.advance(HeardAt + Settings_.Lease_ - Time_.now());
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty())
      << "the server's clock may be slow";
  Strand_.advance(Settings_.Lease_ / 10);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

// Guards against bounds that are lost as the last answer arrives while the
// leader's own lease has lapsed for a moment; no member answers twice.
TEST_F(JobLeaderTest, BoundsCountThatArriveWithoutTheLeadersLease) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  const TimePoint HeardAt = Time_.now();
  Strand_.advance(Settings_.Lease_ / 2);
  beginNextTerm();
  ASSERT_TRUE(Relays_.FoundBounds_);
  // The leader's watch does not see that the lease lapses.
  Group_.IsLeader_ = false;
  Relays_.FoundBounds_({HeardAt - 10s, {{"s1", HeardAt}}});
  Group_.IsLeader_ = true;
  Strand_.advance(HeardAt + Settings_.Lease_ * 11 / 10 - Time_.now());
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(JobLeaderTest, BoundsForAnEarlierTermAreIgnored) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  const auto FoundByFirst = std::exchange(Relays_.FoundBounds_, nullptr);
  beginNextTerm();
  FoundByFirst({Time_.now() - Settings_.Lease_ * 2, {}});
  Strand_.advance(Settings_.Lease_ * 9 / 10);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
}

// Guards against a removal that waits for a silent relay after the lease has
// expired, which is part of the time for which long-running tasks are away.
TEST_F(JobLeaderTest, SilentRelayDelaysARemovalByLessThanASecond) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  Relays_.AnswersAutomatically_ = false;
  const Duration MaxLease =
      Settings_.Lease_ * (100 + Settings_.ClockDriftPercent_) / 100;
  Strand_.advance(MaxLease + 1s);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(JobLeaderTest, SilentRelayDelaysAnOverloadedLeaderLittleMore) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  Relays_.AnswersAutomatically_ = false;
  const Duration MaxLease =
      Settings_.Lease_ * (100 + Settings_.ClockDriftPercent_) / 100;
  for (Duration At{}; At < MaxLease + 1200ms; At += 50ms) {
    Leader_.markOverloaded();
    Strand_.advance(50ms);
  }
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}
