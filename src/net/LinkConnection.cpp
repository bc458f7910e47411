#include "net/LinkConnection.h"

#include <netinet/tcp.h>

using namespace tulipweir;
using namespace tulipweir::net;

namespace asio = boost::asio;
using boost::system::error_code;

static constexpr std::size_t ReadBytes = 16UL * 1024;
static constexpr std::size_t MostReadBytes = 1024UL * 1024;
/// An idle connection gives a larger buffer than this back.
static constexpr std::size_t KeptBufferBytes = 256UL * 1024;

/// A server that hears nothing for so many looks closes: a client that lives
/// has asked for a sign of life several times by then.
static constexpr unsigned MostSilentLooksOfServer = 8;

LinkCounters LinkTally::read() const {
  return {FramesSent_,    FramesReceived_,    BytesSent_,
          BytesReceived_, HandshakesRefused_, FramesMalformed_};
}

LinkConnection::LinkConnection(Socket Peer, LinkRole Role,
                               const LinkSettings &Settings,
                               std::shared_ptr<LinkTally> Tally, Events Owner)
    : Socket_(std::move(Peer)), Timer_(Socket_.get_executor()), Role_(Role),
      Settings_(Settings), Tally_(std::move(Tally)), Owner_(std::move(Owner)),
      Handshake_(Settings.Secret_, Role) {}

void LinkConnection::start() {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->watchHandshake();
    Self->openSocket();
    Self->readHello();
  });
}

void LinkConnection::connect(const asio::ip::tcp::endpoint &To) {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this(), To] {
    Self->watchHandshake();
    Self->Socket_.async_connect(To, [Self](error_code Problem) {
      if (Problem)
        return Self->closeNow(
            Error::make(ErrorCode::Unavailable, Problem.message()));
      Self->openSocket();
      Self->sendHello(Self->Handshake_.makeChallenge());
      Self->readHello();
    });
  });
}

void LinkConnection::close(Error Why) {
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this(), Why = std::move(Why)] {
               Self->closeNow(Why);
             });
}

void LinkConnection::watchHandshake() {
  Timer_.expires_after(Settings_.HandshakeTimeout_);
  Timer_.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem && !Self->Opened_)
      Self->closeNow(
          Error::make(ErrorCode::Timeout, "the handshake took too long"));
  });
}

void LinkConnection::openSocket() {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket_.set_option(asio::socket_base::keep_alive(true), Ignored);
  // The system closes a connection whose bytes stay unacknowledged, or whose
  // window stays shut, for so long.
  const auto Stall = std::chrono::duration_cast<std::chrono::milliseconds>(
      Settings_.WriteStallTimeout_);
  Socket_.set_option(UserTimeout(static_cast<int>(Stall.count())), Ignored);
}

void LinkConnection::sendHello(const LinkHello &Hello) {
  {
    const std::lock_guard Hold(OutLock_);
    Pending_.append(Hello.encode());
    if (std::exchange(Flushing_, true))
      return;
  }
  flush();
}

void LinkConnection::readHello() {
  asio::async_read(
      Socket_, asio::buffer(Hello_),
      [Self = shared_from_this()](error_code Problem, std::size_t Size) {
        Self->Tally_->BytesReceived_ += Size;
        if (Problem)
          return Self->closeNow(Error::make(ErrorCode::Unavailable,
                                            "closed during the handshake"));
        Self->onHello();
      });
}

void LinkConnection::onHello() {
  // The message may have been read before the connection was closed.
  if (!Socket_.is_open())
    return;
  const auto Theirs = LinkHello::decode({Hello_.data(), Hello_.size()});
  if (!Theirs)
    return refuse(Theirs.error());
  const auto Next = takeStep(Theirs.value());
  if (!Next)
    return refuse(Next.error());
  const bool Last = Step_ == 1;
  ++Step_;
  if (!Last || Role_ == LinkRole::Server)
    sendHello(Next.value());
  if (Last)
    return open();
  readHello();
}

/// What follows on their hello; the client's last step has nothing to send.
Outcome<LinkHello> LinkConnection::takeStep(const LinkHello &Theirs) {
  const bool First = Step_ == 0;
  if (Role_ == LinkRole::Server) {
    if (First)
      return Handshake_.answerChallenge(Theirs);
    return Handshake_.accept(Theirs);
  }
  if (First)
    return Handshake_.proveBack(Theirs);
  return Theirs;
}

/// Tells the peer why before closing, so that both sides can say it.
void LinkConnection::refuse(const Error &Why) {
  ++Tally_->HandshakesRefused_;
  if (Role_ == LinkRole::Client)
    return closeNow(Why);
  ClosesAfterWrite_ = Why;
  LinkHello Hello;
  Hello.Refusal_ = Why.Code_;
  sendHello(Hello);
}

void LinkConnection::open() {
  Opened_ = true;
  Owner_.OnOpen_(shared_from_this());
  watchLife();
  read();
}

void LinkConnection::watchLife() {
  Timer_.expires_after(Settings_.LifeCheckInterval_);
  Timer_.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem && Self->Socket_.is_open())
      Self->lookForLife();
  });
}

