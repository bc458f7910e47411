//===- SlotAllocatorTest.cpp ----------------------------------------------===//

#include "datacentre/SlotSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// Every combination of the five faults.
class SlotFaultMatrix : public testing::TestWithParam<unsigned> {};

TEST_P(SlotFaultMatrix, NoSlotIsEverGrantedTwice) {
  const unsigned Bits = GetParam();
  const SlotFaults Faults{(Bits & 1) != 0, (Bits & 2) != 0, (Bits & 4) != 0,
                          (Bits & 8) != 0, (Bits & 16) != 0};
  int Sent = 0;
  int Full = 0;
  for (unsigned Seed = 0; Seed < 100; ++Seed) {
    SlotSimulation Simulation(Faults, Bits * 100 + Seed);
    ASSERT_EQ(Simulation.run(std::chrono::seconds(10)), "") << "seed " << Seed;
    ASSERT_EQ(Simulation.Changes_ > 2, Faults.LeaderChanges_);
    Sent += Simulation.Sent_;
    Full += Simulation.FullSteps_;
    EXPECT_GT(Simulation.BriefReports_, 5);
  }
  EXPECT_GT(Sent, 2000);
  EXPECT_GT(Full, 200) << "free slots are not granted";
  RecordProperty("sent", Sent);
  RecordProperty("full", Full);
}

INSTANTIATE_TEST_SUITE_P(Faults, SlotFaultMatrix, testing::Range(0u, 32u));

/// Tests with entries that accept every reply at once.
class SlotAllocatorTest : public testing::Test {
protected:
  void addServers(int Count, std::uint32_t Slots, std::uint32_t Connections) {
    for (int I = 0; I < Count; ++I)
      Servers_.push_back({BackendServerId("s" + std::to_string(100 + I)),
                          BootId("b"),
                          "a",
                          {ServiceId("v")},
                          Slots,
                          Connections});
    for (const SlotServer &Info : Servers_)
      Allocator_->upsertServer(Info);
  }
  const wire::EntryReport &report(int Entry) {
    wire::EntryReport &Report = Reports_[Entry];
    Report.Entry_ = EntryId(std::to_string(Entry));
    Report.Incarnation_ = std::max<std::uint64_t>(Report.Incarnation_, 1);
    const auto Reply = Allocator_->onReport(Report, {Now_, true}).value();
    Tables_ += Reply.Routes_.has_value();
    if (Reply.Routes_) {
      Report.RoutesHeld_ = Reply.RoutesVersion_;
      Report.Grants_.clear();
      for (const wire::Route &Route : *Reply.Routes_)
        Report.Grants_.push_back(
            {Route.Server_, Route.Boot_, Route.Slots_, Route.Connections_, 0});
    }
    return Report;
  }
  void reportAll(int Entries, int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      Now_ += std::chrono::milliseconds(500);
      for (int Entry = 0; Entry < Entries; ++Entry)
        report(Entry);
    }
  }
  std::uint32_t countSlots(int Entry) {
    std::uint32_t Sum = 0;
    for (const wire::GrantHeld &Grant : Reports_[Entry].Grants_)
      Sum += Grant.Slots_;
    return Sum;
  }

  std::vector<SlotServer> Servers_;
  TimePoint Now_{std::chrono::hours(1)};
  std::unique_ptr<SlotAllocator> Allocator_ = std::make_unique<SlotAllocator>(
      SlotSettings{}, 1, Now_, std::vector<SlotServer>());
  std::map<int, wire::EntryReport> Reports_;
  int Tables_ = 0;
};

TEST_F(SlotAllocatorTest, SharesFewSlotsPerServerOverMoreEntries) {
  addServers(48, 8, 64);
  reportAll(9, 12);
  std::uint32_t Total = 0;
  for (int Entry = 0; Entry < 9; ++Entry) {
    EXPECT_GE(countSlots(Entry), 42u);
    EXPECT_LE(countSlots(Entry), 43u);
    Total += countSlots(Entry);
    for (const wire::GrantHeld &Grant : Reports_[Entry].Grants_)
      EXPECT_EQ(Grant.Connections_, Grant.Slots_ * 8);
  }
  EXPECT_EQ(Total, 384u);
}

