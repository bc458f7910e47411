//===- RaftLog.h - The entries that one member holds -----------*- C++ -*-===//
//
// The entries after the last compaction, and the membership at each of them.
// In memory; what must survive is handed to the storage by the core's outputs.
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
  /// Entries must follow each other; those before the snapshot may be missing.
  RaftLog(SnapshotRef Last, std::vector<LogEntry> Entries);

  /// The index and term just before the first entry held.
  std::uint64_t getBaseIndex() const { return BaseIndex_; }
  std::uint64_t getLastIndex() const { return BaseIndex_ + Entries_.size(); }
  std::uint64_t getLastTerm() const;
  bool isEmpty() const { return getLastIndex() == 0; }
  /// The term at Index, unless it is compacted away or not yet there.
  std::optional<std::uint64_t> findTerm(std::uint64_t Index) const;
  const LogEntry &at(std::uint64_t Index) const;
  /// Copies entries from First on: at least one if there is any, then at most
  /// MaxCount and about MaxBytes.
  std::vector<LogEntry> copyFrom(std::uint64_t First, std::size_t MaxCount,
                                 std::size_t MaxBytes) const;

  /// The members in force, committed or not, and where they were set.
  const std::vector<Member> &getMembers() const;
  std::uint64_t getMembersIndex() const;
  const std::vector<Member> &getMembersAt(std::uint64_t Index) const;

  const SnapshotRef &getSnapshot() const { return Snapshot_; }

  void append(LogEntry Entry);
  /// Drops the entries from Index on.
  void truncateFrom(std::uint64_t Index);
  /// Notes a snapshot and drops the entries through KeepAfter.
  void compact(SnapshotRef Last, std::uint64_t KeepAfter);
  /// Replaces all by a snapshot, keeping the entries after it if they match.
  void install(SnapshotRef Last);

private:
  std::uint64_t BaseIndex_ = 0;
  std::uint64_t BaseTerm_ = 0;
  std::deque<LogEntry> Entries_;
  SnapshotRef Snapshot_;
  /// Keyed by the index that set them.
  std::map<std::uint64_t, std::vector<Member>> Members_{{0, {}}};
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_RAFTLOG_H
