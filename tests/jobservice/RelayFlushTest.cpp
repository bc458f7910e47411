//===- RelayFlushTest.cpp - Asking the relays, and who is not waited for -===//

#include "jobservice/RelayFlush.h"
#include "jobservice/RelayFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using jobservice::test::makeReport;
using jobservice::test::ReportRelayTest;
using namespace std::chrono_literals;

namespace {

class RelayFlushTest : public ::testing::Test {
protected:
  RelayFlushTest() {
    for (const char *Name : {"me", "x", "y"})
      Status_.Members_.push_back({{Name, 1}, replication::MemberRole::Voter});
    Status_.IsLeader_ = true;
  }
  struct Asked {
    std::string Member_;
    FlushRequest Request_;
    std::function<void()> Failed_;
  };
  void find(const std::vector<std::string> &Servers) {
    Flush_.findHeard(Servers,
                     [this](const ReportRelays::Heard &Got) { Got_ = Got; });
  }

  ManualClock Time_;
  replication::ReplicaStatus Status_;
  std::vector<Asked> Asked_;
  std::optional<ReportRelays::Heard> Got_;
  RelayFlush Flush_{
      "me", Time_, [this] { return Status_; },
      [this](const std::string &Member, FlushRequest Request,
             std::function<void()> Failed) {
        Asked_.push_back({Member, std::move(Request), std::move(Failed)});
      }};
};

} // namespace

TEST_F(RelayFlushTest, AllOthersAreAskedAndOneWordIsEnough) {
  find({"a", "b"});
  ASSERT_EQ(Asked_.size(), 2U);
  EXPECT_EQ(Asked_[0].Request_.From_, "me");
  EXPECT_EQ(Asked_[0].Request_.Servers_, (std::vector<std::string>{"a", "b"}));
  Flush_.onBatch(Asked_[0].Request_.Id_, {});
  EXPECT_FALSE(Got_);
  Flush_.onBatch(Asked_[0].Request_.Id_, {}); // Said again.
  EXPECT_FALSE(Got_);
  Flush_.onBatch(Asked_[1].Request_.Id_, {"b"});
  ASSERT_TRUE(Got_);
  EXPECT_EQ(*Got_, ReportRelays::Heard{"b"});
}

TEST_F(RelayFlushTest, AMemberThatIsGoneIsNotWaitedFor) {
  find({"a"});
  Flush_.onBatch(Asked_[0].Request_.Id_, {"a"});
  Flush_.retryExpired();
  EXPECT_FALSE(Got_) << "it may only be slow";
  Status_.Unresponsive_ = {"y"};
  Flush_.retryExpired();
  ASSERT_TRUE(Got_);
  EXPECT_EQ(*Got_, ReportRelays::Heard{"a"});
}

TEST_F(RelayFlushTest, AQuestionThatDidNotArriveIsAskedAgain) {
  find({"a"});
  Flush_.onBatch(Asked_[0].Request_.Id_, {});
  Flush_.retryExpired();
  EXPECT_EQ(Asked_.size(), 2U);
  Asked_[1].Failed_();
  Flush_.retryExpired();
  ASSERT_EQ(Asked_.size(), 3U);
  EXPECT_EQ(Asked_[2].Member_, "y");
  Flush_.onBatch(Asked_[2].Request_.Id_, {});
  EXPECT_TRUE(Got_);
}

// A request that arrives while its answer is lost with the link would hold up a
// leaving server, and its tasks, until the longest wait is over.
TEST_F(RelayFlushTest, AQuestionWhoseAnswerWasLostIsAskedAgain) {
  find({"a"});
  Flush_.onBatch(Asked_[0].Request_.Id_, {});
  Flush_.retryExpired();
  EXPECT_EQ(Asked_.size(), 2U);
  Time_.advance(1s);
  Flush_.retryExpired();
  ASSERT_EQ(Asked_.size(), 3U);
  EXPECT_EQ(Asked_[2].Member_, "y");
  Flush_.retryExpired();
  EXPECT_EQ(Asked_.size(), 3U);
  Flush_.onBatch(Asked_[2].Request_.Id_, {"a"});
  ASSERT_TRUE(Got_);
  Flush_.onBatch(Asked_[1].Request_.Id_, {}); // The first answer, after all.
  EXPECT_EQ(*Got_, ReportRelays::Heard{"a"});
}

TEST_F(RelayFlushTest, NobodyIsWaitedForForEver) {
  find({"a"});
  Time_.advance(5s);
  Flush_.retryExpired();
  EXPECT_FALSE(Got_);
  Time_.advance(5s);
  Flush_.retryExpired();
  EXPECT_TRUE(Got_);
}

TEST_F(RelayFlushTest, WhoeverNoLongerLeadsWaitsForNobody) {
  find({"a"});
  Status_.IsLeader_ = false;
  Flush_.retryExpired();
  EXPECT_TRUE(Got_);
}

