//===- FaultyHttpServer.h - HTTP that can go wrong on purpose --*- C++ -*-===//
//
// The HTTP side of one stand-in server. Unlike net::HttpServer it can cut an
// answer in the middle, close a connection without an answer, and break all
// connections at once.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_FAULTYHTTPSERVER_H
#define TULIPWEIR_TOOLS_STANDIN_FAULTYHTTPSERVER_H

#include "tulipweir/core/Error.h"
#include "tulipweir/net/Endpoint.h"
#include "tulipweir/net/Http.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tulipweir::standin {

/// How an answer leaves.
enum class AnswerFault : std::uint8_t {
  None,
  Truncate, ///< Half of the bytes, then the connection is closed.
  Drop,     ///< No byte; the connection is closed.
};

using FaultyRespond = std::function<void(net::HttpResponse, AnswerFault)>;
using FaultyHandler = std::function<void(net::HttpRequest, FaultyRespond)>;

/// Thread-safe. Connections over the limit are closed on arrival.
class FaultyHttpServer {
public:
  FaultyHttpServer(boost::asio::io_context &Context,
                   std::uint32_t MaxConnections, FaultyHandler Handler);
  ~FaultyHttpServer();
  FaultyHttpServer(const FaultyHttpServer &) = delete;
  FaultyHttpServer &operator=(const FaultyHttpServer &) = delete;

  Outcome<net::Endpoint> start(const net::Endpoint &Listen);
  /// Closes all connections; what is in progress gets no answer.
  void breakConnections();
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_FAULTYHTTPSERVER_H
