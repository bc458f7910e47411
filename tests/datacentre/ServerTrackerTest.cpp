//===- ServerTrackerTest.cpp ----------------------------------------------===//

#include "tulipweir/datacentre/ServerTracker.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;
using wire::AttemptState;
using wire::TaskCommandKind;

class ServerTrackerTest : public testing::Test {
protected:
  ServerTrackerTest() {
    apply(AdoptJob{{Task_.Job_, TeamId("t"), JobClassId("c"), 1, 2, Resources{},
                    "payload", 9},
                   1,
                   ""});
  }

  CommandResult apply(const Command &Value) {
    std::vector<Change> Changes;
    CommandResult Result = State_.apply(Value, 1, ++Index_, &Changes);
    for (const Change &Applied : Changes)
      Tracker_.onChange(Applied);
    Tracker_.onProposalDone(Value);
    return Result;
  }
  /// Sends an announcement. Applies the resulting proposals if Apply is set.
  AnnouncementResult announce(bool Apply = true) {
    ++Announcement_.Sequence_;
    return resend(Apply);
  }
  AnnouncementResult resend(bool Apply = true) {
    auto Result = Tracker_.onAnnouncement(Announcement_, State_, {Now_, true});
    EXPECT_TRUE(Result.has_value());
    if (Apply)
      for (const Command &Proposal : Result.value().Proposals_)
        apply(Proposal);
    return std::move(Result).value();
  }
  void place(std::uint64_t Attempt = 1) {
    const CommandResult Result =
        apply(PlaceTask{Task_, AttemptNumber(Attempt), Announcement_.Server_,
                        Announcement_.Boot_, Resources::makeFor(1, 1)});
    ASSERT_EQ(Result.Error_, "") << Result.Message_;
    Token_ = Result.Token_;
  }
  void reportAttempt(AttemptState State, const std::string &Checkpoint = "") {
    Announcement_.Attempts_ = {{Task_, State_.findTask(Task_)->Attempt_, Token_,
                                State, Checkpoint, "", Resources{}, 0, 0}};
  }
  /// Registers the server, then places and starts the task and reports it as
  /// running.
  void startRunning() {
    announce();
    place();
    ASSERT_EQ(announce().Reply_.Commands_.size(), 1u);
    reportAttempt(AttemptState::Running);
    ASSERT_EQ(announce().Reply_.Renewals_.size(), 1u);
  }
  static std::vector<TaskCommandKind>
  listKinds(const AnnouncementResult &Result) {
    std::vector<TaskCommandKind> Kinds;
    for (const wire::TaskCommand &Command : Result.Reply_.Commands_)
      Kinds.push_back(Command.Kind_);
    return Kinds;
  }
  using Kinds = std::vector<TaskCommandKind>;

  const TaskId Task_{JobId("j"), 0};
  const ServerTrackerSettings Settings_;
  DataCentreState State_{RecordLimits{}};
  std::uint64_t Index_ = 0;
  TimePoint Now_{std::chrono::hours(1)};
  ServerTracker Tracker_{Settings_, 1, Now_, State_};
  FencingToken Token_;
  wire::Announcement Announcement_{BackendServerId("s"),
                                   BootId("b"),
                                   DataCentreId("d"),
                                   RackId("r"),
                                   "a",
                                   Resources::makeFor(9, 9),
                                   {},
                                   8,
                                   8,
                                   false,
                                   0,
                                   {},
                                   {}};
};

TEST_F(ServerTrackerTest, RegistersOnceAndAgainOnlyWhenChanged) {
  EXPECT_EQ(announce(false).Proposals_.size(), 1u);
  EXPECT_EQ(announce(false).Proposals_.size(), 0u);
  Announcement_.Slots_ = 16;
  EXPECT_EQ(announce().Proposals_.size(), 1u);
  EXPECT_EQ(announce().Proposals_.size(), 0u);
}

