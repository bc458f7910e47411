//===- LeadershipTest.cpp - Leases, placements, leader changes -----------===//

#include "control/ControlCluster.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;
using namespace tulipweir::control::test;
using datacentre::TaskState;

namespace {
class LeadershipTest : public testing::Test, protected ControlCluster {
protected:
  /// Runs one task of job j on s1 with A as the leader.
  void runTask() {
    registerServer();
    submit(A_, "j");
    advanceWithHeartbeats(A_, seconds(1));
    ASSERT_EQ(HeldAttempts_.size(), 1U);
    ASSERT_EQ(announce(A_).Renewals_.size(), 1U);
  }
  /// Registers s1 and waits until the fleet's leader knows the data centre's
  /// load.
  void registerServer() { advanceWithHeartbeats(A_, seconds(4)); }
  void transferLeadership() {
    DataCentreLog_.disconnectLeader();
    DataCentreLog_.Pending_.clear();
    DataCentreLog_.lead(&B_.Group_);
    advanceTime(milliseconds(500));
  }
  /// Holds two elections between two polls of the winner's term.
  static void loseAndWinAgain(FakeLog &Log, FakeReplica &Other,
                              FakeReplica &Winner) {
    Log.lead(&Other);
    Log.lead(&Winner);
  }
  static wire::EntryReport makeReport() {
    wire::EntryReport Report;
    Report.Entry_ = EntryId("e1");
    return Report;
  }
  TaskState getState(const std::string &Job = "j") {
    return findTask(A_, Job)->State_;
  }
};
} // namespace

TEST_F(LeadershipTest, AnnouncementBeforeRegistrationStartsNothing) {
  DataCentreLog_.HoldCommits_ = true;
  EXPECT_TRUE(announce(A_).Commands_.empty());
  EXPECT_TRUE(announce(A_).Commands_.empty());
  EXPECT_EQ(DataCentreLog_.Pending_.size(), 1U)
      << "one registration is proposed";
  DataCentreLog_.HoldCommits_ = false;
  DataCentreLog_.commit();
  A_.Machine_.withState(
      [](const auto &State) { EXPECT_EQ(State.servers().size(), 1U); });
}

