//===- CapacitySharesTest.cpp - Tests of shares of a full fleet -----------===//
//
// Guards against bounded work that is late beside long-running work that could
// yield, and against yields that are not needed, not allowed or of no use.
//
//===----------------------------------------------------------------------===//

#include "jobs/SharesFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class DisabledSharesTest : public CapacitySharesTest {
protected:
  DisabledSharesTest() : CapacitySharesTest(false) {}
};

} // namespace

/// Fills both servers with tasks of one step.
#define FILL_SERVERS(MaxUnavailable)                                           \
  submitNow("l", makeLasting(4, 2000, MaxUnavailable));                        \
  for (std::uint64_t I = 0; I < 4; ++I)                                        \
    ASSERT_TRUE(start(makeStart("l", I, I < 2 ? "s1" : "s2")));                \
  settle()

// Bounded work that would be late gets the room of one task, not before.
TEST_F(CapacitySharesTest, TaskYieldsToWorkThatWouldBeLate) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(400ms);
  EXPECT_TRUE(listYields().empty()) << "the job can still start in time";
  advance(300ms);
  EXPECT_EQ(listYields().size(), 1U);
}

TEST_F(DisabledSharesTest, NothingYieldsOrIsKept) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(2s);
  EXPECT_TRUE(listYields().empty());
  EXPECT_FALSE(Shares_.isKept("s1") || Shares_.isKept("s2"));
  EXPECT_EQ(Shares_.getStatus().BoundedWaiting_, 1000);
}

// A job that is late anyway costs no long-running task its run.
TEST_F(CapacitySharesTest, NothingYieldsToWorkThatIsLateAnyway) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  Wall_ += 1600;
  advance(500ms);
  EXPECT_TRUE(listYields().empty());
}

