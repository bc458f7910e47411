//===- ThreadsTest.cpp - Tests of the request path with several threads ---===//
//
// Backend servers answer from several threads at random times, with hedging
// enabled and fewer slots than requests. The checks do not depend on timing.
//
//===----------------------------------------------------------------------===//

#include "entry/support/Fakes.h"

#include "tulipweir/net/IoPool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ThreadTimers final : public Timers {
public:
  explicit ThreadTimers(net::IoPool &Pool) : Pool_(Pool) {}
  void runAfter(Duration Delay, std::function<void()> Task) override {
    Pool_.runAfter(Delay, std::move(Task));
  }

private:
  net::IoPool &Pool_;
};

/// Ends each exchange once: at a random time, or through cancel.
class ThreadedBackend final : public BackendClient {
public:
  ThreadedBackend(net::IoPool &Pool, std::uint32_t Slots)
      : Pool_(Pool), Slots_(Slots) {}

  std::uint64_t send(const net::Endpoint &To, net::HttpRequest Request,
                     TimePoint, net::HttpClient::Callback Done) override {
    std::lock_guard Lock(Mutex_);
    const std::uint64_t Number = ++Last_;
    SlotsExceeded_ |= ++InFlight_[To] > Slots_;
    const unsigned Behaviour = Random_() % 10;
    const bool Runs = Behaviour >= 3;
    Run_[Request.Body_] += Runs ? 1 : 0;
    Open_.emplace(Number, Exchange{To, std::move(Done)});
    net::HttpResult Result{net::HttpStage::NothingSent,
                           fail(ErrorCode::Unavailable, "refused")};
    if (Behaviour == 3)
      Result = {net::HttpStage::Sent, fail(ErrorCode::Unavailable, "lost")};
    if (Behaviour > 3) {
      net::HttpResponse Good;
      Good.Headers_ = {{header::RequestId,
                        std::string(Request.findHeader(header::RequestId))}};
      Good.Body_ = Request.Body_;
      Result = {net::HttpStage::Answered, Good};
    }
    const bool Slow = Random_() % 8 == 0;
    Pool_.runAfter(microseconds(Slow ? 6000 : Random_() % 400),
                   [this, Number, Result] { end(Number, Result); });
    return Number;
  }
  void cancel(std::uint64_t Number) override {
    Pool_.runAfter(Duration::zero(), [this, Number] {
      end(Number, {net::HttpStage::Sent, fail(ErrorCode::Timeout, "cancel")});
    });
  }
  void forget(const net::Endpoint &) override {}

  unsigned getRuns(const std::string &Body) {
    std::lock_guard Lock(Mutex_);
    return Run_[Body];
  }
  bool haveSlotsBeenExceeded() {
    std::lock_guard Lock(Mutex_);
    return SlotsExceeded_;
  }

private:
  struct Exchange {
    net::Endpoint To_;
    net::HttpClient::Callback Done_;
  };

  void end(std::uint64_t Number, net::HttpResult Result) {
    net::HttpClient::Callback Done;
    {
      std::lock_guard Lock(Mutex_);
      auto Node = Open_.extract(Number);
      if (Node.empty())
        return;
      --InFlight_[Node.mapped().To_];
      Done = std::move(Node.mapped().Done_);
    }
    Done(std::move(Result));
  }

  net::IoPool &Pool_;
  const std::uint32_t Slots_;
  std::mutex Mutex_;
  std::mt19937 Random_{7};
  std::uint64_t Last_ = 0;
  std::map<std::uint64_t, Exchange> Open_;
  std::map<net::Endpoint, std::uint32_t> InFlight_;
  std::map<std::string, unsigned> Run_;
  bool SlotsExceeded_ = false;
};

