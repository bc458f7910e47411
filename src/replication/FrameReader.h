//===- FrameReader.h - Reads the frames of a file in turn ------*- C++ -*-===//
//
// Holds a window of the file at a time, so that reading a log takes no more
// memory than its entries and one frame.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_FRAMEREADER_H
#define TULIPWEIR_REPLICATION_FRAMEREADER_H

#include "replication/FileSystem.h"
#include "replication/Frame.h"

namespace tulipweir::replication {

/// All errors are those of the file system.
class FrameReader {
public:
  FrameReader(FileSystem &Files, std::string Path);

  /// Returns the next frame, whose body is valid until the next call, or
  /// nullopt at the end of the file and at a frame that is incomplete, damaged
  /// or has another number.
  Outcome<std::optional<Frame>> readNext(std::uint64_t Number);
  /// Returns the bytes behind the frames that were read.
  Outcome<std::string> readRest();
  /// Returns the size of the frames that were read.
  std::uint64_t countBytes() const { return WindowOffset_ + Used_; }

private:
  Outcome<void> fill(std::uint64_t Size);
  std::string_view view() const {
    return std::string_view(Window_).substr(Used_);
  }

  FileSystem &Files_;
  const std::string Path_;
  std::string Window_;
  std::uint64_t WindowOffset_ = 0; ///< The offset of the window in the file.
  std::size_t Used_ = 0;           ///< Bytes of the window that were read.
  bool HasEnded_ = false;          ///< The window reaches the end of the file.
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_FRAMEREADER_H
