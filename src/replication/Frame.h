//===- Frame.h - Checksummed pieces of a file ------------------*- C++ -*-===//
//
// The unit in which the storage writes: magic, number, length, xxh3, bytes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_FRAME_H
#define TULIPWEIR_REPLICATION_FRAME_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tulipweir::replication {

struct Frame {
  std::uint64_t Number_ = 0;
  std::string_view
      Body_; ///< A view into the bytes that the frame was read from.
  std::size_t Size_ = 0; ///< Includes the header.
};

std::string makeFrame(std::uint64_t Number, std::string_view Body);

/// Magic, number, length of the body, hash.
inline constexpr std::size_t FrameHeaderBytes = 28;

/// Returns the size, with its header, that the frame at the beginning of Bytes
/// claims to have; nullopt if there is no header.
std::optional<std::uint64_t> findFrameSize(std::string_view Bytes);

/// Reads the frame at the beginning of Bytes; returns nullopt if it is
/// incomplete or damaged.
std::optional<Frame> readFrame(std::string_view Bytes);

/// Returns whether Bytes contains, at any offset, an intact frame with a number
/// above Number.
bool hasLaterFrame(std::string_view Bytes, std::uint64_t Number);

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_FRAME_H