TEST_F(ServerTrackerTest, RepeatsAStartUntilItIsReportedAndThenRenews) {
  announce();
  place();
  for (int I = 0; I < 2; ++I) {
    const AnnouncementResult Result = announce();
    ASSERT_EQ(listKinds(Result), Kinds{TaskCommandKind::Start});
    EXPECT_EQ(Result.Reply_.Commands_[0].Token_, Token_);
    EXPECT_EQ(Result.Reply_.Commands_[0].Payload_, "payload");
  }
  reportAttempt(AttemptState::Running);
  EXPECT_EQ(listKinds(announce()), Kinds{});
}

TEST_F(ServerTrackerTest, WithoutLeadershipNothingIsStartedOrRenewed) {
  announce();
  place();
  ++Announcement_.Sequence_;
  const auto Result =
      Tracker_.onAnnouncement(Announcement_, State_, {Now_, false});
  ASSERT_FALSE(Result.has_value());
  EXPECT_EQ(Result.error().Code_, ErrorCode::NotLeader);
}

TEST_F(ServerTrackerTest, StaleAndRepeatedAnnouncementsChangeNothing) {
  startRunning();
  Announcement_.Attempts_.clear();
  for (int Back : {0, 1}) {
    Announcement_.Sequence_ -= Back;
    const AnnouncementResult Result = resend();
    EXPECT_FALSE(Result.IsNewest_);
    EXPECT_TRUE(Result.Reply_.Commands_.empty());
    EXPECT_TRUE(Result.Proposals_.empty());
  }
}

TEST_F(ServerTrackerTest, ProposesAReportedEndOnceUntilTheProposalIsResolved) {
  startRunning();
  reportAttempt(AttemptState::Checkpointed, "here");
  const AnnouncementResult First = announce(false);
  ASSERT_EQ(First.Proposals_.size(), 1u);
  EXPECT_TRUE(announce(false).Proposals_.empty());
  Tracker_.onProposalDone(First.Proposals_[0]); // The proposal was lost.
  ASSERT_EQ(announce().Proposals_.size(), 1u);
  const TaskRecord &Record = *State_.findTask(Task_);
  EXPECT_EQ(Record.State_, TaskState::Waiting);
  EXPECT_EQ(Record.Checkpoint_, "here");
  EXPECT_EQ(Record.Evictions_, 1u);
  // The server may forget the attempt now.
  EXPECT_EQ(listKinds(announce()), Kinds{TaskCommandKind::Stop});
}

TEST_F(ServerTrackerTest, ResumesFromTheLastReportedCheckpoint) {
  startRunning();
  reportAttempt(AttemptState::Running, "latest");
  announce();
  Now_ += std::chrono::seconds(10);
  for (const Command &Proposal : Tracker_.onTick(State_, Now_))
    apply(Proposal);
  EXPECT_EQ(State_.findTask(Task_)->Losses_, 1u);
  Announcement_.Attempts_.clear();
  announce();
  place(2);
  const AnnouncementResult Result = announce();
  ASSERT_EQ(listKinds(Result), Kinds{TaskCommandKind::Start});
  EXPECT_EQ(Result.Reply_.Commands_[0].Checkpoint_, "latest");
}

TEST_F(ServerTrackerTest, RequestsCheckpointsAndRepeatsThrottling) {
  startRunning();
  const AttemptNumber First(1);
  Tracker_.attempts().setThrottle(Task_, First, 40);
  EXPECT_EQ(listKinds(announce()), Kinds{TaskCommandKind::Throttle});
  EXPECT_EQ(announce().Reply_.Commands_[0].ThrottlePercent_, 40u);
  Tracker_.attempts().setThrottle(Task_, First, 100);
  EXPECT_EQ(announce().Reply_.Commands_[0].ThrottlePercent_, 100u);
  for (int I = 0; I < 10; ++I)
    announce();
  EXPECT_EQ(listKinds(announce()), Kinds{});
  Tracker_.attempts().requestCheckpoint(Task_, First);
  const AnnouncementResult Result = announce();
  EXPECT_EQ(listKinds(Result), Kinds{TaskCommandKind::Checkpoint});
  EXPECT_EQ(Result.Reply_.Renewals_.size(), 1u);
}

