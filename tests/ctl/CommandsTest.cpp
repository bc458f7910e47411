//===- CommandsTest.cpp ---------------------------------------------------===//

#include "CtlFixture.h"
#include "tulipweir/ctl/Table.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace tulipweir;
using namespace tulipweir::ctl;
using namespace tulipweir::ctl::test;
using nlohmann::json;
using testing::ContainsRegex;
using testing::HasSubstr;
using Words = std::vector<std::string>;

using CommandsTest = CtlTest;

namespace {
struct CallLine {
  Words Words_;
  ApiRequest Asked_;
};
} // namespace

TEST_F(CommandsTest, EachCommandAsksItsPath) {
  const auto Job = write("job", R"({"job": "a/b"} // a comment)");
  const CallLine Lines[] = {
      {{"bundle", "status"}, {"GET", "/bundles/status", "", "", {}}},
      {{"job", "submit", Job}, {"POST", "/jobs", "", R"({"job":"a/b"})", {}}},
      {{"job", "list"}, {"GET", "/jobs", "limit=50", "", {}}},
      {{"job", "show", "a/b"}, {"GET", "/jobs/a%2Fb", "", "", {}}},
      {{"job", "cancel", "j"}, {"POST", "/jobs/j/cancel", "", "{}", {}}},
      {{"job", "explain", "j/7"}, {"GET", "/jobs/j/explain", "task=7", "", {}}},
      {{"job", "explain", "j", "7"},
       {"GET", "/jobs/j/explain", "task=7", "", {}}},
      {{"servers"}, {"GET", "/servers", "", "", {}}},
      {{"services"}, {"GET", "/services", "", "", {}}},
      {{"limits"}, {"GET", "/limits", "", "", {}}},
      {{"dump"}, {"GET", "/dump", "", "", {}}},
      {{"members"}, {"GET", "/members", "", "", {}}},
      {{"members", "list"}, {"GET", "/members", "", "", {}}},
  };
  answer(200, "{}");
  for (const CallLine &Line : Lines) {
    EXPECT_EQ(run(Line.Words_), CtlExit::Success) << Line.Words_[0];
    EXPECT_EQ(Api_.Asked_.back(), Line.Asked_) << Line.Asked_.Path_;
  }
}

TEST_F(CommandsTest, MemberChangesNameGroupMemberAndIncarnation) {
  answer(200, R"({"members": [{"name": "c1", "incarnation": 2,
    "role": "voter"}]})");
  EXPECT_EQ(run({"members", "replace", "fleet", "c1"}), CtlExit::Success);
  EXPECT_EQ(Api_.Asked_.back().Path_, "/members/fleet/replace");
  EXPECT_EQ(Api_.Asked_.back().Body_, R"({"name":"c1"})");
  EXPECT_THAT(Out_.str(), ContainsRegex("c1 +2 +voter"));
  EXPECT_EQ(run({"members", "add", "east", "c1", "2"}), CtlExit::Success);
  EXPECT_EQ(json::parse(Api_.Asked_.back().Body_).at("incarnation"), 2);
  const auto Before = Api_.Asked_.size();
  EXPECT_EQ(run({"members", "remove", "east", "c1", "x"}), CtlExit::BadUsage);
  EXPECT_EQ(Api_.Asked_.size(), Before);
}

TEST_F(CommandsTest, WrongWordsAreToldTheUsageAndNothingIsSent) {
  for (const Words &Wrong :
       {Words{}, Words{"bundel"}, Words{"bundle"}, Words{"bundle", "prpose"},
        Words{"job", "show"}, Words{"servers", "more"},
        Words{"bundle", "diff", "1", "2", "3"}}) {
    EXPECT_EQ(run(Wrong), CtlExit::BadUsage);
    EXPECT_THAT(Err_.str(), ContainsRegex("--help|usage"));
  }
  EXPECT_TRUE(Api_.Asked_.empty());
}

