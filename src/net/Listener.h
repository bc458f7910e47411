//===- Listener.h - Accepts connections ------------------------*- C++ -*-===//
//
// The accepting side that HTTP and link servers share. Private to the net
// module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_LISTENER_H
#define TULIPWEIR_SRC_NET_LISTENER_H

#include "net/Convert.h"
#include "tulipweir/core/Time.h"

#include <functional>
#include <memory>

namespace tulipweir::net {

/// Gives each accepted socket, with a strand of its own, to OnPeer. OnPeer runs
/// on the listener's strand. Thread-safe.
class Listener : public std::enable_shared_from_this<Listener> {
public:
  using OnPeer = std::function<void(Socket)>;

  Listener(boost::asio::io_context &Context, OnPeer Handle);

  /// Binds and accepts. Returns the address with the chosen port.
  Outcome<Endpoint> start(const Endpoint &Listen);
  /// Takes what the system has already accepted for us, since closing would
  /// reset it; then closes and calls Closed on the strand.
  void stop(std::function<void()> Closed);

private:
  void accept();
  void onAccept(boost::system::error_code Problem, Socket Peer);
  void acceptWaiting();

  boost::asio::io_context &Context_;
  Acceptor Acceptor_;
  Timer Pause_;
  const OnPeer Handle_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_LISTENER_H
