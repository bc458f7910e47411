//===- DispatcherReservationsTest.cpp - Capacity kept for long-running tasks
//---===//

#include "jobs/DispatcherFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(DispatcherTest, LongRunningTaskIsNotStarvedByShortTasks) {
  // Both servers are full of short tasks of one processor; a long-running task
  // needs three of the four processors.
  StepSpec LongRunning = makeServing(1, "a");
  LongRunning.Need_.MilliCpus_ = 3000;
  const auto SubmitShort = [this](const std::string &Id) {
    submitNow(makeJob(Id, {makeStep(8, 1000)}));
  };
  SubmitShort("short");
  RunningTasks Running;
  for (const char *Server : {"s1", "s2"})
    Running[Server] = plan(Server);
  submit(makeJob("lasting", {LongRunning}));
  EXPECT_TRUE(startsBesideMoreWork("lasting", Running, 40, SubmitShort));
}

// Guards against room that is reserved on a server with nothing but
// long-running work, where it never becomes free, while short work keeps the
// room elsewhere.
TEST_F(DispatcherTest, RoomIsReservedWhereItCanBecomeFree) {
  submit(makeJob("resident", {makeServing(1, "a", 2000)}));
  ASSERT_EQ(plan("s1").size(), 1U);
  const auto SubmitShort = [this](const std::string &Id) {
    submitNow(makeJob(Id, {makeStep(3, 1000)}));
  };
  SubmitShort("short");
  const std::vector<TaskStart> Running = plan("s2");
  ASSERT_EQ(Running.size(), 3U);
  submit(makeJob("lasting", {makeServing(1, "a", 3000)}));
  EXPECT_TRUE(
      startsBesideMoreWork("lasting", {{"s2", Running}}, 40, SubmitShort));
}

// The same for a server that the step's spread limit or label excludes.
TEST_F(DispatcherTest, RoomIsReservedOnlyWhereTheStepMayRun) {
  StepSpec Alone = makeServing(2, "a", 3000);
  Alone.SpreadLimit_ = 1;
  submit(makeJob("lasting", {Alone}));
  ASSERT_EQ(plan("s1").size(), 1U);
  apply(AddServer{makeServer("s1", 8000)});
  submit(makeJob("short", {makeStep(2, 1000)}));
  ASSERT_EQ(plan("s2").size(), 2U);
  advance(ReadyTimes::MaxLongRunningWait);
  plan("s1");
  const auto &Reserved = Dispatcher_.capacitySurvey().reservations();
  ASSERT_EQ(Reserved.size(), 1U);
  EXPECT_EQ(Reserved.begin()->first, "s2");
}

