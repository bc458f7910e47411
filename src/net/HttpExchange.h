//===- HttpExchange.h - One request of an HttpClient -----------*- C++ -*-===//
//
// The request, how far it got and whom to tell. Owned by the peer's queue while
// it waits and by one connection after that. Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_HTTPEXCHANGE_H
#define TULIPWEIR_SRC_NET_HTTPEXCHANGE_H

#include "net/Convert.h"
#include "tulipweir/net/HttpClient.h"

#include <atomic>
#include <optional>

namespace tulipweir::net {

class HttpClientConnection;
class HttpPeer;

struct HttpExchange {
  std::uint64_t Number_ = 0;
  HttpRequest Request_;
  TimePoint Deadline_;
  HttpClient::Callback Done_;
  std::shared_ptr<HttpPeer> Peer_;
  HttpStage Stage_ = HttpStage::NothingSent;
  /// Set by the peer under its lock.
  std::weak_ptr<HttpClientConnection> Connection_;
  std::atomic<bool> Cancelled_{false};
  /// Runs only while the exchange waits for a connection.
  std::optional<boost::asio::basic_waitable_timer<BootClock>> WaitTimer_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
/// Ends an exchange: forgets its number and calls its Done.
using HttpFinish = std::function<void(const HttpExchangePtr &, HttpResult)>;

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_HTTPEXCHANGE_H
