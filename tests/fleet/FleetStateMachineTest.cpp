//===- FleetStateMachineTest.cpp ------------------------------------------===//

#include "tulipweir/fleet/FleetStateMachine.h"
#include "FleetFixture.h"
#include "tulipweir/fleet/ActiveBundle.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <barrier>
#include <chrono>
#include <future>
#include <random>
#include <thread>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::fleet;
using namespace tulipweir::fleet::test;

static CommandResult applyCommand(FleetStateMachine &Machine,
                                  const Command &Request) {
  const std::string Bytes = encodeCommand(Request);
  return decodeResult(Machine.apply({1, 1, Bytes})).value();
}

static std::vector<Command> makeSampleCommands() {
  const SignOff Sign{OperatorId("a"), "sig"};
  const JobId Job("j");
  return {ProposeBundle{"text", Sign, 1},
          SignBundle{Digest("d"), Sign, 2},
          SubmitJob{Job, TeamId("t"), std::string("\0\xff", 2),
                    DataCentreId("dc"), 3},
          AssignJob{Job, DataCentreId("dc")},
          ReleaseJob{Job, 1ULL << 63, true, "p"},
          CancelJob{Job},
          EndJob{Job, 4, JobEnd::Cancelled, "m", 5}};
}

TEST(FleetCodecTest, CommandsRoundTrip) {
  for (const Command &Request : makeSampleCommands())
    EXPECT_EQ(decodeCommand(encodeCommand(Request)).value(), Request);
}

TEST(FleetCodecTest, TruncatedExtendedAndMutatedBytesDoNotCrash) {
  std::mt19937_64 Random(7);
  for (const Command &Request : makeSampleCommands()) {
    const std::string Whole = encodeCommand(Request);
    for (std::size_t Size = 0; Size < Whole.size(); ++Size)
      EXPECT_FALSE(decodeCommand(Whole.substr(0, Size)).has_value());
    EXPECT_FALSE(decodeCommand(Whole + "x").has_value());
    for (int Round = 0; Round < 2000; ++Round) {
      std::string Changed = Whole;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      const auto Decoded = decodeCommand(Changed);
      // A decoded value is no longer than its bytes.
      const std::size_t Size =
          Decoded ? encodeCommand(Decoded.value()).size() : 0;
      EXPECT_LE(Size, Changed.size());
    }
  }
}

TEST(FleetCodecTest, HugeEntryCountIsRejected) {
  const std::string Claim("\xdd\xff\xff\xff\xff", 5);
  EXPECT_EQ(decodeCommand(Claim).error().Code_, ErrorCode::Malformed);
  EXPECT_EQ(decodeState(Claim).error().Code_, ErrorCode::Malformed);
}

TEST(FleetCodecTest, WrongFieldCountIsRejected) {
  // CancelJob is kind 5 with one field; bin8 of length 1 is c4 01 61.
  const std::string Right("\x92\x05\x91\xc4\x01\x61", 6);
  const std::string Fewer("\x92\x05\x90", 3);
  const std::string More("\x92\x05\x92\xc4\x01\x61\xc4\x01\x61", 9);
  EXPECT_EQ(decodeCommand(Right).value(), Command(CancelJob{JobId("a")}));
  EXPECT_FALSE(decodeCommand(Fewer).has_value());
  EXPECT_FALSE(decodeCommand(More).has_value());
}

TEST(FleetCodecTest, OtherSnapshotFormatGivesVersionMismatch) {
  std::string Bytes = encodeState(FleetState());
  Bytes[1] = 2; // Follows the array's header.
  EXPECT_EQ(decodeState(Bytes).error().Code_, ErrorCode::VersionMismatch);
}

