//===- HeardServersTest.cpp - Tests of remembered reports -----------------===//

#include "jobservice/HeardServers.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

TEST(HeardServersTest, ListsTheAgeOfTheLastReport) {
  ManualClock Time;
  HeardServers Heard(Time);
  Heard.record("a");
  Time.advance(2s);
  Heard.record("a");
  Time.advance(1500us);
  const LeaseQueryReply Reply = Heard.makeReply();
  EXPECT_EQ(Reply.Heard_, (std::vector<HeardServer>{{"a", 1}}));
  EXPECT_EQ(Reply.MemoryMs_, 2001U);
}

// A lease lasts for ten seconds at most.
TEST(HeardServersTest, ForgetsServersOnlyWhenTheirLeasesAreOver) {
  ManualClock Time;
  HeardServers Heard(Time);
  Heard.record("a");
  Time.advance(15s);
  Heard.record("b");
  EXPECT_EQ(Heard.makeReply().Heard_.size(), 2U);
  Time.advance(15s);
  Heard.record("c");
  EXPECT_EQ(Heard.times().count("a"), 0U);
  EXPECT_EQ(Heard.times().count("b"), 1U);
}
