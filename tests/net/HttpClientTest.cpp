#include "tulipweir/net/HttpClient.h"

#include "net/RawSocket.h"
#include "tulipweir/net/IoPool.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <future>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;

static constexpr auto Long = 10s;
static const std::string Whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nhi";

/// More than the sockets' buffers hold.
static std::string makeLongBody() {
  std::string Body;
  Body.resize(20'000'000, 'x');
  return Body;
}

namespace {

class HttpClientTest : public testing::Test {
protected:
  HttpClientTest() : Server_(RawSocket::listen()), To_(Server_.getAddress()) {
    Settings_.MaxBodyBytes_ = 1000;
    Settings_.MaxConnectionsPerPeer_ = 2;
  }
  ~HttpClientTest() override {
    Client_.reset();
    Pool_.stop();
  }

  std::future<HttpResult> send(HttpRequest Request, Duration Within = Long) {
    if (!Client_)
      Client_.emplace(Pool_.context(), Settings_);
    auto Done = std::make_shared<std::promise<HttpResult>>();
    Number_ = Client_->send(
        To_, std::move(Request), BootClock::now() + Within,
        [Done](HttpResult Result) { Done->set_value(std::move(Result)); });
    return Done->get_future();
  }
  static HttpRequest makePost(const std::string &Body) {
    return {"POST", "/p", "q=1", {{"X-In", "1"}}, Body};
  }
  /// Accepts, reads the request up to Mark and answers.
  RawSocket serve(const std::string &Answer, const std::string &Mark) {
    RawSocket Peer = Server_.accept();
    Seen_ = Peer.readUntil(Mark);
    Peer.send(Answer);
    return Peer;
  }
  static void expectEnd(const HttpResult &Result, HttpStage Stage,
                        ErrorCode Code) {
    EXPECT_EQ(Result.Stage_, Stage);
    ASSERT_FALSE(Result.Response_);
    EXPECT_EQ(Result.Response_.error().Code_, Code)
        << Result.Response_.error().Message_;
  }

  HttpClientSettings Settings_;
  IoPool Pool_{2};
  RawSocket Server_;
  Endpoint To_;
  std::optional<HttpClient> Client_;
  std::uint64_t Number_ = 0;
  std::string Seen_;
};

} // namespace

TEST_F(HttpClientTest, carriesTheWholeExchange) {
  auto Result = send(makePost("body"));
  RawSocket Peer = serve(Whole, "body");
  EXPECT_EQ(Seen_, "POST /p?q=1 HTTP/1.1\r\nHost: " + To_.toString() +
                       "\r\nX-In: 1\r\nContent-Length: 4\r\n\r\nbody");
  const HttpResult Got = Result.get();
  EXPECT_EQ(Got.Stage_, HttpStage::Answered);
  EXPECT_EQ(Got.Response_.value().Status_, 200U);
  EXPECT_EQ(Got.Response_.value().Body_, "hi");
  EXPECT_EQ(Got.Response_.value().findHeader("x-a"), "b");
}

TEST_F(HttpClientTest, keepsTheConnection) {
  auto First = send(makePost("one"));
  RawSocket Peer = serve(Whole, "one");
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  auto Second = send(makePost("two"));
  EXPECT_THAT(Peer.readUntil("two"), testing::StartsWith("POST /p"));
  Peer.send(Whole);
  EXPECT_EQ(Second.get().Stage_, HttpStage::Answered);
}

TEST_F(HttpClientTest, saysNothingSentWhenNobodyListens) {
  Server_.close();
  expectEnd(send(makePost("x")).get(), HttpStage::NothingSent,
            ErrorCode::Unavailable);
}

TEST_F(HttpClientTest, saysNothingSentWhenConnectingTakesTooLong) {
  Settings_.ConnectTimeout_ = 30ms;
  // One connection fills this listener; the system drops what follows.
  const RawSocket Full = RawSocket::listen(0, 0);
  To_ = Full.getAddress();
  const RawSocket Filling = RawSocket::connect(To_);
  expectEnd(send(makePost("x")).get(), HttpStage::NothingSent,
            ErrorCode::Unavailable);
  expectEnd(send(makePost("x"), 10ms).get(), HttpStage::NothingSent,
            ErrorCode::Timeout);
}