// Filling work takes what is idle and needs no room.
TEST_F(CapacitySharesTest, NothingYieldsToFillingWork) {
  FILL_SERVERS(2);
  submitNow("b", makeFilling(1, "f"));
  advance(2s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, NothingYieldsBesideRoom) {
  runLasting("l", makeLasting(2, 2000), "s1");
  settle();
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

// A run that ends sooner than a yield gives room is waited for.
TEST_F(CapacitySharesTest, NothingYieldsWhereBoundedRunsEndSoon) {
  runLasting("l", makeLasting(2, 2000, 2), "s1");
  runLasting("m", makeLasting(1, 3000), "s2");
  settle();
  submitNow("a", makeStep(1, 1000));
  ASSERT_TRUE(start(makeStart("a", 0, "s2")));
  submitNow("b", makeStep(1, 1000));
  report("s2");
  advance(600ms);
  EXPECT_TRUE(listYields().empty());
  EXPECT_EQ(getKept("s2").MilliCpus_, 1000) << "it stays with bounded work";
}

// Guards against tasks that are stopped for bounded work although a task that
// is overdue takes their room, so that as many are down as before.
TEST_F(CapacitySharesTest, NothingYieldsForRoomThatOverdueWorkTakes) {
  for (const std::int64_t Need : {2000, 3000}) {
    const std::string Id = "lost" + std::to_string(Need);
    submitNow(Id, makeLasting(1, Need));
    ASSERT_TRUE(start(makeStart(Id, 0, "s1")));
    end(makeStart(Id, 0, "s1"), RunOutcome::Failed);
  }
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
  apply(CancelJob{"lost2000"});
  submitNow("c", makeStep(1, 1000));
  advance(1s);
  EXPECT_EQ(listYields().size(), 1U) << "the other one does not fit";
}

TEST_F(CapacitySharesTest, StepWithoutBudgetNeverYields) {
  FILL_SERVERS(0);
  submitNow("b", makeStep(1, 1000));
  advance(3s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, NoMoreYieldThanTheBudgetAllows) {
  FILL_SERVERS(1);
  submitNow("b", makeStep(4, 2000));
  advance(1s);
  EXPECT_EQ(listYields().size(), 1U);
  advance(500ms);
  stopYields();
  advance(500ms);
  EXPECT_TRUE(listYields().empty()) << "one is away already";
}

// A task that is away for another reason uses up the budget.
TEST_F(CapacitySharesTest, TaskThatIsAwayCountsAgainstTheBudget) {
  submitNow("l", makeLasting(3, 2000));
  for (std::uint64_t I = 0; I < 3; ++I)
    ASSERT_TRUE(start(makeStart("l", I, I < 2 ? "s1" : "s2")));
  runLasting("m", makeLasting(1, 2000, 0), "s2");
  settle();
  end(makeStart("l", 0, "s1"), RunOutcome::Failed);
  runLasting("n", makeLasting(1, 2000, 0), "s1");
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

// A task that has just started has paid for its start and stays.
TEST_F(CapacitySharesTest, TaskThatHasJustStartedDoesNotYield) {
  submitNow("b", makeStep(1, 1000));
  advance(600ms);
  runLasting("l", makeLasting(2, 2000, 2), "s1");
  runLasting("m", makeLasting(2, 2000, 2), "s2");
  report("s1");
  report("s2");
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, TaskWhoseStopFreesJustEnoughYields) {
  runLasting("large", makeLasting(1, 3000), "s1");
  runLasting("small", makeLasting(1, 1000), "s1");
  runLasting("full", makeLasting(1, 4000), "s2");
  settle();
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  ASSERT_EQ(listYields().size(), 1U);
  EXPECT_EQ(listYields().front().Task_.Job_, "small");
}

TEST_F(CapacitySharesTest, AsFewTasksAsAreNeededYield) {
  runLasting("tiny", makeLasting(4, 1000, 4), "s1");
  runLasting("large", makeLasting(1, 3000), "s2");
  runLasting("small", makeLasting(1, 1000), "s2");
  settle();
  submitNow("b", makeStep(3, 1000));
  advance(700ms);
  ASSERT_EQ(listYields().size(), 1U);
  EXPECT_EQ(listYields().front().Task_.Job_, "large");
}

// The stop of a small task gives no room to a large one.
TEST_F(CapacitySharesTest, NothingYieldsWhereNoRoomComesOfIt) {
  runLasting("l", makeLasting(4, 1000), "s1");
  runLasting("m", makeLasting(4, 1000), "s2");
  settle();
  submitNow("b", makeStep(1, 2000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, MemoryCountsAsRoom) {
  StepSpec Lasting = makeLasting(1, 4000);
  Lasting.Need_.MemoryMib_ = 100;
  runLasting("l", Lasting, "s1");
  runLasting("m", Lasting, "s2");
  settle();
  StepSpec Bounded = makeStep(1, 1000);
  Bounded.Need_.MemoryMib_ = 20'000;
  submitNow("b", Bounded);
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, ShrunkenCapacityIsNoRoom) {
  FILL_SERVERS(2);
  for (const char *Id : {"s1", "s2"})
    apply(AddServer{makeServer(Id, 2500)});
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, EvacuatedDataCentreIsNoRoom) {
  FILL_SERVERS(2);
  apply(EvacuateDataCentre{"dc1", true});
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
  EXPECT_EQ(Shares_.getStatus().Capacity_, 0);
}

TEST_F(CapacitySharesTest, QuarantinedServerIsNoRoom) {
  FILL_SERVERS(2);
  for (const char *Server : {"s1", "s2"})
    for (const char *Job : {"x", "y", "y"})
      Health_.recordFailure(Server, Job, Now_);
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

TEST_F(CapacitySharesTest, MoreUrgentTaskDoesNotYield) {
  Configuration Two = makeConfiguration(2);
  Two.Queues_.push_back(Two.Queues_.front());
  Two.Queues_.back().PathPrefix_ = "/later/";
  Two.Queues_.back().Priority_ = 1;
  apply(PutConfiguration{Two});
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000), "/later/");
  advance(1s);
  EXPECT_TRUE(listYields().empty());
  submitNow("c", makeStep(1, 1000));
  advance(1s);
  EXPECT_EQ(listYields().size(), 1U) << "work of the same priority";
}

// Guards against urgent bounded work that waits for less urgent tasks which are
// overdue.
TEST_F(CapacitySharesTest, LessUrgentOverdueWorkPreventsNoYield) {
  Configuration Two = makeConfiguration(2);
  Two.Queues_.push_back(Two.Queues_.front());
  Two.Queues_.back().PathPrefix_ = "/later/";
  Two.Queues_.back().Priority_ = 1;
  apply(PutConfiguration{Two});
  submitNow("lost", makeLasting(1, 2000), "/later/");
  ASSERT_TRUE(start(makeStart("lost", 0, "s1")));
  end(makeStart("lost", 0, "s1"), RunOutcome::Failed);
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  const std::vector<TaskStart> Yields = listYields();
  ASSERT_EQ(Yields.size(), 1U);
  const std::string &Server = Yields[0].Server_;
  const bool IsOverdue = true;
  EXPECT_NE(Shares_.findKeptForBounded(Server, 1, IsOverdue), nullptr);
  EXPECT_EQ(Shares_.findKeptForBounded(Server, 0, IsOverdue), nullptr);
  EXPECT_NE(Shares_.findKeptForBounded(Server, 0, !IsOverdue), nullptr);
}

// Guards against bounded work that waits for overdue tasks which no server may
// run yet.
TEST_F(CapacitySharesTest, OverdueWorkThatNeedsAdvicePreventsNoYield) {
  Configuration Two = makeConfiguration(2);
  Two.Queues_.push_back(Two.Queues_.front());
  Two.Queues_.back().PathPrefix_ = "/advised/";
  Two.Queues_.back().Advice_.IsRequired_ = true;
  apply(PutConfiguration{Two});
  submitNow("lost", makeLasting(1, 2000), "/advised/");
  ASSERT_TRUE(start(makeStart("lost", 0, "s1")));
  end(makeStart("lost", 0, "s1"), RunOutcome::Failed);
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(1s);
  EXPECT_EQ(listYields().size(), 1U);
}

// A task that returned may not yield again before the others had their turn.
TEST_F(CapacitySharesTest, TaskThatYieldedLatelyDoesNotYield) {
  runLasting("l", makeLasting(1, 4000), "s1");
  runLasting("m", makeLasting(1, 4000, 0), "s2");
  settle();
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  ASSERT_EQ(listYields().size(), 1U);
  stopYields();
  apply(CancelJob{"b"});
  advance(100ms);
  EXPECT_EQ(Shares_.getStatus().Yielding_, 1U);
  ASSERT_TRUE(start(makeStart("l", 0, "s1", 2)));
  advance(100ms);
  EXPECT_EQ(Shares_.getStatus().Yielding_, 0U);
  EXPECT_EQ(Shares_.takeReturns().size(), 1U);
  advance(5s);
  submitNow("c", makeStep(1, 1000));
  advance(2s);
  EXPECT_TRUE(listYields().empty());
  advance(15s);
  submitNow("d", makeStep(1, 1000));
  advance(1s);
  EXPECT_EQ(listYields().size(), 1U);
}

// A new leader has not seen for how long the tasks have been ready.
TEST_F(CapacitySharesTest, NewLeaderLetsNothingYieldBeforeReports) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  ASSERT_EQ(listYields().size(), 1U);
  Shares_.reset();
  LiveServers_.reset(Registry_, Now_, 10s);
  EXPECT_TRUE(listYields().empty());
  EXPECT_EQ(Shares_.getStatus(), ShareStatus());
  IsReporting_ = false;
  advance(1s);
  EXPECT_TRUE(listYields().empty());
  IsReporting_ = true;
  advance(1s);
  EXPECT_TRUE(listYields().empty());
}

// The order is withdrawn and the room goes back once nobody needs it.
TEST_F(CapacitySharesTest, CancelledJobLeavesNothingBehind) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  ASSERT_EQ(listYields().size(), 1U);
  apply(CancelJob{"b"});
  update(); // Before the next decision.
  EXPECT_TRUE(listYields().empty());
  EXPECT_FALSE(Shares_.isKept("s1") || Shares_.isKept("s2"));
}

TEST_F(CapacitySharesTest, FreedRoomIsKeptUntilTheTaskStarts) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  const std::string Server = listYields().at(0).Server_;
  stopYields();
  update();
  EXPECT_EQ(getKept(Server).MilliCpus_, 1000);
  advance(500ms);
  EXPECT_EQ(getKept(Server).MilliCpus_, 1000);
  ASSERT_TRUE(start(makeStart("b", 0, Server)));
  advance(50ms);
  EXPECT_FALSE(Shares_.isKept(Server));
}

// The next bounded step, which is not endangered yet, takes over the room: else
// a long-running task would take it, and another one would have to yield.
TEST_F(CapacitySharesTest, RoomStaysWithBoundedWorkWhileThatWaits) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 2000));
  advance(700ms);
  const std::string Server = listYields().at(0).Server_;
  stopYields();
  ASSERT_TRUE(start(makeStart("b", 0, Server)));
  report(Server);
  submitNow("c", makeStep(1, 2000));
  advance(100ms);
  EXPECT_FALSE(Shares_.isEndangered(*Registry_.readySteps().begin()));
  EXPECT_EQ(getKept(Server).MilliCpus_, 2000);
  end(makeStart("b", 0, Server), RunOutcome::Done);
  report(Server);
  advance(100ms);
  EXPECT_EQ(getKept(Server).MilliCpus_, 2000);
  EXPECT_TRUE(listYields().empty());
  ASSERT_TRUE(start(makeStart("c", 0, Server)));
  advance(100ms);
  EXPECT_FALSE(Shares_.isKept(Server)) << "nothing waits";
}

