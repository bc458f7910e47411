//===- FolderStorage.h - A log in one folder -------------------*- C++ -*-===//
//
// The folder holds
//   identity      whose log this is, and the format's version;
//   log-N         the live segment: a first frame with the hard state, the
//                 snapshot's index and the entries kept, then one frame for
//                 each synced batch;
//   snapshot-I    the state after entry I;
//   damaged-T/    (set aside) a log that could not be read.
// A frame is: magic, number, length, xxh3, bytes. Whole files (identity,
// snapshot, a new segment) are written under another name, synced, renamed,
// and the folder is synced; older ones are removed only after that.
//
// A bad frame at the very end is a write that was cut off: it was never synced,
// so it was never acknowledged, and is cut. If any good frame of a higher
// number comes after it, it had been synced before: that is damage. So is
// anything wrong with another file. Damage counts as a lost disk.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_FOLDERSTORAGE_H
#define TULIPWEIR_REPLICATION_FOLDERSTORAGE_H

#include "replication/FileSystem.h"
#include "replication/LogStorage.h"

#include <atomic>
#include <optional>

namespace tulipweir::replication {

class FolderStorage final : public LogStorage {
public:
  /// What open() found.
  struct Opened {
    std::unique_ptr<FolderStorage> Storage_;
    Identity Owner_;
    Checkpoint Stored_;
  };

  /// Opens the folder, or makes it for Fresh if it holds nothing. Errors:
  /// Conflict if the folder belongs to another group or member, or another
  /// process has it open; VersionMismatch for a newer format; Corrupt if it is
  /// damaged (then quarantine() and open again); StorageFailed.
  static Outcome<Opened> open(FileSystem &Files, const std::string &Folder,
                              const Identity &Fresh);

  /// Moves what a damaged folder holds out of the way, under Tag.
  static Outcome<void> quarantine(FileSystem &Files, const std::string &Folder,
                                  const std::string &Tag);

  Outcome<void> saveIdentity(const Identity &Owner) override;
  Outcome<void> append(const LogBatch &Batch) override;
  Outcome<void> replace(const Checkpoint &All) override;
  std::uint64_t countBytes() const override { return Bytes_; }
  std::uint64_t countSyncs() const override { return Syncs_; }

private:
  FolderStorage(FileSystem &Files, std::string Folder,
                std::shared_ptr<void> Lock);

  std::string pathOf(const std::string &Name) const;
  Outcome<void> writeAtomically(const std::string &Name,
                                std::string_view Bytes);
  Outcome<void> startSegment(const Checkpoint &All);
  Outcome<void> create(const Identity &Fresh);
  Outcome<Identity> readIdentity(const Identity &Fresh);
  Outcome<Checkpoint> readLog(const std::vector<std::string> &Names);
  Outcome<SnapshotRef> readSnapshot(std::uint64_t Index);
  Outcome<void> cleanUp(const std::vector<std::string> &Names);

  FileSystem &Files_;
  const std::string Folder_;
  const std::shared_ptr<void> Lock_;
  std::unique_ptr<AppendFile> Segment_;
  std::uint64_t SegmentNumber_ = 0;
  std::uint64_t SnapshotIndex_ = 0;
  std::uint64_t NextFrame_ = 0;
  std::atomic<std::uint64_t> Bytes_ = 0;
  std::atomic<std::uint64_t> Syncs_ = 0;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_FOLDERSTORAGE_H
