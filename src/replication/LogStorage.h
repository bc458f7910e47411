//===- LogStorage.h - Where a member's log survives ------------*- C++ -*-===//
//
// What the driver of the core writes to. After the first error nothing more may
// be written, and nothing that was not confirmed may be acknowledged.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_LOGSTORAGE_H
#define TULIPWEIR_REPLICATION_LOGSTORAGE_H

#include "replication/LogTypes.h"

namespace tulipweir::replication {

/// What is written with one sync. Each entry cuts the log from its index on.
struct LogBatch {
  HardState Hard_;
  std::vector<LogEntry> Entries_;
  bool operator==(const LogBatch &) const = default;
};

/// Who owns the stored log.
struct Identity {
  std::string Group_;
  MemberId Self_;
  /// The highest incarnation of the group's founder that this member has
  /// answered while it held nothing; it follows no earlier one.
  std::uint64_t CoordinatorPromise_ = 0;
  bool operator==(const Identity &) const = default;
};

/// One thread writes; the counters may be read by others.
class LogStorage {
public:
  virtual ~LogStorage() = default;
  virtual Outcome<void> saveIdentity(const Identity &Owner) = 0;
  /// On return the batch is durable.
  virtual Outcome<void> append(const LogBatch &Batch) = 0;
  /// Replaces all that was stored, atomically.
  virtual Outcome<void> replace(const Checkpoint &All) = 0;
  /// Bytes in the live segment.
  virtual std::uint64_t countBytes() const = 0;
  virtual std::uint64_t countSyncs() const = 0;
};

/// Keeps nothing: for members without a disk.
class NoStorage final : public LogStorage {
public:
  Outcome<void> saveIdentity(const Identity &) override { return succeed(); }
  Outcome<void> append(const LogBatch &) override { return succeed(); }
  Outcome<void> replace(const Checkpoint &) override { return succeed(); }
  std::uint64_t countBytes() const override { return 0; }
  std::uint64_t countSyncs() const override { return 0; }
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGSTORAGE_H
