//===- JobEvacuationTest.cpp - Data centres in which nothing starts -------===//

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
    auto Got = std::make_shared<std::optional<Outcome<void>>>();
    tryEvacuate(DataCentre, IsBegun, Got);
    return Got->value_or(fail(ErrorCode::Internal, "no reply"));
  }
  void tryEvacuate(const std::string &DataCentre, bool IsBegun,
                   const std::shared_ptr<std::optional<Outcome<void>>> &Got) {
    Leader_.evacuate({DataCentre, IsBegun},
                     [Got](const Outcome<void> &Result) { *Got = Result; });
    Strand_.runAll();
  }
  /// The next report of a server in the other data centre.
  ServerReport makeOther(const std::string &Id) {
    ServerReport Report = makeReport(Id);
    Report.Facts_.DataCentre_ = "dc2";
    return Report;
  }
  /// As another process comes to lead after a restart: from a snapshot.
  void changeLeader() {
    const std::string Snapshot = Machine_.takeSnapshot();
    ASSERT_TRUE(Machine_.restoreSnapshot(Snapshot));
    Group_.IsLeader_ = false;
    Strand_.advance(100ms);
    Group_.IsLeader_ = true;
    ++Group_.Term_;
    Strand_.advance(100ms);
  }
};

} // namespace

TEST_F(JobEvacuationTest, NothingStartsThereUntilItIsTakenBack) {
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  EXPECT_EQ(report(makeOther("s2")).Starts_.size(), 1U)
      << "work goes where it may";
  call(CallKind::Submit, "k", {makeStep(1, 100)});
  ASSERT_TRUE(evacuate("dc1", false));
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, WhatRunsThereGoesOn) {
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

TEST_F(JobEvacuationTest, AnOrderIsAcknowledgedOnceItIsCommitted) {
  report(makeReport("s1"));
  Group_.IsHeld_ = true;
  const auto Got = std::make_shared<std::optional<Outcome<void>>>();
  tryEvacuate("dc1", true, Got);
  EXPECT_FALSE(Got->has_value());
  Group_.commitAll();
  Strand_.runAll();
  ASSERT_TRUE(Got->has_value());
  EXPECT_TRUE(**Got);
}

TEST_F(JobEvacuationTest, TheSameOrderAgainIsAcknowledgedAgain) {
  report(makeReport("s1"));
  EXPECT_TRUE(evacuate("dc1", false)) << "nothing was begun";
  EXPECT_TRUE(evacuate("dc1", true));
  EXPECT_TRUE(evacuate("dc1", true));
  EXPECT_EQ(Log_.last(EventKind::Evacuation).Outcome_, "no change");
  EXPECT_TRUE(evacuate("dc1", false));
  EXPECT_TRUE(evacuate("dc1", false));
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, APlaceThatNobodyKnowsIsRefusedAndNotKept) {
  const Outcome<void> Got = evacuate("dc9", true);
  ASSERT_FALSE(Got);
  EXPECT_EQ(Got.error().Code_, ErrorCode::NotFound);
  EXPECT_EQ(evacuate("", true).error().Code_, ErrorCode::NotFound);
  EXPECT_TRUE(
      Machine_.read([](const JobRegistry &Book) { return Book.evacuated(); })
          .empty());
}

TEST_F(JobEvacuationTest, ADataCentreOfTheDeploymentNeedsNoServerToBeKnown) {
  JobLeader Own(makeSettings(), Time_, Strand_, Group_, Machine_, Advisor_,
                Provider_, Relays_, Log_, Meter_);
  Own.start();
  Strand_.advance(100ms);
  bool IsDone = false;
  Own.evacuate({"dc2", true}, [&IsDone](const Outcome<void> &Result) {
    IsDone = static_cast<bool>(Result);
  });
  Strand_.runAll();
  EXPECT_TRUE(IsDone);
  // Servers that come later are under the same order.
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeOther("s2")).Starts_.empty());
}