/// A connection can go silent for good without being closed, while new ones to
/// the same peer work.
void LinkConnection::lookForLife() {
  error_code Ignored;
  // What has come and was not read yet counts: this process may have stood
  // still.
  const bool HasHeard =
      std::exchange(HasHeard_, false) || Socket_.available(Ignored) > 0;
  SilentLooks_ = HasHeard ? 0 : SilentLooks_ + 1;
  const unsigned MostSilentLooks =
      Role_ == LinkRole::Client ? 2 : MostSilentLooksOfServer;
  if (SilentLooks_ >= MostSilentLooks)
    return closeNow(
        Error::make(ErrorCode::Unavailable, "the peer has gone silent"));
  if (Role_ == LinkRole::Client && SilentLooks_ == 1)
    sendSign(FrameType::AskLife);
  watchLife();
}

/// Signs of life are no frames to the owner, and are not counted as such.
void LinkConnection::sendSign(FrameType Type) {
  {
    const std::lock_guard Hold(OutLock_);
    if (Closed_)
      return;
    appendFrame(Pending_, wire::MessageKind::Replication, Type, 0, "");
    if (std::exchange(Flushing_, true))
      return;
  }
  flush();
}

bool LinkConnection::takeSignOfLife(const LinkFrame &Frame) {
  if (Frame.Type_ == FrameType::AskLife && Role_ == LinkRole::Server)
    sendSign(FrameType::Life);
  return Frame.Type_ == FrameType::AskLife || Frame.Type_ == FrameType::Life;
}

void LinkConnection::read() {
  const std::size_t Room = std::clamp(Input_.size(), ReadBytes, MostReadBytes);
  Socket_.async_read_some(
      Input_.prepare(Room),
      [Self = shared_from_this()](error_code Problem, std::size_t Size) {
        Self->onRead(Problem, Size);
      });
}

void LinkConnection::onRead(error_code Problem, std::size_t Size) {
  if (Problem)
    return closeNow(
        Error::make(ErrorCode::Unavailable, "the connection was closed"));
  Tally_->BytesReceived_ += Size;
  HasHeard_ = true;
  Input_.commit(Size);
  std::string_view Rest(static_cast<const char *>(Input_.data().data()),
                        Input_.size());
  while (Socket_.is_open()) {
    auto Frame = takeFrame(Rest, Settings_.MaxFrameBytes_);
    if (!Frame) {
      ++Tally_->FramesMalformed_;
      return closeNow(Frame.error());
    }
    if (!Frame.value())
      break;
    if (takeSignOfLife(*Frame.value()))
      continue;
    ++Tally_->FramesReceived_;
    Owner_.OnFrame_(shared_from_this(), std::move(*Frame.value()));
  }
  Input_.consume(Input_.size() - Rest.size());
  if (Input_.size() == 0 && Input_.capacity() > KeptBufferBytes)
    Input_ = {};
  if (Socket_.is_open())
    read();
}

std::uint64_t LinkConnection::send(wire::MessageKind Kind, FrameType Type,
                                   std::uint64_t Call, std::string_view Body) {
  std::uint64_t Write = 0;
  {
    const std::lock_guard Hold(OutLock_);
    const std::size_t After = Pending_.size() + FrameHeaderBytes + Body.size();
    if (Closed_ || After > Settings_.MaxQueuedBytes_)
      return 0;
    appendFrame(Pending_, Kind, Type, Call, Body);
    ++Tally_->FramesSent_;
    Write = Begun_ + 1;
    if (std::exchange(Flushing_, true))
      return Write;
  }
  // Posted, not run here: frames that are sent one after the other meet in it.
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this()] { Self->flush(); });
  return Write;
}

void LinkConnection::flush() {
  {
    const std::lock_guard Hold(OutLock_);
    if (Closed_)
      return;
    Writing_.swap(Pending_);
    Pending_.clear();
    ++Begun_;
  }
  asio::async_write(
      Socket_, asio::buffer(Writing_),
      [Self = shared_from_this()](error_code Problem, std::size_t Size) {
        Self->Tally_->BytesSent_ += Size;
        Self->onFlushed(Problem);
      });
}

void LinkConnection::onFlushed(error_code Problem) {
  if (Problem)
    return closeNow(Error::make(ErrorCode::Unavailable, Problem.message()));
  if (Writing_.capacity() > KeptBufferBytes)
    Writing_ = {};
  {
    const std::lock_guard Hold(OutLock_);
    Flushing_ = !Pending_.empty();
    if (!Flushing_ && !ClosesAfterWrite_)
      return;
  }
  if (ClosesAfterWrite_)
    return closeNow(*ClosesAfterWrite_);
  flush();
}

void LinkConnection::closeNow(const Error &Why) {
  {
    const std::lock_guard Hold(OutLock_);
    if (std::exchange(Closed_, true))
      return;
  }
  error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
  Owner_.OnClosed_(shared_from_this(), Why);
  Owner_ = {};
}
