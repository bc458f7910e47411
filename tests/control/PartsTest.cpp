//===- PartsTest.cpp - Settings, stream, routes, roll-outs, proposals -----===//

#include "control/ControlWorld.h"
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

TEST(ControlSettingsTest, WarnsOfWhatALossOfPowerDoesNotLeave) {
  ControlSettings Settings = makeSettings("c1");
  EXPECT_EQ(listSettingWarnings(Settings).size(), 1U);
  Settings.DataCentreMembers_.pop_back();
  EXPECT_EQ(listSettingWarnings(Settings).size(), 2U);
}

TEST(ControlSettingsTest, FlagsAreReadAndCheckedTogether) {
  ControlSettings Settings;
  net::Options Flags("tulipweir-control", "");
  addControlOptions(Flags, Settings);
  const char *Words[] = {"x", "--name=c1", "--data-centre=fleet",
                         "--listen-links=127.0.0.1:0", "--heartbeat=1"};
  const auto Got = Flags.parse(5, Words, [](const std::string &) {
    return std::optional<std::string>();
  });
  EXPECT_EQ(Got.Exit_, net::ExitCode::BadSettings);
  for (const char *Flag : {"--listen-http", "--secret", "--fleet-members",
                           "--heartbeat", "--data-centre-members"})
    EXPECT_NE(Got.Text_.find(Flag), std::string::npos) << Flag;
}

TEST(PeerLinksTest, EveryOtherControlIsAPeerOnce) {
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
  DecisionStream::Reader keep() {
    return [this](DecisionStream::Batch Batch) {
      ++Answers_;
      Got_ = std::move(Batch);
    };
  }

  ManualClock Time_;
  ManualExecutor Timers_{Time_};
  DecisionStream Stream_{Timers_, 3};
  DecisionStream::Batch Got_;
  int Answers_ = 0;
};
} // namespace

TEST_F(DecisionStreamTest, KeepsTheLatestAndNumbersThemOverTerms) {
  Stream_.beginTerm(1);
  for (const char *Text : {"a", "b", "c", "d"})
    append(Text);
  const std::uint64_t Before = Stream_.getLastSequence();
  Stream_.beginTerm(2);
  append("e");
  Stream_.read(0, 10, Duration::zero(), keep());
  ASSERT_EQ(Got_.size(), 3U);
  EXPECT_EQ(Got_.front().Decision_.Text_, "c");
  EXPECT_GT(Got_.back().Sequence_, Before + 1);
  Stream_.read(Got_[1].Sequence_, 1, Duration::zero(), keep());
  EXPECT_EQ(Got_.at(0).Decision_.Text_, "e");
}

TEST_F(DecisionStreamTest, AReaderWaitsForTheNextOrForItsTime) {
  Stream_.read(0, 10, seconds(5), keep());
  EXPECT_EQ(Answers_, 0);
  append("a");
  EXPECT_EQ(Got_.size(), 1U);
  Stream_.read(Got_[0].Sequence_, 10, seconds(5), keep());
  Time_.advance(seconds(5));
  Timers_.run();
  EXPECT_EQ(Answers_, 2);
  EXPECT_TRUE(Got_.empty());
}

TEST_F(DecisionStreamTest, ClosingAnswersEverybodyWhoWaits) {
  Stream_.read(0, 10, seconds(5), keep());
  Stream_.close();
  EXPECT_EQ(Answers_, 1);
  Stream_.read(0, 10, seconds(5), keep());
  EXPECT_EQ(Answers_, 2);
}

TEST(RouteTableTest, MatchesSegmentsWhole) {
  using Words = std::vector<std::string>;
  EXPECT_EQ(matchPath("/jobs/{}/cancel", "/jobs/a/cancel"), Words{"a"});
  EXPECT_EQ(matchPath("/jobs", "/jobs"), Words{});
  for (const char *Path :
       {"/jobs/", "/jobs/a", "/jobs//cancel", "jobs/a/cancel",
        "/jobs/a/cancel/", "/jobs/a/b/cancel"})
    EXPECT_EQ(matchPath("/jobs/{}/cancel", Path), std::nullopt) << Path;
}

TEST(RollOutTrackerTest, EndsWhenTheLastEntryHoldsTheBundle) {
  ManualClock Time;
  RollOutTracker Tracker(Time);
  const auto Accepted = static_cast<std::uint64_t>(Time.wallNow().count());
  Tracker.noteEntry(EntryId("a"), 1, BundleVersion(1));
  Tracker.noteEntry(EntryId("b"), 1, BundleVersion(1));
  Tracker.noteAccepted(BundleVersion(2), Accepted);
  Time.advance(milliseconds(300));
  Tracker.noteEntry(EntryId("a"), 1, BundleVersion(2));
  EXPECT_EQ(Tracker.getLast().Version_, BundleVersion(0));
  Time.advance(milliseconds(400));
  Tracker.noteEntry(EntryId("b"), 1, BundleVersion(2));
  EXPECT_EQ(Tracker.getLast(), (RollOut{BundleVersion(2), 700}));
}

TEST(FleetProposerTest, ACommandIsRepeatedUntilALeaderAnswers) {
  ManualClock Time;
  ManualExecutor Strand(Time);
  FakePeers Peers;
  FakeLog Log;
  fleet::FleetStateMachine Machine;
  FakeReplica Self(Log, "c1", Machine);
  FakeReplica Other(Log, "c2", Machine);
  FleetProposer Proposer(Self, Peers, Strand, Time);
  std::optional<Outcome<std::string>> Got;
  Proposer.propose("x", seconds(8), [&Got](auto Result) { Got = Result; });
  Log.lead(&Other);
  int Asked = 0;
  Peers.Answers_["c2"] = [&Asked](wire::MessageKind, const std::string &) {
    if (++Asked < 3)
      return Outcome<std::string>(fail(ErrorCode::Timeout, "lost"));
    return Outcome<std::string>(wire::encode(wire::FleetCommandReply{"done"}));
  };
  for (int I = 0; I < 10; ++I) {
    Time.advance(milliseconds(100));
    Strand.run();
  }
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->value(), "done");
  EXPECT_EQ(Asked, 3);
}