TEST_F(SlotAllocatorTest, EveryEntryReachesAServiceWhileSlotsSuffice) {
  addServers(2, 5, 5);
  reportAll(9, 12);
  for (int Entry = 0; Entry < 9; ++Entry)
    EXPECT_GE(countSlots(Entry), 1u) << Entry;
}

TEST_F(SlotAllocatorTest, SharesFollowDemandAndKeepAMinimum) {
  addServers(48, 8, 64);
  reportAll(9, 12);
  for (int Round = 0; Round < 60; ++Round) {
    for (wire::GrantHeld &Grant : Reports_[0].Grants_)
      Grant.InFlight_ = Grant.Slots_; // Entry wants more than it ever gets.
    reportAll(9, 1);
  }
  EXPECT_GT(countSlots(0), 200u);
  for (int Entry = 1; Entry < 9; ++Entry)
    EXPECT_GE(countSlots(Entry), 2u);
}

TEST_F(SlotAllocatorTest, ATableIsSentOnlyWhenItChanged) {
  addServers(48, 8, 64);
  reportAll(9, 12);
  Tables_ = 0;
  reportAll(9, 20);
  EXPECT_EQ(Tables_, 0);
  Servers_[5].Draining_ = true;
  Allocator_->upsertServer(Servers_[5]);
  reportAll(9, 1);
  EXPECT_EQ(Tables_, 9);
  for (int Entry = 0; Entry < 9; ++Entry)
    EXPECT_EQ(Reports_[Entry].Grants_[5].Slots_, 0u);
}

TEST_F(SlotAllocatorTest, ANewLeaderKeepsTheSharesOfContinuingEntries) {
  addServers(48, 8, 64);
  reportAll(9, 12);
  const auto Before = Reports_;
  Allocator_ =
      std::make_unique<SlotAllocator>(SlotSettings{}, 2, Now_, Servers_);
  reportAll(9, 4);
  for (int Entry = 0; Entry < 9; ++Entry)
    EXPECT_EQ(Reports_[Entry].Grants_, Before.at(Entry).Grants_);
}

TEST_F(SlotAllocatorTest, ABriefReportIsReadInTableOrder) {
  addServers(3, 8, 8);
  reportAll(1, 3);
  wire::EntryReport Brief = Reports_[0];
  Brief.Brief_ = true;
  Brief.Grants_.clear();
  Brief.InFlight_ = {0, 3}; // The number of the third server is left out.
  for (int Round = 0; Round < 9; ++Round)
    EXPECT_FALSE(Allocator_->onReport(Brief, {Now_, true}).value().SendFull_);
  EXPECT_NEAR(Allocator_->listEntries(Now_)[0].InFlight_, 3, 0.2);
}

TEST_F(SlotAllocatorTest, ABriefReportOfAnUnknownTableChangesNothing) {
  addServers(3, 8, 8);
  reportAll(1, 3);
  const auto Before = Reports_;
  Allocator_ =
      std::make_unique<SlotAllocator>(SlotSettings{}, 2, Now_, Servers_);
  wire::EntryReport Brief = Reports_[0];
  Brief.Brief_ = true;
  Brief.Grants_.clear();
  const auto Reply = Allocator_->onReport(Brief, {Now_, true}).value();
  EXPECT_TRUE(Reply.SendFull_ && !Reply.Routes_ && Reply.GrantTtlMs_ == 0);
  EXPECT_TRUE(Allocator_->listEntries(Now_).empty());
  reportAll(1, 4);
  EXPECT_EQ(Reports_[0].Grants_, Before.at(0).Grants_);
}