// Room that the step does not take is given back, and costs no second run.
TEST_F(CapacitySharesTest, UnusedRoomIsGivenBack) {
  FILL_SERVERS(2);
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  const std::string Server = listYields().at(0).Server_;
  stopYields();
  advance(2s);
  EXPECT_FALSE(Shares_.isKept(Server));
  EXPECT_TRUE(listYields().empty());
  advance(1s);
  EXPECT_FALSE(Shares_.isKept(Server));
  EXPECT_TRUE(listYields().empty());
}

// One stop serves two steps if both fit into what it frees.
TEST_F(CapacitySharesTest, TwoStepsShareTheRoomOfOneTask) {
  FILL_SERVERS(4);
  submitNow("a", makeStep(1, 1000));
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  EXPECT_EQ(listYields().size(), 1U);
}

TEST_F(CapacitySharesTest, TwoStepsDoNotCountOnTheSameRoom) {
  FILL_SERVERS(4);
  submitNow("a", makeStep(1, 2000));
  submitNow("b", makeStep(1, 2000));
  advance(700ms);
  EXPECT_EQ(listYields().size(), 2U);
}

// The server is lost between the yield and the start: another task yields.
TEST_F(CapacitySharesTest, LossOfTheServerEndsTheYield) {
  FILL_SERVERS(4);
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  const std::string Server = listYields().at(0).Server_;
  stopYields();
  apply(RemoveServer{Server, {}, true, {}});
  LiveServers_.remove(Server);
  advance(200ms);
  EXPECT_FALSE(Shares_.isKept(Server));
  ASSERT_EQ(listYields().size(), 1U);
  EXPECT_NE(listYields().front().Server_, Server);
}

