//===- EntryApiTest.cpp - Tests of the entry's HTTP API -------------------===//

#include "entry/support/Fakes.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::RequestDisposition;

static std::vector<net::HttpHeader> keyed(const std::string &Key) {
  return {{header::IdempotencyKey, Key}};
}

struct BadCall {
  std::vector<net::HttpHeader> Headers_;
  std::string Path_;
  unsigned Status_;
  const char *Outcome_;
};

TEST(EntryApiTest, InvalidCallsAreRejectedAtOnceWithAReason) {
  EntryHarness Harness;
  Harness.setBundle(2, R"(,"maxBodyBytes":3)");
  Harness.advance(seconds(1));
  const std::string Good = "/v1/services/booking/x";
  const std::string Ticket = "dc1.1." + std::string(32, 'a');
  const BadCall Cases[] = {
      {{}, "/v1/services/none/x", 404, "not-run"},
      {{}, "/v1/services/", 404, "not-run"},
      {{}, "/v2/else", 404, ""},
      {{{header::Deadline, "soon"}}, Good, 400, "not-run"},
      {{{header::Deadline, "5 "}}, Good, 400, "not-run"},
      {{{header::Deadline, "0"}}, Good, 503, "not-run"},
      {{{header::Deadline, "-1"}}, Good, 503, "not-run"},
      {{{header::Repeatable, "maybe"}}, Good, 400, "not-run"},
      {{{header::Caller, std::string(500, 'x')}}, Good, 400, "not-run"},
      {{{header::IdempotencyKey, "a b"}}, Good, 400, "not-run"},
      {{{header::IdempotencyKey, std::string(500, 'x')}}, Good, 400, "not-run"},
      {{{header::Ticket, "no.ticket"}}, Good, 400, "not-run"},
      {{{header::Ticket, Ticket}, {header::IdempotencyKey, "k"}},
       Good,
       400,
       "not-run"},
      {{{header::IdempotencyKey, "k"}, {header::Repeatable, "true"}},
       Good,
       400,
       "not-run"},
      // An earlier attempt with this key may have run, so the rejection is
      // "unknown".
      {{{header::IdempotencyKey, "k"}, {header::Deadline, "0"}},
       Good,
       503,
       "unknown"},
  };
  for (const BadCall &Case : Cases) {
    SCOPED_TRACE(Case.Path_);
    const auto Call = Harness.call("abc", Case.Headers_, "POST", Case.Path_);
    ASSERT_EQ(Call->Answers_.size(), 1U);
    EXPECT_EQ(Call->response().Status_, Case.Status_);
    EXPECT_EQ(Call->outcome(), Case.Outcome_);
  }
  EXPECT_EQ(Harness.call("abcd")->response().Status_, 413U);
  EXPECT_TRUE(Harness.Backend_.Sent_.empty());
}

TEST(EntryApiTest, BackendServerGetsCallerHeadersAndVerifiedEntryHeaders) {
  EntryHarness Harness;
  const auto Call = Harness.call("b",
                                 {{"X-Custom", "kept"},
                                  {"Connection", "close"},
                                  {"X-Tulipweir-Service", "forged"},
                                  {header::Caller, "scout"}},
                                 "PUT", "/v1/services/booking/a/b");
  Harness.advance(milliseconds(20));
  const net::HttpRequest &Sent = Harness.Backend_.Sent_.at(0).Request_;
  EXPECT_EQ(Sent.Method_, "PUT");
  EXPECT_EQ(Sent.Path_, "/a/b");
  EXPECT_EQ(Sent.findHeader("X-Custom"), "kept");
  EXPECT_EQ(Sent.findHeader("Connection"), "");
  EXPECT_EQ(Sent.findHeader(header::Service), "booking");
  EXPECT_EQ(Sent.findHeader(header::Caller), "scout");
  unsigned Ids = 0;
  for (const net::HttpHeader &Header : Call->response().Headers_)
    Ids += Header.Name_ == header::RequestId ? 1 : 0;
  EXPECT_EQ(Ids, 1U);
}

