//===- KeyedSender.h - At-most-once requests -------------------*- C++ -*-===//
//
// Sends a request with a key only after the key's home data centre has
// recorded that it begins, and records how it ends. Repeated requests attach
// to the running one or get the recorded response. The record takes precedence
// over any local state of this entry.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_KEYEDSENDER_H
#define TULIPWEIR_ENTRY_KEYEDSENDER_H

#include "tulipweir/entry/RecordHomes.h"
#include "tulipweir/entry/RequestSender.h"
#include "tulipweir/entry/RequestTable.h"

#include <atomic>
#include <cstdint>

namespace tulipweir::entry {

/// The dependencies of KeyedSender. Referenced objects outlive it.
struct KeyedSenderDependencies {
  Sender &Plain_; ///< Sends the request once its record permits it.
  RequestTable &Table_;
  const RecordHomes &Homes_;
  Timers &Timers_;
  const Clock &Clock_;
  EntryMetrics &Metrics_;
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
};

class KeyedSender final : public Sender {
public:
  explicit KeyedSender(const KeyedSenderDependencies &Deps) : Deps_(Deps) {}
  /// Sends a request, which must have a key.
  void send(SharedRequest Request, ResultCallback Done) override;

  /// Returns the number of record writes in progress. A planned stop waits for
  /// them.
  std::uint64_t getPendingRecordCount() const { return *PendingRecords_; }

private:
  const KeyedSenderDependencies Deps_;
  std::atomic<std::uint64_t> Nonces_{0};
  const std::shared_ptr<std::atomic<std::uint64_t>> PendingRecords_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_KEYEDSENDER_H
