#include "tulipweir/net/HttpServer.h"

#include "net/RawSocket.h"
#include "tulipweir/net/IoPool.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <atomic>
#include <future>
#include <mutex>
#include <random>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

static constexpr auto NoHandler = [](const HttpRequest &, const HttpRespond &) {
};

namespace {

class HttpServerTest : public testing::Test {
protected:
  HttpServerTest() {
    Settings_.Listen_ = makeListenAddress();
    Settings_.MaxHeaderBytes_ = 1024;
    Settings_.MaxBodyBytes_ = 10'000;
  }
  ~HttpServerTest() override {
    Pool_.stop();
    Server_.reset();
  }

  RawSocket start(HttpHandler Handler) {
    Server_.emplace(Pool_.context(), Settings_, std::move(Handler));
    Address_ = Server_->start().value();
    return RawSocket::connect(Address_);
  }
  RawSocket startEcho() {
    return start([](const HttpRequest &Request, const HttpRespond &Respond) {
      Respond(HttpResponse::makeText(
          200, Request.Method_ + " " + Request.Path_ + " " + Request.Body_));
    });
  }
  /// Sends the bytes and returns all that comes until the server closes.
  std::string exchange(const std::string &Bytes) {
    RawSocket Client = startEcho();
    Client.send(Bytes);
    return Client.readAll();
  }

  HttpServerSettings Settings_;
  IoPool Pool_{2};
  std::optional<HttpServer> Server_;
  Endpoint Address_;
};

} // namespace

TEST_F(HttpServerTest, handsTheWholeRequestOn) {
  std::promise<HttpRequest> Seen;
  RawSocket Client =
      start([&](const HttpRequest &Request, const HttpRespond &Respond) {
        Seen.set_value(Request);
        Respond({201, {{"X-One", "1"}}, "made"});
      });
  Client.send("POST /a/b?x=%41+b&y HTTP/1.1\r\nHost: h\r\nX-Two: 2\r\n"
              "Content-Length: 4\r\nConnection: close\r\n\r\nbody");
  const std::string Answer = Client.readAll();
  const HttpRequest Request = Seen.get_future().get();
  EXPECT_EQ(Request.Method_, "POST");
  EXPECT_EQ(Request.Path_, "/a/b");
  EXPECT_EQ(Request.findQuery("x"), "A b");
  EXPECT_EQ(Request.findQuery("y"), "");
  EXPECT_EQ(Request.findHeader("x-tWO"), "2");
  EXPECT_EQ(Request.Body_, "body");
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 201 Created\r\nX-One: 1\r\n"));
  EXPECT_THAT(Answer, HasSubstr("Content-Length: 4\r\n"));
  EXPECT_THAT(Answer, testing::EndsWith("\r\n\r\nmade"));
}

