//===- LinkFrame.h - Frames on a link --------------------------*- C++ -*-===//
//
// A frame is a header of fixed size (body length, kind, flags, call number, all
// little-endian) and a body. Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_LINKFRAME_H
#define TULIPWEIR_SRC_NET_LINKFRAME_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/MessageKind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tulipweir::net {

enum class FrameType : std::uint8_t {
  Call = 0,   ///< Wants an answer under the same call number.
  OneWay = 1, ///< Wants none.
  Answer = 2,
  Failure = 3, ///< The body is an error.
  AskLife = 4, ///< Wants a sign of life; has no body.
  Life = 5,    ///< That sign.
};

struct LinkFrame {
  wire::MessageKind Kind_ = wire::MessageKind::Replication;
  FrameType Type_ = FrameType::Call;
  std::uint64_t Call_ = 0;
  std::string Body_;
  bool operator==(const LinkFrame &) const = default;
};

inline constexpr std::size_t FrameHeaderBytes = 15;

/// Appends the frame's bytes.
void appendFrame(std::string &To, wire::MessageKind Kind, FrameType Type,
                 std::uint64_t Call, std::string_view Body);

/// Takes one frame off the front of Input; nothing while it is not whole yet.
/// TooLarge as soon as a header names a body over the limit, Malformed for an
/// unknown type; the connection can't go on after either.
Outcome<std::optional<LinkFrame>> takeFrame(std::string_view &Input,
                                            std::uint32_t MaxBodyBytes);

/// An error as the body of a failure, and back; unknown codes give Malformed.
std::string encodeError(const Error &From);
Error decodeError(std::string_view Body);

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_LINKFRAME_H
