#include "net/LinkConnection.h"

#include <algorithm>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::net;

using boost::system::error_code;

namespace {

/// A call that waits for its answer.
struct PendingCall {
  LinkReply Reply_;
  std::uint64_t Write_ = 0; ///< The write that carries it.
};

/// When a call ends at the latest. Entries of answered calls stay until then.
struct CallDeadline {
  TimePoint At_;
  std::uint64_t Call_ = 0;
  auto operator<=>(const CallDeadline &) const = default;
};

using DeadlineQueue =
    std::priority_queue<CallDeadline, std::vector<CallDeadline>,
                        std::greater<>>;

} // namespace

class LinkClient::Impl : public std::enable_shared_from_this<LinkClient::Impl> {
public:
  Impl(boost::asio::io_context &Context, const Endpoint &Peer,
       const LinkSettings &Settings)
      : Context_(Context), Peer_(Peer), Settings_(Settings),
        Tally_(std::make_shared<LinkTally>()),
        Strand_(boost::asio::make_strand(Context)), CallTimer_(Strand_),
        RetryTimer_(Strand_), Delay_(Settings.ReconnectFirst_) {}

  void start();
  void stop();
  void call(wire::MessageKind Kind, std::string Body, Duration Timeout,
            LinkReply Reply);
  void post(wire::MessageKind Kind, const std::string &Body);
  bool isConnected();
  void setCut(bool Cut) { Cut_ = Cut; }

  LinkCounters getCounters() const { return Tally_->read(); }

private:
  Outcome<void> beginCall(wire::MessageKind Kind, const std::string &Body,
                          TimePoint Deadline, LinkReply &Reply);
  void connect();
  void retryLater();
  void onOpen(const LinkConnection::Pointer &Connection);
  void onFrame(LinkFrame Frame);
  void onClosed(const LinkConnection::Pointer &Connection, const Error &Why);
  void armCallTimer();
  void onCallTimer();

  boost::asio::io_context &Context_;
  const Endpoint Peer_;
  const LinkSettings Settings_;
  const std::shared_ptr<LinkTally> Tally_;
  const Strand Strand_;
  Timer CallTimer_;
  Timer RetryTimer_;
  std::atomic<bool> Cut_{false};

  std::mutex Lock_; ///< Guards all below.
  bool Stopped_ = false;
  LinkConnection::Pointer Attempt_;    ///< Connecting or connected.
  LinkConnection::Pointer Connection_; ///< Set while it carries frames.
  Error LastProblem_ = Error::make(ErrorCode::Unavailable, "not started");
  Duration Delay_;
  std::minstd_rand Random_{std::random_device()()};
  std::uint64_t LastCall_ = 0;
  std::unordered_map<std::uint64_t, PendingCall> Pending_;
  DeadlineQueue Deadlines_;
  TimePoint TimerAt_ = TimePoint::max();
};

void LinkClient::Impl::start() {
  boost::asio::post(Strand_, [Self = shared_from_this()] { Self->connect(); });
}

void LinkClient::Impl::connect() {
  auto Address = toAsioEndpoint(Peer_);
  if (Cut_ || !Address)
    return retryLater();
  LinkConnection::Events Owner;
  Owner.OnOpen_ =
      [Self = shared_from_this()](const LinkConnection::Pointer &Connection) {
        Self->onOpen(Connection);
      };
  Owner.OnFrame_ = [Self = shared_from_this()](const LinkConnection::Pointer &,
                                               LinkFrame Frame) {
    Self->onFrame(std::move(Frame));
  };
  Owner.OnClosed_ = [Self = shared_from_this()](
                        const LinkConnection::Pointer &Connection,
                        const Error &Why) { Self->onClosed(Connection, Why); };
  auto Attempt = std::make_shared<LinkConnection>(
      Socket(boost::asio::make_strand(Context_)), LinkRole::Client, Settings_,
      Tally_, std::move(Owner));
  {
    const std::lock_guard Hold(Lock_);
    if (Stopped_)
      return;
    Attempt_ = Attempt;
  }
  Attempt->connect(Address.value());
}

