//===- WorkTimerTest.cpp - The leader's time by kind of work --------------===//

#include "jobs/WorkTimer.h"

#include "jobs/JobFixture.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

namespace {

class WorkTimerTest : public testing::Test {
protected:
  static Duration get(const WorkTimer::Times &Times, LeaderWork Work) {
    return Times.at(static_cast<std::size_t>(Work));
  }

  ManualClock Time_;
  WorkTimer Timer_{Time_};
};

} // namespace

// Guards against time that is counted twice.
TEST_F(WorkTimerTest, AnInnerScopeInterruptsTheOuterOne) {
  {
    const WorkTimer::Scope Reports(Timer_, LeaderWork::Reports);
    Time_.advance(2ms);
    {
      const WorkTimer::Scope Plans(Timer_, LeaderWork::Plans);
      Time_.advance(5ms);
    }
    Time_.advance(1ms);
  }
  Time_.advance(40ms);
  const WorkTimer::Times Times = Timer_.take();
  EXPECT_EQ(get(Times, LeaderWork::Reports), 3ms);
  EXPECT_EQ(get(Times, LeaderWork::Plans), 5ms);
  EXPECT_EQ(get(Times, LeaderWork::Idle), 0ms);
  EXPECT_EQ(get(Timer_.take(), LeaderWork::Plans), 0ms);
}

TEST_F(WorkTimerTest, TimesAreTakenInsideAScope) {
  const WorkTimer::Scope Surveys(Timer_, LeaderWork::Surveys);
  Time_.advance(3ms);
  EXPECT_EQ(get(Timer_.take(), LeaderWork::Surveys), 3ms);
  Time_.advance(4ms);
  EXPECT_EQ(get(Timer_.take(), LeaderWork::Surveys), 4ms);
}

TEST_F(WorkTimerTest, TheTextListsTheLargestSharesFirst) {
  WorkTimer::Times Times{};
  Times.at(static_cast<std::size_t>(LeaderWork::Reports)) = 90ms;
  Times.at(static_cast<std::size_t>(LeaderWork::Plans)) = 215ms;
  Times.at(static_cast<std::size_t>(LeaderWork::Leases)) = 9ms;
  EXPECT_EQ(toText(Times, 1s), "plans 21%, reports 9%");
}
