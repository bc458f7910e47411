//===- JobRegistryCrashesTest.cpp - Crash attribution in JobRegistry ------===//

#include "jobs/JobFixture.h"

#include <gmock/gmock.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

class JobRegistryCrashesTest : public JobRegistryTest {
protected:
  JobRegistryCrashesTest() { submit(makeJob("j", {makeStep(3, 100)})); }

  /// Crashes the server, whose reports had listed its runs for the given times.
  CommandResult crash(const std::string &Server,
                      std::vector<ReportedRun> Runs = {}) {
    CrashEvidence Crash{true, true, false, true, std::move(Runs)};
    return apply(RemoveServer{Server, {}, true, Crash});
  }
  void addServer(const std::string &Id, const std::string &Address) {
    ServerFacts Facts = makeServer(Id);
    Facts.Address_ = Address;
    apply(AddServer{Facts});
  }
  const CrashRecords &getCrashes(std::uint64_t Index) const {
    return Registry_.findTask({"j", 0, 0, Index})->Crashes_;
  }
  std::size_t countCrashes(std::uint64_t Index) const {
    return getCrashes(Index).size();
  }
};

std::string fromHex(const std::string &Hex) {
  static constexpr int Base = 16;
  std::string Bytes;
  for (std::size_t I = 0; I < Hex.size(); I += 2)
    Bytes.push_back(
        static_cast<char>(std::stoi(Hex.substr(I, 2), nullptr, Base)));
  return Bytes;
}

} // namespace

TEST_F(JobRegistryCrashesTest, AllPossibleCausesOfACrashAreSuspected) {
  start(makeStart("j", 0, "s1"));
  start(makeStart("j", 1, "s1"));
  start(makeStart("j", 2, "s2"));
  crash("s1", {{{"j", 0, 0, 1}, HarmlessAgeMs}});
  EXPECT_EQ(countCrashes(0), 1U);
  EXPECT_EQ(countCrashes(1), 0U) << "it had run long enough to be harmless";
  EXPECT_EQ(countCrashes(2), 0U) << "it ran on another server";
  EXPECT_THAT(Registry_.crashSuspects(),
              ElementsAre(testing::Key(TaskKey{"j", 0, 0, 0})));
}

TEST_F(JobRegistryCrashesTest, ACrashIsAttributedToTheIsolatedRun) {
  start(makeStart("j", 0, "s1"));
  crash("s1");
  start(makeStart("j", 1, "s2"));
  start(makeStart("j", 0, "s2", 2));
  crash("s2", {{{"j", 0, 0, 1}, SettledAgeMs}});
  ASSERT_EQ(countCrashes(0), 2U);
  EXPECT_TRUE(getCrashes(0)[1].IsConclusive_);
  EXPECT_EQ(countCrashes(1), 0U);
}

TEST_F(JobRegistryCrashesTest, ACrashBesideAnotherNewRunIsNotConclusive) {
  start(makeStart("j", 0, "s1"));
  crash("s1");
  start(makeStart("j", 0, "s2", 2));
  start(makeStart("j", 1, "s2"));
  crash("s2");
  ASSERT_EQ(countCrashes(0), 2U);
  EXPECT_FALSE(getCrashes(0)[1].IsConclusive_);
}

TEST_F(JobRegistryCrashesTest, AGangsMembersOnOneServerAreOneRun) {
  StepSpec Gang = makeStep(2, 100);
  Gang.Gang_ = true;
  submit(makeJob("g", {Gang}));
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    const std::string Id = "s" + std::to_string(Run);
    apply(StartTasks{{makeStart("g", 0, Id, Run), makeStart("g", 1, Id, Run)}});
    crash(Id);
  }
  for (std::uint64_t Index = 0; Index < 2; ++Index) {
    const CrashRecords &Crashes =
        Registry_.findTask({"g", 0, 0, Index})->Crashes_;
    ASSERT_EQ(Crashes.size(), 2U);
    EXPECT_TRUE(Crashes[1].IsConclusive_);
  }
}

TEST_F(JobRegistryCrashesTest, AServerThatLeavesHasNotCrashed) {
  start(makeStart("j", 0, "s1"));
  apply(RemoveServer{"s1", {}, true});
  EXPECT_EQ(countCrashes(0), 0U);
}

TEST_F(JobRegistryCrashesTest, AServerThatIsHeardAgainDidNotCrash) {
  start(makeStart("j", 0, "s1"));
  apply(RemoveServer{"s1", {}, false, {true, false, false, true, {}}});
  EXPECT_EQ(countCrashes(0), 1U);
  apply(AddServer{makeServer("s1")});
  EXPECT_EQ(countCrashes(0), 0U);
  EXPECT_THAT(Registry_.crashSuspects(), IsEmpty());
}

