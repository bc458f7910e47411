//===- OperatorApiTest.cpp - The operators' paths, good input and bad -----===//

#include "control/ControlWorld.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::control;
using namespace tulipweir::control::test;
using fleet::test::makeBundleText;
using fleet::test::makeSignOff;

namespace {
struct BadCall {
  const char *Method_;
  const char *Path_;
  const char *Body_;
  std::uint32_t Status_;
  const char *Error_;
};

class OperatorApiTest : public testing::Test, protected ControlWorld {
protected:
  static std::string makeProposal(const std::string &Text, unsigned Operator) {
    const auto Signed = makeSignOff(fleet::computeDigest(Text), Operator);
    return Json({{"text", Text},
                 {"operator", Signed.Operator_.value()},
                 {"signature", Signed.Signature_}})
        .dump();
  }
  Json read(TestControl &From, const std::string &Path,
            const std::string &Query = "") {
    return Json::parse(From.call("GET", Path, "", Query).Body_);
  }
};

class BadCallTest : public OperatorApiTest,
                    public testing::WithParamInterface<BadCall> {};
} // namespace

static constexpr const char *GoodJob =
    R"({"job":"j","team":"t","declared":{"milliCpus":1,"memoryMib":1}})";

INSTANTIATE_TEST_SUITE_P(
    All, BadCallTest,
    testing::Values(
        BadCall{"GET", "/nowhere", "", 404, "not_found"},
        BadCall{"GET", "", "", 404, "not_found"},
        BadCall{"DELETE", "/jobs", "", 405, "invalid_argument"},
        BadCall{"POST", "/jobs", "", 400, "malformed"},
        BadCall{"POST", "/jobs", "[1]", 400, "malformed"},
        BadCall{"POST", "/jobs", "{\"job\":", 400, "malformed"},
        BadCall{"POST", "/jobs", "{}", 400, "invalid_argument"},
        BadCall{"POST", "/jobs",
                R"({"job":"a/b","team":"t","declared":{"milliCpus":1}})", 400,
                "invalid_argument"},
        BadCall{"POST", "/jobs",
                R"({"job":"a","team":"t","declared":{"milliCpus":-1}})", 400,
                "invalid_argument"},
        BadCall{"POST", "/jobs",
                R"({"job":"a","team":"t","tasks":1e9,"declared":{}})", 400,
                "invalid_argument"},
        BadCall{"POST", "/jobs",
                R"({"job":"a","team":"t","colour":1,"declared":{}})", 400,
                "invalid_argument"},
        BadCall{"GET", "/jobs/nobody", "", 404, "not_found"},
        BadCall{"POST", "/jobs/nobody/cancel", "{}", 404, "not_found"},
        BadCall{"GET", "/jobs/nobody/explain", "", 404, "not_found"},
        BadCall{"GET", "/bundles/current", "", 404, "not_found"},
        BadCall{"GET", "/bundles/9", "", 404, "not_found"},
        BadCall{"GET", "/bundles/nine", "", 400, "invalid_argument"},
        BadCall{"POST", "/bundles", "no json", 400, "malformed"},
        BadCall{"POST", "/bundles", R"({"text":"{"})", 400, "invalid_argument"},
        BadCall{"POST", "/bundles/00/sign",
                R"({"operator":"o","signature":"s"})", 404, "not_found"},
        BadCall{"GET", "/limits", "", 404, "not_found"},
        BadCall{"POST", "/members/moon/add", R"({"name":"c9"})", 404,
                "not_found"},
        BadCall{"POST", "/members/east/add", R"({"incarnation":"x"})", 400,
                "invalid_argument"}));

TEST_P(BadCallTest, GetsATypedErrorAndChangesNothing) {
  const BadCall &Bad = GetParam();
  const auto Answer = A_.call(Bad.Method_, Bad.Path_, Bad.Body_);
  EXPECT_EQ(Answer.Status_, Bad.Status_) << Answer.Body_;
  const Json Body = Json::parse(Answer.Body_);
  EXPECT_EQ(Body["error"], Bad.Error_);
  EXPECT_NE(Body["message"], "");
  EXPECT_EQ(A_.Fleet_.listJobs(10).size(), 0U);
}

TEST_F(OperatorApiTest, EveryProblemOfAJobIsNamedAtOnce) {
  const auto Answer = A_.call("POST", "/jobs", R"({"tasks":0,"x":1})");
  for (const char *Name : {"job", "team", "tasks", "declared", "x"})
    EXPECT_NE(Answer.Body_.find("\\\"" + std::string(Name) + "\\\""),
              std::string::npos)
        << Name;
}

TEST_F(OperatorApiTest, AJobSubmittedTwiceIsOneJob) {
  EXPECT_EQ(A_.call("POST", "/jobs", GoodJob).Status_, 200U);
  const auto Again = A_.call("POST", "/jobs", GoodJob);
  EXPECT_EQ(Json::parse(Again.Body_)["error"], "already_exists");
  EXPECT_EQ(A_.Fleet_.listJobs(10).size(), 1U);
}

TEST_F(OperatorApiTest, AJobThatFitsNowhereIsTakenWithAWarning) {
  beat(A_, seconds(1));
  const auto Answer = A_.call(
      "POST", "/jobs",
      R"({"job":"j","team":"t","declared":{"milliCpus":99000,"memoryMib":1}})");
  EXPECT_EQ(Json::parse(Answer.Body_)["warnings"].size(), 1U);
}

TEST_F(OperatorApiTest, ABundleIsCheckedProposedSignedAndShown) {
  const std::string Text = makeBundleText(1, 0, "", 2, 2);
  const Digest Value = fleet::computeDigest(Text);
  EXPECT_EQ(Json::parse(A_.call("POST", "/bundles/check", Text).Body_)["ok"],
            true);
  const Json Wrapped = {{"text", "{}"}};
  EXPECT_EQ(Json::parse(
                A_.call("POST", "/bundles/check", Wrapped.dump()).Body_)["ok"],
            false);
  const auto Proposed = A_.call("POST", "/bundles", makeProposal(Text, 1));
  EXPECT_EQ(Json::parse(Proposed.Body_)["accepted"], false);
  EXPECT_EQ(read(A_, "/bundles")["proposals"].size(), 1U);
  const auto Signed = makeSignOff(Value, 2);
  const Json Body = {{"operator", Signed.Operator_.value()},
                     {"signature", Signed.Signature_}};
  const auto Accepted =
      A_.call("POST", "/bundles/" + Value.value() + "/sign", Body.dump());
  EXPECT_EQ(Json::parse(Accepted.Body_)["accepted"], true) << Accepted.Body_;
  EXPECT_EQ(read(A_, "/bundles/current")["text"], Text);
  EXPECT_EQ(read(A_, "/bundles/1")["digest"], Value.value());
}

TEST_F(OperatorApiTest, OfFiftyRacingBundlesOneWinsAndTheOthersLearnWhich) {
  const std::string First = makeBundleText(1, 0, "", 50, 1);
  A_.call("POST", "/bundles", makeProposal(First, 1));
  const std::string Parent = fleet::computeDigest(First).value();
  // The fleet's leader is another control; half of the calls go through it.
  Own_.lead(&B_.Group_);
  pass(seconds(1));
  std::string Winner;
  std::vector<std::string> Losers;
  for (unsigned Operator = 1; Operator <= 50; ++Operator) {
    const std::string Text =
        makeBundleText(2, 1, Parent, 50, 1, "by " + std::to_string(Operator));
    for (int Sent = 0; Sent < 2; ++Sent) { // The answer may get lost.
      const auto Answer =
          B_.call("POST", "/bundles", makeProposal(Text, Operator));
      const Json Body = Json::parse(Answer.Body_);
      if (Answer.Status_ == 200 || Body["accepted"] == true) {
        EXPECT_TRUE(Winner.empty() || Winner == Body["digest"]);
        Winner = Body["digest"];
      } else {
        EXPECT_EQ(Answer.Status_, 409U);
        Losers.push_back(Body["digest"]);
      }
    }
  }
  EXPECT_EQ(Losers.size(), 98U);
  for (const std::string &Told : Losers)
    EXPECT_EQ(Told, Winner);
  EXPECT_EQ(B_.Fleet_.getInForce()->Digest_.value(), Winner);
  EXPECT_FALSE(B_.Peers_.Calls_.empty());
}

TEST_F(OperatorApiTest, AnUnreachableFleetIsSaidSoWithinTheDeadline) {
  All_.cutLeader();
  const auto Got = A_.send(wire::OperatorCall{"POST", "/jobs", "", GoodJob});
  EXPECT_FALSE(Got) << "it goes on trying";
  pass(seconds(9));
  EXPECT_EQ(A_.Core_->getInProgress(), 0U);
}

TEST_F(OperatorApiTest, ACancelledJobIsStoppedAndDropped) {
  beat(A_, seconds(4));
  submit(A_, "j");
  beat(A_, seconds(1));
  ASSERT_EQ(Held_.size(), 1U);
  EXPECT_EQ(A_.call("POST", "/jobs/j/cancel", "{}").Status_, 200U);
  beat(A_, seconds(6)); // Its server's word, or its lease.
  EXPECT_TRUE(Held_.empty());
  EXPECT_EQ(read(A_, "/jobs/j")["state"], "cancelled");
  EXPECT_EQ(findTask(A_, "j"), nullptr);
}

TEST_F(OperatorApiTest, TheViewsShowWhatTheLeaderSees) {
  beat(A_, seconds(4));
  submit(A_, "j", 2);
  submit(A_, "big", 1);
  beat(A_, seconds(1));
  EXPECT_EQ(read(A_, "/servers")["servers"][0]["state"], "up");
  EXPECT_EQ(read(A_, "/services")["services"][0]["slots"], 8);
  EXPECT_EQ(read(A_, "/jobs/j")["progress"]["running"], 2);
  EXPECT_EQ(read(A_, "/jobs/j/explain", "task=1")["running"], true);
  EXPECT_EQ(read(A_, "/jobs", "limit=1")["jobs"].size(), 1U);
  EXPECT_GE(read(A_, "/decisions")["decisions"].size(), 3U);
  EXPECT_EQ(read(A_, "/members")["groups"].size(), 2U);
  EXPECT_EQ(read(A_, "/dump")["leadsDataCentre"], true);
}

TEST_F(OperatorApiTest, AJobHeldElsewhereIsAskedForThere) {
  EXPECT_EQ(A_.call("POST", "/jobs", GoodJob).Status_, 200U);
  fleet::AssignJob Assign{JobId("j"), DataCentreId("west")};
  A_.FleetGroup_.propose(fleet::encodeCommand(Assign), [](const auto &) {});
  EXPECT_EQ(A_.call("GET", "/jobs/j").Status_, 503U);
  A_.Peers_.Answers_["c3"] = [](wire::MessageKind, const std::string &Body) {
    const auto Call = wire::decode<wire::OperatorCall>(Body).value();
    ControlReport Report;
    Report.Name_ = "c3";
    Report.DataCentre_ = DataCentreId("west");
    Report.Leads_ = true;
    const bool Asked = Call.Path_ == "/passed-on/report";
    return wire::encode(wire::OperatorAnswer{
        200, Asked ? renderJson(makeReportJson(Report)) : Call.Path_});
  };
  EXPECT_EQ(A_.call("GET", "/jobs/j").Body_, "/passed-on/jobs/j");
}

TEST_F(OperatorApiTest, AMemberIsReplacedInOneCallRemovalFirst) {
  FakeReplica &Group = A_.Group_;
  Group.Members_.push_back({{"c2", 5}, replication::MemberRole::Voter});
  Group.Waiting_ = {{"c2", 8}, {"c2", 7}};
  Group.PromotionsRefused_ = 2; // It has to catch up first.
  A_.send(wire::OperatorCall{"POST", "/members/east/replace", "",
                             R"({"name":"c2"})"});
  pass(seconds(1));
  EXPECT_EQ(Group.Steps_,
            (std::vector<std::string>{"remove 5", "add c2 8", "promote 8",
                                      "promote 8", "promote 8"}));
  const auto Stale = A_.call("POST", "/members/east/replace",
                             R"({"name":"c2","incarnation":6})");
  EXPECT_EQ(Stale.Status_, 409U) << "a later one is a member already";
}

TEST_F(OperatorApiTest, AWaitingMemberBecomesALearnerButNeverAVoter) {
  A_.Group_.Waiting_ = {{"stranger", 3}, {"c3", 9}};
  pass(seconds(5));
  EXPECT_EQ(A_.Group_.Steps_, (std::vector<std::string>{"add c3 9"}));
}

TEST_F(OperatorApiTest, ChangesOfMembersGoToTheGroupsLeader) {
  All_.lead(&B_.FleetGroup_);
  A_.Peers_.Answers_["c2"] = [this](wire::MessageKind Kind,
                                    const std::string &Body) {
    Outcome<std::string> Got = fail(ErrorCode::Timeout, "");
    B_.Core_->handle(Kind, Body,
                     [&Got](Outcome<std::string> Reply) { Got = Reply; });
    B_.Strand_.run();
    return Got;
  };
  const auto Answer =
      A_.call("POST", "/members/fleet/add", R"({"name":"c9","incarnation":1})");
  EXPECT_EQ(Answer.Status_, 200U) << Answer.Body_;
  EXPECT_EQ(B_.FleetGroup_.Steps_, (std::vector<std::string>{"add c9 1"}));
}

TEST_F(OperatorApiTest, FramesThatDoNotDecodeAreAnsweredAsMalformed) {
  std::mt19937 Random(7);
  for (int Kind = 1; Kind <= 12; ++Kind) {
    if (Kind == 1)
      continue; // One-way: nobody hears an answer.
    std::string Bytes(40, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    std::optional<Outcome<std::string>> Got;
    A_.Core_->handle(static_cast<wire::MessageKind>(Kind), Bytes,
                     [&Got](Outcome<std::string> Reply) { Got = Reply; });
    A_.Strand_.run();
    ASSERT_TRUE(Got) << Kind;
    const bool Fleet = Kind == 8; // Its bytes are the log's own matter.
    EXPECT_TRUE(Fleet || !*Got) << Kind;
  }
}
