//===- RoutingTest.cpp - Grants, queues, refusals, leaving servers --------===//

#include "entry/support/Fakes.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const net::HttpHeader ShortDeadline{header::Deadline, "100"};

static unsigned countSent(const World &Around, std::size_t From,
                          std::uint16_t Port) {
  unsigned Count = 0;
  for (std::size_t Index = From; Index < Around.Backend_.Sent_.size(); ++Index)
    Count += Around.Backend_.Sent_[Index].To_.Port_ == Port ? 1 : 0;
  return Count;
}

static void callMany(World &Around, int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    Around.call("c" + std::to_string(Number));
    Around.advance(milliseconds(12));
  }
}

TEST(RoutingTest, NoServerGetsMoreThanItsGrantedSlots) {
  World Around(3, 2);
  Around.Backend_.ServiceTime_ = milliseconds(50);
  for (int Number = 0; Number < 40; ++Number)
    Around.call("c" + std::to_string(Number));
  EXPECT_EQ(Around.Backend_.Sent_.size(), 6U);
  for (const std::uint16_t Port : {1, 2, 3})
    EXPECT_EQ(countSent(Around, 0, Port), 2U);
  Around.advance(milliseconds(49));
  EXPECT_EQ(Around.Backend_.Sent_.size(), 6U);
}

TEST(RoutingTest, ConnectionsLimitAsSlotsDo) {
  World Around(1, 4);
  Around.Routes_[0].Connections_ = 1;
  Around.setRoutes(Around.Routes_);
  Around.advance(seconds(1));
  Around.call("a");
  Around.call("b");
  EXPECT_EQ(Around.Backend_.Sent_.size(), 1U);
}

TEST(RoutingTest, ADrainingServerGetsNothingNewFromTheNextReportOn) {
  World Around;
  Around.Routes_[0].Draining_ = true;
  Around.setRoutes(Around.Routes_);
  Around.advance(milliseconds(600));
  const std::size_t Before = Around.Backend_.Sent_.size();
  callMany(Around, 40);
  EXPECT_EQ(countSent(Around, Before, 1), 0U);
  EXPECT_EQ(Around.Backend_.Sent_.size(), Before + 40);
}

TEST(RoutingTest, AnAnnouncedLeaveCountsAtOnceAndOldTablesDoNotUndoIt) {
  World Around;
  const std::string Body = R"({"server":"s1","boot":"b","dataCentre":"dc1",)"
                           R"("address":"127.0.0.1:1","draining":true})";
  Around.call(Body, {}, "POST", "/v1/announce");
  callMany(Around, 20);
  Around.setRoutes(Around.Routes_); // Still without the draining mark.
  Around.advance(seconds(1));
  callMany(Around, 20);
  EXPECT_EQ(countSent(Around, 0, 1), 0U);
}

TEST(RoutingTest, AVanishedServerGetsNothingNewAndItsRequestsFinish) {
  World Around;
  Around.Backend_.ServiceTime_ = milliseconds(900);
  std::vector<std::shared_ptr<World::Call>> Calls;
  Calls.reserve(6);
  for (int Number = 0; Number < 6; ++Number)
    Calls.push_back(Around.call("c" + std::to_string(Number)));
  Around.setRoutes({Around.Routes_[1]});
  Around.advance(milliseconds(600));
  const std::size_t Before = Around.Backend_.Sent_.size();
  Around.Backend_.ServiceTime_ = milliseconds(5);
  Around.advance(seconds(1));
  callMany(Around, 10);
  EXPECT_EQ(countSent(Around, Before, 1) + countSent(Around, Before, 3), 0U);
  for (const auto &Call : Calls)
    EXPECT_EQ(Call->outcome(), "served");
}

TEST(RoutingTest, GrantsRunOutFromWhenTheReportWasSent) {
  World Around;
  Around.advance(milliseconds(500));
  Around.Control_->ReportsLost_ = true;
  const TimePoint LastSent = Around.Clock_.now();
  while (Around.Entry_->explainUnready().empty())
    Around.advance(milliseconds(10));
  EXPECT_LE(Around.Clock_.now() - LastSent, milliseconds(3000));
  const auto Call = Around.call("late");
  EXPECT_EQ(Call->outcome(), "not-run");
  EXPECT_EQ(Around.Backend_.getRuns("late"), 0U);
  Around.Control_->ReportsLost_ = false;
  Around.advance(seconds(2));
  const auto Next = Around.call("next");
  Around.advance(milliseconds(20));
  EXPECT_EQ(Next->outcome(), "served");
}