TEST_F(HttpServerTest, answersPipelinedRequestsInOrder) {
  std::string Bytes;
  for (int I = 0; I < 20; ++I)
    Bytes += "GET /" + std::to_string(I) + "n HTTP/1.1\r\n\r\n";
  const std::string Answers =
      exchange(Bytes + "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
  std::size_t At = 0;
  for (int I = 0; I < 20; ++I) {
    At = Answers.find("GET /" + std::to_string(I) + "n ", At);
    ASSERT_NE(At, std::string::npos) << I;
  }
  EXPECT_NE(Answers.find("GET /last", At), std::string::npos);
}

TEST_F(HttpServerTest, readsChunkedBodies) {
  EXPECT_THAT(exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                       "Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                       "0\r\n\r\n"),
              HasSubstr("POST / abcde"));
}

TEST_F(HttpServerTest, leavesTheBodyOfAHeadAnswerOut) {
  EXPECT_THAT(exchange("HEAD /x HTTP/1.1\r\nConnection: close\r\n\r\n"),
              testing::AllOf(HasSubstr("Content-Length: 8\r\n"),
                             testing::EndsWith("\r\n\r\n")));
}

TEST_F(HttpServerTest, tellsAWaitingClientToGoOn) {
  RawSocket Client = startEcho();
  Client.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(Client.readUntil("\r\n\r\n"), StartsWith("HTTP/1.1 100 "));
  Client.send("hi");
  EXPECT_THAT(Client.readAll(), HasSubstr("POST / hi"));
}

namespace {

struct BadRequest {
  std::string Name_;
  std::string Bytes_;
  std::string Status_;
};

class HttpServerRefusalTest : public HttpServerTest,
                              public testing::WithParamInterface<BadRequest> {};

const BadRequest BadRequests[] = {
    {"noHttp", "\x16\x03\x01 hello\r\n\r\n", "400"},
    {"badVersion", "GET / HTTP/9.9\r\n\r\n", "400"},
    {"badLength", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
    {"twoLengths",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     "400"},
    {"lengthAndChunks",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"badChunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     "400"},
    {"noPath", "GET http://h/ HTTP/1.1\r\n\r\n", "400"},
    {"longHeader",
     "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", "431"},
    {"longTarget", "GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n",
     "431"},
    {"endlessHeader", std::string(3000, 'x'), "431"},
    {"longBody",
     "POST / HTTP/1.1\r\nContent-Length: 10001\r\n\r\n" +
         std::string(10'001, 'x'),
     "413"},
    {"absurdBody",
     "POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\nx", "413"},
    {"longChunks",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" +
         std::string(0xffff, 'x'),
     "413"},
    {"slowHeader", "GET / HTTP/1.1\r\nX-Half", "408"},
    {"slowBody", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", "408"},
};

} // namespace

TEST_P(HttpServerRefusalTest, answersItselfAndCloses) {
  Settings_.ReadTimeout_ = 100ms;
  const std::string Answer = exchange(GetParam().Bytes_);
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 " + GetParam().Status_ + " "));
  EXPECT_THAT(Answer, HasSubstr("Connection: close\r\n"));
  EXPECT_THAT(Answer, HasSubstr("X-Tulipweir-Outcome: not-run\r\n"));
  EXPECT_THAT(Answer, HasSubstr("\r\n\r\n{\"outcome\":\"not-run\""));
  EXPECT_EQ(Server_->getInProgress(), 0U);
}

INSTANTIATE_TEST_SUITE_P(All, HttpServerRefusalTest,
                         testing::ValuesIn(BadRequests),
                         [](const auto &Info) { return Info.param.Name_; });

TEST_F(HttpServerTest, closesIdleConnections) {
  Settings_.ReadTimeout_ = 40ms;
  Settings_.IdleTimeout_ = 50ms;
  EXPECT_EQ(exchange(""), "");
  EXPECT_TRUE(waitUntil([&] { return Server_->getConnections() == 0; }));
}

TEST_F(HttpServerTest, refusesConnectionsOverTheLimit) {
  Settings_.MaxConnections_ = 1;
  RawSocket First = startEcho();
  ASSERT_TRUE(waitUntil([&] { return Server_->getConnections() == 1; }));
  const std::string Answer = RawSocket::connect(Address_).readAll();
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(Answer, HasSubstr("Retry-After: 1\r\n"));
  First.send("GET /still HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(First.readAll(), HasSubstr("GET /still"));
}

TEST_F(HttpServerTest, takesOneAnswerARequestFromAnyThread) {
  std::mutex Lock;
  std::vector<HttpRespond> Given;
  RawSocket Client = start([&](const HttpRequest &, HttpRespond Respond) {
    const std::lock_guard Hold(Lock);
    Given.push_back(std::move(Respond));
  });
  const auto WaitForRequest = [&](std::size_t Count) {
    return waitUntil([&] {
      const std::lock_guard Hold(Lock);
      return Given.size() == Count;
    });
  };
  Client.send("GET /1 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(WaitForRequest(1));
  EXPECT_EQ(Server_->getInProgress(), 1U);
  Given[0](HttpResponse::makeText(200, "first."));
  EXPECT_THAT(Client.readUntil("first."), HasSubstr("200 OK"));
  Client.send("GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(WaitForRequest(2));
  // A second answer to the first request must not answer the second one.
  Given[0](HttpResponse::makeText(200, "again."));
  Given[1](HttpResponse::makeText(200, "second."));
  EXPECT_THAT(Client.readAll(),
              testing::AllOf(HasSubstr("second."), Not(HasSubstr("again."))));
}

TEST_F(HttpServerTest, letsARefusedClientFinishSending) {
  RawSocket Client = startEcho();
  Client.send("POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n");
  EXPECT_THAT(Client.readUntil("}"), StartsWith("HTTP/1.1 413 "));
  // A closed socket would answer the first by a reset. The pauses only give a
  // wrong server the time to show it.
  for (int Part = 0; Part < 3; ++Part) {
    std::this_thread::sleep_for(20ms);
    EXPECT_TRUE(Client.send("more"));
  }
  Client.shutdownSend();
  EXPECT_EQ(Client.readAll(), "");
}

TEST_F(HttpServerTest, keepsNothingOfAClientThatLeftUnanswered) {
  std::mutex Lock;
  std::vector<HttpRespond> Kept;
  RawSocket Client = start([&](const HttpRequest &, HttpRespond Respond) {
    const std::lock_guard Hold(Lock);
    Kept.push_back(std::move(Respond));
  });
  Client.send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(waitUntil([&] { return Server_->getInProgress() == 1; }));
  Client.reset();
  EXPECT_TRUE(waitUntil([&] { return Server_->getConnections() == 0; }));
  EXPECT_EQ(Server_->getInProgress(), 0U);
  Kept.at(0)(HttpResponse::makeText(200, "too late"));
}

TEST_F(HttpServerTest, answersAClientThatOnlyStoppedSending) {
  std::promise<HttpRespond> Given;
  RawSocket Client = start([&](const HttpRequest &, HttpRespond Respond) {
    Given.set_value(std::move(Respond));
  });
  Client.send("GET / HTTP/1.1\r\n\r\n");
  Client.shutdownSend();
  const HttpRespond Respond = Given.get_future().get();
  Respond(HttpResponse::makeText(200, "whole"));
  EXPECT_THAT(Client.readAll(), testing::EndsWith("whole"));
}

TEST_F(HttpServerTest, answersAllThatCameBeforeAClientStoppedSending) {
  for (int Round = 0; Round < 50; ++Round) {
    RawSocket Client = startEcho();
    Client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /ha");
    Client.shutdownSend();
    const std::string Answers = Client.readAll();
    EXPECT_THAT(Answers, HasSubstr("GET /1"));
    EXPECT_THAT(Answers, HasSubstr("GET /2"));
  }
}

TEST_F(HttpServerTest, closesAfterAnAnswerDuringWhichTheClientStoppedSending) {
  RawSocket Client = start([](const HttpRequest &, const HttpRespond &Respond) {
    Respond(HttpResponse::makeText(200, std::string(900'000, 'x')));
  });
  std::string Many;
  for (int Count = 0; Count < 30; ++Count)
    Many += "GET / HTTP/1.1\r\n\r\n";
  // More than the sockets hold, so that the server is still writing then.
  Client.send(Many);
  const std::size_t Before = Client.readBytes(1000).size();
  Client.shutdownSend();
  EXPECT_GT(Before + Client.readAll().size(), 30 * 900'000U);
}

TEST_F(HttpServerTest, closesOnceAClientThatStoppedSendingWaitedTooLong) {
  Settings_.ReadTimeout_ = 50ms;
  std::mutex Lock;
  std::vector<HttpRespond> Kept;
  RawSocket Client = start([&](const HttpRequest &, HttpRespond Respond) {
    const std::lock_guard Hold(Lock);
    Kept.push_back(std::move(Respond));
  });
  Client.send("GET / HTTP/1.1\r\n\r\n");
  Client.shutdownSend();
  EXPECT_EQ(Client.readAll(), "");
  EXPECT_TRUE(waitUntil([&] { return Server_->getConnections() == 0; }));
}

TEST_F(HttpServerTest, answersForAHandlerThatDropsOrThrows) {
  RawSocket Client = start([](const HttpRequest &Request, const HttpRespond &) {
    if (Request.Path_ == "/throw")
      throw std::runtime_error("broken");
  });
  Client.send("GET /drop HTTP/1.1\r\n\r\n");
  const std::string Answer = Client.readUntil("}");
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 500 "));
  EXPECT_THAT(Answer, HasSubstr("X-Tulipweir-Outcome: unknown\r\n"));
  Client.send("GET /throw HTTP/1.1\r\n\r\n");
  EXPECT_THAT(Client.readUntil("}"), StartsWith("HTTP/1.1 500 "));
}

TEST_F(HttpServerTest, leavesHeadersOutThatWouldSplitAnAnswer) {
  RawSocket Client = start([](const HttpRequest &, const HttpRespond &Respond) {
    Respond({200, {{"X", "a\r\nEvil: 1"}, {"Content-Length", "99"}}, "b"});
  });
  Client.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(Client.readAll(),
              testing::AllOf(Not(HasSubstr("Evil")), Not(HasSubstr("99"))));
}

TEST_F(HttpServerTest, drainCutsNothingOff) {
  std::promise<HttpRespond> Given;
  RawSocket Busy = start([&](const HttpRequest &Request, HttpRespond Respond) {
    if (Request.Path_ != "/slow")
      return Respond(HttpResponse::makeText(200, "late but served"));
    Given.set_value(std::move(Respond));
  });
  RawSocket Half = RawSocket::connect(Address_);
  RawSocket Idle = RawSocket::connect(Address_);
  Busy.send("GET /slow HTTP/1.1\r\n\r\n");
  Half.send("POST /half HTTP/1.1\r\nContent-Length: 4\r\n\r\nha");
  const HttpRespond Respond = Given.get_future().get();
  ASSERT_TRUE(waitUntil([&] { return Server_->getConnections() == 3; }));
  // What the system accepted before the drain is served too.
  RawSocket Fresh = RawSocket::connect(Address_);
  Fresh.send("GET /fresh HTTP/1.1\r\n\r\n");

  std::atomic<bool> Done = false;
  Server_->drain([&] { Done = true; });
  EXPECT_EQ(Idle.readAll(), "");
  EXPECT_THAT(Fresh.readAll(), testing::EndsWith("late but served"));
  Half.send("lf");
  EXPECT_THAT(Half.readAll(), testing::EndsWith("late but served"));
  EXPECT_FALSE(Done);
  Respond(HttpResponse::makeText(200, std::string(1'000'000, 'z') + "end"));
  const std::string Answer = Busy.readAll();
  EXPECT_THAT(Answer, HasSubstr("Connection: close\r\n"));
  EXPECT_THAT(Answer, testing::EndsWith("zend"));
  Busy.close();
  Half.close();
  Fresh.close();
  EXPECT_TRUE(waitUntil([&] { return Done.load(); }));
  EXPECT_FALSE(RawSocket::connect(Address_).send("x") &&
               Server_->getConnections() > 0);
}

TEST_F(HttpServerTest, drainWithoutConnectionsEndsForAllWhoAsk) {
  start(NoHandler).close();
  std::promise<void> First;
  std::promise<void> Second;
  Server_->drain([&] { First.set_value(); });
  Server_->drain([&] { Second.set_value(); });
  EXPECT_EQ(First.get_future().wait_for(10s), std::future_status::ready);
  EXPECT_EQ(Second.get_future().wait_for(10s), std::future_status::ready);
}

TEST_F(HttpServerTest, survivesRandomBytes) {
  Settings_.ReadTimeout_ = 20ms;
  RawSocket Check = startEcho();
  std::mt19937 Random(5);
  for (int Round = 0; Round < 100; ++Round) {
    std::string Bytes = "POST /f HTTP/1.1\r\nContent-Length: 5\r\n\r\nfuzzy";
    for (int Flips = Round % 7; Flips >= 0; --Flips)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    RawSocket::connect(Address_).send(Bytes.substr(0, Random() % 60));
  }
  EXPECT_TRUE(waitUntil([&] { return Server_->getInProgress() == 0; }));
  RawSocket Client = RawSocket::connect(Address_);
  Client.send("GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(Client.readAll(), HasSubstr("GET /alive"));
}
