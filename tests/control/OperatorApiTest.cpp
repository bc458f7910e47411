//===- OperatorApiTest.cpp - The operator API, valid and invalid input ---===//

#include "control/ControlCluster.h"

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

class OperatorApiTest : public testing::Test, protected ControlCluster {
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

TEST_P(BadCallTest, IsRejectedWithATypedErrorAndChangesNothing) {
  const BadCall &Bad = GetParam();
  const auto Answer = A_.call(Bad.Method_, Bad.Path_, Bad.Body_);
  EXPECT_EQ(Answer.Status_, Bad.Status_) << Answer.Body_;
  const Json Body = Json::parse(Answer.Body_);
  EXPECT_EQ(Body["error"], Bad.Error_);
  EXPECT_NE(Body["message"], "");
  EXPECT_EQ(A_.Fleet_.listJobs(10).size(), 0U);
}

TEST_F(OperatorApiTest, ReportsEveryProblemOfAJobAtOnce) {
  const auto Answer = A_.call("POST", "/jobs", R"({"tasks":0,"x":1})");
  for (const char *Name : {"job", "team", "tasks", "declared", "x"})
    EXPECT_NE(Answer.Body_.find("\\\"" + std::string(Name) + "\\\""),
              std::string::npos)
        << Name;
}

TEST_F(OperatorApiTest, SubmittingAJobTwiceCreatesOneJob) {
  EXPECT_EQ(A_.call("POST", "/jobs", GoodJob).Status_, 200U);
  const auto Again = A_.call("POST", "/jobs", GoodJob);
  EXPECT_EQ(Json::parse(Again.Body_)["error"], "already_exists");
  EXPECT_EQ(A_.Fleet_.listJobs(10).size(), 1U);
}

TEST_F(OperatorApiTest, JobThatFitsNoServerIsAcceptedWithAWarning) {
  advanceWithHeartbeats(A_, seconds(1));
  const auto Answer = A_.call(
      "POST", "/jobs",
      R"({"job":"j","team":"t","declared":{"milliCpus":99000,"memoryMib":1}})");
  EXPECT_EQ(Json::parse(Answer.Body_)["warnings"].size(), 1U);
}

TEST_F(OperatorApiTest, BundleIsCheckedProposedSignedAndShown) {
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

TEST_F(OperatorApiTest, OneOfFiftyConcurrentBundlesWins) {
  const std::string First = makeBundleText(1, 0, "", 50, 1);
  A_.call("POST", "/bundles", makeProposal(First, 1));
  const std::string Parent = fleet::computeDigest(First).value();
  // The fleet's leader is another control process; half of the calls are sent
  // to it.
  DataCentreLog_.lead(&B_.Group_);
  advanceTime(seconds(1));
  std::string Winner;
  std::vector<std::string> Losers;
  for (unsigned Operator = 1; Operator <= 50; ++Operator) {
    const std::string Text =
        makeBundleText(2, 1, Parent, 50, 1, "by " + std::to_string(Operator));
    for (int Sent = 0; Sent < 2;
         ++Sent) { // Sends each call twice, as the reply may be lost.
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
  for (const std::string &ReportedWinner : Losers)
    EXPECT_EQ(ReportedWinner, Winner);
  EXPECT_EQ(B_.Fleet_.getInForce()->Digest_.value(), Winner);
  EXPECT_FALSE(B_.Peers_.Calls_.empty());
}

TEST_F(OperatorApiTest, UnreachableFleetIsReportedWithinTheDeadline) {
  FleetLog_.disconnectLeader();
  const auto Received =
      A_.send(wire::OperatorCall{"POST", "/jobs", "", GoodJob});
  EXPECT_FALSE(Received) << "must keep retrying";
  advanceTime(seconds(9));
  EXPECT_EQ(A_.Core_->getInProgress(), 0U);
}

TEST_F(OperatorApiTest, CancelledJobIsStoppedAndDropped) {
  advanceWithHeartbeats(A_, seconds(4));
  submit(A_, "j");
  advanceWithHeartbeats(A_, seconds(1));
  ASSERT_EQ(HeldAttempts_.size(), 1U);
  EXPECT_EQ(A_.call("POST", "/jobs/j/cancel", "{}").Status_, 200U);
  advanceWithHeartbeats(
      A_, seconds(6)); // The server confirms the stop, or its lease expires.
  EXPECT_TRUE(HeldAttempts_.empty());
  EXPECT_EQ(read(A_, "/jobs/j")["state"], "cancelled");
  EXPECT_EQ(findTask(A_, "j"), nullptr);
}

TEST_F(OperatorApiTest, ViewsShowTheLeadersState) {
  advanceWithHeartbeats(A_, seconds(4));
  submit(A_, "j", 2);
  submit(A_, "big", 1);
  advanceWithHeartbeats(A_, seconds(1));
  EXPECT_EQ(read(A_, "/servers")["servers"][0]["state"], "up");
  EXPECT_EQ(read(A_, "/services")["services"][0]["slots"], 8);
  EXPECT_EQ(read(A_, "/jobs/j")["progress"]["running"], 2);
  EXPECT_EQ(read(A_, "/jobs/j/explain", "task=1")["running"], true);
  EXPECT_EQ(read(A_, "/jobs", "limit=1")["jobs"].size(), 1U);
  EXPECT_GE(read(A_, "/decisions")["decisions"].size(), 3U);
  EXPECT_EQ(read(A_, "/members")["groups"].size(), 2U);
  EXPECT_EQ(read(A_, "/dump")["leadsDataCentre"], true);
}

TEST_F(OperatorApiTest, CallForAJobHeldElsewhereIsForwarded) {
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
    const bool IsReportCall = Call.Path_ == "/passed-on/report";
    return wire::encode(wire::OperatorAnswer{
        200, IsReportCall ? renderJson(makeReportJson(Report)) : Call.Path_});
  };
  EXPECT_EQ(A_.call("GET", "/jobs/j").Body_, "/passed-on/jobs/j");
}

TEST_F(OperatorApiTest, ReplacesAMemberInOneCallRemovalFirst) {
  FakeReplica &Group = A_.Group_;
  Group.Members_.push_back({{"c2", 5}, replication::MemberRole::Voter});
  Group.Waiting_ = {{"c2", 8}, {"c2", 7}};
  Group.PromotionsRefused_ = 2; // The learner has to catch up first.
  A_.send(wire::OperatorCall{"POST", "/members/east/replace", "",
                             R"({"name":"c2"})"});
  advanceTime(seconds(1));
  EXPECT_EQ(Group.Steps_,
            (std::vector<std::string>{"remove 5", "add c2 8", "promote 8",
                                      "promote 8", "promote 8"}));
  const auto Stale = A_.call("POST", "/members/east/replace",
                             R"({"name":"c2","incarnation":6})");
  EXPECT_EQ(Stale.Status_, 409U) << "a later incarnation is already a member";
}

TEST_F(OperatorApiTest, WaitingMemberBecomesALearnerButNeverAVoter) {
  A_.Group_.Waiting_ = {{"stranger", 3}, {"c3", 9}};
  advanceTime(seconds(5));
  EXPECT_EQ(A_.Group_.Steps_, (std::vector<std::string>{"add c3 9"}));
}

TEST_F(OperatorApiTest, MembershipChangesGoToTheGroupsLeader) {
  FleetLog_.lead(&B_.FleetGroup_);
  A_.Peers_.Answers_["c2"] = [this](wire::MessageKind Kind,
                                    const std::string &Body) {
    Outcome<std::string> Received = fail(ErrorCode::Timeout, "");
    B_.Core_->handle(Kind, Body, [&Received](Outcome<std::string> Reply) {
      Received = Reply;
    });
    B_.Strand_.run();
    return Received;
  };
  const auto Answer =
      A_.call("POST", "/members/fleet/add", R"({"name":"c9","incarnation":1})");
  EXPECT_EQ(Answer.Status_, 200U) << Answer.Body_;
  EXPECT_EQ(B_.FleetGroup_.Steps_, (std::vector<std::string>{"add c9 1"}));
}

TEST_F(OperatorApiTest, MalformedFramesAreRejected) {
  std::mt19937 Random(7);
  for (int Kind = 1; Kind <= 12; ++Kind) {
    if (Kind == 1)
      continue; // One-way message without a reply.
    std::string Bytes(40, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    std::optional<Outcome<std::string>> Received;
    A_.Core_->handle(
        static_cast<wire::MessageKind>(Kind), Bytes,
        [&Received](Outcome<std::string> Reply) { Received = Reply; });
    A_.Strand_.run();
    ASSERT_TRUE(Received) << Kind;
    const bool Fleet =
        Kind == 8; // The log decodes the bytes of a fleet command.
    EXPECT_TRUE(Fleet || !*Received) << Kind;
  }
}
