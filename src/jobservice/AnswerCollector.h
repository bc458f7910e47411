//===- AnswerCollector.h - Collects the answers to a batch ------*- C++ -*-===//
//
// Collects what the leader answers to the reports of one batch, each in its own
// time, and sends them together: when the last one is there, or as far as they
// are when one takes long.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_ANSWERCOLLECTOR_H
#define TULIPWEIR_SRC_JOBSERVICE_ANSWERCOLLECTOR_H

#include "jobservice/RelayFlush.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobLeader.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <functional>
#include <memory>
#include <vector>

namespace tulipweir::jobservice {

/// Lives on one executor.
class AnswerCollector {
public:
  using SendAnswers = std::function<void(std::vector<jobs::ReportAnswer>)>;
  using Reply = std::function<void(jobs::ReportBatchReply)>;

  /// Has the leader decide a batch. Answer is called once, without the relays
  /// and stops that a leader knows; the gather is to be kept and looked at
  /// until it has sent. Time must outlive it.
  static std::shared_ptr<AnswerCollector>
  handleBatch(jobs::ReportBatch Batch, jobs::JobLeader &Leader,
              RelayFlush &Flush, const Clock &Time, Reply Answer);
  AnswerCollector(std::size_t Reports, TimePoint StartedAt, SendAnswers Send);

  // Commands.

  void addAnswer(std::size_t Report, const Outcome<jobs::ServerOrders> &Answer);
  /// Sends what is there if the first answers have waited for too long.
  void sendIfOverdue(TimePoint Now);

  // Queries.

  bool isSent() const { return IsSent_; }

private:
  void send();

  std::vector<jobs::ReportAnswer> Answers_;
  std::size_t Unanswered_;
  const TimePoint StartedAt_;
  const SendAnswers Send_;
  bool IsSent_ = false;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_ANSWERCOLLECTOR_H
