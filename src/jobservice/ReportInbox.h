//===- ReportInbox.h - Batches of reports that wait at the leader -*- C++ -*-=//
//
// Hands the leader one batch at a time, so that clients' calls and the sockets
// get their turn in between. A batch that waited for too long to be answered in
// time is rejected unhandled: work on it would delay those behind it until they
// are too late as well.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/jobs/JobMeter.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <deque>
#include <functional>
#include <memory>

namespace tulipweir::jobservice {

/// Lives on one executor: all members are called there, and callbacks run
/// there.
class ReportInbox {
public:
  using Reply = std::function<void(jobs::ReportBatchReply)>;
  /// Decides the reports of a batch.
  using Handle = std::function<void(jobs::ReportBatch, Reply)>;

  /// References must outlive it.
  ReportInbox(Executor &Strand, const Clock &Time, jobs::JobMeter &Meter,
              Handle Handling);

  /// ReceivedAt: when the batch came from the network. Answer is called once.
  void add(jobs::ReportBatch Batch, TimePoint ReceivedAt, Reply Answer);

private:
  struct Entry {
    jobs::ReportBatch Batch_;
    TimePoint ReceivedAt_;
    Reply Answer_;
  };

  void handleSoon();
  void handleNext();

  Executor &Strand_;
  const Clock &Time_;
  jobs::JobMeter &Meter_;
  const Handle Handle_;
  std::deque<Entry> Waiting_; ///< The oldest first.
  /// Invalidates callbacks that run after destruction.
  std::shared_ptr<ReportInbox *> Alive_ = std::make_shared<ReportInbox *>(this);
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H
