//===- ReportWitnessTest.cpp - Tests of recorded reports ------------------===//

#include "jobservice/ReportWitness.h"

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

namespace {

class ReportWitnessTest : public ::testing::Test {
protected:
  ReportWitnessTest() {
    for (const char *Name : {"me", "x", "y"})
      Status_.Members_.push_back({{Name, 1}, replication::MemberRole::Voter});
    Status_.CommittedMembers_ = Status_.Members_;
    Status_.Responsive_ = {"x", "y"};
  }
  struct Sent {
    std::string Member_;
    WitnessRequest Request_;
    ReportWitness::Done Reply_;
  };
  void record(const std::string &Id) {
    Witness_->record(Id,
                     [this, Id](bool IsRecorded) { Done_[Id] = IsRecorded; });
  }
  void sendAll() { Strand_.advance(10ms); }

  ManualClock Time_;
  jobs::test::ManualExecutor Strand_{Time_};
  replication::ReplicaStatus Status_;
  std::vector<Sent> Sent_;
  std::map<std::string, bool> Done_;
  std::shared_ptr<ReportWitness> Witness_ = std::make_shared<ReportWitness>(
      "me", Strand_, [this] { return Status_; },
      [this](const std::string &Member, const WitnessRequest &Request,
             ReportWitness::Done Reply) {
        Sent_.push_back({Member, Request, std::move(Reply)});
      });
};

} // namespace

TEST_F(ReportWitnessTest, ReportsWaitUntilAnotherMemberHasRecordedThem) {
  record("a");
  record("b");
  sendAll();
  ASSERT_EQ(Sent_.size(), 1U);
  EXPECT_EQ(Sent_[0].Request_,
            (WitnessRequest{"me", std::vector<std::string>{"a", "b"}}));
  EXPECT_TRUE(Done_.empty());
  Sent_[0].Reply_(true);
  EXPECT_EQ(Done_, (std::map<std::string, bool>{{"a", true}, {"b", true}}));
}

// Guards against a server that reports to the leader only and is refused for
// good, as two members answer the leader's log messages but record no reports.
TEST_F(ReportWitnessTest, EveryMemberIsAskedInTurnAfterFailures) {
  Status_.Members_.push_back({{"z", 1}, replication::MemberRole::Voter});
  Status_.CommittedMembers_ = Status_.Members_;
  Status_.Responsive_.push_back("z");
  for (int I = 0; I < 6; ++I) {
    record("a");
    sendAll();
    Sent_.back().Reply_(Sent_.back().Member_ == "z");
  }
  EXPECT_TRUE(Done_.at("a"));
}

TEST_F(ReportWitnessTest, AnotherMemberIsAskedAfterAFailure) {
  record("a");
  sendAll();
  Sent_.at(0).Reply_(false);
  EXPECT_FALSE(Done_.at("a"));
  record("b");
  sendAll();
  EXPECT_NE(Sent_.at(1).Member_, Sent_[0].Member_);
  Sent_[1].Reply_(true);
  EXPECT_TRUE(Done_.at("b"));
}

TEST_F(ReportWitnessTest, AllMembersAreAskedInTurn) {
  Status_.Members_.push_back({{"z", 1}, replication::MemberRole::Voter});
  Status_.CommittedMembers_ = Status_.Members_;
  Status_.Responsive_ = {"x", "y", "z"};
  std::vector<std::string> Asked;
  for (int I = 0; I < 4; ++I) {
    record("a");
    sendAll();
    Asked.push_back(Sent_.back().Member_);
    Sent_.back().Reply_(false);
  }
  EXPECT_EQ(Asked, (std::vector<std::string>{"x", "y", "z", "x"}));
  record("a");
  sendAll();
  EXPECT_EQ(Sent_.back().Member_, "y");
  Sent_.back().Reply_(true);
  record("a");
  sendAll();
  EXPECT_EQ(Sent_.back().Member_, "y") << "the last one that answered";
}

TEST_F(ReportWitnessTest, ReportIsNotHandledIfNoMemberCanRecordIt) {
  Status_.Responsive_.clear();
  record("a");
  sendAll();
  EXPECT_FALSE(Done_.at("a"));
}

// A later leader may not know of a member whose addition is not committed.
TEST_F(ReportWitnessTest, OnlySettledMembersAreAsked) {
  Status_.CommittedMembers_ = {Status_.Members_[0], Status_.Members_[2]};
  record("a");
  sendAll();
  EXPECT_EQ(Sent_.at(0).Member_, "y");
}

TEST_F(ReportWitnessTest, SoleVoterNeedsNoWitness) {
  Status_.Members_ = {Status_.Members_[0]};
  Status_.CommittedMembers_ = Status_.Members_;
  Status_.Responsive_.clear();
  record("a");
  sendAll();
  EXPECT_TRUE(Done_.at("a"));
}
