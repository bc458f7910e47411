//===- ServerHealthTest.cpp -------------------------------------------------===//

#include "jobs/ServerHealth.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class ServerHealthTest : public ::testing::Test {
protected:
  bool failJob(const char *Job) { return Health_.noteFailed("s", Job, Now_); }
  void done(const char *Server = "s", Duration Took = 500ms) {
    Health_.noteDone(Server, Took, 500, Now_);
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

TEST_F(ServerHealthTest, ASlowServerIsToldFromWrongEstimates) {
  // All estimates are off by the same factor.
  for (int I = 0; I < 100; ++I)
    done("other", 2000ms);
  for (int I = 0; I < 10; ++I)
    done("s", 2500ms);
  EXPECT_EQ(fitness(), Fitness::Sound);
  for (int I = 0; I < 10; ++I)
    done("s", 12'000ms);
  EXPECT_EQ(fitness(), Fitness::Quarantined);
  EXPECT_EQ(fitness("other"), Fitness::Sound);
}