TEST_F(JobRegistryCrashesTest, ANewIncarnationConfirmsACrash) {
  start(makeStart("j", 0, "s1"));
  apply(RemoveServer{"s1", {}, false, {true, false, false, true, {}}});
  EXPECT_FALSE(getCrashes(0)[0].IsConfirmed_);
  addServer("s1-again", makeServer("s1").Address_);
  EXPECT_TRUE(getCrashes(0)[0].IsConfirmed_);
  EXPECT_TRUE(Registry_.findServer("s1-again")->IsAfterCrash_);
}

TEST_F(JobRegistryCrashesTest, ASurvivingRunIsNotSuspectedByANewLeader) {
  start(makeStart("j", 0, "s1"));
  crash("s1");
  start(makeStart("j", 0, "s2", 2));
  apply(RecordSurvivingRuns{{{{"j", 0, 0, 0}, 2, false}}});
  crash("s2");
  EXPECT_EQ(countCrashes(0), 1U);
}

TEST_F(JobRegistryCrashesTest, AHarmlessRunClearsItsTask) {
  start(makeStart("j", 0, "s1"));
  crash("s1");
  start(makeStart("j", 0, "s2", 2));
  apply(RecordSurvivingRuns{{{{"j", 0, 0, 0}, 2, true}}});
  EXPECT_THAT(Registry_.crashSuspects(), IsEmpty());
}

TEST_F(JobRegistryCrashesTest, TheJobFailsWithTheTaskAndItsServers) {
  for (std::uint64_t Run = 1; Run <= 3; ++Run) {
    const std::string Id = "t" + std::to_string(Run);
    addServer(Id, Id + ":80");
    ASSERT_TRUE(start(makeStart("j", 0, Id, Run)));
    const CommandResult Result = crash(Id);
    EXPECT_EQ(Result.FailedJobs_.size(), Run == 3 ? 1U : 0U);
  }
  EXPECT_EQ(getJobState("j"), JobState::Failed);
  EXPECT_EQ(Registry_.findJob("j")->Cause_, FailureCause::Crashes);
  EXPECT_EQ(Registry_.findJob("j")->Reason_,
            "task 0.0.0 crashed the servers t1, t2, t3");
  EXPECT_THAT(Registry_.crashSuspects(), IsEmpty());
  addServer("t4", "t1:80");
  EXPECT_FALSE(Registry_.findServer("t4")->IsAfterCrash_)
      << "the crash is explained";
}

TEST_F(JobRegistryCrashesTest, SnapshotsHoldCrashRecords) {
  start(makeStart("j", 0, "s1"));
  crash("s1");
  addServer("s1-again", makeServer("s1").Address_);
  const Outcome<JobRegistry> Decoded = JobRegistry::decode(Registry_.encode());
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value().crashSuspects(), Registry_.crashSuspects());
  EXPECT_EQ(Decoded.value().findTask({"j", 0, 0, 0})->Crashes_, getCrashes(0));
  EXPECT_TRUE(Decoded.value().findServer("s1-again")->IsAfterCrash_);
  EXPECT_EQ(Decoded.value().encode(), Registry_.encode());
}

TEST(JobRegistryFormatTest, EncodingsWithoutCrashRecordsAreRead) {
  const Outcome<Command> Read = decodeCommand(
      fromHex("920593c4027331919394c4016a00000102c40461742033c3"));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value(),
            Command(RemoveServer{"s1", {{{"j", 0, 0, 1}, 2, "at 3"}}, true}));
  const Outcome<JobRegistry> Registry = JobRegistry::decode(
      fromHex("9894019199c4057374617973c40c687574732e6578616d706c65c4072f737461"
              "79732fc407626f6f6b696e670002ccc8cd03e894c20000009193c407626f6f6b"
              "696e67c3c2c40d7b2276657273696f6e223a317d919996c4016ac40c7061796c"
              "6f6164206f66206a91dc00100293646400cd01f490c2c2c2c2c2c2c400c40000"
              "c400000000000099c4057374617973c40c687574732e6578616d706c65c4072f"
              "73746179732fc407626f6f6b696e670002ccc8cd03e894c20000000101cd03e8"
              "00019192009193929701010000c400919201c4027331909700000000c4009090"
              "0100019197c4027331c407626f6f6b696e67c403646331c402723192c40161c4"
              "027231c40573313a383093cd0fa0cd271000029192c40573313a3830c4027331"
              "909090"));
  ASSERT_TRUE(Registry);
  EXPECT_EQ(Registry.value().findJob("j")->State_, JobState::Running);
  EXPECT_EQ(Registry.value().findServer("s1")->Placed_.size(), 1U);
}
