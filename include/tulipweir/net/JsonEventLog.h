//===- JsonEventLog.h - Events as one JSON object a line -------*- C++ -*-===//
//
// Writes events to standard output. Lines wait in a bounded buffer that is
// written out now and then, as much as the reader takes without making us wait;
// what does not fit is dropped and counted. Under load each kind has a budget a
// second; lines that tell of a failure are always kept while there is room.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_JSONEVENTLOG_H
#define TULIPWEIR_NET_JSONEVENTLOG_H

#include "tulipweir/core/EventLog.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Metrics.h"

#include <array>
#include <memory>
#include <mutex>
#include <string>

namespace tulipweir::net {

struct JsonEventLogSettings {
  std::string Process_;                 ///< The name in each line.
  int Descriptor_ = 1;                  ///< Standard output.
  std::size_t MaxBytes_ = 256UL * 1024; ///< That wait to be written.
  /// Lines of one kind a second; more are left out and counted.
  std::uint64_t LinesASecond_ = 200;
  Duration FlushInterval_ = std::chrono::milliseconds(100);
};

/// Thread-safe and never blocking.
class JsonEventLog final : public EventLog {
public:
  JsonEventLog(const JsonEventLogSettings &Settings, const Clock &Time);

  void write(const Event &Value) override;
  bool leavesOut(EventKind Kind) override;
  /// Writes out what the reader takes at once. Called by whoever runs the log,
  /// every FlushInterval_ and before the process ends.
  void flush();
  /// Has the pool flush the log for as long as both live.
  void flushOn(IoPool &Pool);
  void addMetrics(Metrics &To) const;

  std::uint64_t getDropped() const;
  std::uint64_t getLeftOut() const;

private:
  struct Budget {
    TimePoint Since_{};
    std::uint64_t Used_ = 0;
    std::uint64_t LeftOut_ = 0;
  };
  Budget &getBudget(EventKind Kind);
  bool isWithinBudget(const Event &Value);

  const JsonEventLogSettings Settings_;
  const Clock &Time_;
  mutable std::mutex Lock_; ///< Guards all below.
  std::string Waiting_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t LeftOut_ = 0;
  std::uint64_t Lines_ = 0;
  std::array<Budget, EventKinds> Budgets_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_JSONEVENTLOG_H
