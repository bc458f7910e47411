//===- ReportRelayTest.cpp - Reports that reach the leader by others ------===//

#include "jobservice/NodeCluster.h"
#include "jobservice/RelayFixture.h"
#include "jobservice/ReportGather.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using jobservice::test::makeReport;
using jobservice::test::ReportRelayTest;
using namespace std::chrono_literals;

TEST_F(ReportRelayTest, ReportsOfOneMomentGoInOneBatchAndGetTheirOwnAnswers) {
  for (const char *Id : {"a", "b", "c"})
    add(Id);
  Strand_.advance(20ms);
  ASSERT_EQ(Sent_.size(), 1U);
  answer();
  EXPECT_EQ(Token_["a"], 1U);
  EXPECT_EQ(Token_["b"], 2U);
  EXPECT_EQ(Token_["c"], 3U);
}

TEST_F(ReportRelayTest, ASlowLeaderGetsNoMoreThanItAnswersInTime) {
  // 400 servers come again as soon as they are answered; the leader answers
  // one batch every 100 ms, each 500 ms late.
  std::size_t MostOnTheWay = 0;
  for (int Round = 0; Round < 60; ++Round) {
    for (int I = 0; I < 400; ++I)
      if (Answered_[std::to_string(I)] == Asked_[std::to_string(I)])
        add(std::to_string(I));
    Strand_.advance(100ms);
    if (!Sent_.empty() && Time_.now() - Sent_.front().At_ >= 500ms)
      answer();
    std::size_t OnTheWay = 0;
    for (const Sent &Each : Sent_)
      OnTheWay += Each.Batch_.Reports_.size();
    if (Round >= 50)
      MostOnTheWay = std::max(MostOnTheWay, OnTheWay);
  }
  EXPECT_LT(MostOnTheWay, 200U);
  EXPECT_GT(MostOnTheWay, 0U);
}

TEST_F(ReportRelayTest, WhatWaitsTooLongIsToldToComeAgainAndThenGoesFirst) {
  fillWindow();
  add("late");
  Strand_.advance(2s);
  EXPECT_EQ(Answered_["late"], 1);
  EXPECT_TRUE(IsGood_["late"]);
  EXPECT_EQ(Token_["late"], 0U) << "nobody may promise anything";
  EXPECT_EQ(Lease_["late"], 0U);
  EXPECT_FALSE(Sent_.back().Batch_.HasDeferred_);
  add("fresh");
  add("late");
  while (!Sent_.empty())
    answer();
  Strand_.advance(20ms);
  ASSERT_FALSE(Sent_.empty());
  EXPECT_EQ(Sent_.back().Batch_.Reports_.at(0).Facts_.Id_, "late");
  EXPECT_TRUE(Sent_.back().Batch_.HasDeferred_) << "the leader must know";
}

TEST_F(ReportRelayTest, TheLeaderIsNotToldOfDeferralsThatAreLongOver) {
  fillWindow();
  while (!Sent_.empty())
    answer();
  Strand_.advance(5s);
  add("fresh");
  Strand_.advance(20ms);
  ASSERT_FALSE(Sent_.empty());
  EXPECT_FALSE(Sent_.back().Batch_.HasDeferred_);
}

TEST_F(ReportRelayTest, AServerThatLeavesIsNotToldThatThisIsKnown) {
  fillWindow();
  ServerReport Leaving = makeReport("leaving");
  Leaving.IsDraining_ = true;
  add(Leaving);
  Strand_.advance(2s);
  EXPECT_EQ(Answered_["leaving"], 1);
  EXPECT_FALSE(IsGood_["leaving"]);
}

TEST_F(ReportRelayTest, ALostBatchIsAnsweredWithItsErrorOnce) {
  add("a");
  add("b");
  Strand_.advance(20ms);
  Sent_.front().Done_(fail(ErrorCode::Unavailable, "lost"));
  EXPECT_EQ(Answered_["a"], 1);
  EXPECT_EQ(Answered_["b"], 1);
  EXPECT_FALSE(IsGood_["a"]);
}

TEST_F(ReportRelayTest, AnswersThatAreNotWholeAreNoAnswers) {
  add("a");
  Strand_.advance(20ms);
  Sent_.front().Done_(ReportBatchReply{});
  EXPECT_EQ(Answered_["a"], 1);
  EXPECT_FALSE(IsGood_["a"]);
}

