//===- RelayFixture.h - A relay with a scripted leader --------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_RELAYFIXTURE_H
#define TULIPWEIR_TESTS_JOBSERVICE_RELAYFIXTURE_H

#include "jobs/LeaderFixture.h"
#include "jobservice/ReportRelay.h"

#include <deque>

namespace tulipweir::jobservice::test {

using namespace std::chrono_literals;
using jobs::ReportBatch;
using jobs::ReportBatchReply;
using jobs::ReportVerdict;
using jobs::ServerOrders;
using jobs::ServerReport;

inline ServerReport makeReport(const std::string &Id,
                               std::uint64_t Sequence = 1) {
  ServerReport Report;
  Report.Facts_.Id_ = Id;
  Report.Facts_.Service_ = "s";
  Report.Facts_.Address_ = Id + ":1";
  Report.Facts_.Capacity_ = Resources::makeFor(4, 4096);
  Report.Sequence_ = Sequence;
  return Report;
}

/// Simulates the leader. Tests answer its batches explicitly.
class ReportRelayTest : public ::testing::Test {
protected:
  struct Sent {
    ReportBatch Batch_;
    ReportRelay::BatchDone Done_;
    TimePoint SentAt_;
  };

  /// Adds a report and records the number of answers and the last answer.
  void add(const std::string &Id) { add(makeReport(Id)); }
  void add(const ServerReport &Report) {
    const std::string Id = Report.Facts_.Id_;
    ++ReportCount_[Id];
    Relay_->add(Report, [this, Id](Outcome<ServerOrders> Answer) {
      ++AnswerCount_[Id];
      Succeeded_[Id] = Answer.has_value();
      Tokens_[Id] = Answer ? Answer.value().FencingToken_ : 0;
      LeasesMs_[Id] = Answer ? Answer.value().LeaseMs_ : 0;
    });
  }
  /// Adds unanswered reports until the relay sends no more.
  void fillWindow() {
    for (int I = 0; I < 2000; ++I) {
      add("first" + std::to_string(I));
      Strand_.advance(1ms);
    }
    Strand_.advance(1s);
  }
  /// Answers the oldest batch, each report with its position as the token.
  void answer(std::vector<std::string> Relays = {}) {
    Sent Oldest = std::move(Sent_.front());
    Sent_.pop_front();
    ReportBatchReply Reply;
    Reply.Relays_ = std::move(Relays);
    for (std::size_t I = 0; I < Oldest.Batch_.Reports_.size(); ++I) {
      ServerOrders Orders;
      Orders.FencingToken_ = I + 1;
      Reply.Answers_.push_back({ReportVerdict::Answered, Orders, ""});
    }
    Oldest.Done_(std::move(Reply));
  }

  ManualClock Time_;
  jobs::test::ManualExecutor Strand_{Time_};
  std::deque<Sent> Sent_;
  std::map<std::string, int> ReportCount_;
  std::map<std::string, int> AnswerCount_;
  std::map<std::string, bool> Succeeded_;
  std::map<std::string, std::uint64_t> Tokens_;
  std::map<std::string, std::uint64_t> LeasesMs_;
  std::shared_ptr<ReportRelay> Relay_ = std::make_shared<ReportRelay>(
      Strand_, Time_,
      [this](ReportBatch Batch, Duration, ReportRelay::BatchDone Done) {
        Sent_.push_back({std::move(Batch), std::move(Done), Time_.now()});
      });
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_RELAYFIXTURE_H
