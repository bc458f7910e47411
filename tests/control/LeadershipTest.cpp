//===- LeadershipTest.cpp - Leases, placements, changes of leader ---------===//

#include "control/ControlWorld.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;
using namespace tulipweir::control::test;
using datacentre::TaskState;

namespace {
class LeadershipTest : public testing::Test, protected ControlWorld {
protected:
  /// One task of job j runs on s1 under A.
  void runTask() {
    registerServer();
    submit(A_, "j");
    beat(A_, seconds(1));
    ASSERT_EQ(Held_.size(), 1U);
    ASSERT_EQ(announce(A_).Renewals_.size(), 1U);
  }
  /// The fleet's leader learns that there is a server.
  void registerServer() { beat(A_, seconds(4)); }
  void moveLeadership() {
    Own_.cutLeader();
    Own_.Open_.clear();
    Own_.lead(&B_.Group_);
    pass(milliseconds(500));
  }
  /// Two elections between two of Again's looks at its term.
  static void loseAndWinAgain(FakeLog &Log, FakeReplica &Other,
                              FakeReplica &Again) {
    Log.lead(&Other);
    Log.lead(&Again);
  }
  static wire::EntryReport makeReport() {
    wire::EntryReport Report;
    Report.Entry_ = EntryId("e1");
    return Report;
  }
  TaskState state(const std::string &Job = "j") {
    return findTask(A_, Job)->State_;
  }
};
} // namespace

TEST_F(LeadershipTest, AnAnnouncementBeforeRegistrationStartsNothing) {
  Own_.Held_ = true;
  EXPECT_TRUE(announce(A_).Commands_.empty());
  EXPECT_TRUE(announce(A_).Commands_.empty());
  EXPECT_EQ(Own_.Open_.size(), 1U) << "one registration is proposed";
  Own_.Held_ = false;
  Own_.commit();
  A_.Machine_.withState(
      [](const auto &State) { EXPECT_EQ(State.servers().size(), 1U); });
}

TEST_F(LeadershipTest, AFollowerTurnsEverythingAwayToTheLeader) {
  const auto Got = B_.send(makeAnnouncement());
  ASSERT_TRUE(Got && !*Got);
  EXPECT_EQ(Got->error(), Error::make(ErrorCode::NotLeader, "c1"));
  const auto Reported = B_.send(wire::EntryReport{});
  ASSERT_TRUE(Reported && !*Reported);
  EXPECT_EQ(Reported->error().Message_, "c1");
  const auto Begun = B_.send(wire::BeginRequest{});
  ASSERT_TRUE(Begun && !*Begun);
  EXPECT_EQ(Begun->error().Message_, "c1");
  const auto Called = B_.send(wire::OperatorCall{"GET", "/jobs", "", ""});
  ASSERT_TRUE(Called && !*Called);
  EXPECT_EQ(Called->error().Message_, "c1");
}

TEST_F(LeadershipTest, AJobRunsToItsEndAndIsForgottenHere) {
  runTask();
  Held_[0].State_ = wire::AttemptState::Finished;
  announce(A_);
  settle();
  EXPECT_EQ(A_.Fleet_.findJob(JobId("j"))->Record_.End_,
            fleet::JobEnd::Finished);
  EXPECT_EQ(findTask(A_, "j"), nullptr) << "dropped once the fleet knows";
  announce(A_);
  EXPECT_TRUE(Held_.empty()) << "the server was told that it may forget it";
}

TEST_F(LeadershipTest, AFrozenLeaderThatWakesRenewsAndStartsNothing) {
  runTask();
  submit(A_, "k");
  pass(seconds(1));
  // A sleeps, B is elected; A wakes and has not heard of it.
  A_.Group_.BelievesToLead_ = true;
  A_.Group_.BelievedTerm_ = Own_.Term_;
  Own_.lead(&B_.Group_);
  const auto Got = A_.send(makeAnnouncement());
  ASSERT_TRUE(Got && !*Got);
  EXPECT_EQ(Got->error().Code_, ErrorCode::NotLeader);
  const auto Granted = A_.send(makeReport());
  ASSERT_TRUE(Granted && !*Granted) << "nor does it grant slots";
}

