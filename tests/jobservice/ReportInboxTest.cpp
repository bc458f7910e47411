//===- ReportInboxTest.cpp - Tests of batch expiry ------------------------===//

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
  /// Adds a batch that has waited for the given time.
  void add(ReportBatch Batch, Duration Waited) {
    Batch.TimeoutMs_ = 800;
    Inbox_.add(std::move(Batch), Time_.now() - Waited,
               [this](ReportBatchReply Reply) {
                 Replies_.push_back(std::move(Reply));
               });
  }

  ManualClock Time_;
  NoJobMeter Meter_;
  std::vector<ReportBatch> Handled_;
  std::vector<ReportBatchReply> Replies_;
  ReportInbox Inbox_{Time_, Meter_,
                     [this](ReportBatch Batch, const ReportInbox::Reply &) {
                       Handled_.push_back(std::move(Batch));
                     }};
};

} // namespace

TEST_F(ReportInboxTest, BatchInTimeIsHandledWithItsWaitTime) {
  add({{makeReport("a")}}, 300ms);
  ASSERT_EQ(Handled_.size(), 1U);
  EXPECT_EQ(Handled_[0].Reports_[0].WaitedMs_, 300U);
  EXPECT_TRUE(Replies_.empty());
}

// Guards against work on reports whose relays are about to time out.
TEST_F(ReportInboxTest, ExpiredBatchIsRejectedUnhandled) {
  add({{makeReport("a"), makeReport("b")}}, 401ms);
  ASSERT_EQ(Replies_.size(), 1U);
  ASSERT_EQ(Replies_[0].Answers_.size(), 2U);
  EXPECT_EQ(Replies_[0].Answers_[1].Verdict_, ReportVerdict::Expired);
  EXPECT_TRUE(Handled_.empty());
}

// Guards against a server that is removed although the reports of its ended
// tasks had arrived.
TEST_F(ReportInboxTest, EndedTasksInAFlushDoNotExpire) {
  ReportBatch Batch{{makeReport("late"), makeReport("current")}};
  Batch.FlushId_ = 7;
  Batch.LateReports_ = 1;
  add(Batch, 2s);
  ASSERT_EQ(Handled_.size(), 1U);
  EXPECT_EQ(Handled_[0].LateReports_, 2U);
  EXPECT_EQ(Handled_[0].FlushId_, 7U);
}

TEST_F(ReportInboxTest, BatchWithoutATimeoutNeverExpires) {
  Inbox_.add({{makeReport("a")}}, Time_.now() - 5s, [](const auto &) {});
  EXPECT_EQ(Handled_.size(), 1U);
}
