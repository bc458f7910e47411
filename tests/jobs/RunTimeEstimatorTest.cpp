//===- RunTimeEstimatorTest.cpp - Run times learned from reports ----------===//

#include "jobs/RunTimeEstimator.h"

#include "jobs/JobFixture.h"
#include "jobs/ReportingServer.h"

#include <cmath>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DeclaredMs = 1000;

double toMs(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

class RunTimeEstimatorTest : public JobRegistryTest {
protected:
  static StepSpec makeTimed(std::uint64_t Count, const std::string &Image,
                            std::uint64_t EstimateMs = DeclaredMs) {
    StepSpec Step = makeStep(Count, 1000);
    Step.Image_ = Image;
    Step.EstimateMs_ = EstimateMs;
    return Step;
  }
  ReportingServer makeReporting(const std::string &Id, std::size_t Slots = 4) {
    return {Id, Slots, [this](const ServerReport &Report, TimePoint Now) {
              Estimator_.learn(Registry_, Report, Now);
            }};
  }
  /// Submits a job of one step and lets the server run its tasks for these
  /// times, in milliseconds.
  void run(ReportingServer &Server, const std::string &Job, StepSpec Step,
           const std::vector<double> &LengthsMs) {
    Step.Count_ = LengthsMs.size();
    submit(makeJob(Job, {Step}));
    for (std::uint64_t I = 0; I < LengthsMs.size(); ++I)
      Server.add({{Job, 0, 0, I},
                  1,
                  std::chrono::milliseconds(std::llround(LengthsMs[I]))});
    Server.finish();
  }
  /// Lets the server run jobs of ten tasks that take Factor times as long as
  /// declared, within a sixth.
  void train(ReportingServer &Server, const std::string &Image, int Jobs,
             double Factor) {
    std::uniform_real_distribution<double> Spread(0.85, 1.15);
    for (int I = 0; I < Jobs; ++I) {
      std::vector<double> LengthsMs(10);
      for (double &Length : LengthsMs)
        Length = DeclaredMs * Factor * Spread(Random_);
      run(Server, Image + std::to_string(++JobCount_), makeTimed(1, Image),
          LengthsMs);
    }
  }
  double getTypicalMs(const std::string &Image,
                      std::uint64_t EstimateMs = DeclaredMs) const {
    return toMs(Estimator_.getTypical(makeConfiguration().Queues_[0],
                                      makeTimed(1, Image, EstimateMs)));
  }
  double getQuantileMs(const std::string &Job, double Fraction) const {
    return toMs(Estimator_.getQuantile(*Registry_.findJob(Job), 0, Fraction));
  }
  std::uint64_t countSamples() const {
    std::uint64_t Count = 0;
    for (const LearnedRunTime &Row : Estimator_.list())
      Count += Row.Samples_;
    return Count;
  }

  RunTimeEstimator Estimator_;
  std::mt19937 Random_{11};
  int JobCount_ = 0;
};

} // namespace

TEST_F(RunTimeEstimatorTest, NothingKnownIsTheDeclaredRunTime) {
  submit(makeJob("j", {makeTimed(3, "a")}));
  EXPECT_EQ(getQuantileMs("j", 0.95), 1000);
  EXPECT_EQ(getTypicalMs("a"), 1000);
  EXPECT_EQ(getTypicalMs("a", 0), 0);
  EXPECT_TRUE(Estimator_.list().empty());
}

// The forecast for new jobs of an image is in proportion to what they declare.
TEST_F(RunTimeEstimatorTest, RatioIsLearnedByQueueAndImage) {
  ReportingServer Server = makeReporting("s1");
  train(Server, "a", 10, 1.5);
  EXPECT_NEAR(getTypicalMs("a"), 1500, 90);
  EXPECT_NEAR(getTypicalMs("a", 3000), 4500, 270);
  EXPECT_EQ(getTypicalMs("b"), 1000) << "nothing is known of another image";
  const std::vector<LearnedRunTime> Rows = Estimator_.list();
  ASSERT_EQ(Rows.size(), 1U);
  EXPECT_EQ(Rows[0].Image_, "a");
  EXPECT_EQ(Rows[0].Samples_, 100U);
  EXPECT_NEAR(double(Rows[0].Median_), 1500, 90);
  EXPECT_NEAR(double(Rows[0].Percentile95_), 1700, 130);
}

