//===- HttpCall.h - One blocking HTTP exchange -----------------*- C++ -*-===//
//
// A caller as simple as can be, apart from the product's own client: connects,
// sends, reads until the peer closes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_SYSTEM_SUPPORT_HTTPCALL_H
#define TULIPWEIR_TESTS_SYSTEM_SUPPORT_HTTPCALL_H

#include "system/support/Child.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace tulipweir::system_test {

struct HttpCall {
  std::string Method_ = "GET";
  std::string Address_ = "127.0.0.1";
  std::string Path_;
  std::string Body_;
  std::map<std::string, std::string> Headers_;
  Milliseconds Limit_ = std::chrono::seconds(20);
};

struct HttpAnswer {
  /// 0: no whole answer came.
  int Status_ = 0;
  /// Whether the request could be sent at all.
  bool Connected_ = false;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
  std::string Body_;

  nlohmann::json json() const {
    return nlohmann::json::parse(Body_, nullptr, false);
  }
  std::string header(const std::string &LowerName) const {
    auto Found = Headers_.find(LowerName);
    return Found == Headers_.end() ? "" : Found->second;
  }
  /// "served", "not-run" or "unknown".
  std::string outcome() const { return header("x-tulipweir-outcome"); }
};

HttpAnswer call(std::uint16_t Port, const HttpCall &What);
HttpAnswer get(std::uint16_t Port, const std::string &Path);
HttpAnswer post(std::uint16_t Port, const std::string &Path,
                const std::string &Body = "");

} // namespace tulipweir::system_test

#endif // TULIPWEIR_TESTS_SYSTEM_SUPPORT_HTTPCALL_H
