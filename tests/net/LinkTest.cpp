#include "tulipweir/net/Link.h"

#include "net/LinkFrame.h"
#include "net/LinkHandshake.h"
#include "net/RawSocket.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/wire/Messages.h"

#include <gtest/gtest.h>
#include <atomic>
#include <future>
#include <mutex>
#include <optional>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;
using wire::MessageKind;

static constexpr auto Kind = MessageKind::OperatorCall;
/// Of both sockets together.
static constexpr std::uint32_t LargerThanBuffers = 48'000'000;

namespace {

class LinkTest : public testing::Test {
protected:
  LinkTest() {
    Settings_.Secret_ = "0123456789abcdef";
    Settings_.MaxFrameBytes_ = 100'000;
    Settings_.ReconnectFirst_ = 1ms;
    Settings_.ReconnectLast_ = 10ms;
  }
  ~LinkTest() override {
    Client_.reset();
    Server_.reset();
    Pool_.stop();
  }

  /// "echo" answers at once, "fail" with an error, "hold" never.
  void onCall(const std::string &Body, const LinkReply &Reply) {
    ++Calls_;
    if (Body == "fail")
      return Reply(fail(ErrorCode::NotLeader, "c2"));
    if (Body == "large")
      return Reply(std::string(Settings_.MaxFrameBytes_ + 1, 'x'));
    if (Body != "hold")
      return Reply("re:" + Body);
    const std::lock_guard Hold(Lock_);
    Held_.push_back(Reply);
  }
  void startServer(const LinkSettings &Settings) {
    Server_.emplace(Pool_.context(), Listen_, Settings,
                    [this](MessageKind, std::string Body, LinkReply Reply) {
                      onCall(Body, Reply);
                    });
    Listen_ = Server_->start().value();
  }
  void startClient(const LinkSettings &Settings) {
    Client_.emplace(Pool_.context(), Listen_, Settings);
    Client_->start();
  }
  void startBoth() {
    startServer(Settings_);
    startClient(Settings_);
    ASSERT_TRUE(waitUntil([this] { return Client_->isConnected(); }));
  }
  std::future<Outcome<std::string>> call(const std::string &Body,
                                         Duration Timeout = 10s) {
    auto Done = std::make_shared<std::promise<Outcome<std::string>>>();
    Client_->call(Kind, Body, Timeout, [Done](Outcome<std::string> Answer) {
      Done->set_value(std::move(Answer));
    });
    return Done->get_future();
  }
  ErrorCode getCallError(const std::string &Body, Duration Timeout = 10s) {
    const auto Answer = call(Body, Timeout).get();
    return Answer ? ErrorCode::Internal : Answer.error().Code_;
  }
  /// A raw peer that has shaken hands as a client.
  RawSocket shakeHands() {
    LinkHandshake Side(Settings_.Secret_, LinkRole::Client);
    RawSocket Peer = RawSocket::connect(Listen_);
    Peer.send(Side.makeChallenge().encode());
    const auto Theirs = LinkHello::decode(Peer.readBytes(HelloBytes));
    Peer.send(Side.proveBack(Theirs.value()).value().encode());
    EXPECT_TRUE(LinkHello::decode(Peer.readBytes(HelloBytes)));
    return Peer;
  }

  /// Accepts and shakes hands as a server that reads nothing after that.
  RawSocket acceptClient(const RawSocket &Listener) {
    LinkHandshake Side(Settings_.Secret_, LinkRole::Server);
    RawSocket Peer = Listener.accept();
    const auto Theirs = LinkHello::decode(Peer.readBytes(HelloBytes));
    Peer.send(Side.answerChallenge(Theirs.value()).encode());
    const auto Proof = LinkHello::decode(Peer.readBytes(HelloBytes));
    Peer.send(Side.accept(Proof.value()).value().encode());
    EXPECT_TRUE(waitUntil([this] { return Client_->isConnected(); }));
    return Peer;
  }
  /// A call that fills the sockets' buffers, then one that waits behind it:
  /// the peer has seen the first byte of the first and takes no more.
  void callPastTheBuffers(RawSocket &Peer) {
    First_ = call(std::string(Settings_.MaxFrameBytes_, 'x'));
    EXPECT_FALSE(Peer.readBytes(1).empty());
    Second_ = call("behind");
  }
  void expectOnlyTheFirstMayHaveLeft() {
    EXPECT_EQ(First_.get().error().Code_, ErrorCode::Timeout);
    EXPECT_EQ(Second_.get().error().Code_, ErrorCode::Unavailable);
  }

