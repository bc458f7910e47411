//===- JsonText.h - Strict reading of JSON with comments -------*- C++ -*-===//
//
// What the JSON library lets pass and a bundle must not: a key that stands
// twice in one object. Syntax errors get their line and column.
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

/// Appends one step to a JSON pointer, escaped as RFC 6901 says.
std::string appendPointer(const std::string &Pointer, std::string_view Step);

/// Returns the value, or adds to Problems why there is none. Duplicate keys
/// are added to Problems too.
std::optional<nlohmann::json>
readJsonText(std::string_view Text, std::vector<BundleProblem> &Problems);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_SRC_FLEET_JSONTEXT_H
