//===- RelayFlushTest.cpp - Tests of flush requests -----------------------===//

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
  struct SentRequest {
    std::string Member_;
    FlushRequest Request_;
    std::function<void()> Failed_;
  };
  void startRound(const std::vector<std::string> &Servers) {
    Flush_.findHeard(Servers, [this](const ReportRelays::Heard &Result) {
      Heard_ = Result;
    });
  }

  ManualClock Time_;
  replication::ReplicaStatus Status_;
  std::vector<SentRequest> Requests_;
  std::optional<ReportRelays::Heard> Heard_;
  RelayFlush Flush_{
      "me", Time_, [this] { return Status_; },
      [this](const std::string &Member, FlushRequest Request,
             std::function<void()> Failed) {
        Requests_.push_back({Member, std::move(Request), std::move(Failed)});
      }};
};

} // namespace

TEST_F(RelayFlushTest, AsksAllOtherMembersAndIgnoresRepeatedAnswers) {
  startRound({"a", "b"});
  ASSERT_EQ(Requests_.size(), 2U);
  EXPECT_EQ(Requests_[0].Request_.From_, "me");
  EXPECT_EQ(Requests_[0].Request_.Servers_,
            (std::vector<std::string>{"a", "b"}));
  Flush_.onBatch(Requests_[0].Request_.Id_, {});
  EXPECT_FALSE(Heard_);
  Flush_.onBatch(Requests_[0].Request_.Id_, {}); // A repeated answer.
  EXPECT_FALSE(Heard_);
  Flush_.onBatch(Requests_[1].Request_.Id_, {"b"});
  ASSERT_TRUE(Heard_);
  EXPECT_EQ(*Heard_, ReportRelays::Heard{"b"});
}

TEST_F(RelayFlushTest, DoesNotWaitForALostMember) {
  startRound({"a"});
  Flush_.onBatch(Requests_[0].Request_.Id_, {"a"});
  Flush_.retryExpired();
  EXPECT_FALSE(Heard_) << "the member may only be slow";
  Status_.Unresponsive_ = {"y"};
  Flush_.retryExpired();
  ASSERT_TRUE(Heard_);
  EXPECT_EQ(*Heard_, ReportRelays::Heard{"a"});
}

// Guards against a silent member that hides what the others have said.
TEST_F(RelayFlushTest, TellsWhatIsKnownBeforeAllHaveAnswered) {
  Status_.Reachable_ = {"x"};
  startRound({"a", "b"});
  EXPECT_EQ(Flush_.findPartialAnswer({"a"}).Unknown_, ReportRelays::Heard{"a"})
      << "a reachable member has not answered";
  Flush_.onBatch(Requests_[0].Request_.Id_, {"a"});
  const PartialAnswer Known = Flush_.findPartialAnswer({"a", "b", "c"});
  EXPECT_EQ(Known.Heard_, ReportRelays::Heard{"a"});
  EXPECT_TRUE(Known.Unknown_.empty()) << "the silent member may be lost";
  Status_.Reachable_ = {"x", "y"};
  EXPECT_EQ(Flush_.findPartialAnswer({"a", "b", "c"}).Unknown_,
            ReportRelays::Heard{"b"});
}

TEST_F(RelayFlushTest, OnlyTheLastRoundTellsWhatIsKnown) {
  startRound({"a"});
  Flush_.onBatch(Requests_[0].Request_.Id_, {"a"});
  startRound({"a"});
  EXPECT_TRUE(Flush_.findPartialAnswer({"a"}).Heard_.empty());
}

TEST_F(RelayFlushTest, ResendsAFailedRequest) {
  startRound({"a"});
  Flush_.onBatch(Requests_[0].Request_.Id_, {});
  Flush_.retryExpired();
  EXPECT_EQ(Requests_.size(), 2U);
  Requests_[1].Failed_();
  Flush_.retryExpired();
  ASSERT_EQ(Requests_.size(), 3U);
  EXPECT_EQ(Requests_[2].Member_, "y");
  Flush_.onBatch(Requests_[2].Request_.Id_, {});
  EXPECT_TRUE(Heard_);
}

// Guards against a request whose answer is lost with the link. It would delay a
// leaving server and its tasks until the round times out.
TEST_F(RelayFlushTest, ResendsARequestWithoutAnAnswer) {
  startRound({"a"});
  Flush_.onBatch(Requests_[0].Request_.Id_, {});
  Flush_.retryExpired();
  EXPECT_EQ(Requests_.size(), 2U);
  Time_.advance(1s);
  Flush_.retryExpired();
  ASSERT_EQ(Requests_.size(), 3U);
  EXPECT_EQ(Requests_[2].Member_, "y");
  Flush_.retryExpired();
  EXPECT_EQ(Requests_.size(), 3U);
  Flush_.onBatch(Requests_[2].Request_.Id_, {"a"});
  ASSERT_TRUE(Heard_);
  Flush_.onBatch(Requests_[1].Request_.Id_, {}); // The delayed first answer.
  EXPECT_EQ(*Heard_, ReportRelays::Heard{"a"});
}

TEST_F(RelayFlushTest, RoundTimesOut) {
  startRound({"a"});
  Time_.advance(5s);
  Flush_.retryExpired();
  EXPECT_FALSE(Heard_);
  Time_.advance(5s);
  Flush_.retryExpired();
  EXPECT_TRUE(Heard_);
}