TEST(FleetCodecTest, MutatedSnapshotIsRejectedOrUsable) {
  FleetState Whole;
  const auto First = makeBundleText(1, 0, "", 2, 1);
  const auto Next = makeBundleText(2, 1, computeDigest(First).value(), 2, 2);
  const auto Waiting = makeBundleText(3, 2, computeDigest(Next).value(), 2);
  for (const std::string &Text : {First, Next, Waiting})
    Whole.apply(makeProposal(Text, 1));
  for (const char *Name : {"a", "b", "c"})
    Whole.apply(SubmitJob{JobId(Name), TeamId("t"), "s", {}, 1});
  Whole.apply(AssignJob{JobId("a"), DataCentreId("dc")});
  Whole.apply(CancelJob{JobId("b")});
  const std::string Bytes = encodeState(Whole);
  std::mt19937_64 Random(11);
  std::size_t Accepted = 0;
  for (int Round = 0; Round < 4000; ++Round) {
    std::string Changed = Bytes;
    // Every other round changes only the last 400 bytes, which hold the jobs;
    // the texts before them are protected by their digests.
    const std::size_t Tail = Round % 2 ? Bytes.size() : 400;
    Changed[Bytes.size() - 1 - Random() % Tail] = static_cast<char>(Random());
    auto Decoded = decodeState(Changed);
    if (!Decoded)
      continue;
    ++Accepted;
    FleetState &State = Decoded.value();
    for (const char *Name : {"a", "b", "c"}) {
      State.apply(AssignJob{JobId(Name), DataCentreId("x")});
      State.apply(ReleaseJob{JobId(Name), 1, true, ""});
    }
    State.apply(makeSignCommand(Waiting, 2));
    std::size_t Open = State.jobs().unassigned().size();
    for (const auto &Entry : State.jobs().held())
      Open += Entry.second.size();
    EXPECT_EQ(State.jobs().countOpen(), Open);
  }
  EXPECT_GT(Accepted, 0U);
}

TEST(FleetCodecTest, ReportsAndRepliesRoundTrip) {
  const AssignmentReport Report{
      DataCentreId("dc"), true, {0.5, 3, 48}, {{JobId("j"), 2}}};
  EXPECT_EQ(decodeReport(encodeReport(Report)).value(), Report);
  for (const double Reserved : {0.0, 1.0}) {
    AssignmentReport Other = Report;
    Other.Load_.Reserved_ = Reserved;
    EXPECT_EQ(decodeReport(encodeReport(Other)).value(), Other);
  }
  const AssignmentReply Reply{{{JobId("j"), 2}}};
  EXPECT_EQ(decodeReply(encodeReply(Reply)).value(), Reply);
}

TEST(FleetStateMachineTest, NotifiesListenerAndAnswersQueries) {
  std::vector<std::string> Results;
  FleetStateMachine Machine([&](const Command &, const CommandResult &Result) {
    Results.push_back(Result.Error_);
  });
  EXPECT_FALSE(Machine.getInForce());
  EXPECT_EQ(Machine.getBundle(), nullptr);
  const auto Text = makeBundleText(1, 0, "", 1, 1);
  EXPECT_TRUE(applyCommand(Machine, makeProposal(Text, 1)).Accepted_);
  EXPECT_EQ(Machine.getInForce()->Text_, Text);
  EXPECT_EQ(Machine.getBundle()->Version_, BundleVersion(1));
  EXPECT_EQ(Machine.listHistory(5).size(), 1U);
  for (const char *Name : {"a", "b", "c"})
    applyCommand(Machine, SubmitJob{JobId(Name), TeamId("t"), "s", {}, 1});
  applyCommand(Machine, AssignJob{JobId("b"), DataCentreId("dc")});
  EXPECT_EQ(Machine.listUnassigned(9).size(), 2U);
  EXPECT_EQ(Machine.listHeld(DataCentreId("dc"), 9).at(0).Job_, JobId("b"));
  EXPECT_EQ(Machine.listJobs(2).size(), 2U);
  EXPECT_EQ(Machine.listJobs(2, JobId("b")).at(0).Job_, JobId("c"));
  EXPECT_EQ(Results.size(), 5U);
}

TEST(FleetStateMachineTest, ReplayedBatchExposesNoOlderBundles) {
  std::size_t Notified = 0;
  FleetStateMachine Machine([&](const Command &, const CommandResult &) {
    // Listeners run after the batch and see its final state.
    EXPECT_EQ(Machine.getBundle()->Version_, BundleVersion(2));
    ++Notified;
  });
  const auto First = makeBundleText(1, 0, "", 1, 1);
  const auto Second = makeBundleText(2, 1, computeDigest(First).value(), 1, 1);
  Machine.beginBatch();
  EXPECT_TRUE(applyCommand(Machine, makeProposal(First, 1)).Accepted_);
  auto Shown =
      std::async(std::launch::async, [&] { return Machine.getInForce(); });
  // A reader that is not blocked would finish long before.
  EXPECT_EQ(Shown.wait_for(std::chrono::milliseconds(100)),
            std::future_status::timeout);
  EXPECT_TRUE(applyCommand(Machine, makeProposal(Second, 1)).Accepted_);
  EXPECT_EQ(Notified, 0U);
  Machine.endBatch();
  EXPECT_EQ(Shown.get()->Version_, BundleVersion(2));
  EXPECT_EQ(Notified, 2U);
}