TEST(RoutingTest, ARefusalIsImmediateAndSaysWhenToComeBack) {
  World Around(1, 1);
  Around.Backend_.ServiceTime_ = milliseconds(80);
  Around.call("first");
  Around.advance(milliseconds(100)); // The service time is known now.
  Around.call("running");
  std::vector<std::shared_ptr<World::Call>> Refused;
  Refused.reserve(5);
  for (int Number = 0; Number < 5; ++Number)
    Refused.push_back(Around.call("r", {ShortDeadline}));
  for (const auto &Call : Refused) {
    ASSERT_EQ(Call->Answers_.size(), 1U) << "it was held back";
    EXPECT_EQ(Call->Answers_[0].At_, Call->At_);
    EXPECT_EQ(Call->response().Status_, 503U);
    EXPECT_EQ(Call->outcome(), "not-run");
    EXPECT_NE(Call->response().findHeader("Retry-After"), "");
  }
  EXPECT_EQ(Around.Backend_.getRuns("r"), 0U);
}

TEST(RoutingTest, AFullQueueRefusesAtOnce) {
  World Around(1, 1);
  Around.setBundle(2, R"(,"queueLimit":2)");
  Around.advance(seconds(1));
  for (int Number = 0; Number < 3; ++Number)
    Around.call("q" + std::to_string(Number));
  const auto Refused = Around.call("q3");
  ASSERT_EQ(Refused->Answers_.size(), 1U);
  EXPECT_NE(Refused->response().Body_.find("queue-full"), std::string::npos);
}

TEST(RoutingTest, WhoWaitsIsGivenUpAsSoonAsItsDeadlineCannotBeMade) {
  World Around(1, 1);
  Around.Backend_.ServiceTime_ = milliseconds(40);
  Around.call("warm");
  Around.advance(milliseconds(50));
  Around.Backend_.Script_ = {TryFault::Slow};
  Around.call("slow"); // 800 ms.
  const auto Waiting = Around.call("w", {{header::Deadline, "200"}});
  ASSERT_TRUE(Waiting->Answers_.empty());
  Around.advance(milliseconds(400));
  ASSERT_EQ(Waiting->Answers_.size(), 1U);
  EXPECT_LT(Waiting->Answers_[0].At_ - Waiting->At_, milliseconds(170));
  EXPECT_EQ(Waiting->outcome(), "not-run");
  EXPECT_EQ(Around.Backend_.getRuns("w"), 0U);
}

TEST(RoutingTest, RetriesStayWithinTheBudget) {
  World Around(4, 8);
  for (const wire::Route &Route : Around.Routes_)
    Around.Backend_.Broken_[net::Endpoint::parse(Route.Address_).value()] =
        TryFault::Refused;
  callMany(Around, 500);
  Around.advance(seconds(1));
  // A tenth of the requests, and the reserve of ten.
  EXPECT_LE(Around.Backend_.Sent_.size(), 500U + 50U + 10U);
  EXPECT_GE(Around.Backend_.Sent_.size(), 500U + 40U);
}

TEST(RoutingTest, OnlyRepeatableRequestsOfAServiceThatAllowsItAreHedged) {
  for (const bool Allowed : {false, true})
    for (const char *Method : {"GET", "POST"}) {
      World Around(3, 4);
      if (Allowed)
        Around.setBundle(2, R"(,"hedgingAllowed":true)");
      Around.advance(seconds(1));
      callMany(Around, 20);
      const std::size_t Before = Around.Backend_.Sent_.size();
      Around.Backend_.Script_ = {TryFault::Slow};
      const auto Call = Around.call("h", {}, Method);
      Around.advance(milliseconds(300));
      const bool Hedged = Allowed && std::string(Method) == "GET";
      EXPECT_EQ(Around.Backend_.Sent_.size(), Before + (Hedged ? 2 : 1));
      EXPECT_EQ(Call->outcome(), "served");
      EXPECT_EQ(Call->Answers_.size(), 1U);
      if (Hedged) {
        EXPECT_LT(Call->Answers_[0].At_ - Call->At_, milliseconds(60));
      }
    }
}