TEST_F(ReportRelayTest, TheRelaysAreThoseThatTheLeaderNamedLast) {
  EXPECT_EQ(Relay_->pickFor("a"), "");
  add("a");
  Strand_.advance(20ms);
  answer({"x", "y", "z"});
  const std::string Own = Relay_->pickFor("a");
  EXPECT_NE(Own, "");
  EXPECT_EQ(Relay_->pickFor("a"), Own);
}

TEST(ReportRelayPick, ServersSpreadAndMoveOnlyWhenTheirRelayGoes) {
  const std::vector<std::string> All = {"w", "x", "y", "z"};
  const std::vector<std::string> Fewer = {"w", "x", "z"};
  std::map<std::string, int> Counts;
  for (int I = 0; I < 400; ++I) {
    const std::string Id = "i-" + std::to_string(I);
    const std::string Before = ReportRelay::pick(All, Id);
    ++Counts[Before];
    if (Before != "y") {
      EXPECT_EQ(ReportRelay::pick(Fewer, Id), Before);
    }
  }
  for (const std::string &Name : All)
    EXPECT_GT(Counts[Name], 50) << Name;
}

TEST(ReportGatherTest, AnswersGoTogetherWhenTheLastIsThere) {
  std::vector<ReportAnswer> Got;
  ReportGather Gather(2, TimePoint{}, [&Got](std::vector<ReportAnswer> All) {
    Got = std::move(All);
  });
  Gather.note(1, ServerOrders{});
  EXPECT_FALSE(Gather.isSent());
  Gather.note(0, fail(ErrorCode::NotLeader, "x"));
  ASSERT_TRUE(Gather.isSent());
  EXPECT_EQ(Got[0].Verdict_, ReportVerdict::NotLeader);
  EXPECT_EQ(Got[0].Text_, "x");
  EXPECT_EQ(Got[1].Verdict_, ReportVerdict::Answered);
}

TEST(ReportGatherTest, OneThatHangsDoesNotKeepTheOthers) {
  std::vector<ReportAnswer> Got;
  int Times = 0;
  ReportGather Gather(2, TimePoint{}, [&](std::vector<ReportAnswer> All) {
    Got = std::move(All);
    ++Times;
  });
  Gather.look(TimePoint{} + 2s);
  EXPECT_FALSE(Gather.isSent()) << "there is nothing to send yet";
  Gather.note(0, ServerOrders{});
  Gather.look(TimePoint{} + 2s);
  ASSERT_TRUE(Gather.isSent());
  EXPECT_EQ(Got[0].Verdict_, ReportVerdict::Answered);
  EXPECT_EQ(Got[1].Verdict_, ReportVerdict::Failed);
  Gather.note(1, ServerOrders{});
  EXPECT_EQ(Times, 1);
}

// Guards against answers that are sent after the leader's side has ended, as
// its disk failed, and still ask the leader.
TEST(ReportGatherTest, AnAnswerMayOutliveTheLeader) {
  ManualClock Time;
  jobs::test::ManualExecutor Strand(Time);
  JobStateMachine Machine;
  jobs::test::ManualReplica Group(Machine);
  NullAdvisor Advisor;
  NullVmProvider Provider;
  NoEventLog Log;
  NoJobMeter Meter;
  RelayFlush Flush(
      "me", Time, [] { return replication::ReplicaStatus(); },
      [](const std::string &, const FlushRequest &,
         const std::function<void()> &) {});
  auto Leader = std::make_unique<JobLeader>(JobLeaderSettings(), Time, Strand,
                                            Group, Machine, Advisor, Provider,
                                            Flush, Log, Meter);
  Leader->start();
  Strand.advance(100ms);
  Leader->putConfiguration(jobs::test::makeConfiguration(),
                           [](const Outcome<void> &) {});
  Strand.runAll();
  Group.IsHeld_ = true;
  ReportBatch Batch;
  Batch.Reports_ = {makeReport("late"), makeReport("new")};
  Batch.Reports_[1].Facts_ = jobs::test::makeServer("new");
  Batch.LateReports_ = 1;
  std::optional<ReportBatchReply> Got;
  const auto Gather =
      ReportGather::decide(std::move(Batch), *Leader, Flush, Time,
                           [&Got](ReportBatchReply Reply) { Got = Reply; });
  Strand.runAll();
  ASSERT_FALSE(Gather->isSent());
  Leader.reset();
  Gather->look(Time.now() + 1s);
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Answers_.size(), 2U);
}

