//===- ReportInbox.h - Rejects expired report batches -----------*- C++ -*-===//
//
// Rejects a batch that has waited too long to be answered in time. Handling it
// would delay the batches behind it until they expire as well.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobMeter.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <functional>

namespace tulipweir::jobservice {

/// All members are called on one executor, and callbacks run there.
class ReportInbox {
public:
  using Reply = std::function<void(jobs::ReportBatchReply)>;
  /// Handles the reports of a batch.
  using HandleBatch = std::function<void(jobs::ReportBatch, Reply)>;

  /// References must outlive it.
  ReportInbox(const Clock &Time, jobs::JobMeter &Meter, HandleBatch Handle);

  /// Handles or rejects a batch, which was received from the network at
  /// ReceivedAt. Answer is called once.
  void add(jobs::ReportBatch Batch, TimePoint ReceivedAt, Reply Answer);

private:
  const Clock &Time_;
  jobs::JobMeter &Meter_;
  const HandleBatch Handle_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTINBOX_H
