#include "net/HttpClientConnection.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

using namespace tulipweir;
using namespace tulipweir::net;

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t HeaderReadBytes = 4096;
static constexpr std::size_t BodyReadBytes = 64UL * 1024;
static constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;
/// A kept connection gives a larger buffer than this back.
static constexpr std::size_t KeptBufferBytes = 64UL * 1024;

HttpClientConnection::HttpClientConnection(asio::io_context &Context,
                                           std::shared_ptr<HttpPeer> Peer)
    : Socket_(asio::make_strand(Context)), Timer_(Socket_.get_executor()),
      Peer_(std::move(Peer)) {}

void HttpClientConnection::run(const HttpExchangePtr &Exchange) {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this(), Exchange] {
    Self->begin(Exchange);
  });
}

void HttpClientConnection::cancel(const HttpExchangePtr &Exchange) {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this(), Exchange] {
    if (Self->Exchange_ == Exchange)
      Self->failExchange(ErrorCode::Timeout, "cancelled");
  });
}

void HttpClientConnection::retire() {
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->Retired_ = true;
    if (!Self->Exchange_ && Self->Phase_ == Phase::Open)
      Self->close();
  });
}

void HttpClientConnection::abort() {
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    if (Self->Exchange_)
      Self->failExchange(ErrorCode::Unavailable, "the client was stopped");
    Self->close();
  });
}

void HttpClientConnection::begin(const HttpExchangePtr &Exchange) {
  const bool Stale = Phase_ == Phase::Closed ||
                     (Phase_ == Phase::Open && (Retired_ || isStale()));
  if (Stale) {
    // Not a byte was written: another connection may carry it.
    close();
    return Peer_->send(Exchange);
  }
  Exchange_ = Exchange;
  if (Exchange->Cancelled_)
    return failExchange(ErrorCode::Timeout, "cancelled");
  if (isExpired())
    return failExchange(ErrorCode::Timeout, "the deadline passed");
  if (Phase_ == Phase::Open)
    return write();
  connect();
}

