//===- LeaderDelayTest.cpp - Tests of a leader whose commits take long ----===//
//
// Guards against leases that wait for commits. The answer to a report with an
// end and a start waits for two commits, one after the other, and the lease of
// the server's other runs would wait with it. On an overloaded leader a commit
// takes 70 to 120 ms (up to 330 ms), so reports that were not handled within
// 300 to 550 ms got no answer and no lease.
//
//===----------------------------------------------------------------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class LeaderDelayTest : public JobLeaderTest {
protected:
  /// The answer to a report once it has arrived.
  using AnswerPtr = std::shared_ptr<std::optional<Outcome<ServerOrders>>>;

  AnswerPtr send(const ServerReport &Report) {
    AnswerPtr Answer = std::make_shared<std::optional<Outcome<ServerOrders>>>();
    Leader_.report(Report, [Answer](Outcome<ServerOrders> Reply) {
      EXPECT_FALSE(Answer->has_value()) << "answered twice";
      *Answer = std::move(Reply);
    });
    Strand_.runAll();
    return Answer;
  }
  /// Starts two runs on a server and reports the end of the first while nothing
  /// commits.
  AnswerPtr reportEndWithoutCommits(RunOutcome How = RunOutcome::Done) {
    call(CallKind::Submit, "j", {makeStep(2, 1000)});
    Started_ = report(makeReport("s1")).Starts_;
    EXPECT_EQ(Started_.size(), 2U);
    Group_.IsHeld_ = true;
    ServerReport After = makeReport("s1");
    After.Ended_ = {makeEnded(1, Started_.at(0), How)};
    After.Running_ = {makeRunning(Started_.at(1))};
    return send(After);
  }
  void commit() {
    Group_.IsHeld_ = false;
    Group_.commitAll();
    Strand_.runAll();
  }
  /// Well below the time after which a server abandons a report, round trip
  /// included.
  static constexpr Duration AnswerDelay = 400ms;

  std::vector<StartOrder> Started_;
};

} // namespace

TEST_F(LeaderDelayTest, LeaseDoesNotWaitForAHangingCommit) {
  const AnswerPtr Answer = reportEndWithoutCommits();
  Strand_.advance(AnswerDelay);
  ASSERT_TRUE(Answer->has_value() && **Answer);
  EXPECT_GT((*Answer)->value().LeaseMs_, 0U);
  // The lease that was granted is honoured.
  Strand_.advance(Settings_.Lease_ - AnswerDelay);
  commit();
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
}

TEST_F(LeaderDelayTest, EarlyAnswerAcknowledgesNoEndAndStartsNothing) {
  const AnswerPtr Answer = reportEndWithoutCommits();
  Strand_.advance(AnswerDelay);
  ASSERT_TRUE(Answer->has_value() && **Answer);
  EXPECT_EQ((*Answer)->value().EndsNoted_, 0U);
  EXPECT_TRUE((*Answer)->value().Starts_.empty())
      << "the run that has ended is still placed there";
  EXPECT_TRUE((*Answer)->value().Stops_.empty());
}

TEST_F(LeaderDelayTest, LateCommitsAreInTheNextAnswer) {
  reportEndWithoutCommits(RunOutcome::Failed);
  Strand_.advance(AnswerDelay);
  commit();
  ServerReport Next = makeReport("s1");
  Next.Ended_ = {makeEnded(1, Started_.at(0), RunOutcome::Failed)};
  Next.Running_ = {makeRunning(Started_.at(1))};
  // The failed run may be retried on the same server only after a pause.
  const ServerOrders Orders = report(Next);
  EXPECT_EQ(Orders.EndsNoted_, 1U);
  EXPECT_GT(Orders.LeaseMs_, 0U);
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
}

