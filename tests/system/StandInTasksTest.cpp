// The stand-in is what the proofs count with, so it is tested itself: leases,
// fencing tokens, checkpoints, and that it takes no answer without its fields.

#include "standin/StandInJson.h"
#include "standin/TaskTable.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::standin;
using std::chrono::milliseconds;
using wire::AttemptState;
using wire::TaskCommandKind;

static const TaskId Task{JobId("rebill"), 0};

/// A table with a clock and leases of one second.
class StandInTasks : public testing::Test {
protected:
  wire::TaskCommand makeCommand(TaskCommandKind Kind, std::uint64_t Attempt,
                                FencingToken Token,
                                const std::string &Checkpoint = "") {
    wire::TaskCommand Command;
    Command.Kind_ = Kind;
    Command.Task_ = Task;
    Command.Attempt_ = AttemptNumber(Attempt);
    Command.Token_ = Token;
    Command.Payload_ = R"({"workMs":3000})";
    Command.Checkpoint_ = Checkpoint;
    Command.Reservation_ = Resources::makeFor(1000, 100);
    return Command;
  }
  std::vector<TaskEvent> obey(const wire::TaskCommand &Command) {
    return Table_.apply({1000, 500, {Command}, {}}, Clock_.now(), Clock_.now());
  }
  std::vector<TaskEvent> renew(FencingToken Token, TimePoint SentAt) {
    return Table_.apply({1000, 500, {}, {{Task, AttemptNumber(1), Token}}},
                        SentAt, Clock_.now());
  }
  std::vector<TaskEvent> passTime(milliseconds By) {
    Clock_.advance(By);
    return Table_.tick(Clock_.now());
  }
  AttemptState getState() {
    return Table_.getInventory(Clock_.now()).at(0).State_;
  }

  ManualClock Clock_;
  TaskTable Table_{{Resources::makeFor(4000, 1000)}};
  const FencingToken Token_{2, 7};
};

TEST_F(StandInTasks, StopWhenTheirLeaseRunsOut) {
  obey(makeCommand(TaskCommandKind::Start, 1, Token_));
  EXPECT_TRUE(passTime(milliseconds(999)).empty());
  std::vector<TaskEvent> Events = passTime(milliseconds(5000));
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].State_, AttemptState::Stopped);
  // It ran no longer than its lease, however late that was noticed.
  EXPECT_EQ(Events[0].At_, Clock_.now() - milliseconds(4999));
}

TEST_F(StandInTasks, RunOnWhileRenewedFromWhenTheAnnouncementWasSent) {
  obey(makeCommand(TaskCommandKind::Start, 1, Token_));
  passTime(milliseconds(900));
  renew(Token_, Clock_.now() - milliseconds(400));
  EXPECT_TRUE(passTime(milliseconds(599)).empty());
  EXPECT_EQ(passTime(milliseconds(2)).size(), 1U);
}

TEST_F(StandInTasks, AreNotRevivedByALateRenewal) {
  obey(makeCommand(TaskCommandKind::Start, 1, Token_));
  Clock_.advance(milliseconds(1001));
  std::vector<TaskEvent> Events = renew(Token_, Clock_.now());
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(getState(), AttemptState::Stopped);
}

TEST_F(StandInTasks, RefuseASupersededToken) {
  obey(makeCommand(TaskCommandKind::Start, 2, Token_));
  for (TaskCommandKind Kind :
       {TaskCommandKind::Start, TaskCommandKind::Stop,
        TaskCommandKind::Checkpoint, TaskCommandKind::Throttle}) {
    std::vector<TaskEvent> Events = obey(makeCommand(Kind, 1, {2, 6}));
    ASSERT_EQ(Events.size(), 1U);
    EXPECT_EQ(Events[0].Kind_, TaskEvent::Kind::Refused);
  }
  EXPECT_EQ(getState(), AttemptState::Running);
}

