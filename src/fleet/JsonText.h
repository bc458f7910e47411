//===- JsonText.h - Strict JSON parser with comments -----------*- C++ -*-===//
//
// Unlike the JSON library, the parser rejects duplicate keys within one
// object. Syntax errors are reported with their line and column.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_FLEET_JSONTEXT_H
#define TULIPWEIR_SRC_FLEET_JSONTEXT_H

#include "tulipweir/fleet/Bundle.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::fleet {

/// Appends one reference token to a JSON pointer, escaped as in RFC 6901.
std::string appendPointer(const std::string &Pointer, std::string_view Token);

/// Returns the parsed value, or nullopt after adding the reason to Problems.
/// Duplicate keys are added to Problems too.
std::optional<nlohmann::json>
readJsonText(std::string_view Text, std::vector<BundleProblem> &Problems);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_SRC_FLEET_JSONTEXT_H
