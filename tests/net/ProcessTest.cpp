#include "tulipweir/net/Process.h"

#include "net/RawSocket.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Options.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <atomic>
#include <csignal>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::net;
using testing::HasSubstr;

TEST(OperatorPagesTest, answersItsPagesOnly) {
  Metrics All;
  All.addCounter("a", "A.").add(7);
  std::string Why = "no bundle yet";
  const OperatorPages Pages(
      All, [&] { return Why; }, [] { return R"({"x":1})"; });
  const auto Get = [&](const std::string &Path, const std::string &Method) {
    HttpResponse Answer{0, {}, ""};
    Pages.handle({Method, Path, "", {}, ""},
                 [&](HttpResponse Response) { Answer = std::move(Response); });
    return Answer;
  };
  EXPECT_EQ(Get("/healthz", "GET").Status_, 200U);
  EXPECT_EQ(Get("/readyz", "GET").Status_, 503U);
  EXPECT_EQ(Get("/readyz", "GET").Body_, "no bundle yet\n");
  Why = "";
  EXPECT_EQ(Get("/readyz", "HEAD").Status_, 200U);
  EXPECT_THAT(Get("/metrics", "GET").Body_, HasSubstr("a 7\n"));
  EXPECT_EQ(Get("/debug/state", "GET").Body_, R"({"x":1})");
  EXPECT_EQ(Get("/healthz", "POST").Status_, 0U);
  EXPECT_EQ(Get("/other", "GET").Status_, 0U);
}

TEST(LeaveAfterOptionsTest, printsHelpAndComplaintsApart) {
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  EXPECT_EQ(leaveAfterOptions({ExitCode::Success, "help\n"}), 0);
  EXPECT_EQ(leaveAfterOptions({ExitCode::BadSettings, "bad\n"}), 2);
  EXPECT_EQ(testing::internal::GetCapturedStdout(), "help\n");
  EXPECT_EQ(testing::internal::GetCapturedStderr(), "bad\n");
}

TEST(SignalsTest, tellsTheFirstStopFromTheNextAndDumps) {
  std::atomic<int> Stops = 0;
  std::atomic<int> SecondStops = 0;
  std::atomic<int> Dumps = 0;
  IoPool Pool(1);
  const Signals Handling(
      Pool.context(), [&] { ++Stops; }, [&] { ++SecondStops; },
      [&] { ++Dumps; });
  ::kill(::getpid(), SIGUSR1);
  EXPECT_TRUE(waitUntil([&] { return Dumps == 1; }));
  ::kill(::getpid(), SIGTERM);
  EXPECT_TRUE(waitUntil([&] { return Stops == 1; }));
  ::kill(::getpid(), SIGINT);
  EXPECT_TRUE(waitUntil([&] { return SecondStops == 1; }));
  ::kill(::getpid(), SIGUSR1);
  EXPECT_TRUE(waitUntil([&] { return Dumps == 2; }));
  // A log whose reader went away.
  ::kill(::getpid(), SIGPIPE);
  EXPECT_EQ(Stops, 1);
  EXPECT_EQ(SecondStops, 1);
  Pool.stop();
}

namespace {

class LoggingTest : public testing::Test {
protected:
  LoggingTest() : Before_(spdlog::default_logger()) {}
  ~LoggingTest() override { spdlog::set_default_logger(Before_); }

  /// What these lines write to standard error.
  static std::string log(const LogSettings &Settings) {
    testing::internal::CaptureStderr();
    startLogging("program", Settings);
    spdlog::info("it says \"hi\"\n{}", 7);
    spdlog::debug("too detailed");
    return testing::internal::GetCapturedStderr();
  }

  std::shared_ptr<spdlog::logger> Before_;
};

} // namespace

TEST_F(LoggingTest, writesLines) {
  EXPECT_THAT(log({}), testing::AllOf(HasSubstr(" info it says \"hi\""),
                                      HasSubstr("program["),
                                      testing::Not(HasSubstr("detailed"))));
  EXPECT_THAT(log({"debug", false}), HasSubstr("debug too detailed"));
  EXPECT_EQ(log({"warn", false}), "");
}

TEST_F(LoggingTest, writesOneJsonObjectALine) {
  const std::string Text = log({"info", true});
  EXPECT_EQ(std::count(Text.begin(), Text.end(), '\n'), 1);
  const auto Line = nlohmann::json::parse(Text);
  EXPECT_EQ(Line["message"], "it says \"hi\"\n7");
  EXPECT_EQ(Line["level"], "info");
  EXPECT_EQ(Line["program"], "program");
}

TEST_F(LoggingTest, isSetByFlags) {
  LogSettings Settings;
  Options All("program", "does things");
  addLogOptions(All, Settings);
  const char *Good[] = {"program", "--log-level", "debug", "--log-json"};
  const auto NoVariables = [](const std::string &) { return std::nullopt; };
  EXPECT_FALSE(All.parse(4, Good, NoVariables).Exit_);
  EXPECT_EQ(Settings.Level_, "debug");
  EXPECT_TRUE(Settings.Json_);
  const char *Bad[] = {"program", "--log-level", "loud"};
  EXPECT_EQ(All.parse(3, Bad, NoVariables).Exit_, ExitCode::BadSettings);
}