TEST_F(StandInTasks, StartOnceHoweverOftenTheyAreCommanded) {
  wire::TaskCommand Start = makeCommand(TaskCommandKind::Start, 1, Token_);
  EXPECT_EQ(obey(Start).size(), 1U);
  EXPECT_TRUE(obey(Start).empty());
  obey(makeCommand(TaskCommandKind::Stop, 1, Token_));
  EXPECT_TRUE(obey(Start).empty());
  EXPECT_EQ(getState(), AttemptState::Stopped);
}

TEST_F(StandInTasks, DoNotStartWhenTheirLeaseIsOverOnArrival) {
  TimePoint SentAt = Clock_.now() - milliseconds(1000);
  std::vector<TaskEvent> Events = Table_.apply(
      {1000, 500, {makeCommand(TaskCommandKind::Start, 1, Token_)}, {}}, SentAt,
      Clock_.now());
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].Kind_, TaskEvent::Kind::Refused);
}

TEST_F(StandInTasks, ResumeFromTheCheckpointOfAnEviction) {
  obey(makeCommand(TaskCommandKind::Start, 1, Token_));
  passTime(milliseconds(800));
  obey(makeCommand(TaskCommandKind::Checkpoint, 1, Token_));
  std::vector<TaskEvent> Events = passTime(milliseconds(60));
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].State_, AttemptState::Checkpointed);
  EXPECT_EQ(Events[0].Checkpoint_, R"({"doneMs":860})");
  obey(makeCommand(TaskCommandKind::Start, 2, {2, 9}, R"({"doneMs":2500})"));
  Events = passTime(milliseconds(500));
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].State_, AttemptState::Finished);
}

TEST_F(StandInTasks, WorkSlowerWhileThrottled) {
  obey(makeCommand(TaskCommandKind::Start, 1, Token_, R"({"doneMs":2900})"));
  wire::TaskCommand Throttle =
      makeCommand(TaskCommandKind::Throttle, 1, Token_);
  Throttle.ThrottlePercent_ = 25;
  obey(Throttle);
  EXPECT_TRUE(passTime(milliseconds(390)).empty());
  EXPECT_EQ(passTime(milliseconds(10)).size(), 1U);
}

TEST_F(StandInTasks, KeepAnEndUntilItWasDelivered) {
  Table_.setFailing(true);
  obey(makeCommand(TaskCommandKind::Start, 1, Token_));
  passTime(milliseconds(1));
  EXPECT_TRUE(Table_.hasUndelivered());
  passTime(std::chrono::hours(1));
  EXPECT_EQ(getState(), AttemptState::Failed);
  Table_.noteDelivered(Table_.getInventory(Clock_.now()), Clock_.now());
  EXPECT_FALSE(Table_.hasUndelivered());
  passTime(std::chrono::minutes(1));
  EXPECT_TRUE(Table_.getInventory(Clock_.now()).empty());
}

TEST_F(StandInTasks, TellOfAnOverfullServer) {
  wire::TaskCommand Start = makeCommand(TaskCommandKind::Start, 1, Token_);
  Start.Reservation_ = Resources::makeFor(4000, 1001);
  std::vector<TaskEvent> Events = obey(Start);
  ASSERT_EQ(Events.size(), 2U);
  EXPECT_EQ(Events[0].Kind_, TaskEvent::Kind::Overfull);
}

TEST(StandInJson, RefusesAnAnswerWithoutItsFields) {
  const std::string Whole =
      R"({"leaseTtlMs":1000,"heartbeatMs":500,"commands":[],"renewals":[]})";
  EXPECT_TRUE(readReply(Whole).has_value());
  for (const char *Bad :
       {"", "[]", R"({"leaseTtlMs":1000,"heartbeatMs":500,"commands":[]})",
        R"({"leaseTtlMs":1,"heartbeatMs":5,"renewals":[],"commands":[{}]})"})
    EXPECT_EQ(readReply(Bad).error().Code_, ErrorCode::Malformed) << Bad;
}
