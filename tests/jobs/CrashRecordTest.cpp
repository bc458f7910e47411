//===- CrashRecordTest.cpp - When a task is given up ----------------------===//

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

TEST(CrashRecordTest, OneCrashIsolatesUnlessManyServersWent) {
  EXPECT_FALSE(needsIsolation({}));
  EXPECT_TRUE(needsIsolation(makeCrashes(1)));
  CrashRecords Among = makeCrashes(1);
  Among[0].IsAmongMany_ = true;
  EXPECT_FALSE(needsIsolation(Among));
  CrashRecords Silent = makeCrashes(1);
  Silent[0].IsConfirmed_ = false;
  EXPECT_FALSE(needsIsolation(Silent))
      << "leases are lost to slow leaders, too";
  addCrash(Among, makeCrash(2));
  EXPECT_TRUE(needsIsolation(Among));
}

TEST(CrashRecordTest, TwoConclusiveCrashesOfThreeAreEnough) {
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, true));
  EXPECT_FALSE(isToGiveUp(Records));
  addCrash(Records, makeCrash(3, true));
  EXPECT_TRUE(isToGiveUp(Records));
}

TEST(CrashRecordTest, CrashesOfServersThatMayBeCutOffAreNotConclusive) {
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, true));
  addCrash(Records, makeCrash(3, true));
  Records[2].IsConfirmed_ = false;
  EXPECT_FALSE(isToGiveUp(Records));
  EXPECT_TRUE(isUnsure(Records));
}

TEST(CrashRecordTest, ConclusiveCrashesAtDifferingTimesAreAccidents) {
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, true));
  addCrash(Records, makeCrash(3, true, 7500));
  EXPECT_FALSE(isToGiveUp(Records));
}

TEST(CrashRecordTest, ACrashBesideWhatHadJustBegunOnlyIsolates) {
  CrashRecords Records = makeCrashes(5);
  EXPECT_TRUE(isToGiveUp(Records));
  Records[4].IsDoubtful_ = true;
  EXPECT_FALSE(isToGiveUp(Records));
  EXPECT_TRUE(needsIsolation({Records[4]}));
}

TEST(CrashRecordTest, NoMoreThanTwoRunsFollowTheThirdCrash) {
  EXPECT_FALSE(isToGiveUp(makeCrashes(4)));
  EXPECT_TRUE(isToGiveUp(makeCrashes(5)));
}

TEST(CrashRecordTest, RunsThatEndAtDifferingTimesAreLostByAccident) {
  CrashRecords Records = makeCrashes(1);
  for (std::uint64_t Run = 2; Run <= 6; ++Run)
    addCrash(Records, makeCrash(Run, false, Run * 900));
  EXPECT_FALSE(isToGiveUp(Records));
  for (std::uint64_t Run = 7; Run <= 9; ++Run)
    addCrash(Records, makeCrash(Run, false, Run * 900));
  EXPECT_TRUE(isToGiveUp(Records)) << "but not without end";
}

TEST(CrashRecordTest, TheServersOfOneGangRunCountAsOneRun) {
  CrashRecords Records;
  for (int Server = 0; Server < 4; ++Server) {
    CrashRecord Each = makeCrash(1, true);
    Each.Server_ += std::to_string(Server);
    addCrash(Records, Each);
  }
  EXPECT_FALSE(isToGiveUp(Records)) << "one event may take them all";
  addCrash(Records, makeCrash(2, true));
  EXPECT_TRUE(isToGiveUp(Records));
}

TEST(CrashRecordTest, IsolationLastsTwiceAsLongAsARunTookToCrash) {
  EXPECT_EQ(getIsolationMs(makeCrashes(1)), SettledAfterMs);
  CrashRecords Records = makeCrashes(1);
  addCrash(Records, makeCrash(2, false, 2000));
  EXPECT_EQ(getIsolationMs(Records), 4000U);
  addCrash(Records, makeCrash(3, false, 60'000));
  EXPECT_EQ(getIsolationMs(Records), HarmlessAfterMs);
}

TEST(CrashRecordTest, RecordsAreBounded) {
  EXPECT_EQ(makeCrashes(1000).size(), 16U);
}
