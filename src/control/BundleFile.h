//===- BundleFile.h - The current bundle on disk ---------------*- C++ -*-===//
//
// A small file in the data folder that holds the encoded bundle in a frame
// (magic number, format version, length, xxh3 checksum). A bundle is written
// to a temporary file, synced and renamed, and the folder is synced, so that a
// power loss leaves either the old or the new bundle, complete.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_BUNDLEFILE_H
#define TULIPWEIR_SRC_CONTROL_BUNDLEFILE_H

#include "replication/FileSystem.h"
#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

#include <optional>
#include <string>

namespace tulipweir::control {

/// Must not be used by two threads at a time.
class BundleFile {
public:
  /// The folder must exist, and no one else may write its files.
  BundleFile(replication::FileSystem &Files, std::string Folder);

  /// The bundle survives a power loss once this returns success. On
  /// StorageFailed the file holds either the old bundle or this one.
  Outcome<void> save(const wire::SignedBundle &Bundle);
  /// Returns nullopt if there is no file, Corrupt if it is damaged,
  /// VersionMismatch if it has another format and StorageFailed if it cannot be
  /// read.
  Outcome<std::optional<wire::SignedBundle>> load() const;

private:
  Outcome<bool> exists(const std::string &Name) const;
  std::string getPath(const std::string &Name) const;

  replication::FileSystem &Files_;
  const std::string Folder_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLEFILE_H
