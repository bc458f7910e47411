//===- BundleFile.h - The bundle in force, on disk -------------*- C++ -*-===//
//
// One small file in the control's data folder: a frame (magic, format's number,
// length, xxh3) around the encoded bundle. It is written under another name,
// synced, renamed, and the folder is synced, so that a loss of power leaves the
// older bundle or the newer one, both whole.
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

/// For one thread at a time.
class BundleFile {
public:
  /// The folder exists; nobody else writes its files.
  BundleFile(replication::FileSystem &Files, std::string Folder);

  /// On return the bundle outlasts a loss of power. StorageFailed otherwise;
  /// then the file holds the older bundle or this one.
  Outcome<void> save(const wire::SignedBundle &Value);
  /// nullopt if there is no file. Corrupt for a damaged one, VersionMismatch
  /// for one of another format, StorageFailed if it cannot be read.
  Outcome<std::optional<wire::SignedBundle>> load() const;

private:
  Outcome<bool> exists(const std::string &Name) const;
  std::string pathOf(const std::string &Name) const;

  replication::FileSystem &Files_;
  const std::string Folder_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLEFILE_H