// The order that is not sent yet is dropped with its run.
TEST_F(CapacitySharesTest, RunThatIsLostBeforeItsOrderHasNotYielded) {
  FILL_SERVERS(4);
  submitNow("b", makeStep(1, 1000));
  advance(700ms);
  const TaskStart Run = listYields().at(0);
  end(Run, RunOutcome::Failed);
  advance(50ms);
  EXPECT_EQ(Shares_.getStatus().Yielding_, 0U);
}

TEST_F(CapacitySharesTest, StatusAddsUpWhatRunsAndWaits) {
  FILL_SERVERS(1);
  submitNow("b", makeStep(3, 1000));
  submitNow("m", makeLasting(2, 1500));
  submitNow("f", makeFilling(2, "f"));
  advance(300ms);
  const ShareStatus &Status = Shares_.getStatus();
  EXPECT_EQ(Status.Capacity_, 8000);
  EXPECT_EQ(Status.Lasting_, 8000);
  EXPECT_EQ(Status.LastingWaiting_, 3000);
  EXPECT_EQ(Status.Bounded_, 0);
  EXPECT_EQ(Status.BoundedWaiting_, 3000);
  EXPECT_EQ(Status.Yieldable_, 2000) << "one task of the step";
}

// The log tells the step, how late it would be and what it needs.
TEST_F(CapacitySharesTest, YieldIsDescribedWithItsFigures) {
  FILL_SERVERS(1);
  submitNow("b", makeStep(2, 1000));
  advance(600ms);
  ASSERT_EQ(listYields().size(), 1U);
  const std::string Text = Shares_.describeYield(listYields()[0].Task_);
  EXPECT_NE(Text.find("job b step 0.0"), std::string::npos) << Text;
  EXPECT_NE(Text.find("would be late in"), std::string::npos) << Text;
  EXPECT_NE(Text.find("2000 thousandths"), std::string::npos) << Text;
}
