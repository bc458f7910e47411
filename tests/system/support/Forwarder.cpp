#include "system/support/Forwarder.h"

#include "system/support/Child.h"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <thread>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::system_test;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Both sockets of one connection. All work is on the forwarder's one thread.
class Pipe : public std::enable_shared_from_this<Pipe> {
public:
  Pipe(Tcp::socket From, const bool &Cut)
      : From_(std::move(From)), To_(From_.get_executor()), Cut_(Cut) {}

  void start(const Tcp::endpoint &Where) {
    To_.async_connect(Where, [Self = shared_from_this()](error_code Failure) {
      if (Failure)
        return Self->close();
      Self->pass(Self->From_, Self->To_, Self->Forth_);
      Self->pass(Self->To_, Self->From_, Self->Back_);
    });
  }

  void silence() { IsSilent_ = true; }

  void reset() {
    error_code Ignored;
    From_.set_option(asio::socket_base::linger(true, 0), Ignored);
    To_.set_option(asio::socket_base::linger(true, 0), Ignored);
    close();
  }

  void close() {
    error_code Ignored;
    From_.close(Ignored);
    To_.close(Ignored);
  }

private:
  using Buffer = std::array<char, 65536>;

  void pass(Tcp::socket &In, Tcp::socket &Out, Buffer &Bytes) {
    In.async_read_some(
        asio::buffer(Bytes), [Self = shared_from_this(), &In, &Out,
                              &Bytes](error_code Failure, std::size_t Count) {
          // While cut, bytes and closings are swallowed; nothing is read on.
          if (Self->Cut_ || Self->IsSilent_)
            return;
          if (Failure)
            return Self->close();
          asio::async_write(
              Out, asio::buffer(Bytes, Count),
              [Self, &In, &Out, &Bytes](error_code Broken, std::size_t) {
                if (Broken)
                  return Self->close();
                Self->pass(In, Out, Bytes);
              });
        });
  }

  Tcp::socket From_;
  Tcp::socket To_;
  const bool &Cut_;
  bool IsSilent_ = false;
  Buffer Forth_;
  Buffer Back_;
};

} // namespace

class Forwarder::Impl {
public:
  Impl(const WireEnd &Listen, const WireEnd &To)
      : To_(makeEndpoint(To)), Acceptor_(Context_, makeEndpoint(Listen)) {
    accept();
    Thread_ = std::thread([this] { Context_.run(); });
  }

  ~Impl() {
    Context_.stop();
    Thread_.join();
  }

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

  void setCut(bool Cut) {
    asio::post(Context_, [this, Cut] {
      Cut_ = Cut;
      if (Cut)
        return;
      for (const std::shared_ptr<Pipe> &Open : Pipes_)
        Open->close();
      Pipes_.clear();
      Parked_.clear();
    });
  }

  void silence() {
    asio::post(Context_, [this] {
      for (const std::shared_ptr<Pipe> &Open : Pipes_)
        Open->silence();
    });
  }

  void reset() {
    asio::post(Context_, [this] {
      for (const std::shared_ptr<Pipe> &Open : Pipes_)
        Open->reset();
      Pipes_.clear();
    });
  }

private:
  static Tcp::endpoint makeEndpoint(const WireEnd &End) {
    return {asio::ip::make_address(End.Address_), End.Port_};
  }

  void accept() {
    Acceptor_.async_accept([this](error_code Failure, Tcp::socket Socket) {
      if (Failure)
        return;
      if (Cut_) {
        // Held open, so that the caller waits as if packets were lost.
        Parked_.push_back(std::move(Socket));
      } else {
        auto Opened = std::make_shared<Pipe>(std::move(Socket), Cut_);
        Pipes_.push_back(Opened);
        Opened->start(To_);
      }
      accept();
    });
  }

  const Tcp::endpoint To_;
  bool Cut_ = false;
  asio::io_context Context_;
  Tcp::acceptor Acceptor_;
  /// Held so that a cut leaves connections open.
  std::vector<std::shared_ptr<Pipe>> Pipes_;
  std::vector<Tcp::socket> Parked_;
  std::thread Thread_;
};

Forwarder::Forwarder(std::uint16_t To)
    : Forwarder({"127.0.0.1", pickPort()}, {"127.0.0.1", To}) {}

Forwarder::Forwarder(const WireEnd &Listen, const WireEnd &To)
    : Impl_(std::make_unique<Impl>(Listen, To)) {}

Forwarder::~Forwarder() = default;

std::uint16_t Forwarder::port() const { return Impl_->port(); }

void Forwarder::setCut(bool Cut) { Impl_->setCut(Cut); }
void Forwarder::silence() { Impl_->silence(); }
void Forwarder::reset() { Impl_->reset(); }
