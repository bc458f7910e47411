//===- VmClientTest.cpp - Tests against a fake provider of VMs ------------===//

#include "platform/VmClient.h"

#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/IoPool.h"

#include <gtest/gtest.h>

#include <deque>
#include <future>

using namespace tulipweir;
using namespace tulipweir::platform;

namespace {

/// Answers requests with the given responses, in order.
class VmClientTest : public ::testing::Test {
protected:
  VmClientTest()
      : Server_(Pool_.context(), makeSettings(),
                [this](const net::HttpRequest &Request,
                       const net::HttpRespond &Respond) {
                  Requests_.push_back(Request);
                  const net::HttpResponse Next = Responses_.front();
                  Responses_.pop_front();
                  Respond(Next);
                }),
        Http_(Pool_.context(), net::HttpClientSettings()) {
    const auto Bound = Server_.start();
    EXPECT_TRUE(Bound);
    Client_ = std::make_unique<VmClient>(Http_, Bound.value(), "me", Time_);
  }
  ~VmClientTest() override { Pool_.stop(); }

  static net::HttpServerSettings makeSettings() {
    net::HttpServerSettings Settings;
    Settings.Listen_ = {"127.0.0.1", 0};
    return Settings;
  }
  void answer(unsigned Status, const std::string &Body) {
    Responses_.push_back(net::HttpResponse::makeJson(Status, Body));
  }
  Outcome<jobs::VmList> list() {
    std::promise<Outcome<jobs::VmList>> Result;
    Client_->listVms([&Result](const auto &Vms) { Result.set_value(Vms); });
    return Result.get_future().get();
  }
  Outcome<jobs::MaintenanceReply> maintain() {
    std::promise<Outcome<jobs::MaintenanceReply>> Result;
    Client_->maintain("m-1", 4, 12, [&Result](const auto &Reply) {
      Result.set_value(Reply);
    });
    return Result.get_future().get();
  }

  const SystemClock Time_;
  net::IoPool Pool_{1};
  std::deque<net::HttpResponse> Responses_;
  std::vector<net::HttpRequest> Requests_;
  net::HttpServer Server_;
  net::HttpClient Http_;
  std::unique_ptr<VmClient> Client_;
};

} // namespace

TEST_F(VmClientTest, ListsAllPages) {
  answer(200, R"({"machines":[{"machine":"m-1","pool":"p","state":"up",
                  "id":"i-1"}],"nextToken":"a b"})");
  answer(200, R"({"machines":[{"machine":"m-2","pool":"p","state":"upkeep",
                  "id":null},{"machine":"m-3","state":"moving"},
                  {"machine":"m-4","state":"down"}],"nextToken":null})");
  const auto Result = list();
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_TRUE(Result.value().IsComplete_);
  EXPECT_EQ(
      Result.value().Vms_,
      (std::vector<jobs::VmInfo>{{"m-1", "p", jobs::VmState::Up, "i-1"},
                                 {"m-2", "p", jobs::VmState::Maintenance, ""},
                                 {"m-3", "", jobs::VmState::Moving, ""},
                                 {"m-4", "", jobs::VmState::Down, ""}}));
  ASSERT_EQ(Requests_.size(), 2U);
  EXPECT_EQ(Requests_[0].Path_, "/api/machines");
  EXPECT_EQ(Requests_[1].findQuery("pageToken"), "a b");
}

// Guards against a fleet that is too large for a fixed number of pages.
TEST_F(VmClientTest, AListMayHaveHundredsOfPages) {
  for (int I = 0; I < 300; ++I) {
    std::string Page = R"({"machines":[{"machine":"m-)" + std::to_string(I) +
                       R"(","pool":"p","state":"up","id":"i"}])";
    Page += I < 299 ? R"(,"nextToken":"x"})" : "}";
    answer(200, Page);
  }
  const auto Result = list();
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_EQ(Result.value().Vms_.size(), 300U);
}

// Guards against a provider that names the same page for ever.
TEST_F(VmClientTest, AListWithoutNewVmsEnds) {
  for (int I = 0; I < 20; ++I)
    answer(200, R"({"machines":[{"machine":"m-1","pool":"p","state":"up",
                    "id":"i"}],"nextToken":"x"})");
  EXPECT_FALSE(list());
  EXPECT_LT(Requests_.size(), 20U);
}

TEST_F(VmClientTest, UnreadableListIsAnError) {
  answer(429, "{}");
  EXPECT_FALSE(list());
  answer(200, R"({"machines":7})");
  EXPECT_FALSE(list());
  answer(200, "no JSON");
  EXPECT_FALSE(list());
}

TEST_F(VmClientTest, RowWithoutVmMakesTheListIncomplete) {
  answer(200, R"({"machines":[{"state":"up"}],"nextToken":"b"})");
  answer(200, R"({"machines":[{"machine":"m-1","pool":"p","state":"up",
                  "id":"i-1"}]})");
  const auto Result = list();
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_FALSE(Result.value().IsComplete_);
  EXPECT_EQ(Result.value().Vms_, (std::vector<jobs::VmInfo>{
                                     {"m-1", "p", jobs::VmState::Up, "i-1"}}));
}

TEST_F(VmClientTest, OrderCarriesHolderAndFencingToken) {
  answer(200, "{}");
  const auto Result = maintain();
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result.value(), jobs::MaintenanceReply::Begun);
  ASSERT_EQ(Requests_.size(), 1U);
  EXPECT_EQ(Requests_[0].Method_, "POST");
  EXPECT_EQ(Requests_[0].Path_, "/api/machine-upkeep");
  EXPECT_EQ(Requests_[0].findHeader("X-Lease-Holder"), "me");
  EXPECT_EQ(Requests_[0].findHeader("X-Fencing-Token"), "12");
  EXPECT_EQ(Requests_[0].Body_, R"({"machine":"m-1","wave":4})");
}

TEST_F(VmClientTest, RefusalReasonsAreDistinguished) {
  const std::pair<const char *, jobs::MaintenanceReply> Reasons[] = {
      {"fence", jobs::MaintenanceReply::Fenced},
      {"busy", jobs::MaintenanceReply::Busy},
      {"wave", jobs::MaintenanceReply::NotInWave}};
  for (const auto &[Word, Expected] : Reasons) {
    answer(409, std::string(R"({"reason":")") + Word + "\"}");
    const auto Result = maintain();
    ASSERT_TRUE(Result) << Word;
    EXPECT_EQ(Result.value(), Expected) << Word;
  }
  answer(400, "{}");
  EXPECT_EQ(maintain().value(), jobs::MaintenanceReply::NoSuchVm);
}

TEST_F(VmClientTest, OnlyOrdersWithoutEffectAreReportedAsSuch) {
  answer(429, "{}");
  EXPECT_EQ(maintain().error().Code_, ErrorCode::Overfull);
  answer(503, "{}");
  EXPECT_EQ(maintain().error().Code_, ErrorCode::Timeout);
  answer(409, R"({"reason":"new"})");
  EXPECT_EQ(maintain().error().Code_, ErrorCode::Malformed);
  Client_ = std::make_unique<VmClient>(Http_, net::Endpoint{"127.0.0.1", 1},
                                       "me", Time_);
  EXPECT_EQ(maintain().error().Code_, ErrorCode::Unavailable);
}
