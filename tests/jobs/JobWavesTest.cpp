//===- JobWavesTest.cpp - Maintenance waves of a leader ------------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class JobWavesTest : public JobLeaderTest {
protected:
  JobWavesTest() {
    Provider_.Vms_ = {{"v1", "booking", VmState::Up, "s1"},
                      {"v2", "booking", VmState::Up, "s2"}};
  }
  void startWave(std::vector<std::string> Vms) {
    bool IsDone = false;
    Leader_.startWave({3, std::move(Vms), 20'000, 1},
                      [&IsDone](const Outcome<void> &Result) {
                        IsDone = static_cast<bool>(Result);
                      });
    Strand_.runAll();
    EXPECT_TRUE(IsDone);
  }
  Outcome<WaveRecord> showWave(std::uint64_t Wave) {
    Outcome<WaveRecord> Answer = fail(ErrorCode::Internal, "no answer");
    Leader_.showWave(Wave, [&Answer](const Outcome<WaveRecord> &Record) {
      Answer = Record;
    });
    Strand_.runAll();
    return Answer;
  }
  void answer(const Outcome<MaintenanceReply> &Reply) {
    ASSERT_FALSE(Provider_.Orders_.empty());
    Provider_.Orders_.back().Reply_(Reply);
    Strand_.runAll();
  }
  /// Sends reports of both servers with these runs in progress.
  void reportBoth(const std::vector<StartOrder> &OnFirst,
                  const std::vector<StartOrder> &OnSecond) {
    First_ = reportWith("s1", OnFirst);
    Second_ = reportWith("s2", OnSecond);
  }
  ServerOrders reportWith(const std::string &Id,
                          const std::vector<StartOrder> &Starts) {
    ServerReport Report = makeReport(Id);
    for (const StartOrder &Start : Starts) {
      Report.Running_.push_back(makeRunning(Start));
      Report.Running_.back().Percent_ = 100;
    }
    return report(Report);
  }

  ServerOrders First_;
  ServerOrders Second_;
};

} // namespace

TEST_F(JobWavesTest, WaveIsStoredOrderedAndCompleted) {
  report(makeReport("s1"));
  EXPECT_EQ(showWave(3).error().Code_, ErrorCode::NotFound);
  startWave({"v1"});
  startWave({"v1"});
  ASSERT_TRUE(showWave(3));
  EXPECT_FALSE(showWave(3).value().isCompleted());
  EXPECT_TRUE(Provider_.Orders_.empty())
      << "an order of an earlier leader may be in flight";
  Strand_.advance(4s);
  report(makeReport("s1"));
  Strand_.advance(100ms);
  ASSERT_EQ(Provider_.Orders_.size(), 1U);
  EXPECT_EQ(Provider_.Orders_[0].Vm_, "v1");
  EXPECT_EQ(Provider_.Orders_[0].Wave_, 3U);
  EXPECT_EQ(Provider_.Orders_[0].FencingToken_, 1U);
  answer(MaintenanceReply::Begun);
  EXPECT_TRUE(showWave(3).value().isCompleted());
  EXPECT_TRUE(Machine_.read([](const JobRegistry &Registry) {
    return Registry.findServer("s1") == nullptr && Registry.isOver("s1");
  })) << "no run of that incarnation is left";
}

TEST_F(JobWavesTest, VmsAreNotListedWithoutAWave) {
  report(makeReport("s1"));
  Strand_.advance(10s);
  EXPECT_EQ(Provider_.Lists_, 0U) << "each call has a cost";
}

TEST_F(JobWavesTest, DrainingServerGetsNoNewTasks) {
  startWave({"v1"});
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  const ServerOrders Before = report(makeReport("s1"));
  ASSERT_EQ(Before.Starts_.size(), 1U);
  Strand_.advance(4s);
  reportWith("s1", Before.Starts_);
  Strand_.advance(100ms);
  call(CallKind::Submit, "k", {makeStep(1, 1000)});
  EXPECT_TRUE(reportWith("s1", Before.Starts_).Starts_.empty());
  EXPECT_TRUE(Provider_.Orders_.empty()) << "its tasks end first";
}