Configuration makeConfiguration() {
  Configuration Config;
  for (const char *Name : {"booking", "tariff"}) {
    fleet::ServiceConfig Service;
    Service.Service_ = ServiceId(Name);
    Service.HedgingAllowed_ = true;
    Service.QueueLimit_ = 5000;
    Config.Services_.emplace(Service.Service_, Service);
  }
  Config.Bundle_.RetryBudget_ = 1;
  return Config;
}

wire::EntryReportReply makeRoutes(std::uint32_t Slots) {
  wire::EntryReportReply Reply;
  Reply.GrantTtlMs_ = 600'000;
  Reply.RoutesVersion_ = 1;
  Reply.Routes_.emplace();
  for (int Number = 1; Number <= 4; ++Number) {
    wire::Route Route;
    Route.Server_ = BackendServerId(std::to_string(Number));
    Route.Address_ = "127.0.0.1:" + std::to_string(Number);
    Route.Services_ = {ServiceId("booking"), ServiceId("tariff")};
    Route.Slots_ = Route.Connections_ = Slots;
    Reply.Routes_->push_back(Route);
  }
  return Reply;
}

} // namespace

namespace {

/// Calls a function while the time is read, to simulate another thread.
class CallbackClock final : public Clock {
public:
  TimePoint now() const override {
    if (Callback_ && CallsBeforeCallback_-- == 0)
      std::exchange(Callback_, nullptr)();
    return Manual_.now();
  }
  WallTime wallNow() const override { return Manual_.wallNow(); }

  ManualClock Manual_;
  mutable std::function<void()> Callback_;
  mutable int CallsBeforeCallback_ = 0;
};

/// Keeps every exchange open until the test ends it.
class ManualBackend final : public BackendClient {
public:
  std::uint64_t send(const net::Endpoint &, net::HttpRequest, TimePoint,
                     net::HttpClient::Callback Done) override {
    Open_.push_back(std::move(Done));
    return Open_.size();
  }
  void cancel(std::uint64_t) override {}
  void forget(const net::Endpoint &) override {}

  std::vector<net::HttpClient::Callback> Open_;
};

} // namespace

// The first try is rejected when its hedge already has a slot and is about to
// be sent. The caller gets "not run", so the hedge must not be sent.
TEST(ThreadsTest, NoHedgeIsSentAfterNotRunWasReturned) {
  CallbackClock Clock;
  test::FakeTimers Timers(Clock.Manual_);
  ManualBackend Backend;
  net::Metrics Metrics;
  EntryMetrics Counters(Metrics);
  Router Routes(Clock, 1);
  Configuration Config = makeConfiguration();
  Config.Bundle_.RetryBudget_ = 0.001;
  Routes.configure(Config);
  Routes.adopt(makeRoutes(3), Clock.now(), 0);
  RequestSender Sender({Routes, Backend, Timers, Clock, Counters});
  const auto Gate = Routes.findGate(ServiceId("booking"));
  // The mean latency is known, and the budget permits one more retry.
  Gate->recordSlotTaken(BackendServerId("1"));
  Gate->recordSlotReleased(BackendServerId("1"), decide::RequestResult::Served,
                           milliseconds(1));
  for (int I = 0; I < 9; ++I)
    Gate->trySpendRetry();
  auto Request = std::make_shared<ServiceRequest>();
  Request->Service_ = ServiceId("booking");
  Request->Deadline_ = Clock.now() + seconds(1);
  Request->Repeatable_ = Request->Hedged_ = true;
  std::optional<RequestOutcome> ReportedOutcome;
  std::size_t SentAtReport = 0;
  Sender.send(Request, [&](const FinalResult &Result) {
    ReportedOutcome = Result.Outcome_;
    SentAtReport = Backend.Open_.size();
  });
  ASSERT_EQ(Backend.Open_.size(), 1U);
  // The gate reads the clock first, under its lock, and the sender second.
  Clock.CallsBeforeCallback_ = 1;
  Clock.Callback_ = [&] {
    Backend.Open_[0](
        {net::HttpStage::NothingSent, fail(ErrorCode::Unavailable, "refused")});
  };
  Timers.advance(milliseconds(100));
  ASSERT_EQ(ReportedOutcome, RequestOutcome::NotRun);
  EXPECT_EQ(Backend.Open_.size(), SentAtReport);
}

