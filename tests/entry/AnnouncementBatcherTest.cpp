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

/// Answers batches as Answer_ says; single announcements as FakeControl.
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
  /// One announcement of a server with one running attempt, and all its time.
  const Outcome<wire::AnnouncementReply> &announce(const char *Server = "s") {
    wire::Announcement &Value = Values_[Server];
    Value.Server_ = BackendServerId(Server);
    Value.Attempts_.resize(1);
    ++Value.Sequence_;
    Reply_ = fail(ErrorCode::Internal, "no answer");
    Batcher_.announce(Value, milliseconds(500),
                      [this](const auto &Reply) { Reply_ = Reply; });
    Timers_.advance(milliseconds(300));
    return Reply_;
  }
  std::vector<wire::AnnouncementDigest> digests() const {
    return wire::unpackDigests(Control_.Batches_.back().Digests_).value();
  }
  void except(BatchVerdict Verdict) {
    wire::BatchException Other;
    Other.Verdict_ = Verdict;
    Other.Error_ = getErrorName(ErrorCode::InvalidArgument);
    Control_.Next_.value().Exceptions_ = {Other};
  }

  ManualClock Clock_;
  FakeTimers Timers_{Clock_};
  BatchControl Control_{Timers_};
  AnnouncementBatcher Batcher_{{{EntryId("e"), DataCentreId("d"), "", 7},
                                Control_,
                                Timers_,
                                Clock_,
                                {}}};
  std::map<std::string, wire::Announcement> Values_;
  Outcome<wire::AnnouncementReply> Reply_ = fail(ErrorCode::Internal, "");
};

TEST_F(AnnouncementBatcherTest, TheFirstGoesWholeTheNextOnesAsDigests) {
  EXPECT_EQ(announce().value().Renewals_.size(), 1U);
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Value_, Values_["s"]);
  announce();
  EXPECT_EQ(announce().value(), wire::makeUsualReply(Values_["s"], 3000, 500));
  EXPECT_TRUE(Control_.Batches_.back().Full_.empty());
  EXPECT_EQ(digests(), (std::vector<wire::AnnouncementDigest>{{1, 2}}));
}

TEST_F(AnnouncementBatcherTest, ManyServersShareOneBatch) {
  for (const char *Server : {"a", "b", "c"})
    announce(Server);
  const std::size_t Before = Control_.Batches_.size();
  for (const char *Server : {"c", "a", "b"}) {
    ++Values_[Server].Sequence_;
    Batcher_.announce(Values_[Server], seconds(1), [](const auto &) {});
  }
  Timers_.advance(milliseconds(200));
  EXPECT_EQ(Control_.Batches_.size(), Before + 1);
  EXPECT_EQ(digests(),
            (std::vector<wire::AnnouncementDigest>{{1, 1}, {2, 1}, {3, 1}}));
}

TEST_F(AnnouncementBatcherTest, NewsAndAgeGoWholeUnderANewNumber) {
  announce();
  Values_["s"].Draining_ = true;
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Number_, 2U);
  Values_["s"].Attempts_[0].Usage_ = Resources::makeFor(0, 0);
  Timers_.advance(seconds(61));
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Number_, 3U);
  Values_["s"].ServiceReports_.resize(1);
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Number_, 4U);
}

TEST_F(AnnouncementBatcherTest, NewMeasuresWaitForTheRefresh) {
  Values_["s"].ServiceReports_ = {{ServiceId("v"), 100, 1000, 900, 10, 0}};
  announce();
  Values_["s"].ServiceReports_[0].LoadPercent_ = 50;
  announce();
  EXPECT_TRUE(Control_.Batches_.back().Full_.empty());
  Timers_.advance(seconds(10));
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.size(), 1U);
}

TEST_F(AnnouncementBatcherTest, AnUnknownNumberIsSentWholeAtOnce) {
  announce();
  except(BatchVerdict::SendFull);
  EXPECT_EQ(announce().value().Renewals_.size(), 1U);
  EXPECT_EQ(Control_.Batches_.size(), 3U);
  EXPECT_EQ(Control_.Batches_.back().Full_.at(0).Value_, Values_["s"]);
  // A leader that asks again for what it just got is not asked for ever.
  Control_.Next_ = wire::AnnouncementBatchReply{3000, 500, {}};
  announce();
  EXPECT_EQ(digests().size(), 1U);
}

TEST_F(AnnouncementBatcherTest, ExceptionsReplaceTheUsualAnswer) {
  announce();
  except(BatchVerdict::Differs);
  EXPECT_TRUE(announce().value().Renewals_.empty());
  except(BatchVerdict::Refused);
  EXPECT_EQ(announce().error().Code_, ErrorCode::InvalidArgument);
}

TEST_F(AnnouncementBatcherTest, AfterALostAnswerTheNextGoesWhole) {
  announce();
  Values_["s"].Slots_ = 9;
  Control_.Next_ = fail(ErrorCode::Timeout, "lost");
  EXPECT_EQ(announce().error().Code_, ErrorCode::Timeout);
  Values_["s"].Slots_ = 0;
  announce();
  EXPECT_EQ(Control_.Batches_.back().Full_.size(), 1U);
}

TEST_F(AnnouncementBatcherTest, AVeryLongOneGoesAloneSoThatBatchesFit) {
  Values_["s"].Attempts_.resize(1);
  Values_["s"].Attempts_[0].Checkpoint_.assign(9000, 'x');
  EXPECT_EQ(announce().value().LeaseTtlMs_, 6000U);
  EXPECT_EQ(Control_.Announcements_.size(), 1U);
  EXPECT_TRUE(Control_.Batches_.empty());
}

TEST_F(AnnouncementBatcherTest, AnEarlierControlGetsThemOneByOne) {
  Control_.Next_ = fail(ErrorCode::VersionMismatch, "");
  EXPECT_EQ(announce().value().LeaseTtlMs_, 6000U);
  EXPECT_EQ(Control_.Announcements_.size(), 1U);
}