TEST_F(LeadershipTest, ATermOfBeforeAnotherLeaderRenewsAndGrantsNothing) {
  runTask();
  pass(seconds(1));
  loseAndWinAgain(Own_, B_.Group_, A_.Group_);
  const auto Got = A_.send(makeAnnouncement());
  ASSERT_TRUE(Got && !*Got) << "what it knows is of an earlier term";
  EXPECT_EQ(Got->error().Code_, ErrorCode::NotLeader);
  const auto Granted = A_.send(makeReport());
  ASSERT_TRUE(Granted && !*Granted);
  EXPECT_EQ(Granted->error().Code_, ErrorCode::NotLeader);
  pass(milliseconds(200));
  EXPECT_EQ(announce(A_).Renewals_.size(), 1U) << "once it began anew";
}

TEST_F(LeadershipTest, ATermOfBeforeAnotherLeaderPlacesNothing) {
  registerServer();
  submit(A_, "j");
  Own_.Held_ = true;
  beat(A_, seconds(1));
  ASSERT_EQ(Own_.Open_.size(), 1U) << "the adoption";
  loseAndWinAgain(Own_, B_.Group_, A_.Group_);
  Own_.commit();
  A_.Strand_.run();
  Time_.advance(milliseconds(10)); // Before the next look at the term.
  A_.Strand_.run();
  EXPECT_EQ(Own_.Open_.size(), 0U);
  Own_.Held_ = false;
  beat(A_, seconds(20));
  EXPECT_EQ(state(), TaskState::Placed) << "once it began anew";
}

TEST_F(LeadershipTest, ATermOfBeforeAnotherFleetLeaderRenewsNoAssignment) {
  runTask();
  const auto Ask = [&] {
    Outcome<std::string> Got = fail(ErrorCode::Timeout, "");
    fleet::AssignmentReport Report;
    Report.DataCentre_ = DataCentreId("east");
    A_.Core_->handle(wire::MessageKind::AssignmentReport,
                     fleet::encodeReport(Report),
                     [&](Outcome<std::string> Reply) { Got = Reply; });
    A_.Strand_.run();
    return Got;
  };
  EXPECT_TRUE(Ask());
  loseAndWinAgain(All_, B_.FleetGroup_, A_.FleetGroup_);
  const Outcome<std::string> Got = Ask();
  ASSERT_FALSE(Got);
  EXPECT_EQ(Got.error().Code_, ErrorCode::NotLeader);
  pass(milliseconds(400));
  EXPECT_TRUE(Ask()) << "once it began anew";
}

TEST_F(LeadershipTest, ATermOfBeforeAnotherFleetLeaderAssignsNothing) {
  registerServer();
  const auto IsAssigned = [&](const char *Job) {
    return A_.Fleet_.findJob(JobId(Job))->Record_.Assignment_ != 0;
  };
  submit(A_, "j");
  ASSERT_TRUE(IsAssigned("j")) << "assigned at once";
  loseAndWinAgain(All_, B_.FleetGroup_, A_.FleetGroup_);
  submit(A_, "k");
  EXPECT_FALSE(IsAssigned("k"));
  beat(A_, seconds(30));
  EXPECT_TRUE(IsAssigned("k")) << "once it began anew";
}

TEST_F(LeadershipTest, ANewLeaderWaitsOutTheLeasesOfTheOldOne) {
  runTask();
  Held_.clear(); // The server lost it without a word.
  moveLeadership();
  announce(B_);
  pass(TestLeaseTtl - seconds(1));
  announce(B_);
  EXPECT_EQ(state(), TaskState::Placed);
  EXPECT_EQ(findTask(B_, "j")->Attempt_, AttemptNumber(1));
}

TEST_F(LeadershipTest, APlacementInLimboIsNotDoubledByTheNextLeader) {
  registerServer();
  submit(A_, "j");
  Own_.Held_ = true;
  beat(A_, seconds(1));
  Own_.commit(); // The adoption.
  beat(A_, milliseconds(500));
  ASSERT_EQ(Own_.Open_.size(), 1U) << "the placement is open";
  Own_.cutLeader();
  Own_.lead(&B_.Group_);
  Own_.Held_ = false;
  Own_.commit(); // It was committed after all.
  beat(B_, seconds(2));
  EXPECT_EQ(findTask(B_, "j")->Attempt_, AttemptNumber(1));
  EXPECT_EQ(Starts_[(TaskId{JobId("j"), 0})], 1);
}

