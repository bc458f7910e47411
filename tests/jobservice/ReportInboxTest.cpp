//===- ReportInboxTest.cpp - Batches that wait for the leader -------------===//

#include "jobservice/ReportInbox.h"
#include "jobservice/RelayFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using jobservice::test::makeReport;
using namespace std::chrono_literals;

namespace {

class ReportInboxTest : public ::testing::Test {
protected:
  void add(ReportBatch Batch) {
    Batch.TimeoutMs_ = 800;
    Inbox_.add(std::move(Batch), Time_.now(), [this](ReportBatchReply Reply) {
      Replies_.push_back(std::move(Reply));
    });
  }

  ManualClock Time_;
  jobs::test::ManualExecutor Strand_{Time_};
  NoJobMeter Meter_;
  std::vector<ReportBatch> Handled_;
  std::vector<ReportBatchReply> Replies_;
  ReportInbox Inbox_{Strand_, Time_, Meter_,
                     [this](ReportBatch Batch, const ReportInbox::Reply &) {
                       Handled_.push_back(std::move(Batch));
                     }};
};

} // namespace

TEST_F(ReportInboxTest, BatchesAreHandledInOrderWithOtherWorkInBetween) {
  std::size_t HandledBefore = 0;
  add({{makeReport("a")}});
  add({{makeReport("b")}});
  Strand_.post([&] { HandledBefore = Handled_.size(); });
  Strand_.runAll();
  ASSERT_EQ(Handled_.size(), 2U);
  EXPECT_EQ(HandledBefore, 1U);
  EXPECT_EQ(Handled_[0].Reports_[0].Facts_.Id_, "a");
}

// Guards against work on reports whose relays are about to give them up.
TEST_F(ReportInboxTest, ABatchThatWaitedTooLongIsRejectedUnhandled) {
  add({{makeReport("a"), makeReport("b")}});
  Time_.advance(401ms);
  add({{makeReport("c")}});
  Strand_.runAll();
  ASSERT_EQ(Replies_.size(), 1U);
  ASSERT_EQ(Replies_[0].Answers_.size(), 2U);
  EXPECT_EQ(Replies_[0].Answers_[1].Verdict_, ReportVerdict::Expired);
  ASSERT_EQ(Handled_.size(), 1U);
  EXPECT_EQ(Handled_[0].Reports_[0].Facts_.Id_, "c");
}

// Guards against a server that is given up although its ends had arrived.
TEST_F(ReportInboxTest, TheEndsInAFlushDoNotExpire) {
  ReportBatch Batch{{makeReport("late"), makeReport("current")}};
  Batch.FlushId_ = 7;
  Batch.LateReports_ = 1;
  add(Batch);
  Time_.advance(2s);
  Strand_.runAll();
  ASSERT_EQ(Handled_.size(), 1U);
  EXPECT_EQ(Handled_[0].LateReports_, 2U);
  EXPECT_EQ(Handled_[0].FlushId_, 7U);
}

TEST_F(ReportInboxTest, ABatchWithoutATimeoutIsHandledHoweverLate) {
  Inbox_.add({{makeReport("a")}}, Time_.now(), [](const auto &) {});
  Time_.advance(5s);
  Strand_.runAll();
  EXPECT_EQ(Handled_.size(), 1U);
}
