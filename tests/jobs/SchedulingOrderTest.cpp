//===- SchedulingOrderTest.cpp - Recomputation of the scheduling order ---===//

#include "jobs/SchedulingOrder.h"

#include "jobs/SharesFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class SchedulingOrderTest : public JobRegistryTest {
protected:
  void update() {
    Order_.update(
        {Registry_, Waits_, PassedOver_, Overdue_, Now_, WallTime(1000)});
  }
  std::size_t count() const { return Order_.candidates().size(); }
  void submitMany(int Count) {
    for (int I = 0; I < Count; ++I)
      submit(makeJob("many" + std::to_string(I), {makeStep(1, 100)}));
  }

  TimePoint Now_{1h};
  ReadyTimes Waits_;
  PassedOverTimes PassedOver_;
  OverdueSteps Overdue_;
  RunTimeEstimator RunTimes_;
  SchedulingOrder Order_{RunTimes_};
};

} // namespace

TEST_F(SchedulingOrderTest, ShortQueueIsUpdatedImmediately) {
  submit(makeJob("a", {makeStep(1, 100)}));
  update();
  submit(makeJob("b", {makeStep(1, 100)}));
  update();
  EXPECT_EQ(count(), 2U);
}

TEST_F(SchedulingOrderTest, LongQueueIsUpdatedAfterAPause) {
  submitMany(300);
  update();
  ASSERT_EQ(count(), 300U);
  submit(makeJob("late", {makeStep(1, 100)}));
  Now_ += 1ms;
  update();
  EXPECT_EQ(count(), 300U);
  Now_ += 50ms;
  update();
  EXPECT_EQ(count(), 301U);
}

TEST_F(SchedulingOrderTest, OrderIsUpdatedAfterMaxAge) {
  submit(makeJob("a", {makeStep(1, 100)}));
  update();
  // No step was added; the started one is removed.
  start(makeStart("a", 0, "s1"));
  update();
  EXPECT_EQ(count(), 1U);
  Now_ += 200ms;
  update();
  EXPECT_EQ(count(), 0U);
}

TEST_F(SchedulingOrderTest, CandidateHoldsNeedsOfItsTasks) {
  StepSpec Filling = makeStep(1, 700);
  Filling.Fills_ = true;
  Filling.Image_ = "f";
  submit(makeJob("fills", {Filling}));
  update();
  ASSERT_EQ(count(), 1U);
  EXPECT_EQ(Order_.candidates()[0].Reserved_.MilliCpus_, 0);
  EXPECT_EQ(Order_.candidates()[0].IdleNeeded_, 700);
  EXPECT_EQ(Order_.minimumNeeds().FillingCpus_, 700);
}

TEST_F(SchedulingOrderTest, VeryLongQueueIsTruncated) {
  submitMany(1500);
  update();
  EXPECT_EQ(count(), 1024U);
}

// Guards against a long-running step that never gets capacity as a long queue
// of earlier short steps hides it.
TEST_F(SchedulingOrderTest, VeryLongQueueHidesNoLongRunningStep) {
  submitMany(1500);
  SubmitJob Later = makeSubmit(makeJob("lasting", {makeServing(1, "a")}));
  Later.AcceptedMs_ += 10'000;
  apply(Later);
  update();
  ASSERT_EQ(count(), 1025U);
  EXPECT_EQ(Order_.candidates().back().Step_.Job_, "lasting");
}

// Guards against a small long-running task that waits while room for it comes
// up time and again and goes to larger ones that are due earlier; and against
// large tasks that wait for ever behind small ones.
TEST_F(SchedulingOrderTest, PassedOverStepsComeWithTheSmallestFirstForATime) {
  submit(makeJob("large", {makeServing(1, "a", 3000)}));
  SubmitJob Later = makeSubmit(makeJob("small", {makeServing(1, "a", 2000)}));
  Later.AcceptedMs_ += 1000;
  apply(Later);
  const auto GetFirstAfter = [this](Duration Passed) {
    for (const TimePoint End = Now_ + Passed; Now_ < End; Now_ += 500ms) {
      PassedOver_.recordRoom(3000, Now_);
      PassedOver_.update(Registry_, Now_);
    }
    update();
    return Order_.candidates().at(0).Step_.Job_;
  };
  EXPECT_EQ(GetFirstAfter(500ms), "large") << "it is due first";
  EXPECT_EQ(GetFirstAfter(3s), "small");
  EXPECT_EQ(GetFirstAfter(13s), "large") << "it was passed over as long";
}