TEST(ReportBatchTest, ABatchAndItsReplyTravelWhole) {
  ReportBatch Batch{{makeReport("a", 1ULL << 40), makeReport("b")},
                    true,
                    7,
                    {"b"},
                    "x",
                    70000,
                    1,
                    800};
  Batch.Reports_[0].Running_ = {{{"j", 1, 2, 3}, 4, "saved", 55, 66}};
  Batch.Reports_[0].Ended_ = {
      {7, {{"k", 0, 1, 2}, 3, RunOutcome::Failed, "c"}}};
  Batch.Reports_[1].IsDraining_ = true;
  Batch.Reports_[1].RemainingMs_ = 900;
  EXPECT_EQ(decodeReports(encodeReports(Batch)).value(), Batch);
  const FlushRequest Request{"me", 8, {"a", "b"}, true};
  EXPECT_EQ(decodeFlushRequest(encodeFlushRequest(Request)).value(), Request);
  EXPECT_FALSE(decodeFlushRequest("no sweep"));
  ReportBatchReply Reply;
  Reply.Relays_ = {"x"};
  Reply.AwaitingStop_ = {{"a", 1200}};
  ServerOrders Orders{1, 2, 3, 4, {}, {}, {}, ""};
  Orders.Starts_ = {{{"j", 0, 0, 1}, 2, "payload", "saved", "ticket"}};
  Orders.Stops_ = {{{"j", 0, 0, 2}, 3}};
  Orders.Paces_ = {{{"j", 0, 0, 3}, 4, 50}};
  Reply.Answers_ = {ReportAnswer::make(Orders),
                    ReportAnswer::make(fail(ErrorCode::Timeout, "why")),
                    ReportAnswer::make(fail(ErrorCode::InvalidArgument, "x"))};
  auto Back = decodeReportReply(encodeReportReply(Reply));
  ASSERT_EQ(Back.value(), Reply);
  // Whoever relays must know that the server, not the leader, is at fault.
  EXPECT_EQ(std::move(Back.value().Answers_[1]).toOutcome().error().Code_,
            ErrorCode::Unavailable);
  EXPECT_EQ(std::move(Back.value().Answers_[2]).toOutcome().error().Code_,
            ErrorCode::InvalidArgument);
  EXPECT_FALSE(decodeReports("no batch"));
}

namespace {

class RelayedReportsTest : public jobservice::test::NodeCluster {
protected:
  Outcome<ServerOrders> report(int Node, const ServerReport &Report) {
    std::promise<Outcome<ServerOrders>> Answer;
    Nodes_.at(Node)->report(Report, [&Answer](Outcome<ServerOrders> Got) {
      Answer.set_value(std::move(Got));
    });
    return Answer.get_future().get();
  }
};

} // namespace

TEST_F(RelayedReportsTest, AFollowerAnswersForTheLeader) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  const int Follower = findLeader() == 1 ? 2 : 1;
  std::uint64_t Sequence = 0;
  ServerOrders Orders;
  ASSERT_TRUE(jobservice::test::waitFor([&] {
    const auto Answer = report(Follower, makeReport("i-1", ++Sequence));
    if (Answer)
      Orders = Answer.value();
    return Answer.has_value();
  }));
  EXPECT_GT(Orders.LeaseMs_, 0U);
  EXPECT_GT(Orders.FencingToken_, 0U);
}

TEST_F(RelayedReportsTest, TheLeaderSendsServersToOthersAndAloneKeepsThem) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  std::uint64_t Sequence = 0;
  const auto ReportToLeader = [&]() -> std::string {
    const int Leader = findLeader();
    if (Leader == 0)
      return "nobody leads";
    const auto Answer = report(Leader, makeReport("i-1", ++Sequence));
    return Answer ? Answer.value().ReportTo_ : "no answer";
  };
  EXPECT_TRUE(jobservice::test::waitFor([&] {
    const std::string To = ReportToLeader();
    const int Leader = findLeader();
    for (const int Node : {1, 2, 3})
      if (Node != Leader && To == nameOf(Node))
        return true;
    return false;
  }));
  for (const int Node : {1, 2, 3})
    stop(Node);
  start(4, {4}, true, 1);
  ASSERT_TRUE(putConfiguration(1));
  EXPECT_TRUE(
      jobservice::test::waitFor([&] { return ReportToLeader().empty(); }));
}

