//===- HttpPeer.h - The connections to one backend server ------*- C++ -*-===//
//
// Keeps idle connections, opens new ones up to a limit, and queues exchanges
// beyond it. Thread-safe. Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_HTTPPEER_H
#define TULIPWEIR_SRC_NET_HTTPPEER_H

#include "net/HttpExchange.h"

#include <deque>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace tulipweir::net {

class HttpPeer : public std::enable_shared_from_this<HttpPeer> {
public:
  HttpPeer(boost::asio::io_context &Context, const Endpoint &To,
           const HttpClientSettings &Settings, HttpFinish Finish);

  /// Gives the exchange to a connection, or queues it.
  void send(const HttpExchangePtr &Exchange);
  /// Ends the exchange wherever it is.
  void cancel(const HttpExchangePtr &Exchange);
  /// Closes idle connections; busy ones are closed when they are done.
  void forget();
  /// Ends everything; the peer can't be used afterwards.
  void stop();

  // For the connections.

  void release(const std::shared_ptr<HttpClientConnection> &Connection);
  void onClosed(const std::shared_ptr<HttpClientConnection> &Connection);
  void finish(const HttpExchangePtr &Exchange, HttpResult Result) const {
    Finish_(Exchange, std::move(Result));
  }

  const Endpoint To_;
  const std::string Host_;
  const HttpClientSettings Settings_;

private:
  using ConnectionPtr = std::shared_ptr<HttpClientConnection>;

  ConnectionPtr takeConnection(const HttpExchangePtr &Exchange);
  HttpExchangePtr takeWaiting();
  bool removeWaiting(const HttpExchangePtr &Exchange);
  void queue(const HttpExchangePtr &Exchange);
  void expire(const HttpExchangePtr &Exchange);

  boost::asio::io_context &Context_;
  const HttpFinish Finish_;
  std::mutex Lock_;
  std::unordered_map<HttpClientConnection *,
                     std::weak_ptr<HttpClientConnection>>
      Open_;
  std::vector<ConnectionPtr> Idle_;
  std::deque<HttpExchangePtr> Waiting_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_HTTPPEER_H
