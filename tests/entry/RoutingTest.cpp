//===- RoutingTest.cpp - Tests of grants and queues -----------------------===//

#include "entry/support/Fakes.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const net::HttpHeader ShortDeadline{header::Deadline, "100"};

static unsigned countSent(const EntryHarness &Harness, std::size_t From,
                          std::uint16_t Port) {
  unsigned Count = 0;
  for (std::size_t Index = From; Index < Harness.Backend_.Sent_.size(); ++Index)
    Count += Harness.Backend_.Sent_[Index].To_.Port_ == Port ? 1 : 0;
  return Count;
}

static void callMany(EntryHarness &Harness, int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    Harness.call("c" + std::to_string(Number));
    Harness.advance(milliseconds(12));
  }
}

TEST(RoutingTest, ServersNeverExceedTheirGrantedSlots) {
  EntryHarness Harness(3, 2);
  Harness.Backend_.ServiceTime_ = milliseconds(50);
  for (int Number = 0; Number < 40; ++Number)
    Harness.call("c" + std::to_string(Number));
  EXPECT_EQ(Harness.Backend_.Sent_.size(), 6U);
  for (const std::uint16_t Port : {1, 2, 3})
    EXPECT_EQ(countSent(Harness, 0, Port), 2U);
  Harness.advance(milliseconds(49));
  EXPECT_EQ(Harness.Backend_.Sent_.size(), 6U);
}

TEST(RoutingTest, ConnectionsLimitRequestsInFlight) {
  EntryHarness Harness(1, 4);
  Harness.Routes_[0].Connections_ = 1;
  Harness.setRoutes(Harness.Routes_);
  Harness.advance(seconds(1));
  Harness.call("a");
  Harness.call("b");
  EXPECT_EQ(Harness.Backend_.Sent_.size(), 1U);
}

TEST(RoutingTest, DrainingServerGetsNoNewRequestsAfterTheNextReport) {
  EntryHarness Harness;
  Harness.Routes_[0].Draining_ = true;
  Harness.setRoutes(Harness.Routes_);
  Harness.advance(milliseconds(600));
  const std::size_t Before = Harness.Backend_.Sent_.size();
  callMany(Harness, 40);
  EXPECT_EQ(countSent(Harness, Before, 1), 0U);
  EXPECT_EQ(Harness.Backend_.Sent_.size(), Before + 40);
}

TEST(RoutingTest, AnnouncedDrainAppliesAtOnceDespiteOlderTables) {
  EntryHarness Harness;
  const std::string Body = R"({"server":"s1","boot":"b","dataCentre":"dc1",)"
                           R"("address":"127.0.0.1:1","draining":true})";
  Harness.call(Body, {}, "POST", "/v1/announce");
  callMany(Harness, 20);
  Harness.setRoutes(
      Harness
          .Routes_); // The route table does not contain the draining flag yet.
  Harness.advance(seconds(1));
  callMany(Harness, 20);
  EXPECT_EQ(countSent(Harness, 0, 1), 0U);
}

TEST(RoutingTest, RemovedServerGetsNoNewRequestsAndItsRequestsFinish) {
  EntryHarness Harness;
  Harness.Backend_.ServiceTime_ = milliseconds(900);
  std::vector<std::shared_ptr<EntryHarness::Call>> Calls;
  Calls.reserve(6);
  for (int Number = 0; Number < 6; ++Number)
    Calls.push_back(Harness.call("c" + std::to_string(Number)));
  Harness.setRoutes({Harness.Routes_[1]});
  Harness.advance(milliseconds(600));
  const std::size_t Before = Harness.Backend_.Sent_.size();
  Harness.Backend_.ServiceTime_ = milliseconds(5);
  Harness.advance(seconds(1));
  callMany(Harness, 10);
  EXPECT_EQ(countSent(Harness, Before, 1) + countSent(Harness, Before, 3), 0U);
  for (const auto &Call : Calls)
    EXPECT_EQ(Call->outcome(), "served");
}

TEST(RoutingTest, GrantsExpireRelativeToTheReportsSendTime) {
  EntryHarness Harness;
  Harness.advance(milliseconds(500));
  Harness.Control_->ReportsLost_ = true;
  const TimePoint LastSent = Harness.Clock_.now();
  while (Harness.Entry_->explainUnready().empty())
    Harness.advance(milliseconds(10));
  EXPECT_LE(Harness.Clock_.now() - LastSent, milliseconds(3000));
  const auto Call = Harness.call("late");
  EXPECT_EQ(Call->outcome(), "not-run");
  EXPECT_EQ(Harness.Backend_.getRuns("late"), 0U);
  Harness.Control_->ReportsLost_ = false;
  Harness.advance(seconds(2));
  const auto Next = Harness.call("next");
  Harness.advance(milliseconds(20));
  EXPECT_EQ(Next->outcome(), "served");
}