  LinkSettings Settings_;
  Endpoint Listen_ = makeListenAddress();
  std::atomic<int> Calls_ = 0;
  std::mutex Lock_;
  std::vector<LinkReply> Held_;
  IoPool Pool_{3};
  std::optional<LinkServer> Server_;
  std::optional<LinkClient> Client_;
  std::future<Outcome<std::string>> First_;
  std::future<Outcome<std::string>> Second_;
};

} // namespace

TEST_F(LinkTest, carriesCallsErrorsAndTypedMessages) {
  startBoth();
  EXPECT_EQ(call("hi").get().value(), "re:hi");
  const auto Failed = call("fail").get();
  EXPECT_EQ(Failed.error(), Error::make(ErrorCode::NotLeader, "c2"));
  std::promise<Outcome<wire::OperatorAnswer>> Typed;
  Client_->request(wire::OperatorCall{}, 10s,
                   [&](Outcome<wire::OperatorAnswer> Answer) {
                     Typed.set_value(std::move(Answer));
                   });
  // The echo is no OperatorAnswer.
  EXPECT_EQ(Typed.get_future().get().error().Code_, ErrorCode::Malformed);
}

TEST_F(LinkTest, givesEachOfManyCallsItsOwnAnswer) {
  startBoth();
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  std::atomic<int> Right = 0;
  for (int T = 0; T < 4; ++T)
    Threads.emplace_back([&, T] {
      std::vector<std::future<Outcome<std::string>>> Answers;
      Answers.reserve(500);
      for (int I = 0; I < 500; ++I)
        Answers.push_back(call(std::to_string(T * 1000 + I)));
      for (int I = 0; I < 500; ++I)
        Right +=
            Answers[I].get().value() == "re:" + std::to_string(T * 1000 + I);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_EQ(Right, 2000);
  EXPECT_EQ(Server_->getCounters().FramesReceived_, 2000U);
  EXPECT_EQ(Client_->getCounters().BytesSent_,
            Server_->getCounters().BytesReceived_);
}

TEST_F(LinkTest, postsWithoutAnAnswer) {
  startBoth();
  Client_->post(Kind, "one way");
  EXPECT_TRUE(waitUntil([this] { return Calls_ == 1; }));
  EXPECT_EQ(call("hi").get().value(), "re:hi");
  EXPECT_EQ(Client_->getCounters().FramesReceived_, 1U);
}

TEST_F(LinkTest, saysUnavailableWhenNotConnected) {
  Listen_ = RawSocket::listen().getAddress();
  startClient(Settings_);
  EXPECT_EQ(getCallError("hi"), ErrorCode::Unavailable);
}

TEST_F(LinkTest, refusesAnotherSecretOnBothSides) {
  startServer(Settings_);
  LinkSettings Other = Settings_;
  Other.Secret_ = "fedcba9876543210";
  startClient(Other);
  EXPECT_TRUE(waitUntil(
      [this] { return Client_->getCounters().HandshakesRefused_ > 1; }));
  EXPECT_EQ(getCallError("hi"), ErrorCode::Unavailable);
  EXPECT_EQ(Calls_, 0);
}

TEST_F(LinkTest, refusesAClientThatCannotProveTheSecret) {
  startServer(Settings_);
  LinkHandshake Side(Settings_.Secret_, LinkRole::Client);
  RawSocket Peer = RawSocket::connect(Listen_);
  Peer.send(Side.makeChallenge().encode());
  Peer.readBytes(HelloBytes);
  LinkHello Forged;
  Forged.Proof_.fill(1);
  Peer.send(Forged.encode());
  const auto Verdict = LinkHello::decode(Peer.readAll());
  EXPECT_EQ(Verdict.error().Code_, ErrorCode::PermissionDenied);
  EXPECT_EQ(Server_->getCounters().HandshakesRefused_, 1U);
}

TEST_F(LinkTest, refusesOtherVersionsAndProtocolsWithACounter) {
  startServer(Settings_);
  LinkHello Hello;
  Hello.Version_ = LinkVersion + 1;
  RawSocket Newer = RawSocket::connect(Listen_);
  Newer.send(Hello.encode());
  const std::string Refusal = Newer.readAll();
  ASSERT_EQ(Refusal.size(), HelloBytes);
  EXPECT_EQ(Refusal[6], static_cast<char>(ErrorCode::VersionMismatch));
  RawSocket Http = RawSocket::connect(Listen_);
  Http.send("GET / HTTP/1.1\r\n" + std::string(HelloBytes, 'x'));
  Http.readAll();
  EXPECT_TRUE(waitUntil(
      [this] { return Server_->getCounters().HandshakesRefused_ == 2; }));
}

TEST_F(LinkTest, closesAHandshakeThatStalls) {
  Settings_.HandshakeTimeout_ = 30ms;
  startServer(Settings_);
  RawSocket Silent = RawSocket::connect(Listen_);
  Silent.send("TL");
  EXPECT_EQ(Silent.readAll(), "");
}

TEST_F(LinkTest, closesOnFramesThatAreTooLongOrMalformed) {
  startServer(Settings_);
  RawSocket Long = shakeHands();
  std::string Frame;
  appendFrame(Frame, Kind, FrameType::Call, 1, "x");
  Frame[3] = '\x7f';
  Long.send(Frame);
  EXPECT_EQ(Long.readAll(), "");
  RawSocket Odd = shakeHands();
  Frame.clear();
  appendFrame(Frame, Kind, FrameType{9}, 1, "");
  Odd.send(Frame);
  EXPECT_EQ(Odd.readAll(), "");
  RawSocket Answering = shakeHands();
  Frame.clear();
  appendFrame(Frame, Kind, FrameType::Answer, 1, "");
  Answering.send(Frame);
  EXPECT_EQ(Answering.readAll(), "");
  EXPECT_EQ(Server_->getCounters().FramesMalformed_, 3U);
  EXPECT_EQ(Calls_, 0);
}

TEST_F(LinkTest, refusesBodiesOverTheLimitOnEitherSide) {
  startBoth();
  EXPECT_EQ(getCallError(std::string(Settings_.MaxFrameBytes_ + 1, 'x')),
            ErrorCode::TooLarge);
  EXPECT_EQ(getCallError("large"), ErrorCode::TooLarge);
  EXPECT_TRUE(Client_->isConnected());
}

TEST_F(LinkTest, saysTimeoutAtTheDeadlineAndDropsTheLateAnswer) {
  startBoth();
  EXPECT_EQ(getCallError("hold", 30ms), ErrorCode::Timeout);
  Held_.at(0)("too late");
  EXPECT_EQ(call("hi").get().value(), "re:hi");
}

TEST_F(LinkTest, saysTimeoutWhenTheConnectionIsLostAfterSending) {
  startBoth();
  auto Answer = call("hold");
  ASSERT_TRUE(waitUntil([this] { return Calls_ == 1; }));
  Server_.reset();
  EXPECT_EQ(Answer.get().error().Code_, ErrorCode::Timeout);
}

TEST_F(LinkTest, saysUnavailableForWhatNeverLeft) {
  Settings_.MaxFrameBytes_ = LargerThanBuffers;
  const RawSocket Listener = RawSocket::listen();
  Listen_ = Listener.getAddress();
  startClient(Settings_);
  RawSocket Peer = acceptClient(Listener);
  callPastTheBuffers(Peer);
  Peer.reset();
  expectOnlyTheFirstMayHaveLeft();
}

TEST_F(LinkTest, closesAConnectionWhosePeerTakesNothing) {
  Settings_.MaxFrameBytes_ = LargerThanBuffers;
  Settings_.WriteStallTimeout_ = 30ms;
  const RawSocket Listener = RawSocket::listen();
  Listen_ = Listener.getAddress();
  startClient(Settings_);
  RawSocket Peer = acceptClient(Listener);
  // Without anything to send, silence is no stall.
  std::this_thread::sleep_for(100ms);
  EXPECT_TRUE(Client_->isConnected());
  callPastTheBuffers(Peer);
  expectOnlyTheFirstMayHaveLeft();
}

TEST_F(LinkTest, refusesCallsWhenTooMuchIsWaiting) {
  Settings_.MaxQueuedBytes_ = 1000;
  startBoth();
  EXPECT_EQ(getCallError(std::string(1000, 'x')), ErrorCode::Unavailable);
  EXPECT_EQ(call("hi").get().value(), "re:hi");
}

TEST_F(LinkTest, comesBackAfterTheServerDoes) {
  startBoth();
  Server_.reset();
  ASSERT_TRUE(waitUntil([this] { return !Client_->isConnected(); }));
  EXPECT_EQ(getCallError("hi"), ErrorCode::Unavailable);
  startServer(Settings_);
  ASSERT_TRUE(waitUntil([this] { return Client_->isConnected(); }));
  EXPECT_EQ(call("hi").get().value(), "re:hi");
}

TEST_F(LinkTest, cutLetsNothingThroughAndKeepsTheConnection) {
  startBoth();
  auto Before = call("hold");
  ASSERT_TRUE(waitUntil([this] { return Calls_ == 1; }));
  Client_->setCut(true);
  Client_->post(Kind, "lost");
  EXPECT_EQ(getCallError("hi", 30ms), ErrorCode::Timeout);
  Held_.at(0)("lost too");
  EXPECT_TRUE(Client_->isConnected());
  EXPECT_EQ(Calls_, 1);
  EXPECT_EQ(Before.wait_for(30ms), std::future_status::timeout);
  Client_->setCut(false);
  EXPECT_EQ(call("hi").get().value(), "re:hi");
}

TEST_F(LinkTest, doesNotReconnectWhileCut) {
  startBoth();
  Client_->setCut(true);
  Server_.reset();
  ASSERT_TRUE(waitUntil([this] { return !Client_->isConnected(); }));
  startServer(Settings_);
  // Several times the longest pause between attempts.
  std::this_thread::sleep_for(5 * Settings_.ReconnectLast_);
  EXPECT_EQ(getCallError("hi"), ErrorCode::Unavailable);
  EXPECT_EQ(Server_->getCounters().BytesReceived_, 0U);
  Client_->setCut(false);
  EXPECT_TRUE(waitUntil([this] { return Client_->isConnected(); }));
}

TEST_F(LinkTest, stopEndsAllCalls) {
  startBoth();
  auto Answer = call("hold");
  Client_->stop();
  EXPECT_EQ(Answer.get().error().Code_, ErrorCode::Timeout);
  EXPECT_EQ(getCallError("hi"), ErrorCode::Unavailable);
}

TEST_F(LinkTest, clientLeavesAConnectionThatWentSilentForANewOne) {
  const RawSocket Listener = RawSocket::listen();
  Listen_ = Listener.getAddress();
  Settings_.LifeCheckInterval_ = 100ms;
  startClient(Settings_);
  // Takes everything and says nothing, though its machine still acknowledges.
  const RawSocket Silent = acceptClient(Listener);
  auto Lost = call("hi");
  RawSocket Next = Listener.accept();
  EXPECT_TRUE(LinkHello::decode(Next.readBytes(HelloBytes)));
  EXPECT_FALSE(Lost.get());
}

TEST_F(LinkTest, aConnectionWithoutFramesIsKeptWhileThePeerLives) {
  // Far above what a busy machine keeps a thread waiting.
  Settings_.LifeCheckInterval_ = 1s;
  startBoth();
  const std::uint64_t Before = Server_->getCounters().BytesReceived_;
  // A question is a header. The second one follows an answer.
  ASSERT_TRUE(waitUntil([&] {
    return Server_->getCounters().BytesReceived_ >=
           Before + 2 * FrameHeaderBytes;
  }));
  EXPECT_EQ(Server_->getCounters().BytesReceived_,
            Before + 2 * FrameHeaderBytes)
      << "no second handshake";
  EXPECT_EQ(Server_->getCounters().FramesReceived_, 0U);
  EXPECT_TRUE(Client_->isConnected());
}

TEST_F(LinkTest, serverClosesAConnectionThatWentSilent) {
  Settings_.LifeCheckInterval_ = 5ms;
  startServer(Settings_);
  RawSocket Silent = shakeHands();
  EXPECT_TRUE(Silent.readBytes(1).empty()) << "it was closed, not answered";
}
