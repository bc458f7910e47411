//===- ServerPollerTest.cpp - Tests of a control that polls a server ------===//

#include "platform/ServerPoller.h"

#include "jobservice/NodeCluster.h"
#include "platform/PollWire.h"

#include "tulipweir/net/HttpServer.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <mutex>

using namespace tulipweir;
using namespace tulipweir::platform;
using namespace std::chrono_literals;
using jobservice::test::waitFor;
using Json = nlohmann::json;

namespace {

/// The system clock with an adjustable offset.
class OffsetClock final : public Clock {
public:
  TimePoint now() const override { return Real_.now() + Offset_.load(); }
  WallTime wallNow() const override { return Real_.wallNow(); }
  void advance(Duration By) { Offset_ = Offset_.load() + By; }

private:
  SystemClock Real_;
  std::atomic<Duration> Offset_{Duration(0)};
};

/// A polled server. Its tasks run until they are stopped or finish() is called.
class FakeServer {
public:
  explicit FakeServer(net::IoPool &Pool)
      : Server_(Pool.context(), makeSettings(),
                [this](const net::HttpRequest &Request,
                       const net::HttpRespond &Respond) {
                  Respond(handle(Request));
                }) {
    const auto Bound = Server_.start();
    EXPECT_TRUE(Bound);
    Address_ = Bound.value().toString();
  }

  static net::HttpServerSettings makeSettings() {
    net::HttpServerSettings Settings;
    Settings.Listen_ = {"127.0.0.1", 0};
    return Settings;
  }
  net::HttpResponse handle(const net::HttpRequest &Request) {
    const std::lock_guard Hold(Lock_);
    const Json Body = Json::parse(Request.Body_);
    ++Calls_;
    Last_[Request.Path_] = Body;
    MinToken_ = std::min(MinToken_, Body.value("fencingToken", 0U));
    Json Answer = {{"currentTimeMs", NowMs}};
    if (Request.Path_ == "/runs")
      Running_[Body["task"]] = Body["run"];
    if (Request.Path_ == "/stop" && !RefusesStops_)
      Running_.erase(Body["task"].get<std::string>());
    if (Request.Path_ == "/stop" && RefusesStops_)
      return net::HttpResponse::makeJson(503, "{}");
    if (Request.Path_ != "/hold")
      return net::HttpResponse::makeJson(200, Answer.dump());
    Answer["running"] = Json::array();
    for (const auto &[Task, Run] : Running_)
      Answer["running"].push_back({Task, Run, "", 50, 0});
    Answer["finished"] = Ended_;
    if (BornMs_ != 0)
      Answer["born"] = BornMs_.load();
    return net::HttpResponse::makeJson(200, Answer.dump());
  }
  /// Ends all running tasks as done.
  void finish() {
    const std::lock_guard Hold(Lock_);
    for (const auto &[Task, Run] : Running_)
      Ended_.push_back({++Ends_, Task, Run, "done", ""});
    Running_.clear();
  }
  std::size_t countRunning() const {
    const std::lock_guard Hold(Lock_);
    return Running_.size();
  }
  std::size_t countCalls() const {
    const std::lock_guard Hold(Lock_);
    return Calls_;
  }
  Json getLast(const std::string &Path) const {
    const std::lock_guard Hold(Lock_);
    const auto It = Last_.find(Path);
    return It == Last_.end() ? Json::object() : It->second;
  }

  /// Returns the lowest fencing token of all calls.
  unsigned getMinToken() const {
    const std::lock_guard Hold(Lock_);
    return MinToken_;
  }

