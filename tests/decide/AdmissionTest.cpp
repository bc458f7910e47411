//===- AdmissionTest.cpp ------------------------------------------------===//

#include "tulipweir/decide/Admission.h"
#include "tulipweir/decide/RetryBudget.h"
#include "tulipweir/decide/TokenBucket.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::decide;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1h};
static constexpr SlotStatus Busy{0, 10, 100ms};

TEST(TokenBucketTest, GivesTheBurstThenTheRate) {
  TokenBucket Bucket(2, 3, Start);
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(Bucket.tryTake(Start));
  EXPECT_FALSE(Bucket.tryTake(Start));
  EXPECT_FALSE(Bucket.tryTake(Start + 499ms));
  EXPECT_TRUE(Bucket.tryTake(Start + 500ms));
  EXPECT_FALSE(Bucket.tryTake(Start + 500ms));
}

TEST(TokenBucketTest, ATokenIsAvailableAfterTheReturnedWait) {
  TokenBucket Bucket(3, 1, Start);
  TimePoint Now = Start;
  for (int I = 0; I < 100; ++I) {
    ASSERT_TRUE(Bucket.tryTake(Now));
    ASSERT_FALSE(Bucket.tryTake(Now));
    Now += Bucket.getTimeUntil(Now);
  }
  EXPECT_EQ(TokenBucket(0, 0, Start).getTimeUntil(Start), TokenBucket::MaxWait);
}

TEST(TokenBucketTest, AClockThatGoesBackAddsNoTokens) {
  TokenBucket Bucket(1000, 2, Start);
  EXPECT_TRUE(Bucket.tryTake(Start));
  // The earlier time does not remove tokens either.
  EXPECT_TRUE(Bucket.tryTake(Start - 1s));
  EXPECT_FALSE(Bucket.tryTake(Start));
}

TEST(RetryBudgetTest, LimitsRetriesToATenthOfFirstTries) {
  RetryBudget Budget(0.1);
  int Retries = 0;
  for (int I = 0; I < 10000; ++I) {
    Budget.recordFirstTry();
    Retries += Budget.trySpend() ? 1 : 0;
  }
  EXPECT_GE(Retries, 1000);
  EXPECT_LE(Retries, 1000 + 10);
  EXPECT_FALSE(RetryBudget(0).trySpend());
}

TEST(AdmissionTest, StartsWhenASlotIsFree) {
  const Admission Queue({}, Start);
  EXPECT_EQ(Queue.evaluate(Start, Start + 1s, {1, 10, 100ms}).Choice_,
            AdmissionChoice::Start);
}

TEST(AdmissionTest, RefusesARequestThatWouldMissItsDeadline) {
  Admission Queue({}, Start);
  // 10 slots at 100 ms each drain 100 per second: 50 wait for 510 ms.
  for (int I = 0; I < 50; ++I)
    Queue.recordQueued(Start, Busy);
  const auto Late = Queue.evaluate(Start, Start + 300ms, Busy);
  EXPECT_EQ(Late.Choice_, AdmissionChoice::TooLate);
  EXPECT_EQ(Late.RetryAfter_, 310ms);
  EXPECT_EQ(Queue.evaluate(Start, Start + 700ms, Busy).Choice_,
            AdmissionChoice::Queue);
}

TEST(AdmissionTest, QueueIsBounded) {
  AdmissionSettings Settings;
  Settings.QueueLimit_ = 2;
  Admission Queue(Settings, Start);
  Queue.recordQueued(Start, Busy);
  Queue.recordQueued(Start, Busy);
  const auto Full = Queue.evaluate(Start, Start + 1h, Busy);
  EXPECT_EQ(Full.Choice_, AdmissionChoice::QueueFull);
  EXPECT_GE(Full.RetryAfter_, Settings.MinRetryAfter_);
  Queue.recordAbandoned();
  EXPECT_EQ(Queue.evaluate(Start, Start + 1h, Busy).Choice_,
            AdmissionChoice::Queue);
}

TEST(AdmissionTest, MeasuresTheDrainRateWhileSomeWait) {
  Admission Queue({}, Start);
  TimePoint Now = Start;
  for (int I = 0; I < 200; ++I)
    Queue.recordQueued(Now, Busy);
  // The nominal rate is 100 per second, but only 10 leave.
  for (int I = 0; I < 100; ++I)
    Queue.recordDequeued(Now += 100ms);
  EXPECT_NEAR(Queue.drainRate(Now), 10, 1);
  EXPECT_EQ(Queue.evaluate(Now, Now + 5s, Busy).Choice_,
            AdmissionChoice::TooLate);
}

TEST(AdmissionTest, AcceptsABurstAfterAnIdleHour) {
  Admission Queue({}, Start);
  Queue.recordQueued(Start, Busy);
  Queue.recordDequeued(Start + 10ms);
  const TimePoint Later = Start + 1h;
  EXPECT_EQ(Queue.evaluate(Later, Later + 200ms, Busy).Choice_,
            AdmissionChoice::Queue);
}

TEST(AdmissionTest, AStuckQueueRefusesNewRequests) {
  Admission Queue({}, Start);
  Queue.recordQueued(Start, Busy);
  const TimePoint Later = Start + 1min;
  const auto Answer = Queue.evaluate(Later, Later + 10s, Busy);
  EXPECT_EQ(Answer.Choice_, AdmissionChoice::TooLate);
  EXPECT_LE(Answer.RetryAfter_, AdmissionSettings().MaxRetryAfter_);
}
