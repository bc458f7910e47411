//===- PackedNumbers.h - Whole numbers of variable length ------*- C++ -*-===//
//
// Seven bits to a byte, the lowest first; the highest bit says that more
// follow. Small numbers, which most are, take one byte.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_WIRE_PACKEDNUMBERS_H
#define TULIPWEIR_WIRE_PACKEDNUMBERS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tulipweir::wire {

void appendNumber(std::string &To, std::uint64_t Value);

/// Takes a number off the front; nullopt if there is none that fits.
std::optional<std::uint64_t> takeNumber(std::string_view &From);

} // namespace tulipweir::wire

#endif // TULIPWEIR_WIRE_PACKEDNUMBERS_H
