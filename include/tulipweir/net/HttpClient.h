//===- HttpClient.h - HTTP/1.1 towards backend servers ---------*- C++ -*-===//
//
// Sends one request and reads the whole answer, and says how far the exchange
// got, because that decides whether a request may be sent again.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_HTTPCLIENT_H
#define TULIPWEIR_NET_HTTPCLIENT_H

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

/// How far an exchange got.
enum class HttpStage : std::uint8_t {
  NothingSent, ///< Not a byte of the request left: it was certainly not run.
  Sent,        ///< Some bytes may have left: whether it ran is unknown.
  Answered,    ///< The whole answer was read.
};

struct HttpResult {
  HttpStage Stage_ = HttpStage::NothingSent;
  /// The answer when Stage_ is Answered, otherwise why not: Unavailable (could
  /// not connect), Timeout, Malformed (truncated or no HTTP), TooLarge.
  Outcome<HttpResponse> Response_;
};

struct HttpClientSettings {
  std::uint32_t MaxConnectionsPerPeer_ = 64;
  std::uint64_t MaxBodyBytes_ = 8UL * 1024 * 1024;
  Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  Duration IdleTimeout_ = std::chrono::seconds(30);
};

/// Thread-safe. Keeps connections open per peer. Never sends a request twice:
/// a kept connection that turns out closed before the first byte was written
/// counts as NothingSent; afterwards as Sent.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &Context,
             const HttpClientSettings &Settings);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  using Callback = std::function<void(HttpResult)>;
  /// Sends the request and calls Done exactly once, at the deadline at the
  /// latest. Returns a number for cancel.
  std::uint64_t send(const Endpoint &To, HttpRequest Request,
                     TimePoint Deadline, Callback Done);
  /// Closes the connection of an exchange that is no longer wanted; Done is
  /// called with Timeout.
  void cancel(std::uint64_t Exchange);
  /// Closes the kept connections to a peer that is gone.
  void forget(const Endpoint &Peer);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_HTTPCLIENT_H
