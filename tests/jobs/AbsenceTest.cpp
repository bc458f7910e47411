//===- AbsenceTest.cpp - Tests of logged absences of tasks ----------------===//
//
// Guards against a long-running task that is down for too long without a line
// that says so, or with a line that blames the wrong part.
//
//===----------------------------------------------------------------------===//

#include "jobs/AbsenceTracker.h"
#include "jobs/LeaderFixture.h"

#include <gmock/gmock.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class AbsenceTest : public JobLeaderTest {
protected:
  /// Starts the only task of a long-running job on s1, which reports it once.
  StartOrder startLasting() {
    call(CallKind::Submit, "j", {makeServing(1, "web")});
    const ServerOrders Orders = report(makeReport("s1"));
    EXPECT_EQ(Orders.Starts_.size(), 1U);
    ServerReport Report = makeReport("s1");
    Report.Running_ = {makeRunning(Orders.Starts_.at(0))};
    report(Report);
    return Orders.Starts_.at(0);
  }
  /// Reports a server each 100 ms, which gets no tasks as it is draining.
  void wait(Duration Time) {
    const TimePoint End = Time_.now() + Time;
    while (Time_.now() < End) {
      ServerReport Report = makeReport("s3");
      Report.IsDraining_ = true;
      report(Report);
      Strand_.advance(100ms);
    }
  }
  /// Reports s2 until it has got the task.
  void placeOnS2() {
    for (int I = 0; I < 30; ++I) {
      if (!report(makeReport("s2")).Starts_.empty())
        return;
      Strand_.advance(100ms);
    }
    FAIL() << "the task is not placed";
  }
  Event getLast() const { return Log_.last(EventKind::TaskAbsent); }
  Duration getMetered(JobTimer Timer) {
    EXPECT_EQ(Meter_.Recorded_[Timer].size(), 1U);
    return Meter_.Recorded_[Timer].empty() ? Duration(0)
                                           : Meter_.Recorded_[Timer][0];
  }
};

} // namespace

TEST_F(AbsenceTest, PlacementAfterALostServerTellsLeaseRemovalAndWait) {
  startLasting();
  const TimePoint LastSeen = Time_.now();
  // A relay hears the server beyond its lease, which delays the removal.
  Relays_.AnswersAutomatically_ = false;
  while (Log_.count(EventKind::ServerGone) == 0) {
    Strand_.advance(50ms);
    Relays_.answer(Time_.now() - LastSeen < 6s ? ReportRelays::Heard{"s1"}
                                               : ReportRelays::Heard{});
    Strand_.runAll();
  }
  const Duration Removed = Time_.now() - LastSeen;
  EXPECT_GE(Removed, 6s);
  wait(2s);
  EXPECT_EQ(Log_.count(EventKind::TaskAbsent), 1U) << "still waiting";
  EXPECT_EQ(getLast().Outcome_, "waiting");
  placeOnS2();
  const Duration Total = Time_.now() - LastSeen;
  EXPECT_EQ(Log_.count(EventKind::TaskAbsent), 2U);
  const Event Line = getLast();
  EXPECT_EQ(Line.Outcome_, "placed on s2");
  EXPECT_EQ(Line.Server_, "s1");
  EXPECT_EQ(Line.Attempt_, 1U);
  EXPECT_EQ(Line.AgeMs_, Total / 1ms);
  // The lease of a server with a slow clock, in force from the last report on.
  const Duration Lease =
      Settings_.Lease_ * (100 + Settings_.ClockDriftPercent_) / 100;
  EXPECT_EQ(Line.Reason_,
            "lease " + std::to_string(Lease / 1ms) + " ms, removal " +
                std::to_string((Removed - Lease) / 1ms) + " ms, waiting " +
                std::to_string((Total - Removed) / 1ms) + " ms");
  EXPECT_EQ(getMetered(JobTimer::Absence), Total);
  EXPECT_EQ(getMetered(JobTimer::AbsenceLease), Lease);
  EXPECT_EQ(getMetered(JobTimer::AbsenceRemoval), Removed - Lease);
  EXPECT_EQ(getMetered(JobTimer::AbsenceWait), Total - Removed);
}

