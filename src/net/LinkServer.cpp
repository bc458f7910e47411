#include "net/LinkConnection.h"
#include "net/Listener.h"

#include <unordered_map>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::net;

class LinkServer::Impl : public std::enable_shared_from_this<LinkServer::Impl> {
public:
  Impl(boost::asio::io_context &Context, const Endpoint &Listen,
       const LinkSettings &Settings, LinkHandler Handler)
      : Context_(Context), Listen_(Listen), Settings_(Settings),
        Handler_(std::move(Handler)), Tally_(std::make_shared<LinkTally>()) {}

  Outcome<Endpoint> start();
  void stop();

  LinkCounters getCounters() const { return Tally_->read(); }

private:
  void serve(Socket Peer);
  void onFrame(const LinkConnection::Pointer &From, LinkFrame Frame);
  void onClosed(const LinkConnection::Pointer &Connection);

  boost::asio::io_context &Context_;
  const Endpoint Listen_;
  const LinkSettings Settings_;
  const LinkHandler Handler_;
  const std::shared_ptr<LinkTally> Tally_;
  std::shared_ptr<Listener> Listener_;
  std::mutex Lock_;
  bool Stopped_ = false;
  /// Weak, since a connection holds its owner.
  std::unordered_map<LinkConnection *, std::weak_ptr<LinkConnection>> Open_;
};

Outcome<Endpoint> LinkServer::Impl::start() {
  Listener_ = std::make_shared<Listener>(
      Context_, [Weak = weak_from_this()](Socket Peer) {
        if (std::shared_ptr<Impl> Self = Weak.lock())
          Self->serve(std::move(Peer));
      });
  return Listener_->start(Listen_);
}

void LinkServer::Impl::serve(Socket Peer) {
  LinkConnection::Events Owner;
  Owner.OnOpen_ = [](const LinkConnection::Pointer &) {};
  Owner.OnFrame_ = [Self = shared_from_this()](
                       const LinkConnection::Pointer &From, LinkFrame Frame) {
    Self->onFrame(From, std::move(Frame));
  };
  Owner.OnClosed_ = [Self = shared_from_this()](
                        const LinkConnection::Pointer &Connection,
                        const Error &) { Self->onClosed(Connection); };
  auto Connection = std::make_shared<LinkConnection>(
      std::move(Peer), LinkRole::Server, Settings_, Tally_, std::move(Owner));
  {
    const std::lock_guard Hold(Lock_);
    if (Stopped_)
      return;
    Open_.emplace(Connection.get(), Connection);
  }
  Connection->start();
}

static void answerCall(const std::weak_ptr<LinkConnection> &To,
                       const LinkFrame &Call, const Outcome<std::string> &Body,
                       std::uint32_t MaxBytes) {
  const LinkConnection::Pointer Connection = To.lock();
  if (!Connection)
    return;
  if (!Body) {
    Connection->send(Call.Kind_, FrameType::Failure, Call.Call_,
                     encodeError(Body.error()));
  } else if (Body.value().size() > MaxBytes) {
    Connection->send(Call.Kind_, FrameType::Failure, Call.Call_,
                     encodeError(Error::make(ErrorCode::TooLarge,
                                             "the answer is too large")));
  } else {
    Connection->send(Call.Kind_, FrameType::Answer, Call.Call_, Body.value());
  }
}

void LinkServer::Impl::onFrame(const LinkConnection::Pointer &From,
                               LinkFrame Frame) {
  std::string Body = std::exchange(Frame.Body_, {});
  if (Frame.Type_ == FrameType::OneWay)
    return Handler_(Frame.Kind_, std::move(Body),
                    [](const Outcome<std::string> &) {});
  if (Frame.Type_ != FrameType::Call) {
    ++Tally_->FramesMalformed_;
    return From->close(
        Error::make(ErrorCode::Malformed, "an answer to no call"));
  }
  const wire::MessageKind Kind = Frame.Kind_;
  Handler_(Kind, std::move(Body),
           [To = std::weak_ptr(From), Call = std::move(Frame),
            MaxBytes =
                Settings_.MaxFrameBytes_](const Outcome<std::string> &Answer) {
             answerCall(To, Call, Answer, MaxBytes);
           });
}

void LinkServer::Impl::onClosed(const LinkConnection::Pointer &Connection) {
  const std::lock_guard Hold(Lock_);
  Open_.erase(Connection.get());
}

void LinkServer::Impl::stop() {
  std::vector<LinkConnection::Pointer> Open;
  {
    const std::lock_guard Hold(Lock_);
    if (std::exchange(Stopped_, true))
      return;
    for (const auto &[Key, Weak] : Open_)
      if (LinkConnection::Pointer Connection = Weak.lock())
        Open.push_back(std::move(Connection));
  }
  if (Listener_)
    Listener_->stop([] {});
  for (const LinkConnection::Pointer &Connection : Open)
    Connection->close(Error::make(ErrorCode::Unavailable, "stopped"));
}

LinkServer::LinkServer(boost::asio::io_context &Context, const Endpoint &Listen,
                       const LinkSettings &Settings, LinkHandler Handler)
    : Impl_(std::make_shared<Impl>(Context, Listen, Settings,
                                   std::move(Handler))) {}
LinkServer::~LinkServer() { Impl_->stop(); }

Outcome<Endpoint> LinkServer::start() { return Impl_->start(); }
void LinkServer::stop() { Impl_->stop(); }
LinkCounters LinkServer::getCounters() const { return Impl_->getCounters(); }