/// Whether the peer has closed, or sent what nobody asked for.
bool HttpClientConnection::isStale() {
  char Byte = 0;
  const ssize_t Size =
      ::recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool HttpClientConnection::isExpired() const {
  return Exchange_->Deadline_ <= BootClock::now();
}

void HttpClientConnection::connect() {
  auto Address = toAsioEndpoint(Peer_->To_);
  if (!Address)
    return failExchange(ErrorCode::Unavailable, Address.error().Message_);
  Phase_ = Phase::Connecting;
  setDeadline(std::min(Exchange_->Deadline_,
                       BootClock::now() + Peer_->Settings_.ConnectTimeout_));
  Socket_.async_connect(Address.value(),
                        [Self = shared_from_this()](error_code Problem) {
                          Self->onConnected(Problem);
                        });
}

void HttpClientConnection::onConnected(error_code Problem) {
  if (Phase_ == Phase::Closed)
    return;
  if (Problem)
    return failExchange(ErrorCode::Unavailable, "cannot connect to " +
                                                    Peer_->Host_ + ": " +
                                                    Problem.message());
  Phase_ = Phase::Open;
  error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket_.non_blocking(true, Ignored);
  read();
  write();
}

void HttpClientConnection::write() {
  if (isExpired()) // While it connected.
    return failExchange(ErrorCode::Timeout, "the deadline passed");
  setDeadline(Exchange_->Deadline_);
  startParser();
  Head_ = writeRequestHead(Exchange_->Request_, Peer_->Host_);
  std::array<asio::const_buffer, 2> Parts = {
      asio::buffer(Head_), asio::buffer(Exchange_->Request_.Body_)};
  const std::size_t Total = Head_.size() + Exchange_->Request_.Body_.size();
  // From here on nobody can say that it was not run.
  Exchange_->Stage_ = HttpStage::Sent;
  // Nearly always all fits at once. Were its end left to a handler, the answer
  // could overtake that, and the connection would seem still to be writing.
  error_code Problem;
  const std::size_t Done = Socket_.write_some(Parts, Problem);
  Writing_ = Done < Total;
  // A failed write is left to the read: it ends too, and an answer that came
  // before the failure is still there to be read.
  if (!Writing_ || (Problem && Problem != asio::error::would_block))
    return;
  const std::size_t OfHead = std::min(Done, Head_.size());
  Parts[0] += OfHead;
  Parts[1] += Done - OfHead;
  asio::async_write(Socket_, Parts,
                    [Self = shared_from_this(),
                     Exchange = Exchange_](error_code Failed, std::size_t) {
                      Self->Writing_ = bool(Failed);
                    });
}

void HttpClientConnection::startParser() {
  Parser_.emplace();
  Parser_->header_limit(MaxHeaderBytes);
  Parser_->body_limit(Peer_->Settings_.MaxBodyBytes_);
  Parser_->skip(Exchange_->Request_.Method_ == "HEAD");
}

void HttpClientConnection::read() {
  const bool InBody = Parser_ && Parser_->is_header_done();
  Socket_.async_read_some(
      Input_.prepare(InBody ? BodyReadBytes : HeaderReadBytes),
      [Self = shared_from_this()](error_code Problem, std::size_t Size) {
        Self->onRead(Problem, Size);
      });
}

void HttpClientConnection::onRead(error_code Problem, std::size_t Size) {
  if (Phase_ == Phase::Closed)
    return;
  if (!Exchange_)
    return close();
  if (Problem)
    return failExchange(ErrorCode::Malformed,
                        "the connection to " + Peer_->Host_ +
                            " was closed before the whole answer came");
  Input_.commit(Size);
  parse();
}

void HttpClientConnection::parse() {
  while (Input_.size() > 0) {
    const error_code Problem = feedParser(*Parser_, Input_);
    if (Problem == http::error::need_more)
      break;
    if (Problem == http::error::body_limit)
      return failExchange(ErrorCode::TooLarge,
                          "the answer's body is over the limit");
    if (Problem)
      return failExchange(ErrorCode::Malformed,
                          "the answer is no well-formed HTTP");
    // Without a length, an end cannot be told from a cut.
    if (Parser_->is_header_done() && Parser_->need_eof())
      return failExchange(ErrorCode::Malformed, "the answer has no length");
    if (!Parser_->is_done())
      continue;
    const bool Interim = Parser_->get().result_int() / 100 == 1;
    if (!Interim)
      return onAnswer();
    startParser();
  }
  read();
}

void HttpClientConnection::onAnswer() {
  const bool Keep = Parser_->get().keep_alive() && !Writing_ && !Retired_ &&
                    Input_.size() == 0;
  HttpResponse Response = takeResponse(Parser_->get());
  Parser_.reset();
  HttpExchangePtr Ended = std::exchange(Exchange_, nullptr);
  if (Input_.capacity() > KeptBufferBytes)
    Input_ = {};
  if (Keep) {
    setDeadline(BootClock::now() + Peer_->Settings_.IdleTimeout_);
    read();
    Peer_->release(shared_from_this());
  } else {
    close();
  }
  Peer_->finish(Ended, {HttpStage::Answered, std::move(Response)});
}

/// Ends the exchange without an answer; the connection cannot be used again.
void HttpClientConnection::failExchange(ErrorCode Code, std::string Message) {
  const HttpExchangePtr Ended = std::exchange(Exchange_, nullptr);
  close();
  Peer_->finish(Ended, {Ended->Stage_, fail(Code, std::move(Message))});
}

void HttpClientConnection::close() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
  Peer_->onClosed(shared_from_this());
}

/// The armed timer is left alone if it fires early enough; it looks at the
/// deadline again then.
void HttpClientConnection::setDeadline(TimePoint Deadline) {
  Deadline_ = Deadline;
  if (TimerAt_ <= Deadline)
    return;
  TimerAt_ = Deadline;
  Timer_.expires_at(Deadline);
  Timer_.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem && Self->Phase_ != Phase::Closed)
      Self->onTimer();
  });
}

void HttpClientConnection::onTimer() {
  TimerAt_ = TimePoint::max();
  const TimePoint Now = BootClock::now();
  if (Now < Deadline_)
    return setDeadline(Deadline_);
  if (!Exchange_)
    return close();
  const bool Expired = Now >= Exchange_->Deadline_;
  failExchange(Expired ? ErrorCode::Timeout : ErrorCode::Unavailable,
               Expired ? "the deadline passed"
                       : "cannot connect to " + Peer_->Host_ + " in time");
}
