//===- ExplainCommandTest.cpp
//-----------------------------------------------===//

#include "ctl/CtlFixture.h"

using namespace tulipweir;
using namespace tulipweir::ctl;
using namespace tulipweir::ctl::test;

namespace {

class ExplainCommandTest : public CtlTest {
protected:
  ExplainCommandTest() {
    Settings_.FromLogs_ = true;
    Control_ =
        write("control",
              R"({"time":10.5,"process":"c","event":"job_accepted","job":"j"}
not a line of ours
  12.0 c {"time":11.0,"process":"c","event":"task_started","job":"j","task":"0.0.0","attempt":1,"server":"s1","outcome":"placed"}
{"time":11.5,"process":"c","event":"server_gone","server":"s1","reason":"silent"}
{"time":11.6,"process":"c","event":"server_gone","server":"s2","reason":"silent"}
{"time":11.7,"process":"c","event":"job_accepted","job":"other"}
{"time":13.0,"process":"c","event":"job_ended","job":"j","outcome":"failed"}
{"time":99.0,"process":"c","event":"server_gone","server":"s1","reason":"later"}
)");
    Entry_ = write(
        "entry",
        R"({"time":10.4,"process":"e","event":"call_answered","job":"j","outcome":"200"}
)");
  }
  std::string Control_;
  std::string Entry_;
};

} // namespace

TEST_F(ExplainCommandTest, LinesOfAllFilesStandInOrderOfTime) {
  ASSERT_EQ(run({"explain", Control_, Entry_, "j"}), CtlExit::Success);
  const std::string Text = Out_.str();
  const std::size_t Answered = Text.find("call_answered");
  const std::size_t Accepted = Text.find("job_accepted");
  const std::size_t Started = Text.find("task_started");
  const std::size_t Ended = Text.find("job_ended");
  EXPECT_LT(Answered, Accepted);
  EXPECT_LT(Accepted, Started);
  EXPECT_LT(Started, Ended);
  EXPECT_NE(Ended, std::string::npos);
}

TEST_F(ExplainCommandTest, WhatBefellItsServersIsShownAndNothingElse) {
  run({"explain", Control_, Entry_, "j"});
  EXPECT_NE(Out_.str().find("server=s1"), std::string::npos);
  EXPECT_EQ(Out_.str().find("server=s2"), std::string::npos);
  EXPECT_EQ(Out_.str().find("other"), std::string::npos);
  EXPECT_EQ(Out_.str().find("later"), std::string::npos);
}

TEST_F(ExplainCommandTest, AnUnknownJobOrFileIsSaidSo) {
  EXPECT_EQ(run({"explain", Control_, "nobody"}), CtlExit::NotFound);
  EXPECT_EQ(run({"explain", "/nowhere/log", "j"}), CtlExit::BadUsage);
  Settings_.FromLogs_ = false;
  EXPECT_EQ(run({"explain", Control_, "j"}), CtlExit::BadUsage);
}