/// Entry 0 dies with requests in flight and is replaced by another process,
/// which sends its first report after the given number of rounds.
class ReplacedEntryTest : public SlotAllocatorTest,
                          public testing::WithParamInterface<int> {
protected:
  void replaceEntry0() {
    for (wire::GrantHeld &Grant : Reports_[0].Grants_)
      Grant.InFlight_ = Grant.Slots_;
    report(0);
    Reports_[0] = {};
    Reports_[0].Incarnation_ = 2;
    reportOne(1, GetParam());
  }
  void reportOne(int Entry, int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      Now_ += std::chrono::milliseconds(500);
      report(Entry);
    }
  }
  void expectNoOvercommit() {
    for (const SlotServer &Info : Servers_)
      EXPECT_LE(Allocator_->findAllocated(Info.Server_).Slots_, Info.Slots_);
  }
};

TEST_P(ReplacedEntryTest, GetsPartOfTheActiveEntriesSlotsWithinAFewReports) {
  addServers(3, 4, 16);
  reportAll(2, 12);
  replaceEntry0();
  for (int Round = 0; Round < 4; ++Round) {
    reportAll(2, 1);
    expectNoOvercommit();
  }
  EXPECT_GE(countSlots(0), 1u);
  reportAll(2, 8); // The grant of the dead entry has expired by now.
  for (const int Entry : {0, 1})
    for (const wire::GrantHeld &Grant : Reports_[Entry].Grants_) {
      EXPECT_EQ(Grant.Slots_, 1u)
          << "half of the two slots that the dead entry does not hold";
      EXPECT_EQ(Grant.Connections_, 4u);
    }
}

TEST_P(ReplacedEntryTest, GetsASlotEvenIfEachActiveEntryHasOnlyOne) {
  addServers(2, 2, 2);
  reportAll(2, 12);
  replaceEntry0();
  reportAll(2, 12);
  expectNoOvercommit();
  EXPECT_EQ(countSlots(0), 1u);
  EXPECT_EQ(countSlots(1), 1u);
}

TEST_P(ReplacedEntryTest, GetsItsFullShareOnceTheDeadEntrysRequestsExpired) {
  addServers(3, 4, 16);
  reportAll(2, 12);
  replaceEntry0();
  reportAll(2, 80);
  expectNoOvercommit();
  EXPECT_EQ(countSlots(0), 6u);
  EXPECT_EQ(countSlots(1), 6u);
}

INSTANTIATE_TEST_SUITE_P(BackAfter, ReplacedEntryTest, testing::Values(0, 10));

TEST_F(SlotAllocatorTest, AfterAnElectionANewEntryGetsPartOfTheFreeSlots) {
  addServers(3, 4, 16);
  reportAll(2, 12);
  Allocator_ =
      std::make_unique<SlotAllocator>(SlotSettings{}, 2, Now_, Servers_);
  Reports_[0] = {}; // Its half is now allocated to no known entry.
  Reports_[0].Incarnation_ = 2;
  reportAll(2, 12);
  EXPECT_EQ(countSlots(0), 3u);
  EXPECT_EQ(countSlots(1), 3u);
  reportAll(2, 60);
  EXPECT_EQ(countSlots(0) + countSlots(1), 12u);
}

TEST_F(SlotAllocatorTest, EntriesAreExpiredOnceTheirReportsEnded) {
  addServers(1, 8, 8);
  report(0);
  RequestRecords Records{RecordLimits{}};
  for (const int Entry : {0, 7})
    ASSERT_TRUE(
        Records.begin({RequestKey(std::to_string(Entry)), Digest("d"),
                       EntryId(std::to_string(Entry)), 1, ServiceId("v"), 0},
                      1));
  EXPECT_TRUE(Allocator_->findExpiredEntries(Records, Now_).empty());
  Now_ += std::chrono::milliseconds(2900);
  report(0);
  Now_ += std::chrono::milliseconds(200);
  const auto Gone = Allocator_->findExpiredEntries(Records, Now_);
  ASSERT_EQ(Gone.size(), 1u) << "the entry that never reported to this leader";
  EXPECT_EQ(Gone[0], (EndEntry{EntryId("7"), 1}));
  Now_ += std::chrono::seconds(4);
  EXPECT_EQ(Allocator_->findExpiredEntries(Records, Now_).size(), 2u);
}

