#include "replication/Frame.h"

#include <xxhash.h>

using namespace tulipweir;
using namespace tulipweir::replication;

constexpr std::string_view Magic = "TWF1";
constexpr std::size_t NumberBytes = 8;
constexpr std::size_t HashBytes = 8;
static_assert(FrameHeaderBytes == 4 + NumberBytes + NumberBytes + HashBytes);

static void putNumber(std::string &To, std::uint64_t Value) {
  for (std::size_t Byte = 0; Byte < NumberBytes; ++Byte)
    To += static_cast<char>(Value >> (8 * Byte));
}

static std::uint64_t getNumber(std::string_view From) {
  std::uint64_t Value = 0;
  for (std::size_t Byte = NumberBytes; Byte-- > 0;)
    Value = Value << 8 | static_cast<unsigned char>(From[Byte]);
  return Value;
}

/// The hash covers the number too, so that a frame copied to another position
/// is recognized as damaged.
static std::uint64_t hash(std::uint64_t Number, std::string_view Body) {
  return XXH3_64bits_withSeed(Body.data(), Body.size(), Number);
}

std::string replication::makeFrame(std::uint64_t Number,
                                   std::string_view Body) {
  std::string Bytes(Magic);
  Bytes.reserve(FrameHeaderBytes + Body.size());
  putNumber(Bytes, Number);
  putNumber(Bytes, Body.size());
  putNumber(Bytes, hash(Number, Body));
  Bytes += Body;
  return Bytes;
}

std::optional<std::uint64_t>
replication::findFrameSize(std::string_view Bytes) {
  if (Bytes.size() < FrameHeaderBytes || !Bytes.starts_with(Magic))
    return std::nullopt;
  const std::uint64_t Length = getNumber(Bytes.substr(4 + NumberBytes));
  if (Length > UINT64_MAX - FrameHeaderBytes)
    return std::nullopt;
  return FrameHeaderBytes + Length;
}

std::optional<Frame> replication::readFrame(std::string_view Bytes) {
  const std::optional<std::uint64_t> Size = findFrameSize(Bytes);
  if (!Size || *Size > Bytes.size())
    return std::nullopt;
  std::uint64_t Number = getNumber(Bytes.substr(4));
  std::uint64_t Hash = getNumber(Bytes.substr(4 + 2 * NumberBytes));
  std::string_view Body =
      Bytes.substr(FrameHeaderBytes, *Size - FrameHeaderBytes);
  if (hash(Number, Body) != Hash)
    return std::nullopt;
  return Frame{Number, Body, *Size};
}

bool replication::hasLaterFrame(std::string_view Bytes, std::uint64_t Number) {
  for (std::size_t At = Bytes.find(Magic); At != std::string_view::npos;
       At = Bytes.find(Magic, At + 1)) {
    std::optional<Frame> Found = readFrame(Bytes.substr(At));
    if (Found && Found->Number_ > Number)
      return true;
  }
  return false;
}