TEST_F(JobEvacuationTest, AMemberThatDoesNotLeadSaysWhoDoes) {
  report(makeReport("s1"));
  Group_.IsLeader_ = false;
  Group_.LeaderName_ = "other";
  const Outcome<void> Got = evacuate("dc1", true);
  ASSERT_FALSE(Got);
  EXPECT_EQ(Got.error().Code_, ErrorCode::NotLeader);
  EXPECT_EQ(Got.error().Message_, "other");
}

TEST_F(JobEvacuationTest,
       AStartThatWasNeverSeenThereIsOutlawedAndGoesElsewhere) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  // The answer with this order is lost on its way.
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  ASSERT_TRUE(evacuate("dc1", true));
  const ServerOrders Stopping = report(makeReport("s1"));
  EXPECT_TRUE(Stopping.Starts_.empty()) << "it is not ordered again";
  ASSERT_EQ(Stopping.Stops_.size(), 1U);
  EXPECT_TRUE(report(makeOther("s2")).Starts_.empty())
      << "it may run on s1 yet";
  report(makeReport("s1"));
  const ServerOrders Elsewhere = report(makeOther("s2"));
  ASSERT_EQ(Elsewhere.Starts_.size(), 1U);
  EXPECT_GT(Elsewhere.Starts_[0].Run_, Stopping.Stops_[0].Run_);
}

TEST_F(JobEvacuationTest, AStartOnItsWayWhenTheOrderComesIsNotGivenOut) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  // Planned before the order is committed, and committed after it.
  Group_.IsHeld_ = true;
  auto Got = std::make_shared<std::optional<Outcome<void>>>();
  tryEvacuate("dc1", true, Got);
  auto Orders = std::make_shared<std::optional<Outcome<ServerOrders>>>();
  Leader_.report(makeReport("s1"), [Orders](Outcome<ServerOrders> Reply) {
    *Orders = std::move(Reply);
  });
  Strand_.runAll();
  EXPECT_FALSE(Orders->has_value()) << "its start waits for the commit";
  Group_.commitAll();
  Strand_.runAll();
  ASSERT_TRUE(*Got && **Got);
  ASSERT_TRUE(*Orders && **Orders);
  EXPECT_TRUE((*Orders)->value().Starts_.empty());
  Group_.IsHeld_ = false;
  EXPECT_EQ(report(makeOther("s2")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, ItOutlivesTheLeaderAndItsSnapshot) {
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  changeLeader();
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  ASSERT_TRUE(evacuate("dc1", false));
  changeLeader();
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
}

TEST_F(JobEvacuationTest, AGangGoesWhereAllOfItMayRun) {
  report(makeReport("s1"));
  report(makeOther("s2"));
  ASSERT_TRUE(evacuate("dc1", true));
  StepSpec Gang = makeStep(3, 1000);
  Gang.Gang_ = true;
  call(CallKind::Submit, "j", {Gang});
  Strand_.advance(200ms);
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  EXPECT_EQ(report(makeOther("s2")).Starts_.size(), 3U);
}

TEST_F(JobEvacuationTest, NoCopyOfALateRunIsStartedThere) {
  StepSpec Step = makeStep(1, 100);
  Step.Speculative_ = true;
  Step.EstimateMs_ = 100;
  call(CallKind::Submit, "j", {Step});
  const ServerOrders First = report(makeOther("s2"));
  ASSERT_EQ(First.Starts_.size(), 1U);
  report(makeReport("s1"));
  ASSERT_TRUE(evacuate("dc1", true));
  for (int I = 0; I < 8; ++I) {
    ServerReport Running = makeOther("s2");
    Running.Running_ = {makeRunning(First.Starts_[0])};
    report(Running);
    Strand_.advance(500ms);
    EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
  }
  ASSERT_TRUE(evacuate("dc1", false));
  EXPECT_EQ(report(makeReport("s1")).Starts_.size(), 1U)
      << "it was late all the while";
}

TEST_F(JobEvacuationTest, TheLogSaysWhyWorkWaits) {
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

TEST_F(JobRegistryTest, AnEvacuationStandsInTheSnapshot) {
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