TEST_F(RelayedReportsTest, ServersGoOnWhenTheLeaderIsLost) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  std::uint64_t Sequence = 0;
  const auto IsAnswered = [&](int Node) {
    return report(Node, makeReport("i-1", ++Sequence)).has_value();
  };
  const int Lost = findLeader();
  const int Other = Lost == 1 ? 2 : 1;
  ASSERT_TRUE(jobservice::test::waitFor([&] { return IsAnswered(Other); }));
  stop(Lost);
  EXPECT_TRUE(jobservice::test::waitFor([&] { return IsAnswered(Other); }));
  EXPECT_TRUE(
      jobservice::test::waitFor([&] { return IsAnswered(6 - Lost - Other); }));
}

TEST_F(RelayedReportsTest, ALeavingIsDoneOnceTheOthersHaveAnswered) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  std::uint64_t Sequence = 0;
  ASSERT_TRUE(jobservice::test::waitFor([&] {
    return report(findLeader() == 1 ? 2 : 1, makeReport("i-1", ++Sequence))
        .has_value();
  }));
  const auto Leave = [&] {
    const int Leader = findLeader();
    if (Leader == 0)
      return false;
    std::promise<bool> Left;
    Nodes_.at(Leader)->leave("i-1", [&Left](const Outcome<void> &Result) {
      Left.set_value(Result.has_value());
    });
    return Left.get_future().get();
  };
  EXPECT_TRUE(jobservice::test::waitFor(Leave));
}

TEST_F(ReportRelayTest, AnAnswerThatComesTooLateLeavesItsServerFirst) {
  const auto Extend = [this] {
    Sent Oldest = std::move(Sent_.front());
    Sent_.pop_front();
    ServerOrders Orders;
    Orders.LeaseMs_ = 6000;
    Oldest.Done_(
        ReportBatchReply{{{ReportVerdict::Answered, Orders, ""}}, {}, 0});
  };
  add("prompt");
  Strand_.advance(20ms);
  Extend();
  add("late");
  Strand_.advance(1s); // It has given the report up by now.
  Extend();
  fillWindow();
  add("prompt");
  add("late");
  while (!Sent_.empty())
    answer();
  Strand_.advance(20ms);
  ASSERT_FALSE(Sent_.empty());
  EXPECT_EQ(Sent_.back().Batch_.Reports_.at(0).Facts_.Id_, "late");
}

// Guards against a cancelled run that goes on until its server's lease is the
// oldest.
TEST_F(ReportRelayTest, AServerThatAwaitsAStopGoesBeforeOlderLeases) {
  const auto Extend = [this](std::vector<ServerAwaitingStop> Stops) {
    Sent Oldest = std::move(Sent_.front());
    Sent_.pop_front();
    ServerOrders Orders;
    Orders.LeaseMs_ = 6000;
    ReportBatchReply Reply;
    Reply.Answers_.resize(Oldest.Batch_.Reports_.size(),
                          {ReportVerdict::Answered, Orders, ""});
    Reply.AwaitingStop_ = std::move(Stops);
    Oldest.Done_(std::move(Reply));
  };
  add("older");
  Strand_.advance(20ms);
  Extend({});
  Strand_.advance(1s);
  add("stops");
  Strand_.advance(20ms);
  Extend({{"stops", 0}});
  fillWindow();
  add("older");
  add("stops");
  while (Sent_.size() > 1)
    answer();
  Extend({});
  Strand_.advance(20ms);
  ASSERT_FALSE(Sent_.empty());
  EXPECT_EQ(Sent_.back().Batch_.Reports_.at(0).Facts_.Id_, "stops");
}

// The relay may be told of a stop while the server's report waits already.
TEST_F(ReportRelayTest, AReportThatWaitsIsMovedUpForAStop) {
  fillWindow();
  add("waits");
  add("stops");
  while (Sent_.size() > 1)
    answer();
  ReportBatchReply Reply;
  Reply.Answers_.resize(Sent_.front().Batch_.Reports_.size(),
                        {ReportVerdict::Answered, {}, ""});
  Reply.AwaitingStop_ = {{"stops", 500}};
  Sent Last = std::move(Sent_.front());
  Sent_.pop_front();
  Last.Done_(std::move(Reply));
  Strand_.advance(20ms);
  ASSERT_FALSE(Sent_.empty());
  EXPECT_EQ(Sent_.back().Batch_.Reports_.at(0).Facts_.Id_, "stops");
}
