//===- LeaderSearchTest.cpp - Which members an entry asks -----------------===//

#include "jobservice/LeaderSearch.h"

#include <gtest/gtest.h>
#include <map>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

static std::set<std::string> makeMembers(int Count) {
  std::set<std::string> Members;
  for (int I = 0; I < Count; ++I)
    Members.insert("10.0.0." + std::to_string(I) + ":8166");
  return Members;
}

// Guards against a slower search in a small group.
TEST(LeaderSearchTest, ASmallGroupIsAskedWholeEachTime) {
  LeaderSearch Search(750ms, 100ms, 1);
  for (int Round = 0; Round < 3; ++Round)
    EXPECT_EQ(Search.chooseNext(makeMembers(5)).size(), 5U);
}

// Guards against a majority that an entry does not see, as some members are
// asked too rarely.
TEST(LeaderSearchTest, EveryMemberIsAskedOnceInAPeriod) {
  for (const int Count : {25, 50}) {
    LeaderSearch Search(750ms, 100ms, 7);
    for (int Start = 0; Start < 5; ++Start) {
      std::set<std::string> Asked;
      for (int Round = 0; Round < 7; ++Round)
        for (const std::string &Name : Search.chooseNext(makeMembers(Count)))
          Asked.insert(Name);
      EXPECT_EQ(Asked, makeMembers(Count));
    }
  }
}

// Guards against an outage that lasts until the turn of a leader that did not
// answer once, as after a restart of all members: the others go on naming it.
TEST(LeaderSearchTest, APossibleLeaderIsAskedInEachRound) {
  LeaderSearch Search(750ms, 100ms, 7);
  const std::string Leader = "10.0.0.3:8166";
  for (int Round = 0; Round < 20; ++Round)
    EXPECT_EQ(Search.chooseNext(makeMembers(25), {Leader}).count(Leader), 1U)
        << Round;
}

// Pattern of load: hundreds of entries without a leader. Guards against
// questions in proportion to entries times members, ten times a second, and
// against one member that all entries ask first.
TEST(LeaderSearchTest, EntriesWithoutALeaderSpreadTheirQuestions) {
  for (const int Scale : {1, 2}) {
    const int Entries = 583 * Scale;
    const int Members = 25 * Scale;
    std::map<std::string, int> Asked;
    for (int Entry = 0; Entry < Entries; ++Entry) {
      LeaderSearch Search(750ms, 100ms, static_cast<std::uint64_t>(Entry));
      for (const std::string &Name : Search.chooseNext(makeMembers(Members)))
        ++Asked[Name];
    }
    // A fifth of the entries ask a member in one round; all did before.
    for (const auto &[Name, Count] : Asked)
      EXPECT_LT(Count, Entries * 3 / 10) << Name;
    EXPECT_EQ(Asked.size(), std::size_t(Members));
  }
}
