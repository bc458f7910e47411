#include "net/HttpConnection.h"

#include <array>
#include <exception>

using namespace tulipweir;
using namespace tulipweir::net;

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t HeaderReadBytes = 4096;
static constexpr std::size_t BodyReadBytes = 64UL * 1024;
/// Bytes of later requests that may wait while one is in progress.
static constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
/// How long the peer may go on sending after our last answer.
static constexpr Duration LingerTime = std::chrono::seconds(2);
/// How long a draining server waits for requests that are on their way.
static constexpr Duration DrainIdleTime = std::chrono::milliseconds(250);

/// When the handler gave the request up, nobody can say whether it was run.
static HttpResponse makeLostAnswer() {
  HttpResponse Response = HttpResponse::makeJson(
      500, R"({"outcome":"unknown","error":"internal",)"
           R"("message":"the request was dropped by a defect of ours"})");
  Response.Headers_.push_back({"X-Tulipweir-Outcome", "unknown"});
  return Response;
}

namespace {

/// Hands the answer to its connection, once. A handler that drops it without
/// an answer gives the client a 500 instead of silence.
class Responder {
public:
  explicit Responder(std::weak_ptr<HttpConnection> To) : To_(std::move(To)) {}
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;
  // NOLINTNEXTLINE(bugprone-exception-escape): out of memory ends the process.
  ~Responder() { send(makeLostAnswer()); }

  void send(HttpResponse Response) {
    if (Used_.exchange(true))
      return;
    if (std::shared_ptr<HttpConnection> Connection = To_.lock())
      Connection->answer(std::move(Response));
  }

private:
  std::weak_ptr<HttpConnection> To_;
  std::atomic<bool> Used_{false};
};

} // namespace

void HttpShared::add(const std::shared_ptr<HttpConnection> &Connection) {
  const std::lock_guard Hold(Lock_);
  Open_.emplace(Connection.get(), Connection);
  ++Connections_;
}

void HttpShared::remove(const HttpConnection *Connection) {
  std::vector<std::function<void()>> Done;
  {
    const std::lock_guard Hold(Lock_);
    Connections_ -= Open_.erase(Connection);
    if (Open_.empty())
      Done = std::exchange(WhenEmpty_, {});
  }
  for (const std::function<void()> &Each : Done)
    Each();
}

std::vector<std::shared_ptr<HttpConnection>> HttpShared::list() {
  const std::lock_guard Hold(Lock_);
  std::vector<std::shared_ptr<HttpConnection>> All;
  for (const auto &[Key, Weak] : Open_)
    if (std::shared_ptr<HttpConnection> Connection = Weak.lock())
      All.push_back(std::move(Connection));
  return All;
}

void HttpShared::callWhenEmpty(std::function<void()> Done) {
  {
    const std::lock_guard Hold(Lock_);
    if (!Open_.empty()) {
      WhenEmpty_.push_back(std::move(Done));
      return;
    }
  }
  Done();
}

HttpConnection::HttpConnection(Socket Peer, std::shared_ptr<HttpShared> Shared)
    : Socket_(std::move(Peer)), Timer_(Socket_.get_executor()),
      Shared_(std::move(Shared)) {}

void HttpConnection::start() {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
    error_code Ignored;
    Self->Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
    Self->Socket_.set_option(asio::socket_base::keep_alive(true), Ignored);
    Self->setDeadline(Self->Shared_->Draining_
                          ? DrainIdleTime
                          : Self->Shared_->Settings_.IdleTimeout_);
    Self->watch();
    Self->read();
  });
}

void HttpConnection::drain() {
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    if (!Self->isIdle())
      return;
    Self->setDeadline(DrainIdleTime);
    Self->Timer_.cancel();
  });
}

void HttpConnection::abort() {
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this()] { Self->close(); });
}

void HttpConnection::answer(HttpResponse Response) {
  asio::dispatch(
      Socket_.get_executor(),
      [Self = shared_from_this(), Response = std::move(Response)]() mutable {
        if (Self->Phase_ == Phase::Handling)
          Self->write(std::move(Response));
      });
}

