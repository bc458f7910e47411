//===- DispatcherHealthTest.cpp - Starts on servers that may be faulty ---===//

#include "jobs/DispatcherFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST_F(DispatcherTest, QuarantinedServerGetsNothingAndThenOneTask) {
  submit(makeJob("j", {makeStep(4, 1000)}));
  for (const char *Job : {"a", "b", "c"})
    Health_.recordFailure("s1", Job, Now_);
  EXPECT_TRUE(plan("s1").empty());
  advance(4s);
  EXPECT_EQ(plan("s1").size(), 1U);
  EXPECT_TRUE(plan("s1").empty()) << "until that task is done";
}

// Guards against long-running tasks that wait while the only room is on servers
// that seem slow. Late reports make runs look long.
TEST_F(DispatcherTest, SlowServerTakesOnlyOverdueLongRunningTasks) {
  for (const char *Job : {"a", "b", "c"}) {
    for (int I = 0; I < 3; ++I)
      Health_.recordCompletion("s2", Job, 0, {500ms, 500ms}, Now_);
    Health_.recordCompletion("s1", Job, 0, {5s, 5s}, Now_);
  }
  ASSERT_EQ(Health_.getHealthState("s1", Now_), HealthState::Quarantined);
  submit(makeJob("short", {makeStep(1, 1000)}));
  submit(makeJob("lasting", {makeServing(1, "a")}));
  EXPECT_TRUE(plan("s1").empty());
  advance(ReadyTimes::MaxLongRunningWait);
  const auto Starts = plan("s1");
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Task_.Job_, "lasting");
}

// The same while other work is left on a server on probation, which may take
// any time.
TEST_F(DispatcherTest, ServerOnProbationTakesOverdueLongRunningTasks) {
  submit(makeJob("left", {makeStep(1, 1000)}));
  ASSERT_EQ(plan("s1").size(), 1U);
  quarantine("s1");
  advance(1s);
  ASSERT_EQ(Health_.getHealthState("s1", Now_), HealthState::Quarantined);
  advance(3s);
  ASSERT_EQ(Health_.getHealthState("s1", Now_), HealthState::Probation);
  submit(makeJob("short", {makeStep(1, 1000)}));
  submit(makeJob("lasting", {makeServing(1, "a")}));
  EXPECT_TRUE(plan("s1").empty());
  advance(ReadyTimes::MaxLongRunningWait);
  const auto Starts = plan("s1");
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Task_.Job_, "lasting");
}

// Guards against long-running tasks that wait for a whole quarantine beside a
// sound server: failures of other jobs quarantine it, and the tasks have
// nowhere else to go.
TEST_F(DispatcherTest, FailingServerTakesAnOverdueLongRunningTaskPerReport) {
  quarantine("s1");
  ASSERT_EQ(Health_.getHealthState("s1", Now_), HealthState::Quarantined);
  submit(makeJob("short", {makeStep(1, 1000)}));
  submit(makeJob("lasting", {makeServing(3, "a")}));
  EXPECT_TRUE(plan("s1").empty());
  advance(ReadyTimes::MaxLongRunningWait);
  ASSERT_EQ(Health_.getHealthState("s1", Now_), HealthState::Quarantined);
  const auto Starts = plan("s1");
  ASSERT_EQ(Starts.size(), 1U);
  EXPECT_EQ(Starts[0].Task_.Job_, "lasting");
}

// A task that fails on a faulty server makes way for others, and does not
// return there at once.
TEST_F(DispatcherTest, TaskThatFailedOnAFailingServerMakesWay) {
  quarantine("s1");
  submit(makeJob("lasting", {makeServing(2, "a")}));
  EXPECT_TRUE(plan("s1").empty());
  advance(ReadyTimes::MaxLongRunningWait);
  const auto First = plan("s1");
  ASSERT_EQ(First.size(), 1U);
  end(First[0], RunOutcome::Failed);
  Dispatcher_.recordFailure(First[0].Task_, "s1", Now_);
  const auto Second = plan("s1");
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_NE(Second[0].Task_, First[0].Task_);
}

// Guards against tasks of lost servers, down for a lease already, that wait two
// seconds more beside a quarantined server.
TEST_F(DispatcherTest, TaskOfALostServerWaitsASecondForAHealthyServer) {
  submit(makeJob("lasting", {makeServing(1, "a")}));
  const auto Lost = plan("s1");
  ASSERT_EQ(Lost.size(), 1U);
  Dispatcher_.prune(Registry_);
  apply(RemoveServer{"s1", {}, false, {}});
  Dispatcher_.recordLoss(Registry_, {{Lost[0].Task_, Lost[0].Run_}});
  quarantine("s2");
  EXPECT_TRUE(plan("s2").empty());
  advance(1s);
  EXPECT_EQ(plan("s2").size(), 1U);
}

// Guards against a long-running task that waits for seconds beside room on a
// server that runs a suspected task.
TEST_F(DispatcherTest, OverdueTaskStartsBesideASuspectWithinThreeSeconds) {
  submit(makeJob("suspect", {makeServing(1, "a")}));
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    const std::string Id = "lost" + std::to_string(Run);
    apply(AddServer{makeServer(Id)});
    ASSERT_TRUE(start(makeStart("suspect", 0, Id, Run)));
    const TaskKey Key{"suspect", 0, 0, 0};
    apply(RemoveServer{Id, {}, true, {true, true, false, true, {{Key, 8000}}}});
  }
  ASSERT_EQ(Registry_.crashSuspects().size(), 1U);
  apply(RemoveServer{"s2", {}, false, {}});
  std::vector<RunningTask> Running;
  ServerReport Report;
  Report.Facts_ = makeServer("s1");
  const auto Round = [&] {
    ++Report.Sequence_;
    Report.Running_ = Running;
    LiveServers_.recordReport(Report, Now_, 10s);
    auto Starts = plan("s1");
    for (const TaskStart &Start : Starts)
      Running.push_back({Start.Task_, Start.Run_, "", 100, 0});
    advance(500ms);
    return Starts;
  };
  for (int I = 0; I < 40 && Running.empty(); ++I)
    Round();
  ASSERT_EQ(Running.size(), 1U);
  submit(makeJob("lasting", {makeServing(1, "a", 3000)}));
  Duration Waited{};
  for (; Waited < 30s && Round().empty(); Waited += 500ms) {
  }
  EXPECT_LE(Waited, ReadyTimes::MaxLongRunningWait + 3s);
}
