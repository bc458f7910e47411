//===- BundleKeeperTest.cpp - The bundle in force outlasts a restart ------===//

#include "control/BundleKeeper.h"
#include "control/ControlWorld.h"
#include "replication/FaultyFiles.h"

using namespace tulipweir;
using namespace tulipweir::control;
using namespace tulipweir::control::test;
using fleet::AcceptedBundle;
using replication::FaultyFiles;

static AcceptedBundle makeBundle(std::uint64_t Version,
                                 const std::string &Note = "test") {
  AcceptedBundle Value;
  Value.Version_ = BundleVersion(Version);
  Value.Text_ = fleet::test::makeBundleText(Version, 0, "", 1, 1, Note);
  Value.Digest_ = fleet::computeDigest(Value.Text_);
  Value.Note_ = Note;
  Value.WallMs_ = Version * 1000;
  return Value;
}

namespace {
/// One run of a control between a log and a disk.
struct OneRun {
  explicit OneRun(FaultyFiles &Files) : File_(Files, "data") {}
  void offer(const AcceptedBundle &Value) {
    Log_ = Value;
    Keeper_.noteChanged();
    Strand_.run();
  }
  std::uint64_t held() const { return Keeper_.getVersion().value(); }

  ManualClock Time_;
  ManualExecutor Strand_{Time_};
  net::Metrics Metrics_;
  KeeperCounters Counters_ = KeeperCounters::makeFor(Metrics_);
  BundleFile File_;
  std::optional<AcceptedBundle> Log_;
  std::vector<std::uint64_t> Taken_;
  BundleKeeper Keeper_{&File_, Strand_, [this] { return Log_; },
                       [this](const AcceptedBundle &Value) {
                         Taken_.push_back(Value.Version_.value());
                       },
                       Counters_};
};
} // namespace

TEST(BundleKeeperTest, ARestartOverAnOlderLogHoldsTheNewerBundle) {
  FaultyFiles Files(1);
  OneRun(Files).offer(makeBundle(7));
  Files.losePower();
  OneRun Second(Files);
  ASSERT_EQ(Second.held(), 7U);
  EXPECT_EQ(Second.Keeper_.get()->Accepted_.Text_, makeBundle(7).Text_);
  Second.offer(makeBundle(5));
  EXPECT_EQ(Second.held(), 7U);
  Second.offer(makeBundle(7));
  EXPECT_EQ(Second.Keeper_.get()->Accepted_, makeBundle(7))
      << "the log told the rest";
  Second.offer(makeBundle(8));
  EXPECT_EQ(Second.Taken_, std::vector<std::uint64_t>{8});
  EXPECT_EQ(OneRun(Files).held(), 8U);
}

TEST(BundleKeeperTest, ALossOfPowerAtAnyStepLeavesWhatWasShownOrNewer) {
  std::uint64_t Crashed = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    for (std::uint64_t Step = 1; Step <= 8; ++Step) {
      FaultyFiles Files(Seed);
      OneRun First(Files);
      First.offer(makeBundle(1));
      Files.CrashAt_ = Files.countWork() + Step;
      First.offer(makeBundle(2));
      const std::uint64_t Shown = First.held();
      Crashed += Files.hasCrashed() ? 1 : 0;
      Files.losePower();
      OneRun Second(Files);
      ASSERT_GE(Second.held(), Shown) << "seed " << Seed << " step " << Step;
      ASSERT_EQ(Second.Counters_.Damaged_.value(), 0U);
      Second.offer(makeBundle(3));
      Files.losePower();
      ASSERT_EQ(OneRun(Files).held(), 3U)
          << "seed " << Seed << " step " << Step;
    }
  EXPECT_GE(Crashed, 40U * 4) << "the steps are those of a write";
}

TEST(BundleKeeperTest, ADamagedFileIsNotUsedAndReplacedByTheNextBundle) {
  FaultyFiles Files(1);
  OneRun(Files).offer(makeBundle(7));
  const std::string Good = Files.bytesOf("data/bundle");
  std::vector<std::string> Bad{"", Good + "x"};
  for (std::size_t At = 0; At < Good.size(); ++At) {
    Bad.push_back(Good.substr(0, At));
    Bad.push_back(Good);
    Bad.back()[At] = static_cast<char>(Bad.back()[At] ^ 0x10);
  }
  for (const std::string &Bytes : Bad) {
    Files.bytesOf("data/bundle") = Bytes;
    OneRun Damaged(Files);
    ASSERT_EQ(Damaged.held(), 0U);
    ASSERT_EQ(Damaged.Counters_.Damaged_.value(), 1U);
    Damaged.offer(makeBundle(6));
    ASSERT_EQ(OneRun(Files).held(), 6U);
  }
}

TEST(BundleKeeperTest, AnotherDigestOrAWrongTextIsRefused) {
  FaultyFiles Files(1);
  OneRun Control(Files);
  Control.offer(makeBundle(2));
  Control.offer(makeBundle(2, "another"));
  EXPECT_EQ(Control.Keeper_.get()->Accepted_, makeBundle(2));
  AcceptedBundle Wrong = makeBundle(3);
  Wrong.Text_ += " ";
  Control.offer(Wrong);
  EXPECT_EQ(Control.held(), 2U);
  EXPECT_EQ(Control.Counters_.Refused_.value(), 2U);
}