TEST_F(JobWavesTest, LongRunningTasksLeaveOneAtATime) {
  StepSpec Serving = makeStep(2, 1000);
  Serving.LongRunning_ = true;
  Serving.MaxUnavailable_ = 1;
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {Serving});
  const std::vector<StartOrder> Running = report(makeReport("s1")).Starts_;
  ASSERT_EQ(Running.size(), 2U);
  startWave({"v1"});
  reportBoth(Running, {});
  Strand_.advance(3500ms);
  reportBoth(Running, {});
  Strand_.advance(100ms);
  reportBoth(Running, {});
  ASSERT_EQ(First_.Stops_.size(), 1U) << "one of two tasks may be missing";
  const StopOrder Stopped = First_.Stops_[0];
  reportBoth(Running, {});
  ASSERT_EQ(First_.Stops_.size(), 1U);
  EXPECT_EQ(First_.Stops_[0], Stopped) << "the same order is repeated";
  // The first run has ended; the second one stays until the first runs on
  // another server.
  ServerReport Ended = makeReport("s1");
  Ended.Running_ = {makeRunning(Running[1])};
  Ended.Running_[0].Percent_ = 100;
  Ended.Ended_ = {makeEnded(1, Running[0], RunOutcome::Stopped)};
  EXPECT_TRUE(report(Ended).Stops_.empty());
  const ServerOrders Elsewhere = reportWith("s2", {});
  ASSERT_EQ(Elsewhere.Starts_.size(), 1U);
  reportWith("s2", Elsewhere.Starts_);
  const ServerOrders Last = reportWith("s1", {Running[1]});
  ASSERT_EQ(Last.Stops_.size(), 1U);
  EXPECT_EQ(Last.Stops_[0].Task_, Running[1].Task_);
  EXPECT_TRUE(Provider_.Orders_.empty());
}

TEST_F(JobWavesTest, NoTaskIsStoppedWhileAnotherServerDoesNotReport) {
  StepSpec Serving = makeStep(2, 1000);
  Serving.LongRunning_ = true;
  Serving.MaxUnavailable_ = 1;
  Serving.SpreadLimit_ = 1;
  report(makeReport("s1"));
  report(makeReport("s2"));
  call(CallKind::Submit, "j", {Serving});
  const std::vector<StartOrder> OnFirst = report(makeReport("s1")).Starts_;
  const std::vector<StartOrder> OnSecond = report(makeReport("s2")).Starts_;
  ASSERT_EQ(OnFirst.size() + OnSecond.size(), 2U);
  startWave({"v1"});
  reportBoth(OnFirst, OnSecond);
  // The other server stops reporting, but its lease has not expired.
  Strand_.advance(3500ms);
  reportWith("s1", OnFirst);
  Strand_.advance(100ms);
  EXPECT_TRUE(reportWith("s1", OnFirst).Stops_.empty());
  reportWith("s2", OnSecond);
  EXPECT_EQ(reportWith("s1", OnFirst).Stops_.size(), 1U);
}

TEST_F(JobWavesTest, NewLeaderWaitsBeforeItsFirstOrder) {
  report(makeReport("s1"));
  startWave({"v1"});
  Strand_.advance(2s);
  Group_.Term_ = 2;
  Strand_.advance(2s);
  report(makeReport("s1"));
  EXPECT_TRUE(Provider_.Orders_.empty());
  Strand_.advance(1500ms);
  ASSERT_EQ(Provider_.Orders_.size(), 1U);
  EXPECT_EQ(Provider_.Orders_[0].FencingToken_, 2U);
}

TEST_F(JobWavesTest, AnswerForEarlierTermIsDropped) {
  report(makeReport("s1"));
  startWave({"v1"});
  Strand_.advance(3500ms);
  ASSERT_EQ(Provider_.Orders_.size(), 1U);
  Group_.Term_ = 2;
  Strand_.advance(200ms);
  // The new term does not know that order; it sends its own.
  answer(MaintenanceReply::Begun);
  EXPECT_FALSE(showWave(3).value().isCompleted());
  EXPECT_EQ(Log_.count(EventKind::Maintenance), 1U)
      << "only the event of the wave itself";
}