TEST_F(LeaderDelayTest, EndsBeforeTheFirstUncommittedOneAreAcknowledged) {
  call(CallKind::Submit, "j", {makeStep(2, 1000)});
  const ServerOrders Orders = report(makeReport("s1"));
  ServerReport First = makeReport("s1");
  First.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done)};
  First.Running_ = {makeRunning(Orders.Starts_.at(1))};
  report(First);
  // The server did not receive that answer.
  Group_.IsHeld_ = true;
  ServerReport Second = makeReport("s1");
  Second.Ended_ = {makeEnded(1, Orders.Starts_.at(0), RunOutcome::Done),
                   makeEnded(2, Orders.Starts_.at(1), RunOutcome::Done)};
  const AnswerPtr Answer = send(Second);
  Strand_.advance(AnswerDelay);
  ASSERT_TRUE(Answer->has_value() && **Answer);
  EXPECT_EQ((*Answer)->value().EndsNoted_, 1U);
}

TEST_F(LeaderDelayTest, UnregisteredServerGetsNoLease) {
  Group_.IsHeld_ = true;
  const AnswerPtr Answer = send(makeReport("s1"));
  Strand_.advance(AnswerDelay);
  EXPECT_FALSE(Answer->has_value() && **Answer &&
               (*Answer)->value().LeaseMs_ > 0);
}

TEST_F(LeaderDelayTest, EarlyAnswerNeedsTheLeadersLease) {
  const AnswerPtr Answer = reportEndWithoutCommits();
  Group_.HasLease_ = false;
  Strand_.advance(AnswerDelay);
  EXPECT_FALSE(Answer->has_value() && **Answer)
      << "another member may be the leader";
}

TEST_F(LeaderDelayTest, ResourcesFreedLateAreUsedInTheNextAnswer) {
  call(CallKind::Submit, "j", {makeStep(2, 2500)});
  const ServerOrders First = report(makeReport("s1"));
  ASSERT_EQ(First.Starts_.size(), 1U) << "there is room for one";
  Group_.IsHeld_ = true;
  ServerReport After = makeReport("s1");
  After.Ended_ = {makeEnded(1, First.Starts_[0], RunOutcome::Done)};
  const AnswerPtr Answer = send(After);
  Strand_.advance(AnswerDelay);
  ASSERT_TRUE(Answer->has_value());
  // The end is committed, then the start that uses its resources.
  Group_.commitAll();
  Strand_.runAll();
  commit();
  Group_.IsHeld_ = true;
  ServerReport Next = makeReport("s1");
  Next.Ended_ = After.Ended_;
  const AnswerPtr Later = send(Next);
  ASSERT_TRUE(Later->has_value()) << "nothing is left to commit";
  EXPECT_EQ((*Later)->value().Starts_.size(), 1U);
}

// Guards against ends that stay unacknowledged for ever and block the
// acknowledgement of all later ones: an end that changes nothing, such as that
// of a long-running task that has been restarted, counted as uncommitted.
TEST_F(LeaderDelayTest, EndWithoutEffectIsAcknowledged) {
  StepSpec Lasting = makeStep(1, 1000);
  Lasting.LongRunning_ = true;
  call(CallKind::Submit, "j", {Lasting});
  call(CallKind::Submit, "k", {makeStep(1, 1000)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 2U);
  const bool IsFirst = Orders.Starts_[0].Task_.Job_ == "j";
  const StartOrder &Last = Orders.Starts_[IsFirst ? 0 : 1];
  const StartOrder &Other = Orders.Starts_[IsFirst ? 1 : 0];
  ServerReport First = makeReport("s1");
  First.Ended_ = {makeEnded(1, Last, RunOutcome::Done)};
  First.Running_ = {makeRunning(Other)};
  EXPECT_EQ(report(First).EndsNoted_, 1U);
  // The server did not receive that answer.
  ServerReport Second = makeReport("s1");
  Second.Ended_ = {makeEnded(1, Last, RunOutcome::Done),
                   makeEnded(2, Other, RunOutcome::Done)};
  EXPECT_EQ(report(Second).EndsNoted_, 2U);
}
