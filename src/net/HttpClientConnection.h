//===- HttpClientConnection.h - One connection to a peer -------*- C++ -*-===//
//
// Carries one exchange after the other. Everything runs on the strand of the
// socket. A read is outstanding all the time, so that an idle connection which
// the peer closes is noticed. Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_HTTPCLIENTCONNECTION_H
#define TULIPWEIR_SRC_NET_HTTPCLIENTCONNECTION_H

#include "net/HttpPeer.h"
#include "net/HttpText.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace tulipweir::net {

class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  HttpClientConnection(boost::asio::io_context &Context,
                       std::shared_ptr<HttpPeer> Peer);

  // Each may be called from any thread.

  /// Carries the exchange; the caller got this connection from the peer.
  void run(const HttpExchangePtr &Exchange);
  void cancel(const HttpExchangePtr &Exchange);
  /// Closes once the exchange in progress has ended.
  void retire();
  void abort();

private:
  enum class Phase : std::uint8_t { New, Connecting, Open, Closed };
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void begin(const HttpExchangePtr &Exchange);
  void connect();
  void onConnected(boost::system::error_code Problem);
  bool isStale();
  bool isExpired() const;
  void write();
  void startParser();
  void read();
  void onRead(boost::system::error_code Problem, std::size_t Size);
  void parse();
  void onAnswer();
  void failExchange(ErrorCode Code, std::string Message);
  void close();
  void setDeadline(TimePoint Deadline);
  void onTimer();

  Socket Socket_;
  Timer Timer_;
  const std::shared_ptr<HttpPeer> Peer_;
  HttpExchangePtr Exchange_; ///< The one in progress, or none.
  boost::beast::flat_buffer Input_;
  std::optional<Parser> Parser_;
  std::string Head_;
  TimePoint Deadline_ = TimePoint::max();
  TimePoint TimerAt_ = TimePoint::max(); ///< When the armed timer fires.
  Phase Phase_ = Phase::New;
  bool Writing_ = false;
  bool Retired_ = false;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_HTTPCLIENTCONNECTION_H