TEST(RoutingTest, RejectionIsImmediateWithRetryAfter) {
  EntryHarness Harness(1, 1);
  Harness.Backend_.ServiceTime_ = milliseconds(80);
  Harness.call("first");
  Harness.advance(milliseconds(100)); // The mean latency is known from here on.
  Harness.call("running");
  std::vector<std::shared_ptr<EntryHarness::Call>> Refused;
  Refused.reserve(5);
  for (int Number = 0; Number < 5; ++Number)
    Refused.push_back(Harness.call("r", {ShortDeadline}));
  for (const auto &Call : Refused) {
    ASSERT_EQ(Call->Answers_.size(), 1U) << "the rejection was delayed";
    EXPECT_EQ(Call->Answers_[0].At_, Call->At_);
    EXPECT_EQ(Call->response().Status_, 503U);
    EXPECT_EQ(Call->outcome(), "not-run");
    EXPECT_NE(Call->response().findHeader("Retry-After"), "");
  }
  EXPECT_EQ(Harness.Backend_.getRuns("r"), 0U);
}

TEST(RoutingTest, FullQueueRejectsAtOnce) {
  EntryHarness Harness(1, 1);
  Harness.setBundle(2, R"(,"queueLimit":2)");
  Harness.advance(seconds(1));
  for (int Number = 0; Number < 3; ++Number)
    Harness.call("q" + std::to_string(Number));
  const auto Refused = Harness.call("q3");
  ASSERT_EQ(Refused->Answers_.size(), 1U);
  EXPECT_NE(Refused->response().Body_.find("queue-full"), std::string::npos);
}

TEST(RoutingTest, QueuedRequestIsRejectedOnceItsDeadlineIsUnreachable) {
  EntryHarness Harness(1, 1);
  Harness.Backend_.ServiceTime_ = milliseconds(40);
  Harness.call("warm");
  Harness.advance(milliseconds(50));
  Harness.Backend_.Script_ = {TryFault::Slow};
  Harness.call("slow"); // Takes 800 ms.
  const auto Waiting = Harness.call("w", {{header::Deadline, "200"}});
  ASSERT_TRUE(Waiting->Answers_.empty());
  Harness.advance(milliseconds(400));
  ASSERT_EQ(Waiting->Answers_.size(), 1U);
  EXPECT_LT(Waiting->Answers_[0].At_ - Waiting->At_, milliseconds(170));
  EXPECT_EQ(Waiting->outcome(), "not-run");
  EXPECT_EQ(Harness.Backend_.getRuns("w"), 0U);
}

TEST(RoutingTest, RetriesStayWithinTheBudget) {
  EntryHarness Harness(4, 8);
  for (const wire::Route &Route : Harness.Routes_)
    Harness.Backend_
        .ServerFaults_[net::Endpoint::parse(Route.Address_).value()] =
        TryFault::Refused;
  callMany(Harness, 500);
  Harness.advance(seconds(1));
  // The budget is a tenth of the requests plus a reserve of ten.
  EXPECT_LE(Harness.Backend_.Sent_.size(), 500U + 50U + 10U);
  EXPECT_GE(Harness.Backend_.Sent_.size(), 500U + 40U);
}

TEST(RoutingTest, OnlyRepeatableRequestsAreHedgedIfTheServiceAllowsIt) {
  for (const bool Allowed : {false, true})
    for (const char *Method : {"GET", "POST"}) {
      EntryHarness Harness(3, 4);
      if (Allowed)
        Harness.setBundle(2, R"(,"hedgingAllowed":true)");
      Harness.advance(seconds(1));
      callMany(Harness, 20);
      const std::size_t Before = Harness.Backend_.Sent_.size();
      Harness.Backend_.Script_ = {TryFault::Slow};
      const auto Call = Harness.call("h", {}, Method);
      Harness.advance(milliseconds(300));
      const bool Hedged = Allowed && std::string(Method) == "GET";
      EXPECT_EQ(Harness.Backend_.Sent_.size(), Before + (Hedged ? 2 : 1));
      EXPECT_EQ(Call->outcome(), "served");
      EXPECT_EQ(Call->Answers_.size(), 1U);
      if (Hedged) {
        EXPECT_LT(Call->Answers_[0].At_ - Call->At_, milliseconds(60));
      }
    }
}