TEST(EntryApiTest, RequiresABundleAndNeverAdoptsAnOlderOne) {
  EntryHarness Harness;
  Harness.setBundle(5, R"(,"maxBodyBytes":3)");
  Harness.advance(seconds(1));
  EXPECT_EQ(Harness.call("abcd")->response().Status_, 413U);
  Harness.setBundle(4); // An outdated control process sends an older bundle.
  Harness.Control_->Reply_.InForce_ = BundleVersion(9);
  Harness.advance(seconds(1));
  EXPECT_EQ(Harness.call("abcd")->response().Status_, 413U);
  Harness.Control_->Reply_.Bundle_.reset();
  Harness.restartEntry();
  const auto BeforeBundle = Harness.call("a");
  EXPECT_EQ(BeforeBundle->outcome(), "not-run");
  EXPECT_EQ(BeforeBundle->response().findHeader("Retry-After"), "1");
  EXPECT_NE(Harness.Entry_->explainUnready(), "");
}

TEST(EntryApiTest, CorruptBundleIsNotAdopted) {
  EntryHarness Harness;
  Harness.setBundle(2, R"(,"maxBodyBytes":3)");
  Harness.Control_->Reply_.Bundle_->Text_ += " ";
  Harness.advance(seconds(1));
  EXPECT_TRUE(Harness.call("abcd")->Answers_.empty());
  EXPECT_NE(Harness.Entry_->dump().find("\"bundleVersion\": 1"),
            std::string::npos);
}

TEST(EntryApiTest, CallerOverItsRateLimitGets429AndOthersAreServed) {
  EntryHarness Harness(3, 20);
  Harness.setBundle(
      2, "",
      R"(,"callerLimits":[{"caller":"noisy","requestsPerSecond":1,"burst":2}])");
  Harness.advance(seconds(1));
  const std::vector<net::HttpHeader> Noisy = {{header::Caller, "noisy"}};
  Harness.call("1", Noisy);
  Harness.call("2", Noisy);
  const auto Third = Harness.call("3", Noisy);
  ASSERT_EQ(Third->Answers_.size(), 1U);
  EXPECT_EQ(Third->response().Status_, 429U);
  EXPECT_EQ(Third->response().findHeader("Retry-After"), "1");
  const auto Other = Harness.call("4", {{header::Caller, "quiet"}});
  Harness.advance(seconds(1));
  EXPECT_EQ(Other->outcome(), "served");
  const auto Later = Harness.call("5", Noisy);
  Harness.advance(milliseconds(50));
  EXPECT_EQ(Later->outcome(), "served");
}

TEST(EntryApiTest, ResendAttachesToARunningRequestAndIsReplayedLater) {
  EntryHarness Harness;
  const auto First = Harness.call("m", keyed("k"));
  Harness.advance(milliseconds(3));
  const auto Attached = Harness.call("m", keyed("k"));
  Harness.advance(milliseconds(50));
  const auto Replayed = Harness.call("m", keyed("k"));
  Harness.advance(milliseconds(50));
  for (const auto &Call : {First, Attached, Replayed}) {
    EXPECT_EQ(Call->outcome(), "served");
    EXPECT_EQ(Call->response().Body_, makeAnswerBody("m"));
  }
  EXPECT_EQ(Replayed->response().findHeader("X-Tulipweir-Replayed"), "true");
  EXPECT_EQ(Harness.Backend_.getRuns("m"), 1U);
}

TEST(EntryApiTest, AttachedCallerGetsUnknownAtItsOwnDeadline) {
  EntryHarness Harness;
  Harness.Backend_.Script_ = {TryFault::Slow};
  Harness.call("m", keyed("k"));
  auto Headers = keyed("k");
  Headers.push_back({header::Deadline, "50"});
  const auto Attached = Harness.call("m", Headers);
  Harness.advance(milliseconds(60));
  ASSERT_EQ(Attached->Answers_.size(), 1U);
  EXPECT_EQ(Attached->outcome(), "unknown");
  EXPECT_NE(Attached->response().Body_.find("running-elsewhere"),
            std::string::npos);
}

TEST(EntryApiTest, RequestRunningAtAnotherEntryIsPolledUntilItEnds) {
  EntryHarness Harness;
  Harness.Control_->NextDisposition_ = RequestDisposition::Running;
  const auto Call = Harness.call("m", keyed("k"));
  Harness.advance(milliseconds(400));
  EXPECT_TRUE(Call->Answers_.empty());
  Harness.Control_->NextDisposition_.reset();
  Harness.advance(milliseconds(400));
  EXPECT_EQ(Call->outcome(), "served");
}

