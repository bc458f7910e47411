//===- HttpOperatorApiTest.cpp --------------------------------------------===//

#include "tulipweir/ctl/HttpOperatorApi.h"
#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/IoPool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::ctl;

using std::chrono::milliseconds;

namespace {

/// An entry on loopback that answers as it is told.
class FakeEntry {
public:
  /// Status 0: takes the request and never answers.
  explicit FakeEntry(unsigned Status)
      : Status_(Status), Pool_(1),
        Server_(Pool_.context(), makeSettings(),
                [this](net::HttpRequest Request, net::HttpRespond Respond) {
                  handle(std::move(Request), std::move(Respond));
                }),
        Address_(Server_.start().value()) {}
  ~FakeEntry() { Pool_.stop(); }

  const net::Endpoint &address() const { return Address_; }
  unsigned count() const { return Count_; }
  net::HttpRequest last() const {
    const std::lock_guard Lock(Mutex_);
    return Last_;
  }
  void setStatus(unsigned Status) { Status_ = Status; }

private:
  static net::HttpServerSettings makeSettings() {
    net::HttpServerSettings Settings;
    Settings.Listen_ = {"127.0.0.1", 0};
    return Settings;
  }
  void handle(net::HttpRequest Request, net::HttpRespond Respond) {
    const std::lock_guard Lock(Mutex_);
    Last_ = std::move(Request);
    ++Count_;
    if (Status_ == 0)
      return Kept_.push_back(std::move(Respond));
    Respond(net::HttpResponse::makeJson(Status_, "{}"));
  }

  std::atomic<unsigned> Status_;
  std::atomic<unsigned> Count_ = 0;
  mutable std::mutex Mutex_;
  net::HttpRequest Last_;
  std::vector<net::HttpRespond> Kept_;
  net::IoPool Pool_;
  net::HttpServer Server_;
  net::Endpoint Address_;
};

ApiSettings makeSettings(const std::vector<net::Endpoint> &Entries,
                         milliseconds Timeout = milliseconds(5000)) {
  ApiSettings Settings;
  Settings.Entries_ = Entries;
  Settings.Timeout_ = Timeout;
  Settings.AnswerTimeout_ = milliseconds(100);
  Settings.Pause_ = milliseconds(1);
  return Settings;
}

const ApiRequest Post{"POST", "/jobs", "a=b", "{\"job\":1}", {}};

} // namespace

TEST(HttpOperatorApiTest, SendsBelowTheOperatorsPrefix) {
  FakeEntry Entry(200);
  const SystemClock Time;
  HttpOperatorApi Api(makeSettings({Entry.address()}), Time);
  EXPECT_EQ(Api.call(Post).value(), (ApiAnswer{200, "{}"}));
  EXPECT_EQ(Entry.last().Method_, "POST");
  EXPECT_EQ(Entry.last().Path_, "/v1/operator/jobs");
  EXPECT_EQ(Entry.last().Query_, "a=b");
  EXPECT_EQ(Entry.last().Body_, "{\"job\":1}");
}

TEST(HttpOperatorApiTest, ALostAnswerIsAskedAgainOfTheNextEntryWhichIsKept) {
  FakeEntry Silent(0);
  FakeEntry Good(200);
  const SystemClock Time;
  HttpOperatorApi Api(makeSettings({Silent.address(), Good.address()}), Time);
  EXPECT_EQ(Api.call(Post).value().Status_, 200U);
  EXPECT_EQ(Silent.count(), 1U);
  EXPECT_EQ(Api.call(Post).value().Status_, 200U);
  EXPECT_EQ(Silent.count(), 1U);
  EXPECT_EQ(Good.count(), 2U);
}

TEST(HttpOperatorApiTest, AnEntryThatIsNotThereIsPassedOver) {
  FakeEntry Good(409);
  net::Endpoint Nobody;
  {
    const FakeEntry Gone(200);
    Nobody = Gone.address();
  }
  const SystemClock Time;
  HttpOperatorApi Api(makeSettings({Nobody, Good.address()}), Time);
  EXPECT_EQ(Api.call(Post).value().Status_, 409U);
}

TEST(HttpOperatorApiTest, WhileNobodyCanDecideItGoesOnTryingUntilItsTime) {
  FakeEntry Undecided(503);
  FakeEntry Other(504);
  const SystemClock Time;
  HttpOperatorApi Api(
      makeSettings({Undecided.address(), Other.address()}, milliseconds(300)),
      Time);
  EXPECT_GE(Api.call(Post).value().Status_, 503U);
  EXPECT_GT(Undecided.count(), 1U);
  EXPECT_GT(Other.count(), 1U);
  Other.setStatus(200);
  EXPECT_EQ(Api.call(Post).value().Status_, 200U);
}

TEST(HttpOperatorApiTest, WithoutAnyAnswerTheEntriesAreNamed) {
  FakeEntry Silent(0);
  const SystemClock Time;
  HttpOperatorApi Api(makeSettings({Silent.address()}, milliseconds(50)), Time);
  const auto Result = Api.call(Post);
  ASSERT_FALSE(Result.has_value());
  EXPECT_NE(Result.error().Message_.find(Silent.address().toString()),
            std::string::npos);
}

TEST(HttpOperatorApiTest, NamesAreEscapedForPaths) {
  EXPECT_EQ(escapeStep("a b/c%\xff~"), "a%20b%2Fc%25%FF~");
}