TEST_F(LeadershipTest, AnEvictionSurvivesAChangeOfLeaderAndResumesOnce) {
  runTask();
  Held_[0].State_ = wire::AttemptState::Checkpointed;
  Held_[0].Checkpoint_ = "half";
  Own_.Held_ = true;
  announce(A_); // The end is proposed and stays open.
  moveLeadership();
  Own_.Held_ = false;
  announce(B_); // B learns of it from the inventory.
  EXPECT_EQ(findTask(B_, "j")->Evictions_, 1U);
  beat(B_, seconds(90)); // The task avoids the server for a while.
  EXPECT_EQ(findTask(B_, "j")->Attempt_, AttemptNumber(2));
  EXPECT_EQ(Resumed_, "half");
  EXPECT_EQ(Starts_[(TaskId{JobId("j"), 0})], 2);
}

TEST_F(LeadershipTest, OnlyOneProposalForATaskIsOpen) {
  runTask();
  Held_[0].State_ = wire::AttemptState::Finished;
  Own_.Held_ = true;
  for (int I = 0; I < 5; ++I) {
    announce(A_);
    pass(milliseconds(300));
  }
  EXPECT_EQ(Own_.Open_.size(), 1U);
}

TEST_F(LeadershipTest, NothingIsRenewedBeyondTheJobsAssignment) {
  runTask();
  // The fleet is out of reach for longer than the assignment's lease.
  All_.cutLeader();
  beat(A_, makeSettings("c1").AssignmentTtl_);
  const auto Reply = announce(A_);
  EXPECT_TRUE(Reply.Renewals_.empty());
  for (const wire::TaskCommand &Command : Reply.Commands_)
    EXPECT_NE(Command.Kind_, wire::TaskCommandKind::Start);
  EXPECT_EQ(state(), TaskState::Waiting) << "checkpointed before the end";
  EXPECT_EQ(findTask(A_, "j")->Checkpoint_, "half");
}

TEST_F(LeadershipTest, AServerThatDoesNotObeyIsNotRenewedBeyondItEither) {
  runTask();
  All_.cutLeader();
  Obeys_ = false;
  beat(A_, makeSettings("c1").AssignmentTtl_ - TestLeaseTtl);
  EXPECT_TRUE(announce(A_).Renewals_.empty());
}

TEST_F(LeadershipTest, AFleetLeaderThatMayBeReplacedRenewsNoAssignment) {
  registerServer();
  A_.FleetGroup_.LeaseHeld_ = false;
  submit(A_, "j");
  beat(A_, seconds(5));
  EXPECT_TRUE(Held_.empty()) << "not a start without an assignment's lease";
  A_.FleetGroup_.LeaseHeld_ = true;
  beat(A_, seconds(5));
  EXPECT_EQ(Held_.size(), 1U);
}

TEST_F(LeadershipTest, NothingIsPlacedOnASilentServer) {
  registerServer();
  pass(milliseconds(1300));
  submit(A_, "j");
  pass(seconds(1));
  EXPECT_EQ(state(), TaskState::Waiting);
  beat(A_, seconds(20));
  EXPECT_EQ(state(), TaskState::Placed) << "but once it is heard again";
}

TEST_F(LeadershipTest, WhatTheStateHeldAlreadyIsNotToldTwice) {
  runTask();
  moveLeadership();
  const datacentre::Command Adopted = datacentre::AdoptJob{};
  const datacentre::CommandResult Result;
  datacentre::Change Waiting;
  Waiting.Kind_ = datacentre::ChangeKind::TaskWaiting;
  Waiting.Task_ = TaskId{JobId("j"), 0};
  Waiting.Attempt_ = AttemptNumber(1);
  // As if it had been applied between the feed's opening and the reading.
  B_.Feed_.publish({1, 2, Adopted, Result, {Waiting}});
  EXPECT_EQ(Json::parse(B_.call("GET", "/dump").Body_)["waitingTasks"], 0);
}