TEST(RoutingTest, RepeatableRequestIsReplacedWhenAServerHangs) {
  EntryHarness Harness(2, 8);
  callMany(Harness, 20);
  Harness.Backend_.Script_ = {TryFault::Frozen};
  const auto Call = Harness.call("f", {}, "GET");
  Harness.advance(seconds(2));
  EXPECT_EQ(Call->outcome(), "served");
}

TEST(RoutingTest, RemainingDeadlineIsForwarded) {
  EntryHarness Harness(1, 1);
  Harness.call("first");
  Harness.call("second", {{header::Deadline, "500"}});
  Harness.advance(milliseconds(10));
  ASSERT_EQ(Harness.Backend_.Sent_.size(), 2U);
  EXPECT_EQ(Harness.Backend_.Sent_[1].Request_.findHeader(header::Deadline),
            "490");
}

TEST(RoutingTest, FreedSlotGoesToWaitersOfAnyServiceOfTheServer) {
  for (const char *Service : {"booking", "tariff"}) {
    SCOPED_TRACE(Service);
    EntryHarness Harness(1, 2);
    Harness.Routes_[0].Services_.emplace_back("tariff");
    Harness.setRoutes(Harness.Routes_);
    Harness.setBundle(2, R"(},{"service":"tariff")");
    Harness.advance(seconds(1));
    Harness.Backend_.ServiceTime_ =
        milliseconds(7); // Not a multiple of the sweep period.
    Harness.call("a");
    Harness.call("b");
    const auto Waiting = Harness.call(
        "c", {}, "POST", "/v1/services/" + std::string(Service) + "/x");
    EXPECT_EQ(Harness.Backend_.Sent_.size(), 2U);
    Harness.advance(milliseconds(14));
    ASSERT_EQ(Waiting->Answers_.size(), 1U);
    EXPECT_EQ(Waiting->outcome(), "served");
  }
}

TEST(RoutingTest, ServerWithAMismatchedRequestIdLosesItsConnections) {
  EntryHarness Harness(1, 1);
  Harness.Backend_.Script_ = {TryFault::WrongId};
  Harness.call("w");
  Harness.advance(milliseconds(20));
  EXPECT_EQ(Harness.Backend_.Forgotten_.size(), 1U);
}

static const wire::EntryReport &lastReport(const EntryHarness &Harness) {
  return Harness.Control_->Reports_.back();
}

TEST(RoutingTest, ExpiredGrantIsReportedWithoutVersionAndSlots) {
  EntryHarness Harness(1, 2);
  Harness.Backend_.ServiceTime_ = seconds(20);
  Harness.call("long", {{header::Deadline, "30000"}});
  Harness.advance(seconds(1));
  EXPECT_EQ(lastReport(Harness).RoutesHeld_, 1U);
  Harness.Control_->ReportsLost_ = true;
  Harness.advance(seconds(5));
  EXPECT_EQ(lastReport(Harness).RoutesHeld_, 0U);
  ASSERT_EQ(lastReport(Harness).Grants_.size(), 1U);
  EXPECT_EQ(lastReport(Harness).Grants_[0].Slots_, 0U);
  EXPECT_EQ(lastReport(Harness).Grants_[0].Connections_, 0U);
  EXPECT_EQ(lastReport(Harness).Grants_[0].InFlight_, 1U);
}

TEST(RoutingTest, OlderRouteTableIsNeverAdopted) {
  for (const bool RanOut : {false, true}) {
    SCOPED_TRACE(RanOut);
    EntryHarness Harness;
    Harness.Control_->Reply_.RoutesVersion_ = 9;
    Harness.advance(seconds(1));
    Harness.Control_->ReportsLost_ = RanOut;
    Harness.advance(seconds(RanOut ? 5 : 0));
    Harness.Control_->ReportsLost_ = false;
    Harness.Control_->Reply_.RoutesVersion_ = 8;
    Harness.advance(seconds(5));
    EXPECT_EQ(lastReport(Harness).RoutesHeld_, 0U);
    EXPECT_NE(Harness.Entry_->explainUnready(), "");
    EXPECT_EQ(Harness.call("a")->outcome(), "not-run");
    Harness.Control_->Reply_.RoutesVersion_ =
        9; // The same version may be adopted again.
    Harness.advance(seconds(1));
    EXPECT_EQ(lastReport(Harness).RoutesHeld_, 9U);
    EXPECT_EQ(Harness.Entry_->explainUnready(), "");
  }
}

