//===- BundleStoreTest.cpp - The current bundle survives a restart -------===//

#include "control/BundleStore.h"
#include "control/ControlCluster.h"
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
/// One run of a control process with a log and a disk.
struct ControlRun {
  explicit ControlRun(FaultyFiles &Files) : File_(Files, "data") {}
  void acceptBundle(const AcceptedBundle &Value) {
    Log_ = Value;
    Store_.scheduleUpdate();
    Strand_.run();
  }
  std::uint64_t getHeldVersion() const { return Store_.getVersion().value(); }

  ManualClock Time_;
  ManualExecutor Strand_{Time_};
  net::Metrics Metrics_;
  BundleStoreCounters Counters_ = BundleStoreCounters::makeFor(Metrics_);
  BundleFile File_;
  std::optional<AcceptedBundle> Log_;
  std::vector<std::uint64_t> Updates_;
  BundleStore Store_{&File_, Strand_, [this] { return Log_; },
                     [this](const AcceptedBundle &Value) {
                       Updates_.push_back(Value.Version_.value());
                     },
                     Counters_};
};
} // namespace

TEST(BundleStoreTest, RestartWithAnOlderLogKeepsTheNewerBundle) {
  FaultyFiles Files(1);
  ControlRun(Files).acceptBundle(makeBundle(7));
  Files.losePower();
  ControlRun Second(Files);
  ASSERT_EQ(Second.getHeldVersion(), 7U);
  EXPECT_EQ(Second.Store_.get()->Accepted_.Text_, makeBundle(7).Text_);
  Second.acceptBundle(makeBundle(5));
  EXPECT_EQ(Second.getHeldVersion(), 7U);
  Second.acceptBundle(makeBundle(7));
  EXPECT_EQ(Second.Store_.get()->Accepted_, makeBundle(7))
      << "the log adds the missing details";
  Second.acceptBundle(makeBundle(8));
  EXPECT_EQ(Second.Updates_, std::vector<std::uint64_t>{8});
  EXPECT_EQ(ControlRun(Files).getHeldVersion(), 8U);
}

TEST(BundleStoreTest, PowerLossAtAnyStepNeverRevertsAPublishedBundle) {
  std::uint64_t Crashed = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    for (std::uint64_t Step = 1; Step <= 8; ++Step) {
      FaultyFiles Files(Seed);
      ControlRun First(Files);
      First.acceptBundle(makeBundle(1));
      Files.CrashAt_ = Files.countWork() + Step;
      First.acceptBundle(makeBundle(2));
      const std::uint64_t Published = First.getHeldVersion();
      Crashed += Files.hasCrashed() ? 1 : 0;
      Files.losePower();
      ControlRun Second(Files);
      ASSERT_GE(Second.getHeldVersion(), Published)
          << "seed " << Seed << " step " << Step;
      ASSERT_EQ(Second.Counters_.Damaged_.value(), 0U);
      Second.acceptBundle(makeBundle(3));
      Files.losePower();
      ASSERT_EQ(ControlRun(Files).getHeldVersion(), 3U)
          << "seed " << Seed << " step " << Step;
    }
  EXPECT_GE(Crashed, 40U * 4) << "the steps must cover a write";
}

TEST(BundleStoreTest, DamagedFileIsIgnoredAndReplacedByTheNextBundle) {
  FaultyFiles Files(1);
  ControlRun(Files).acceptBundle(makeBundle(7));
  const std::string Good = Files.bytesOf("data/bundle");
  std::vector<std::string> Bad{"", Good + "x"};
  for (std::size_t At = 0; At < Good.size(); ++At) {
    Bad.push_back(Good.substr(0, At));
    Bad.push_back(Good);
    Bad.back()[At] = static_cast<char>(Bad.back()[At] ^ 0x10);
  }
  for (const std::string &Bytes : Bad) {
    Files.bytesOf("data/bundle") = Bytes;
    ControlRun Damaged(Files);
    ASSERT_EQ(Damaged.getHeldVersion(), 0U);
    ASSERT_EQ(Damaged.Counters_.Damaged_.value(), 1U);
    Damaged.acceptBundle(makeBundle(6));
    ASSERT_EQ(ControlRun(Files).getHeldVersion(), 6U);
  }
}

TEST(BundleStoreTest, RefusesAConflictingDigestOrText) {
  FaultyFiles Files(1);
  ControlRun Control(Files);
  Control.acceptBundle(makeBundle(2));
  Control.acceptBundle(makeBundle(2, "another"));
  EXPECT_EQ(Control.Store_.get()->Accepted_, makeBundle(2));
  AcceptedBundle Wrong = makeBundle(3);
  Wrong.Text_ += " ";
  Control.acceptBundle(Wrong);
  EXPECT_EQ(Control.getHeldVersion(), 2U);
  EXPECT_EQ(Control.Counters_.Refused_.value(), 2U);
}

