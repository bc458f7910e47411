//===- Fakes.h - Fakes and a harness for tests of the entry ----*- C++ -*-===//
//
// Provides timers on a manual clock, backend servers with injected faults, and
// control processes with simple records. All are single-threaded.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_ENTRY_SUPPORT_FAKES_H
#define TULIPWEIR_TESTS_ENTRY_SUPPORT_FAKES_H

#include "tulipweir/entry/Entry.h"
#include "tulipweir/fleet/Bundle.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::entry::test {

class FakeTimers final : public Timers {
public:
  explicit FakeTimers(ManualClock &Clock) : Clock_(Clock) {}
  void runAfter(Duration Delay, std::function<void()> Task) override {
    Tasks_.emplace(Clock_.now() + Delay, std::move(Task));
  }
  /// Advances the clock and runs the due tasks in order.
  void advance(Duration By) {
    const TimePoint End = Clock_.now() + By;
    while (!Tasks_.empty() && Tasks_.begin()->first <= End) {
      auto Node = Tasks_.extract(Tasks_.begin());
      if (Node.key() > Clock_.now())
        Clock_.advance(Node.key() - Clock_.now());
      Node.mapped()();
    }
    Clock_.advance(End - Clock_.now());
  }

private:
  ManualClock &Clock_;
  std::multimap<TimePoint, std::function<void()>> Tasks_;
};

/// A fault of one try at the backend servers.
enum class TryFault {
  None,
  Refused,         ///< The connection is refused and nothing is sent.
  Busy,            ///< The server answers "busy, not run".
  BrokenBeforeRun, ///< The connection breaks before the request runs.
  BrokenAfterRun,  ///< The connection breaks during or after the run.
  Truncated,       ///< It runs; half of the response arrives.
  WrongId,         ///< It runs; another request's response arrives.
  BusyForOther,    ///< It runs; another request's "busy, not run" arrives.
  TooLarge,        ///< It runs; the response is over the limit.
  Frozen,          ///< It does not run, and no response arrives.
  RunFrozen,       ///< It runs, and no response arrives.
  Slow,            ///< It runs and answers well after the others.
  Late,            ///< It runs; the response is due after the deadline.
};
inline constexpr TryFault AllTryFaults[] = {TryFault::None,
                                            TryFault::Refused,
                                            TryFault::Busy,
                                            TryFault::BrokenBeforeRun,
                                            TryFault::BrokenAfterRun,
                                            TryFault::Truncated,
                                            TryFault::WrongId,
                                            TryFault::BusyForOther,
                                            TryFault::TooLarge,
                                            TryFault::Frozen,
                                            TryFault::RunFrozen,
                                            TryFault::Slow,
                                            TryFault::Late};

class FakeBackend final : public BackendClient {
public:
  struct Sent {
    net::Endpoint To_;
    net::HttpRequest Request_;
    TimePoint Deadline_;
    TimePoint At_;
  };

  FakeBackend(FakeTimers &Timers, const Clock &Clock)
      : Timers_(Timers), Clock_(Clock) {}

  std::uint64_t send(const net::Endpoint &To, net::HttpRequest Request,
                     TimePoint Deadline,
                     net::HttpClient::Callback Done) override;
  void cancel(std::uint64_t Exchange) override {
    end(Exchange, {net::HttpStage::Sent, fail(ErrorCode::Timeout, "cancel")});
  }
  void forget(const net::Endpoint &Peer) override { Forgotten_.insert(Peer); }

  /// Returns how often the request with that body ran.
  unsigned getRuns(const std::string &Body) const {
    const auto It = Runs_.find(Body);
    return It == Runs_.end() ? 0 : It->second;
  }

  /// The faults of the next tries, in order. Later tries have no fault.
  std::vector<TryFault> Script_;
  /// Faults of all tries at one server; they override Script_.
  std::map<net::Endpoint, TryFault> ServerFaults_;
  Duration ServiceTime_ = std::chrono::milliseconds(10);
  std::vector<Sent> Sent_;
  std::set<net::Endpoint> Forgotten_;

private:
  TryFault takeFault(const net::Endpoint &To);
  void end(std::uint64_t Exchange, net::HttpResult Result);
  void endAfter(Duration Delay, std::uint64_t Exchange, net::HttpResult Result);

  FakeTimers &Timers_;
  const Clock &Clock_;
  std::uint64_t Last_ = 0;
  std::map<std::uint64_t, net::HttpClient::Callback> Open_;
  std::map<std::string, unsigned> Runs_;
};

/// A fault of a call to the control processes.
enum class CallFault {
  None,
  Unavailable, ///< There is no leader; the call has no effect.
  LostBefore,  ///< The call times out without effect.
  LostAfter,   ///< The call times out after taking effect.
};

