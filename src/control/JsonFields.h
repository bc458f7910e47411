//===- JsonFields.h - Checked reading of JSON objects ----------*- C++ -*-===//
//
// Reads the fields of one JSON object and gathers everything that is wrong
// with it, so that an operator sees all problems at once.
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

/// The text of a JSON value; bytes that are no UTF-8 are replaced.
std::string renderJson(const Json &Value);

Json makeResourcesJson(const Resources &Value);

/// Not thread-safe; lives for one parse.
class JsonFields {
public:
  /// Fails with Malformed unless Text is one JSON object.
  static Outcome<JsonFields> parse(const std::string &Text);

  /// Each returns the field's value, or the default when it is absent and not
  /// required; a wrong one is noted as a problem.
  std::string takeText(const std::string &Name, bool Required,
                       std::size_t MaxBytes);
  std::int64_t takeInteger(const std::string &Name, std::int64_t Default,
                           std::int64_t Least, std::int64_t Most);
  Resources takeResources(const std::string &Name);

  /// Notes fields that nobody took, then fails with InvalidArgument if there
  /// was any problem.
  Outcome<void> finish();

private:
  explicit JsonFields(Json Object) : Object_(std::move(Object)) {}
  const Json *take(const std::string &Name);
  void addProblem(const std::string &Name, const std::string &Text);

  Json Object_;
  std::set<std::string> Taken_;
  std::string Problems_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JSONFIELDS_H
