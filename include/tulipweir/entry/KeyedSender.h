//===- KeyedSender.h - Requests that run at most once ----------*- C++ -*-===//
//
// Sends a request with a key only after the key's home data centre recorded
// that it begins, and records its end. Resends attach to a running one or get
// the recorded answer. What the record says goes before anything this entry
// might guess.
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

/// What the keyed sending needs; all of it outlives the sender.
struct KeyedSenderDependencies {
  Sender &Plain_; ///< Sends once the record allows it.
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
  /// Request must have a key.
  void send(SharedRequest Request, ResultCallback Done) override;

  /// Ends and abandons that are still being recorded; a planned stop waits
  /// for them.
  std::uint64_t getPendingRecordCount() const { return *PendingRecords_; }

private:
  const KeyedSenderDependencies Deps_;
  std::atomic<std::uint64_t> Nonces_{0};
  const std::shared_ptr<std::atomic<std::uint64_t>> PendingRecords_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_KEYEDSENDER_H
