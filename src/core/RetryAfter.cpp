#include "tulipweir/core/RetryAfter.h"

#include <cstdint>

using namespace tulipweir;

/// Returns a hash that is the same in all processes.
static std::uint64_t hash(std::string_view Text) {
  std::uint64_t Value = 0xcbf29ce484222325;
  for (const char Byte : Text)
    Value = (Value ^ static_cast<unsigned char>(Byte)) * 0x100000001b3;
  // The low bits of a short text vary too little.
  return Value ^ (Value >> 32);
}

Duration tulipweir::spreadRetryAfter(Duration Earliest, Duration Spread,
                                     std::string_view Caller) {
  constexpr std::int64_t Parts = 1024;
  const auto Part = static_cast<std::int64_t>(hash(Caller) % Parts);
  return Earliest + Spread / Parts * Part;
}
