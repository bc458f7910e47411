//===- ServerHealthTest.cpp
//-------------------------------------------------===//

#include "jobs/ServerHealth.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class ServerHealthTest : public ::testing::Test {
protected:
  bool failJob(const char *Job) { return Health_.noteFailed("s", Job, Now_); }
  bool done(const char *Server = "s", Duration Took = 500ms,
            const char *Job = "j") {
    return Health_.noteDone(Server, Job, 0, Took, Now_);
  }
  Fitness fitness(const char *Server = "s") const {
    return Health_.getFitness(Server, Now_);
  }

  ServerHealth Health_;
  TimePoint Now_{1h};
};

} // namespace

TEST_F(ServerHealthTest, FailuresOfSeveralJobsPutAServerAside) {
  EXPECT_FALSE(failJob("a"));
  EXPECT_FALSE(failJob("b"));
  EXPECT_TRUE(failJob("a"));
  EXPECT_EQ(fitness(), Fitness::Quarantined);
}

TEST_F(ServerHealthTest, OnePoisonousJobDoesNot) {
  for (int I = 0; I < 50; ++I)
    EXPECT_FALSE(failJob("poison"));
  EXPECT_EQ(fitness(), Fitness::Sound);
}

TEST_F(ServerHealthTest, ARunThatIsDoneSpeaksForTheServer) {
  for (int I = 0; I < 20; ++I) {
    EXPECT_FALSE(failJob("a"));
    EXPECT_FALSE(failJob("b"));
    done();
  }
  EXPECT_EQ(fitness(), Fitness::Sound);
}

TEST_F(ServerHealthTest, ProbationEndsWithARunThatIsDone) {
  failJob("a");
  failJob("b");
  failJob("c");
  Now_ += 4s;
  EXPECT_EQ(fitness(), Fitness::Probation);
  done();
  EXPECT_EQ(fitness(), Fitness::Sound);
}

TEST_F(ServerHealthTest, OneFailureOnProbationIsEnoughAndCostsMore) {
  failJob("a");
  failJob("b");
  failJob("c");
  Now_ += 4s;
  EXPECT_TRUE(failJob("a"));
  Now_ += 4s;
  EXPECT_EQ(fitness(), Fitness::Quarantined);
  Now_ += 4s;
  EXPECT_EQ(fitness(), Fitness::Probation);
}

TEST_F(ServerHealthTest, ASlowServerIsToldFromLongJobs) {
  const char *const Jobs[] = {"a", "b", "c"};
  for (const char *Job : Jobs)
    for (int I = 0; I < 3; ++I)
      done("other", 2000ms, Job);
  for (const char *Job : Jobs)
    EXPECT_FALSE(done("sound", 2900ms, Job));
  EXPECT_EQ(fitness("sound"), Fitness::Sound);
  bool IsFound = false;
  for (const char *Job : Jobs)
    IsFound = done("s", 9000ms, Job) || IsFound;
  EXPECT_TRUE(IsFound);
  EXPECT_EQ(fitness(), Fitness::Quarantined);
  EXPECT_EQ(fitness("other"), Fitness::Sound);
}

TEST_F(ServerHealthTest, OneOddJobMakesNoServerSlow) {
  for (int I = 0; I < 4; ++I)
    done("other", 500ms, "odd");
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(done("s", 9000ms, "odd"));
  EXPECT_EQ(fitness(), Fitness::Sound);
}

TEST_F(ServerHealthTest, WithoutRunsElsewhereNothingIsSaid) {
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(done("s", 9000ms, I % 2 == 0 ? "a" : "b"));
}
