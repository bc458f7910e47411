#include "standin/FaultyHttpServer.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::standin;
namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

static constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

static net::HttpRequest
toValue(beast::http::request<beast::http::string_body> &&Message) {
  net::HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  std::string Target(Message.target());
  std::size_t Mark = Target.find('?');
  Request.Path_ = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    Request.Query_ = Target.substr(Mark + 1);
  for (const auto &Field : Message)
    Request.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  return Request;
}

static std::string toBytes(const net::HttpResponse &Response, bool IsHead) {
  std::string Bytes = "HTTP/1.1 " + std::to_string(Response.Status_) + " ";
  Bytes += std::string(beast::http::obsolete_reason(
      beast::http::int_to_status(Response.Status_)));
  for (const net::HttpHeader &Header : Response.Headers_)
    Bytes += "\r\n" + Header.Name_ + ": " + Header.Value_;
  Bytes += "\r\nContent-Length: " + std::to_string(Response.Body_.size());
  Bytes += "\r\n\r\n";
  if (!IsHead)
    Bytes += Response.Body_;
  return Bytes;
}

namespace {

/// One connection; all its work runs on its socket's strand.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<const FaultyHandler> Handler)
      : Stream_(std::move(Socket)), Handler_(std::move(Handler)) {}

  void read() {
    Parser_.emplace();
    Parser_->body_limit(MaxBodyBytes);
    beast::http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Failure)
            return Self->closeNow();
          Self->handle();
        });
  }

  void close() {
    asio::post(Stream_.get_executor(),
               [Self = shared_from_this()] { Self->closeNow(); });
  }

private:
  void handle() {
    auto Message = Parser_->release();
    KeepAlive_ = Message.keep_alive();
    IsHead_ = Message.method() == beast::http::verb::head;
    (*Handler_)(toValue(std::move(Message)),
                [Self = shared_from_this()](net::HttpResponse Response,
                                            AnswerFault Fault) {
                  asio::post(Self->Stream_.get_executor(),
                             [Self, Response = std::move(Response), Fault] {
                               Self->write(Response, Fault);
                             });
                });
  }

  void write(const net::HttpResponse &Response, AnswerFault Fault) {
    if (Fault == AnswerFault::Drop)
      return closeNow();
    Out_ = toBytes(Response, IsHead_);
    if (Fault == AnswerFault::Truncate)
      Out_.resize(Out_.size() -
                  std::max<std::size_t>(1, Response.Body_.size() / 2));
    asio::async_write(
        Stream_, asio::buffer(Out_),
        [Self = shared_from_this(), Fault](error_code Failure, std::size_t) {
          bool Over =
              Failure || Fault != AnswerFault::None || !Self->KeepAlive_;
          return Over ? Self->closeNow() : Self->read();
        });
  }

  void closeNow() {
    error_code Ignored;
    Stream_.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream_.socket().close(Ignored);
  }

  beast::tcp_stream Stream_;
  std::shared_ptr<const FaultyHandler> Handler_;
  beast::flat_buffer Buffer_;
  std::optional<beast::http::request_parser<beast::http::string_body>> Parser_;
  std::string Out_;
  bool KeepAlive_ = true;
  bool IsHead_ = false;
};

} // namespace

class FaultyHttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, std::uint32_t MaxConnections,
       FaultyHandler Handler)
      : Context_(Context), Acceptor_(Context), MaxConnections_(MaxConnections),
        Handler_(std::make_shared<FaultyHandler>(std::move(Handler))) {}

  Outcome<net::Endpoint> start(const net::Endpoint &Listen) {
    error_code Failure;
    auto Address = asio::ip::make_address(Listen.Address_, Failure);
    Tcp::endpoint Where(Address, Listen.Port_);
    if (!Failure)
      Acceptor_.open(Where.protocol(), Failure);
    if (!Failure)
      Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor_.bind(Where, Failure);
    if (!Failure)
      Acceptor_.listen(asio::socket_base::max_listen_connections, Failure);
    if (Failure)
      return fail(ErrorCode::Unavailable, "cannot listen on " +
                                              Listen.toString() + ": " +
                                              Failure.message());
    accept();
    return net::Endpoint{Listen.Address_, Acceptor_.local_endpoint().port()};
  }

  void breakConnections() {
    std::lock_guard Guard(Lock_);
    for (const auto &Weak : Sessions_)
      if (std::shared_ptr<Session> Open = Weak.lock())
        Open->close();
    Sessions_.clear();
  }

  void stop() {
    asio::post(Context_, [Self = shared_from_this()] {
      error_code Ignored;
      Self->Acceptor_.close(Ignored);
    });
    breakConnections();
  }

private:
  void accept() {
    Acceptor_.async_accept(
        asio::make_strand(Context_),
        [Self = shared_from_this()](error_code Failure, Tcp::socket Socket) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            Self->open(std::move(Socket));
          Self->accept();
        });
  }

  void open(Tcp::socket Socket) {
    error_code Ignored;
    Socket.set_option(Tcp::no_delay(true), Ignored);
    std::lock_guard Guard(Lock_);
    std::erase_if(Sessions_, [](const auto &Weak) { return Weak.expired(); });
    if (Sessions_.size() >= MaxConnections_)
      return;
    auto Opened = std::make_shared<Session>(std::move(Socket), Handler_);
    Sessions_.push_back(Opened);
    Opened->read();
  }

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  std::uint32_t MaxConnections_;
  std::shared_ptr<const FaultyHandler> Handler_;
  std::mutex Lock_;
  std::vector<std::weak_ptr<Session>> Sessions_;
};

FaultyHttpServer::FaultyHttpServer(asio::io_context &Context,
                                   std::uint32_t MaxConnections,
                                   FaultyHandler Handler)
    : Impl_(std::make_shared<Impl>(Context, MaxConnections,
                                   std::move(Handler))) {}

FaultyHttpServer::~FaultyHttpServer() { Impl_->stop(); }

Outcome<net::Endpoint> FaultyHttpServer::start(const net::Endpoint &Listen) {
  return Impl_->start(Listen);
}

void FaultyHttpServer::breakConnections() { Impl_->breakConnections(); }

void FaultyHttpServer::stop() { Impl_->stop(); }