TEST_F(JobWavesTest, UnansweredOrderIsRetried) {
  report(makeReport("s1"));
  startWave({"v1"});
  Strand_.advance(3500ms);
  ASSERT_EQ(Provider_.Orders_.size(), 1U);
  Strand_.advance(1s);
  EXPECT_EQ(Provider_.Orders_.size(), 1U) << "the first order is in flight";
  answer(fail(ErrorCode::Timeout, "no answer"));
  EXPECT_EQ(Log_.last(EventKind::Maintenance).Outcome_, "not answered");
  EXPECT_FALSE(showWave(3).value().isCompleted());
  Strand_.advance(1s);
  EXPECT_EQ(Provider_.Orders_.size(), 2U);
}

// Guards against a task that runs twice because a relay still buffers its end
// when the maintenance of its server's VM begins.
TEST_F(JobWavesTest, EndThatARelayBuffersAtAMaintenanceIsRecorded) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  const std::vector<StartOrder> Runs = report(makeReport("s1")).Starts_;
  ASSERT_EQ(Runs.size(), 1U);
  startWave({"v1"});
  for (int I = 0; I < 200 && Provider_.Orders_.empty(); ++I) {
    Strand_.advance(100ms);
    reportWith("s1", Runs);
  }
  ASSERT_EQ(Provider_.Orders_.size(), 1U) << "it waits for a bounded time";
  Relays_.AnswersAutomatically_ = false;
  answer(MaintenanceReply::Begun);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  ServerReport Last = makeReport("s1");
  Last.Ended_ = {makeEnded(1, Runs[0], RunOutcome::Done)};
  report(Last);
  Relays_.answer();
  Strand_.runAll();
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  EXPECT_TRUE(Machine_.read([](const JobRegistry &Registry) {
    return Registry.findServer("s1") == nullptr && Registry.isOver("s1");
  }));
}

// Guards against a running server that is removed on the answer to a repeated
// order, so that its tasks run twice and it never has work again.
TEST_F(JobWavesTest, RepeatedOrderRemovesNoLaterServer) {
  report(makeReport("s1"));
  startWave({"v1"});
  Strand_.advance(3500ms);
  ASSERT_EQ(Provider_.Orders_.size(), 1U);
  Provider_.Vms_[0].Server_ = "s3";
  report(makeReport("s3"));
  answer(fail(ErrorCode::Timeout, "no answer"));
  Strand_.advance(1s);
  report(makeReport("s3"));
  ASSERT_EQ(Provider_.Orders_.size(), 2U);
  answer(MaintenanceReply::Begun);
  EXPECT_TRUE(showWave(3).value().isCompleted());
  EXPECT_TRUE(Machine_.read([](const JobRegistry &Registry) {
    return Registry.findServer("s3") && Registry.isOver("s1");
  }));
  EXPECT_NE(report(makeReport("s3")).LeaseMs_, 0U);
}

// Guards against a new leader that removes a running server on an answer which
// speaks of its predecessor's order.
TEST_F(JobWavesTest, NewLeaderRemovesNoServerOfAnEarlierLeadersWave) {
  report(makeReport("s1"));
  startWave({"v1"});
  Strand_.advance(3500ms);
  ASSERT_EQ(Provider_.Orders_.size(), 1U);
  beginNextTerm();
  Provider_.Vms_[0].Server_ = "s3";
  for (int I = 0; I < 40 && Provider_.Orders_.size() < 2; ++I) {
    report(makeReport("s3"));
    Strand_.advance(100ms);
  }
  ASSERT_EQ(Provider_.Orders_.size(), 2U);
  answer(MaintenanceReply::Begun);
  EXPECT_TRUE(showWave(3).value().isCompleted());
  EXPECT_NE(report(makeReport("s3")).LeaseMs_, 0U);
}
