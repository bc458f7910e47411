//===- HttpServer.h - HTTP/1.1 towards callers and operators ---*- C++ -*-===//
//
// Accepts connections, reads requests within limits, answers bad ones itself
// (400, 408, 413, 431) and hands good ones to the handler.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_HTTPSERVER_H
#define TULIPWEIR_NET_HTTPSERVER_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"
#include "tulipweir/net/Http.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tulipweir::net {

struct HttpServerSettings {
  Endpoint Listen_;
  std::uint32_t MaxHeaderBytes_ = 16 * 1024;
  std::uint64_t MaxBodyBytes_ = 8UL * 1024 * 1024;
  std::uint32_t MaxConnections_ = 10'000;
  /// A request must arrive whole within this time.
  Duration ReadTimeout_ = std::chrono::seconds(10);
  Duration IdleTimeout_ = std::chrono::seconds(60);
};

/// Thread-safe. Each connection runs on a strand of its own; requests on one
/// connection are answered in order.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context,
             const HttpServerSettings &Settings, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and accepts. Returns the address with the chosen port.
  Outcome<Endpoint> start();
  /// Accepts no more connections, closes idle ones, lets requests in progress
  /// end with "Connection: close", then calls Done.
  void drain(std::function<void()> Done);
  /// Requests that were handed on and are not answered yet.
  std::uint64_t getInProgress() const;
  /// Open connections at the moment.
  std::uint64_t getConnections() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_HTTPSERVER_H
