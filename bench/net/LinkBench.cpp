// Calls over a link and requests over HTTP beside the same bytes over bare
// sockets, in one run: compare the lines with each other, not with other runs.

#include "tulipweir/net/HttpClient.h"
#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Link.h"

#include <arpa/inet.h>
#include <benchmark/benchmark.h>
#include <condition_variable>
#include <mutex>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;

static constexpr std::size_t BodyBytes = 200;
static const Endpoint Loopback{"127.0.0.1", 0};

namespace {

/// Lets a window of operations be in flight at a time.
class Window {
public:
  explicit Window(int Size) : Free_(Size), Size_(Size) {}

  void take() {
    std::unique_lock Hold(Lock_);
    Changed_.wait(Hold, [this] { return Free_ > 0; });
    --Free_;
  }
  void give() {
    const std::lock_guard Hold(Lock_);
    ++Free_;
    Changed_.notify_one();
  }
  void waitForAll() {
    std::unique_lock Hold(Lock_);
    Changed_.wait(Hold, [this] { return Free_ == Size_; });
  }

private:
  std::mutex Lock_;
  std::condition_variable Changed_;
  int Free_;
  const int Size_;
};

} // namespace

static void setNoDelay(int Handle) {
  const int On = 1;
  ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

static void receiveAll(int Handle, char *To, std::size_t Size) {
  while (Size > 0) {
    const ssize_t Got = ::recv(Handle, To, Size, 0);
    if (Got <= 0)
      return;
    To += Got;
    Size -= static_cast<std::size_t>(Got);
  }
}

static void echoUntilClosed(int Listener) {
  const int Peer = ::accept(Listener, nullptr, nullptr);
  setNoDelay(Peer);
  char Buffer[BodyBytes];
  for (ssize_t Got = 0; (Got = ::recv(Peer, Buffer, sizeof(Buffer), 0)) > 0;)
    ::send(Peer, Buffer, static_cast<std::size_t>(Got), MSG_NOSIGNAL);
  ::close(Peer);
}

/// One round trip at a time over a bare socket, a thread on each side.
static void runRawSocket(benchmark::State &State) {
  const int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Plain = reinterpret_cast<sockaddr *>(&Address);
  if (::bind(Listener, Plain, Size) != 0 || ::listen(Listener, 1) != 0 ||
      ::getsockname(Listener, Plain, &Size) != 0)
    return State.SkipWithError("cannot listen");
  std::thread Echo(echoUntilClosed, Listener);
  const int Client = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(Client, Plain, Size) != 0)
    State.SkipWithError("cannot connect");
  setNoDelay(Client);
  char Buffer[BodyBytes] = {};
  for (auto Each : State) {
    ::send(Client, Buffer, sizeof(Buffer), MSG_NOSIGNAL);
    receiveAll(Client, Buffer, sizeof(Buffer));
  }
  ::close(Client);
  Echo.join();
  ::close(Listener);
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(runRawSocket)->UseRealTime();

/// Calls over a link, as many in flight as the argument says.
static void runLinkCalls(benchmark::State &State) {
  LinkSettings Settings;
  Settings.Secret_ = "0123456789abcdef";
  IoPool ServerPool(1);
  IoPool ClientPool(1);
  LinkServer Server(ServerPool.context(), Loopback, Settings,
                    [](wire::MessageKind, std::string Body, LinkReply Reply) {
                      Reply(std::move(Body));
                    });
  LinkClient Client(ClientPool.context(), Server.start().value(), Settings);
  Client.start();
  while (!Client.isConnected())
    std::this_thread::sleep_for(1ms);
  Window Flight(static_cast<int>(State.range(0)));
  for (auto Each : State) {
    Flight.take();
    Client.call(wire::MessageKind::OperatorCall, std::string(BodyBytes, 'x'),
                10s, [&](const Outcome<std::string> &) { Flight.give(); });
  }
  Flight.waitForAll();
  State.SetItemsProcessed(State.iterations());
  Client.stop();
  Server.stop();
}
BENCHMARK(runLinkCalls)->Arg(1)->Arg(64)->UseRealTime();

static HttpRequest makeRequest() {
  return {"POST",
          "/v1/services/a/b",
          "",
          {{"X-Tulipweir-Request-Id", "0123456789abcdef"},
           {"X-Tulipweir-Deadline-Ms", "1000"}},
          std::string(BodyBytes, 'x')};
}

static void measureHttp(benchmark::State &State, IoPool &Pool,
                        const Endpoint &To) {
  HttpClient Client(Pool.context(), {});
  Window Flight(static_cast<int>(State.range(0)));
  for (auto Each : State) {
    Flight.take();
    Client.send(To, makeRequest(), BootClock::now() + 10s,
                [&](const HttpResult &Result) {
                  if (!Result.Response_)
                    State.SkipWithError("a request failed");
                  Flight.give();
                });
  }
  Flight.waitForAll();
  State.SetItemsProcessed(State.iterations());
}

static void answerSame(HttpRequest Request, const HttpRespond &Respond) {
  Respond(HttpResponse::makeText(200, std::move(Request.Body_)));
}

/// Requests straight to a server.
static void runHttpDirect(benchmark::State &State) {
  IoPool ServerPool(1);
  IoPool ClientPool(1);
  HttpServerSettings Settings;
  Settings.Listen_ = Loopback;
  HttpServer Server(ServerPool.context(), Settings, answerSame);
  measureHttp(State, ClientPool, Server.start().value());
}
BENCHMARK(runHttpDirect)->Arg(1)->Arg(32)->UseRealTime();

/// Requests through a server that only passes them on: the least that an
/// entry can cost.
static void runHttpPassedOn(benchmark::State &State) {
  IoPool ServerPool(1);
  IoPool MiddlePool(1);
  IoPool ClientPool(1);
  HttpServerSettings Settings;
  Settings.Listen_ = Loopback;
  HttpServer Server(ServerPool.context(), Settings, answerSame);
  const Endpoint Behind = Server.start().value();
  HttpClient Client(MiddlePool.context(), {});
  HttpServer Middle(MiddlePool.context(), Settings,
                    [&](HttpRequest Request, HttpRespond Respond) {
                      Client.send(
                          Behind, std::move(Request), BootClock::now() + 10s,
                          [Respond = std::move(Respond)](HttpResult Result) {
                            Respond(std::move(Result.Response_.value()));
                          });
                    });
  measureHttp(State, ClientPool, Middle.start().value());
}
BENCHMARK(runHttpPassedOn)->Arg(1)->Arg(32)->UseRealTime();
