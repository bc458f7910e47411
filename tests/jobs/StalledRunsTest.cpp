//===- StalledRunsTest.cpp - Runs that are long or stand still -----------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// A fleet of servers that report each quarter of a second. The tasks of a job
/// all take the same time.
class StalledRunsTest : public JobLeaderTest {
protected:
  struct Run {
    StartOrder Start_;
    TimePoint Begin_;
  };
  static constexpr Duration ReportInterval = 250ms;

  /// Submits a job of so many tasks of 500 ms by their declaration.
  void submit(const std::string &Job, std::uint64_t Tasks, Duration RunTime) {
    call(CallKind::Submit, Job, {makeStep(Tasks, 500)});
    RunTimes_[Job] = RunTime;
  }
  /// Returns the percentage of the run: whole numbers, as servers report it.
  std::uint64_t getPercent(const Run &Value) const {
    const TimePoint Now =
        HangAt_ ? std::min(Time_.now(), *HangAt_) : Time_.now();
    const Duration RunTime = RunTimes_.at(Value.Start_.Task_.Job_);
    return static_cast<std::uint64_t>((Now - Value.Begin_) * 100 / RunTime);
  }
  void reportAs(const std::string &Server) {
    ServerReport Report = makeReport(Server);
    std::vector<Run> Left;
    for (const Run &Value : Runs_[Server]) {
      const bool IsStopped = StopsHere_[Server].count(Value.Start_.Task_) > 0;
      const std::uint64_t Percent = getPercent(Value);
      if (IsStopped || Percent >= 100) {
        Ends_[Server].push_back(
            makeEnded(++Numbers_[Server], Value.Start_,
                      IsStopped ? RunOutcome::Stopped : RunOutcome::Done));
        Completed_ += IsStopped ? 0 : 1;
        continue;
      }
      Left.push_back(Value);
      Report.Running_.push_back(
          {Value.Start_.Task_, Value.Start_.Run_, "", Percent, 0});
    }
    Runs_[Server] = std::move(Left);
    StopsHere_[Server].clear();
    Report.Ended_ = std::exchange(Ends_[Server], {});
    const ServerOrders Orders = report(Report);
    for (const StartOrder &Start : Orders.Starts_)
      Runs_[Server].push_back({Start, Time_.now()});
    for (const StopOrder &Stop : Orders.Stops_) {
      StopsHere_[Server].insert(Stop.Task_);
      ++Stops_[Stop.Task_];
      LastStop_ = Time_.now();
    }
  }
  void play(Duration For) {
    for (const TimePoint End = Time_.now() + For; Time_.now() < End;) {
      for (const std::string &Server : Servers_)
        reportAs(Server);
      Strand_.advance(ReportInterval);
    }
  }
  std::uint64_t countMostStops() const {
    std::uint64_t Most = 0;
    for (const auto &[Task, Count] : Stops_)
      Most = std::max(Most, Count);
    return Most;
  }

  std::vector<std::string> Servers_ = {"s1", "s2", "s3"};
  std::map<std::string, Duration> RunTimes_;
  std::map<std::string, std::vector<Run>> Runs_;
  std::map<std::string, std::vector<EndedTask>> Ends_;
  std::map<std::string, std::set<TaskKey>> StopsHere_;
  std::map<std::string, std::uint64_t> Numbers_;
  std::map<TaskKey, std::uint64_t> Stops_;
  std::uint64_t Completed_ = 0;
  std::optional<TimePoint> HangAt_; ///< No run advances after it.
  std::optional<TimePoint> LastStop_;
};

} // namespace

// Guards against long tasks that are stopped as stalled again and again, as a
// percent of them takes longer than the wait for progress.
TEST_F(StalledRunsTest, TaskOfFiveMinutesIsStoppedOnceAtMostAndEnds) {
  submit("long", 1, 297s);
  play(310s);
  EXPECT_LE(countMostStops(), 1U);
  EXPECT_EQ(Completed_, 1U);
}

// Guards against the same where a percent takes minutes: the wait doubles with
// each stop, so that 2 to 128 s are tried before the first change at 150 s.
TEST_F(StalledRunsTest, TaskOfFourHoursIsStoppedNoMoreThanItsWaitDoubles) {
  submit("long", 1, 15000s);
  play(1200s);
  EXPECT_LE(countMostStops(), 7U);
  ASSERT_TRUE(LastStop_);
  EXPECT_GT(Time_.now() - *LastStop_, 600s) << "it still runs";
}

// Guards against hung runs of usual length that are found later than before.
TEST_F(StalledRunsTest, UsualRunThatHangsIsStoppedAfterTwoSeconds) {
  submit("usual", 1, 3s);
  play(1s);
  HangAt_ = Time_.now();
  play(2500ms);
  EXPECT_EQ(countMostStops(), 1U);
}

// Guards against long runs that hang without end: four percents of the run are
// enough to tell.
TEST_F(StalledRunsTest, LongRunThatHangsIsStoppedWithinFivePercents) {
  submit("long", 1, 150s);
  play(30s);
  ASSERT_EQ(countMostStops(), 0U);
  HangAt_ = Time_.now();
  play(5 * 1500ms);
  EXPECT_EQ(countMostStops(), 1U);
}