TEST_F(ServerTrackerTest, StopsACancelledJobAndEndsItOnTheReport) {
  startRunning();
  apply(CancelJob{Task_.Job_});
  const AnnouncementResult Result = announce();
  EXPECT_EQ(listKinds(Result), Kinds{TaskCommandKind::Stop});
  EXPECT_TRUE(Result.Reply_.Renewals_.empty());
  reportAttempt(AttemptState::Stopped);
  announce();
  EXPECT_EQ(State_.findTask(Task_)->State_, TaskState::Cancelled);
}

TEST_F(ServerTrackerTest, ADrainingServerStartsNothingAndIsNotRoutable) {
  announce();
  place();
  EXPECT_TRUE(
      Tracker_.isRoutable(*State_.findServer(Announcement_.Server_), Now_));
  Announcement_.Draining_ = true;
  const AnnouncementResult Result = announce(false);
  EXPECT_TRUE(listKinds(Result).empty());
  EXPECT_FALSE(
      Tracker_.isRoutable(*State_.findServer(Announcement_.Server_), Now_))
      << "immediately, not only after the commit";
  for (const Command &Proposal : Result.Proposals_)
    apply(Proposal);
  EXPECT_EQ(State_.findTask(Task_)->State_, TaskState::Waiting);
}

TEST_F(ServerTrackerTest, ASilentServerLeavesRoutingWithinTwoSeconds) {
  announce();
  const ServerRecord &Server = *State_.findServer(Announcement_.Server_);
  const Duration EntryReport = milliseconds(500);
  Now_ += std::chrono::seconds(2) - EntryReport;
  EXPECT_FALSE(Tracker_.isRoutable(Server, Now_));
  announce();
  EXPECT_TRUE(Tracker_.isRoutable(Server, Now_));
}

TEST_F(ServerTrackerTest, SilentServersWithoutAttemptsAreForgotten) {
  announce();
  Now_ += Settings_.ForgetAfter_;
  const auto Proposals = Tracker_.onTick(State_, Now_);
  ASSERT_EQ(Proposals.size(), 1u);
  EXPECT_TRUE(Tracker_.onTick(State_, Now_).empty()) << "proposed only once";
  apply(Proposals[0]);
  EXPECT_TRUE(State_.servers().empty());
}

TEST_F(ServerTrackerTest, AnotherBootIsRegisteredAfterSilenceAndLeaseExpiry) {
  startRunning();
  Announcement_.Attempts_.clear();
  Announcement_.Boot_ = BootId("b2");
  Announcement_.Sequence_ = 0;
  EXPECT_FALSE(announce(false).IsNewest_)
      << "the other boot sent a recent announcement";
  Now_ += Settings_.SilentAfter_;
  EXPECT_TRUE(announce(false).Proposals_.empty())
      << "the lease of its attempt has not expired";
  Now_ += Settings_.Leases_.getMaxRunTime();
  EXPECT_EQ(announce().Proposals_.size(), 1u);
  EXPECT_EQ(State_.findTask(Task_)->Losses_, 1u);
}

TEST_F(ServerTrackerTest, ABootIsNotServedWhileAnotherIsBeingRegistered) {
  announce();
  place(); // The attempt was never started, so it cannot run.
  const wire::Announcement Old = Announcement_;
  Announcement_.Boot_ = BootId("b2");
  Announcement_.Sequence_ = 0;
  Now_ += Settings_.SilentAfter_;
  ASSERT_EQ(announce(false).Proposals_.size(), 1u);
  Now_ += Settings_.SilentAfter_;
  Announcement_ = Old;
  EXPECT_TRUE(listKinds(announce(false)).empty())
      << "it would be started and then end as lost";
}

TEST_F(ServerTrackerTest, AnotherTrackerOfTheSameTermWaitsForEarlierLeases) {
  startRunning();
  ServerTracker Next(Settings_, 1, Now_, State_);
  EXPECT_TRUE(Next.onTick(State_, Now_ + Settings_.SilentAfter_).empty());
  EXPECT_EQ(
      Next.onTick(State_, Now_ + Settings_.Leases_.getMaxRunTime()).size(), 1u);
}