TEST_F(LeadershipTest, AnEntrysNextLifeEndsWhatTheLastOneHadBegun) {
  wire::EntryReport Report = makeReport();
  Report.Incarnation_ = 1;
  A_.send(Report);
  wire::BeginRequest Begin;
  Begin.Key_ = RequestKey("k");
  Begin.Digest_ = Digest("d");
  Begin.Entry_ = EntryId("e1");
  Begin.EntryIncarnation_ = 1;
  EXPECT_EQ(A_.send(Begin)->value().Disposition_,
            wire::RequestDisposition::Run);
  Report.Incarnation_ = 2;
  Own_.Held_ = true;
  for (int I = 0; I < 200; ++I) {
    A_.send(Report);
    pass(milliseconds(500));
  }
  EXPECT_EQ(Own_.Open_.size(), 1U) << "proposed once while it is open";
  Own_.Held_ = false;
  Own_.commit();
  Begin.EntryIncarnation_ = 2;
  EXPECT_EQ(A_.send(Begin)->value().Disposition_,
            wire::RequestDisposition::Unknown);
}

TEST_F(LeadershipTest, ABeginIsAnsweredOnlyOnceItIsCommitted) {
  wire::BeginRequest Begin;
  Begin.Key_ = RequestKey("k");
  Begin.Digest_ = Digest("d");
  Own_.Held_ = true;
  EXPECT_FALSE(A_.send(Begin).has_value());
  EXPECT_EQ(Own_.Open_.size(), 1U);
}

TEST_F(LeadershipTest, AReportIsAnsweredWithTheBundleOnlyIfItIsOlder) {
  const std::string Text = fleet::test::makeBundleText(1, 0, "", 1, 1);
  A_.FleetGroup_.propose(
      fleet::encodeCommand(fleet::test::makeProposal(Text, 1)),
      [](const auto &) {});
  wire::EntryReport Report = makeReport();
  const auto First = A_.send(Report);
  ASSERT_TRUE(First && *First && First->value().Bundle_);
  EXPECT_EQ(First->value().Bundle_->Text_, Text);
  Report.Held_ = BundleVersion(1);
  const auto Second = A_.send(Report);
  EXPECT_FALSE(Second->value().Bundle_);
  EXPECT_EQ(Second->value().InForce_, BundleVersion(1));
  const Json Status = Json::parse(A_.call("GET", "/bundles/status").Body_);
  EXPECT_EQ(Status["controls"][0]["entries"][0]["version"], 1);
}

TEST_F(LeadershipTest, ASilentServerLeavesTheRoutesWithinTwoSeconds) {
  announce(A_);
  wire::EntryReport Report = makeReport();
  const auto Routes = [&] {
    Report.RoutesHeld_ = 0;
    const auto Got = A_.send(Report);
    return Got->value().Routes_.value_or(std::vector<wire::Route>()).size();
  };
  pass(milliseconds(500));
  EXPECT_EQ(Routes(), 1U);
  pass(milliseconds(1000)); // Two seconds less an entry's own period.
  EXPECT_EQ(Routes(), 0U);
  announce(A_);
  EXPECT_EQ(Routes(), 1U) << "and is back with its next announcement";
}

TEST_F(LeadershipTest, AbsurdAndForeignAnnouncementsAreRefused) {
  const auto Refused = [&](auto Change) {
    wire::Announcement Value = makeAnnouncement();
    Change(Value);
    const auto Got = A_.send(Value);
    return Got && !*Got && Got->error().Code_ == ErrorCode::InvalidArgument;
  };
  EXPECT_TRUE(Refused([](auto &V) { V.DataCentre_ = DataCentreId("west"); }));
  EXPECT_TRUE(Refused([](auto &V) { V.Capacity_.MemoryMib_ = -1; }));
  EXPECT_TRUE(Refused([](auto &V) { V.Capacity_.MilliCpus_ = INT64_MAX; }));
  EXPECT_TRUE(Refused([](auto &V) { V.Slots_ = UINT32_MAX; }));
  EXPECT_TRUE(Refused([](auto &V) { V.Server_ = BackendServerId(""); }));
  EXPECT_TRUE(Refused([](auto &V) { V.Address_ = "nowhere"; }));
  EXPECT_TRUE(Refused([](auto &V) { V.Services_.resize(5000); }));
  EXPECT_FALSE(Refused([](auto &) {}));
}
