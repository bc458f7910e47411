//===- Error.cpp - Typed errors and outcome values
//--------------------------===//

#include "tulipweir/core/Error.h"

#include <array>
#include <cassert>
#include <cstddef>

using namespace tulipweir;

std::string_view tulipweir::getErrorName(ErrorCode Code) {
  static constexpr std::array<std::string_view, 16> Names = {
      "invalid_argument", "not_found",         "already_exists", "conflict",
      "overfull",         "stale_token",       "not_leader",     "unavailable",
      "timeout",          "permission_denied", "malformed",      "too_large",
      "version_mismatch", "storage_failed",    "corrupt",        "internal"};
  const auto Position = static_cast<std::size_t>(Code);
  assert(Position < Names.size() && "error code out of range");
  return Names[Position];
}
