//===- OperatorApi.h - Calls to the operators' API -------------*- C++ -*-===//
//
// What the commands of tulipweirctl need of the network. Every change of the
// operators' API may be sent again: resending one that was taken says so and
// changes nothing.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CTL_OPERATORAPI_H
#define TULIPWEIR_CTL_OPERATORAPI_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"

#include <string>
#include <string_view>

namespace tulipweir::ctl {

struct ApiRequest {
  std::string Method_ = "GET";
  std::string Path_;  ///< Below /v1/operator, escaped.
  std::string Query_; ///< Without the '?', escaped.
  std::string Body_;  ///< JSON.
  /// How long the answer may take beyond the usual (long polls).
  Duration Patience_{};
  bool operator==(const ApiRequest &) const = default;
};

struct ApiAnswer {
  unsigned Status_ = 0; ///< An HTTP status.
  std::string Body_;    ///< JSON.
  bool operator==(const ApiAnswer &) const = default;
};

class OperatorApi {
public:
  virtual ~OperatorApi() = default;

  /// The answer of whoever could decide, or of the last one that could not;
  /// Unavailable or Timeout if there was no answer at all. Blocks.
  virtual Outcome<ApiAnswer> call(const ApiRequest &Request) = 0;
};

/// Percent-encodes one step of a path or one value of a query.
std::string escapeStep(std::string_view Text);

} // namespace tulipweir::ctl

#endif // TULIPWEIR_CTL_OPERATORAPI_H
