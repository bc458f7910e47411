//===- BundleCommandsTest.cpp ---------------------------------------------===//

#include "CtlFixture.h"
#include "tulipweir/fleet/Bundle.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

#include <sys/stat.h>

using namespace tulipweir;
using namespace tulipweir::ctl;
using namespace tulipweir::ctl::test;
using nlohmann::json;
using testing::HasSubstr;

using BundleCommandsTest = CtlTest;

static std::string makeResult(bool Accepted, const std::string &Error = "") {
  json Body = {{"accepted", Accepted},
               {"version", 1},
               {"digest", "d"},
               {"message", "told"}};
  if (!Error.empty())
    Body["error"] = Error;
  return Body.dump();
}

TEST_F(BundleCommandsTest, CheckShowsAllProblemsAndAsksNobody) {
  const auto File = write("bad", R"({"version": 0, "surprise": 1})");
  EXPECT_EQ(run({"bundle", "check", File}), CtlExit::Failure);
  for (const char *Place : {"/version", "/surprise", "/operators", "/note"})
    EXPECT_THAT(Err_.str(), HasSubstr(std::string(": ") + Place + " is"));
  const auto Good = write("good", makeBundle(makeOperator().PublicKey_));
  EXPECT_EQ(run({"bundle", "check", Good}), CtlExit::Success);
  EXPECT_THAT(Out_.str(), HasSubstr("good; version 1"));
  Settings_.Json_ = true;
  EXPECT_EQ(run({"bundle", "check", File}), CtlExit::Failure);
  EXPECT_EQ(json::parse(Out_.str()).at("ok"), false);
  EXPECT_TRUE(Api_.Asked_.empty());
}

TEST_F(BundleCommandsTest, ProposeSendsTheBytesOfTheFileWithASignatureOfThem) {
  const auto Keys = makeOperator();
  const std::string Text = "// why\n" + makeBundle(Keys.PublicKey_) + "\n\n";
  answer(200, makeResult(true));
  EXPECT_EQ(run({"bundle", "propose", write("b", Text)}), CtlExit::Success);
  const json Body = json::parse(Api_.Asked_.at(0).Body_);
  EXPECT_EQ(Api_.Asked_[0].Path_, "/bundles");
  EXPECT_EQ(Body.at("text"), Text);
  EXPECT_EQ(Body.at("operator"), "ana");
  EXPECT_TRUE(fleet::verifyDigest(fleet::computeDigest(Text), Keys.PublicKey_,
                                  Body.at("signature").get<std::string>()));
}

TEST_F(BundleCommandsTest, ABrokenBundleOrAMissingKeyIsNotSent) {
  const auto Keys = makeOperator();
  EXPECT_EQ(run({"bundle", "propose", write("b", "{")}), CtlExit::Failure);
  const auto Good = write("g", makeBundle(Keys.PublicKey_));
  Settings_.KeyFile_ = name("none");
  EXPECT_EQ(run({"bundle", "propose", Good}), CtlExit::Failure);
  Settings_.KeyFile_ = write("short", "abc");
  EXPECT_EQ(run({"bundle", "propose", Good}), CtlExit::Failure);
  Settings_.KeyFile_ = "";
  EXPECT_EQ(run({"bundle", "propose", Good}), CtlExit::Failure);
  EXPECT_THAT(Err_.str(), HasSubstr("keygen"));
  EXPECT_TRUE(Api_.Asked_.empty());
}

namespace {
struct ResultLine {
  unsigned Status_;
  bool Accepted_;
  const char *Error_;
  CtlExit Exit_;
};
} // namespace

TEST_F(BundleCommandsTest, EachResultHasItsExitCode) {
  const auto File = write("b", makeBundle(makeOperator().PublicKey_));
  const ResultLine Lines[] = {
      {200, true, "", CtlExit::Success},
      {200, false, "", CtlExit::Success}, // Kept; waits for sign-offs.
      {409, true, "already_exists", CtlExit::Success},
      {409, false, "already_exists", CtlExit::Success},
      {409, false, "conflict", CtlExit::Conflict},
      {403, false, "permission_denied", CtlExit::Failure},
      {503, false, "unavailable", CtlExit::Unreachable},
      {504, false, "timeout", CtlExit::Unreachable},
      {404, false, "not_found", CtlExit::NotFound},
  };
  for (const ResultLine &Line : Lines) {
    Api_.Answers_.clear();
    answer(Line.Status_, makeResult(Line.Accepted_, Line.Error_));
    EXPECT_EQ(run({"bundle", "propose", File}), Line.Exit_) << Line.Error_;
    EXPECT_THAT(Out_.str() + Err_.str(), HasSubstr("told"));
  }
}

TEST_F(BundleCommandsTest, NoAnswerSaysThatRepeatingIsSafe) {
  const auto File = write("b", makeBundle(makeOperator().PublicKey_));
  EXPECT_EQ(run({"bundle", "propose", File}), CtlExit::Unreachable);
  EXPECT_THAT(Err_.str(), HasSubstr("run the same command again"));
}

TEST_F(BundleCommandsTest, WaitEndsOnlyWhenItIsInForceEverywhere) {
  Settings_.Wait_ = true;
  const auto File = write("b", makeBundle(makeOperator().PublicKey_));
  answer(200, makeResult(true));
  answer(200, R"({"version": 0, "everywhere": true})"); // The one before.
  answer(503, R"({"error": "unavailable"})");
  answer(200, R"({"version": 1, "everywhere": false})");
  answer(200, R"({"version": 1, "everywhere": true})");
  EXPECT_EQ(run({"bundle", "propose", File}), CtlExit::Success);
  EXPECT_EQ(Api_.Asked_.size(), 5U);
  EXPECT_THAT(Out_.str(), HasSubstr("in force everywhere"));
}