// Room that comes up less than once a second is no reason to change the order.
TEST_F(SchedulingOrderTest, RareRoomDoesNotChangeTheOrder) {
  submit(makeJob("large", {makeServing(1, "a", 3000)}));
  SubmitJob Later = makeSubmit(makeJob("small", {makeServing(1, "a", 2000)}));
  Later.AcceptedMs_ += 1000;
  apply(Later);
  for (int I = 0; I < 20; ++I) {
    PassedOver_.recordRoom(I % 6 == 0 ? 3000 : 0, Now_);
    PassedOver_.update(Registry_, Now_);
    Now_ += 500ms;
  }
  update();
  EXPECT_EQ(Order_.candidates().at(0).Step_.Job_, "large");
}

// Guards against a small task that waits for seconds beside room again once
// many larger ones have been passed over for long enough to come first, and
// Guards against tasks that were running and were lost, and wait beside room
// that goes to smaller tasks which have never run.
TEST_F(SchedulingOrderTest, LostTasksComeBeforeTasksThatHaveNotBegun) {
  submit(makeJob("lost", {makeServing(1, "a", 3000)}));
  const TaskStart First = makeStart("lost", 0, "s1");
  ASSERT_TRUE(start(First));
  submit(makeJob("new", {makeServing(1, "a", 2000)}));
  end(First, RunOutcome::LeaseExpired);
  for (const TimePoint End = Now_ + 4s; Now_ < End; Now_ += 500ms) {
    PassedOver_.recordRoom(3000, Now_);
    PassedOver_.update(Registry_, Now_);
    Waits_.observe(Registry_, Now_);
  }
  update();
  EXPECT_EQ(Order_.candidates().at(0).Step_.Job_, "lost");
}

// Guards against a new leader that starts nothing for a second, as its order is
// taken for one of the leader before that is still good.
TEST_F(SchedulingOrderTest, TheFirstOrderIsComputedAtOnce) {
  submit(makeJob("a", {makeStep(1, 100)}));
  Order_.setAgeFactor(8);
  update();
  EXPECT_EQ(count(), 1U);
  Order_.reset();
  update();
  EXPECT_EQ(count(), 1U);
}

// Guards against an order that reads the run times of each waiting job at each
// of a hundred updates a second.
TEST_F(SchedulingOrderTest, WaitingJobsAreEstimatedOnceInAWhile) {
  submitMany(300);
  update();
  Order_.takeEstimates();
  for (int I = 0; I < 100; ++I) {
    Now_ += 10ms;
    submit(makeJob("next" + std::to_string(I), {makeStep(1, 100)}));
    update();
  }
  EXPECT_LE(Order_.takeEstimates(), 400U * 10);
  EXPECT_GT(Order_.takeStepsRead(), 400U * 20);
}

// Guards against an order that spends most of its time on work that has become
// useless while it waited.
TEST_F(SchedulingOrderTest, JobsThatAreTooLateAreNotEstimated) {
  submitMany(300);
  update();
  Order_.takeEstimates();
  Now_ += 1h;
  Order_.update(
      {Registry_, Waits_, PassedOver_, Overdue_, Now_, WallTime(3'600'000)});
  EXPECT_EQ(Order_.takeEstimates(), 0U);
}

