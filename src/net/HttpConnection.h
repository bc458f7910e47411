//===- HttpConnection.h - One connection of an HttpServer ------*- C++ -*-===//
//
// Reads requests one after the other, hands each to the handler and writes its
// answer. Everything runs on the strand of the socket. A read is outstanding
// all the time, so that a client's leaving is seen while its request is being
// handled. Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_HTTPCONNECTION_H
#define TULIPWEIR_SRC_NET_HTTPCONNECTION_H

#include "net/Convert.h"
#include "net/HttpText.h"
#include "tulipweir/net/HttpServer.h"

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tulipweir::net {

class HttpConnection;

/// What the connections of one server share. Thread-safe.
class HttpShared {
public:
  HttpShared(const HttpServerSettings &Settings, HttpHandler Handler)
      : Settings_(Settings), Handler_(std::move(Handler)) {}

  void add(const std::shared_ptr<HttpConnection> &Connection);
  void remove(const HttpConnection *Connection);
  std::vector<std::shared_ptr<HttpConnection>> list();
  /// Calls Done once there is no connection any more; at once if so.
  void callWhenEmpty(std::function<void()> Done);
  bool isFull() const { return Connections_ >= Settings_.MaxConnections_; }

  const HttpServerSettings Settings_;
  const HttpHandler Handler_;
  std::atomic<std::uint64_t> InProgress_{0};
  std::atomic<std::uint64_t> Connections_{0};
  std::atomic<bool> Draining_{false};

private:
  std::mutex Lock_;
  std::unordered_map<const HttpConnection *, std::weak_ptr<HttpConnection>>
      Open_;
  std::vector<std::function<void()>> WhenEmpty_;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(Socket Peer, std::shared_ptr<HttpShared> Shared);

  // Each may be called from any thread.

  void start();
  /// Ends after the request in progress, or soon if there is none.
  void drain();
  void abort();
  void answer(HttpResponse Response);

private:
  enum class Phase : std::uint8_t {
    Reading,   ///< Waiting for a request or in the middle of one.
    Handling,  ///< The handler has it.
    Writing,   ///< The answer goes out.
    Lingering, ///< Our side is closed; the rest of the peer's is thrown away.
    Closed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void onRead(boost::system::error_code Problem, std::size_t Size);
  void onPeerEnd();
  void parse();
  bool parseSome();
  void startParser();
  void answerExpectation();
  void handOn();
  void refuse(unsigned Status, std::string_view Name, std::string_view Text);
  void write(HttpResponse Response);
  void onWritten(boost::system::error_code Problem);
  void linger();
  void close();
  void setDeadline(Duration From);
  void watch();
  void onDeadline();
  /// Whether another request may come, or waits in the input.
  bool mayHaveMore() const { return !PeerEnded_ || Input_.size() > 0; }
  bool isIdle() const { return Phase_ == Phase::Reading && !Parser_; }

  Socket Socket_;
  Timer Timer_;
  const std::shared_ptr<HttpShared> Shared_;
  /// Where a read goes that is under way. Not Input_ itself: that moves and
  /// starts anew when the parser empties it during the read.
  std::vector<char> Chunk_;
  boost::beast::flat_buffer Input_;
  std::optional<Parser> Parser_;
  HttpResponse Response_;
  std::string Head_;
  TimePoint Deadline_ = TimePoint::max();
  Phase Phase_ = Phase::Reading;
  bool ReadPending_ = false;
  bool PeerEnded_ = false;
  bool KeepAlive_ = true;
  bool IsHead_ = false;
  bool Continued_ = false;
  bool Counted_ = false; ///< The request in progress is in InProgress_.
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_HTTPCONNECTION_H