TEST(BundleStoreTest, PublishesABundleOnlyAfterItIsPersisted) {
  FaultyFiles Files(1);
  ControlRun Control(Files);
  Control.acceptBundle(makeBundle(1));
  Files.CrashAt_ = 1;
  Control.acceptBundle(makeBundle(2));
  Control.acceptBundle(makeBundle(2));
  EXPECT_EQ(Control.getHeldVersion(), 1U);
  EXPECT_EQ(Control.Store_.getUnwrittenVersion(), BundleVersion(2));
  EXPECT_EQ(Control.Counters_.WritesFailed_.value(), 2U);
  Files.CrashAt_ = 0;
  Control.Time_.advance(seconds(1));
  Control.Strand_.run();
  EXPECT_EQ(Control.getHeldVersion(), 2U);
  EXPECT_EQ(Control.Store_.getUnwrittenVersion(), BundleVersion());
  EXPECT_EQ(Control.Updates_, (std::vector<std::uint64_t>{1, 2}));
}

namespace {
/// A control process that leads its data centre and cannot reach a fleet
/// leader.
struct PartitionedControl {
  explicit PartitionedControl(BundleFile *File)
      : Control_("c1", Time_, DataCentreLog_, FleetLog_, File) {
    DataCentreLog_.lead(&Control_.Group_);
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
    const auto Received = Control_.send(Report);
    return Received && *Received ? Received->value() : wire::EntryReportReply{};
  }
  /// Restores a snapshot of the fleet log whose newest bundle is Value.
  void restoreLog(const AcceptedBundle &Value) {
    fleet::FleetStateMachine Other;
    Other.apply(
        {1, 1,
         fleet::encodeCommand(fleet::test::makeProposal(Value.Text_, 1))});
    ASSERT_EQ(Other.listHistory(1).size(), 1U);
    ASSERT_TRUE(Control_.Fleet_.restoreSnapshot(Other.takeSnapshot()));
    Control_.Strand_.run();
  }
  std::string getCurrentBundle() {
    return Control_.call("GET", "/bundles/current").Body_;
  }

  ManualClock Time_;
  FakeLog DataCentreLog_;
  FakeLog FleetLog_;
  TestControl Control_;
};
} // namespace

TEST(StoredBundleTest, PartitionedRestartServesTheNewerBundle) {
  FaultyFiles Files(1);
  BundleFile File(Files, "data");
  const AcceptedBundle Newer = makeBundle(7);
  ASSERT_TRUE(File.save({Newer.Version_, Newer.Digest_, Newer.Text_}));
  PartitionedControl Partitioned(&File);
  for (int Round = 0; Round < 2; ++Round) {
    const wire::EntryReportReply Reply = Partitioned.report(0);
    ASSERT_TRUE(Reply.Bundle_);
    EXPECT_EQ(Reply.Bundle_->Text_, Newer.Text_);
    EXPECT_EQ(Reply.InForce_, BundleVersion(7));
    EXPECT_FALSE(Partitioned.report(7).Bundle_);
    EXPECT_EQ(Json::parse(Partitioned.getCurrentBundle())["text"], Newer.Text_);
    EXPECT_EQ(Json::parse(Partitioned.Control_.call("GET", "/passed-on/report")
                              .Body_)["version"],
              7);
    EXPECT_EQ(Json::parse(
                  Partitioned.Control_.call("GET", "/limits").Body_)["version"],
              7);
    const Json Dump = Partitioned.Control_.Core_->makeDump()["bundle"];
    EXPECT_EQ(Dump["held"], 7);
    EXPECT_EQ(Dump["inLog"], Round);
    Partitioned.restoreLog(makeBundle(1));
  }
}

TEST(StoredBundleTest, FailedWriteKeepsServingTheOlderBundle) {
  FaultyFiles Files(1);
  BundleFile File(Files, "data");
  PartitionedControl Partitioned(&File);
  Partitioned.restoreLog(makeBundle(1));
  Files.CrashAt_ = 1;
  Partitioned.restoreLog(makeBundle(9));
  EXPECT_EQ(Partitioned.report(0).InForce_, BundleVersion(1));
  EXPECT_EQ(Partitioned.Control_.Core_->makeDump()["bundle"]["unwritten"], 9);
}

TEST(StoredBundleTest, MemoryOnlyControlUsesTheLogAlone) {
  PartitionedControl Partitioned(nullptr);
  EXPECT_FALSE(Partitioned.report(0).Bundle_);
  Partitioned.restoreLog(makeBundle(3));
  EXPECT_EQ(Partitioned.report(0).InForce_, BundleVersion(3));
}