/// Waits longer each time, and not the same time as the others who lost the
/// same peer.
void LinkClient::Impl::retryLater() {
  const std::lock_guard Hold(Lock_);
  if (Stopped_)
    return;
  const Duration Wait =
      Delay_ / 2 + Duration(std::uniform_int_distribution<std::int64_t>(
                       0, Delay_.count() / 2)(Random_));
  Delay_ = std::min(Delay_ * 2, Settings_.ReconnectLast_);
  boost::asio::post(Strand_, [Self = shared_from_this(), Wait] {
    Self->RetryTimer_.expires_after(Wait);
    Self->RetryTimer_.async_wait([Self](error_code Problem) {
      if (!Problem)
        Self->connect();
    });
  });
}

void LinkClient::Impl::onOpen(const LinkConnection::Pointer &Connection) {
  const std::lock_guard Hold(Lock_);
  if (Stopped_)
    return;
  Connection_ = Connection;
  Delay_ = Settings_.ReconnectFirst_;
}

void LinkClient::Impl::onFrame(LinkFrame Frame) {
  if (Cut_)
    return;
  LinkReply Reply;
  {
    const std::lock_guard Hold(Lock_);
    auto Found = Pending_.find(Frame.Call_);
    // Too late, or never asked: nobody waits for it.
    if (Found == Pending_.end())
      return;
    Reply = std::move(Found->second.Reply_);
    Pending_.erase(Found);
  }
  if (Frame.Type_ == FrameType::Answer)
    return Reply(std::move(Frame.Body_));
  Reply(boost::outcome_v2::failure(decodeError(Frame.Body_)));
}

void LinkClient::Impl::onClosed(const LinkConnection::Pointer &Connection,
                                const Error &Why) {
  std::unordered_map<std::uint64_t, PendingCall> Lost;
  {
    const std::lock_guard Hold(Lock_);
    Attempt_.reset();
    Connection_.reset();
    LastProblem_ = Why;
    Lost = std::exchange(Pending_, {});
  }
  for (auto &[Call, Pending] : Lost) {
    const bool MayHaveLeft = Connection->hasBegun(Pending.Write_);
    Pending.Reply_(
        fail(MayHaveLeft ? ErrorCode::Timeout : ErrorCode::Unavailable,
             "the link to " + Peer_.toString() + " was lost"));
  }
  retryLater();
}

Outcome<void> LinkClient::Impl::beginCall(wire::MessageKind Kind,
                                          const std::string &Body,
                                          TimePoint Deadline,
                                          LinkReply &Reply) {
  if (Body.size() > Settings_.MaxFrameBytes_)
    return fail(ErrorCode::TooLarge, "the frame is over the limit");
  const std::lock_guard Hold(Lock_);
  if (!Connection_)
    return fail(ErrorCode::Unavailable, "not connected to " + Peer_.toString() +
                                            ": " + LastProblem_.Message_);
  const std::uint64_t Call = ++LastCall_;
  std::uint64_t Write = 0;
  if (!Cut_) {
    Write = Connection_->send(Kind, FrameType::Call, Call, Body);
    if (Write == 0)
      return fail(ErrorCode::Unavailable,
                  "too much is waiting to be sent to " + Peer_.toString());
  }
  Pending_.emplace(Call, PendingCall{std::move(Reply), Write});
  Deadlines_.push({Deadline, Call});
  if (Deadline < TimerAt_) {
    TimerAt_ = Deadline;
    boost::asio::post(Strand_,
                      [Self = shared_from_this()] { Self->armCallTimer(); });
  }
  return succeed();
}

