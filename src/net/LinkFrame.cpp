#include "net/LinkFrame.h"

#include <boost/endian/conversion.hpp>

using namespace tulipweir;
using namespace tulipweir::net;

namespace endian = boost::endian;

static constexpr std::size_t KindAt = 4;
static constexpr std::size_t TypeAt = 6;
static constexpr std::size_t CallAt = 7;

static unsigned char *toBytes(char *Text) {
  return reinterpret_cast<unsigned char *>(Text);
}

static const unsigned char *toBytes(const char *Text) {
  return reinterpret_cast<const unsigned char *>(Text);
}

void net::appendFrame(std::string &To, wire::MessageKind Kind, FrameType Type,
                      std::uint64_t Call, std::string_view Body) {
  char Header[FrameHeaderBytes];
  endian::store_little_u32(toBytes(Header),
                           static_cast<std::uint32_t>(Body.size()));
  endian::store_little_u16(toBytes(Header + KindAt),
                           static_cast<std::uint16_t>(Kind));
  Header[TypeAt] = static_cast<char>(Type);
  endian::store_little_u64(toBytes(Header + CallAt), Call);
  To.append(Header, FrameHeaderBytes).append(Body);
}

Outcome<std::optional<LinkFrame>> net::takeFrame(std::string_view &Input,
                                                 std::uint32_t MaxBodyBytes) {
  if (Input.size() < FrameHeaderBytes)
    return std::optional<LinkFrame>();
  const char *Header = Input.data();
  const std::uint32_t Size = endian::load_little_u32(toBytes(Header));
  if (Size > MaxBodyBytes)
    return fail(ErrorCode::TooLarge,
                "a frame of " + std::to_string(Size) +
                    " bytes; allowed: " + std::to_string(MaxBodyBytes));
  const auto Type = static_cast<FrameType>(Header[TypeAt]);
  if (Type > FrameType::Life)
    return fail(ErrorCode::Malformed, "a frame of unknown type");
  if (Input.size() - FrameHeaderBytes < Size)
    return std::optional<LinkFrame>();
  LinkFrame Frame;
  Frame.Kind_ = static_cast<wire::MessageKind>(
      endian::load_little_u16(toBytes(Header + KindAt)));
  Frame.Type_ = Type;
  Frame.Call_ = endian::load_little_u64(toBytes(Header + CallAt));
  Frame.Body_ = Input.substr(FrameHeaderBytes, Size);
  Input.remove_prefix(FrameHeaderBytes + Size);
  return std::optional<LinkFrame>(std::move(Frame));
}

std::string net::encodeError(const Error &From) {
  return static_cast<char>(From.Code_) + From.Message_;
}

Error net::decodeError(std::string_view Body) {
  if (Body.empty())
    return Error::make(ErrorCode::Malformed, "an error without a code");
  const auto Code =
      static_cast<ErrorCode>(static_cast<unsigned char>(Body.front()));
  if (Code > ErrorCode::Internal)
    return Error::make(ErrorCode::Malformed, "an error of unknown code");
  return Error::make(Code, std::string(Body.substr(1)));
}
