#include "tulipweir/net/Endpoint.h"

#include "tulipweir/net/Http.h"
#include "tulipweir/net/IoPool.h"

#include <gtest/gtest.h>
#include <atomic>
#include <future>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;

TEST(EndpointTest, readsWhatItWrites) {
  for (const char *Text : {"127.0.0.1:0", "10.1.2.3:65535", "[::1]:80"})
    EXPECT_EQ(Endpoint::parse(Text).value().toString(), Text);
}

TEST(EndpointTest, refusesAllElse) {
  for (const char *Text :
       {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:x", "1.2.3.4:65536",
        "1.2.3.4:-1", "1.2.3.4:80 ", " 1.2.3.4:80", "localhost:80", "::1:80",
        "[1.2.3.4]:80", "[::1:80", "1.2.3:80", "256.0.0.1:80"})
    EXPECT_EQ(Endpoint::parse(Text).error().Code_, ErrorCode::InvalidArgument)
        << Text;
}

TEST(HttpTest, decodesQueries) {
  const HttpRequest Request{
      "GET", "/", "a=1&b%20c=x%2fy+z&bad=%g1%4&a=2&=&flag", {}, ""};
  EXPECT_EQ(Request.findQuery("a"), "1");
  EXPECT_EQ(Request.findQuery("b c"), "x/y z");
  EXPECT_EQ(Request.findQuery("bad"), "%g1%4");
  EXPECT_EQ(Request.findQuery("flag"), "");
  EXPECT_EQ(Request.findQuery("none"), "");
}

TEST(HttpTest, findsHeadersInAnyCase) {
  const HttpResponse Response{200, {{"X-A", "1"}, {"x-a", "2"}}, ""};
  EXPECT_EQ(Response.findHeader("x-A"), "1");
  EXPECT_EQ(Response.findHeader("x"), "");
}

TEST(IoPoolTest, repeatsWithoutOverlapAndStops) {
  std::atomic<int> Runs = 0;
  std::atomic<int> Inside = 0;
  std::atomic<bool> Overlapped = false;
  std::promise<void> Enough;
  IoPool Pool(4);
  Pool.runEvery(1ms, [&] {
    Overlapped = Overlapped || ++Inside > 1;
    std::this_thread::sleep_for(3ms);
    --Inside;
    if (++Runs == 5)
      Enough.set_value();
  });
  EXPECT_EQ(Enough.get_future().wait_for(10s), std::future_status::ready);
  Pool.stop();
  EXPECT_FALSE(Overlapped);
  const int After = Runs;
  std::this_thread::sleep_for(10ms);
  EXPECT_EQ(Runs, After);
}

TEST(IoPoolTest, runsOnceAfterADelay) {
  std::promise<void> Ran;
  IoPool Pool(1);
  Pool.runAfter(1ms, [&] { Ran.set_value(); });
  EXPECT_EQ(Ran.get_future().wait_for(10s), std::future_status::ready);
}