void LinkClient::Impl::call(wire::MessageKind Kind, std::string Body,
                            Duration Timeout, LinkReply Reply) {
  const TimePoint Deadline = BootClock::now() + Timeout;
  auto Begun = beginCall(Kind, Body, Deadline, Reply);
  if (!Begun)
    Reply(std::move(Begun).as_failure());
}

void LinkClient::Impl::post(wire::MessageKind Kind, const std::string &Body) {
  if (Cut_ || Body.size() > Settings_.MaxFrameBytes_)
    return;
  const std::lock_guard Hold(Lock_);
  if (Connection_)
    Connection_->send(Kind, FrameType::OneWay, 0, Body);
}

void LinkClient::Impl::armCallTimer() {
  {
    const std::lock_guard Hold(Lock_);
    if (TimerAt_ == TimePoint::max())
      return;
    CallTimer_.expires_at(TimerAt_);
  }
  CallTimer_.async_wait([Self = shared_from_this()](error_code Problem) {
    if (!Problem)
      Self->onCallTimer();
  });
}

void LinkClient::Impl::onCallTimer() {
  std::vector<LinkReply> Late;
  {
    const std::lock_guard Hold(Lock_);
    const TimePoint Now = BootClock::now();
    while (!Deadlines_.empty() && Deadlines_.top().At_ <= Now) {
      auto Found = Pending_.find(Deadlines_.top().Call_);
      Deadlines_.pop();
      if (Found == Pending_.end())
        continue;
      Late.push_back(std::move(Found->second.Reply_));
      Pending_.erase(Found);
    }
    TimerAt_ = Deadlines_.empty() ? TimePoint::max() : Deadlines_.top().At_;
  }
  for (const LinkReply &Reply : Late)
    Reply(fail(ErrorCode::Timeout,
               "no answer from " + Peer_.toString() + " in time"));
  armCallTimer();
}

bool LinkClient::Impl::isConnected() {
  const std::lock_guard Hold(Lock_);
  return Connection_ != nullptr;
}

void LinkClient::Impl::stop() {
  LinkConnection::Pointer Attempt;
  std::unordered_map<std::uint64_t, PendingCall> Lost;
  {
    const std::lock_guard Hold(Lock_);
    if (std::exchange(Stopped_, true))
      return;
    Attempt = std::exchange(Attempt_, nullptr);
    Connection_.reset();
    LastProblem_ = Error::make(ErrorCode::Unavailable, "stopped");
    Lost = std::exchange(Pending_, {});
    Deadlines_ = {};
    TimerAt_ = TimePoint::max();
  }
  // What waits to be written may still leave before the socket is closed.
  for (auto &[Call, Pending] : Lost)
    Pending.Reply_(fail(ErrorCode::Timeout, "the link was stopped"));
  if (Attempt)
    Attempt->close(Error::make(ErrorCode::Unavailable, "stopped"));
  boost::asio::post(Strand_, [Self = shared_from_this()] {
    Self->CallTimer_.cancel();
    Self->RetryTimer_.cancel();
  });
}

LinkClient::LinkClient(boost::asio::io_context &Context, const Endpoint &Peer,
                       const LinkSettings &Settings)
    : Impl_(std::make_shared<Impl>(Context, Peer, Settings)) {}
// NOLINTNEXTLINE(bugprone-exception-escape): out of memory ends the process.
LinkClient::~LinkClient() { Impl_->stop(); }

void LinkClient::start() { Impl_->start(); }
void LinkClient::stop() { Impl_->stop(); }
void LinkClient::call(wire::MessageKind Kind, std::string Body,
                      Duration Timeout, LinkReply Reply) {
  Impl_->call(Kind, std::move(Body), Timeout, std::move(Reply));
}
void LinkClient::post(wire::MessageKind Kind, std::string Body) {
  Impl_->post(Kind, Body);
}
bool LinkClient::isConnected() const { return Impl_->isConnected(); }
LinkCounters LinkClient::getCounters() const { return Impl_->getCounters(); }
void LinkClient::setCut(bool Cut) { Impl_->setCut(Cut); }