void HttpConnection::read() {
  if (ReadPending_ || PeerEnded_ || Phase_ == Phase::Closed)
    return;
  ReadPending_ = true;
  const bool InBody = Parser_ && Parser_->is_header_done();
  const std::size_t Room = InBody ? BodyReadBytes : HeaderReadBytes;
  // Made anew when it shrinks, so that an idle connection keeps little.
  if (Chunk_.size() != Room)
    Chunk_ = std::vector<char>(Room);
  Socket_.async_read_some(
      asio::buffer(Chunk_),
      [Self = shared_from_this()](error_code Problem, std::size_t Size) {
        Self->ReadPending_ = false;
        Self->onRead(Problem, Size);
      });
}

void HttpConnection::onRead(error_code Problem, std::size_t Size) {
  if (Phase_ == Phase::Closed)
    return;
  if (Problem == asio::error::eof)
    return onPeerEnd();
  if (Problem)
    return close();
  Input_.commit(asio::buffer_copy(Input_.prepare(Size),
                                  asio::buffer(Chunk_.data(), Size)));
  if (Phase_ == Phase::Reading)
    return parse();
  const bool TooMuch = Input_.size() > MaxPipelinedBytes;
  if (TooMuch)
    KeepAlive_ = false;
  if (TooMuch || Phase_ == Phase::Lingering)
    Input_.consume(Input_.size());
  read();
}

void HttpConnection::onPeerEnd() {
  PeerEnded_ = true;
  if (Phase_ == Phase::Reading || Phase_ == Phase::Lingering)
    return close();
  // It may have closed only its sending side and still wait for the answer.
  if (Phase_ == Phase::Handling)
    setDeadline(Shared_->Settings_.ReadTimeout_);
}

void HttpConnection::parse() {
  while (Phase_ == Phase::Reading && Input_.size() > 0)
    if (!parseSome())
      break;
  // The rest of a request that a client broke off never comes.
  if (PeerEnded_ && Phase_ == Phase::Reading)
    return close();
  read();
}

void HttpConnection::startParser() {
  Parser_.emplace();
  Parser_->header_limit(Shared_->Settings_.MaxHeaderBytes_);
  Parser_->body_limit(Shared_->Settings_.MaxBodyBytes_);
  Continued_ = false;
  setDeadline(Shared_->Settings_.ReadTimeout_);
}

/// Feeds the parser; false when it needs more bytes than there are.
bool HttpConnection::parseSome() {
  if (!Parser_)
    startParser();
  const std::size_t Before = Input_.size();
  const error_code Problem = feedParser(*Parser_, Input_);
  const bool Used = Input_.size() < Before;
  if (Problem == http::error::need_more) {
    answerExpectation();
    return false;
  }
  if (Problem == http::error::header_limit)
    refuse(431, "too-large", "the headers are over the limit");
  else if (Problem == http::error::body_limit)
    refuse(413, "too-large", "the body is over the limit");
  else if (Problem)
    refuse(400, "malformed", "this is no well-formed HTTP request");
  else if (Parser_->is_done())
    handOn();
  else
    answerExpectation();
  return Used;
}

/// Tells a client that waits with its body to send it.
void HttpConnection::answerExpectation() {
  static constexpr std::string_view GoOn = "HTTP/1.1 100 Continue\r\n\r\n";
  if (Continued_ || !Parser_->is_header_done())
    return;
  Continued_ = true;
  const auto Expect = Parser_->get()[http::field::expect];
  if (!boost::beast::iequals(Expect, "100-continue"))
    return;
  // Nothing else is being written, and so few bytes fit into any socket.
  error_code Ignored;
  Socket_.non_blocking(true, Ignored);
  Socket_.write_some(asio::buffer(GoOn.data(), GoOn.size()), Ignored);
}