// A few samples may be chance.
TEST_F(RunTimeEstimatorTest, FewRunsOfAnImageChangeNothing) {
  ReportingServer Server = makeReporting("s1");
  run(Server, "j", makeTimed(1, "a"), {3000, 3000});
  EXPECT_EQ(getTypicalMs("a"), 1000);
}

// A job that is declared wrong is known by its own tasks after a few of them.
TEST_F(RunTimeEstimatorTest, OwnRunsOfAStepComeFirst) {
  ReportingServer Server = makeReporting("s1");
  train(Server, "a", 10, 1.0);
  run(Server, "odd", makeTimed(1, "a"), {3000, 3100, 2900, 3200});
  EXPECT_NEAR(getQuantileMs("odd", 0.5), 3050, 150);
  EXPECT_NEAR(getQuantileMs("odd", 0.95), 3050 * 1.15, 250)
      << "the spread is that of the image";
  EXPECT_NEAR(getTypicalMs("a"), 1000, 60);
}

// The first runs to end are the shortest ones: runs that are half-way count.
TEST_F(RunTimeEstimatorTest, ProgressCountsBeforeTheEnd) {
  ReportingServer Server = makeReporting("s1");
  submit(makeJob("j", {makeTimed(4, "a")}));
  for (std::uint64_t I = 0; I < 4; ++I)
    Server.add({{"j", 0, 0, I}, 1, 6s});
  Server.runUntil(Server.Now_ + 4s);
  EXPECT_NEAR(getQuantileMs("j", 0.5), 6000, 300);
  EXPECT_EQ(countSamples(), 0U);
}

TEST_F(RunTimeEstimatorTest, RareLongRunsMoveOnlyTheTail) {
  ReportingServer Server = makeReporting("s1", 8);
  std::uniform_real_distribution<double> Spread(0.85, 1.15);
  int Count = 0;
  for (int Job = 0; Job < 40; ++Job) {
    std::vector<double> LengthsMs(10);
    for (double &Length : LengthsMs)
      Length = (Count++ % 33 == 7 ? 7000 : 1000) * Spread(Random_);
    run(Server, "j" + std::to_string(Job), makeTimed(1, "a"), LengthsMs);
  }
  submit(makeJob("new", {makeTimed(1, "a")}));
  EXPECT_NEAR(getQuantileMs("new", 0.5), 1000, 60);
  EXPECT_NEAR(getQuantileMs("new", 0.95), 1140, 120);
  EXPECT_GT(getQuantileMs("new", 0.99), 5000);
}

// Guards against a distribution of only those runs that a report catches, which
// are the long ones.
TEST_F(RunTimeEstimatorTest, ShortRunsBetweenReportsCount) {
  ReportingServer Server = makeReporting("s1", 3);
  std::uniform_real_distribution<double> Length(80, 700);
  std::vector<double> LengthsMs(400);
  for (double &Each : LengthsMs)
    Each = Length(Random_);
  run(Server, "j", makeTimed(1, "a", 390), LengthsMs);
  EXPECT_GT(countSamples(), 380U);
  EXPECT_NEAR(getTypicalMs("a", 390), 390, 80);
}

TEST_F(RunTimeEstimatorTest, FillingRunsAreLearnedApart) {
  ReportingServer Server = makeReporting("s1");
  train(Server, "a", 10, 1.0);
  StepSpec Filling = makeTimed(1, "a");
  Filling.Fills_ = true;
  run(Server, "fills", Filling, std::vector<double>(30, 2500));
  EXPECT_NEAR(getTypicalMs("a"), 1000, 60);
  EXPECT_NEAR(
      toMs(Estimator_.getTypical(makeConfiguration().Queues_[0], Filling)),
      2500, 150);
  ASSERT_EQ(Estimator_.list().size(), 2U);
}

