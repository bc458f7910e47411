//===- FolderStorage.h - A log in one folder -------------------*- C++ -*-===//
//
// The folder holds
//   identity      the group and member that own the log, and the format
//   version; log-N         the live segment: a first frame with the hard state,
//   the
//                 snapshot's index and the retained entries, then one frame per
//                 synced batch;
//   snapshot-I    the state after entry I;
//   bootstrap     what an initial voter has promised before the group was
//   bootstrapped; damaged-T/    a quarantined log that could not be read.
// A frame consists of magic, number, length, xxh3 and body. Whole files
// (identity, snapshot, a new segment) are written under a temporary name,
// synced and renamed, and then the folder is synced. Older files are removed
// only after that.
//
// A bad frame at the very end is an interrupted write. It was never synced,
// hence never acknowledged, and is truncated. If an intact frame with a higher
// number follows it, the bad frame had been synced before and the log is
// corrupt. Any error in another file is corruption, too. A corrupt log counts
// as a lost disk.
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
  /// The result of open().
  struct Opened {
    std::unique_ptr<FolderStorage> Storage_;
    Identity Owner_;
    Checkpoint Stored_;
    BootstrapState
        BootstrapState_; ///< Of this incarnation; else without voters.
  };

  /// Opens the folder, or initializes it for Fresh if it is empty. Fails with
  /// Conflict if the folder belongs to another group or member or is open in
  /// another process, VersionMismatch for a newer format, Corrupt if the log is
  /// damaged (call quarantine() and open the folder again), or StorageFailed.
  static Outcome<Opened> open(FileSystem &Files, const std::string &Folder,
                              const Identity &Fresh);

  /// Moves the files of a damaged folder to a subfolder that is named after
  /// Tag.
  static Outcome<void> quarantine(FileSystem &Files, const std::string &Folder,
                                  const std::string &Tag);

  Outcome<void> saveIdentity(const Identity &Owner) override;
  Outcome<void> saveBootstrap(const MemberId &Self,
                              const BootstrapState &State) override;
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
  Outcome<BootstrapState> readBootstrap(const std::vector<std::string> &Names,
                                        const MemberId &Self);
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