/// Sends reports as delays and repeated messages make them arrive.
class ReorderedReportTest : public testing::Test {
protected:
  wire::EntryReportReply sendReport(const std::string &Entry,
                                    std::uint64_t Held, std::uint32_t Slots,
                                    std::uint32_t InFlight = 0,
                                    bool Stopping = false) {
    wire::EntryReport Report;
    Report.Entry_ = EntryId(Entry);
    Report.Incarnation_ = 1;
    Report.RoutesHeld_ = Held;
    Report.Stopping_ = Stopping;
    Report.Grants_ = {{Server_.Server_, Server_.Boot_, Slots, Slots, InFlight}};
    return Allocator_.onReport(Report, {Now_, true}).value();
  }
  std::uint32_t countAllocated() {
    return Allocator_.findAllocated(Server_.Server_).Slots_;
  }

  const SlotServer Server_{BackendServerId("s"), BootId("b"), "a",
                           {ServiceId("v")},     8,           8};
  TimePoint Now_{std::chrono::hours(1)};
  /// The allocator is of the second term, so the server was shared before.
  SlotAllocator Allocator_{SlotSettings{}, 2, Now_, {Server_}};
};

TEST_F(ReorderedReportTest, AReportFromBeforeAStopDoesNotLowerTheAllocation) {
  const auto First = sendReport("a", 5, 4).RoutesVersion_;
  EXPECT_EQ(countAllocated(), 12u)
      << "its own slots and all earlier grants not known yet";
  sendReport("a", First, 4);
  EXPECT_EQ(countAllocated(), 8u);
  sendReport("a", First, 4, 3, true);
  EXPECT_EQ(countAllocated(), 4u + 3u);
  sendReport("a", First, 4, 0,
             false); // This report was sent before the three requests.
  EXPECT_EQ(countAllocated(), 4u + 3u);
}

TEST_F(ReorderedReportTest,
       OnlyGrantsOfEarlierLeadersReduceTheUnknownAllocation) {
  const auto First = sendReport("a", 5, 4).RoutesVersion_;
  sendReport("a", First, 4);
  sendReport("a", First, 4, 0, true);
  ASSERT_EQ(countAllocated(), 4u)
      << "the earlier grants that no entry has reported";
  const auto Given = sendReport("b", 0, 0);
  ASSERT_EQ(Given.Routes_->at(0).Slots_, 4u);
  sendReport("b", 0,
             0); // The copy makes the table of the first reply outdated.
  const auto Again = sendReport("b", Given.RoutesVersion_, 4);
  sendReport("b", Again.RoutesVersion_, 4);
  EXPECT_EQ(countAllocated(), 8u)
      << "the four slots of b were not granted by an earlier leader";
}

TEST_F(ReorderedReportTest, AStaleReportOfMoreRequestsInFlightGrantsNothing) {
  std::uint64_t Version = sendReport("a", 5, 4).RoutesVersion_;
  sendReport("a", Version, 4);
  Now_ += std::chrono::minutes(
      1); // Earlier grants and the grant of a have expired.
  sendReport("b", 0, 0);
  Version = sendReport("a", 0, 0).RoutesVersion_;
  Now_ += std::chrono::seconds(
      4); // The grant of b has expired, but its requests may run.
  const auto Before = sendReport("a", Version, 0);
  const auto Now = sendReport("a", Before.RoutesVersion_, 0);
  const auto After = sendReport("a", Now.RoutesVersion_, 0, 8);
  EXPECT_LE(countAllocated(), 8u + 8u);
  const auto FindSlots = [](const auto &R, std::uint32_t Default) {
    return R.Routes_ ? R.Routes_->at(0).Slots_ : Default;
  };
  const std::uint32_t Held = FindSlots(Now, FindSlots(Before, 0));
  EXPECT_LT(Held, 8u) << "the slots of b are not free yet";
  EXPECT_EQ(FindSlots(After, Held), Held);
}