TEST(FleetStateMachineTest, MalformedCommandChangesNothing) {
  FleetStateMachine Machine;
  const std::string Before = Machine.takeSnapshot();
  const auto Result = decodeResult(Machine.apply({1, 1, "rubbish"}));
  EXPECT_EQ(Result.value().Error_, "malformed");
  EXPECT_EQ(Machine.takeSnapshot(), Before);
}

TEST(FleetStateMachineTest, OnlyWellFormedSnapshotReplacesState) {
  unsigned Restored = 0;
  FleetStateMachine Machine;
  FleetStateMachine Other(nullptr, [&Restored] { ++Restored; });
  applyCommand(Machine, makeProposal(makeBundleText(1, 0, "", 1, 1), 1));
  applyCommand(Other, SubmitJob{JobId("j"), TeamId("t"), "s", {}, 1});
  const std::string Good = Machine.takeSnapshot();
  const std::string Before = Other.takeSnapshot();
  for (std::size_t Size = 0; Size < Good.size(); Size += 7)
    EXPECT_FALSE(Other.restoreSnapshot(Good.substr(0, Size)).has_value());
  EXPECT_EQ(Other.takeSnapshot(), Before);
  EXPECT_TRUE(Other.restoreSnapshot(Good).has_value());
  EXPECT_EQ(Other.takeSnapshot(), Good);
  EXPECT_EQ(Other.getBundle()->Version_, BundleVersion(1));
  EXPECT_EQ(Restored, 1U);
}

static wire::SignedBundle makeSignedBundle(std::uint64_t Version,
                                           const std::string &Note = "") {
  const auto Text =
      makeBundleText(Version, Version - 1,
                     Version == 1 ? "" : std::string(64, 'a'), 1, 1, Note);
  return {BundleVersion(Version), computeDigest(Text), Text};
}

TEST(ActiveBundleTest, VersionNeverDecreasesWhateverTheOrder) {
  std::mt19937_64 Random(3);
  ActiveBundle Held;
  std::uint64_t Highest = 0;
  for (int Round = 0; Round < 300; ++Round) {
    const std::uint64_t Version = 1 + Random() % 40;
    const bool IsNewer = Version > Highest;
    EXPECT_EQ(Held.adopt(makeSignedBundle(Version)).value(), IsNewer);
    Highest = std::max(Highest, Version);
    EXPECT_EQ(Held.getVersion().value(), Highest);
    EXPECT_EQ(Held.getBundle()->Version_.value(), Highest);
  }
}

/// The lower version takes longer to parse, so that the higher one is adopted
/// in the meantime.
TEST(ActiveBundleTest, LowerVersionAdoptedConcurrentlyDoesNotReplaceHigherOne) {
  static constexpr std::uint64_t Rounds = 40;
  ActiveBundle Held;
  for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
    auto Value = makeBundleJson(2 * Round + 1, 0, "", 1, 1);
    for (int I = 0; I < 200; ++I)
      Value["services"].push_back({{"service", "s" + std::to_string(I)}});
    const std::string Long = Value.dump();
    const wire::SignedBundle Lower{BundleVersion(2 * Round + 1),
                                   computeDigest(Long), Long};
    const wire::SignedBundle Higher = makeSignedBundle(2 * Round + 2);
    std::barrier Start(2);
    std::thread Slow([&] {
      Start.arrive_and_wait();
      EXPECT_TRUE(Held.adopt(Lower).has_value());
    });
    Start.arrive_and_wait();
    EXPECT_TRUE(Held.adopt(Higher).value());
    Slow.join();
    EXPECT_EQ(Held.getVersion(), Higher.Version_);
    EXPECT_EQ(Held.getBundle()->Version_, Higher.Version_);
  }
}

TEST(ActiveBundleTest, CorruptAndConflictingBundlesAreRejected) {
  ActiveBundle Held;
  ASSERT_TRUE(Held.adopt(makeSignedBundle(2)).value());
  auto Damaged = makeSignedBundle(3);
  Damaged.Text_ += " ";
  EXPECT_EQ(Held.adopt(Damaged).error().Code_, ErrorCode::Corrupt);
  auto Renamed = makeSignedBundle(3);
  Renamed.Version_ = BundleVersion(4);
  EXPECT_EQ(Held.adopt(Renamed).error().Code_, ErrorCode::Corrupt);
  EXPECT_EQ(Held.adopt(makeSignedBundle(2, "other")).error().Code_,
            ErrorCode::Conflict);
  EXPECT_EQ(Held.getVersion(), BundleVersion(2));
}