TEST_F(BundleCommandsTest, WaitGivesUpAfterItsTimeWithANextStep) {
  Settings_.Wait_ = true;
  const auto File = write("b", makeBundle(makeOperator().PublicKey_));
  answer(200, makeResult(false));
  EXPECT_EQ(run({"bundle", "propose", File}), CtlExit::Unreachable);
  EXPECT_THAT(Err_.str(), HasSubstr("bundle status"));
}

TEST_F(BundleCommandsTest, SignTakesAFileOrADigest) {
  const auto Keys = makeOperator();
  const std::string Text = makeBundle(Keys.PublicKey_);
  const Digest Value = fleet::computeDigest(Text);
  answer(200, makeResult(true));
  EXPECT_EQ(run({"bundle", "sign", write("b", Text)}), CtlExit::Success);
  EXPECT_EQ(run({"bundle", "sign", Value.value()}), CtlExit::Success);
  for (const ApiRequest &Asked : Api_.Asked_) {
    EXPECT_EQ(Asked.Path_, "/bundles/" + Value.value() + "/sign");
    const std::string Signature = json::parse(Asked.Body_).at("signature");
    EXPECT_TRUE(fleet::verifyDigest(Value, Keys.PublicKey_, Signature));
  }
}

TEST_F(BundleCommandsTest, StatusNamesEveryProcess) {
  answer(200, R"({"version": 4, "everywhere": false, "silent": ["c-west"],
    "controls": [{"control": "c-east", "dataCentre": "east", "leader": true,
      "version": 4, "entries": [{"entry": "e1", "version": 3,
      "ageMs": 40}]}]})");
  EXPECT_EQ(run({"bundle", "status"}), CtlExit::Success);
  EXPECT_THAT(Out_.str(), testing::ContainsRegex("leader +c-east +east +4"));
  EXPECT_THAT(Out_.str(), testing::ContainsRegex("entry +e1 +east +3 +40"));
  EXPECT_THAT(Out_.str(), testing::ContainsRegex("c-west +no answer"));
  EXPECT_THAT(Out_.str(), HasSubstr("not yet known to be in force"));
}

TEST_F(BundleCommandsTest, HistoryShowsAcceptedOnesAndWaitingProposals) {
  answer(200, R"({"bundles": [{"version": 2, "digest": "d2", "note": "more",
    "signedBy": ["ana", "ben"], "wallMs": 1764685800000}],
    "proposals": [{"version": 3, "digest": "d3", "signedBy": ["ana"]}]})");
  EXPECT_EQ(run({"bundle", "history"}), CtlExit::Success);
  EXPECT_EQ(Api_.Asked_.at(0).Query_, "limit=50");
  EXPECT_THAT(Out_.str(), HasSubstr("2025-12-02 14:30:00"));
  EXPECT_THAT(Out_.str(), HasSubstr("ana,ben"));
  EXPECT_THAT(Out_.str(), HasSubstr("waits for sign-offs"));
}

TEST_F(BundleCommandsTest, ShowPrintsTheTextAsItWasProposed) {
  answer(200, json{{"version", 7}, {"text", "// c\n{}\n"}}.dump());
  EXPECT_EQ(run({"bundle", "show", "7"}), CtlExit::Success);
  EXPECT_EQ(Out_.str(), "// c\n{}\n");
  EXPECT_EQ(run({"bundle", "current"}), CtlExit::Success);
  EXPECT_EQ(Api_.Asked_.at(1).Path_, "/bundles/current");
}

TEST_F(BundleCommandsTest, DiffNamesEachChangedField) {
  answer(200, json{{"text", "{\"a\": 1, \"b\": [1], \"c\": 0} // old"}}.dump());
  const auto File = write("new", R"({"a": 2, "b": [1, 5]})");
  EXPECT_EQ(run({"bundle", "diff", File}), CtlExit::Success);
  EXPECT_EQ(Api_.Asked_.at(0).Path_, "/bundles/current");
  for (const char *Line : {"~ /a: 1 -> 2\n", "- /c\n"})
    EXPECT_THAT(Out_.str(), HasSubstr(Line));
  EXPECT_THAT(Out_.str(), testing::ContainsRegex("\\+ /b/(-|1): 5"));
  EXPECT_EQ(run({"bundle", "diff", "3", "current"}), CtlExit::Success);
  EXPECT_EQ(Api_.Asked_.at(1).Path_, "/bundles/3");
  EXPECT_THAT(Out_.str(), HasSubstr("no difference"));
}

TEST_F(BundleCommandsTest, KeygenWritesForTheOwnerOnlyAndNeverOverwrites) {
  Settings_.Operator_ = "ana";
  Settings_.Json_ = true;
  const auto File = name("new-key");
  EXPECT_EQ(run({"keygen", File}), CtlExit::Success);
  struct stat Facts {};
  ASSERT_EQ(::stat(File.c_str(), &Facts), 0);
  EXPECT_EQ(Facts.st_mode & 0777, 0600U);
  std::string Secret;
  std::getline(std::ifstream(File) >> std::ws, Secret);
  const json Entry = json::parse(Out_.str());
  EXPECT_EQ(Entry.at("publicKey"),
            fleet::deriveKeyPair(Secret).value().PublicKey_);
  EXPECT_EQ(Entry.at("operator"), "ana");
  EXPECT_EQ(run({"keygen", File}), CtlExit::Failure);
  EXPECT_THAT(Err_.str(), HasSubstr("never overwritten"));
}
