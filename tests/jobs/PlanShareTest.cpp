//===- PlanShareTest.cpp - Plans of a leader that is behind ---------------===//
//
// What happened: a leader slowed by three still answered 900 reports a second
// after 12 s, 500 after 20, as plans had grown from 0.2 to 0.6 ms with the
// queue (probe, journal of the day starved-leader).
//
//===----------------------------------------------------------------------===//

#include "jobs/PlanShare.h"

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

TEST(PlanShareTest, PlansTakeAThirdOfTheTimeAtMost) {
  PlanShare Share;
  TimePoint Now{1h};
  Duration Spent{};
  const TimePoint End = Now + 1s;
  while (Now < End) {
    if (!Share.mayPlan(Now)) {
      Now += 100us; // Another report is answered.
      continue;
    }
    Share.note(Now, Now + 700us);
    Now += 700us;
    Spent += 700us;
  }
  EXPECT_LE(Spent, 350ms);
  EXPECT_GE(Spent, 300ms) << "nor much less, while reports come";
}

TEST_F(JobLeaderTest, ALeaderThatKeepsUpPlansForEveryReport) {
  call(CallKind::Submit, "j", {makeStep(8, 4000)});
  for (int I = 0; I < 8; ++I)
    EXPECT_EQ(report(makeReport("s" + std::to_string(I))).Starts_.size(), 1U);
}
