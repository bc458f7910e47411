#include "tulipweir/net/HttpServer.h"

#include "net/HttpConnection.h"

using namespace tulipweir;
using namespace tulipweir::net;

namespace asio = boost::asio;
using boost::system::error_code;

/// After an accept that failed for want of descriptors.
static constexpr Duration AcceptPause = std::chrono::milliseconds(50);

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
  Impl(asio::io_context &Context, const HttpServerSettings &Settings,
       HttpHandler Handler)
      : Context_(Context), Acceptor_(asio::make_strand(Context)),
        Pause_(Acceptor_.get_executor()),
        Shared_(std::make_shared<HttpShared>(Settings, std::move(Handler))) {}

  Outcome<Endpoint> start();
  void drain(std::function<void()> Done);
  void stop();

  HttpShared &getShared() { return *Shared_; }

private:
  void accept();
  void onAccept(error_code Problem, Socket Peer);
  void acceptWaiting();
  void serve(Socket Peer);

  asio::io_context &Context_;
  Acceptor Acceptor_;
  Timer Pause_;
  std::shared_ptr<HttpShared> Shared_;
};

Outcome<Endpoint> HttpServer::Impl::start() {
  const Endpoint &Listen = Shared_->Settings_.Listen_;
  auto Address = toAsioEndpoint(Listen);
  if (!Address)
    return std::move(Address).as_failure();
  error_code Problem;
  Acceptor_.open(Address.value().protocol(), Problem);
  if (!Problem)
    Acceptor_.set_option(asio::socket_base::reuse_address(true), Problem);
  if (!Problem)
    Acceptor_.bind(Address.value(), Problem);
  if (!Problem)
    Acceptor_.listen(asio::socket_base::max_listen_connections, Problem);
  if (Problem)
    return fail(ErrorCode::Unavailable, "cannot listen on " +
                                            Listen.toString() + ": " +
                                            Problem.message());
  const Endpoint Bound = toEndpoint(Acceptor_.local_endpoint());
  asio::post(Acceptor_.get_executor(),
             [Self = shared_from_this()] { Self->accept(); });
  return Bound;
}

void HttpServer::Impl::accept() {
  if (!Acceptor_.is_open())
    return;
  Acceptor_.async_accept(
      asio::make_strand(Context_),
      [Self = shared_from_this()](error_code Problem, Socket Peer) {
        Self->onAccept(Problem, std::move(Peer));
      });
}

void HttpServer::Impl::onAccept(error_code Problem, Socket Peer) {
  if (Problem == asio::error::operation_aborted)
    return;
  if (!Problem) {
    serve(std::move(Peer));
    return accept();
  }
  Pause_.expires_after(AcceptPause);
  Pause_.async_wait(
      [Self = shared_from_this()](error_code) { Self->accept(); });
}

void HttpServer::Impl::serve(Socket Peer) {
  static constexpr std::string_view Full =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
      "X-Tulipweir-Outcome: not-run\r\nRetry-After: 1\r\n"
      "Content-Length: 66\r\nConnection: close\r\n\r\n"
      R"({"outcome":"not-run","error":"unavailable","message":"too many"})"
      "\r\n";
  if (Shared_->isFull()) {
    error_code Ignored;
    Peer.non_blocking(true, Ignored);
    Peer.write_some(asio::buffer(Full.data(), Full.size()), Ignored);
    return;
  }
  auto Connection = std::make_shared<HttpConnection>(std::move(Peer), Shared_);
  Shared_->add(Connection);
  Connection->start();
}

/// Takes the connections that the system has already opened for us; closing
/// the listener would reset them.
void HttpServer::Impl::acceptWaiting() {
  error_code Problem;
  Acceptor_.non_blocking(true, Problem);
  while (!Problem) {
    Socket Peer(asio::make_strand(Context_));
    Acceptor_.accept(Peer, Problem);
    if (!Problem)
      serve(std::move(Peer));
  }
}

void HttpServer::Impl::drain(std::function<void()> Done) {
  asio::post(Acceptor_.get_executor(), [Self = shared_from_this(),
                                        Done = std::move(Done)]() mutable {
    Self->Shared_->Draining_ = true;
    if (Self->Acceptor_.is_open())
      Self->acceptWaiting();
    error_code Ignored;
    Self->Acceptor_.close(Ignored);
    Self->Pause_.cancel();
    for (const auto &Connection : Self->Shared_->list())
      Connection->drain();
    Self->Shared_->callWhenEmpty(std::move(Done));
  });
}

void HttpServer::Impl::stop() {
  asio::post(Acceptor_.get_executor(), [Self = shared_from_this()] {
    error_code Ignored;
    Self->Acceptor_.close(Ignored);
    Self->Pause_.cancel();
    for (const auto &Connection : Self->Shared_->list())
      Connection->abort();
  });
}

HttpServer::HttpServer(asio::io_context &Context,
                       const HttpServerSettings &Settings, HttpHandler Handler)
    : Impl_(std::make_shared<Impl>(Context, Settings, std::move(Handler))) {}
HttpServer::~HttpServer() { Impl_->stop(); }

Outcome<Endpoint> HttpServer::start() { return Impl_->start(); }

void HttpServer::drain(std::function<void()> Done) {
  Impl_->drain(std::move(Done));
}

std::uint64_t HttpServer::getInProgress() const {
  return Impl_->getShared().InProgress_;
}

std::uint64_t HttpServer::getConnections() const {
  return Impl_->getShared().Connections_;
}
