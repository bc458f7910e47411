//===- SettingsTest.cpp - Tests of the settings parser --------------------===//

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

TEST(SettingsTest, EveryFieldIsRead) {
  const Outcome<Settings> Result = parseSettings(Full);
  ASSERT_TRUE(Result) << Result.error().Message_;
  Settings Expected;
  Expected.Name_ = "core-1";
  Expected.DataCentre_ = "gap-hall";
  Expected.Address_ = "10.1.0.16";
  Expected.ClientEndpoint_ = {"10.1.0.16", 80};
  Expected.ReadinessEndpoint_ = {"10.1.0.16", 81};
  Expected.ControlEndpoint_ = {"10.1.0.16", 8166};
  Expected.ProviderEndpoint_ = {"10.200.0.79", 8169};
  Expected.FencingLeaseMs_ = 2500;
  Expected.AdviceEndpoint_ = {"10.200.1.9", 8169};
  Expected.LinkPort_ = 7720;
  Expected.Seeds_ = {"10.1.0.16:8166", "10.2.0.32:8166"};
  Expected.IsFirstStart_ = true;
  Expected.PollsServers_ = true;
  Expected.DataFolder_ = "/data/x";
  Expected.ToleratedVmLosses_ = 2;
  Expected.HeartbeatMs_ = 1200;
  Expected.MaxLeaseMs_ = 9000;
  Expected.StopGraceMs_ = 6500;
  Expected.AddressReuseMs_ = 2500;
  Expected.EndedJobRetentionMs_ = 90'000;
  EXPECT_EQ(Result.value(), Expected);
}

TEST(SettingsTest, VmWithoutDiskHasNoDataFolder) {
  const Outcome<Settings> Result = parseSettings(
      R"({"node":"f","ip":"10.1.0.1","zone":"z","dataDir":null,
          "recommendation":null})");
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result.value().DataFolder_, "");
  EXPECT_EQ(Result.value().ClientEndpoint_.Port_, 0);
}

TEST(SettingsTest, ErrorsNameTheInvalidField) {
  const std::pair<const char *, const char *> Cases[] = {
      {"", "not a JSON object"},
      {"[]", "not a JSON object"},
      {R"({"ip":"a","zone":"z"})", "/node"},
      {R"({"node":7,"ip":"a","zone":"z"})", "/node"},
      {R"({"node":"n","ip":"a","zone":"z","listen":{"front":"x"}})", "front"},
      {R"({"node":"n","ip":"a","zone":"z","seeds":[7]})", "/seeds/0"},
      {R"({"node":"n","ip":"a","zone":"z","portRange":[99999]})",
       "/portRange/0"},
      {R"({"node":"n","ip":"a","zone":"z","bounds":7})", "/bounds"},
      {R"({"node":"n","ip":"a","zone":"z","heartbeatMs":-1})", "/heartbeatMs"}};
  for (const auto &[Text, Field] : Cases) {
    const Outcome<Settings> Result = parseSettings(Text);
    ASSERT_FALSE(Result) << Text;
    EXPECT_NE(Result.error().Message_.find(Field), std::string::npos)
        << Result.error().Message_;
  }
}

TEST(SettingsTest, TruncatedTextIsRejected) {
  const std::string Text = Full;
  for (std::size_t Size = 0; Size < Text.size(); ++Size)
    EXPECT_FALSE(parseSettings(Text.substr(0, Size)));
}
