//===- EndedJobsTest.cpp - When jobs ended --------------------------------===//

#include "jobs/EndedJobs.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

// Guards against jobs that are forgotten early, late or twice.
TEST(EndedJobsTest, JobsAreTakenOnceInTheOrderOfTheirEnds) {
  const TimePoint Start{1h};
  EndedJobs Jobs;
  EXPECT_TRUE(Jobs.record("b", Start));
  EXPECT_FALSE(Jobs.record("b", Start + 1s));
  EXPECT_TRUE(Jobs.record("a", Start + 1s));
  EXPECT_TRUE(Jobs.takeBefore(Start).empty());
  EXPECT_EQ(Jobs.takeBefore(Start + 1s), std::vector<std::string>{"b"});
  EXPECT_TRUE(Jobs.record("b", Start + 2s)) << "it was submitted again";
  EXPECT_EQ(Jobs.takeBefore(Start + 3s), (std::vector<std::string>{"a", "b"}));
}