TEST(BundleKeeperTest, WhatCannotBeWrittenIsNotHandedOnUntilItIs) {
  FaultyFiles Files(1);
  OneRun Control(Files);
  Control.offer(makeBundle(1));
  Files.CrashAt_ = 1;
  Control.offer(makeBundle(2));
  Control.offer(makeBundle(2));
  EXPECT_EQ(Control.held(), 1U);
  EXPECT_EQ(Control.Keeper_.getUnwritten(), BundleVersion(2));
  EXPECT_EQ(Control.Counters_.WritesFailed_.value(), 2U);
  Files.CrashAt_ = 0;
  Control.Time_.advance(seconds(1));
  Control.Strand_.run();
  EXPECT_EQ(Control.held(), 2U);
  EXPECT_EQ(Control.Keeper_.getUnwritten(), BundleVersion());
  EXPECT_EQ(Control.Taken_, (std::vector<std::uint64_t>{1, 2}));
}

namespace {
/// A control that leads its data centre and knows of no fleet's leader.
struct CutOffControl {
  explicit CutOffControl(BundleFile *File)
      : Control_("c1", Time_, Own_, All_, File) {
    Own_.lead(&Control_.Group_);
    for (int I = 0; I < 20; ++I) {
      Time_.advance(milliseconds(50));
      Control_.Strand_.run();
    }
  }
  wire::EntryReportReply report(std::uint64_t Held) {
    wire::EntryReport Report;
    Report.Entry_ = EntryId("e1");
    Report.Incarnation_ = 1;
    Report.Held_ = BundleVersion(Held);
    const auto Got = Control_.send(Report);
    return Got && *Got ? Got->value() : wire::EntryReportReply{};
  }
  /// The newest bundle that the fleet's log is known to hold.
  void restoreLog(const AcceptedBundle &Value) {
    fleet::FleetStateMachine Other;
    Other.apply(
        {1, 1,
         fleet::encodeCommand(fleet::test::makeProposal(Value.Text_, 1))});
    ASSERT_EQ(Other.listHistory(1).size(), 1U);
    ASSERT_TRUE(Control_.Fleet_.restoreSnapshot(Other.takeSnapshot()));
    Control_.Strand_.run();
  }
  std::string current() {
    return Control_.call("GET", "/bundles/current").Body_;
  }

  ManualClock Time_;
  FakeLog Own_;
  FakeLog All_;
  TestControl Control_;
};
} // namespace

TEST(KeptBundleTest, ACutOffRestartHandsEntriesTheNewerBundle) {
  FaultyFiles Files(1);
  BundleFile File(Files, "data");
  const AcceptedBundle Newer = makeBundle(7);
  ASSERT_TRUE(File.save({Newer.Version_, Newer.Digest_, Newer.Text_}));
  CutOffControl Cut(&File);
  for (int Round = 0; Round < 2; ++Round) {
    const wire::EntryReportReply Fresh = Cut.report(0);
    ASSERT_TRUE(Fresh.Bundle_);
    EXPECT_EQ(Fresh.Bundle_->Text_, Newer.Text_);
    EXPECT_EQ(Fresh.InForce_, BundleVersion(7));
    EXPECT_FALSE(Cut.report(7).Bundle_);
    EXPECT_EQ(Json::parse(Cut.current())["text"], Newer.Text_);
    EXPECT_EQ(
        Json::parse(
            Cut.Control_.call("GET", "/passed-on/report").Body_)["version"],
        7);
    EXPECT_EQ(Json::parse(Cut.Control_.call("GET", "/limits").Body_)["version"],
              7);
    const Json Dump = Cut.Control_.Core_->makeDump()["bundle"];
    EXPECT_EQ(Dump["held"], 7);
    EXPECT_EQ(Dump["inLog"], Round);
    Cut.restoreLog(makeBundle(1));
  }
}

TEST(KeptBundleTest, AFailedWriteKeepsTheOlderBundleAtTheEntries) {
  FaultyFiles Files(1);
  BundleFile File(Files, "data");
  CutOffControl Cut(&File);
  Cut.restoreLog(makeBundle(1));
  Files.CrashAt_ = 1;
  Cut.restoreLog(makeBundle(9));
  EXPECT_EQ(Cut.report(0).InForce_, BundleVersion(1));
  EXPECT_EQ(Cut.Control_.Core_->makeDump()["bundle"]["unwritten"], 9);
}

TEST(KeptBundleTest, WithMemoryOnlyTheLogAloneCounts) {
  CutOffControl Cut(nullptr);
  EXPECT_FALSE(Cut.report(0).Bundle_);
  Cut.restoreLog(makeBundle(3));
  EXPECT_EQ(Cut.report(0).InForce_, BundleVersion(3));
}