  static constexpr std::uint64_t NowMs = 482'113; ///< The server's own clock.
  std::string Address_;
  std::atomic<bool> RefusesStops_{false};
  std::atomic<std::uint64_t> BornMs_{0};

private:
  mutable std::mutex Lock_;
  std::size_t Calls_ = 0;
  unsigned MinToken_ = std::numeric_limits<unsigned>::max();
  std::uint64_t Ends_ = 0;
  Json Ended_ = Json::array();
  std::map<std::string, std::uint64_t> Running_;
  std::map<std::string, Json> Last_; ///< Last body by path.
  net::HttpServer Server_;
};

/// A control and a polled server.
class ServerPollerTest : public jobservice::test::NodeCluster {
protected:
  void SetUp() override {
    start(1, {1}, /*MayFound=*/true, /*Voters=*/1);
    ASSERT_TRUE(waitFor([this] { return findLeader() == 1; }));
    ASSERT_TRUE(putConfiguration(1));
    Poller_ = std::make_unique<ServerPoller>(*Nodes_.at(1), Http_, Pool_,
                                             Clock_, 60s);
  }
  /// The poller and the node need a running pool to stop. Other users of the
  /// pool's threads, such as the server, are destroyed after these have ended.
  void TearDown() override {
    Poller_.reset();
    Nodes_.clear();
    Pool_.stop();
  }
  /// Registers a heartbeat of the incarnation Id.
  void sendHeartbeat(const std::string &Id, std::uint64_t Sequence) {
    jobs::ServerReport Heartbeat;
    Heartbeat.Facts_.Id_ = Id;
    Heartbeat.Facts_.Service_ = "s";
    Heartbeat.Facts_.Address_ = Server_.Address_;
    Heartbeat.Facts_.Capacity_ = Resources::makeFor(4000, 10'000);
    Heartbeat.Sequence_ = Sequence;
    std::promise<std::uint64_t> Token;
    Nodes_.at(1)->findFencingToken(
        [&Token](const Outcome<std::uint64_t> &Result) {
          Token.set_value(Result ? Result.value() : 0);
        });
    Poller_->registerServer(std::move(Heartbeat), Token.get_future().get());
  }
  std::optional<jobs::JobCallReply> call(jobs::CallKind Kind) {
    jobs::JobCall Call;
    Call.Kind_ = Kind;
    Call.Host_ = "h";
    Call.Path_ = "/p/0123456789abcdef";
    Call.Spec_.Payload_ = "payload";
    Call.Spec_.Steps_.resize(1);
    Call.Spec_.Steps_[0].Need_ = Resources::makeFor(1000, 100);
    std::promise<std::optional<jobs::JobCallReply>> Result;
    Nodes_.at(1)->call(
        Call, [&Result](const Outcome<jobs::JobCallReply> &Reply) {
          Result.set_value(Reply ? std::optional(Reply.value()) : std::nullopt);
        });
    return Result.get_future().get();
  }
  bool hasState(jobs::JobState State) {
    const auto Reply = call(jobs::CallKind::Show);
    return Reply && Reply->State_ == State;
  }

  OffsetClock Clock_;
  net::HttpClient Http_{Pool_.context(), net::HttpClientSettings()};
  FakeServer Server_{Pool_};
  std::unique_ptr<ServerPoller> Poller_;
};

} // namespace

TEST_F(ServerPollerTest, TaskIsStartedRenewedAndItsEndAcknowledged) {
  sendHeartbeat("i-1", 1);
  ASSERT_TRUE(call(jobs::CallKind::Submit));
  ASSERT_TRUE(waitFor([this] { return Server_.countRunning() == 1; }));
  const Json Start = Server_.getLast("/runs");
  EXPECT_EQ(Start["task"], "0123456789abcdef.0.0.0");
  EXPECT_EQ(Start["run"], 1);
  EXPECT_EQ(Start["spec"], "payload");
  EXPECT_EQ(Start["deadlineMs"], FakeServer::NowMs + 5000)
      << "a lease on the server's own clock";
  EXPECT_GT(Start["fencingToken"].get<std::uint64_t>(), 0U);
  EXPECT_TRUE(waitFor([this] { return hasState(jobs::JobState::Running); }));
  Server_.finish();
  EXPECT_TRUE(waitFor([this] { return hasState(jobs::JobState::Completed); }));
  EXPECT_TRUE(waitFor(
      [this] { return Server_.getLast("/hold").value("lastSeen", 0) == 1; }));
}

TEST_F(ServerPollerTest, EveryCallCarriesTheFencingToken) {
  sendHeartbeat("i-1", 1);
  ASSERT_TRUE(waitFor([this] { return Server_.countCalls() > 0; }));
  EXPECT_GT(Server_.getMinToken(), 0U)
      << "a server listens to none that is lower than one it has seen";
}

TEST_F(ServerPollerTest, StopIsRetriedUntilTheServerConfirmsIt) {
  sendHeartbeat("i-1", 1);
  ASSERT_TRUE(call(jobs::CallKind::Submit));
  ASSERT_TRUE(waitFor([this] { return Server_.countRunning() == 1; }));
  Server_.RefusesStops_ = true;
  ASSERT_TRUE(call(jobs::CallKind::Cancel));
  ASSERT_TRUE(waitFor([this] { return !Server_.getLast("/stop").empty(); }));
  EXPECT_EQ(Server_.countRunning(), 1U);
  Server_.RefusesStops_ = false;
  EXPECT_TRUE(waitFor([this] { return Server_.countRunning() == 0; }));
}

TEST_F(ServerPollerTest, ServerWithoutRecentHeartbeatIsNotCalled) {
  sendHeartbeat("i-1", 1);
  ASSERT_TRUE(waitFor([this] { return Server_.countCalls() > 0; }));
  Clock_.advance(60s);
  ASSERT_TRUE(call(jobs::CallKind::Submit));
  // Pending calls have ended once two successive counts agree.
  std::size_t Before = 0;
  ASSERT_TRUE(waitFor([&] {
    const std::size_t Now = Server_.countCalls();
    return std::exchange(Before, Now) == Now;
  }));
  EXPECT_EQ(Server_.countRunning(), 0U);
  sendHeartbeat("i-1", 2);
  EXPECT_TRUE(waitFor([this] { return Server_.countRunning() == 1; }));
}

TEST_F(ServerPollerTest,
       TwoIncarnationsAtOneAddressAreNotCalledUntilOneIsSilent) {
  sendHeartbeat("i-1", 1);
  sendHeartbeat("i-2", 1);
  ASSERT_TRUE(call(jobs::CallKind::Submit));
  std::size_t Before = 0;
  ASSERT_TRUE(waitFor([&] {
    const std::size_t Now = Server_.countCalls();
    return std::exchange(Before, Now) == Now;
  }));
  EXPECT_EQ(Server_.countRunning(), 0U);
  Clock_.advance(3s);
  sendHeartbeat("i-2", 2);
  EXPECT_TRUE(waitFor([&] { return Server_.countCalls() > Before; }));
}

// Guards against an answer of a restarted server that counts as one of its
// earlier incarnation, and against a restarted server that waits until the
// earlier incarnation has been silent.
TEST_F(ServerPollerTest, RestartedServerIsPolledUnderItsIncarnation) {
  Server_.BornMs_ = 2;
  ASSERT_TRUE(call(jobs::CallKind::Submit));
  sendHeartbeat("i-1/1", 1);
  ASSERT_TRUE(waitFor([this] { return Server_.countCalls() > 0; }));
  sendHeartbeat("i-1/1", 2);
  ASSERT_TRUE(waitFor([this] { return Server_.countCalls() > 1; }));
  EXPECT_EQ(Server_.countRunning(), 0U);
  sendHeartbeat("i-1/2", 1);
  EXPECT_TRUE(waitFor([this] { return Server_.countRunning() == 1; }));
}