TEST_F(CommandsTest, EveryCommandStandsInTheHelp) {
  for (const char *Usage :
       {"keygen FILE", "bundle propose FILE", "bundle sign FILE|DIGEST",
        "job explain JOB[/TASK]", "members replace GROUP NAME", "watch", "dump",
        "Exit codes"})
    EXPECT_THAT(describeCommands(), HasSubstr(Usage));
}

TEST_F(CommandsTest, AJobSubmittedBeforeCountsAsDoneAndAnotherDoesNot) {
  const auto Job = write("job", R"({"job": "j"})");
  answer(409, R"({"error": "already_exists", "message": "m"})");
  EXPECT_EQ(run({"job", "submit", Job}), CtlExit::Success);
  EXPECT_THAT(Out_.str(), HasSubstr("submitted before"));
  EXPECT_EQ(run({"job", "cancel", "j"}), CtlExit::Success);
  Api_.Answers_.clear();
  answer(409, R"({"error": "conflict", "message": "choose a new name"})");
  EXPECT_EQ(run({"job", "submit", Job}), CtlExit::Conflict);
  EXPECT_THAT(Err_.str(), HasSubstr("choose a new name"));
  EXPECT_EQ(run({"job", "submit", write("no", "[1]")}), CtlExit::Failure);
}

TEST_F(CommandsTest, WarningsAboutAJobAreShownAndItsFieldsAreReadable) {
  answer(200, R"({"job": "j", "warnings": ["too big"]})");
  const auto Job = write("job", R"({"job": "j"})");
  EXPECT_EQ(run({"job", "submit", Job}), CtlExit::Success);
  EXPECT_EQ(Err_.str(), "warning: too big\n");
  Api_.Answers_.clear();
  answer(200, R"({"job": "j", "submittedWallMs": 1764685800000,
    "endedWallMs": 0, "spec": {"priority": 3}, "taskList": [{"index": 0, "state": "running",
    "attempt": 2, "server": "vm-1"}]})");
  EXPECT_EQ(run({"job", "show", "j"}), CtlExit::Success);
  EXPECT_THAT(Out_.str(), ContainsRegex("spec.priority +3\n"));
  EXPECT_THAT(Out_.str(), ContainsRegex("WallMs +2025-12-02 14:30:00\n"));
  EXPECT_THAT(Out_.str(), ContainsRegex("endedWallMs +-\n"));
  EXPECT_THAT(Out_.str(), ContainsRegex("0 +running +2 +vm-1"));
}

TEST_F(CommandsTest, ExplainSaysWhatWouldHelpAndShowsTheCandidates) {
  answer(200, R"({"job": "j", "task": 3, "running": false,
    "whatWouldHelp": "2 cores more", "last": {"kind": "hold",
    "reason": "no_room", "text": "every server is full", "candidates":
    [{"server": "vm-1", "allowed": false, "score": 0, "note": "memory"}]}})");
  EXPECT_EQ(run({"job", "explain", "j/3"}), CtlExit::Success);
  for (const char *Part :
       {"task j/3 does not run", "hold (no_room): every server is full",
        "what would help: 2 cores more"})
    EXPECT_THAT(Out_.str(), HasSubstr(Part));
  EXPECT_THAT(Out_.str(), ContainsRegex("vm-1 +false +0 +memory"));
}

TEST_F(CommandsTest, WatchGoesOnAfterTheLastSequenceItSaw) {
  Settings_.Count_ = 3;
  Settings_.After_ = 10;
  answer(200, R"({"decisions": [{"sequence": 11, "kind": "place",
    "reason": "best_score", "job": "j", "task": 0, "server": "vm", "wallMs":
    1764685800000, "text": "most room"}, {"sequence": 12, "text": "x"}]})");
  answer(200, R"({"decisions": []})"); // The poll's time passed.
  answer(200, R"({"decisions": [{"sequence": 15, "text": "y\u001b[2J"}]})");
  EXPECT_EQ(run({"watch"}), CtlExit::Success);
  EXPECT_THAT(Out_.str(), HasSubstr("14:30:00 #11 place j/0 on vm "
                                    "(best_score): most room\n"));
  EXPECT_THAT(Out_.str(), HasSubstr("y?[2J")) << "steers no terminal";
  EXPECT_THAT(Api_.Asked_.at(0).Query_, HasSubstr("after=10&"));
  EXPECT_THAT(Api_.Asked_.at(1).Query_, HasSubstr("after=12&"));
  EXPECT_THAT(Api_.Asked_.at(2).Query_, HasSubstr("after=12&"));
}

