//===- SettingsTest.cpp
//-----------------------------------------------------===//

#include "platform/Settings.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::platform;

static constexpr const char *Full = R"({
  "node": "core-1", "role": "control", "machineClass": "core",
  "serves": ["control"], "ip": "10.1.0.16", "zone": "gap-hall",
  "listen": {"control": "10.1.0.16:8166", "front": "10.1.0.16:80",
             "ready": "10.1.0.16:81"},
  "portRange": [7720, 7735], "seeds": ["10.1.0.16:8166", "10.2.0.32:8166"],
  "bootstrap": true, "commands": "push", "dataDir": "/data/x", "heartbeatMs": 1200,
  "recommendation": "10.200.1.9:8169",
  "cloud": {"address": "10.200.0.79:8169", "ratePerS": 60.0, "duties": []},
  "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
  "bounds": {"holdMaxMs": 9000, "leaseMs": 2500, "graceS": 6.5, "reuseAfterS": 2.5, "status_s": 90, "new": [1]},
  "somethingNew": {"a": 1}})";

TEST(SettingsTest, EveryFieldIsTaken) {
  const Outcome<Settings> Got = parseSettings(Full);
  ASSERT_TRUE(Got) << Got.error().Message_;
  Settings Wanted;
  Wanted.Name_ = "core-1";
  Wanted.DataCentre_ = "gap-hall";
  Wanted.Address_ = "10.1.0.16";
  Wanted.Clients_ = {"10.1.0.16", 80};
  Wanted.Ready_ = {"10.1.0.16", 81};
  Wanted.Control_ = {"10.1.0.16", 8166};
  Wanted.Provider_ = {"10.200.0.79", 8169};
  Wanted.HolderLeaseMs_ = 2500;
  Wanted.Advice_ = {"10.200.1.9", 8169};
  Wanted.LinkPort_ = 7720;
  Wanted.Seeds_ = {"10.1.0.16:8166", "10.2.0.32:8166"};
  Wanted.IsFirstStart_ = true;
  Wanted.CallsServers_ = true;
  Wanted.DataFolder_ = "/data/x";
  Wanted.VmsToBear_ = 2;
  Wanted.HeartbeatMs_ = 1200;
  Wanted.LongestLeaseMs_ = 9000;
  Wanted.GraceMs_ = 6500;
  Wanted.AddressReuseMs_ = 2500;
  Wanted.JobRetentionMs_ = 90'000;
  EXPECT_EQ(Got.value(), Wanted);
}

TEST(SettingsTest, AVmWithoutADiskHasNoFolder) {
  const Outcome<Settings> Got = parseSettings(
      R"({"node":"f","ip":"10.1.0.1","zone":"z","dataDir":null,
          "recommendation":null})");
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got.value().DataFolder_, "");
  EXPECT_EQ(Got.value().Clients_.Port_, 0);
}

TEST(SettingsTest, WrongOnesNameTheirPlace) {
  const std::pair<const char *, const char *> Cases[] = {
      {"", "no JSON object"},
      {"[]", "no JSON object"},
      {R"({"ip":"a","zone":"z"})", "/node"},
      {R"({"node":7,"ip":"a","zone":"z"})", "/node"},
      {R"({"node":"n","ip":"a","zone":"z","listen":{"front":"x"}})", "front"},
      {R"({"node":"n","ip":"a","zone":"z","seeds":[7]})", "/seeds/0"},
      {R"({"node":"n","ip":"a","zone":"z","portRange":[99999]})",
       "/portRange/0"},
      {R"({"node":"n","ip":"a","zone":"z","bounds":7})", "/bounds"},
      {R"({"node":"n","ip":"a","zone":"z","heartbeatMs":-1})", "/heartbeatMs"}};
  for (const auto &[Text, Place] : Cases) {
    const Outcome<Settings> Got = parseSettings(Text);
    ASSERT_FALSE(Got) << Text;
    EXPECT_NE(Got.error().Message_.find(Place), std::string::npos)
        << Got.error().Message_;
  }
}

TEST(SettingsTest, TruncatedTextNeverPasses) {
  const std::string Text = Full;
  for (std::size_t Size = 0; Size < Text.size(); ++Size)
    EXPECT_FALSE(parseSettings(Text.substr(0, Size)));
}