// Guards against a long-running task that waits while room for it comes up time
// and again, and goes to tasks that were lost later but are due earlier.
TEST_F(DispatcherTest, StepThatIsPassedOverTakesTheNextRoom) {
  apply(AddServer{makeServer("s3", 200'000)});
  LiveServers_.reset(Registry_, Now_, 60s);
  for (int I = 0; I < 40; ++I)
    submit(makeJob("older" + std::to_string(I), {makeServing(1, "a", 3000)}));
  std::vector<TaskStart> Older = plan("s3");
  ASSERT_EQ(Older.size(), 40U);
  SubmitJob Waiting = makeSubmit(makeJob("small", {makeServing(1, "a", 2000)}));
  Waiting.AcceptedMs_ += 1000;
  apply(Waiting);
  advance(ReadyTimes::MaxLongRunningWait);
  bool HasStarted = false;
  Duration Waited{};
  // In each round an older task is lost, and there is room for one of the two.
  for (; Waited < 4s && !HasStarted; Waited += 100ms) {
    advance(100ms);
    end(Older.back(), RunOutcome::LeaseExpired);
    Dispatcher_.recordLoss(Registry_, {{Older.back().Task_, 1}});
    Older.pop_back();
    const auto Starts = plan("s1");
    ASSERT_EQ(Starts.size(), 1U);
    HasStarted = Starts[0].Task_.Job_ == "small";
    apply(CancelJob{Starts[0].Task_.Job_});
    end(Starts[0], RunOutcome::Stopped);
  }
  EXPECT_TRUE(HasStarted);
  EXPECT_LE(Waited, 3s) << "room for it was there all the time";
}

// Guards against filling tasks that take, piece by piece, the memory that is
// reserved for a long-running task.
TEST_F(DispatcherTest, ReservedMemoryIsKeptFromFillingTasks) {
  const auto MakeHeavy = [](std::uint64_t Count) {
    StepSpec Step = makeFilling(Count, "f");
    Step.Need_.MemoryMib_ = 3000;
    return Step;
  };
  apply(RemoveServer{"s2", {}, false, {}});
  submit(makeJob("first", {MakeHeavy(3)}));
  const std::vector<TaskStart> Running = plan("s1");
  ASSERT_EQ(Running.size(), 3U);
  StepSpec Large = makeServing(1, "a");
  Large.Need_.MemoryMib_ = 6000;
  submit(makeJob("lasting", {Large}));
  EXPECT_TRUE(startsBesideMoreWork(
      "lasting", {{"s1", Running}}, 60,
      [&](const std::string &Id) { submit(makeJob(Id, {MakeHeavy(1)})); }));
}

// Idle processors of a reserved server are still filled.
TEST_F(DispatcherTest, FillingTasksUseIdleProcessorsOfAReservedServer) {
  apply(RemoveServer{"s2", {}, false, {}});
  submit(makeJob("short", {makeStep(3, 1000)}));
  ASSERT_EQ(plan("s1").size(), 3U);
  submit(makeJob("lasting", {makeServing(1, "a", 2000)}));
  plan("s1");
  advance(ReadyTimes::MaxLongRunningWait);
  plan("s1");
  ASSERT_EQ(Dispatcher_.capacitySurvey().reservations().size(), 1U);
  submit(makeJob("filling", {makeFilling(1, "f")}));
  EXPECT_EQ(plan("s1").size(), 1U);
}

// Guards against room that is reserved on a server that has crashed and whose
// lease still runs, so that bounded work keeps the room elsewhere.
TEST_F(DispatcherTest, NoRoomIsReservedOnASilentServer) {
  Silent_.insert("s1");
  submitNow(makeJob("short", {makeStep(3, 1000)}));
  ASSERT_EQ(plan("s2").size(), 3U);
  submit(makeJob("lasting", {makeServing(1, "a", 3000)}));
  Dispatcher_.observe(Registry_, Now_);
  advance(ReadyTimes::MaxLongRunningWait + 100ms);
  plan("s2");
  const auto &Reserved = Dispatcher_.capacitySurvey().reservations();
  ASSERT_EQ(Reserved.size(), 1U);
  EXPECT_EQ(Reserved.begin()->first, "s2");
}

// Guards against a serving task that waits for a server with its image which
// has crashed.
TEST_F(DispatcherTest, NoTaskWaitsForCapacityOfASilentServer) {
  submit(makeJob("first", {makeServing(1, "a")}));
  ASSERT_EQ(plan("s1").size(), 1U);
  Silent_.insert("s1");
  advance(3s);
  submitNow(makeJob("second", {makeServing(1, "a")}));
  EXPECT_EQ(plan("s2").size(), 1U);
}

// Guards against a gang that waits for a lease, as a part of it was placed on a
// server that has crashed.
TEST_F(DispatcherTest, NoGangStartsOnASilentServer) {
  for (const char *Id : {"s1", "s2"})
    LiveServers_.find(Id)->LastSequence_ = 1;
  Silent_.insert("s2");
  advance(3s);
  StepSpec Gang = makeStep(2, 3000);
  Gang.Gang_ = true;
  submitNow(makeJob("gang", {Gang}));
  Dispatcher_.survey(Registry_, LiveServers_, Now_);
  EXPECT_TRUE(Dispatcher_.planGang(Registry_, LiveServers_, Now_).empty());
}

// Guards against a lost task that stays down while tasks of its step that never
// ran take the room.
TEST_F(DispatcherTest, LostTaskComesBeforeNewOnesOfItsStep) {
  submit(makeJob("l", {makeServing(3, "a", 3000)}));
  ASSERT_TRUE(start(makeStart("l", 2, "s1")));
  end(makeStart("l", 2, "s1"), RunOutcome::LeaseExpired);
  Dispatcher_.observe(Registry_, Now_);
  advance(4s);
  const auto Starts = plan("s1");
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Task_.Index_, 2U);
}
