//===- ServerHealthTest.cpp - Tests of the detection of faulty servers ----===//

#include "jobs/ServerHealth.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class ServerHealthTest : public ::testing::Test {
protected:
  bool failJob(const char *Job) {
    return Health_.recordFailure("s", Job, Now_);
  }
  bool completeRun(const char *Server = "s", Duration RunTime = 500ms,
                   const char *Job = "j") {
    return completeRun(Server, {RunTime, RunTime}, Job);
  }
  bool completeRun(const char *Server, const RunTimeBounds &RunTime,
                   const char *Job) {
    return Health_.recordCompletion(Server, Job, 0, RunTime, Now_);
  }
  HealthState healthState(const char *Server = "s") const {
    return Health_.getHealthState(Server, Now_);
  }

  ServerHealth Health_;
  TimePoint Now_{1h};
};

} // namespace

TEST_F(ServerHealthTest, FailuresOfSeveralJobsQuarantineAServer) {
  EXPECT_FALSE(failJob("a"));
  EXPECT_FALSE(failJob("b"));
  EXPECT_TRUE(failJob("a"));
  EXPECT_EQ(healthState(), HealthState::Quarantined);
}

TEST_F(ServerHealthTest, FailuresOfOneJobDoNotQuarantineAServer) {
  for (int I = 0; I < 50; ++I)
    EXPECT_FALSE(failJob("poison"));
  EXPECT_EQ(healthState(), HealthState::Healthy);
}

TEST_F(ServerHealthTest, CompletedRunResetsTheFailures) {
  for (int I = 0; I < 20; ++I) {
    EXPECT_FALSE(failJob("a"));
    EXPECT_FALSE(failJob("b"));
    completeRun();
  }
  EXPECT_EQ(healthState(), HealthState::Healthy);
}

TEST_F(ServerHealthTest, ProbationEndsWithACompletedRun) {
  failJob("a");
  failJob("b");
  failJob("c");
  Now_ += 4s;
  EXPECT_EQ(healthState(), HealthState::Probation);
  completeRun();
  EXPECT_EQ(healthState(), HealthState::Healthy);
}

TEST_F(ServerHealthTest, FailureOnProbationDoublesTheQuarantine) {
  failJob("a");
  failJob("b");
  failJob("c");
  Now_ += 4s;
  EXPECT_TRUE(failJob("a"));
  Now_ += 4s;
  EXPECT_EQ(healthState(), HealthState::Quarantined);
  Now_ += 4s;
  EXPECT_EQ(healthState(), HealthState::Probation);
}

TEST_F(ServerHealthTest, SlowServerIsToldFromLongJobs) {
  const char *const Jobs[] = {"a", "b", "c"};
  for (const char *Job : Jobs)
    for (int I = 0; I < 3; ++I)
      completeRun("other", 2000ms, Job);
  for (const char *Job : Jobs)
    EXPECT_FALSE(completeRun("sound", 2900ms, Job));
  EXPECT_EQ(healthState("sound"), HealthState::Healthy);
  bool IsFound = false;
  for (const char *Job : Jobs)
    IsFound = completeRun("s", 9000ms, Job) || IsFound;
  EXPECT_TRUE(IsFound);
  EXPECT_EQ(healthState(), HealthState::Quarantined);
  EXPECT_EQ(healthState("other"), HealthState::Healthy);
}

TEST_F(ServerHealthTest, OneSlowJobDoesNotQuarantineAServer) {
  for (int I = 0; I < 4; ++I)
    completeRun("other", 500ms, "odd");
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(completeRun("s", 9000ms, "odd"));
  EXPECT_EQ(healthState(), HealthState::Healthy);
}

TEST_F(ServerHealthTest, RunsAreNotComparedWithoutOtherServers) {
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(completeRun("s", 9000ms, I % 2 == 0 ? "a" : "b"));
}

// Guards against sound servers that are set aside because their runs are seen
// for longer than others': only the shortest possible time counts against the
// longest possible times elsewhere.
TEST_F(ServerHealthTest, UncertainRunTimesQuarantineNoServer) {
  for (const char *Job : {"a", "b", "c"})
    for (int I = 0; I < 3; ++I)
      completeRun("other", {100ms, 1100ms}, Job);
  for (int I = 0; I < 4; ++I)
    for (const char *Job : {"a", "b", "c"})
      EXPECT_FALSE(completeRun("s", {600ms, 4s}, Job));
  EXPECT_EQ(healthState(), HealthState::Healthy);
  EXPECT_EQ(healthState("other"), HealthState::Healthy);
}

// Runs that tell nothing certain between slow ones do not clear a slow server.
TEST_F(ServerHealthTest, UncertainRunTimesDoNotClearASlowServer) {
  const char *const Jobs[] = {"a", "b", "c"};
  for (const char *Job : Jobs)
    for (int I = 0; I < 3; ++I)
      completeRun("other", {300ms, 600ms}, Job);
  bool IsFound = false;
  for (const char *Job : Jobs) {
    IsFound = completeRun("s", {2s, 3s}, Job) || IsFound;
    EXPECT_FALSE(completeRun("s", {100ms, 3s}, Job));
    EXPECT_FALSE(completeRun("s", {0ms, 0ms}, Job));
  }
  EXPECT_TRUE(IsFound);
}

// A run whose longest possible time is usual shows that the server is sound.
TEST_F(ServerHealthTest, RunThatWasCertainlyNotSlowClearsAServer) {
  const char *const Jobs[] = {"a", "b", "c"};
  for (const char *Job : Jobs)
    for (int I = 0; I < 3; ++I)
      completeRun("other", {300ms, 600ms}, Job);
  for (int I = 0; I < 4; ++I)
    for (const char *Job : Jobs) {
      EXPECT_FALSE(completeRun("s", {2s, 3s}, Job));
      EXPECT_FALSE(completeRun("s", {0ms, 700ms}, Job));
    }
  EXPECT_EQ(healthState(), HealthState::Healthy);
}

// A slow server completes few runs, as copies of them are completed elsewhere,
// so as many runs as jobs are enough.
TEST_F(ServerHealthTest, CertainlySlowRunsOfTwoJobsAreEnough) {
  for (const char *Job : {"a", "b", "c"})
    for (int I = 0; I < 3; ++I)
      completeRun("other", {300ms, 600ms}, Job);
  // Earlier runs do not outweigh them.
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(completeRun("s", {10ms, 300ms}, "c"));
  EXPECT_FALSE(completeRun("s", {1500ms, 2500ms}, "a"));
  EXPECT_TRUE(completeRun("s", {1500ms, 2500ms}, "b"));
}
