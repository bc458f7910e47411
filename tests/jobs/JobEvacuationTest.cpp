//===- JobEvacuationTest.cpp - Tests of evacuations of data centres -------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class JobEvacuationTest : public JobLeaderTest {
protected:
  static JobLeaderSettings makeSettings() {
    JobLeaderSettings Settings;
    Settings.DataCentres_ = {"dc1", "dc2"};
    return Settings;
  }

  Outcome<void> evacuate(const std::string &DataCentre, bool IsBegun) {
    auto Answer = std::make_shared<std::optional<Outcome<void>>>();
    tryEvacuate(DataCentre, IsBegun, Answer);
    return Answer->value_or(fail(ErrorCode::Internal, "no reply"));
  }
  void
  tryEvacuate(const std::string &DataCentre, bool IsBegun,
              const std::shared_ptr<std::optional<Outcome<void>>> &Answer) {
    Leader_.evacuate(
        {DataCentre, IsBegun},
        [Answer](const Outcome<void> &Result) { *Answer = Result; });
    Strand_.runAll();
  }
  /// Returns the next report of a server in dc2.
  ServerReport makeReportFromDc2(const std::string &Id) {
    ServerReport Report = makeReport(Id);
    Report.Facts_.DataCentre_ = "dc2";
    return Report;
  }
  /// Restarts the leader from a snapshot, in the next term.
  void changeLeader() {
    const std::string Snapshot = Machine_.takeSnapshot();
    ASSERT_TRUE(Machine_.restoreSnapshot(Snapshot));
    beginNextTerm();
  }
};

} // namespace

TEST_F(JobEvacuationTest, NothingStartsUntilTheEvacuationEnds) {
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  EXPECT_EQ(report(makeReportFromDc2("s2")).Starts_.size(), 1U)
      << "other data centres still get work";
  call(CallKind::Submit, "k", {makeStep(1, 100)});
  ASSERT_TRUE(evacuate("dc1", false));
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, RunningTasksContinue) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  ServerReport After = makeReport("s1");
  After.Running_ = {makeRunning(Orders.Starts_.at(0))};
  const ServerOrders Later = report(After);
  EXPECT_TRUE(Later.Stops_.empty());
  EXPECT_GT(Later.LeaseMs_, 0U);
  ServerReport Last = makeReport("s1");
  Last.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Done)};
  EXPECT_EQ(report(Last).EndsNoted_, 1U);
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

TEST_F(JobEvacuationTest, EvacuationIsAcknowledgedOnceCommitted) {
  report(makeReport("s1"));
  Group_.IsHeld_ = true;
  const auto Answer = std::make_shared<std::optional<Outcome<void>>>();
  tryEvacuate("dc1", true, Answer);
  EXPECT_FALSE(Answer->has_value());
  Group_.commitAll();
  Strand_.runAll();
  ASSERT_TRUE(Answer->has_value());
  EXPECT_TRUE(**Answer);
}

TEST_F(JobEvacuationTest, RepeatedEvacuationIsIdempotent) {
  report(makeReport("s1"));
  EXPECT_TRUE(evacuate("dc1", false)) << "no evacuation was in progress";
  EXPECT_TRUE(evacuate("dc1", true));
  EXPECT_TRUE(evacuate("dc1", true));
  EXPECT_EQ(Log_.last(EventKind::Evacuation).Outcome_, "no change");
  EXPECT_TRUE(evacuate("dc1", false));
  EXPECT_TRUE(evacuate("dc1", false));
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, UnknownDataCentreIsRejectedAndNotStored) {
  const Outcome<void> Answer = evacuate("dc9", true);
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().Code_, ErrorCode::NotFound);
  EXPECT_EQ(evacuate("", true).error().Code_, ErrorCode::NotFound);
  EXPECT_TRUE(Machine_
                  .read([](const JobRegistry &Registry) {
                    return Registry.evacuated();
                  })
                  .empty());
}

TEST_F(JobEvacuationTest, ConfiguredDataCentreIsKnownWithoutServers) {
  JobLeader Leader(makeSettings(), Time_, Strand_, Group_, Machine_, Advisor_,
                   Provider_, Relays_, Log_, Meter_);
  Leader.start();
  Strand_.advance(100ms);
  bool IsDone = false;
  Leader.evacuate({"dc2", true}, [&IsDone](const Outcome<void> &Result) {
    IsDone = static_cast<bool>(Result);
  });
  Strand_.runAll();
  EXPECT_TRUE(IsDone);
  // The evacuation also applies to servers that register later.
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeReportFromDc2("s2")).Starts_.empty());
}

TEST_F(JobEvacuationTest, FollowerNamesTheLeader) {
  report(makeReport("s1"));
  Group_.IsLeader_ = false;
  Group_.LeaderName_ = "other";
  const Outcome<void> Answer = evacuate("dc1", true);
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().Code_, ErrorCode::NotLeader);
  EXPECT_EQ(Answer.error().Message_, "other");
}

