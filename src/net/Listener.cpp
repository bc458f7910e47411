#include "net/Listener.h"

using namespace tulipweir;
using namespace tulipweir::net;

namespace asio = boost::asio;
using boost::system::error_code;

/// After an accept that failed for want of descriptors.
static constexpr Duration AcceptPause = std::chrono::milliseconds(50);

Listener::Listener(asio::io_context &Context, OnPeer Handle)
    : Context_(Context), Acceptor_(asio::make_strand(Context)),
      Pause_(Acceptor_.get_executor()), Handle_(std::move(Handle)) {}

Outcome<Endpoint> Listener::start(const Endpoint &Listen) {
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

void Listener::accept() {
  if (!Acceptor_.is_open())
    return;
  Acceptor_.async_accept(
      asio::make_strand(Context_),
      [Self = shared_from_this()](error_code Problem, Socket Peer) {
        Self->onAccept(Problem, std::move(Peer));
      });
}

void Listener::onAccept(error_code Problem, Socket Peer) {
  if (Problem == asio::error::operation_aborted)
    return;
  if (!Problem) {
    Handle_(std::move(Peer));
    return accept();
  }
  Pause_.expires_after(AcceptPause);
  Pause_.async_wait(
      [Self = shared_from_this()](error_code) { Self->accept(); });
}

void Listener::acceptWaiting() {
  error_code Problem;
  Acceptor_.non_blocking(true, Problem);
  while (!Problem) {
    Socket Peer(asio::make_strand(Context_));
    Acceptor_.accept(Peer, Problem);
    if (!Problem)
      Handle_(std::move(Peer));
  }
}

void Listener::stop(std::function<void()> Closed) {
  asio::post(Acceptor_.get_executor(),
             [Self = shared_from_this(), Closed = std::move(Closed)] {
               if (Self->Acceptor_.is_open())
                 Self->acceptWaiting();
               error_code Ignored;
               Self->Acceptor_.close(Ignored);
               Self->Pause_.cancel();
               Closed();
             });
}