TEST(EntryApiTest, RecordDispositionsMapToStatusAndOutcome) {
  struct DispositionCase {
    RequestDisposition Disposition_;
    unsigned Status_;
    const char *Outcome_;
  };
  for (const DispositionCase &Case :
       {DispositionCase{RequestDisposition::Conflict, 409, "not-run"},
        DispositionCase{RequestDisposition::Expired, 410, "unknown"},
        DispositionCase{RequestDisposition::Unknown, 504, "unknown"},
        DispositionCase{RequestDisposition::Running, 504, "unknown"}}) {
    EntryHarness Harness;
    Harness.Control_->NextDisposition_ = Case.Disposition_;
    const auto Call = Harness.call("m", keyed("k"));
    Harness.advance(seconds(3));
    EXPECT_EQ(Call->response().Status_, Case.Status_);
    EXPECT_EQ(Call->outcome(), Case.Outcome_);
    EXPECT_EQ(Harness.Backend_.getRuns("m"), 0U);
  }
}

TEST(EntryApiTest, SameKeyWithAnotherBodyConflicts) {
  EntryHarness Harness;
  Harness.call("m", keyed("k"));
  EXPECT_EQ(Harness.call("n", keyed("k"))->response().Status_, 409U);
  Harness.advance(seconds(1));
  const auto After = Harness.call("n", keyed("k"));
  Harness.advance(seconds(1));
  EXPECT_EQ(After->response().Status_, 409U);
  EXPECT_EQ(Harness.Backend_.getRuns("n"), 0U);
}

TEST(EntryApiTest, ResponseWithoutARecordIsReturnedAndMarked) {
  EntryHarness Harness;
  Harness.Control_->FinishFaults_.assign(30, CallFault::LostBefore);
  const auto Call = Harness.call("m", keyed("k"));
  Harness.advance(seconds(2));
  EXPECT_EQ(Call->outcome(), "served");
  EXPECT_EQ(Call->response().findHeader("X-Tulipweir-Record"), "missing");
  EXPECT_GT(Harness.Entry_->getInProgress(), 0U) << "it is still being written";
}

TEST(EntryApiTest, LostBeginIsAbandonedSoThatAResendRuns) {
  EntryHarness Harness;
  Harness.Control_->BeginFaults_ = {CallFault::LostAfter};
  const auto Lost = Harness.call("m", keyed("k"));
  Harness.advance(seconds(2));
  EXPECT_EQ(Lost->outcome(), "unknown");
  const auto Repeated = Harness.call("m", keyed("k"));
  Harness.advance(seconds(1));
  EXPECT_EQ(Repeated->outcome(), "served");
  EXPECT_EQ(Harness.Backend_.getRuns("m"), 1U);
}

TEST(EntryApiTest, TicketRunsAtItsHomeAndIsUnknownIfTheHomeIsUnreachable) {
  EntryHarness Harness;
  Harness.RemoteKnown_ = true;
  Harness.restartEntry();
  const auto TicketCall = Harness.call("", {}, "POST", "/v1/tickets");
  const std::string Body = TicketCall->response().Body_;
  const std::size_t From = Body.find("dc1.");
  const std::string Ticket = Body.substr(From, Body.find('"', From) - From);
  const auto HomeCall = Harness.call("m", {{header::Ticket, Ticket}});
  const auto RemoteCall =
      Harness.call("f", {{header::Ticket, "far.1." + std::string(32, 'a')}});
  Harness.advance(seconds(1));
  EXPECT_EQ(HomeCall->outcome(), "served");
  EXPECT_EQ(RemoteCall->response().Status_, 504U);
  EXPECT_EQ(RemoteCall->outcome(), "unknown");
  EXPECT_EQ(Harness.Backend_.getRuns("f"), 0U);
}

