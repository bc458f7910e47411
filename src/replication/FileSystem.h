//===- FileSystem.h - The few file operations that storage needs -*- C++ -*-==//
//
// An interface, so that tests can crash at each write. What was written lasts
// only once the file was synced, and a new name only once its folder was.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_FILESYSTEM_H
#define TULIPWEIR_REPLICATION_FILESYSTEM_H

#include "tulipweir/core/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::replication {

/// A file open for appending. Destroying it closes the file.
class AppendFile {
public:
  virtual ~AppendFile() = default;
  virtual Outcome<void> append(std::string_view Bytes) = 0;
  virtual Outcome<void> sync() = 0;
};

/// All errors are StorageFailed unless stated otherwise.
class FileSystem {
public:
  virtual ~FileSystem() = default;
  /// Creates the folder and its parents if they do not exist, and syncs them.
  virtual Outcome<void> makeFolder(const std::string &Path) = 0;
  /// Returns the names in the folder, sorted.
  virtual Outcome<std::vector<std::string>> list(const std::string &Folder) = 0;
  Outcome<std::string> read(const std::string &Path) {
    return readPart(Path, 0, UINT64_MAX);
  }
  /// Returns up to MaxBytes bytes from Offset on; fewer only at the end of the
  /// file.
  virtual Outcome<std::string> readPart(const std::string &Path,
                                        std::uint64_t Offset,
                                        std::uint64_t MaxBytes) = 0;
  /// Opens the file for appending and creates it if it does not exist.
  virtual Outcome<std::unique_ptr<AppendFile>>
  openForAppend(const std::string &Path) = 0;
  /// Truncates the file to Size and syncs it.
  virtual Outcome<void> truncate(const std::string &Path,
                                 std::uint64_t Size) = 0;
  /// Replaces To if it exists.
  virtual Outcome<void> rename(const std::string &From,
                               const std::string &To) = 0;
  virtual Outcome<void> remove(const std::string &Path) = 0;
  virtual Outcome<void> syncFolder(const std::string &Folder) = 0;
  /// Locks the folder for this process until the result is destroyed. Fails
  /// with Conflict if another process holds the lock.
  virtual Outcome<std::shared_ptr<void>> lock(const std::string &Folder) = 0;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_FILESYSTEM_H
