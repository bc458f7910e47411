//===- OverdueStepsTest.cpp - Waits of lost tasks beside room -------------===//

#include "jobs/OverdueSteps.h"

#include "jobs/SharesFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// Two servers with four processors each.
class OverdueStepsTest : public CapacitySharesTest {
protected:
  /// Lets tasks of the job run and end by themselves.
  void loseTasks(const std::string &Id, const StepSpec &Step) {
    submitNow(Id, Step);
    for (std::uint64_t I = 0; I < Step.Count_; ++I) {
      const TaskStart Start = makeStart(Id, I, "s1");
      ASSERT_TRUE(start(Start));
      end(Start, RunOutcome::Failed);
    }
    Waits_.observe(Registry_, Now_);
  }
  void waitFor(Duration Time) {
    const auto Update = [this] {
      for (const auto &[Id, Server] : Registry_.servers())
        report(Id);
      Overdue_.update(Registry_, Waits_, LiveServers_, Now_);
    };
    for (const TimePoint End = Now_ + Time; Now_ < End; Now_ += 250ms)
      Update();
    Update();
  }
};

} // namespace

// Guards against steps that count as overdue at once, or never.
TEST_F(OverdueStepsTest, StepsWithTasksThatRanBeforeAreOverdueAfterAWhile) {
  loseTasks("lost", makeLasting(1, 1000));
  submitNow("new", makeLasting(1, 1000));
  waitFor(2s);
  EXPECT_TRUE(Overdue_.isEmpty());
  waitFor(1500ms);
  const ReadyStep &Lost = *Registry_.readyLongRunningSteps().begin();
  EXPECT_EQ(Lost.Job_, "lost");
  EXPECT_TRUE(Overdue_.contains(Lost));
  EXPECT_FALSE(Overdue_.contains(*Registry_.readyLongRunningSteps().rbegin()));
}

// Guards against tasks of a removed server that get no precedence until they
// have waited once more.
TEST_F(OverdueStepsTest, TasksOfARemovedServerAreOverdueAtOnce) {
  loseTasks("lost", makeLasting(1, 1000));
  Overdue_.recordLoss({{{"lost", 0, 0, 0}, 1}});
  waitFor(0ms);
  EXPECT_TRUE(Overdue_.contains(*Registry_.readyLongRunningSteps().begin()));
}

// Guards against a long wait beside room that no metric and no log line shows.
TEST_F(OverdueStepsTest, AWaitBesideRoomIsReportedOnceAndMeteredAtItsEnd) {
  loseTasks("lost", makeLasting(1, 3000));
  waitFor(3s);
  waitFor(1s);
  EXPECT_TRUE(Overdue_.takeLongWaits().empty());
  waitFor(3s);
  const auto Long = Overdue_.takeLongWaits();
  ASSERT_EQ(Long.size(), 1U);
  EXPECT_EQ(Long[0].Step_.Job_, "lost");
  EXPECT_EQ(Long[0].Time_, OverdueSteps::LongWait);
  EXPECT_EQ(Long[0].FreeCpus_, 4000);
  EXPECT_TRUE(Overdue_.takeEndedWaits().empty());
  ASSERT_TRUE(start({{"lost", 0, 0, 0}, 2, "s1"}));
  waitFor(250ms);
  const std::vector<Duration> Ended = Overdue_.takeEndedWaits();
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_GE(Ended[0], 4s);
}

// Guards against room that only one task fits into being taken for room for
// two, and against room on two servers being overlooked.
TEST_F(OverdueStepsTest, RoomForTwoTasksMayBeOnTwoServers) {
  loseTasks("lost", makeLasting(1, 3000));
  submitNow("other", makeLasting(1, 2000));
  ASSERT_TRUE(start(makeStart("other", 0, "s2")));
  waitFor(8s);
  EXPECT_TRUE(Overdue_.takeLongWaits().empty()) << "one server has room";
  end(makeStart("other", 0, "s2"), RunOutcome::Failed);
  waitFor(2s);
  EXPECT_EQ(Overdue_.takeLongWaits().size(), 1U);
}

// Guards against tasks that are named as fitting where they may not run.
TEST_F(OverdueStepsTest, FittingStepsMayRunOnTheServer) {
  StepSpec Spread = makeLasting(2, 1000);
  Spread.SpreadLimit_ = 1;
  submitNow("spread", Spread);
  ASSERT_TRUE(start(makeStart("spread", 0, "s1")));
  ASSERT_TRUE(start(makeStart("spread", 1, "s2")));
  end(makeStart("spread", 1, "s2"), RunOutcome::Failed);
  Waits_.observe(Registry_, Now_);
  waitFor(4s);
  const auto Find = [this](std::int64_t MilliCpus) {
    return Overdue_.findFitting(Registry_, *Registry_.findServer("s1"),
                                Resources::makeFor(MilliCpus, 4000));
  };
  ASSERT_FALSE(Overdue_.isEmpty());
  EXPECT_EQ(Find(4000), nullptr);
  loseTasks("plain", makeLasting(1, 2000));
  waitFor(4s);
  EXPECT_EQ(Find(1000), nullptr);
  ASSERT_NE(Find(2000), nullptr);
  EXPECT_EQ(Find(2000)->Job_, "plain");
}

// Guards against a step that counts as overdue for good, as its tasks fail by
// turns and each runs again soon.
TEST_F(OverdueStepsTest, TasksThatFailByTurnsAreNotOverdue) {
  submitNow("failing", makeLasting(2, 900));
  ASSERT_TRUE(start(makeStart("failing", 0, "s1")));
  ASSERT_TRUE(start(makeStart("failing", 1, "s1")));
  std::uint64_t Runs[2] = {1, 1};
  for (std::uint64_t Round = 0; Round < 20; ++Round) {
    const std::uint64_t Task = Round % 2;
    end({{"failing", 0, 0, Task}, Runs[Task], "s1"}, RunOutcome::Failed);
    if (Round > 0) {
      ASSERT_TRUE(start({{"failing", 0, 0, 1 - Task}, ++Runs[1 - Task], "s1"}));
    }
    Waits_.observe(Registry_, Now_);
    waitFor(500ms);
    EXPECT_TRUE(Overdue_.isEmpty());
  }
}

// Guards against a new leader that lets tasks wait anew.
TEST_F(OverdueStepsTest, WaitsOfStepsCountAfterAChangeOfLeader) {
  loseTasks("lost", makeLasting(1, 1000));
  waitFor(4s);
  Overdue_.reset();
  waitFor(0ms);
  EXPECT_FALSE(Overdue_.isEmpty());
}
