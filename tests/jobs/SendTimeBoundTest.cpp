//===- SendTimeBoundTest.cpp ----------------------------------------------===//

#include "jobs/SendTimeBound.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

static const TimePoint Start{1h};
static constexpr std::uint64_t Drift = 3;

// Guards against a delayed report that counts from its receipt.
TEST(SendTimeBoundTest, DelayedReportCountsFromItsSending) {
  SendTimeBound Sent;
  EXPECT_EQ(Sent.compute(Start, 10'000, Drift), Start);
  EXPECT_EQ(Sent.compute(Start + 5s, 10'999, Drift), Start + 1030ms);
  EXPECT_EQ(Sent.compute(Start + 5s, 11'999, Drift), Start + 2060ms);
}

// Guards against bounds that become weaker the longer a server runs.
TEST(SendTimeBoundTest, EarlierReceiptBecomesTheReference) {
  SendTimeBound Sent;
  Sent.compute(Start + 2s, 10'000, Drift);
  EXPECT_EQ(Sent.compute(Start + 1s, 11'000, Drift), Start + 1s);
  EXPECT_EQ(Sent.compute(Start + 100s, 110'000, Drift), Start + 100s);
  EXPECT_EQ(Sent.compute(Start + 110s, 110'999, Drift), Start + 101030ms);
}

// Guards against a lease that ends too early for a server whose clock was set
// back.
TEST(SendTimeBoundTest, ClockThatGoesBackDropsTheReference) {
  SendTimeBound Sent;
  Sent.compute(Start, 10'000, Drift);
  EXPECT_EQ(Sent.compute(Start + 5s, 9'999, Drift), Start + 5s);
  EXPECT_EQ(Sent.compute(Start + 10s, 10'998, Drift), Start + 6030ms);
}

TEST(SendTimeBoundTest, UnknownClockGivesNoBound) {
  SendTimeBound Sent;
  Sent.compute(Start, 10'000, Drift);
  EXPECT_EQ(Sent.compute(Start + 5s, 0, Drift), Start + 5s);
  EXPECT_EQ(Sent.compute(Start + 5s, 10'999, Drift), Start + 1030ms);
}

// Guards against an overflow with a clock of any value.
TEST(SendTimeBoundTest, AnyClockIsBoundedByTheReceipt) {
  SendTimeBound Sent;
  TimePoint ReceivedAt = Start;
  for (const std::uint64_t Clock :
       {std::uint64_t(1), std::uint64_t(1) << 53, ~std::uint64_t(0)}) {
    ReceivedAt += 1s;
    EXPECT_EQ(Sent.compute(ReceivedAt, Clock, Drift), ReceivedAt);
  }
}

// Guards against a bound before the true sending, with which a task could run
// in two places, and against one that lets a delay count: it is as tight as the
// least delay and the drift since then allow.
TEST(SendTimeBoundTest, NeverBeforeTheSendingForAnyDelayAndClock) {
  for (unsigned Seed = 1; Seed <= 500; ++Seed) {
    std::mt19937 Random(Seed);
    const auto Pick = [&Random](int Least, int Most) {
      return std::uniform_int_distribution<int>(Least, Most)(Random);
    };
    // Up to 2% slow or fast, with any value at the start.
    const int Rate = Pick(980'000, 1'020'000);
    const std::int64_t ClockStart = Pick(1, 1'000'000'000);
    SendTimeBound Sent;
    TimePoint SentAt = Start;
    TimePoint LastReceipt = Start;
    // The last reference that is certainly no worse: any earlier report.
    TimePoint BestSent{};
    Duration BestDelay{};
    for (int I = 0; I < 300; ++I) {
      SentAt += std::chrono::microseconds(Pick(50'000, 1'500'000));
      Duration Delay = std::chrono::microseconds(Pick(0, 20'000));
      if (Pick(0, 9) == 0)
        Delay = std::chrono::milliseconds(Pick(100, 6000));
      const TimePoint ReceivedAt = SentAt + Delay;
      // A later report has overtaken it.
      if (ReceivedAt < LastReceipt)
        continue;
      LastReceipt = ReceivedAt;
      const std::int64_t ClockUs =
          ClockStart * 1000 +
          std::chrono::duration_cast<std::chrono::microseconds>(SentAt - Start)
                  .count() *
              Rate / 1'000'000;
      const TimePoint Bound = Sent.compute(
          ReceivedAt, static_cast<std::uint64_t>(ClockUs / 1000), Drift);
      ASSERT_GE(Bound, SentAt) << "seed " << Seed << ", report " << I;
      ASSERT_LE(Bound, ReceivedAt) << "seed " << Seed << ", report " << I;
      if (BestSent != TimePoint{}) {
        // The clock may be 2% fast, and the bound allows 3% more.
        const Duration Slack = (SentAt - BestSent) * 6 / 100 + 5ms;
        ASSERT_LE(Bound, SentAt + BestDelay + Slack)
            << "seed " << Seed << ", report " << I;
      }
      BestSent = SentAt;
      BestDelay = Bound - SentAt;
    }
  }
}