TEST_F(HttpClientTest, saysNothingSentWhenTheDeadlineHasPassed) {
  expectEnd(send(makePost("x"), -1s).get(), HttpStage::NothingSent,
            ErrorCode::Timeout);
  auto Kept = send(makePost("one"));
  RawSocket Peer = serve(Whole, "one");
  EXPECT_EQ(Kept.get().Stage_, HttpStage::Answered);
  expectEnd(send(makePost("two"), -1s).get(), HttpStage::NothingSent,
            ErrorCode::Timeout);
}

TEST_F(HttpClientTest, replacesAKeptConnectionThatClosedBeforeWriting) {
  auto First = send(makePost("one"));
  serve(Whole, "one").close();
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  auto Second = send(makePost("two"));
  RawSocket Peer = serve(Whole, "two");
  EXPECT_EQ(Second.get().Stage_, HttpStage::Answered);
}

TEST_F(HttpClientTest, saysNothingSentWhenTheKeptConnectionAndItsServerGone) {
  auto First = send(makePost("one"));
  RawSocket Peer = serve(Whole, "one");
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  Server_.close();
  Peer.close();
  expectEnd(send(makePost("two")).get(), HttpStage::NothingSent,
            ErrorCode::Unavailable);
}

namespace {

struct BadAnswer {
  std::string Name_;
  std::string Bytes_;
  ErrorCode Code_ = ErrorCode::Malformed;
};

class HttpClientAnswerTest : public HttpClientTest,
                             public testing::WithParamInterface<BadAnswer> {};

const BadAnswer BadAnswers[] = {
    {"none", ""},
    {"halfHeader", "HTTP/1.1 200 OK\r\nConte"},
    {"halfBody", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf"},
    {"halfChunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
    {"noLength", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmaybe whole"},
    {"noHttp", "SSH-2.0-OpenSSH_9\r\n\r\n"},
    {"onlyInterim", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"lengthAndChunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
    {"longBody",
     "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
     ErrorCode::TooLarge},
    {"absurdLength",
     "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nx",
     ErrorCode::TooLarge},
    {"longChunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" +
         std::string(0xfff, 'x'),
     ErrorCode::TooLarge},
    {"longHeader", "HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'x')},
};

} // namespace

TEST_P(HttpClientAnswerTest, isAnErrorAfterSending) {
  auto Result = send(makePost("body"));
  serve(GetParam().Bytes_, "body").close();
  expectEnd(Result.get(), HttpStage::Sent, GetParam().Code_);
}

INSTANTIATE_TEST_SUITE_P(All, HttpClientAnswerTest,
                         testing::ValuesIn(BadAnswers),
                         [](const auto &Info) { return Info.param.Name_; });

TEST_F(HttpClientTest, saysSentWhenTheServerClosesWithoutReadingAll) {
  auto Result = send(makePost(makeLongBody()));
  RawSocket Peer = Server_.accept();
  Peer.readBytes(100);
  Peer.reset();
  const HttpResult Got = Result.get();
  EXPECT_EQ(Got.Stage_, HttpStage::Sent);
  EXPECT_FALSE(Got.Response_);
}

TEST_F(HttpClientTest, takesAnAnswerThatComesBeforeAllWasRead) {
  auto Result = send(makePost(makeLongBody()));
  RawSocket Peer = Server_.accept();
  Peer.readBytes(100);
  Peer.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(Result.get().Response_.value().Status_, 413U);
}

TEST_F(HttpClientTest, givesUpAtTheDeadlineAndDropsTheLateAnswer) {
  auto Late = send(makePost("one"), 50ms);
  RawSocket Peer = serve("", "one");
  expectEnd(Late.get(), HttpStage::Sent, ErrorCode::Timeout);
  Peer.send(Whole);
  auto Next = send(makePost("two"));
  RawSocket Fresh =
      serve("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", "two");
  EXPECT_EQ(Next.get().Response_.value().Body_, "own");
}

TEST_F(HttpClientTest, neverTakesBytesThatNobodyAskedForAsAnAnswer) {
  auto First = send(makePost("one"));
  RawSocket Peer = serve(Whole + Whole, "one");
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  auto Second = send(makePost("two"));
  RawSocket Fresh =
      serve("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", "two");
  EXPECT_EQ(Second.get().Response_.value().Body_, "own");
}

TEST_F(HttpClientTest, cancelClosesTheConnection) {
  auto Result = send(makePost("one"));
  RawSocket Peer = serve("", "one");
  Client_->cancel(Number_);
  expectEnd(Result.get(), HttpStage::Sent, ErrorCode::Timeout);
  EXPECT_EQ(Peer.readAll(), "");
  Client_->cancel(Number_);
}

TEST_F(HttpClientTest, queuesBeyondTheConnectionLimit) {
  auto First = send(makePost("one"));
  RawSocket One = serve("", "one");
  auto Second = send(makePost("two"));
  RawSocket Two = serve("", "two");
  auto Third = send(makePost("three"));
  auto Expired = send(makePost("four"), 30ms);
  auto Cancelled = send(makePost("five"));
  expectEnd(Expired.get(), HttpStage::NothingSent, ErrorCode::Timeout);
  Client_->cancel(Number_);
  expectEnd(Cancelled.get(), HttpStage::NothingSent, ErrorCode::Timeout);
  One.send(Whole);
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  EXPECT_THAT(One.readUntil("three"), testing::StartsWith("POST /p"));
  One.send(Whole);
  EXPECT_EQ(Third.get().Stage_, HttpStage::Answered);
  // A lost connection makes room too.
  auto Fourth = send(makePost("six"));
  EXPECT_THAT(One.readUntil("six"), testing::StartsWith("POST /p"));
  auto Fifth = send(makePost("seven"));
  One.close();
  expectEnd(Fourth.get(), HttpStage::Sent, ErrorCode::Malformed);
  RawSocket Three = serve(Whole, "seven");
  EXPECT_EQ(Fifth.get().Stage_, HttpStage::Answered);
}

TEST_F(HttpClientTest, skipsInterimAnswersAndReadsChunks) {
  auto Result = send(makePost("one"));
  RawSocket Peer =
      serve("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
            "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            "one");
  EXPECT_EQ(Result.get().Response_.value().Body_, "abc");
}

TEST_F(HttpClientTest, readsNoBodyAfterHead) {
  auto Result = send({"HEAD", "/h", "", {}, ""});
  RawSocket Peer =
      serve("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "\r\n\r\n");
  EXPECT_EQ(Result.get().Stage_, HttpStage::Answered);
}

TEST_F(HttpClientTest, forgetClosesKeptConnections) {
  auto First = send(makePost("one"));
  RawSocket Peer = serve(Whole, "one");
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  Client_->forget(To_);
  EXPECT_EQ(Peer.readAll(), "");
}

TEST_F(HttpClientTest, closesIdleConnections) {
  Settings_.IdleTimeout_ = 30ms;
  auto First = send(makePost("one"));
  RawSocket Peer = serve(Whole, "one");
  EXPECT_EQ(First.get().Stage_, HttpStage::Answered);
  EXPECT_EQ(Peer.readAll(), "");
}

TEST_F(HttpClientTest, endsAllExchangesWhenDestroyed) {
  auto First = send(makePost("one"));
  RawSocket One = serve("", "one");
  auto Second = send(makePost("two"));
  RawSocket Two = serve("", "two");
  auto Third = send(makePost("three"));
  Client_.reset();
  expectEnd(First.get(), HttpStage::Sent, ErrorCode::Unavailable);
  expectEnd(Second.get(), HttpStage::Sent, ErrorCode::Unavailable);
  expectEnd(Third.get(), HttpStage::NothingSent, ErrorCode::Unavailable);
}

TEST_F(HttpClientTest, refusesNamesAsAddresses) {
  To_ = {"localhost", 80};
  expectEnd(send(makePost("x")).get(), HttpStage::NothingSent,
            ErrorCode::Unavailable);
}