TEST_F(RelayFlushTest, AloneThereIsNobodyToAsk) {
  Status_.Members_.resize(1);
  find({"a"});
  EXPECT_TRUE(Got_);
  EXPECT_TRUE(Asked_.empty());
}

TEST_F(ReportRelayTest, AFlushSendsWhatIsKeptWithoutWaitingForItsTurn) {
  fillWindow();
  const std::size_t Before = Sent_.size();
  add("leaving");
  add("other");
  Relay_->flushServers({"leader", 7, {"leaving", "elsewhere"}});
  ASSERT_EQ(Sent_.size(), Before + 1);
  const ReportBatch &Last = Sent_.back().Batch_;
  ASSERT_EQ(Last.Reports_.size(), 1U);
  EXPECT_EQ(Last.Reports_[0].Facts_.Id_, "leaving");
  EXPECT_EQ(Last.FlushId_, 7U);
  EXPECT_EQ(Last.Heard_, std::vector<std::string>{"leaving"});
}

// A leaving server does not report again, so a relay that forgot the ends in a
// deferred report would let their tasks run twice.
TEST_F(ReportRelayTest, AFlushBringsEndsThatWereTurnedAway) {
  fillWindow();
  ServerReport Last = makeReport("leaving");
  Last.IsDraining_ = true;
  Last.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunEnd::Done, ""}}};
  add(Last);
  Strand_.advance(1s);
  ASSERT_EQ(Answered_["leaving"], 1);
  Relay_->flushServers({"leader", 7, {"leaving"}});
  ASSERT_EQ(Sent_.back().Batch_.Reports_.size(), 1U);
  EXPECT_EQ(Sent_.back().Batch_.Reports_[0], Last);
  // It is sent once while its batch is on the way.
  Relay_->flushServers({"leader", 8, {"leaving"}});
  EXPECT_TRUE(Sent_.back().Batch_.Reports_.empty());
}

TEST_F(ReportRelayTest, AFlushBringsEndsOfABatchThatFailed) {
  ServerReport Last = makeReport("leaving");
  Last.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunEnd::Done, ""}}};
  add(Last);
  Strand_.advance(20ms);
  ASSERT_EQ(Sent_.size(), 1U);
  Sent_[0].Done_(fail(ErrorCode::Timeout, "no answer"));
  Relay_->flushServers({"leader", 7, {"leaving"}});
  ASSERT_EQ(Sent_.back().Batch_.Reports_.size(), 1U);
  EXPECT_EQ(Sent_.back().Batch_.Reports_[0], Last);
  Sent_.back().Done_(fail(ErrorCode::Timeout, "no answer"));
  Relay_->flushServers({"leader", 8, {"leaving"}});
  EXPECT_EQ(Sent_.back().Batch_.Reports_.size(), 1U);
}

TEST_F(ReportRelayTest, WhatIsSentAgainIsMarkedAsLate) {
  ServerReport Lost = makeReport("leaving");
  Lost.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunEnd::Done, ""}}};
  add(Lost);
  Strand_.advance(20ms);
  Sent_.front().Done_(fail(ErrorCode::Timeout, "no answer"));
  EXPECT_EQ(Sent_.front().Batch_.LateReports_, 0U);
  ServerReport Next = Lost;
  ++Next.Sequence_;
  add(Next);
  Relay_->flushServers({"leader", 7, {"leaving"}});
  const ReportBatch &Last = Sent_.back().Batch_;
  EXPECT_EQ(Last.LateReports_, 1U);
  EXPECT_EQ(Last.Reports_, (std::vector<ServerReport>{Lost, Next}));
}

TEST_F(ReportRelayTest, WhatTheLeaderHasAnsweredSinceIsNotSaidAgain) {
  ServerReport First = makeReport("leaving");
  First.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunEnd::Done, ""}}};
  add(First);
  Strand_.advance(20ms);
  Sent_.front().Done_(fail(ErrorCode::Timeout, "no answer"));
  Sent_.clear();
  ServerReport Later = First;
  ++Later.Sequence_;
  add(Later);
  Strand_.advance(20ms);
  answer();
  Relay_->flushServers({"leader", 7, {"leaving"}});
  EXPECT_TRUE(Sent_.back().Batch_.Reports_.empty());
}

TEST_F(ReportRelayTest, AServerThatWasSilentForSecondsIsNotHeard) {
  add("gone");
  Strand_.advance(20ms);
  answer();
  Strand_.advance(5s);
  Relay_->flushServers({"leader", 7, {"gone"}});
  ASSERT_EQ(Sent_.size(), 1U);
  EXPECT_TRUE(Sent_.back().Batch_.Heard_.empty());
  EXPECT_TRUE(Sent_.back().Batch_.Reports_.empty());
}
