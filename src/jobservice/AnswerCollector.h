//===- AnswerCollector.h - Collects the answers to a batch ------*- C++ -*-===//
//
// Collects the leader's answers to the reports of one batch and sends them
// together. It sends an incomplete set if the last answers take too long.
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

/// All members are called on one executor.
class AnswerCollector {
public:
  using SendAnswers = std::function<void(std::vector<jobs::ReportAnswer>)>;
  using Reply = std::function<void(jobs::ReportBatchReply)>;

  /// Passes the reports of a batch to the leader. Answer is called once, with a
  /// reply whose Relays_ and AwaitingStop_ are empty. The caller keeps the
  /// collector and calls sendIfOverdue until isSent. Time must outlive it.
  static std::shared_ptr<AnswerCollector>
  handleBatch(jobs::ReportBatch Batch, jobs::JobLeader &Leader,
              RelayFlush &Flush, const Clock &Time, Reply Answer);
  AnswerCollector(std::size_t Reports, TimePoint StartedAt, SendAnswers Send);

  // Commands.

  void addAnswer(std::size_t Report, const Outcome<jobs::ServerOrders> &Answer);
  /// Sends the answers so far if there are any and the batch has waited too
  /// long.
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
