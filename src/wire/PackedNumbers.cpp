//===- PackedNumbers.cpp - Whole numbers of variable length ---------------===//

#include "tulipweir/wire/PackedNumbers.h"

#include <limits>

using namespace tulipweir;

static constexpr unsigned GroupBits = 7;
static constexpr std::uint8_t MoreFollows = 1U << GroupBits;

void wire::appendNumber(std::string &To, std::uint64_t Value) {
  while (Value >= MoreFollows) {
    To.push_back(static_cast<char>(Value | MoreFollows));
    Value >>= GroupBits;
  }
  To.push_back(static_cast<char>(Value));
}

std::optional<std::uint64_t> wire::takeNumber(std::string_view &From) {
  constexpr unsigned Bits = std::numeric_limits<std::uint64_t>::digits;
  std::uint64_t Value = 0;
  for (unsigned Shift = 0; Shift < Bits; Shift += GroupBits) {
    if (From.empty())
      return std::nullopt;
    const auto Byte = static_cast<std::uint8_t>(From.front());
    From.remove_prefix(1);
    const std::uint64_t Group = Byte & (MoreFollows - 1U);
    if (Group > std::numeric_limits<std::uint64_t>::max() >> Shift)
      return std::nullopt;
    Value |= Group << Shift;
    if ((Byte & MoreFollows) == 0)
      return Value;
  }
  return std::nullopt;
}