TEST_F(LeadershipTest, FollowerRedirectsEveryCallToTheLeader) {
  const auto Received = B_.send(makeAnnouncement());
  ASSERT_TRUE(Received && !*Received);
  EXPECT_EQ(Received->error(), Error::make(ErrorCode::NotLeader, "c1"));
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

TEST_F(LeadershipTest, FinishedJobIsReportedAndDropped) {
  runTask();
  HeldAttempts_[0].State_ = wire::AttemptState::Finished;
  announce(A_);
  advanceUntilStable();
  EXPECT_EQ(A_.Fleet_.findJob(JobId("j"))->Record_.End_,
            fleet::JobEnd::Finished);
  EXPECT_EQ(findTask(A_, "j"), nullptr)
      << "dropped after the fleet recorded the end";
  announce(A_);
  EXPECT_TRUE(HeldAttempts_.empty())
      << "the server must be told to drop the attempt";
}

TEST_F(LeadershipTest, DeposedLeaderThatResumesRenewsAndStartsNothing) {
  runTask();
  submit(A_, "k");
  advanceTime(seconds(1));
  // A is paused while B is elected; A resumes without knowing of the election.
  A_.Group_.BelievesToLead_ = true;
  A_.Group_.BelievedTerm_ = DataCentreLog_.Term_;
  DataCentreLog_.lead(&B_.Group_);
  const auto Received = A_.send(makeAnnouncement());
  ASSERT_TRUE(Received && !*Received);
  EXPECT_EQ(Received->error().Code_, ErrorCode::NotLeader);
  const auto Granted = A_.send(makeReport());
  ASSERT_TRUE(Granted && !*Granted) << "must not grant slots either";
}

TEST_F(LeadershipTest, StaleTermRenewsAndGrantsNothing) {
  runTask();
  advanceTime(seconds(1));
  loseAndWinAgain(DataCentreLog_, B_.Group_, A_.Group_);
  const auto Received = A_.send(makeAnnouncement());
  ASSERT_TRUE(Received && !*Received) << "its state is of an earlier term";
  EXPECT_EQ(Received->error().Code_, ErrorCode::NotLeader);
  const auto Granted = A_.send(makeReport());
  ASSERT_TRUE(Granted && !*Granted);
  EXPECT_EQ(Granted->error().Code_, ErrorCode::NotLeader);
  advanceTime(milliseconds(200));
  EXPECT_EQ(announce(A_).Renewals_.size(), 1U)
      << "after it started the new term";
}

TEST_F(LeadershipTest, StaleTermPlacesNothing) {
  registerServer();
  submit(A_, "j");
  DataCentreLog_.HoldCommits_ = true;
  advanceWithHeartbeats(A_, seconds(1));
  ASSERT_EQ(DataCentreLog_.Pending_.size(), 1U) << "the adoption";
  loseAndWinAgain(DataCentreLog_, B_.Group_, A_.Group_);
  DataCentreLog_.commit();
  A_.Strand_.run();
  Time_.advance(milliseconds(10)); // Before the next poll of the term.
  A_.Strand_.run();
  EXPECT_EQ(DataCentreLog_.Pending_.size(), 0U);
  DataCentreLog_.HoldCommits_ = false;
  advanceWithHeartbeats(A_, seconds(20));
  EXPECT_EQ(getState(), TaskState::Placed) << "after it started the new term";
}

TEST_F(LeadershipTest, StaleFleetTermRenewsNoAssignment) {
  runTask();
  const auto SendReport = [&] {
    Outcome<std::string> Received = fail(ErrorCode::Timeout, "");
    fleet::AssignmentReport Report;
    Report.DataCentre_ = DataCentreId("east");
    A_.Core_->handle(wire::MessageKind::AssignmentReport,
                     fleet::encodeReport(Report),
                     [&](Outcome<std::string> Reply) { Received = Reply; });
    A_.Strand_.run();
    return Received;
  };
  EXPECT_TRUE(SendReport());
  loseAndWinAgain(FleetLog_, B_.FleetGroup_, A_.FleetGroup_);
  const Outcome<std::string> Received = SendReport();
  ASSERT_FALSE(Received);
  EXPECT_EQ(Received.error().Code_, ErrorCode::NotLeader);
  advanceTime(milliseconds(400));
  EXPECT_TRUE(SendReport()) << "after it started the new term";
}

TEST_F(LeadershipTest, StaleFleetTermAssignsNothing) {
  registerServer();
  const auto IsAssigned = [&](const char *Job) {
    return A_.Fleet_.findJob(JobId(Job))->Record_.Assignment_ != 0;
  };
  submit(A_, "j");
  ASSERT_TRUE(IsAssigned("j")) << "assigned at once";
  loseAndWinAgain(FleetLog_, B_.FleetGroup_, A_.FleetGroup_);
  submit(A_, "k");
  EXPECT_FALSE(IsAssigned("k"));
  advanceWithHeartbeats(A_, seconds(30));
  EXPECT_TRUE(IsAssigned("k")) << "after it started the new term";
}

TEST_F(LeadershipTest, NewLeaderWaitsForOldLeasesToExpire) {
  runTask();
  HeldAttempts_.clear(); // The server lost the task without reporting it.
  transferLeadership();
  announce(B_);
  advanceTime(TestLeaseTtl - seconds(1));
  announce(B_);
  EXPECT_EQ(getState(), TaskState::Placed);
  EXPECT_EQ(findTask(B_, "j")->Attempt_, AttemptNumber(1));
}

TEST_F(LeadershipTest, UncertainPlacementIsNotRepeatedByTheNextLeader) {
  registerServer();
  submit(A_, "j");
  DataCentreLog_.HoldCommits_ = true;
  advanceWithHeartbeats(A_, seconds(1));
  DataCentreLog_.commit(); // Commits the adoption.
  advanceWithHeartbeats(A_, milliseconds(500));
  ASSERT_EQ(DataCentreLog_.Pending_.size(), 1U) << "the placement is open";
  DataCentreLog_.disconnectLeader();
  DataCentreLog_.lead(&B_.Group_);
  DataCentreLog_.HoldCommits_ = false;
  DataCentreLog_.commit(); // The placement is committed after all.
  advanceWithHeartbeats(B_, seconds(2));
  EXPECT_EQ(findTask(B_, "j")->Attempt_, AttemptNumber(1));
  EXPECT_EQ(Starts_[(TaskId{JobId("j"), 0})], 1);
}

TEST_F(LeadershipTest, EvictionSurvivesALeaderChangeAndResumesOnce) {
  runTask();
  HeldAttempts_[0].State_ = wire::AttemptState::Checkpointed;
  HeldAttempts_[0].Checkpoint_ = "half";
  DataCentreLog_.HoldCommits_ = true;
  announce(A_); // The end of the attempt is proposed and stays open.
  transferLeadership();
  DataCentreLog_.HoldCommits_ = false;
  announce(B_); // B learns of the end from the server's announcement.
  EXPECT_EQ(findTask(B_, "j")->Evictions_, 1U);
  advanceWithHeartbeats(
      B_,
      seconds(90)); // The task avoids the server for some time.
  EXPECT_EQ(findTask(B_, "j")->Attempt_, AttemptNumber(2));
  EXPECT_EQ(ResumeCheckpoint_, "half");
  EXPECT_EQ(Starts_[(TaskId{JobId("j"), 0})], 2);
}

TEST_F(LeadershipTest, KeepsAtMostOneOpenProposalPerTask) {
  runTask();
  HeldAttempts_[0].State_ = wire::AttemptState::Finished;
  DataCentreLog_.HoldCommits_ = true;
  for (int I = 0; I < 5; ++I) {
    announce(A_);
    advanceTime(milliseconds(300));
  }
  EXPECT_EQ(DataCentreLog_.Pending_.size(), 1U);
}

TEST_F(LeadershipTest, RenewsNoLeaseBeyondTheAssignment) {
  runTask();
  // The fleet is unreachable for longer than the assignment's lease.
  FleetLog_.disconnectLeader();
  advanceWithHeartbeats(A_, makeSettings("c1").AssignmentTtl_);
  const auto Reply = announce(A_);
  EXPECT_TRUE(Reply.Renewals_.empty());
  for (const wire::TaskCommand &Command : Reply.Commands_)
    EXPECT_NE(Command.Kind_, wire::TaskCommandKind::Start);
  EXPECT_EQ(getState(), TaskState::Waiting) << "checkpointed before the end";
  EXPECT_EQ(findTask(A_, "j")->Checkpoint_, "half");
}

TEST_F(LeadershipTest, DisobedientServerIsNotRenewedBeyondTheAssignment) {
  runTask();
  FleetLog_.disconnectLeader();
  ExecutesCommands_ = false;
  advanceWithHeartbeats(A_, makeSettings("c1").AssignmentTtl_ - TestLeaseTtl);
  EXPECT_TRUE(announce(A_).Renewals_.empty());
}

TEST_F(LeadershipTest, FleetLeaderWithoutALeaseRenewsNoAssignment) {
  registerServer();
  A_.FleetGroup_.LeaseHeld_ = false;
  submit(A_, "j");
  advanceWithHeartbeats(A_, seconds(5));
  EXPECT_TRUE(HeldAttempts_.empty())
      << "must not start without an assignment lease";
  A_.FleetGroup_.LeaseHeld_ = true;
  advanceWithHeartbeats(A_, seconds(5));
  EXPECT_EQ(HeldAttempts_.size(), 1U);
}

TEST_F(LeadershipTest, PlacesNothingOnASilentServer) {
  registerServer();
  advanceTime(milliseconds(1300));
  submit(A_, "j");
  advanceTime(seconds(1));
  EXPECT_EQ(getState(), TaskState::Waiting);
  advanceWithHeartbeats(A_, seconds(20));
  EXPECT_EQ(getState(), TaskState::Placed)
      << "must be placed once the server is reachable";
}

TEST_F(LeadershipTest, IgnoresChangesAlreadyInTheInitialState) {
  runTask();
  transferLeadership();
  const datacentre::Command Adopted = datacentre::AdoptJob{};
  const datacentre::CommandResult Result;
  datacentre::Change Waiting;
  Waiting.Kind_ = datacentre::ChangeKind::TaskWaiting;
  Waiting.Task_ = TaskId{JobId("j"), 0};
  Waiting.Attempt_ = AttemptNumber(1);
  // Simulates a change that was applied between opening the feed and reading
  // the state.
  B_.Feed_.publish({1, 2, Adopted, Result, {Waiting}});
  EXPECT_EQ(Json::parse(B_.call("GET", "/dump").Body_)["waitingTasks"], 0);
}

TEST_F(LeadershipTest, NewEntryIncarnationEndsRequestsOfTheEarlierOne) {
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
  DataCentreLog_.HoldCommits_ = true;
  for (int I = 0; I < 200; ++I) {
    A_.send(Report);
    advanceTime(milliseconds(500));
  }
  EXPECT_EQ(DataCentreLog_.Pending_.size(), 1U)
      << "proposed once while it is open";
  DataCentreLog_.HoldCommits_ = false;
  DataCentreLog_.commit();
  Begin.EntryIncarnation_ = 2;
  EXPECT_EQ(A_.send(Begin)->value().Disposition_,
            wire::RequestDisposition::Unknown);
}

TEST_F(LeadershipTest, BeginIsAnsweredOnlyAfterCommit) {
  wire::BeginRequest Begin;
  Begin.Key_ = RequestKey("k");
  Begin.Digest_ = Digest("d");
  DataCentreLog_.HoldCommits_ = true;
  EXPECT_FALSE(A_.send(Begin).has_value());
  EXPECT_EQ(DataCentreLog_.Pending_.size(), 1U);
}

TEST_F(LeadershipTest, ReportGetsTheBundleOnlyIfItsOwnIsOlder) {
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

TEST_F(LeadershipTest, SilentServerLeavesTheRoutesWithinTwoSeconds) {
  announce(A_);
  wire::EntryReport Report = makeReport();
  const auto Routes = [&] {
    Report.RoutesHeld_ = 0;
    const auto Received = A_.send(Report);
    return Received->value()
        .Routes_.value_or(std::vector<wire::Route>())
        .size();
  };
  advanceTime(milliseconds(500));
  EXPECT_EQ(Routes(), 1U);
  advanceTime(milliseconds(
      1000)); // Two seconds minus the reporting interval of an entry.
  EXPECT_EQ(Routes(), 0U);
  announce(A_);
  EXPECT_EQ(Routes(), 1U) << "must return with the next announcement";
}

TEST_F(LeadershipTest, RefusesInvalidAndForeignAnnouncements) {
  const auto Refused = [&](auto Change) {
    wire::Announcement Value = makeAnnouncement();
    Change(Value);
    const auto Received = A_.send(Value);
    return Received && !*Received &&
           Received->error().Code_ == ErrorCode::InvalidArgument;
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
