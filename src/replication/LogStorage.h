//===- LogStorage.h - Interface of the persistent log ----------*- C++ -*-===//
//
// The driver of the core writes to it. After the first error nothing more may
// be written, and unconfirmed writes must not be acknowledged.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_LOGSTORAGE_H
#define TULIPWEIR_REPLICATION_LOGSTORAGE_H

#include "replication/LogTypes.h"

namespace tulipweir::replication {

/// The unit of one synced write. Each entry truncates the log from its index on
/// before it is appended.
struct LogBatch {
  HardState Hard_;
  std::vector<LogEntry> Entries_;
  bool operator==(const LogBatch &) const = default;
};

/// The owner of a stored log.
struct Identity {
  std::string Group_;
  MemberId Self_;
  /// The highest incarnation of the bootstrap coordinator to which this member
  /// replied while it was empty; it follows no earlier one.
  std::uint64_t CoordinatorPromise_ = 0;
  bool operator==(const Identity &) const = default;
};

/// Written by one thread. The counters may be read by other threads.
class LogStorage {
public:
  virtual ~LogStorage() = default;
  virtual Outcome<void> saveIdentity(const Identity &Owner) = 0;
  /// Returns once the member's state in the bootstrap of its group is durable.
  virtual Outcome<void> saveBootstrap(const MemberId &Self,
                                      const BootstrapState &State) = 0;
  /// Returns once the batch is durable.
  virtual Outcome<void> append(const LogBatch &Batch) = 0;
  /// Replaces everything that is stored, atomically.
  virtual Outcome<void> replace(const Checkpoint &All) = 0;
  /// Returns the number of bytes in the live segment.
  virtual std::uint64_t countBytes() const = 0;
  virtual std::uint64_t countSyncs() const = 0;
};

/// Stores nothing; for members without a disk.
class NoStorage final : public LogStorage {
public:
  Outcome<void> saveIdentity(const Identity &) override { return succeed(); }
  Outcome<void> saveBootstrap(const MemberId &,
                              const BootstrapState &) override {
    return succeed();
  }
  Outcome<void> append(const LogBatch &) override { return succeed(); }
  Outcome<void> replace(const Checkpoint &) override { return succeed(); }
  std::uint64_t countBytes() const override { return 0; }
  std::uint64_t countSyncs() const override { return 0; }
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGSTORAGE_H