namespace {

/// An order with shares that are enabled.
class SharesOrderTest : public CapacitySharesTest {
protected:
  std::vector<std::string> listJobs() {
    Waits_.observe(Registry_, Now_);
    Overdue_.update(Registry_, Waits_, LiveServers_, Now_);
    Order_.update(
        {Registry_, Waits_, PassedOver_, Overdue_, Now_, WallTime(Wall_)});
    std::vector<std::string> Jobs;
    for (const Candidate &Entry : Order_.candidates())
      Jobs.push_back(Entry.Step_.Job_);
    return Jobs;
  }
  /// Lets time pass in which servers offer room for all tasks.
  void offerRoom(Duration Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End; advance(100ms)) {
      PassedOver_.recordRoom(1000, Now_);
      PassedOver_.update(Registry_, Now_);
    }
  }
  /// Starts all tasks of a step and loses some of them.
  void runAndLose(const std::string &Job, const StepSpec &Step,
                  std::uint64_t Lost) {
    runLasting(Job, Step, "s1");
    for (std::uint64_t I = 0; I < Lost; ++I)
      end(makeStart(Job, I, "s1"), RunOutcome::LeaseExpired);
  }

  PassedOverTimes PassedOver_;
  SchedulingOrder Order_{RunTimes_, Shares_};
};

} // namespace

// Where not all long-running work fits, few jobs are whole rather than many in
// parts, and what ran before comes before what never began.
TEST_F(SharesOrderTest, LongRunningJobsThatLackLeastComeFirst) {
  submitNow("new", makeLasting(1, 100));
  runAndLose("lacks3", makeLasting(4, 500), 3);
  runAndLose("lacks1", makeLasting(4, 400), 1);
  listJobs();
  advance(3s);
  EXPECT_EQ(listJobs(), (std::vector<std::string>{"lacks1", "lacks3", "new"}));
  for (int I = 0; I < 8; ++I, advance(500ms)) {
    PassedOver_.recordRoom(3000, Now_);
    PassedOver_.update(Registry_, Now_);
  }
  EXPECT_EQ(listJobs(), (std::vector<std::string>{"lacks1", "lacks3", "new"}))
      << "also when passed over";
}

// A bounded step comes before long-running ones once it would be late, unless
// they have been passed over for long.
TEST_F(SharesOrderTest, EndangeredStepsComeBeforeWaitingLongRunningOnes) {
  submitNow("lasting", makeLasting(1, 5000));
  listJobs();
  advance(3s);
  submitNow("bounded", makeStep(1, 5000));
  advance(100ms);
  EXPECT_EQ(listJobs().front(), "lasting");
  advance(600ms);
  EXPECT_EQ(listJobs().front(), "bounded");
  PassedOver_.recordRoom(6000, Now_);
  PassedOver_.update(Registry_, Now_);
  EXPECT_EQ(listJobs().front(), "bounded");
}

// Guards against tasks that ran before and stay down, as bounded work that
// would be late takes the room that they fit into.
TEST_F(SharesOrderTest, OverdueStepsThatArePassedOverComeFirst) {
  runAndLose("lost", makeLasting(2, 900), 1);
  listJobs();
  offerRoom(2s);
  submitNow("bounded", makeStep(1, 5000));
  offerRoom(700ms);
  EXPECT_EQ(listJobs().front(), "bounded") << "the other is not overdue yet";
  offerRoom(400ms);
  EXPECT_EQ(listJobs(), (std::vector<std::string>{"lost", "bounded"}));
}

// Guards against an order that flips with work which makes no room.
TEST_F(SharesOrderTest, FillingWorkDoesNotChangeTheOrderOfOverdueSteps) {
  runAndLose("lacks1", makeLasting(2, 900), 1);
  runAndLose("lacks3", makeLasting(3, 500), 3);
  listJobs();
  offerRoom(4s);
  ASSERT_EQ(listJobs(), (std::vector<std::string>{"lacks1", "lacks3"}));
  submitNow("filling", makeFilling(1, "f"));
  offerRoom(400ms);
  listJobs();
  offerRoom(200ms);
  EXPECT_EQ(listJobs().front(), "lacks1");
  submitNow("bounded", makeStep(1, 5000));
  listJobs();
  offerRoom(200ms);
  EXPECT_EQ(listJobs().front(), "lacks3") << "its tasks are smaller";
}