TEST(RoutingTest, EntryIsNotReadyWithoutAnySlot) {
  EntryHarness Harness;
  const auto SetAll = [&](std::uint32_t Slots, bool Draining) {
    for (wire::Route &Route : Harness.Routes_) {
      Route.Slots_ = Slots;
      Route.Draining_ = Draining;
    }
    Harness.setRoutes(Harness.Routes_);
    Harness.advance(seconds(1));
  };
  SetAll(0, false);
  EXPECT_EQ(Harness.Entry_->explainUnready(),
            "no slot of any backend server yet");
  Harness.Routes_[1].Slots_ = 1;
  Harness.setRoutes(Harness.Routes_);
  Harness.advance(seconds(1));
  EXPECT_EQ(Harness.Entry_->explainUnready(), "");
  SetAll(0, true); // Draining servers have no slots at any entry, so this entry
                   // stays ready.
  EXPECT_EQ(Harness.Entry_->explainUnready(), "");
  Harness.setRoutes({}); // Without servers the entry is ready, because
                         // operators and the first servers connect through it.
  Harness.advance(seconds(1));
  EXPECT_EQ(Harness.Entry_->explainUnready(), "");
}

TEST(RoutingTest, RouteTableWithAnExpiredGrantIsNotAdopted) {
  EntryHarness Harness;
  Harness.setRoutes(Harness.Routes_);
  Harness.Control_->Reply_.GrantTtlMs_ =
      1; // A reply takes 1 ms, the same as the grant.
  Harness.advance(milliseconds(1100));
  EXPECT_EQ(lastReport(Harness).RoutesHeld_, 1U);
}

TEST(RoutingTest, ReplyToAnExpiredVersionIsIgnored) {
  for (const bool NewTable : {false, true}) {
    SCOPED_TRACE(NewTable);
    EntryHarness Harness;
    Harness.Control_->Reply_.GrantTtlMs_ = 501; // Replies arrive after 1 ms.
    Harness.restartEntry();
    if (NewTable)
      Harness.setRoutes(Harness.Routes_);
    Harness.advance(
        milliseconds(500)); // The grant expired before the reply arrived.
    EXPECT_EQ(lastReport(Harness).RoutesHeld_, 1U);
    Harness.advance(milliseconds(500));
    EXPECT_EQ(lastReport(Harness).RoutesHeld_, 0U);
  }
}

TEST(RoutingTest, RemovedServerIsReportedWithoutSlots) {
  EntryHarness Harness(1, 2);
  Harness.Backend_.ServiceTime_ = milliseconds(1900);
  Harness.call("running");
  Harness.Routes_[0].Boot_ = BootId("next");
  Harness.setRoutes(Harness.Routes_);
  Harness.advance(milliseconds(1100));
  ASSERT_EQ(Harness.Control_->Reports_.size(), 3U);
  const wire::EntryReport Brief = lastReport(Harness);
  ASSERT_TRUE(Brief.Brief_ && Brief.InFlight_.empty());
  ASSERT_EQ(Brief.Grants_.size(), 1U);
  EXPECT_EQ(Brief.Grants_[0].Slots_, 0U);
  EXPECT_EQ(Brief.Grants_[0].InFlight_, 1U);
  // The full report that the leader requests also contains the new boot.
  Harness.Control_->Reply_.SendFull_ = true;
  Harness.advance(milliseconds(500));
  std::uint32_t Slots = 0;
  std::uint32_t InFlight = 0;
  ASSERT_FALSE(lastReport(Harness).Brief_);
  for (const wire::GrantHeld &Held : lastReport(Harness).Grants_) {
    Slots += Held.Slots_;
    InFlight += Held.InFlight_;
  }
  EXPECT_EQ(Slots, 2U);
  EXPECT_EQ(InFlight, 1U);
}

TEST(RoutingTest, DeadlineIsCappedAtTheMaximumRequestDuration) {
  for (const char *Default : {"2000", "3600000"}) {
    EntryHarness Harness(1, 2);
    Harness.setBundle(2, R"(,"maxDeadlineMs":3600000,"defaultDeadlineMs":)" +
                             std::string(Default));
    Harness.advance(seconds(1));
    Harness.Backend_.Script_ = {TryFault::RunFrozen};
    std::vector<net::HttpHeader> Headers;
    if (std::string(Default) == "2000")
      Headers.push_back({header::Deadline, "3600000"});
    const auto Call = Harness.call("a", Headers);
    ASSERT_EQ(Harness.Backend_.Sent_.size(), 1U);
    const FakeBackend::Sent &Sent = Harness.Backend_.Sent_[0];
    EXPECT_EQ(Sent.Deadline_ - Sent.At_, seconds(60));
    EXPECT_EQ(Sent.Request_.findHeader(header::Deadline), "60000");
    Harness.advance(seconds(61));
    EXPECT_EQ(
        Call->outcome(),
        "unknown"); // The deadline is capped and the outcome is not "not-run".
  }
}
