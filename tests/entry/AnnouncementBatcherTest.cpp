//===- AnnouncementBatcherTest.cpp ----------------------------------------===//

#include "tulipweir/entry/AnnouncementBatcher.h"

#include "entry/support/Fakes.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::BatchVerdict;

/// Answers batches with Next_, and single announcements like FakeControl.
class BatchControl final : public FakeControl {
public:
  using FakeControl::FakeControl;
  void announceBatch(const wire::AnnouncementBatch &Batch, Duration,
                     ControlCallback<wire::AnnouncementBatch> Done) override {
    Batches_.push_back(Batch);
    Outcome<wire::AnnouncementBatchReply> Reply = Next_;
    Next_ = wire::AnnouncementBatchReply{3000, 500, {}};
    Done(std::move(Reply));
  }

  std::vector<wire::AnnouncementBatch> Batches_;
  Outcome<wire::AnnouncementBatchReply> Next_ =
      wire::AnnouncementBatchReply{3000, 500, {}};
};

class AnnouncementBatcherTest : public testing::Test {
protected:
  /// Sends an announcement with one running attempt and advances the clock
  /// until it is answered.
  const Outcome<wire::AnnouncementReply> &announce(const char *Server = "s") {
    wire::Announcement &Announcement = Announcements_[Server];
    Announcement.Server_ = BackendServerId(Server);
    Announcement.Attempts_.resize(1);
    ++Announcement.Sequence_;
    Reply_ = fail(ErrorCode::Internal, "no answer");
    Batcher_.announce(Announcement, milliseconds(500),
                      [this](const auto &Reply) { Reply_ = Reply; });
    Timers_.advance(milliseconds(300));
    return Reply_;
  }
  std::vector<wire::AnnouncementDigest> digests() const {
    return wire::unpackDigests(Control_.Batches_.back().Digests_).value();
  }
  void replyWithException(BatchVerdict Verdict) {
    wire::BatchException Exception;
    Exception.Verdict_ = Verdict;
    Exception.Error_ = getErrorName(ErrorCode::InvalidArgument);
    Control_.Next_.value().Exceptions_ = {Exception};
  }

  ManualClock Clock_;
  FakeTimers Timers_{Clock_};
  BatchControl Control_{Timers_};
  AnnouncementBatcher Batcher_{{{EntryId("e"), DataCentreId("d"), "", 7},
                                Control_,
                                Timers_,
                                Clock_,
                                {}}};
  std::map<std::string, wire::Announcement> Announcements_;
  Outcome<wire::AnnouncementReply> Reply_ = fail(ErrorCode::Internal, "");
};

TEST_F(AnnouncementBatcherTest, FirstAnnouncementIsFullLaterOnesAreDigests) {
  EXPECT_EQ(announce().value().Renewals_.size(), 1U);
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Value_, Announcements_["s"]);
  announce();
  EXPECT_EQ(announce().value(),
            wire::makeUsualReply(Announcements_["s"], 3000, 500));
  EXPECT_TRUE(Control_.Batches_.back().Full_.empty());
  EXPECT_EQ(digests(), (std::vector<wire::AnnouncementDigest>{{1, 2}}));
}

TEST_F(AnnouncementBatcherTest, ManyServersAreSentInOneBatch) {
  for (const char *Server : {"a", "b", "c"})
    announce(Server);
  const std::size_t Before = Control_.Batches_.size();
  for (const char *Server : {"c", "a", "b"}) {
    ++Announcements_[Server].Sequence_;
    Batcher_.announce(Announcements_[Server], seconds(1), [](const auto &) {});
  }
  Timers_.advance(milliseconds(200));
  EXPECT_EQ(Control_.Batches_.size(), Before + 1);
  EXPECT_EQ(digests(),
            (std::vector<wire::AnnouncementDigest>{{1, 1}, {2, 1}, {3, 1}}));
}

TEST_F(AnnouncementBatcherTest,
       ChangedOrOldAnnouncementIsSentInFullWithANewNumber) {
  announce();
  Announcements_["s"].Draining_ = true;
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Number_, 2U);
  Announcements_["s"].Attempts_[0].Usage_ = Resources::makeFor(0, 0);
  Timers_.advance(seconds(61));
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Number_, 3U);
  Announcements_["s"].ServiceReports_.resize(1);
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Number_, 4U);
}

TEST_F(AnnouncementBatcherTest, NewMeasurementsAreSentAfterTheRefreshPeriod) {
  Announcements_["s"].ServiceReports_ = {
      {ServiceId("v"), 100, 1000, 900, 10, 0}};
  announce();
  Announcements_["s"].ServiceReports_[0].LoadPercent_ = 50;
  announce();
  EXPECT_TRUE(Control_.Batches_.back().Full_.empty());
  Timers_.advance(seconds(10));
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.size(), 1U);
}

TEST_F(AnnouncementBatcherTest, UnknownNumberIsResentInFullAtOnce) {
  announce();
  replyWithException(BatchVerdict::SendFull);
  EXPECT_EQ(announce().value().Renewals_.size(), 1U);
  EXPECT_EQ(Control_.Batches_.size(), 3U);
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Value_, Announcements_["s"]);
  // A leader that repeatedly requests the full announcement does not cause an
  // endless loop.
  Control_.Next_ = wire::AnnouncementBatchReply{3000, 500, {}};
  announce();
  EXPECT_EQ(digests().size(), 1U);
}

TEST_F(AnnouncementBatcherTest, ExceptionsReplaceTheDefaultReply) {
  announce();
  replyWithException(BatchVerdict::Differs);
  EXPECT_TRUE(announce().value().Renewals_.empty());
  replyWithException(BatchVerdict::Refused);
  EXPECT_EQ(announce().error().Code_, ErrorCode::InvalidArgument);
}

TEST_F(AnnouncementBatcherTest, NextAnnouncementAfterALostReplyIsFull) {
  announce();
  Announcements_["s"].Slots_ = 9;
  Control_.Next_ = fail(ErrorCode::Timeout, "lost");
  EXPECT_EQ(announce().error().Code_, ErrorCode::Timeout);
  Announcements_["s"].Slots_ = 0;
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.size(), 1U);
}

TEST_F(AnnouncementBatcherTest, LargeAnnouncementIsSentOutsideTheBatch) {
  Announcements_["s"].Attempts_.resize(1);
  Announcements_["s"].Attempts_[0].Checkpoint_.assign(9000, 'x');
  EXPECT_EQ(announce().value().LeaseTtlMs_, 6000U);
  EXPECT_EQ(Control_.Announcements_.size(), 1U);
  EXPECT_TRUE(Control_.Batches_.empty());
}

TEST_F(AnnouncementBatcherTest,
       ControlWithoutBatchSupportGetsSingleAnnouncements) {
  Control_.Next_ = fail(ErrorCode::VersionMismatch, "");
  EXPECT_EQ(announce().value().LeaseTtlMs_, 6000U);
  EXPECT_EQ(Control_.Announcements_.size(), 1U);
}
