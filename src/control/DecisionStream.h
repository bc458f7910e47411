//===- DecisionStream.h - The latest decisions -----------------*- C++ -*-===//
//
// Keeps the latest decisions in order. Readers request those after a sequence
// number and may wait for new ones.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_DECISIONSTREAM_H
#define TULIPWEIR_SRC_CONTROL_DECISIONSTREAM_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/decide/Decision.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace tulipweir::control {

struct StreamedDecision {
  std::uint64_t Sequence_ = 0;
  WallTime At_{};
  decide::Decision Decision_;
  bool operator==(const StreamedDecision &) const = default;
};

/// Thread-safe.
class DecisionStream {
public:
  using Batch = std::vector<StreamedDecision>;
  using Reader = std::function<void(Batch)>;

  DecisionStream(Executor &Timers, std::size_t Capacity);

  /// Starts the sequence numbers of a leader's term. They increase across
  /// terms, so that a reader that switches to a new leader misses nothing
  /// newer.
  void startTerm(std::uint64_t Term);
  void append(decide::Decision NewDecision, WallTime At);

  /// Calls Done once with at most Limit decisions after Sequence, oldest first:
  /// immediately if there are any; otherwise with the next decision, or empty
  /// after Wait.
  void read(std::uint64_t Sequence, std::size_t Limit, Duration Wait,
            Reader Done);

  /// Calls all waiting readers with an empty batch; later reads do not wait.
  void close();

  std::uint64_t getLastSequence() const;

private:
  struct Waiter {
    std::uint64_t Sequence_ = 0;
    std::size_t Limit_ = 0;
    Reader Done_;
  };

  Batch collect(std::uint64_t Sequence, std::size_t Limit) const;
  void expire(std::uint64_t WaiterId);

  Executor &Timers_;
  const std::size_t Capacity_;
  mutable std::mutex Mutex_;
  std::deque<StreamedDecision> Entries_;
  std::uint64_t LastSequence_ = 0;
  std::uint64_t NextWaiter_ = 0;
  std::map<std::uint64_t, Waiter> Waiters_;
  bool Closed_ = false;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_DECISIONSTREAM_H
