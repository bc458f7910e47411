//===- LeaseSurveyTest.cpp - Tests of bounds of earlier leases ------------===//

#include "jobservice/LeaseSurvey.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

namespace {

/// A group of "me", "x", "y" and "z". Tests answer its queries explicitly.
class LeaseSurveyTest : public ::testing::Test {
protected:
  LeaseSurveyTest() {
    for (const char *Name : {"me", "x", "y", "z"})
      Status_.Members_.push_back({{Name, 1}, replication::MemberRole::Voter});
    Status_.Term_ = 7;
    Status_.PreviousTerm_ = 5;
    Status_.MembersIndex_ = 1;
    Survey_.poll();
    Time_.advance(60s);
  }
  void lead() {
    Status_.IsLeader_ = true;
    BeganAt_ = Time_.now();
    Survey_.start(Status_.Term_,
                  [this](const LeaseBounds &Found) { Bounds_ = Found; });
  }
  /// Answers the newest query to the member.
  void answer(const std::string &Member,
              const std::vector<HeardServer> &Servers = {},
              Duration Memory = 60s) {
    const auto MemoryMs = static_cast<std::uint64_t>(Memory / Duration(1ms));
    Replies_.at(Member)(LeaseQueryReply{MemoryMs, Servers});
  }

  ManualClock Time_;
  replication::ReplicaStatus Status_;
  std::map<std::string, int> Queries_; ///< By member.
  std::map<std::string, int> Notices_;
  std::map<std::string, LeaseSurvey::Reply> Replies_;
  HeardServers OwnReports_{Time_};
  std::optional<LeaseBounds> Bounds_;
  TimePoint BeganAt_;
  LeaseSurvey Survey_{"me", Time_, [this] { return Status_; }, OwnReports_,
                      [this](const std::string &Member, const LeaseQuery &Query,
                             LeaseSurvey::Reply Reply) {
                        if (Query.IsNotice_) {
                          ++Notices_[Member];
                          return;
                        }
                        ++Queries_[Member];
                        Replies_[Member] = std::move(Reply);
                      }};
};

} // namespace

TEST_F(LeaseSurveyTest, LeasesEndWithTheLastReportThatAnyMemberReceived) {
  OwnReports_.record("a");
  Time_.advance(2s);
  lead();
  answer("x", {{"a", 4000}, {"b", 500}});
  answer("y", {{"b", 3000}});
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 2s);
  EXPECT_EQ(Bounds_->getFor("b"), BeganAt_ - 500ms);
  EXPECT_LE(Bounds_->getFor("c"), BeganAt_ - 60s);
}

TEST_F(LeaseSurveyTest, SilentMemberMayHaveReceivedReportsUntilTheChange) {
  lead();
  answer("x", {{"a", 4000}});
  answer("y");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_);
  Time_.advance(250ms);
  Survey_.poll();
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 4s);
}

// Other members have recorded the reports that a leader received itself.
TEST_F(LeaseSurveyTest, LostLeaderIsUnknownOnlyBeforeItsLeadership) {
  Survey_.recordLeader({"x", 5, false});
  const TimePoint SeenAt = Time_.now();
  Time_.advance(20s);
  lead();
  answer("y", {{"a", 4000}});
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 4s);
  EXPECT_EQ(Bounds_->getFor("b"), SeenAt);
}

TEST_F(LeaseSurveyTest, LostLeaderOfAnOlderTermMayHaveRelayedReports) {
  Survey_.recordLeader({"x", 4, false});
  Time_.advance(20s);
  lead();
  answer("y", {{"a", 4000}});
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_);
}

TEST_F(LeaseSurveyTest, QueryOfAnOlderTermDoesNotReplaceTheLastLeader) {
  Survey_.recordLeader({"x", 5, false});
  Survey_.recordLeader({"y", 4, false});
  Time_.advance(20s);
  lead();
  answer("y", {{"a", 4000}});
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 4s);
}

