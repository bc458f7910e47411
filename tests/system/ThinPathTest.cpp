// The whole path through separate processes: a request, a request that may not
// be repeated, a batch job, a bundle, a planned stop.

#include "system/support/Cluster.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::system_test;
using Json = nlohmann::json;
using testing::IsEmpty;

class ThinPath : public testing::Test {
protected:
  static void SetUpTestSuite() {
    ClusterShape Shape;
    Shape.EntriesEach_ = 2;
    Whole_ = std::make_unique<Cluster>(Shape);
    Started_ = Whole_->start();
  }
  static void TearDownTestSuite() { Whole_.reset(); }
  void SetUp() override { ASSERT_TRUE(Started_) << Whole_->whatFailed(); }

  static inline std::unique_ptr<Cluster> Whole_;
  static inline bool Started_ = false;
};

TEST_F(ThinPath, ARequestGetsItsOwnAnswerFromABackendServer) {
  for (std::size_t Entry = 0; Entry < 2; ++Entry) {
    HttpAnswer Answer =
        get(Whole_->entryPort(0, Entry), "/v1/services/tariff/quote/17?a=b");
    EXPECT_EQ(Answer.Status_, 200);
    EXPECT_EQ(Answer.outcome(), "served");
    EXPECT_EQ(Answer.json().value("path", ""), "/quote/17");
    EXPECT_EQ(Answer.json().value("service", ""), "tariff");
    EXPECT_EQ(Answer.json().value("requestId", ""),
              Answer.header("x-tulipweir-request-id"));
  }
}

TEST_F(ThinPath, AnUnknownServiceIsNotRun) {
  HttpAnswer Answer = get(Whole_->entryPort(), "/v1/services/none/x");
  EXPECT_EQ(Answer.Status_, 404);
  EXPECT_EQ(Answer.outcome(), "not-run");
}

TEST_F(ThinPath, AResendUnderATicketGetsTheSameAnswerAtAnyEntry) {
  std::string Ticket = Whole_->takeTicket(Whole_->entryPort());
  HttpAnswer First = Whole_->charge(Whole_->entryPort(0, 0), "book", Ticket,
                                    Milliseconds(5000));
  EXPECT_EQ(First.outcome(), "served") << First.Body_;
  HttpAnswer Again = Whole_->charge(Whole_->entryPort(0, 1), "book", Ticket,
                                    Milliseconds(5000));
  EXPECT_EQ(Again.outcome(), "served") << Again.Body_;
  EXPECT_EQ(Again.Body_, First.Body_);
  HttpAnswer Other = Whole_->charge(Whole_->entryPort(0, 1), "other", Ticket,
                                    Milliseconds(5000));
  EXPECT_EQ(Other.Status_, 409);
  EXPECT_EQ(Whole_->readAudit().countRuns("/book"), 1U);
  EXPECT_EQ(Whole_->readAudit().countRuns("/other"), 0U);
}

TEST_F(ThinPath, AJobRunsToItsEndOnce) {
  ASSERT_TRUE(Whole_->submitJob("rebill", 6, {{"workMs", 300}}));
  EXPECT_TRUE(Whole_->waitForJob("rebill", "finished"))
      << Whole_->operate("GET", "/jobs/rebill").Body_;
  Audit Ran = Whole_->readAudit();
  for (int Task = 0; Task < 6; ++Task)
    EXPECT_EQ(Ran.countEnds("rebill/" + std::to_string(Task), "finished"), 1U);
  EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
}

TEST_F(ThinPath, AJobThatAlwaysFailsEndsAsFailedAndIsExplained) {
  Json Body{{"job", "hopeless"},
            {"team", "tariffs"},
            {"tasks", 1},
            {"maxAttempts", 2},
            {"declared",
             {{"milliCpus", 100}, {"memoryMib", 10}, {"accelerators", 0}}},
            {"payload", R"({"workMs":10,"fail":true})"}};
  EXPECT_LT(Whole_->operate("POST", "/jobs", Body).Status_, 300);
  EXPECT_TRUE(Whole_->waitForJob("hopeless", "failed"))
      << Whole_->operate("GET", "/jobs/hopeless").Body_;
  EXPECT_EQ(Whole_->readAudit().countEnds("hopeless/0", "failed"), 2U);
}

TEST_F(ThinPath, ABundleIsInForceAtEveryProcess) {
  BundleOptions Next = Whole_->followCurrent();
  HttpAnswer Answer = Whole_->proposeBundle(Whole_->makeBundle(Next));
  ASSERT_TRUE(Cluster::isAccepted(Answer)) << Answer.Body_;
  EXPECT_TRUE(waitFor(LongEnough, [&] {
    Json Status = Whole_->operate("GET", "/bundles/status").json();
    return Status.value("version", 0U) == Next.Version_ &&
           Status.value("everywhere", false);
  })) << Whole_->operate("GET", "/bundles/status").Body_;
}

TEST_F(ThinPath, ZEveryProgramStopsWithExitCode0) {
  EXPECT_THAT(Whole_->stopAll(), IsEmpty());
}

TEST(Programs, NameEveryBadSettingAtOnce) {
  for (const char *Program : {"tulipweir-control", "tulipweir-entry",
                              "tulipweir-standin", "tulipweir-load"}) {
    RunResult Result = runProgram(Program, {"--check-settings", "--threads",
                                            "none", "--log-level", "loud"});
    EXPECT_EQ(Result.ExitCode_, 2) << Program;
    EXPECT_NE(Result.Output_.find("threads"), std::string::npos) << Program;
    EXPECT_NE(Result.Output_.find("loud"), std::string::npos) << Program;
    EXPECT_EQ(runProgram(Program, {"--help"}).ExitCode_, 0) << Program;
    EXPECT_EQ(runProgram(Program, {"--version"}).ExitCode_, 0) << Program;
  }
}
