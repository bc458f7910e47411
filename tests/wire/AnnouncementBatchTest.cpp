//===- AnnouncementBatchTest.cpp ------------------------------------------===//

#include "tulipweir/wire/AnnouncementBatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace tulipweir;
using namespace tulipweir::wire;

static Announcement makeLast() {
  Announcement Value;
  Value.Server_ = BackendServerId("s");
  Value.Boot_ = BootId("b");
  Value.Capacity_ = Resources::makeFor(8000, 8000);
  Value.Sequence_ = 7;
  AttemptReport Report;
  Report.Task_ = {JobId("j"), 1};
  Report.Usage_ = Resources::makeFor(1000, 1000);
  Value.Attempts_ = {Report, Report};
  Value.ServiceReports_ = {{ServiceId("v"), 100, 10'000, 5000, 50, 0}};
  return Value;
}

using Change = void (*)(Announcement &);

/// Whether one announcement later, with Change, a digest says as much.
static bool staysTheSame(Change Make) {
  Announcement Now = makeLast();
  ++Now.Sequence_;
  Make(Now);
  return saysTheSame(Now, makeLast());
}

TEST(Materiality, WhatMovesAllTheTimeStaysADigest) {
  for (const Change Each : std::initializer_list<Change>{
           [](Announcement &) {}, [](Announcement &V) { V.Sequence_ += 9; },
           [](Announcement &V) { V.ServiceReports_.clear(); },
           [](Announcement &V) { V.Attempts_[1].UsageAgeMs_ = 9; },
           [](Announcement &V) { V.Attempts_[1].ProgressMs_ = 9; },
           [](Announcement &V) { V.Attempts_[1].Usage_.MilliCpus_ = 1500; },
           [](Announcement &V) { V.Attempts_[1].Usage_.MemoryMib_ = 500; }})
    EXPECT_TRUE(staysTheSame(Each));
}

TEST(Materiality, EverythingElseIsSaidInFull) {
  for (const Change Each : std::initializer_list<Change>{
           [](Announcement &V) { V.Sequence_ = 7; },
           [](Announcement &V) { V.Server_ = BackendServerId("t"); },
           [](Announcement &V) { V.Boot_ = BootId("c"); },
           [](Announcement &V) { V.Address_ = "a"; },
           [](Announcement &V) { V.Capacity_.MilliCpus_ = 7999; },
           [](Announcement &V) { V.Services_ = {ServiceId("v")}; },
           [](Announcement &V) { V.Slots_ = 1; },
           [](Announcement &V) { V.Connections_ = 1; },
           [](Announcement &V) { V.Draining_ = true; },
           [](Announcement &V) { V.Attempts_.pop_back(); },
           [](Announcement &V) { V.Attempts_[1].Task_.Index_ = 2; },
           [](Announcement &V) { V.Attempts_[1].Attempt_ = AttemptNumber(2); },
           [](Announcement &V) {
             V.Attempts_[1].Token_ = {1, 1};
           },
           [](Announcement &V) {
             V.Attempts_[1].State_ = AttemptState::Finished;
           },
           [](Announcement &V) { V.Attempts_[1].Checkpoint_ = "c"; },
           [](Announcement &V) { V.Attempts_[1].Message_ = "m"; },
           [](Announcement &V) { V.Attempts_[1].Usage_.Accelerators_ = 1; },
           [](Announcement &V) { V.Attempts_[1].Usage_.MilliCpus_ = 1501; }})
    EXPECT_FALSE(staysTheSame(Each));
}

TEST(Materiality, MeasuresBeyondNoiseAreNewAndTailsUrgent) {
  const Announcement Last = makeLast();
  Announcement Now = Last;
  const auto Set = [&Now](std::uint32_t P99, std::uint32_t Load) {
    Now.ServiceReports_[0].P99Micros_ = P99;
    Now.ServiceReports_[0].LoadPercent_ = Load;
  };
  Set(12'500, 60);
  EXPECT_FALSE(hasNewMeasures(Now, Last) || hasTailMoved(Now, Last));
  Set(10'000, 61);
  EXPECT_TRUE(hasNewMeasures(Now, Last) && !hasTailMoved(Now, Last));
  Set(12'501, 50);
  EXPECT_TRUE(hasNewMeasures(Now, Last) && !hasTailMoved(Now, Last));
  for (const std::uint32_t P99 : {15'001U, 4999U}) {
    Set(P99, 50);
    EXPECT_TRUE(hasTailMoved(Now, Last)) << P99;
  }
  Now = Last;
  Now.Attempts_[0].Usage_.MilliCpus_ = 1101;
  EXPECT_TRUE(hasNewMeasures(Now, Last));
}

TEST(Digests, AnyListSurvivesPacking) {
  std::mt19937_64 Random(1);
  for (int Round = 0; Round < 200; ++Round) {
    std::vector<AnnouncementDigest> List(Random() % 20);
    for (AnnouncementDigest &Each : List)
      Each = {Random() >> (Random() % 64), Random() >> (Random() % 64)};
    std::sort(List.begin(), List.end());
    const std::string Bytes = packDigests(List);
    ASSERT_EQ(unpackDigests(Bytes).value(), List);
    // Whatever the bytes, reading them ends.
    for (std::size_t Cut = 0; Cut < Bytes.size(); ++Cut)
      (void)unpackDigests(Bytes.substr(Cut, Random() % 9));
  }
}

TEST(Digests, BytesThatNobodyPackedAreRefused) {
  const std::string TooLong(10, '\x7f' | '\x80');
  EXPECT_FALSE(unpackDigests("\x01"));
  EXPECT_FALSE(unpackDigests("\x80"));
  EXPECT_FALSE(unpackDigests(TooLong + "\x01\x01"));
  std::string Wraps = packDigests({{~0ULL, 1}});
  EXPECT_FALSE(unpackDigests(Wraps + "\x01\x01"));
}