// A filling run that gets few processors tells how idle its server is.
TEST_F(RunTimeEstimatorTest, SlowedFillingRunsDoNotCount) {
  ReportingServer Server = makeReporting("s1");
  StepSpec Filling = makeTimed(4, "a");
  Filling.Fills_ = true;
  submit(makeJob("fills", {Filling}));
  for (std::uint64_t I = 0; I < 4; ++I)
    Server.add({{"fills", 0, 0, I}, 1, 4s, 100, /*Measure=*/400});
  Server.finish();
  EXPECT_EQ(countSamples(), 0U);
  EXPECT_EQ(getQuantileMs("fills", 0.5), 1000);
}

TEST_F(RunTimeEstimatorTest, ResumedRunsDoNotCount) {
  StepSpec Step = makeTimed(1, "a");
  Step.Checkpointing_ = true;
  submit(makeJob("j", {Step}));
  start(makeStart("j", 0, "s1"));
  end(makeStart("j", 0, "s1"), RunOutcome::Stopped, "half");
  ReportingServer Server = makeReporting("s1");
  Server.add({{"j", 0, 0, 0}, 2, 2s});
  Server.finish();
  EXPECT_EQ(countSamples(), 0U);
}

// Runs that take long are stopped more often, as a copy ends first; without
// them the tail would be too short.
TEST_F(RunTimeEstimatorTest, StoppedRunsCountByTheirProgress) {
  ReportingServer Server = makeReporting("s1", 8);
  for (int Job = 0; Job < 20; ++Job) {
    const std::string Id = "j" + std::to_string(Job);
    submit(makeJob(Id, {makeTimed(8, "a")}));
    for (std::uint64_t I = 0; I < 8; ++I)
      Server.add({{Id, 0, 0, I}, 1, I == 0 ? 7s : 1s, I == 0 ? 50U : 100U});
    Server.finish();
  }
  submit(makeJob("new", {makeTimed(1, "a")}));
  EXPECT_NEAR(getQuantileMs("new", 0.5), 1000, 60);
  EXPECT_NEAR(getQuantileMs("new", 0.96), 7000, 500);
}

// Reports come twice, late and out of order.
TEST_F(RunTimeEstimatorTest, ReportsCountOnceInTheirOrder) {
  std::vector<std::pair<ServerReport, TimePoint>> Reports;
  ReportingServer Server("s1", 2,
                         [&Reports](const ServerReport &Report, TimePoint Now) {
                           Reports.emplace_back(Report, Now);
                         });
  run(Server, "j", makeTimed(1, "a"), std::vector<double>(40, 1300));
  for (std::size_t I = 0; I < Reports.size(); ++I) {
    const auto &[Report, At] = Reports[I];
    Estimator_.learn(Registry_, Report, At);
    Estimator_.learn(Registry_, Report, At + 10ms);
    if (I >= 3)
      Estimator_.learn(Registry_, Reports[I - 3].first, At + 20ms);
  }
  EXPECT_EQ(countSamples(), 40U);
  EXPECT_NEAR(getTypicalMs("a"), 1300, 60);
}

// Reports that wait on their way look like longer runs by the arrival alone.
TEST_F(RunTimeEstimatorTest, DelayedReportsDoNotLengthenRuns) {
  std::uniform_int_distribution<int> DelayMs(0, 400);
  TimePoint Last{};
  ReportingServer Server(
      "s1", 2, [&](const ServerReport &Report, TimePoint Now) {
        Last = std::max<TimePoint>(
            Last, Now + std::chrono::milliseconds(DelayMs(Random_)));
        Estimator_.learn(Registry_, Report, Last);
      });
  run(Server, "j", makeTimed(1, "a"), std::vector<double>(40, 1300));
  EXPECT_NEAR(getTypicalMs("a"), 1300, 60);
  submit(makeJob("new", {makeTimed(1, "a")}));
  EXPECT_LT(getQuantileMs("new", 0.95), 1450);
}

