//===- ReportInbox.h - Rejects expired report batches -----------*- C++ -*-===//
//
// Rejects a batch that has waited for too long to be answered in time: work on
// it would delay those behind it until they are too late as well.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobMeter.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <functional>

namespace tulipweir::jobservice {

/// Lives on one executor: all members are called there, and callbacks run
/// there.
class ReportInbox {
public:
  using Reply = std::function<void(jobs::ReportBatchReply)>;
  /// Decides the reports of a batch.
  using HandleBatch = std::function<void(jobs::ReportBatch, Reply)>;

  /// References must outlive it.
  ReportInbox(const Clock &Time, jobs::JobMeter &Meter, HandleBatch Handle);

  /// Takes the batch whose turn has come. ReceivedAt: when it came from the
  /// network. Answer is called once.
  void add(jobs::ReportBatch Batch, TimePoint ReceivedAt, Reply Answer);

private:
  const Clock &Time_;
  jobs::JobMeter &Meter_;
  const HandleBatch Handle_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H
