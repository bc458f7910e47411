//===- ExpiredReportsTest.cpp - Relays of an overloaded leader ------------===//

#include "jobservice/RelayFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using jobservice::test::makeReport;
using jobservice::test::ReportRelayTest;
using namespace std::chrono_literals;

namespace {

/// Simulates a leader that rejects every batch as expired.
class ExpiredReportsTest : public ReportRelayTest {
protected:
  void expire() {
    Sent Oldest = std::move(Sent_.front());
    Sent_.pop_front();
    ReportBatchReply Reply;
    Reply.Answers_.resize(Oldest.Batch_.Reports_.size(),
                          {ReportVerdict::Expired, {}, ""});
    Oldest.Done_(std::move(Reply));
  }
  std::size_t countInFlight() const {
    std::size_t Count = 0;
    for (const Sent &Batch : Sent_)
      Count += Batch.Batch_.Reports_.size();
    return Count;
  }
};

} // namespace

// Guards against a minimum of reports in flight that overloads a leader on
// which a single report takes arbitrarily long.
TEST_F(ExpiredReportsTest, OverloadedLeaderGetsOneReportAtATime) {
  for (int Round = 0; Round < 20; ++Round) {
    for (int I = 0; I < 40; ++I)
      add("i-" + std::to_string(I));
    Strand_.advance(450ms);
    while (!Sent_.empty())
      expire();
  }
  for (int I = 0; I < 40; ++I)
    add("i-" + std::to_string(I));
  Strand_.advance(100ms);
  EXPECT_EQ(countInFlight(), 1U);
  // Once the leader answers again, the limit grows until it no longer binds.
  for (int Round = 0; Round < 100; ++Round) {
    for (int I = 0; I < 40; ++I)
      add("i-" + std::to_string(I));
    Strand_.advance(20ms);
    while (!Sent_.empty())
      answer();
  }
  for (int I = 0; I < 40; ++I)
    add("i-" + std::to_string(I));
  Strand_.advance(20ms);
  EXPECT_GE(countInFlight(), 40U);
}

TEST_F(ExpiredReportsTest, ExpiredReportIsDeferredUnlessItsServerIsDraining) {
  add("stays");
  ServerReport Leaving = makeReport("leaves");
  Leaving.IsDraining_ = true;
  add(Leaving);
  Strand_.advance(20ms);
  expire();
  EXPECT_TRUE(Succeeded_["stays"]);
  EXPECT_EQ(LeasesMs_["stays"], 0U);
  EXPECT_EQ(AnswerCount_["leaves"], 1);
  EXPECT_FALSE(Succeeded_["leaves"]);
}

// Guards against ended tasks that are lost with a batch which the leader
// rejects after the flush was sent.
TEST_F(ExpiredReportsTest, FlushResendsEndedTasksOfBatchesInFlight) {
  ServerReport Last = makeReport("leaving");
  Last.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
  add(Last);
  Strand_.advance(20ms);
  ASSERT_EQ(Sent_.size(), 1U);
  Relay_->flushServers({"leader", 7, {"leaving"}});
  ASSERT_EQ(Sent_.size(), 2U);
  EXPECT_EQ(Sent_[1].Batch_.Reports_, std::vector<ServerReport>{Last});
  EXPECT_EQ(Sent_[1].Batch_.LateReports_, 1U);
}

// Guards against flushes that cost a slow leader more than the reports that it
// asks for.
TEST_F(ExpiredReportsTest, FlushSendsOnlyTheNamesOfRecentlyHeardServers) {
  ServerReport Ended = makeReport("heard");
  Ended.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
  add(Ended);
  Strand_.advance(20ms);
  expire();
  Relay_->flushServers({"leader", 7, {"heard"}, true});
  EXPECT_TRUE(Sent_.back().Batch_.Reports_.empty());
  EXPECT_EQ(Sent_.back().Batch_.Heard_, std::vector<std::string>{"heard"});
  Strand_.advance(4s);
  Relay_->flushServers({"leader", 8, {"heard"}, true});
  EXPECT_EQ(Sent_.back().Batch_.Reports_, std::vector<ServerReport>{Ended});
  EXPECT_TRUE(Sent_.back().Batch_.Heard_.empty());
}

TEST_F(ExpiredReportsTest, ServersBeyondTheBatchLimitAreListedAsHeard) {
  for (int Round = 0; Round < 20; ++Round) {
    for (int I = 0; I < 8; ++I) {
      ServerReport Ended = makeReport("i-" + std::to_string(I), Round + 1);
      Ended.Ended_ = {{7, {{"k", 0, 1, 2}, 3, RunOutcome::Done, ""}}};
      add(Ended);
    }
    Strand_.advance(450ms);
    while (!Sent_.empty())
      expire();
  }
  Strand_.advance(4s);
  Relay_->flushServers({"leader", 7, {"i-0", "i-1", "i-2"}, true});
  EXPECT_EQ(Sent_.back().Batch_.Reports_.size(), 1U);
  EXPECT_EQ(Sent_.back().Batch_.Heard_,
            (std::vector<std::string>{"i-1", "i-2"}));
}
