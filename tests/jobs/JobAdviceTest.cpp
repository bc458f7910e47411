//===- JobAdviceTest.cpp - A leader with an advice service ----------------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class JobAdviceTest : public JobLeaderTest {
protected:
  JobAdviceTest() {
    Configuration Value = makeConfiguration(2);
    Value.Queues_[0].Advice_ = {true, 20, 5, 3000};
    Leader_.putConfiguration(Value, [](const Outcome<void> &) {});
    Strand_.runAll();
  }
  void answer(const Outcome<Advice> &Answer) {
    ASSERT_FALSE(Advisor_.Questions_.empty());
    Advisor_.Questions_.back().Reply_(Answer);
    Strand_.runAll();
  }
};

} // namespace

TEST_F(JobAdviceTest, StartCarriesTicketOfItsServer) {
  report(makeReport("s1"));
  report(makeReport("s2"));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty())
      << "no advice was requested yet";
  Strand_.advance(60ms);
  ASSERT_EQ(Advisor_.Questions_.size(), 1U);
  EXPECT_EQ(Advisor_.Questions_[0].Step_, (StepKey{"j", 0, 0}));
  EXPECT_EQ(Advisor_.Questions_[0].Servers_,
            (std::vector<std::string>{"s1", "s2"}));
  answer(Advice{{{"s2", "t-2"}}, 3s});
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty()) << "s1 is not eligible";
  const ServerOrders Orders = report(makeReport("s2"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(Orders.Starts_[0].Ticket_, "t-2");
}

TEST_F(JobAdviceTest, OnlyOneAdviceRequestIsPending) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  call(CallKind::Submit, "k", {makeStep(1, 1000)});
  Strand_.advance(500ms);
  EXPECT_EQ(Advisor_.Questions_.size(), 1U);
  answer(Advice{{{"s1", "t"}}, 3s});
  ASSERT_EQ(Advisor_.Questions_.size(), 2U)
      << "the next request follows immediately";
  EXPECT_EQ(Advisor_.Questions_[1].Step_.Job_, "k");
}

TEST_F(JobAdviceTest, FailedAdviceRequestIsRetriedWithDelay) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  Strand_.advance(60ms);
  answer(fail(ErrorCode::Overfull, "too many"));
  EXPECT_EQ(Advisor_.Questions_.size(), 1U);
  EXPECT_EQ(Log_.last(EventKind::AdviceTaken).Reason_, "too many");
  Strand_.advance(500ms);
  EXPECT_EQ(Advisor_.Questions_.size(), 2U);
}

TEST_F(JobAdviceTest, AnswerForEarlierTermIsDropped) {
  report(makeReport("s1"));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  Strand_.advance(60ms);
  Group_.Term_ = 2;
  Strand_.advance(200ms);
  const std::size_t Asked = Advisor_.Questions_.size();
  ASSERT_GE(Asked, 2U) << "the new term sends its own request";
  Advisor_.Questions_.front().Reply_(Advice{{{"s1", "old"}}, 3s});
  Strand_.runAll();
  EXPECT_TRUE(report(makeReport("s1")).Starts_.empty());
}

TEST_F(JobAdviceTest, QueueNeedingAdviceRefusesJobsWithoutAdviceService) {
  Advisor_.IsThere_ = false;
  report(makeReport("s1"));
  const JobCallReply Reply = call(CallKind::Submit, "j", {makeStep(1, 1000)});
  EXPECT_EQ(Reply.Outcome_, CallOutcome::Refused);
  EXPECT_GT(Reply.RetryAfterMs_, 0U);
  Strand_.advance(500ms);
  EXPECT_TRUE(Advisor_.Questions_.empty());
}