TEST(RoutingTest, ARepeatableRequestLeavesAFrozenServerInTime) {
  World Around(2, 8);
  callMany(Around, 20);
  Around.Backend_.Script_ = {TryFault::Frozen};
  const auto Call = Around.call("f", {}, "GET");
  Around.advance(seconds(2));
  EXPECT_EQ(Call->outcome(), "served");
}

TEST(RoutingTest, TheRemainingDeadlineIsPassedOn) {
  World Around(1, 1);
  Around.call("first");
  Around.call("second", {{header::Deadline, "500"}});
  Around.advance(milliseconds(10));
  ASSERT_EQ(Around.Backend_.Sent_.size(), 2U);
  EXPECT_EQ(Around.Backend_.Sent_[1].Request_.findHeader(header::Deadline),
            "490");
}

TEST(RoutingTest, AFreedSlotGoesAtOnceToWhoWaitsForAnyServiceOfTheServer) {
  for (const char *Service : {"booking", "tariff"}) {
    SCOPED_TRACE(Service);
    World Around(1, 2);
    Around.Routes_[0].Services_.emplace_back("tariff");
    Around.setRoutes(Around.Routes_);
    Around.setBundle(2, R"(},{"service":"tariff")");
    Around.advance(seconds(1));
    Around.Backend_.ServiceTime_ = milliseconds(7); // No multiple of a sweep.
    Around.call("a");
    Around.call("b");
    const auto Waiting = Around.call(
        "c", {}, "POST", "/v1/services/" + std::string(Service) + "/x");
    EXPECT_EQ(Around.Backend_.Sent_.size(), 2U);
    Around.advance(milliseconds(14));
    ASSERT_EQ(Waiting->Answers_.size(), 1U);
    EXPECT_EQ(Waiting->outcome(), "served");
  }
}

TEST(RoutingTest, AServerThatAnswersWithAnotherIdLosesItsConnections) {
  World Around(1, 1);
  Around.Backend_.Script_ = {TryFault::WrongId};
  Around.call("w");
  Around.advance(milliseconds(20));
  EXPECT_EQ(Around.Backend_.Forgotten_.size(), 1U);
}

static const wire::EntryReport &lastReport(const World &Around) {
  return Around.Control_->Reports_.back();
}

TEST(RoutingTest, OnceTheGrantRanOutItNamesNoVersionAndNoSlotsButInFlight) {
  World Around(1, 2);
  Around.Backend_.ServiceTime_ = seconds(20);
  Around.call("long", {{header::Deadline, "30000"}});
  Around.advance(seconds(1));
  EXPECT_EQ(lastReport(Around).RoutesHeld_, 1U);
  Around.Control_->ReportsLost_ = true;
  Around.advance(seconds(5));
  EXPECT_EQ(lastReport(Around).RoutesHeld_, 0U);
  ASSERT_EQ(lastReport(Around).Grants_.size(), 1U);
  EXPECT_EQ(lastReport(Around).Grants_[0].Slots_, 0U);
  EXPECT_EQ(lastReport(Around).Grants_[0].Connections_, 0U);
  EXPECT_EQ(lastReport(Around).Grants_[0].InFlight_, 1U);
}

TEST(RoutingTest, ATableBelowOneThatWasTakenIsNeverTaken) {
  for (const bool RanOut : {false, true}) {
    SCOPED_TRACE(RanOut);
    World Around;
    Around.Control_->Reply_.RoutesVersion_ = 9;
    Around.advance(seconds(1));
    Around.Control_->ReportsLost_ = RanOut;
    Around.advance(seconds(RanOut ? 5 : 0));
    Around.Control_->ReportsLost_ = false;
    Around.Control_->Reply_.RoutesVersion_ = 8;
    Around.advance(seconds(5));
    EXPECT_EQ(lastReport(Around).RoutesHeld_, 0U);
    EXPECT_NE(Around.Entry_->explainUnready(), "");
    EXPECT_EQ(Around.call("a")->outcome(), "not-run");
    Around.Control_->Reply_.RoutesVersion_ = 9; // The same one is as good.
    Around.advance(seconds(1));
    EXPECT_EQ(lastReport(Around).RoutesHeld_, 9U);
    EXPECT_EQ(Around.Entry_->explainUnready(), "");
  }
}