TEST(EntryApiTest, OperatorCallsAreForwardedWithoutThePrefix) {
  EntryHarness Harness;
  const auto Call =
      Harness.call("{}", {}, "POST", "/v1/operator/jobs/j/cancel");
  Harness.advance(milliseconds(5));
  EXPECT_EQ(Call->response().Status_, 200U);
  EXPECT_EQ(Harness.Control_->OperatorCalls_.at(0).Path_, "/jobs/j/cancel");
}

TEST(EntryApiTest, ValidAnnouncementsAreForwardedAndInvalidOnesRejected) {
  EntryHarness Harness;
  const std::string Head =
      R"({"server":"s9","boot":"b","address":"127.0.0.1:9","dataCentre":)";
  const auto Good =
      Harness.call(Head + R"("dc1"})", {}, "POST", "/v1/announce");
  const auto OtherDataCentre =
      Harness.call(Head + R"("dc2"})", {}, "POST", "/v1/announce");
  const auto TooLarge = Harness.call(Head + R"("dc1","slots":4000000000})", {},
                                     "POST", "/v1/announce");
  // Changed announcements wait for the urgent period.
  Harness.advance(BatcherSettings().UrgentPeriod_ + milliseconds(5));
  EXPECT_EQ(Good->response().Status_, 200U);
  EXPECT_EQ(OtherDataCentre->response().Status_, 400U);
  EXPECT_EQ(TooLarge->response().Status_, 413U);
  EXPECT_EQ(Harness.Control_->Announcements_.size(), 1U);
  Harness.Control_->ReportsLost_ = true;
  const auto Lost =
      Harness.call(Head + R"("dc1"})", {}, "POST", "/v1/announce");
  Harness.advance(seconds(2));
  EXPECT_EQ(Lost->response().Status_, 503U);
  EXPECT_EQ(Lost->response().findHeader("Retry-After"), "1");
}

TEST(EntryApiTest, PlannedStopCompletesRequestsAndReleasesGrants) {
  EntryHarness Harness;
  Harness.Backend_.ServiceTime_ = milliseconds(300);
  std::vector<std::shared_ptr<EntryHarness::Call>> Calls;
  Calls.reserve(10);
  for (int Number = 0; Number < 9; ++Number) // Six requests run and three wait.
    Calls.push_back(Harness.call("c" + std::to_string(Number)));
  Calls.push_back(Harness.call("k", keyed("k")));
  Harness.Entry_->beginStop();
  EXPECT_EQ(Harness.Entry_->explainUnready(), "stopping");
  EXPECT_EQ(Harness.Entry_->getInProgress(), 10U);
  while (Harness.Entry_->getInProgress() > 0)
    Harness.advance(milliseconds(10));
  for (const auto &Call : Calls)
    EXPECT_EQ(Call->outcome(), "served");
  bool Done = false;
  Harness.Entry_->releaseGrants([&] { Done = true; });
  Harness.advance(milliseconds(10));
  EXPECT_TRUE(Done);
  EXPECT_TRUE(Harness.Control_->Reports_.back().Stopping_);
  const std::size_t Reports = Harness.Control_->Reports_.size();
  Harness.advance(seconds(2));
  EXPECT_EQ(Harness.Control_->Reports_.size(), Reports);
}

TEST(EntryApiTest, ReportsListGrantsAndRequestsInFlight) {
  EntryHarness Harness(2, 2);
  Harness.Backend_.ServiceTime_ = seconds(1);
  Harness.call("a");
  Harness.advance(milliseconds(600));
  const wire::EntryReport Brief = Harness.Control_->Reports_.back();
  EXPECT_EQ(Brief.Held_, BundleVersion(1));
  EXPECT_TRUE(Brief.Brief_ && Brief.Grants_.empty());
  EXPECT_EQ(std::accumulate(Brief.InFlight_.begin(), Brief.InFlight_.end(), 0),
            1);
  // A leader that requests a full report gets the complete table.
  Harness.Control_->Reply_.SendFull_ = true;
  Harness.advance(milliseconds(510));
  const wire::EntryReport &Report = Harness.Control_->Reports_.back();
  EXPECT_FALSE(Report.Brief_);
  ASSERT_EQ(Report.Grants_.size(), 2U);
  EXPECT_EQ(Report.Grants_[0].InFlight_ + Report.Grants_[1].InFlight_, 1U);
}
