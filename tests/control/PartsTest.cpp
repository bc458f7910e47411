//===- PartsTest.cpp - Settings, streams, routes, proposals --------------===//

#include "control/ControlCluster.h"
#include "control/PeerLinks.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;
using namespace tulipweir::control::test;

TEST(ControlSettingsTest, ReportsEveryBrokenRuleAtOnce) {
  ControlSettings Settings = makeSettings("c9");
  Settings.MemoryOnly_ = false;
  Settings.LeaseTtl_ = milliseconds(600);
  Settings.Silence_ = Settings.Heartbeat_;
  Settings.AssignmentTtl_ = seconds(1);
  Settings.FleetMembers_[0].Endpoint_.Port_ = 1;
  Settings.DataCentreMembers_[1].Name_ = "c1";
  EXPECT_EQ(listSettingProblems(Settings).size(), 9U);
  EXPECT_TRUE(listSettingProblems(makeSettings("c1")).empty());
}

TEST(ControlSettingsTest, WarnsOfSettingsThatDoNotSurviveFaults) {
  ControlSettings Settings = makeSettings("c1");
  EXPECT_EQ(listSettingWarnings(Settings).size(), 1U);
  Settings.DataCentreMembers_.pop_back();
  EXPECT_EQ(listSettingWarnings(Settings).size(), 2U);
}

TEST(ControlSettingsTest, ParsesFlagsAndReportsAllProblems) {
  ControlSettings Settings;
  net::Options Flags("tulipweir-control", "");
  addControlOptions(Flags, Settings);
  const char *Words[] = {"x", "--name=c1", "--data-centre=fleet",
                         "--listen-links=127.0.0.1:0", "--heartbeat=1"};
  const auto Received = Flags.parse(5, Words, [](const std::string &) {
    return std::optional<std::string>();
  });
  EXPECT_EQ(Received.Exit_, net::ExitCode::BadSettings);
  for (const char *Flag : {"--listen-http", "--secret", "--fleet-members",
                           "--heartbeat", "--data-centre-members"})
    EXPECT_NE(Received.Text_.find(Flag), std::string::npos) << Flag;
}

TEST(PeerLinksTest, ListsEveryOtherControlOnce) {
  std::vector<std::string> Names;
  for (const auto &Peer : listPeers(makeSettings("c1")))
    Names.push_back(Peer.Name_);
  EXPECT_EQ(Names, (std::vector<std::string>{"c2", "c3"}));
}

namespace {
class DecisionStreamTest : public testing::Test {
protected:
  void append(const std::string &Text) {
    decide::Decision Value;
    Value.Text_ = Text;
    Stream_.append(Value, Time_.wallNow());
  }
  DecisionStream::Reader recordBatch() {
    return [this](DecisionStream::Batch Batch) {
      ++Answers_;
      Batch_ = std::move(Batch);
    };
  }

  ManualClock Time_;
  ManualExecutor Timers_{Time_};
  DecisionStream Stream_{Timers_, 3};
  DecisionStream::Batch Batch_;
  int Answers_ = 0;
};
} // namespace

TEST_F(DecisionStreamTest, KeepsTheLatestAndNumbersThemAcrossTerms) {
  Stream_.startTerm(1);
  for (const char *Text : {"a", "b", "c", "d"})
    append(Text);
  const std::uint64_t Before = Stream_.getLastSequence();
  Stream_.startTerm(2);
  append("e");
  Stream_.read(0, 10, Duration::zero(), recordBatch());
  ASSERT_EQ(Batch_.size(), 3U);
  EXPECT_EQ(Batch_.front().Decision_.Text_, "c");
  EXPECT_GT(Batch_.back().Sequence_, Before + 1);
  Stream_.read(Batch_[1].Sequence_, 1, Duration::zero(), recordBatch());
  EXPECT_EQ(Batch_.at(0).Decision_.Text_, "e");
}

TEST_F(DecisionStreamTest, ReaderWaitsForTheNextDecisionOrItsTimeout) {
  Stream_.read(0, 10, seconds(5), recordBatch());
  EXPECT_EQ(Answers_, 0);
  append("a");
  EXPECT_EQ(Batch_.size(), 1U);
  Stream_.read(Batch_[0].Sequence_, 10, seconds(5), recordBatch());
  Time_.advance(seconds(5));
  Timers_.run();
  EXPECT_EQ(Answers_, 2);
  EXPECT_TRUE(Batch_.empty());
}

TEST_F(DecisionStreamTest, CloseAnswersAllWaitingReaders) {
  Stream_.read(0, 10, seconds(5), recordBatch());
  Stream_.close();
  EXPECT_EQ(Answers_, 1);
  Stream_.read(0, 10, seconds(5), recordBatch());
  EXPECT_EQ(Answers_, 2);
}

TEST(RouteTableTest, MatchesWholeSegments) {
  using Words = std::vector<std::string>;
  EXPECT_EQ(matchPath("/jobs/{}/cancel", "/jobs/a/cancel"), Words{"a"});
  EXPECT_EQ(matchPath("/jobs", "/jobs"), Words{});
  for (const char *Path :
       {"/jobs/", "/jobs/a", "/jobs//cancel", "jobs/a/cancel",
        "/jobs/a/cancel/", "/jobs/a/b/cancel"})
    EXPECT_EQ(matchPath("/jobs/{}/cancel", Path), std::nullopt) << Path;
}

TEST(RollOutTrackerTest, CompletesWhenTheLastEntryHoldsTheBundle) {
  ManualClock Time;
  RollOutTracker Tracker(Time);
  const auto Accepted = static_cast<std::uint64_t>(Time.wallNow().count());
  Tracker.recordEntry(EntryId("a"), 1, BundleVersion(1));
  Tracker.recordEntry(EntryId("b"), 1, BundleVersion(1));
  Tracker.recordAccepted(BundleVersion(2), Accepted);
  Time.advance(milliseconds(300));
  Tracker.recordEntry(EntryId("a"), 1, BundleVersion(2));
  EXPECT_EQ(Tracker.getLast().Version_, BundleVersion(0));
  Time.advance(milliseconds(400));
  Tracker.recordEntry(EntryId("b"), 1, BundleVersion(2));
  EXPECT_EQ(Tracker.getLast(), (RollOut{BundleVersion(2), 700}));
}

TEST(FleetProposerTest, RepeatsACommandUntilALeaderAnswers) {
  ManualClock Time;
  ManualExecutor Strand(Time);
  FakePeers Peers;
  FakeLog Log;
  fleet::FleetStateMachine Machine;
  FakeReplica Self(Log, "c1", Machine);
  FakeReplica Other(Log, "c2", Machine);
  FleetProposer Proposer(Self, Peers, Strand, Time);
  std::optional<Outcome<std::string>> Received;
  Proposer.propose("x", seconds(8),
                   [&Received](auto Result) { Received = Result; });
  Log.lead(&Other);
  int Attempts = 0;
  Peers.Answers_["c2"] = [&Attempts](wire::MessageKind, const std::string &) {
    if (++Attempts < 3)
      return Outcome<std::string>(fail(ErrorCode::Timeout, "lost"));
    return Outcome<std::string>(wire::encode(wire::FleetCommandReply{"done"}));
  };
  for (int I = 0; I < 10; ++I) {
    Time.advance(milliseconds(100));
    Strand.run();
  }
  ASSERT_TRUE(Received);
  EXPECT_EQ(Received->value(), "done");
  EXPECT_EQ(Attempts, 3);
}