TEST(RoutingTest, AnEntryIsUnreadyWhileItHasNoSlotOfAnyServer) {
  World Around;
  const auto SetAll = [&](std::uint32_t Slots, bool Draining) {
    for (wire::Route &Each : Around.Routes_) {
      Each.Slots_ = Slots;
      Each.Draining_ = Draining;
    }
    Around.setRoutes(Around.Routes_);
    Around.advance(seconds(1));
  };
  SetAll(0, false);
  EXPECT_EQ(Around.Entry_->explainUnready(),
            "no slot of any backend server yet");
  Around.Routes_[1].Slots_ = 1;
  Around.setRoutes(Around.Routes_);
  Around.advance(seconds(1));
  EXPECT_EQ(Around.Entry_->explainUnready(), "");
  SetAll(0, true); // All entries have none of these: no reason to leave one.
  EXPECT_EQ(Around.Entry_->explainUnready(), "");
  Around.setRoutes({}); // Operators and first servers come through it.
  Around.advance(seconds(1));
  EXPECT_EQ(Around.Entry_->explainUnready(), "");
}

TEST(RoutingTest, ATableWhoseGrantRanOutOnTheWayIsNotTaken) {
  World Around;
  Around.setRoutes(Around.Routes_);
  Around.Control_->Reply_.GrantTtlMs_ = 1; // Replies take as long.
  Around.advance(milliseconds(1100));
  EXPECT_EQ(lastReport(Around).RoutesHeld_, 1U);
}

TEST(RoutingTest, AReplyToWhatItNoLongerHoldsChangesAndRenewsNothing) {
  for (const bool NewTable : {false, true}) {
    SCOPED_TRACE(NewTable);
    World Around;
    Around.Control_->Reply_.GrantTtlMs_ = 501; // Replies come after 1 ms.
    Around.restartEntry();
    if (NewTable)
      Around.setRoutes(Around.Routes_);
    Around.advance(milliseconds(500)); // The grant ran out on the way back.
    EXPECT_EQ(lastReport(Around).RoutesHeld_, 1U);
    Around.advance(milliseconds(500));
    EXPECT_EQ(lastReport(Around).RoutesHeld_, 0U);
  }
}

TEST(RoutingTest, AServerThatLeftTheTableIsNamedWithoutSlots) {
  World Around(1, 2);
  Around.Backend_.ServiceTime_ = milliseconds(1900);
  Around.call("running");
  Around.Routes_[0].Boot_ = BootId("next");
  Around.setRoutes(Around.Routes_);
  Around.advance(milliseconds(1100));
  ASSERT_EQ(Around.Control_->Reports_.size(), 3U);
  const wire::EntryReport Brief = lastReport(Around);
  ASSERT_TRUE(Brief.Brief_ && Brief.InFlight_.empty());
  ASSERT_EQ(Brief.Grants_.size(), 1U);
  EXPECT_EQ(Brief.Grants_[0].Slots_, 0U);
  EXPECT_EQ(Brief.Grants_[0].InFlight_, 1U);
  // The whole one, which the leader asks for, has the new boot beside it.
  Around.Control_->Reply_.SendFull_ = true;
  Around.advance(milliseconds(500));
  std::uint32_t Slots = 0;
  std::uint32_t InFlight = 0;
  ASSERT_FALSE(lastReport(Around).Brief_);
  for (const wire::GrantHeld &Held : lastReport(Around).Grants_) {
    Slots += Held.Slots_;
    InFlight += Held.InFlight_;
  }
  EXPECT_EQ(Slots, 2U);
  EXPECT_EQ(InFlight, 1U);
}

TEST(RoutingTest, NoRequestIsSentWithADeadlineBeyondTheLongestRequest) {
  for (const char *Default : {"2000", "3600000"}) {
    World Around(1, 2);
    Around.setBundle(2, R"(,"maxDeadlineMs":3600000,"defaultDeadlineMs":)" +
                            std::string(Default));
    Around.advance(seconds(1));
    Around.Backend_.Script_ = {TryFault::RunFrozen};
    std::vector<net::HttpHeader> Headers;
    if (std::string(Default) == "2000")
      Headers.push_back({header::Deadline, "3600000"});
    const auto Call = Around.call("a", Headers);
    ASSERT_EQ(Around.Backend_.Sent_.size(), 1U);
    const FakeBackend::Sent &Sent = Around.Backend_.Sent_[0];
    EXPECT_EQ(Sent.Deadline_ - Sent.At_, seconds(60));
    EXPECT_EQ(Sent.Request_.findHeader(header::Deadline), "60000");
    Around.advance(seconds(61));
    EXPECT_EQ(Call->outcome(), "unknown"); // At the cap, and not "not-run".
  }
}
