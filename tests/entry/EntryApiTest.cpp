//===- EntryApiTest.cpp - The entry as its callers see it -----------------===//

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

TEST(EntryApiTest, BadCallsAreRefusedAtOnceWithATypedReason) {
  World Around;
  Around.setBundle(2, R"(,"maxBodyBytes":3)");
  Around.advance(seconds(1));
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
      // An earlier attempt with this key may have run before it was refused.
      {{{header::IdempotencyKey, "k"}, {header::Deadline, "0"}},
       Good,
       503,
       "unknown"},
  };
  for (const BadCall &Case : Cases) {
    SCOPED_TRACE(Case.Path_);
    const auto Call = Around.call("abc", Case.Headers_, "POST", Case.Path_);
    ASSERT_EQ(Call->Answers_.size(), 1U);
    EXPECT_EQ(Call->response().Status_, Case.Status_);
    EXPECT_EQ(Call->outcome(), Case.Outcome_);
  }
  EXPECT_EQ(Around.call("abcd")->response().Status_, 413U);
  EXPECT_TRUE(Around.Backend_.Sent_.empty());
}

TEST(EntryApiTest, TheBackendServerGetsTheRequestAndOurHeadersOnly) {
  World Around;
  const auto Call = Around.call("b",
                                {{"X-Custom", "kept"},
                                 {"Connection", "close"},
                                 {"X-Tulipweir-Service", "forged"},
                                 {header::Caller, "scout"}},
                                "PUT", "/v1/services/booking/a/b");
  Around.advance(milliseconds(20));
  const net::HttpRequest &Sent = Around.Backend_.Sent_.at(0).Request_;
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

TEST(EntryApiTest, ServesOnlyAfterABundleAndNeverGoesBackToAnOlderOne) {
  World Around;
  Around.setBundle(5, R"(,"maxBodyBytes":3)");
  Around.advance(seconds(1));
  EXPECT_EQ(Around.call("abcd")->response().Status_, 413U);
  Around.setBundle(4); // An older one arrives late, from a stale control.
  Around.Control_->Reply_.InForce_ = BundleVersion(9);
  Around.advance(seconds(1));
  EXPECT_EQ(Around.call("abcd")->response().Status_, 413U);
  Around.Control_->Reply_.Bundle_.reset();
  Around.restartEntry();
  const auto Early = Around.call("a");
  EXPECT_EQ(Early->outcome(), "not-run");
  EXPECT_EQ(Early->response().findHeader("Retry-After"), "1");
  EXPECT_NE(Around.Entry_->explainUnready(), "");
}

TEST(EntryApiTest, ADamagedBundleIsNotAdopted) {
  World Around;
  Around.setBundle(2, R"(,"maxBodyBytes":3)");
  Around.Control_->Reply_.Bundle_->Text_ += " ";
  Around.advance(seconds(1));
  EXPECT_TRUE(Around.call("abcd")->Answers_.empty());
  EXPECT_NE(Around.Entry_->dump().find("\"bundleVersion\": 1"),
            std::string::npos);
}

TEST(EntryApiTest, CallersOverTheirLimitGet429AndOthersAreServed) {
  World Around(3, 20);
  Around.setBundle(
      2, "",
      R"(,"callerLimits":[{"caller":"noisy","requestsPerSecond":1,"burst":2}])");
  Around.advance(seconds(1));
  const std::vector<net::HttpHeader> Noisy = {{header::Caller, "noisy"}};
  Around.call("1", Noisy);
  Around.call("2", Noisy);
  const auto Third = Around.call("3", Noisy);
  ASSERT_EQ(Third->Answers_.size(), 1U);
  EXPECT_EQ(Third->response().Status_, 429U);
  EXPECT_EQ(Third->response().findHeader("Retry-After"), "1");
  const auto Other = Around.call("4", {{header::Caller, "quiet"}});
  Around.advance(seconds(1));
  EXPECT_EQ(Other->outcome(), "served");
  const auto Later = Around.call("5", Noisy);
  Around.advance(milliseconds(50));
  EXPECT_EQ(Later->outcome(), "served");
}

TEST(EntryApiTest, AResendAttachesWhileItRunsAndIsReplayedAfterwards) {
  World Around;
  const auto First = Around.call("m", keyed("k"));
  Around.advance(milliseconds(3));
  const auto Attached = Around.call("m", keyed("k"));
  Around.advance(milliseconds(50));
  const auto Replayed = Around.call("m", keyed("k"));
  Around.advance(milliseconds(50));
  for (const auto &Call : {First, Attached, Replayed}) {
    EXPECT_EQ(Call->outcome(), "served");
    EXPECT_EQ(Call->response().Body_, makeAnswerBody("m"));
  }
  EXPECT_EQ(Replayed->response().findHeader("X-Tulipweir-Replayed"), "true");
  EXPECT_EQ(Around.Backend_.getRuns("m"), 1U);
}

TEST(EntryApiTest, AnAttachedCallerIsToldHonestlyWhenItsOwnDeadlinePasses) {
  World Around;
  Around.Backend_.Script_ = {TryFault::Slow};
  Around.call("m", keyed("k"));
  auto Headers = keyed("k");
  Headers.push_back({header::Deadline, "50"});
  const auto Attached = Around.call("m", Headers);
  Around.advance(milliseconds(60));
  ASSERT_EQ(Attached->Answers_.size(), 1U);
  EXPECT_EQ(Attached->outcome(), "unknown");
  EXPECT_NE(Attached->response().Body_.find("running-elsewhere"),
            std::string::npos);
}

TEST(EntryApiTest, ARunningRequestOfAnotherEntryIsAskedForUntilItEnds) {
  World Around;
  Around.Control_->NextDisposition_ = RequestDisposition::Running;
  const auto Call = Around.call("m", keyed("k"));
  Around.advance(milliseconds(400));
  EXPECT_TRUE(Call->Answers_.empty());
  Around.Control_->NextDisposition_.reset();
  Around.advance(milliseconds(400));
  EXPECT_EQ(Call->outcome(), "served");
}

TEST(EntryApiTest, TheRecordsDispositionsAreToldAsTheyAre) {
  struct Told {
    RequestDisposition Disposition_;
    unsigned Status_;
    const char *Outcome_;
  };
  for (const Told &Case : {Told{RequestDisposition::Conflict, 409, "not-run"},
                           Told{RequestDisposition::Expired, 410, "unknown"},
                           Told{RequestDisposition::Unknown, 504, "unknown"},
                           Told{RequestDisposition::Running, 504, "unknown"}}) {
    World Around;
    Around.Control_->NextDisposition_ = Case.Disposition_;
    const auto Call = Around.call("m", keyed("k"));
    Around.advance(seconds(3));
    EXPECT_EQ(Call->response().Status_, Case.Status_);
    EXPECT_EQ(Call->outcome(), Case.Outcome_);
    EXPECT_EQ(Around.Backend_.getRuns("m"), 0U);
  }
}

TEST(EntryApiTest, TheSameKeyWithAnotherBodyIsAConflict) {
  World Around;
  Around.call("m", keyed("k"));
  EXPECT_EQ(Around.call("n", keyed("k"))->response().Status_, 409U);
  Around.advance(seconds(1));
  const auto After = Around.call("n", keyed("k"));
  Around.advance(seconds(1));
  EXPECT_EQ(After->response().Status_, 409U);
  EXPECT_EQ(Around.Backend_.getRuns("n"), 0U);
}

TEST(EntryApiTest, AnAnswerWhoseRecordFailsIsStillToldAndMarked) {
  World Around;
  Around.Control_->FinishFaults_.assign(30, CallFault::LostBefore);
  const auto Call = Around.call("m", keyed("k"));
  Around.advance(seconds(2));
  EXPECT_EQ(Call->outcome(), "served");
  EXPECT_EQ(Call->response().findHeader("X-Tulipweir-Record"), "missing");
  EXPECT_GT(Around.Entry_->getInProgress(), 0U) << "it is still being written";
}

TEST(EntryApiTest, ALostBeginIsGivenBackSoThatAResendRuns) {
  World Around;
  Around.Control_->BeginFaults_ = {CallFault::LostAfter};
  const auto Lost = Around.call("m", keyed("k"));
  Around.advance(seconds(2));
  EXPECT_EQ(Lost->outcome(), "unknown");
  const auto Again = Around.call("m", keyed("k"));
  Around.advance(seconds(1));
  EXPECT_EQ(Again->outcome(), "served");
  EXPECT_EQ(Around.Backend_.getRuns("m"), 1U);
}

TEST(EntryApiTest, TicketsWorkAtHomeAndAreAnsweredHonestlyElsewhere) {
  World Around;
  Around.FarKnown_ = true;
  Around.restartEntry();
  const auto Taken = Around.call("", {}, "POST", "/v1/tickets");
  const std::string Body = Taken->response().Body_;
  const std::size_t From = Body.find("dc1.");
  const std::string Ticket = Body.substr(From, Body.find('"', From) - From);
  const auto Home = Around.call("m", {{header::Ticket, Ticket}});
  const auto Far =
      Around.call("f", {{header::Ticket, "far.1." + std::string(32, 'a')}});
  Around.advance(seconds(1));
  EXPECT_EQ(Home->outcome(), "served");
  EXPECT_EQ(Far->response().Status_, 504U);
  EXPECT_EQ(Far->outcome(), "unknown");
  EXPECT_EQ(Around.Backend_.getRuns("f"), 0U);
}

TEST(EntryApiTest, OperatorsCallsPassWithoutThePrefix) {
  World Around;
  const auto Call = Around.call("{}", {}, "POST", "/v1/operator/jobs/j/cancel");
  Around.advance(milliseconds(5));
  EXPECT_EQ(Call->response().Status_, 200U);
  EXPECT_EQ(Around.Control_->OperatorCalls_.at(0).Path_, "/jobs/j/cancel");
}

TEST(EntryApiTest, AnnouncementsPassAndBadOnesStopHere) {
  World Around;
  const std::string Head =
      R"({"server":"s9","boot":"b","address":"127.0.0.1:9","dataCentre":)";
  const auto Good = Around.call(Head + R"("dc1"})", {}, "POST", "/v1/announce");
  const auto Foreign =
      Around.call(Head + R"("dc2"})", {}, "POST", "/v1/announce");
  const auto Absurd = Around.call(Head + R"("dc1","slots":4000000000})", {},
                                  "POST", "/v1/announce");
  // News waits for other news as long.
  Around.advance(BatcherSettings().UrgentPeriod_ + milliseconds(5));
  EXPECT_EQ(Good->response().Status_, 200U);
  EXPECT_EQ(Foreign->response().Status_, 400U);
  EXPECT_EQ(Absurd->response().Status_, 413U);
  EXPECT_EQ(Around.Control_->Announcements_.size(), 1U);
  Around.Control_->ReportsLost_ = true;
  const auto Lost = Around.call(Head + R"("dc1"})", {}, "POST", "/v1/announce");
  Around.advance(seconds(2));
  EXPECT_EQ(Lost->response().Status_, 503U);
  EXPECT_EQ(Lost->response().findHeader("Retry-After"), "1");
}

TEST(EntryApiTest, APlannedStopCutsNothingAndGivesTheGrantsBack) {
  World Around;
  Around.Backend_.ServiceTime_ = milliseconds(300);
  std::vector<std::shared_ptr<World::Call>> Calls;
  Calls.reserve(10);
  for (int Number = 0; Number < 9; ++Number) // Six run, three wait.
    Calls.push_back(Around.call("c" + std::to_string(Number)));
  Calls.push_back(Around.call("k", keyed("k")));
  Around.Entry_->beginStop();
  EXPECT_EQ(Around.Entry_->explainUnready(), "stopping");
  EXPECT_EQ(Around.Entry_->getInProgress(), 10U);
  while (Around.Entry_->getInProgress() > 0)
    Around.advance(milliseconds(10));
  for (const auto &Call : Calls)
    EXPECT_EQ(Call->outcome(), "served");
  bool Done = false;
  Around.Entry_->giveBack([&] { Done = true; });
  Around.advance(milliseconds(10));
  EXPECT_TRUE(Done);
  EXPECT_TRUE(Around.Control_->Reports_.back().Stopping_);
  const std::size_t Reports = Around.Control_->Reports_.size();
  Around.advance(seconds(2));
  EXPECT_EQ(Around.Control_->Reports_.size(), Reports);
}

TEST(EntryApiTest, ReportsNameWhatIsHeldAndInFlight) {
  World Around(2, 2);
  Around.Backend_.ServiceTime_ = seconds(1);
  Around.call("a");
  Around.advance(milliseconds(600));
  const wire::EntryReport Brief = Around.Control_->Reports_.back();
  EXPECT_EQ(Brief.Held_, BundleVersion(1));
  EXPECT_TRUE(Brief.Brief_ && Brief.Grants_.empty());
  EXPECT_EQ(std::accumulate(Brief.InFlight_.begin(), Brief.InFlight_.end(), 0),
            1);
  // A leader that does not know the table is told all of it.
  Around.Control_->Reply_.SendFull_ = true;
  Around.advance(milliseconds(510));
  const wire::EntryReport &Report = Around.Control_->Reports_.back();
  EXPECT_FALSE(Report.Brief_);
  ASSERT_EQ(Report.Grants_.size(), 2U);
  EXPECT_EQ(Report.Grants_[0].InFlight_ + Report.Grants_[1].InFlight_, 1U);
}