TEST_F(JobEvacuationTest, UnreportedStartIsStoppedAndMovedElsewhere) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  // The answer with this order is lost.
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  ASSERT_TRUE(evacuate("dc1", true));
  const ServerOrders Stopping = report(makeReport("s1"));
  EXPECT_TRUE(Stopping.Starts_.empty()) << "the start is not ordered again";
  ASSERT_EQ(Stopping.Stops_.size(), 1U);
  EXPECT_TRUE(report(makeReportFromDc2("s2")).Starts_.empty())
      << "the run may still be on s1";
  report(makeReport("s1"));
  const ServerOrders Elsewhere = report(makeReportFromDc2("s2"));
  ASSERT_EQ(Elsewhere.Starts_.size(), 1U);
  EXPECT_GT(Elsewhere.Starts_[0].Run_, Stopping.Stops_[0].Run_);
}

TEST_F(JobEvacuationTest, StartCommittedAfterTheEvacuationIsNotOrdered) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  // The start is planned before the evacuation is committed, and committed
  // after it.
  Group_.IsHeld_ = true;
  auto Answer = std::make_shared<std::optional<Outcome<void>>>();
  tryEvacuate("dc1", true, Answer);
  auto Orders = std::make_shared<std::optional<Outcome<ServerOrders>>>();
  Leader_.report(makeReport("s1"), [Orders](Outcome<ServerOrders> Reply) {
    *Orders = std::move(Reply);
  });
  Strand_.runAll();
  EXPECT_FALSE(Orders->has_value()) << "its start waits for the commit";
  Group_.commitAll();
  Strand_.runAll();
  ASSERT_TRUE(*Answer && **Answer);
  ASSERT_TRUE(*Orders && **Orders);
  EXPECT_TRUE((*Orders)->value().Starts_.empty());
  Group_.IsHeld_ = false;
  EXPECT_EQ(report(makeReportFromDc2("s2")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, EvacuationSurvivesLeaderChangeAndSnapshot) {
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  changeLeader();
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  ASSERT_TRUE(evacuate("dc1", false));
  changeLeader();
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, GangIsPlacedOutsideTheEvacuatedDataCentre) {
  report(makeReport("s1"));
  report(makeReportFromDc2("s2"));
  ASSERT_TRUE(evacuate("dc1", true));
  StepSpec Gang = makeStep(3, 1000);
  Gang.Gang_ = true;
  call(CallKind::Submit, "j", {Gang});
  Strand_.advance(200ms);
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  EXPECT_EQ(report(makeReportFromDc2("s2")).Starts_.size(), 3U);
}

TEST_F(JobEvacuationTest, NoSpeculativeCopyStartsInTheEvacuatedDataCentre) {
  StepSpec Step = makeStep(1, 100);
  Step.Speculative_ = true;
  Step.EstimateMs_ = 100;
  call(CallKind::Submit, "j", {Step});
  const ServerOrders First = report(makeReportFromDc2("s2"));
  ASSERT_EQ(First.Starts_.size(), 1U);
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  for (int I = 0; I < 8; ++I) {
    ServerReport Running = makeReportFromDc2("s2");
    Running.Running_ = {makeRunning(First.Starts_[0])};
    report(Running);
    Strand_.advance(500ms);
    EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  }
  ASSERT_TRUE(evacuate("dc1", false));
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U)
      << "the run was late all the time";
}

TEST_F(JobEvacuationTest, WaitReasonIsLogged) {
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  EXPECT_EQ(Log_.count(EventKind::Evacuation), 1U);
  EXPECT_EQ(Log_.last(EventKind::Evacuation).Reason_, "dc1");
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  for (int I = 0; I < 3; ++I) {
    Strand_.advance(1s);
    report(makeReport("s1"));
  }
  EXPECT_EQ(Log_.last(EventKind::TaskWaiting).Reason_,
            "1 in a data centre that is being evacuated");
}

TEST_F(JobRegistryTest, SnapshotIncludesEvacuations) {
  EXPECT_EQ(apply(EvacuateDataCentre{"dc1", true}).Status_,
            CommandStatus::Done);
  EXPECT_EQ(apply(EvacuateDataCentre{"dc1", true}).Status_,
            CommandStatus::AlreadyDone);
  submit(makeJob("j", {makeStep(1, 100)}));
  EXPECT_EQ(getRejectionReason(makeStart("j", 0, "s1")),
            "the server's data centre is being evacuated");
  const auto Read = JobRegistry::decode(Registry_.encode());
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().evacuated(), Registry_.evacuated());
  apply(EvacuateDataCentre{"dc1", false});
  EXPECT_TRUE(start(makeStart("j", 0, "s1")));
}
