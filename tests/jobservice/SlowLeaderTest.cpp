//===- SlowLeaderTest.cpp - Leases while the leader is slow ---------------===//
//
// What happened: a leader with a third of its processor answered 500 to 900
// reports a second of 1,100 servers, enough to answer each of them every two
// seconds. Yet servers that reported twice a second all the while got no answer
// for a whole lease of six seconds, stopped their tasks, and were given up:
// 1,830 runs lapsed in a day of 40 s. A relay put whoever it had turned away
// before all others, the last one first, and forgot it once it was asked by it
// again: some servers were answered each time they came, others never. Seen in
// a relay's figures while that leader was slow: four batches of 32 reports a
// second, 115 reports waiting, 220 to 280 turned away each second.
//
//===----------------------------------------------------------------------===//

#include "jobservice/RelayFixture.h"

#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

namespace {

/// Servers at one relay that report as a busy deployment's do, before a leader
/// that answers so many reports in so long and no more.
class SlowLeaderTest : public ReportRelayTest {
protected:
  /// The longest that the platform's servers go on without an answer.
  static constexpr Duration Lease = 6s;
  /// Two, as they were seen at that leader.
  static constexpr Duration CommitTime = 160ms;
  /// A server drops what comes later.
  static constexpr Duration ReportTimeout = 1s;

  struct Server {
    TimePoint NextReport_{};
    TimePoint SentAt_{};
    /// When the report was sent that was answered last.
    TimePoint LeaseStart_{};
    bool IsWaiting_ = false;
    std::uint64_t Sequence_ = 0;
    Duration MaxLeaseGap_{};
  };

  void report(std::size_t Number) {
    Server &Backend = Servers_[Number];
    Backend.IsWaiting_ = true;
    Backend.SentAt_ = Time_.now();
    const std::uint64_t Sequence = ++Backend.Sequence_;
    Relay_->add(makeReport("i-" + std::to_string(Number), Sequence),
                [this, Number, Sequence](const Outcome<ServerOrders> &Answer) {
                  handleAnswer(Number, Sequence, Answer);
                });
  }

  void handleAnswer(std::size_t Number, std::uint64_t Sequence,
                    const Outcome<ServerOrders> &Answer) {
    Server &Backend = Servers_[Number];
    const TimePoint Now = Time_.now();
    if (Sequence != Backend.Sequence_ || Now - Backend.SentAt_ > ReportTimeout)
      return;
    Backend.IsWaiting_ = false;
    if (Answer && Answer.value().LeaseMs_ > 0) {
      Backend.LeaseStart_ = Backend.SentAt_;
      // Runs of two seconds: some end between any two reports.
      Backend.NextReport_ = Now + 50ms;
      return;
    }
    Backend.NextReport_ =
        Now +
        std::chrono::milliseconds(Answer ? Answer.value().NextReportMs_ : 500);
  }

  /// Each 10 ms of the time that follows.
  void step() {
    Strand_.advance(10ms);
    const TimePoint Now = Time_.now();
    for (std::size_t I = 0; I < Servers_.size(); ++I) {
      Server &Backend = Servers_[I];
      if (Backend.IsWaiting_ && Now - Backend.SentAt_ > ReportTimeout) {
        Backend.IsWaiting_ = false;
        Backend.NextReport_ = Now;
      }
      Backend.MaxLeaseGap_ =
          std::max(Backend.MaxLeaseGap_, Now - Backend.LeaseStart_);
      if (!Backend.IsWaiting_ && Backend.NextReport_ <= Now)
        report(I);
    }
  }

  void answerWithLeases() {
    Sent Oldest = std::move(Sent_.front());
    Sent_.pop_front();
    ReportBatchReply Reply;
    ServerOrders Orders;
    Orders.LeaseMs_ = 6000;
    Orders.NextReportMs_ = 500;
    Reply.Answers_.assign(Oldest.Batch_.Reports_.size(),
                          {ReportVerdict::Answered, Orders, ""});
    Oldest.Done_(std::move(Reply));
  }

  /// A leader that takes so long for a report, one after the other, and for the
  /// commits that an answer waits for.
  void run(std::size_t Count, Duration ReportCost, Duration Length) {
    Servers_.resize(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      Servers_[I].LeaseStart_ = Time_.now();
      Servers_[I].NextReport_ =
          Time_.now() + 500ms * static_cast<int>(I) / static_cast<int>(Count);
    }
    const TimePoint End = Time_.now() + Length;
    TimePoint LeaderFreeAt = Time_.now();
    while (Time_.now() < End) {
      step();
      while (!Sent_.empty()) {
        const Sent &Next = Sent_.front();
        const TimePoint DoneAt =
            std::max(LeaderFreeAt, Next.SentAt_) +
            ReportCost * static_cast<int>(Next.Batch_.Reports_.size());
        if (DoneAt + CommitTime > Time_.now())
          break;
        LeaderFreeAt = DoneAt;
        answerWithLeases();
      }
    }
  }

  std::size_t countStarved() const {
    return static_cast<std::size_t>(std::count_if(
        Servers_.begin(), Servers_.end(),
        [](const Server &Backend) { return Backend.MaxLeaseGap_ > Lease; }));
  }

  std::vector<Server> Servers_;
};

} // namespace

TEST_F(SlowLeaderTest, NoReportingServerLosesItsLease) {
  // A quarter of 1,100 servers, at a quarter of 512 reports a second.
  run(275, 7800us, 40s);
  EXPECT_EQ(countStarved(), 0U);
}

TEST_F(SlowLeaderTest, ServersFromALostRelayKeepTheirLeases) {
  run(180, 7800us, 10s);
  // Their relay is gone: a hundred more, which nobody here knows.
  run(280, 7800us, 30s);
  EXPECT_EQ(countStarved(), 0U);
}