TEST_F(LeaseSurveyTest, RestartedMemberIsUnknownUntilItsRestart) {
  lead();
  answer("x", {{"a", 4000}});
  answer("y", {}, 1s);
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 1s);
}

// An uncommitted change of the members that another one replaces at the same
// log index hides that a member was removed.
TEST_F(LeaseSurveyTest, LeasesMayCountFromAChangeAtTheIndexOfAnotherOne) {
  Status_.Members_.push_back(Status_.Members_.back());
  Status_.Members_.back().Id_.Name_ = "new";
  Status_.MembersIndex_ = 9;
  Survey_.poll();
  Time_.advance(30s);
  // The entry at index 9 is replaced: "new" is not added and "z" is removed.
  Status_.Members_.pop_back();
  Status_.Members_.pop_back();
  Survey_.poll();
  Time_.advance(3s);
  lead();
  answer("x", {{"a", 4000}});
  answer("y");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 3s);
}

// A member that was removed is not asked.
TEST_F(LeaseSurveyTest, LeasesMayCountFromAChangeOfTheMembers) {
  Status_.Members_.pop_back();
  Status_.MembersIndex_ = 9;
  Survey_.poll();
  Time_.advance(3s);
  lead();
  answer("x", {{"a", 4000}});
  answer("y");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 3s);
}

// An uncommitted change was replaced by another one at the same index.
TEST_F(LeaseSurveyTest, OtherMembersAtTheSameIndexAreAChange) {
  Status_.Members_.pop_back();
  Survey_.poll();
  Time_.advance(3s);
  lead();
  answer("x", {{"a", 4000}});
  answer("y");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_ - 3s);
}

TEST_F(LeaseSurveyTest, OwnReportsFromBeforeTheProcessAreUnknown) {
  const HeardServers Own(Time_);
  LeaseSurvey Survey(
      "me", Time_, [this] { return Status_; }, Own,
      [this](const std::string &Member, const LeaseQuery &,
             LeaseSurvey::Reply Reply) {
        Replies_[Member] = std::move(Reply);
      });
  Time_.advance(2s);
  Status_.IsLeader_ = true;
  const TimePoint BeganAt = Time_.now();
  Survey.start(7, [this](const LeaseBounds &Found) { Bounds_ = Found; });
  for (const char *Member : {"x", "y", "z"})
    answer(Member, {{"a", 4000}});
  EXPECT_GE(Bounds_->getFor("a"), BeganAt - 2s);
}

// What this leader grants itself is no matter of the survey.
TEST_F(LeaseSurveyTest, NoEarlierLeaseCountsFromAfterTheChange) {
  lead();
  Time_.advance(1s);
  answer("x", {{"a", 0}});
  answer("y");
  answer("z");
  EXPECT_EQ(Bounds_->getFor("a"), BeganAt_);
}

TEST_F(LeaseSurveyTest, AsksAgainUntilAnsweredOrNoLongerLeading) {
  lead();
  answer("x");
  answer("y");
  Replies_.at("z")(fail(ErrorCode::Timeout, ""));
  Survey_.poll();
  EXPECT_EQ(Queries_["x"], 1);
  EXPECT_EQ(Queries_["z"], 2);
  Status_.IsLeader_ = false;
  Survey_.poll();
  EXPECT_EQ(Queries_["z"], 2);
}

// A member that has started or joined since the change knows no leader, and all
// leases would count from the next change.
TEST_F(LeaseSurveyTest, LeaderTellsLaterMembersThatItLeads) {
  lead();
  for (const char *Member : {"x", "y", "z"})
    answer(Member);
  Time_.advance(60s);
  Survey_.poll();
  EXPECT_EQ(Notices_["z"], 1);
  Survey_.poll();
  EXPECT_EQ(Notices_["z"], 1);
  Status_.IsLeader_ = false;
  Time_.advance(60s);
  Survey_.poll();
  EXPECT_EQ(Notices_["z"], 1);
}
