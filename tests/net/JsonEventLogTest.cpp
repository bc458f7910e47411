//===- JsonEventLogTest.cpp
//-------------------------------------------------===//

#include "tulipweir/net/JsonEventLog.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::net;

namespace {

class JsonEventLogTest : public ::testing::Test {
protected:
  JsonEventLogTest() {
    EXPECT_EQ(::pipe(Pipe_), 0);
    Settings_.Process_ = "p \"quoted\"";
    Settings_.Descriptor_ = Pipe_[1];
  }
  ~JsonEventLogTest() override {
    ::close(Pipe_[0]);
    ::close(Pipe_[1]);
  }
  std::vector<nlohmann::json> readLines() {
    ::fcntl(Pipe_[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    char Piece[65536];
    for (ssize_t Got = 0; (Got = ::read(Pipe_[0], Piece, sizeof(Piece))) > 0;)
      Text.append(Piece, static_cast<std::size_t>(Got));
    std::vector<nlohmann::json> Lines;
    std::istringstream Stream(Text);
    for (std::string Line; std::getline(Stream, Line);)
      Lines.push_back(nlohmann::json::parse(Line, nullptr, false));
    return Lines;
  }
  static Event makeEvent(EventKind Kind) {
    Event Value;
    Value.Kind_ = Kind;
    Value.Job_ = "j";
    return Value;
  }

  int Pipe_[2] = {-1, -1};
  ManualClock Time_;
  JsonEventLogSettings Settings_;
};

} // namespace

TEST_F(JsonEventLogTest, EveryFieldStandsInItsLine) {
  JsonEventLog Log(Settings_, Time_);
  Event Full = makeEvent(EventKind::TaskStarted);
  Full.Task_ = "0.1.2";
  Full.Server_ = "s";
  Full.Outcome_ = "line\nbreak \x01 \\ \"";
  Full.Reason_ = "r";
  Full.Attempt_ = 3;
  Full.Term_ = 4;
  Full.Version_ = 5;
  Full.AgeMs_ = -6;
  Full.Count_ = 7;
  Log.write(Full);
  Log.flush();
  const auto Lines = readLines();
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_EQ(Lines[0]["event"], "task_started");
  EXPECT_EQ(Lines[0]["level"], "info");
  EXPECT_EQ(Lines[0]["process"], "p \"quoted\"");
  EXPECT_EQ(Lines[0]["job"], "j");
  EXPECT_EQ(Lines[0]["task"], "0.1.2");
  EXPECT_EQ(Lines[0]["outcome"], "line\nbreak \x01 \\ \"");
  EXPECT_EQ(Lines[0]["attempt"], 3);
  EXPECT_EQ(Lines[0]["term"], 4);
  EXPECT_EQ(Lines[0]["version"], 5);
  EXPECT_EQ(Lines[0]["age_ms"], -6);
  EXPECT_EQ(Lines[0]["count"], 7);
}

TEST_F(JsonEventLogTest, AReaderThatNeverReadsCostsLinesAndNothingElse) {
  Settings_.MaxBytes_ = 10'000;
  Settings_.LinesASecond_ = 1'000'000;
  JsonEventLog Log(Settings_, Time_);
  for (int I = 0; I < 10'000; ++I) {
    Log.write(makeEvent(EventKind::JobAccepted));
    Log.flush();
  }
  EXPECT_GT(Log.getDropped(), 5000U);
  // What comes through is whole.
  for (const auto &Line : readLines())
    EXPECT_TRUE(Line.is_object() || Line.is_discarded());
  Log.flush();
  Log.write(makeEvent(EventKind::JobEnded));
  Log.flush();
  EXPECT_GT(readLines().size(), 0U) << "it goes on once the reader is back";
}

TEST_F(JsonEventLogTest, AKindHasItsBudgetButFailuresAreKept) {
  Settings_.LinesASecond_ = 10;
  JsonEventLog Log(Settings_, Time_);
  for (int I = 0; I < 50; ++I) {
    Log.write(makeEvent(EventKind::TaskStarted));
    Log.write(makeEvent(EventKind::JobRefused));
  }
  Event Failed = makeEvent(EventKind::CallAnswered);
  for (int I = 0; I < 50; ++I)
    Log.write(Failed);
  EXPECT_EQ(Log.getLeftOut(), 80U);
  Failed.Reason_ = "why";
  Log.write(Failed);
  EXPECT_EQ(Log.getLeftOut(), 80U);
  Time_.advance(std::chrono::seconds(2));
  Log.write(makeEvent(EventKind::TaskStarted));
  EXPECT_EQ(Log.getLeftOut(), 80U);
  Log.flush();
  EXPECT_EQ(readLines().size(), 72U);
}

// Guards against texts that are made for lines beyond the budget, and against
// such lines that are not counted.
TEST_F(JsonEventLogTest, LinesBeyondTheBudgetAreKnownBeforehand) {
  Settings_.LinesASecond_ = 2;
  JsonEventLog Log(Settings_, Time_);
  for (int I = 0; I < 2; ++I) {
    EXPECT_FALSE(Log.leavesOut(EventKind::TaskStarted));
    Log.write(makeEvent(EventKind::TaskStarted));
  }
  EXPECT_TRUE(Log.leavesOut(EventKind::TaskStarted));
  EXPECT_EQ(Log.getLeftOut(), 1U);
  EXPECT_FALSE(Log.leavesOut(EventKind::TaskEnded)) << "another kind";
  Time_.advance(std::chrono::seconds(1));
  EXPECT_FALSE(Log.leavesOut(EventKind::TaskStarted));
  EXPECT_EQ(Log.getLeftOut(), 1U);
}

// Absences end in bursts when many servers are lost at a time; single missing
// lines hide which tasks were down for too long.
TEST_F(JsonEventLogTest, LongAbsencesAreKeptBeyondTheBudget) {
  Settings_.LinesASecond_ = 10;
  JsonEventLog Log(Settings_, Time_);
  Event Long = makeEvent(EventKind::TaskAbsent);
  Long.Reason_ = "lease 5500 ms, removal 700 ms, waiting 9 ms";
  for (int I = 0; I < 50; ++I) {
    Log.write(makeEvent(EventKind::TaskAbsent));
    Log.write(Long);
  }
  // The short ones share the budget with the long ones.
  EXPECT_EQ(Log.getLeftOut(), 45U);
  Log.flush();
  const auto Lines = readLines();
  EXPECT_EQ(
      std::count_if(Lines.begin(), Lines.end(),
                    [](const auto &Line) { return Line["level"] == "warn"; }),
      50);
}

TEST(EventNameTest, EveryKindHasAName) {
  for (std::size_t Kind = 0; Kind < EventKinds; ++Kind)
    EXPECT_FALSE(getEventName(static_cast<EventKind>(Kind)).empty());
}
