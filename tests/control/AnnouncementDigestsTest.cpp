//===- AnnouncementDigestsTest.cpp ----------------------------------------===//

#include "control/AnnouncementDigests.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;
using std::chrono::seconds;
using wire::BatchVerdict;

class AnnouncementDigestsTest : public testing::Test {
protected:
  AnnouncementDigestsTest() {
    Value_.Server_ = BackendServerId("s");
    Value_.Sequence_ = 10;
    Value_.Attempts_.resize(1);
    Value_.ServiceReports_.resize(1);
  }
  wire::NumberedAnnouncement full(std::uint64_t Number) const {
    return {Number, Value_};
  }
  Outcome<wire::AnnouncementBatchReply>
  send(std::vector<wire::NumberedAnnouncement> Full,
       const std::vector<wire::AnnouncementDigest> &Digests,
       std::uint64_t Incarnation = 1) {
    Handled_.clear();
    return Digests_.onBatch({EntryId("e"), Incarnation, std::move(Full),
                             wire::packDigests(Digests)},
                            Now_, [this](const wire::Announcement &Each) {
                              Handled_.push_back(Each);
                              return Answer_(Each);
                            });
  }
  BatchVerdict verdictOf(const wire::AnnouncementDigest &Digest,
                         std::uint64_t Incarnation = 1) {
    const auto Reply = send({}, {Digest}, Incarnation);
    return Reply.value().Exceptions_.at(0).Verdict_;
  }

  wire::Announcement Value_;
  TimePoint Now_{std::chrono::hours(1)};
  AnnouncementDigests Digests_;
  std::vector<wire::Announcement> Handled_;
  std::function<Outcome<wire::AnnouncementReply>(const wire::Announcement &)>
      Answer_ = [](const wire::Announcement &Each) {
        return wire::makeUsualReply(Each, 3000, 500);
      };
};

TEST_F(AnnouncementDigestsTest, ADigestIsHandledAsWhatItStandsFor) {
  EXPECT_TRUE(send({full(1)}, {}).value().Exceptions_.empty());
  Now_ += seconds(2);
  const auto Reply = send({}, {{1, 2}}).value();
  EXPECT_TRUE(Reply.Exceptions_.empty());
  EXPECT_EQ(Reply.LeaseTtlMs_, 3000U);
  wire::Announcement Wanted = Value_;
  Wanted.Sequence_ = 12;
  Wanted.Attempts_[0].ProgressMs_ = 2000;
  Wanted.ServiceReports_.clear();
  EXPECT_EQ(Handled_, std::vector{Wanted});
}

TEST_F(AnnouncementDigestsTest, UnknownNumbersAreAskedForAndDoNothing) {
  (void)send({full(1)}, {});
  EXPECT_EQ(verdictOf({2, 1}), BatchVerdict::SendFull);
  EXPECT_EQ(verdictOf({1, 1}, 2), BatchVerdict::SendFull) << "another entry's";
  EXPECT_EQ(verdictOf({1, ~0ULL}), BatchVerdict::SendFull) << "overflow";
  EXPECT_TRUE(Handled_.empty());
}

TEST_F(AnnouncementDigestsTest, AnOlderBatchDoesNotBringANumberBack) {
  (void)send({full(2)}, {});
  (void)send({full(1)}, {});
  EXPECT_EQ(verdictOf({1, 1}), BatchVerdict::SendFull);
  EXPECT_TRUE(send({}, {{2, 1}}).value().Exceptions_.empty());
  EXPECT_EQ(Digests_.size(), 1U);
}

TEST_F(AnnouncementDigestsTest, WhateverIsNotUsualTravels) {
  (void)send({full(1)}, {});
  Answer_ = [](const wire::Announcement &) {
    return wire::AnnouncementReply{3000, 500, {}, {}};
  };
  EXPECT_EQ(verdictOf({1, 1}), BatchVerdict::Differs) << "renewal withheld";
  Answer_ = [](const wire::Announcement &Each) {
    wire::AnnouncementReply Reply = wire::makeUsualReply(Each, 3000, 500);
    Reply.Commands_.resize(1);
    return Reply;
  };
  const auto Reply = send({}, {{1, 2}}).value();
  EXPECT_EQ(Reply.Exceptions_.at(0).Commands_.size(), 1U);
  EXPECT_EQ(Reply.Exceptions_.at(0).Renewals_.size(), 1U);
}

TEST_F(AnnouncementDigestsTest, ErrorsAreToldAndAnotherLeaderEndsTheBatch) {
  Answer_ = [](const wire::Announcement &) {
    return Outcome<wire::AnnouncementReply>(
        fail(ErrorCode::InvalidArgument, "why"));
  };
  const auto Reply = send({full(1)}, {}).value();
  EXPECT_EQ(Reply.Exceptions_.at(0).Verdict_, BatchVerdict::Refused);
  EXPECT_EQ(Reply.Exceptions_.at(0).Message_, "why");
  EXPECT_EQ(verdictOf({1, 1}), BatchVerdict::SendFull) << "not remembered";
  Answer_ = [](const wire::Announcement &) {
    return Outcome<wire::AnnouncementReply>(fail(ErrorCode::NotLeader, ""));
  };
  EXPECT_EQ(send({full(2), full(3)}, {}).error().Code_, ErrorCode::NotLeader);
  EXPECT_EQ(Handled_.size(), 1U);
}

TEST_F(AnnouncementDigestsTest, WhatNobodyUsesIsForgotten) {
  (void)send({full(1)}, {});
  Now_ += std::chrono::minutes(3);
  (void)send({}, {}, 2);
  EXPECT_EQ(Digests_.size(), 0U);
}
