//===- RecordWriter.h - Writes to request records --------------*- C++ -*-===//
//
// Sends Finish and Abandon to the home's log and retries until it replies or
// the retry period ends. Both calls are idempotent there.
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
  /// The number of writes in progress. It is shared because a call that never
  /// completes may outlive the sender when the process stops.
  std::shared_ptr<std::atomic<std::uint64_t>> Pending_;
};

/// Called once with whether the end was recorded.
using RecordCallback = std::function<void(bool Recorded)>;

void writeFinish(const RecordWriterDependencies &Deps,
                 wire::FinishRequest Finish, RecordCallback Done);
void writeAbandon(const RecordWriterDependencies &Deps,
                  wire::AbandonRequest Abandon);
/// Resolves a Begin that got no reply: repeats it with the same nonce until the
/// log replies, and abandons the request if it had begun.
void abandonUncertainBegin(const RecordWriterDependencies &Deps,
                           wire::BeginRequest Begin);

} // namespace tulipweir::entry

#endif // TULIPWEIR_SRC_ENTRY_RECORDWRITER_H
