//===- JsonFields.h - Validated reading of JSON objects --------*- C++ -*-===//
//
// Reads the fields of a JSON object and collects all problems, so that an
// operator sees them at once.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JSONFIELDS_H
#define TULIPWEIR_SRC_CONTROL_JSONFIELDS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace tulipweir::control {

using Json = nlohmann::json;

/// Renders a JSON value; invalid UTF-8 is replaced.
std::string renderJson(const Json &Value);

Json makeResourcesJson(const Resources &Value);

/// Not thread-safe; used for a single parse.
class JsonFields {
public:
  /// Returns Malformed unless Text is a single JSON object.
  static Outcome<JsonFields> parse(const std::string &Text);

  /// Each of the following functions returns the field's value, or the default
  /// if the field is absent and optional, and records a problem if the value is
  /// invalid.
  std::string readString(const std::string &Name, bool Required,
                         std::size_t MaxBytes);
  std::int64_t readInteger(const std::string &Name, std::int64_t Default,
                           std::int64_t Min, std::int64_t Max);
  Resources readResources(const std::string &Name);

  /// Records a problem for every field that was not read, then returns
  /// InvalidArgument if there was any problem.
  Outcome<void> finish();

private:
  explicit JsonFields(Json Object) : Object_(std::move(Object)) {}
  const Json *findField(const std::string &Name);
  void addProblem(const std::string &Name, const std::string &Text);

  Json Object_;
  std::set<std::string> ReadFields_;
  std::string Problems_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JSONFIELDS_H