TEST_F(RunTimeEstimatorTest, ServerThatRestartsUnderItsIdIsHeardAgain) {
  ReportingServer Server = makeReporting("s1", 2);
  run(Server, "before", makeTimed(1, "a"), std::vector<double>(10, 1300));
  EXPECT_EQ(countSamples(), 10U);
  submit(makeJob("lost", {makeTimed(2, "a")}));
  for (std::uint64_t I = 0; I < 2; ++I)
    Server.add({{"lost", 0, 0, I}, 1, 9s});
  Server.runUntil(Server.Now_ + 3s);
  Server.restart();
  run(Server, "after", makeTimed(1, "a"), std::vector<double>(20, 1300));
  EXPECT_GE(countSamples(), 26U) << "all but those of the first reports";
  EXPECT_NEAR(getTypicalMs("a"), 1300, 60);
}

// The server's steady clock is not supposed to be set, but it may be. All runs
// are in progress meanwhile.
TEST_F(RunTimeEstimatorTest, ClockThatIsSetSpoilsNoRunTimes) {
  for (const std::int64_t StepMs : {3'600'000, -2'000'000}) {
    const std::string Id = StepMs > 0 ? "ahead" : "back";
    ReportingServer Server = makeReporting(Id, 30);
    submit(makeJob(Id, {makeTimed(30, Id)}));
    for (std::uint64_t I = 0; I < 30; ++I)
      Server.add({{Id, 0, 0, I}, 1, 3s});
    Server.runUntil(Server.Now_ + 1200ms);
    Server.setClock(StepMs);
    Server.finish();
    EXPECT_NEAR(getTypicalMs(Id), 3000, 600) << Id;
    submit(makeJob("new" + Id, {makeTimed(1, Id)}));
    EXPECT_LT(getQuantileMs("new" + Id, 0.97), 4000) << Id;
  }
}

TEST_F(RunTimeEstimatorTest, WorkWithoutDeclaredRunTimesIsLearned) {
  ReportingServer Server = makeReporting("s1");
  run(Server, "j", makeTimed(1, "a", 0), std::vector<double>(30, 2200));
  EXPECT_NEAR(getTypicalMs("a", 0), 2200, 120);
  EXPECT_EQ(getTypicalMs("a"), 1000) << "such work is apart";
}

TEST_F(RunTimeEstimatorTest, LearnedRatiosFollowAChangeOfLoad) {
  ReportingServer Server = makeReporting("s1", 16);
  train(Server, "a", 150, 0.7);
  EXPECT_NEAR(getTypicalMs("a"), 700, 50);
  train(Server, "a", 110, 1.6);
  EXPECT_NEAR(getTypicalMs("a"), 1600, 120);
}

TEST_F(RunTimeEstimatorTest, MemoryIsBounded) {
  ReportingServer Server = makeReporting("s1", 64);
  for (int I = 0; I < 400; ++I)
    run(Server, "j" + std::to_string(I), makeTimed(1, std::to_string(I)),
        {700, 700});
  EXPECT_EQ(Estimator_.list().size(), 256U);
}

// The state of ended jobs goes; what was learned of their image stays.
TEST_F(RunTimeEstimatorTest, PruneForgetsEndedJobsOnly) {
  ReportingServer Server = makeReporting("s1");
  train(Server, "a", 10, 1.0);
  run(Server, "odd", makeTimed(1, "a"), {3000, 3100, 2900, 3200});
  Estimator_.prune(Registry_);
  EXPECT_NEAR(getQuantileMs("odd", 0.5), 3050, 150);
  apply(CancelJob{"odd"});
  Estimator_.prune(Registry_);
  EXPECT_NEAR(getQuantileMs("odd", 0.5), 1000, 60);
}