void HttpConnection::handOn() {
  const auto Target = Parser_->get().target();
  if (Target.empty() || (Target[0] != '/' && Target != "*"))
    return refuse(400, "malformed", "the target must be a path");
  KeepAlive_ = Parser_->get().keep_alive();
  IsHead_ = Parser_->get().method() == http::verb::head;
  HttpRequest Request = takeRequest(Parser_->get());
  Parser_.reset();
  if (Input_.size() == 0 && Input_.capacity() > MaxPipelinedBytes)
    Input_ = {};
  Phase_ = Phase::Handling;
  Deadline_ = TimePoint::max();
  if (PeerEnded_)
    setDeadline(Shared_->Settings_.ReadTimeout_);
  Counted_ = true;
  ++Shared_->InProgress_;
  // The closure holds the connection weakly: only the socket's own read keeps
  // it, so a handler that never answers keeps nothing of a client that left.
  auto Respond = std::make_shared<Responder>(weak_from_this());
  try {
    Shared_->Handler_(std::move(Request),
                      [Respond = std::move(Respond)](HttpResponse Response) {
                        Respond->send(std::move(Response));
                      });
  } catch (const std::exception &Problem) {
    write(makeLostAnswer());
  }
}

void HttpConnection::refuse(unsigned Status, std::string_view Name,
                            std::string_view Text) {
  KeepAlive_ = false;
  IsHead_ = false;
  Parser_.reset();
  Input_.consume(Input_.size());
  Phase_ = Phase::Handling;
  std::string Body(R"({"outcome":"not-run","error":")");
  Body.append(Name).append(R"(","message":")").append(Text).append("\"}");
  HttpResponse Response = HttpResponse::makeJson(Status, std::move(Body));
  Response.Headers_.push_back({"X-Tulipweir-Outcome", "not-run"});
  write(std::move(Response));
}

void HttpConnection::write(HttpResponse Response) {
  if (Phase_ != Phase::Handling)
    return;
  Phase_ = Phase::Writing;
  Response_ = std::move(Response);
  KeepAlive_ = KeepAlive_ && mayHaveMore() && !Shared_->Draining_;
  Head_ = writeResponseHead(Response_, KeepAlive_);
  setDeadline(Shared_->Settings_.IdleTimeout_);
  const std::size_t BodySize = IsHead_ ? 0 : Response_.Body_.size();
  const std::array<asio::const_buffer, 2> Parts = {
      asio::buffer(Head_), asio::buffer(Response_.Body_.data(), BodySize)};
  asio::async_write(
      Socket_, Parts,
      [Self = shared_from_this()](error_code Problem, std::size_t) {
        Self->onWritten(Problem);
      });
}

void HttpConnection::onWritten(error_code Problem) {
  if (Phase_ == Phase::Closed)
    return;
  if (std::exchange(Counted_, false))
    --Shared_->InProgress_;
  if (Problem)
    return close();
  Response_ = {};
  if (!KeepAlive_)
    return linger();
  Phase_ = Phase::Reading;
  setDeadline(Shared_->Draining_ ? DrainIdleTime
                                 : Shared_->Settings_.IdleTimeout_);
  parse();
}

/// Closing with unread bytes would reset the connection and could take the
/// answer with it, so the rest is read and thrown away first.
void HttpConnection::linger() {
  if (PeerEnded_)
    return close();
  Phase_ = Phase::Lingering;
  Input_.consume(Input_.size());
  error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  setDeadline(LingerTime);
  Timer_.cancel();
  read();
}

void HttpConnection::close() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
  if (std::exchange(Counted_, false))
    --Shared_->InProgress_;
  Shared_->remove(this);
}

void HttpConnection::setDeadline(Duration From) {
  Deadline_ = BootClock::now() + From;
}

/// Looks at the deadline from time to time; arming a timer anew for every
/// request would cost more than the rest of its handling.
void HttpConnection::watch() {
  const TimePoint Look = BootClock::now() + Shared_->Settings_.ReadTimeout_ / 4;
  Timer_.expires_at(std::min(Look, Deadline_));
  Timer_.async_wait([Self = shared_from_this()](error_code) {
    if (Self->Phase_ == Phase::Closed)
      return;
    if (BootClock::now() >= Self->Deadline_)
      Self->onDeadline();
    if (Self->Phase_ != Phase::Closed)
      Self->watch();
  });
}

void HttpConnection::onDeadline() {
  if (Phase_ != Phase::Reading || isIdle())
    return close();
  refuse(408, "timeout", "the request did not arrive whole in time");
}
