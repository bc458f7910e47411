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

  /// Returns the size of the commands of all retained entries.
  std::uint64_t countBytes() const { return countBytes(BaseIndex_); }
  /// Returns the size of the commands after the entry at Index.
  std::uint64_t countBytes(std::uint64_t Index) const;
  /// Returns the lowest index after which the entries through Last hold at most
  /// MaxBytes of commands.
  std::uint64_t findFirstWithin(std::uint64_t Last,
                                std::uint64_t MaxBytes) const;

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
  /// Returns the size of the commands through Index since this log began.
  std::uint64_t getOffset(std::uint64_t Index) const;

  std::uint64_t BaseIndex_ = 0;
  std::uint64_t BaseTerm_ = 0;
  std::uint64_t BaseOffset_ = 0; ///< At BaseIndex_.
  std::deque<LogEntry> Entries_;
  /// For each entry, the size of the commands through it since this log began.
  std::deque<std::uint64_t> Offsets_;
  SnapshotRef Snapshot_;
  /// Keyed by the index of the entry that set them.
  std::map<std::uint64_t, std::vector<Member>> Members_{{0, {}}};
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_RAFTLOG_H