TEST(ThreadsTest, EachRequestEndsOnceAndSlotLimitsHold) {
  constexpr std::uint32_t Slots = 3;
  constexpr int Requests = 3000;
  constexpr int InitialRequests = 500;
  constexpr int FollowUps = 6;
  const SystemClock Clock;
  net::Metrics Metrics;
  net::IoPool Pool(4);
  ThreadTimers Timers(Pool);
  ThreadedBackend Backend(Pool, Slots);
  EntryMetrics Counters(Metrics);
  Router Routes(Clock, 1);
  Routes.configure(makeConfiguration());
  Routes.adopt(makeRoutes(Slots), Clock.now(), 0);
  RequestSender Sender({Routes, Backend, Timers, Clock, Counters});
  std::atomic<int> Ended{0}, FalseNotRuns{0};
  std::mutex Mutex;
  std::condition_variable AllEnded;
  std::vector<std::pair<std::string, RequestOutcome>> Ends;
  // Initially many requests fill all slots and the queue. Afterwards half of
  // the slots stay free, and each end starts another request, so that hedges
  // are possible.
  std::atomic<int> Started{0};
  std::function<void()> StartNext = [&] {
    const int Number = Started++;
    if (Number >= Requests)
      return;
    auto Request = std::make_shared<ServiceRequest>();
    Request->Id_ = Request->Forward_.Body_ = std::to_string(Number);
    Request->Service_ = ServiceId(Number % 2 ? "booking" : "tariff");
    Request->ArrivedAt_ = Clock.now();
    Request->Deadline_ = Clock.now() + seconds(120);
    Request->Repeatable_ = Request->Hedged_ = Number % 3 != 0;
    Request->Forward_.Headers_ = {{header::RequestId, Request->Id_}};
    Sender.send(Request, [&, Number](FinalResult Result) {
      const std::string Body = std::to_string(Number);
      if (Result.Outcome_ == RequestOutcome::NotRun &&
          Backend.getRuns(Body) > 0)
        ++FalseNotRuns;
      if (Number >= InitialRequests - FollowUps)
        Pool.runAfter(Duration::zero(), StartNext);
      std::lock_guard Lock(Mutex);
      Ends.emplace_back(Body, Result.Outcome_);
      if (++Ended == Requests)
        AllEnded.notify_one();
    });
  };
  for (int Number = 0; Number < InitialRequests; ++Number)
    StartNext();
  {
    std::unique_lock Lock(Mutex);
    AllEnded.wait_for(Lock, seconds(100), [&] { return Ended == Requests; });
  }
  // Cancelled hedges still end.
  const auto Idle = [&] {
    for (const wire::GrantHeld &Held : Routes.getSnapshot().Grants_)
      if (Held.InFlight_ > 0)
        return false;
    return true;
  };
  for (int Try = 0; Try < 1000 && !Idle(); ++Try)
    std::this_thread::sleep_for(milliseconds(10));
  EXPECT_TRUE(Idle());
  Pool.stop();
  EXPECT_EQ(Ended, Requests);
  EXPECT_EQ(FalseNotRuns, 0);
  EXPECT_FALSE(Backend.haveSlotsBeenExceeded());
  for (const auto &[Body, Outcome] : Ends) {
    if (Outcome == RequestOutcome::NotRun) {
      EXPECT_EQ(Backend.getRuns(Body), 0U) << Body;
    }
    if (std::stoi(Body) % 3 == 0) {
      EXPECT_LE(Backend.getRuns(Body), 1U) << Body;
    }
  }
  EXPECT_GT(Counters.Hedges_.value(), 0U);
}
