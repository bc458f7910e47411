//===- RecordWriter.h - Recording the end of a keyed request ---*- C++ -*-===//
//
// Writes Finish and Abandon to the home's log, again and again until the log
// answered or the patience is over. Both are idempotent there.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_ENTRY_RECORDWRITER_H
#define TULIPWEIR_SRC_ENTRY_RECORDWRITER_H

#include "tulipweir/entry/ControlClient.h"
#include "tulipweir/entry/EntryMetrics.h"
#include "tulipweir/entry/Timers.h"

#include <atomic>
#include <functional>
#include <memory>

namespace tulipweir::entry {

struct RecordWriterDependencies {
  ControlClient &Home_;
  Timers &Timers_;
  const Clock &Clock_;
  EntryMetrics &Metrics_;
  /// Counts what is being written; shared, since a call that never ends may
  /// outlive the sender when the process stops.
  std::shared_ptr<std::atomic<std::uint64_t>> Pending_;
};

/// Told once: whether the record stands as written.
using RecordDone = std::function<void(bool Recorded)>;

void writeFinish(const RecordWriterDependencies &Deps,
                 wire::FinishRequest Finish, RecordDone Done);
void writeAbandon(const RecordWriterDependencies &Deps,
                  wire::AbandonRequest Abandon);
/// After a Begin without a reply: asks again by the same nonce until the log
/// says how it stands, and gives it back if it had begun.
void abandonUncertainBegin(const RecordWriterDependencies &Deps,
                           wire::BeginRequest Begin);

} // namespace tulipweir::entry

#endif // TULIPWEIR_SRC_ENTRY_RECORDWRITER_H
