//===- AdviceCacheTest.cpp - Advice requests and cached answers ----------===//

#include "jobs/AdviceCache.h"

#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class AdviceCacheTest : public JobRegistryTest {
protected:
  AdviceCacheTest() {
    Configuration Value = makeConfiguration(2);
    Value.Queues_[0].Advice_ = {true, 20, 5, 3000};
    apply(PutConfiguration{Value});
  }
  std::optional<AdviceRequest> find() {
    return Advice_.findNextRequest(
        Registry_, [this](const std::string &Id) { return Unusable_ != Id; },
        Now_);
  }

  TimePoint Now_{1h};
  std::string Unusable_;
  AdviceCache Advice_;
  const StepKey Step_{"j", 0, 0};
};

} // namespace

TEST_F(AdviceCacheTest, RequestsServersWithCapacityAndCachesTickets) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  const auto Request = find();
  ASSERT_TRUE(Request);
  EXPECT_EQ(Request->Step_, Step_);
  EXPECT_EQ(Request->Servers_, (std::vector<std::string>{"s1", "s2"}));
  EXPECT_EQ(Request->Times_.ValidMs_, 3000U);
  Advice_.addAnswer(*Request, {{{"s2", "ticket"}}, 0ms}, Now_);
  EXPECT_EQ(Advice_.findTicket(Step_, "s1", Now_), nullptr);
  ASSERT_NE(Advice_.findTicket(Step_, "s2", Now_), nullptr);
  EXPECT_EQ(*Advice_.findTicket(Step_, "s2", Now_), "ticket");
  EXPECT_EQ(Advice_.findTicket({"j", 1, 0}, "s2", Now_), nullptr)
      << "the ticket is for another occurrence";
  EXPECT_FALSE(find()) << "both tasks fit where the step may run";
}

TEST_F(AdviceCacheTest, TicketExpiresEarlyByAMargin) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Advice_.addAnswer(*find(), {{{"s2", "ticket"}}, 2000ms}, Now_);
  // A quarter of the ticket's lifetime is kept as a margin for the order's
  // delivery.
  EXPECT_NE(Advice_.findTicket(Step_, "s2", Now_ + 1499ms), nullptr);
  EXPECT_EQ(Advice_.findTicket(Step_, "s2", Now_ + 1500ms), nullptr);
}

TEST_F(AdviceCacheTest, IneligibleServerIsNotRequestedAgain) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Advice_.addAnswer(*find(), {{{"s2", "ticket"}}, 2000ms}, Now_);
  Now_ += 5s;
  const auto Again = find();
  ASSERT_TRUE(Again) << "the ticket has expired";
  EXPECT_EQ(Again->Servers_, (std::vector<std::string>{"s2"}));
}

TEST_F(AdviceCacheTest, UnusableServerIsNotRequested) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Unusable_ = "s1";
  const auto Request = find();
  ASSERT_TRUE(Request);
  EXPECT_EQ(Request->Servers_, (std::vector<std::string>{"s2"}));
}

TEST_F(AdviceCacheTest, FullOrUnsuitableServerIsNotRequested) {
  submit(makeJob("j", {makeStep(1, 5000)}));
  EXPECT_FALSE(find()) << "no server is as large";
  StepSpec Bound = makeStep(1, 1000);
  Bound.Label_ = "b";
  submit(makeJob("k", {Bound}));
  EXPECT_FALSE(find()) << "no server has the label";
}

TEST_F(AdviceCacheTest, FirstStepWithTooFewServersIsRequested) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  submit(makeJob("k", {makeStep(2, 1000)}));
  Advice_.addAnswer(*find(), {{{"s1", "t"}}, 0ms}, Now_);
  const auto Next = find();
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Step_.Job_, "k");
}

TEST_F(AdviceCacheTest, RequestSizeIsBounded) {
  for (int I = 0; I < 100; ++I)
    apply(AddServer{makeServer("m" + std::to_string(100 + I))});
  submit(makeJob("j", {makeStep(90, 1000)}));
  const auto Request = find();
  ASSERT_TRUE(Request);
  EXPECT_EQ(Request->Servers_.size(), 30U);
}

TEST_F(AdviceCacheTest, EndedJobIsPruned) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Advice_.addAnswer(*find(), {{{"s2", "ticket"}}, 0ms}, Now_);
  apply(CancelJob{"j"});
  Advice_.prune(Registry_);
  EXPECT_EQ(Advice_.findTicket(Step_, "s2", Now_), nullptr);
}

TEST_F(AdviceCacheTest, QueueWithoutAdviceSendsNoRequest) {
  apply(PutConfiguration{makeConfiguration(3)});
  submit(makeJob("j", {makeStep(2, 1000)}));
  EXPECT_FALSE(find());
}
