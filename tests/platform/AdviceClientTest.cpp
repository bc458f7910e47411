//===- AdviceClientTest.cpp - Tests against a fake advice service ---------===//

#include "platform/AdviceClient.h"

#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/IoPool.h"

#include <gtest/gtest.h>

#include <future>

using namespace tulipweir;
using namespace tulipweir::platform;
using namespace std::chrono_literals;

namespace {

/// Answers every request with Response_.
class AdviceClientTest : public ::testing::Test {
protected:
  AdviceClientTest()
      : Server_(Pool_.context(), makeSettings(),
                [this](const net::HttpRequest &Request,
                       const net::HttpRespond &Respond) {
                  Request_ = Request;
                  Respond(Response_);
                }),
        Http_(Pool_.context(), net::HttpClientSettings()) {
    auto Bound = Server_.start();
    EXPECT_TRUE(Bound);
    Service_ = Bound.value();
  }
  ~AdviceClientTest() override { Pool_.stop(); }

  static net::HttpServerSettings makeSettings() {
    net::HttpServerSettings Settings;
    Settings.Listen_ = {"127.0.0.1", 0};
    return Settings;
  }
  Outcome<jobs::Advice> ask() {
    AdviceClient Client(Http_, Service_, Time_);
    std::promise<Outcome<jobs::Advice>> Result;
    Client.ask({"0123456789abcdef", 2, 1}, {"i-1", "i-2"}, 30s,
               [&Result](const Outcome<jobs::Advice> &Answer) {
                 Result.set_value(Answer);
               });
    return Result.get_future().get();
  }

  const SystemClock Time_;
  net::IoPool Pool_{1};
  net::HttpRequest Request_;
  net::HttpResponse Response_;
  net::HttpServer Server_;
  net::HttpClient Http_;
  net::Endpoint Service_;
};

} // namespace

TEST_F(AdviceClientTest, AsksAndDecodesTheAnswer) {
  Response_ = net::HttpResponse::makeJson(
      200, R"({"good":[["i-2","c81e"]],"validMs":3000,"more":1})");
  const auto Result = ask();
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_EQ(Result.value(), (jobs::Advice{{{"i-2", "c81e"}}, 3s}));
  EXPECT_EQ(Request_.Method_, "POST");
  EXPECT_EQ(Request_.Path_, "/api/advise");
  EXPECT_EQ(Request_.Body_,
            R"({"step":"0123456789abcdef.2.1","workers":["i-1","i-2"]})");
}

TEST_F(AdviceClientTest, TooManyRequestsAreReportedAsOverfull) {
  Response_ = net::HttpResponse::makeJson(429, "{}");
  const auto Result = ask();
  ASSERT_FALSE(Result);
  EXPECT_EQ(Result.error().Code_, ErrorCode::Overfull);
}

TEST_F(AdviceClientTest, OtherResponsesAreErrors) {
  Response_ = net::HttpResponse::makeJson(500, "{}");
  EXPECT_EQ(ask().error().Code_, ErrorCode::Unavailable);
  for (const char *Body : {"", "[]", R"({"good":7})", R"({"good":[["i"]]})",
                           R"({"good":[[1,2]]})", R"({"validMs":-1})"}) {
    Response_ = net::HttpResponse::makeJson(200, Body);
    EXPECT_FALSE(ask()) << Body;
  }
}

TEST_F(AdviceClientTest, ServiceWithoutAddressIsAbsent) {
  EXPECT_FALSE(AdviceClient(Http_, {}, Time_).isAvailable());
  EXPECT_TRUE(AdviceClient(Http_, Service_, Time_).isAvailable());
}
