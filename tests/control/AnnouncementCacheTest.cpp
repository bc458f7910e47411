//===- AnnouncementCacheTest.cpp ----------------------------------------===//

#include "control/AnnouncementCache.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;
using std::chrono::seconds;
using wire::BatchVerdict;

class AnnouncementCacheTest : public testing::Test {
protected:
  AnnouncementCacheTest() {
    Value_.Server_ = BackendServerId("s");
    Value_.Sequence_ = 10;
    Value_.Attempts_.resize(1);
    Value_.ServiceReports_.resize(1);
  }
  wire::NumberedAnnouncement makeNumbered(std::uint64_t Number) const {
    return {Number, Value_};
  }
  Outcome<wire::AnnouncementBatchReply>
  send(std::vector<wire::NumberedAnnouncement> Full,
       const std::vector<wire::AnnouncementDigest> &Digests,
       std::uint64_t Incarnation = 1) {
    Handled_.clear();
    return Cache_.onBatch({EntryId("e"), Incarnation, std::move(Full),
                           wire::packDigests(Digests)},
                          Now_, [this](const wire::Announcement &Announced) {
                            Handled_.push_back(Announced);
                            return Answer_(Announced);
                          });
  }
  BatchVerdict getVerdict(const wire::AnnouncementDigest &Digest,
                          std::uint64_t Incarnation = 1) {
    const auto Reply = send({}, {Digest}, Incarnation);
    return Reply.value().Exceptions_.at(0).Verdict_;
  }

  wire::Announcement Value_;
  TimePoint Now_{std::chrono::hours(1)};
  AnnouncementCache Cache_;
  std::vector<wire::Announcement> Handled_;
  std::function<Outcome<wire::AnnouncementReply>(const wire::Announcement &)>
      Answer_ = [](const wire::Announcement &Announced) {
        return wire::makeUsualReply(Announced, 3000, 500);
      };
};

TEST_F(AnnouncementCacheTest, HandlesADigestAsTheAnnouncementItStandsFor) {
  EXPECT_TRUE(send({makeNumbered(1)}, {}).value().Exceptions_.empty());
  Now_ += seconds(2);
  const auto Reply = send({}, {{1, 2}}).value();
  EXPECT_TRUE(Reply.Exceptions_.empty());
  EXPECT_EQ(Reply.LeaseTtlMs_, 3000U);
  wire::Announcement Expected = Value_;
  Expected.Sequence_ = 12;
  Expected.Attempts_[0].ProgressMs_ = 2000;
  Expected.ServiceReports_.clear();
  EXPECT_EQ(Handled_, std::vector{Expected});
}

TEST_F(AnnouncementCacheTest, RequestsFullAnnouncementsForUnknownNumbers) {
  (void)send({makeNumbered(1)}, {});
  EXPECT_EQ(getVerdict({2, 1}), BatchVerdict::SendFull);
  EXPECT_EQ(getVerdict({1, 1}, 2), BatchVerdict::SendFull)
      << "number of another entry incarnation";
  EXPECT_EQ(getVerdict({1, ~0ULL}), BatchVerdict::SendFull) << "overflow";
  EXPECT_TRUE(Handled_.empty());
}

TEST_F(AnnouncementCacheTest, OlderBatchDoesNotReplaceTheLatestNumber) {
  (void)send({makeNumbered(2)}, {});
  (void)send({makeNumbered(1)}, {});
  EXPECT_EQ(getVerdict({1, 1}), BatchVerdict::SendFull);
  EXPECT_TRUE(send({}, {{2, 1}}).value().Exceptions_.empty());
  EXPECT_EQ(Cache_.size(), 1U);
}

TEST_F(AnnouncementCacheTest, ReportsRepliesThatDifferFromTheDefault) {
  (void)send({makeNumbered(1)}, {});
  Answer_ = [](const wire::Announcement &) {
    return wire::AnnouncementReply{3000, 500, {}, {}};
  };
  EXPECT_EQ(getVerdict({1, 1}), BatchVerdict::Differs) << "renewal withheld";
  Answer_ = [](const wire::Announcement &Announced) {
    wire::AnnouncementReply Reply = wire::makeUsualReply(Announced, 3000, 500);
    Reply.Commands_.resize(1);
    return Reply;
  };
  const auto Reply = send({}, {{1, 2}}).value();
  EXPECT_EQ(Reply.Exceptions_.at(0).Commands_.size(), 1U);
  EXPECT_EQ(Reply.Exceptions_.at(0).Renewals_.size(), 1U);
}

TEST_F(AnnouncementCacheTest, ReportsErrorsAndStopsWhenNotLeader) {
  Answer_ = [](const wire::Announcement &) {
    return Outcome<wire::AnnouncementReply>(
        fail(ErrorCode::InvalidArgument, "why"));
  };
  const auto Reply = send({makeNumbered(1)}, {}).value();
  EXPECT_EQ(Reply.Exceptions_.at(0).Verdict_, BatchVerdict::Refused);
  EXPECT_EQ(Reply.Exceptions_.at(0).Message_, "why");
  EXPECT_EQ(getVerdict({1, 1}), BatchVerdict::SendFull) << "must not be cached";
  Answer_ = [](const wire::Announcement &) {
    return Outcome<wire::AnnouncementReply>(fail(ErrorCode::NotLeader, ""));
  };
  EXPECT_EQ(send({makeNumbered(2), makeNumbered(3)}, {}).error().Code_,
            ErrorCode::NotLeader);
  EXPECT_EQ(Handled_.size(), 1U);
}

TEST_F(AnnouncementCacheTest, EvictsUnusedAnnouncements) {
  (void)send({makeNumbered(1)}, {});
  Now_ += std::chrono::minutes(3);
  (void)send({}, {}, 2);
  EXPECT_EQ(Cache_.size(), 0U);
}
