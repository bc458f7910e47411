#include "tulipweir/net/HttpServer.h"

#include "net/HttpConnection.h"
#include "net/Listener.h"

using namespace tulipweir;
using namespace tulipweir::net;

using boost::system::error_code;

class HttpServer::Impl {
public:
  Impl(boost::asio::io_context &Context, const HttpServerSettings &Settings,
       HttpHandler Handler)
      : Shared_(std::make_shared<HttpShared>(Settings, std::move(Handler))),
        Listener_(std::make_shared<Listener>(Context,
                                             [Shared = Shared_](Socket Peer) {
                                               serve(Shared, std::move(Peer));
                                             })) {}

  void drain(std::function<void()> Done);
  void stop();

  const std::shared_ptr<HttpShared> Shared_;
  const std::shared_ptr<Listener> Listener_;

private:
  static void serve(const std::shared_ptr<HttpShared> &Shared, Socket Peer);
};

/// Best effort: the answer fits into any socket that was just opened.
static void refuseConnection(Socket &Peer) {
  HttpResponse Refusal = HttpResponse::makeJson(
      503, R"({"outcome":"not-run","error":"unavailable",)"
           R"("message":"too many connections","retryAfterMs":1000})");
  Refusal.Headers_.push_back({"X-Tulipweir-Outcome", "not-run"});
  Refusal.Headers_.push_back({"Retry-After", "1"});
  const std::string Bytes = writeResponseHead(Refusal, false) + Refusal.Body_;
  error_code Ignored;
  Peer.non_blocking(true, Ignored);
  Peer.write_some(boost::asio::buffer(Bytes), Ignored);
}

void HttpServer::Impl::serve(const std::shared_ptr<HttpShared> &Shared,
                             Socket Peer) {
  if (Shared->isFull())
    return refuseConnection(Peer);
  auto Connection = std::make_shared<HttpConnection>(std::move(Peer), Shared);
  Shared->add(Connection);
  Connection->start();
}

void HttpServer::Impl::drain(std::function<void()> Done) {
  Shared_->Draining_ = true;
  Listener_->stop([Shared = Shared_, Done = std::move(Done)] {
    for (const auto &Connection : Shared->list())
      Connection->drain();
    Shared->callWhenEmpty(Done);
  });
}

void HttpServer::Impl::stop() {
  Listener_->stop([Shared = Shared_] {
    for (const auto &Connection : Shared->list())
      Connection->abort();
  });
}

HttpServer::HttpServer(boost::asio::io_context &Context,
                       const HttpServerSettings &Settings, HttpHandler Handler)
    : Impl_(std::make_shared<Impl>(Context, Settings, std::move(Handler))) {}
HttpServer::~HttpServer() { Impl_->stop(); }

Outcome<Endpoint> HttpServer::start() {
  return Impl_->Listener_->start(Impl_->Shared_->Settings_.Listen_);
}

void HttpServer::drain(std::function<void()> Done) {
  Impl_->drain(std::move(Done));
}

std::uint64_t HttpServer::getInProgress() const {
  return Impl_->Shared_->InProgress_;
}

std::uint64_t HttpServer::getConnections() const {
  return Impl_->Shared_->Connections_;
}
