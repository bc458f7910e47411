//===- CrashRecordTest.cpp - When a crashing task is given up -------------===//

#include "tulipweir/jobs/CrashRecord.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;

static CrashRecord makeCrash(std::uint64_t Run, bool IsConclusive = false,
                             std::uint64_t AgeMs = 0) {
  const std::string Number = std::to_string(Run);
  return {Run,   "i" + Number, "a" + Number, AgeMs,
          false, IsConclusive, true,         false};
}

static CrashRecords makeCrashes(std::size_t Count) {
  CrashRecords Records;
  for (std::uint64_t Run = 1; Run <= Count; ++Run)
    addCrash(Records, makeCrash(Run));
  return Records;
}

TEST(CrashRecordTest, OneCrashIsolatesUnlessItIsCorrelated) {
  EXPECT_FALSE(needsIsolation({}));
  EXPECT_TRUE(needsIsolation(makeCrashes(1)));
  CrashRecords Correlated = makeCrashes(1);
  Correlated[0].IsCorrelated_ = true;
  EXPECT_FALSE(needsIsolation(Correlated));
  CrashRecords Unconfirmed = makeCrashes(1);
  Unconfirmed[0].IsConfirmed_ = false;
  EXPECT_FALSE(needsIsolation(Unconfirmed))
      << "a slow leader may let leases expire, too";
  addCrash(Correlated, makeCrash(2));
  EXPECT_TRUE(needsIsolation(Correlated));
}

TEST(CrashRecordTest, TwoConclusiveCrashesOfThreeAreEnough) {
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, true));
  EXPECT_FALSE(shouldGiveUp(Records));
  addCrash(Records, makeCrash(3, true));
  EXPECT_TRUE(shouldGiveUp(Records));
}

TEST(CrashRecordTest, CrashesOfServersThatMayBeCutOffAreNotConclusive) {
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, true));
  addCrash(Records, makeCrash(3, true));
  Records[2].IsConfirmed_ = false;
  EXPECT_FALSE(shouldGiveUp(Records));
  EXPECT_TRUE(isLastCrashUnconfirmed(Records));
}

TEST(CrashRecordTest, ConclusiveCrashesAtIrregularTimesAreNotEnough) {
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, true));
  addCrash(Records, makeCrash(3, true, 7500));
  EXPECT_FALSE(shouldGiveUp(Records));
}

TEST(CrashRecordTest, ACrashBesideYoungerRunsOnlyIsolates) {
  CrashRecords Records = makeCrashes(5);
  EXPECT_TRUE(shouldGiveUp(Records));
  Records[4].OnlyIsolates_ = true;
  EXPECT_FALSE(shouldGiveUp(Records));
  EXPECT_TRUE(needsIsolation({Records[4]}));
}

TEST(CrashRecordTest, NoMoreThanTwoRunsFollowTheThirdCrash) {
  EXPECT_FALSE(shouldGiveUp(makeCrashes(4)));
  EXPECT_TRUE(shouldGiveUp(makeCrashes(5)));
}

TEST(CrashRecordTest, CrashesAtIrregularTimesAllowMoreRuns) {
  CrashRecords Records = makeCrashes(1);
  for (std::uint64_t Run = 2; Run <= 6; ++Run)
    addCrash(Records, makeCrash(Run, false, Run * 900));
  EXPECT_FALSE(shouldGiveUp(Records));
  for (std::uint64_t Run = 7; Run <= 9; ++Run)
    addCrash(Records, makeCrash(Run, false, Run * 900));
  EXPECT_TRUE(shouldGiveUp(Records)) << "the number of runs is bounded";
}

TEST(CrashRecordTest, TheServersOfOneGangRunCountAsOneRun) {
  CrashRecords Records;
  for (int Server = 0; Server < 4; ++Server) {
    CrashRecord Crash = makeCrash(1, true);
    Crash.Server_ += std::to_string(Server);
    addCrash(Records, Crash);
  }
  EXPECT_FALSE(shouldGiveUp(Records))
      << "one event may crash all servers of a gang";
  addCrash(Records, makeCrash(2, true));
  EXPECT_TRUE(shouldGiveUp(Records));
}

TEST(CrashRecordTest, IsolationLastsTwiceAsLongAsARunTookToCrash) {
  EXPECT_EQ(getIsolationMs(makeCrashes(1)), SettledAgeMs);
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, false, 2000));
  EXPECT_EQ(getIsolationMs(Records), 4000U);
  addCrash(Records, makeCrash(3, false, 60'000));
  EXPECT_EQ(getIsolationMs(Records), HarmlessAgeMs);
}

TEST(CrashRecordTest, RecordsAreBounded) {
  EXPECT_EQ(makeCrashes(1000).size(), 16U);
}
