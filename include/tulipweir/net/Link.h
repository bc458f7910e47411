//===- Link.h - Frames between our own processes ---------------*- C++ -*-===//
//
// TCP with length-prefixed msgpack frames. A connection begins with a
// handshake: protocol version, then each side proves by a keyed hash over the
// other's random challenge that it holds the shared secret.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_LINK_H
#define TULIPWEIR_NET_LINK_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"
#include "tulipweir/wire/Codec.h"
#include "tulipweir/wire/MessageKind.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tulipweir::net {

struct LinkSettings {
  std::string Secret_; ///< Shared by all our processes; 16 bytes or more.
  std::uint32_t MaxFrameBytes_ = 16 * 1024 * 1024;
  Duration HandshakeTimeout_ = std::chrono::seconds(2);
  Duration ReconnectFirst_ = std::chrono::milliseconds(20);
  Duration ReconnectLast_ = std::chrono::seconds(1);
  /// A peer that takes nothing of what was sent for this long is taken for
  /// gone or frozen: the connection is closed and its queue dropped.
  Duration WriteStallTimeout_ = std::chrono::seconds(5);
  /// How often a client looks whether it has heard anything from its peer. If
  /// not, it asks for a sign of life, and a look later closes the connection:
  /// one that went silent shows no other way. The server closes what it has
  /// heard nothing of for several looks.
  Duration LifeCheckInterval_ = std::chrono::seconds(2);
  /// Bytes that may wait to be sent before calls fail with Unavailable.
  std::uint64_t MaxQueuedBytes_ = 64UL * 1024 * 1024;
};

/// What was carried, for /metrics and docs/CAPACITY.md.
struct LinkCounters {
  std::uint64_t FramesSent_ = 0;
  std::uint64_t FramesReceived_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
  std::uint64_t HandshakesRefused_ = 0;
  std::uint64_t FramesMalformed_ = 0;
};

using LinkReply = std::function<void(Outcome<std::string>)>;
/// Handles one frame; runs on a network thread and must not block. Reply is
/// called at most once; for one-way frames it does nothing.
using LinkHandler =
    std::function<void(wire::MessageKind, std::string Body, LinkReply Reply)>;

/// The listening side. Thread-safe.
class LinkServer {
public:
  LinkServer(boost::asio::io_context &Context, const Endpoint &Listen,
             const LinkSettings &Settings, LinkHandler Handler);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  Outcome<Endpoint> start();
  void stop();
  LinkCounters getCounters() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

/// The calling side: keeps one connection to one peer, reconnecting with
/// backoff. Thread-safe.
class LinkClient {
public:
  LinkClient(boost::asio::io_context &Context, const Endpoint &Peer,
             const LinkSettings &Settings);
  ~LinkClient(); // NOLINT(bugprone-exception-escape)
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;

  void start();
  void stop();
  /// Calls Reply exactly once: with the peer's answer or its Error;
  /// Unavailable if the frame certainly never left; Timeout otherwise.
  void call(wire::MessageKind Kind, std::string Body, Duration Timeout,
            LinkReply Reply);
  /// One-way and lossy: dropped while not connected.
  void post(wire::MessageKind Kind, std::string Body);
  bool isConnected() const;
  LinkCounters getCounters() const;
  /// For tests of partitions: while cut, no frame passes in either direction
  /// and the connection is not closed towards the peer's eyes.
  void setCut(bool Cut);

  /// Typed form of call.
  template <class Request>
  void request(const Request &Value, Duration Timeout,
               std::function<void(Outcome<typename Request::Reply>)> Done) {
    call(Request::Kind, wire::encode(Value), Timeout,
         [Done = std::move(Done)](Outcome<std::string> Body) {
           if (!Body)
             return Done(std::move(Body).as_failure());
           Done(wire::decode<typename Request::Reply>(Body.value()));
         });
  }

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_LINK_H
