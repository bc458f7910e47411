//===- RaftLog.h - In-memory log of one member -----------------*- C++ -*-===//
//
// The entries since the last compaction, and the membership at each of them.
// The core's outputs pass the entries to the storage.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_RAFTLOG_H
#define TULIPWEIR_REPLICATION_RAFTLOG_H

#include "replication/LogTypes.h"

#include <deque>
#include <map>
#include <optional>

namespace tulipweir::replication {

/// Not thread-safe.
class RaftLog {
public:
  RaftLog() = default;
  /// Entries must be consecutive; those before the snapshot may be missing.
  RaftLog(SnapshotRef Last, std::vector<LogEntry> Entries);

  /// The index just before the first retained entry.
  std::uint64_t getBaseIndex() const { return BaseIndex_; }
  std::uint64_t getLastIndex() const { return BaseIndex_ + Entries_.size(); }
  std::uint64_t getLastTerm() const;
  bool isEmpty() const { return getLastIndex() == 0; }
  /// Returns the term at Index, unless the entry is compacted away or does not
  /// exist yet.
  std::optional<std::uint64_t> findTerm(std::uint64_t Index) const;
  const LogEntry &at(std::uint64_t Index) const;
  /// Copies entries from First on: at least one if there is any, at most
  /// MaxCount, and about MaxBytes.
  std::vector<LogEntry> copyFrom(std::uint64_t First, std::size_t MaxCount,
                                 std::size_t MaxBytes) const;

  /// The latest members, committed or not, and the index of the entry that set
  /// them.
  const std::vector<Member> &getMembers() const;
  std::uint64_t getMembersIndex() const;
  const std::vector<Member> &getMembersAt(std::uint64_t Index) const;

  const SnapshotRef &getSnapshot() const { return Snapshot_; }

  void append(LogEntry Entry);
  /// Drops the entries from Index on.
  void truncateFrom(std::uint64_t Index);
  /// Records a snapshot and drops the entries through KeepAfter.
  void compact(SnapshotRef Last, std::uint64_t KeepAfter);
  /// Replaces the log with a snapshot. Entries after it are retained if they
  /// match.
  void install(SnapshotRef Last);

private:
  std::uint64_t BaseIndex_ = 0;
  std::uint64_t BaseTerm_ = 0;
  std::deque<LogEntry> Entries_;
  SnapshotRef Snapshot_;
  /// Keyed by the index of the entry that set them.
  std::map<std::uint64_t, std::vector<Member>> Members_{{0, {}}};
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_RAFTLOG_H