TEST_F(ReorderedReportTest, SlotsReportedByAStoppingEntryMayBeGrantedToOthers) {
  const auto First = sendReport("a", 5, 4, 1, true).RoutesVersion_;
  sendReport("a", First, 4, 1, true);
  EXPECT_EQ(countAllocated(), 8u + 1u);
}

TEST_F(ReorderedReportTest, AnEntryMeasuredAsIdleNeedsANewTable) {
  const auto First = sendReport("a", 5, 8).RoutesVersion_;
  sendReport("a", First, 8);
  ASSERT_EQ(countAllocated(), 8u);
  Now_ += std::chrono::seconds(4);
  Allocator_.applyUsageSample(Server_.Server_, 0, Now_);
  const auto Other = sendReport("b", 0, 0).Routes_->at(0).Slots_;
  const auto Back = sendReport("a", First, 8);
  ASSERT_TRUE(Back.Routes_.has_value());
  EXPECT_EQ(Back.Routes_->at(0).Slots_ + Other, 8u);
  EXPECT_EQ(countAllocated(), 8u);
}

TEST_F(ReorderedReportTest, AMeasurementFreesOnlyGrantsThatExpiredBeforeIt) {
  Allocator_.applyUsageSample(Server_.Server_, 1,
                              Now_ + std::chrono::seconds(1));
  EXPECT_EQ(countAllocated(), 8u);
  Allocator_.applyUsageSample(Server_.Server_, 1,
                              Now_ + std::chrono::seconds(4));
  EXPECT_EQ(countAllocated(), 1u);
}

TEST_F(ReorderedReportTest, AMeasurementIsNotReducedByGrantsReplacedBeforeIt) {
  sendReport("a", 5, 4);
  Now_ += std::chrono::seconds(1);
  const auto First = sendReport("a", 5, 4).RoutesVersion_;
  Now_ += std::chrono::milliseconds(2100);
  Allocator_.applyUsageSample(Server_.Server_, 4,
                              Now_); // The requests are of an entry that died.
  EXPECT_FALSE(sendReport("a", First, 4).Routes_)
      << "requests still occupy the other four slots";
  EXPECT_EQ(countAllocated(), 4u + 4u);
}

TEST_F(ReorderedReportTest, RequestsToTwoBootsAreAddedUp) {
  const auto First = sendReport("a", 5, 4).RoutesVersion_;
  sendReport("a", First, 4);
  wire::EntryReport Report;
  Report.Entry_ = EntryId("a");
  Report.Incarnation_ = 1;
  Report.RoutesHeld_ = First;
  Report.Stopping_ = true;
  Report.Grants_ = {{Server_.Server_, BootId("b"), 4, 4, 2},
                    {Server_.Server_, BootId("old"), 0, 0, 3}};
  ASSERT_TRUE(Allocator_.onReport(Report, {Now_, true}));
  EXPECT_EQ(countAllocated(), 4u + 5u);
}

TEST_F(ReorderedReportTest, AnotherAllocatorOfTheSameTermUsesOtherVersions) {
  const auto First = sendReport("a", 5, 4).RoutesVersion_;
  SlotAllocator Next(SlotSettings{}, 2, Now_ + std::chrono::seconds(1),
                     {Server_});
  wire::EntryReport Report;
  Report.Entry_ = EntryId("a");
  Report.RoutesHeld_ = First;
  const auto Reply = Next.onReport(Report, {Now_, true});
  EXPECT_GT(Reply.value().RoutesVersion_, First);
}
