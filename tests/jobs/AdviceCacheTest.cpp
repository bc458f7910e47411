//===- AdviceCacheTest.cpp - What is asked, and what is kept ---------------===//

#include "jobs/AdviceCache.h"

#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class AdviceBookTest : public JobBookTest {
protected:
  AdviceBookTest() {
    Configuration Value = makeConfiguration(2);
    Value.Queues_[0].Advice_ = {true, 20, 5, 3000};
    apply(PutConfiguration{Value});
  }
  std::optional<AdviceQuestion> find() {
    return Advice_.findQuestion(
        Book_, [this](const std::string &Id) { return Unusable_ != Id; }, Now_);
  }

  TimePoint Now_{1h};
  std::string Unusable_;
  AdviceBook Advice_;
  const StepKey Step_{"j", 0, 0};
};

} // namespace

TEST_F(AdviceBookTest, AsksAboutServersWithRoomAndKeepsTickets) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  const auto Question = find();
  ASSERT_TRUE(Question);
  EXPECT_EQ(Question->Step_, Step_);
  EXPECT_EQ(Question->Servers_, (std::vector<std::string>{"s1", "s2"}));
  EXPECT_EQ(Question->Times_.ValidMs_, 3000U);
  Advice_.note(*Question, {{{"s2", "ticket"}}, 0ms}, Now_);
  EXPECT_EQ(Advice_.findTicket(Step_, "s1", Now_), nullptr);
  ASSERT_NE(Advice_.findTicket(Step_, "s2", Now_), nullptr);
  EXPECT_EQ(*Advice_.findTicket(Step_, "s2", Now_), "ticket");
  EXPECT_EQ(Advice_.findTicket({"j", 1, 0}, "s2", Now_), nullptr)
      << "of another occurrence";
  EXPECT_FALSE(find()) << "both tasks fit where the step may run";
}

TEST_F(AdviceBookTest, ATicketIsNotUsedUpToItsVeryEnd) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Advice_.note(*find(), {{{"s2", "ticket"}}, 2000ms}, Now_);
  // An order needs time to get there: a quarter is kept.
  EXPECT_NE(Advice_.findTicket(Step_, "s2", Now_ + 1499ms), nullptr);
  EXPECT_EQ(Advice_.findTicket(Step_, "s2", Now_ + 1500ms), nullptr);
}

TEST_F(AdviceBookTest, WhoMayNotIsNeverAskedAboutAgain) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Advice_.note(*find(), {{{"s2", "ticket"}}, 2000ms}, Now_);
  Now_ += 5s;
  const auto Again = find();
  ASSERT_TRUE(Again) << "the ticket has run out";
  EXPECT_EQ(Again->Servers_, (std::vector<std::string>{"s2"}));
}

TEST_F(AdviceBookTest, AServerThatIsNotUsableIsNotAskedAbout) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Unusable_ = "s1";
  const auto Question = find();
  ASSERT_TRUE(Question);
  EXPECT_EQ(Question->Servers_, (std::vector<std::string>{"s2"}));
}

TEST_F(AdviceBookTest, AFullOrUnfitServerIsNotAskedAbout) {
  submit(makeJob("j", {makeStep(1, 5000)}));
  EXPECT_FALSE(find()) << "no server is as large";
  StepSpec Bound = makeStep(1, 1000);
  Bound.Label_ = "b";
  submit(makeJob("k", {Bound}));
  EXPECT_FALSE(find()) << "no server has the label";
}

TEST_F(AdviceBookTest, TheFirstStepThatMissesServersIsAskedFor) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  submit(makeJob("k", {makeStep(2, 1000)}));
  Advice_.note(*find(), {{{"s1", "t"}}, 0ms}, Now_);
  const auto Next = find();
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Step_.Job_, "k");
}

TEST_F(AdviceBookTest, QuestionsAreBounded) {
  for (int I = 0; I < 100; ++I)
    apply(AddServer{makeServer("m" + std::to_string(100 + I))});
  submit(makeJob("j", {makeStep(90, 1000)}));
  const auto Question = find();
  ASSERT_TRUE(Question);
  EXPECT_EQ(Question->Servers_.size(), 30U);
}

TEST_F(AdviceBookTest, AJobThatEndedIsForgotten) {
  submit(makeJob("j", {makeStep(2, 1000)}));
  Advice_.note(*find(), {{{"s2", "ticket"}}, 0ms}, Now_);
  apply(CancelJob{"j"});
  Advice_.prune(Book_);
  EXPECT_EQ(Advice_.findTicket(Step_, "s2", Now_), nullptr);
}

TEST_F(AdviceBookTest, QueuesThatNeedNoneAskNothing) {
  apply(PutConfiguration{makeConfiguration(3)});
  submit(makeJob("j", {makeStep(2, 1000)}));
  EXPECT_FALSE(find());
}
