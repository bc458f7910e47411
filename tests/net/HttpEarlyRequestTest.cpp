//===- HttpEarlyRequestTest.cpp - Requests that come before the answer ----===//

#include "tulipweir/net/HttpServer.h"

#include "net/RawSocket.h"
#include "tulipweir/net/IoPool.h"

#include <gtest/gtest.h>
#include <future>
#include <mutex>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::net;

// The bytes of the second request lie in the input when the first is answered,
// and a read for the third is under way when the parser empties that input.
// The third one must not be taken for the second again.
TEST(HttpEarlyRequestTest, EachRequestIsHandedOnOnceAndWithItsOwnBytes) {
  IoPool Pool(2);
  std::mutex Mutex;
  std::vector<std::string> Paths;
  HttpRespond Held;
  std::promise<void> HasFirst;
  HttpServerSettings Settings;
  Settings.Listen_ = makeListenAddress();
  HttpServer Server(Pool.context(), Settings,
                    [&](const HttpRequest &Request, HttpRespond Respond) {
                      const std::lock_guard Lock(Mutex);
                      Paths.push_back(Request.Path_);
                      if (Paths.size() > 1)
                        return Respond(HttpResponse::makeText(200, "next"));
                      Held = std::move(Respond);
                      HasFirst.set_value();
                    });
  RawSocket Client = RawSocket::connect(Server.start().value());
  Client.send("GET /1 HTTP/1.1\r\n\r\n");
  HasFirst.get_future().wait();
  Client.send("GET /2 HTTP/1.1\r\n\r\n");
  // Lets the server read it early; were it read later, the test would only
  // prove less.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Held(HttpResponse::makeText(200, "first"));
  Client.read([](const std::string &Bytes) {
    return Bytes.find("next") != std::string::npos;
  });
  Client.send("GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  Client.readAll();
  Pool.stop();
  EXPECT_EQ(Paths, (std::vector<std::string>{"/1", "/2", "/3"}));
}
