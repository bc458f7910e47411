#include "tulipweir/net/Options.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <cstdio>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::net;
using testing::HasSubstr;
using testing::Not;

namespace {

class OptionsTest : public testing::Test {
protected:
  OptionsTest() {
    Options_.addText("name", Name_, "A name.", true);
    Options_.addSecret("secret", Secret_, "A secret.", 16);
    Options_.addInteger("threads", Threads_, 1, 64, "Threads.");
    Options_.addDuration("period-ms", Period_, std::chrono::milliseconds(10),
                         std::chrono::seconds(5), "A period.");
    Options_.addChoice("level", Level_, {"low", "high"}, "A level.");
    Options_.addSwitch("fast", Fast_, "Faster.");
    Options_.addEndpoint("listen", Listen_, "Where to listen.");
    Options_.addPeers("peers", Peers_, "The others.");
    Options_.addRule([this] {
      return Threads_ == 13 ? "--threads: not with this level" : "";
    });
  }

  OptionsResult parse(std::vector<const char *> Arguments) {
    Arguments.insert(Arguments.begin(), "program");
    return Options_.parse(static_cast<int>(Arguments.size()), Arguments.data(),
                          [this](const std::string &Variable) {
                            const auto Found = Environment_.find(Variable);
                            return Found == Environment_.end()
                                       ? std::nullopt
                                       : std::optional(Found->second);
                          });
  }
  /// With the required ones.
  OptionsResult parseGood(std::vector<const char *> Arguments) {
    Environment_["TULIPWEIR_NAME"] = "n";
    Environment_["TULIPWEIR_SECRET"] = "0123456789abcdef";
    return parse(std::move(Arguments));
  }

  std::string Name_;
  std::string Secret_;
  std::int64_t Threads_ = 4;
  Duration Period_ = std::chrono::milliseconds(100);
  std::string Level_ = "low";
  bool Fast_ = false;
  Endpoint Listen_{"127.0.0.1", 80};
  std::vector<NamedEndpoint> Peers_;
  std::map<std::string, std::string> Environment_;
  Options Options_{"program", "does things"};
};

} // namespace

TEST_F(OptionsTest, readsEveryKindOfValue) {
  const auto Result = parseGood({"--threads", "8", "--period-ms=250", "--level",
                                 "high", "--fast", "--listen", "[::1]:9",
                                 "--peers", "a=127.0.0.1:1,b=127.0.0.1:2"});
  EXPECT_FALSE(Result.Exit_) << Result.Text_;
  EXPECT_EQ(Threads_, 8);
  EXPECT_EQ(Period_, std::chrono::milliseconds(250));
  EXPECT_EQ(Level_, "high");
  EXPECT_TRUE(Fast_);
  EXPECT_EQ(Listen_, (Endpoint{"::1", 9}));
  const std::vector<NamedEndpoint> Peers = {{"a", {"127.0.0.1", 1}},
                                            {"b", {"127.0.0.1", 2}}};
  EXPECT_EQ(Peers_, Peers);
}

TEST_F(OptionsTest, takesTheFlagBeforeTheEnvironmentBeforeTheDefault) {
  Environment_["TULIPWEIR_THREADS"] = "6";
  Environment_["TULIPWEIR_PERIOD_MS"] = "70";
  EXPECT_FALSE(parseGood({"--threads", "7"}).Exit_);
  EXPECT_EQ(Threads_, 7);
  EXPECT_EQ(Period_, std::chrono::milliseconds(70));
  EXPECT_EQ(Level_, "low");
}

TEST_F(OptionsTest, tellsAllThatIsWrongAtOnce) {
  Environment_["TULIPWEIR_LEVEL"] = "middle";
  const auto Result = parse({"--threads", "65", "--period-ms", "5x", "--listen",
                             "host:1", "--peers", "a=127.0.0.1:1,a=127.0.0.1:2",
                             "--nothing", "word", "--fast=maybe", "--secret"});
  EXPECT_EQ(Result.Exit_, ExitCode::BadSettings);
  for (const char *Problem :
       {"10 problem(s)", "--threads: \"65\" is not allowed; allowed: a whole",
        "--period-ms: \"5x\"", "milliseconds from 10 to 5000",
        "--listen: \"host:1\"", "--peers: \"a=127.0.0.1:1,a=127.0.0.1:2\"",
        "TULIPWEIR_LEVEL: \"middle\" is not allowed; allowed: one of low high",
        "--nothing: no such flag", "\"word\": only flags", "--fast: \"maybe\"",
        "--secret: the value is missing",
        "--name (or TULIPWEIR_NAME): the value is missing"})
    EXPECT_THAT(Result.Text_, HasSubstr(Problem));
}

TEST_F(OptionsTest, neverShowsASecret) {
  Environment_["TULIPWEIR_SECRET"] = "short-secret";
  const auto Result = parse({"--name", "n"});
  EXPECT_EQ(Result.Exit_, ExitCode::BadSettings);
  EXPECT_THAT(Result.Text_, Not(HasSubstr("short-secret")));
  EXPECT_THAT(Result.Text_, HasSubstr("16 bytes or more"));
  Secret_ = "in-the-target-here";
  EXPECT_THAT(parse({"--help"}).Text_, Not(HasSubstr("in-the-target")));
}

TEST_F(OptionsTest, readsASecretFromAFile) {
  const std::string Path =
      testing::TempDir() + "tulipweir-secret-" + std::to_string(::getpid());
  std::ofstream(Path) << "fedcba9876543210\nsecond line\n";
  EXPECT_FALSE(parse({"--name", "n", "--secret-file", Path.c_str()}).Exit_);
  EXPECT_EQ(Secret_, "fedcba9876543210");
  std::remove(Path.c_str());
  EXPECT_EQ(parse({"--name", "n", "--secret-file", Path.c_str()}).Exit_,
            ExitCode::BadSettings);
}

TEST_F(OptionsTest, refusesAFlagGivenTwice) {
  EXPECT_THAT(parseGood({"--threads", "1", "--threads", "2"}).Text_,
              HasSubstr("--threads: given twice"));
}

TEST_F(OptionsTest, appliesRulesOverSeveralSettings) {
  EXPECT_THAT(parseGood({"--threads", "13"}).Text_,
              HasSubstr("--threads: not with this level"));
}

TEST_F(OptionsTest, answersHelpVersionAndCheck) {
  const auto Help = parse({"--help", "--threads", "bad"});
  EXPECT_EQ(Help.Exit_, ExitCode::Success);
  for (const char *Part :
       {"program: does things", "--period-ms", "TULIPWEIR_PERIOD_MS",
        "Default: 100.", "from 1 to 64", "Required.", "2 bad settings"})
    EXPECT_THAT(Help.Text_, HasSubstr(Part));
  EXPECT_EQ(parse({"--version"}).Text_,
            std::string("program ") + TULIPWEIR_VERSION + "\n");
  EXPECT_EQ(parse({"--check-settings"}).Exit_, ExitCode::BadSettings);
  const auto Checked = parseGood({"--check-settings"});
  EXPECT_EQ(Checked.Exit_, ExitCode::Success);
  EXPECT_THAT(Checked.Text_, HasSubstr("settings are good"));
}

TEST_F(OptionsTest, givesWordsInOrderWhenAllowed) {
  std::vector<std::string> Words;
  Options_.allowWords(Words, "COMMAND...");
  EXPECT_FALSE(parseGood({"job", "--threads", "2", "list"}).Exit_);
  EXPECT_EQ(Words, (std::vector<std::string>{"job", "list"}));
}