class FakeControl : public ControlClient {
public:
  explicit FakeControl(FakeTimers &Timers) : Timers_(Timers) {}

  void report(const wire::EntryReport &Report, Duration Timeout,
              ControlCallback<wire::EntryReport> Done) override;
  void announce(const wire::Announcement &Announcement, Duration Timeout,
                ControlCallback<wire::Announcement> Done) override;
  void begin(const wire::BeginRequest &Request, Duration Timeout,
             ControlCallback<wire::BeginRequest> Done) override;
  void finish(const wire::FinishRequest &Request, Duration Timeout,
              ControlCallback<wire::FinishRequest> Done) override;
  void abandon(const wire::AbandonRequest &Request, Duration Timeout,
               ControlCallback<wire::AbandonRequest> Done) override;
  void callOperator(const wire::OperatorCall &Call, Duration Timeout,
                    ControlCallback<wire::OperatorCall> Done) override;

  /// Marks the requests that the entry process had begun as unknown.
  void markEntryLost();

  wire::EntryReportReply Reply_;
  std::vector<CallFault> BeginFaults_, FinishFaults_, AbandonFaults_;
  bool ReportsLost_ = false;
  std::vector<wire::EntryReport> Reports_;
  std::vector<wire::OperatorCall> OperatorCalls_;
  std::vector<wire::Announcement> Announcements_;
  std::optional<wire::RequestDisposition> NextDisposition_;

private:
  struct Record {
    Digest Digest_;
    wire::RequestDisposition State_ = wire::RequestDisposition::Running;
    bool Abandoned_ = false;
    std::uint64_t Attempt_ = 0;
    std::uint64_t Nonce_ = 0;
    std::uint64_t Incarnation_ = 0;
    std::optional<wire::StoredAnswer> Answer_;
  };

  wire::BeginRequestReply applyBegin(const wire::BeginRequest &Request);
  wire::RecordReply applyFinish(const wire::FinishRequest &Request);
  wire::RecordReply applyAbandon(const wire::AbandonRequest &Request);
  template <class Reply>
  void answer(std::vector<CallFault> &Faults, Duration Timeout,
              std::function<Reply()> Apply,
              std::function<void(Outcome<Reply>)> Done);

  FakeTimers &Timers_;
  std::map<RequestKey, Record> Records_;
};

/// An entry with fake surroundings, and functions to call it.
class EntryHarness {
public:
  static constexpr const char *ServiceName = "booking";

  explicit EntryHarness(unsigned Servers = 3, unsigned SlotsEach = 2);

  struct Answer {
    net::HttpResponse Response_;
    TimePoint At_;
  };
  /// A call and its responses; there must be exactly one.
  struct Call {
    std::string Body_;
    TimePoint At_;
    std::vector<Answer> Answers_;
    const net::HttpResponse &response() const {
      return Answers_.at(0).Response_;
    }
    std::string outcome() const {
      return std::string(response().findHeader("X-Tulipweir-Outcome"));
    }
  };

  /// Sends a request with the given body and headers.
  std::shared_ptr<Call>
  call(const std::string &Body, std::vector<net::HttpHeader> Headers = {},
       const std::string &Method = "POST",
       const std::string &Path = "/v1/services/booking/x");
  void advance(Duration By) { Timers_.advance(By); }
  /// Replaces the entry process with a new one.
  void restartEntry();
  /// Changes the routes; the reply to the next report contains them.
  void setRoutes(std::vector<wire::Route> Routes);
  void setBundle(std::uint64_t Version, const std::string &ServiceExtra = "",
                 const std::string &Extra = "");

  ManualClock Clock_;
  FakeTimers Timers_{Clock_};
  FakeBackend Backend_{Timers_, Clock_};
  std::shared_ptr<FakeControl> Control_ =
      std::make_shared<FakeControl>(Timers_);
  net::Metrics Metrics_;
  std::vector<wire::Route> Routes_;
  /// Whether the entry knows a second, unreachable data centre. Applies from
  /// the next start.
  bool RemoteKnown_ = false;
  std::unique_ptr<Entry> Entry_;
  /// Previous processes, whose timers may still fire.
  std::vector<std::unique_ptr<Entry>> PreviousEntries_;

private:
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Random_ = 12345;
};

/// Returns the response of a backend server to the request with that body.
inline std::string makeAnswerBody(const std::string &Body) {
  return "answer to " + Body;
}

} // namespace tulipweir::entry::test

#endif // TULIPWEIR_TESTS_ENTRY_SUPPORT_FAKES_H
