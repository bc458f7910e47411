//===- ServerChooserTest.cpp --------------------------------------------===//

#include "tulipweir/decide/ServerChooser.h"

#include <gtest/gtest.h>

#include <map>

using namespace tulipweir;
using namespace tulipweir::decide;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1h};

static BackendServerId makeServerId(int I) {
  return BackendServerId("s" + std::to_string(I));
}

static std::vector<GrantedServer> grant(int Count, std::uint32_t Slots = 8) {
  std::vector<GrantedServer> Granted;
  Granted.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Granted.push_back({makeServerId(I), Slots});
  return Granted;
}

namespace {
struct Behaviour {
  RequestResult Result_ = RequestResult::Served;
  Duration Latency_ = 10ms;
};
} // namespace

/// Sends Count requests one after another; returns the number per server.
static std::map<BackendServerId, int>
sendRequests(ServerChooser &Chooser,
             std::map<BackendServerId, Behaviour> Servers, int Count,
             TimePoint &Now) {
  std::map<BackendServerId, int> Sent;
  for (int I = 0; I < Count; ++I) {
    Now += 1ms;
    const auto Choice = Chooser.choose(Now);
    if (!Choice)
      continue;
    Chooser.recordStart(*Choice);
    const Behaviour Answer = Servers[*Choice];
    Chooser.recordEnd(*Choice, Answer.Result_, Answer.Latency_, Now);
    ++Sent[*Choice];
  }
  return Sent;
}

TEST(ServerChooserTest, SpreadsOverEqualServers) {
  ServerChooser Chooser({}, 1);
  Chooser.setServers(grant(10), Start);
  TimePoint Now = Start;
  for (const auto &[Id, Count] : sendRequests(Chooser, {}, 10000, Now))
    EXPECT_NEAR(Count, 1000, 300) << Id.value();
}

TEST(ServerChooserTest, NeverExceedsTheGrantedSlots) {
  ServerChooser Chooser({}, 2);
  Chooser.setServers(grant(3, 2), Start);
  std::map<BackendServerId, int> InFlight;
  for (int I = 0; I < 6; ++I) {
    const auto Choice = Chooser.choose(Start);
    ASSERT_TRUE(Choice);
    Chooser.recordStart(*Choice);
    EXPECT_LE(++InFlight[*Choice], 2);
  }
  EXPECT_FALSE(Chooser.choose(Start));
  EXPECT_EQ(Chooser.freeSlots(), 0U);
  Chooser.recordEnd(makeServerId(1), RequestResult::Served, 1ms, Start);
  EXPECT_EQ(Chooser.choose(Start), makeServerId(1));
  EXPECT_FALSE(Chooser.choose(Start, makeServerId(1)));
}

TEST(ServerChooserTest, SlowServerGetsLess) {
  ServerChooser Chooser({}, 3);
  Chooser.setServers(grant(4), Start);
  TimePoint Now = Start;
  auto Sent = sendRequests(
      Chooser, {{makeServerId(0), {RequestResult::Served, 30ms}}}, 4000, Now);
  EXPECT_LT(Sent[makeServerId(0)], 400);
}

TEST(ServerChooserTest, FastErrorsAttractNoTraffic) {
  ServerChooser Chooser({}, 4);
  Chooser.setServers(grant(10), Start);
  TimePoint Now = Start;
  auto Sent = sendRequests(
      Chooser, {{makeServerId(0), {RequestResult::Failed, 10us}}}, 20000, Now);
  // In 20 s: five failures eject the server, then probes follow after 5, 10 and
  // 20 s.
  EXPECT_LE(Sent[makeServerId(0)], 10);
}

TEST(ServerChooserTest, FastErrorsAttractNoTrafficWhenNoneMayBeEjected) {
  ChooserSettings Settings;
  Settings.MaxEjectedRatio_ = 0;
  ServerChooser Chooser(Settings, 5);
  Chooser.setServers(grant(3), Start);
  TimePoint Now = Start;
  auto Sent = sendRequests(
      Chooser, {{makeServerId(0), {RequestResult::Failed, 10us}}}, 6000, Now);
  EXPECT_LT(Sent[makeServerId(0)], 6000 / 3 / 10);
}

TEST(ServerChooserTest, EjectsAtMostTheConfiguredRatio) {
  ServerChooser Chooser({}, 6);
  Chooser.setServers(grant(10), Start);
  std::map<BackendServerId, Behaviour> AllFail;
  for (int I = 0; I < 10; ++I)
    AllFail[makeServerId(I)] = {RequestResult::Failed, 1ms};
  TimePoint Now = Start;
  sendRequests(Chooser, AllFail, 1000, Now);
  int Ejected = 0;
  for (const auto &View : Chooser.listServers())
    Ejected += View.Ejected_ ? 1 : 0;
  EXPECT_EQ(Ejected, 3);
}

TEST(ServerChooserTest, ARecoveredServerIsUsedAgainAfterAProbe) {
  ServerChooser Chooser({}, 7);
  Chooser.setServers(grant(10), Start);
  TimePoint Now = Start;
  sendRequests(Chooser, {{makeServerId(0), {RequestResult::Failed, 1ms}}}, 1000,
               Now);
  EXPECT_TRUE(Chooser.listServers()[0].Ejected_);
  auto Sent = sendRequests(Chooser, {}, 20000, Now);
  EXPECT_GT(Sent[makeServerId(0)], 500);
}

TEST(ServerChooserTest, ARemovedServerGetsNoNewRequests) {
  ServerChooser Chooser({}, 8);
  Chooser.setServers(grant(2), Start);
  Chooser.recordStart(makeServerId(1));
  Chooser.setServers(grant(1), Start);
  for (int I = 0; I < 100; ++I)
    EXPECT_EQ(Chooser.choose(Start), makeServerId(0));
  Chooser.recordEnd(makeServerId(1), RequestResult::Served, 1ms, Start);
  EXPECT_EQ(Chooser.freeSlots(), 8U);
}
