//===- AuditTest.cpp - The audit is read while it is written --------------===//
//
// What happened: CI ended PlannedStop.AnEntryAnswersAllThatItHasBegun with
// "terminate called without an active exception", once, and refused a landing
// for it. Tests read the stand-ins' audit while they write it. A line goes out
// in one write, but one that crosses a page of the file grows it in two steps:
// of 84,742 reads beside a writer 924 ended inside a line. Its JSON could not
// be parsed, and the exception took the test down with its callers' threads.
//
//===----------------------------------------------------------------------===//

#include "system/support/Audit.h"
#include "system/support/Child.h"

#include <gtest/gtest.h>
#include <fstream>

using namespace tulipweir::system_test;

static const std::string First =
    R"({"atMs":1,"event":"request","server":"s","boot":"b","path":"/a"})";
static const std::string Second =
    R"({"atMs":2,"event":"request","server":"s","boot":"b","path":"/b"})";

TEST(AuditTest, ALineThatIsStillWrittenIsReadNextTime) {
  const TempFolder Folder;
  const std::string Name = Folder.path() + "/audit";
  for (std::size_t Written = 0; Written <= Second.size(); ++Written) {
    std::ofstream(Name) << First << "\n" << Second.substr(0, Written);
    const Audit Seen = Audit::read({Name});
    EXPECT_EQ(Seen.countRuns("/a"), 1U);
    EXPECT_EQ(Seen.countRuns("/b"), 0U) << Written;
  }
  std::ofstream(Name) << First << "\n" << Second << "\n";
  EXPECT_EQ(Audit::read({Name}).countRuns("/b"), 1U);
}

TEST(AuditTest, AWholeLineThatIsNoAuditLineIsNotPassedOver) {
  const TempFolder Folder;
  const std::string Name = Folder.path() + "/audit";
  std::ofstream(Name) << "{\"atMs\":\n" << First << "\n";
  EXPECT_ANY_THROW(Audit::read({Name}));
}