TEST_F(AbsenceTest, ShortAbsenceAfterAStopGivesNoReason) {
  const StartOrder Run = startLasting();
  ServerReport Draining = makeReport("s1");
  Draining.IsDraining_ = true;
  Draining.Running_ = {makeRunning(Run)};
  EXPECT_EQ(report(Draining).Stops_.size(), 1U);
  Strand_.advance(500ms);
  Draining = makeReport("s1");
  Draining.IsDraining_ = true;
  Draining.Ended_ = {makeEnded(1, Run, RunOutcome::Stopped)};
  report(Draining);
  const TimePoint Ended = Time_.now();
  placeOnS2();
  EXPECT_EQ(Log_.count(EventKind::TaskAbsent), 1U);
  EXPECT_EQ(getLast().AgeMs_, (Time_.now() - Ended) / 1ms);
  EXPECT_TRUE(getLast().Reason_.empty());
  EXPECT_EQ(getMetered(JobTimer::AbsenceLease), 0ms);
}

// A new leader has not heard the server, so it must not claim to know when.
TEST_F(AbsenceTest, ChangeOfLeaderIsNamedWhereItHidesAnEarlierPart) {
  startLasting();
  Strand_.advance(4s);
  Group_.IsLeader_ = false;
  Strand_.advance(100ms);
  Group_.IsLeader_ = true;
  ++Group_.Term_;
  Strand_.advance(7s);
  placeOnS2();
  EXPECT_THAT(getLast().Reason_,
              ::testing::HasSubstr("not heard since the change of leader"));
}

TEST_F(AbsenceTest, WaitThatBeganUnderAnEarlierLeaderIsLogged) {
  startLasting();
  Strand_.advance(7s);
  beginNextTerm();
  wait(7s);
  EXPECT_EQ(getLast().Outcome_, "waiting");
  EXPECT_THAT(getLast().Reason_,
              ::testing::HasSubstr("not heard since the change of leader"));
}

TEST_F(AbsenceTest, OtherTasksAreNotLogged) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  report(makeReport("s1"));
  Strand_.advance(7s);
  placeOnS2();
  EXPECT_EQ(Log_.count(EventKind::TaskAbsent), 0U);
  EXPECT_EQ(Meter_.Recorded_.count(JobTimer::Absence), 0U);
}

namespace {
class AbsenceTrackerTest : public JobRegistryTest {};
} // namespace

// An overloaded leader handles the result of a placement after the state shows
// it. The longest absences are those of such times.
TEST_F(AbsenceTrackerTest, PlacementWithALateResultEndsTheAbsence) {
  submit(makeJob("j", {makeServing(1, "web")}));
  const TaskStart First = makeStart("j", 0, "s1");
  ASSERT_TRUE(start(First));
  end(First, RunOutcome::Stopped);
  AbsenceTracker Tracker;
  const TimePoint Begin = TimePoint() + 1s;
  Absence Value;
  Value.Run_ = 1;
  Value.LastSeen_ = Value.LeaseEnd_ = Value.WaitsSince_ = Begin;
  Tracker.begin(Registry_, First.Task_, Value);
  ASSERT_TRUE(start(makeStart("j", 0, "s2", 2)));
  EXPECT_TRUE(Tracker.collectLong(Registry_, Begin + 7s).empty());
  EXPECT_TRUE(Tracker.end(First.Task_));
  // Without a result the entry is dropped.
  Tracker.begin(Registry_, First.Task_, Value);
  Tracker.collectLong(Registry_, Begin + 7s);
  Tracker.collectLong(Registry_, Begin + 8s);
  EXPECT_FALSE(Tracker.end(First.Task_));
}