// A step whose tasks all run needs what its runs still need, not all again.
TEST_F(RunTimeEstimatorTest, RunningStepNeedsOnlyTheRest) {
  submit(makeJob("j", {makeTimed(2, "a", 4000), makeTimed(1, "b")}));
  const auto GetRemainingMs = [this](TimePoint Now) {
    const JobRecord &Job = *Registry_.findJob("j");
    return toMs(Estimator_.getRemaining(Job, Job.OpenOccurrences_[0], 0, Now));
  };
  ReportingServer Server = makeReporting("s1");
  EXPECT_EQ(GetRemainingMs(Server.Now_), 4000);
  start(makeStart("j", 0, "s1"));
  start(makeStart("j", 1, "s1"));
  Server.add({{"j", 0, 0, 0}, 1, 4s});
  Server.add({{"j", 0, 0, 1}, 1, 5s});
  Server.runUntil(Server.Now_ + 3s);
  EXPECT_NEAR(GetRemainingMs(Server.Now_), 2000, 250);
  Server.runUntil(Server.Now_ + 1s);
  EXPECT_NEAR(GetRemainingMs(Server.Now_), 1000, 250);
}

// Guards against a task that seems to end soon because a run of it that was
// lost with its server would have.
TEST_F(RunTimeEstimatorTest, NewRunOfALostTaskNeedsAWholeRun) {
  submit(makeJob("j", {makeTimed(2, "a", 4000), makeTimed(1, "b")}));
  ReportingServer Lost = makeReporting("s1");
  ReportingServer Next = makeReporting("s2");
  for (std::uint64_t I = 0; I < 2; ++I) {
    start(makeStart("j", I, "s1"));
    Lost.add({{"j", 0, 0, I}, 1, 4s});
    Next.add({{"j", 0, 0, I}, 2, 4s});
  }
  const auto GetRemainingMs = [this](TimePoint Now) {
    const JobRecord &Job = *Registry_.findJob("j");
    return toMs(Estimator_.getRemaining(Job, Job.OpenOccurrences_[0], 0, Now));
  };
  Lost.runUntil(Lost.Now_ + 3s);
  ASSERT_LT(GetRemainingMs(Lost.Now_), 2000);
  Next.Now_ = Lost.Now_;
  Next.runUntil(Next.Now_ + 700ms);
  EXPECT_EQ(GetRemainingMs(Next.Now_), 4000);
}

// A long run beside usual ones is long by nature; on a slow server all are.
TEST_F(RunTimeEstimatorTest, LongRunBesideUsualOnesIsToldFromASlowServer) {
  ReportingServer Trainer = makeReporting("s9");
  train(Trainer, "a", 10, 1.0);
  submit(makeJob("j", {makeTimed(8, "a")}));
  ReportingServer Sound = makeReporting("s1");
  Sound.add({{"j", 0, 0, 0}, 1, 7s});
  for (std::uint64_t I = 1; I < 4; ++I)
    Sound.add({{"j", 0, 0, I}, 1, 1s});
  Sound.finish();
  EXPECT_TRUE(
      Estimator_.doOthersAdvanceAsUsual(Registry_, "s1", /*EndNumber=*/4, 8s));
  submit(makeJob("k", {makeTimed(8, "a")}));
  ReportingServer Slow = makeReporting("s2");
  for (std::uint64_t I = 0; I < 8; ++I)
    Slow.add({{"k", 0, 0, I}, 1, 5s});
  Slow.runUntil(Slow.Now_ + 9s);
  EXPECT_FALSE(Estimator_.doOthersAdvanceAsUsual(Registry_, "s2", 4, 4s));
  EXPECT_FALSE(Estimator_.doOthersAdvanceAsUsual(Registry_, "s3", 1, 4s))
      << "nothing is known of it";
}

// Pattern of load: a large fleet that is mostly idle. Guards against run times
// that are never learned since the servers that are tracked run nothing.
TEST_F(RunTimeEstimatorTest, BusyServersAreLearnedFromBesideManyIdleOnes) {
  TimePoint Now{1h};
  for (int I = 0; I < 6'000; ++I) {
    ServerReport Idle;
    Idle.Facts_.Id_ = "idle" + std::to_string(I);
    Idle.Sequence_ = 1;
    Estimator_.learn(Registry_, Idle, Now);
  }
  ReportingServer Server = makeReporting("s1");
  train(Server, "a", 10, 1.5);
  EXPECT_NEAR(getTypicalMs("a"), 1500, 90);
}
