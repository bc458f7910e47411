//===- PosixFileSystem.h - FileSystem on POSIX calls -----------*- C++ -*-===//
//
// Implements FileSystem with POSIX calls.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_POSIXFILESYSTEM_H
#define TULIPWEIR_REPLICATION_POSIXFILESYSTEM_H

#include "replication/FileSystem.h"

namespace tulipweir::replication {

/// Holds no state; thread-safe.
class PosixFileSystem final : public FileSystem {
public:
  Outcome<void> makeFolder(const std::string &Path) override;
  Outcome<std::vector<std::string>> list(const std::string &Folder) override;
  Outcome<std::string> readPart(const std::string &Path, std::uint64_t Offset,
                                std::uint64_t MaxBytes) override;
  Outcome<std::unique_ptr<AppendFile>>
  openForAppend(const std::string &Path) override;
  Outcome<void> truncate(const std::string &Path, std::uint64_t Size) override;
  Outcome<void> rename(const std::string &From, const std::string &To) override;
  Outcome<void> remove(const std::string &Path) override;
  Outcome<void> syncFolder(const std::string &Folder) override;
  Outcome<std::shared_ptr<void>> lock(const std::string &Folder) override;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_POSIXFILESYSTEM_H