TEST_F(RelayFlushTest, RoundEndsWithLeadership) {
  startRound({"a"});
  Status_.IsLeader_ = false;
  Flush_.retryExpired();
  EXPECT_TRUE(Heard_);
}

TEST_F(RelayFlushTest, SingleMemberSendsNoRequest) {
  Status_.Members_.resize(1);
  startRound({"a"});
  EXPECT_TRUE(Heard_);
  EXPECT_TRUE(Requests_.empty());
}

TEST_F(ReportRelayTest, FlushSendsQueuedReportsAtOnce) {
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

// Guards against a relay that drops the ended tasks of a deferred report. A
// leaving server does not report them again, so the tasks would run twice.
TEST_F(ReportRelayTest, FlushSendsEndedTasksOfDeferredReports) {
  fillWindow();
  ServerReport Last = makeReport("leaving");
  Last.IsDraining_ = true;
  Last.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
  add(Last);
  Strand_.advance(1s);
  ASSERT_EQ(AnswerCount_["leaving"], 1);
  Relay_->flushServers({"leader", 7, {"leaving"}});
  ASSERT_EQ(Sent_.back().Batch_.Reports_.size(), 1U);
  EXPECT_EQ(Sent_.back().Batch_.Reports_[0], Last);
  // The relay does not send it again while its batch is in flight.
  Relay_->flushServers({"leader", 8, {"leaving"}});
  EXPECT_TRUE(Sent_.back().Batch_.Reports_.empty());
}

TEST_F(ReportRelayTest, FlushSendsEndedTasksOfAFailedBatch) {
  ServerReport Last = makeReport("leaving");
  Last.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
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

TEST_F(ReportRelayTest, ResentReportsAreMarkedAsLate) {
  ServerReport Lost = makeReport("leaving");
  Lost.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
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

TEST_F(ReportRelayTest, AnsweredEndedTasksAreNotResent) {
  ServerReport First = makeReport("leaving");
  First.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
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

TEST_F(ReportRelayTest, SilentServerIsNotListedAsHeard) {
  add("gone");
  Strand_.advance(20ms);
  answer();
  Strand_.advance(5s);
  Relay_->flushServers({"leader", 7, {"gone"}});
  ASSERT_EQ(Sent_.size(), 1U);
  EXPECT_TRUE(Sent_.back().Batch_.Heard_.empty());
  EXPECT_TRUE(Sent_.back().Batch_.Reports_.empty());
}

// Guards against a relay that keeps a lost server for seconds because of a
// report that the leader has answered.
TEST_F(ReportRelayTest, ServerWithAnAnsweredReportIsNotListedAsHeard) {
  add("gone");
  Strand_.advance(20ms);
  answer();
  Strand_.advance(100ms);
  Relay_->flushServers({"leader", 7, {"gone"}, true});
  ASSERT_EQ(Sent_.size(), 1U);
  EXPECT_TRUE(Sent_.back().Batch_.Heard_.empty());
}

// Guards against the removal of a server whose newest report the leader has not
// answered: it may name ended tasks.
TEST_F(ReportRelayTest, ServerWithAnUnansweredReportIsListedAsHeard) {
  const std::vector<std::string> Heard = {"s"};
  const auto IsHeard = [&] {
    Relay_->flushServers({"leader", 7, Heard, true});
    const bool Result = Sent_.back().Batch_.Heard_ == Heard;
    Sent_.pop_back();
    return Result;
  };
  add(makeReport("s", 1));
  EXPECT_TRUE(IsHeard()) << "queued";
  Strand_.advance(20ms);
  EXPECT_TRUE(IsHeard()) << "in flight";
  Sent_.front().Done_(fail(ErrorCode::Timeout, "no answer"));
  Sent_.clear();
  EXPECT_TRUE(IsHeard()) << "lost";
  add(makeReport("s", 2));
  Strand_.advance(20ms);
  ReportBatchReply Expired;
  Expired.Answers_ = {{ReportVerdict::Expired, {}, ""}};
  Sent_.front().Done_(Expired);
  Sent_.clear();
  EXPECT_TRUE(IsHeard()) << "expired";
  add(makeReport("s", 3));
  Strand_.advance(20ms);
  add(makeReport("s", 4));
  answer();
  EXPECT_TRUE(IsHeard()) << "only the report before is answered";
  Strand_.advance(20ms);
  answer();
  EXPECT_FALSE(IsHeard());
  // A report that a later one overtook tells nothing new.
  add(makeReport("s", 2));
  EXPECT_FALSE(IsHeard());
}

// Guards against the removal of a running server after its ended tasks were
// passed on: that answers the ends, but not the report.
TEST_F(ReportRelayTest, ResentEndedTasksDoNotAnswerTheReport) {
  ServerReport Lost = makeReport("s");
  Lost.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
  add(Lost);
  Strand_.advance(20ms);
  Sent_.front().Done_(fail(ErrorCode::Timeout, "no answer"));
  Sent_.clear();
  Relay_->flushServers({"leader", 7, {"s"}});
  ASSERT_EQ(Sent_.front().Batch_.LateReports_, 1U);
  answer();
  Relay_->flushServers({"leader", 8, {"s"}, true});
  EXPECT_EQ(Sent_.back().Batch_.Heard_, std::vector<std::string>{"s"});
}