TEST_F(CommandsTest, WatchPrintsOneJsonDocumentALineForScripts) {
  Settings_.Count_ = 2;
  Settings_.Json_ = true;
  answer(200, R"({"decisions": [{"sequence": 1}, {"sequence": 2}]})");
  EXPECT_EQ(run({"watch"}), CtlExit::Success);
  EXPECT_EQ(Out_.str(), "{\"sequence\":1}\n{\"sequence\":2}\n");
}

TEST_F(CommandsTest, WordsThatAreNoTextBreakNothing) {
  answer(404, R"({"error": "not_found", "message": "none"})");
  const std::string Bytes = "\xff\x1b";
  EXPECT_EQ(run({"members", "add", Bytes, Bytes}), CtlExit::NotFound);
  EXPECT_EQ(run({"job", "show", Bytes}), CtlExit::NotFound);
  EXPECT_EQ(Api_.Asked_.back().Path_, "/jobs/%FF%1B");
}

TEST_F(CommandsTest, AnAnswerThatIsNoJsonNamesTheLikelyCause) {
  answer(200, "<html>");
  EXPECT_EQ(run({"servers"}), CtlExit::Failure);
  EXPECT_THAT(Err_.str(), HasSubstr("--entry"));
}

/// Whatever an entry of another version answers, no command breaks.
TEST_F(CommandsTest, AnswersOfAnyShapeAreShownWithoutBreaking) {
  const json Values = {nullptr,
                       true,
                       -1,
                       2.5,
                       "text",
                       json::array(),
                       json::object(),
                       json::array({1, "a", nullptr}),
                       {{"job", 1}, {"text", 2}, {"wallMs", "x"}},
                       json::array({json::object({{"members", 1}})})};
  const Words Fields = {
      "bundles",    "proposals",  "controls",      "entries", "silent",
      "everywhere", "version",    "lastRollOutMs", "jobs",    "tasks",
      "last",       "candidates", "running",       "servers", "services",
      "callers",    "quotas",     "groups",        "members", "text",
      "error",      "message",    "decisions",     "a~b/c",   "endedWallMs"};
  const Words Views[] = {{"bundle", "status"},
                         {"bundle", "history"},
                         {"bundle", "show", "1"},
                         {"bundle", "diff", "1", "2"},
                         {"job", "list"},
                         {"job", "show", "j"},
                         {"job", "explain", "j"},
                         {"job", "cancel", "j"},
                         {"servers"},
                         {"services"},
                         {"limits"},
                         {"members"},
                         {"members", "add", "g", "n"},
                         {"dump"}};
  std::mt19937_64 Random(5);
  for (int Round = 0; Round < 3000; ++Round) {
    json Body = Values[Random() % Values.size()];
    if (Random() % 4) {
      Body = json::object();
      for (int I = 0; I < 6; ++I)
        Body[Fields[Random() % Fields.size()]] =
            Values[Random() % Values.size()];
    }
    Api_.Answers_.clear();
    answer(Random() % 4 ? 200 : 409, Body.dump());
    ASSERT_NO_THROW(run(Views[Random() % std::size(Views)])) << Body;
  }
}

TEST(TableTest, ColumnsLineUpAndLinesHaveNoSpacesAtTheirEnds) {
  Table Rows({"A", "LONG TITLE", "C"});
  EXPECT_TRUE(Rows.isEmpty());
  Rows.addRow({"wide cell", "x"});
  Rows.addRow({"\xc3\xa9", "y", "z\n"});
  EXPECT_EQ(Rows.render(), "A          LONG TITLE  C\n"
                           "wide cell  x\n"
                           "\xc3\xa9          y           z?\n");
}
