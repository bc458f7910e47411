//===- HttpOperatorApi.h - The operators' API over HTTP --------*- C++ -*-===//
//
// Asks the entries in turn until one answers for good.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CTL_HTTPOPERATORAPI_H
#define TULIPWEIR_CTL_HTTPOPERATORAPI_H

#include "tulipweir/ctl/OperatorApi.h"
#include "tulipweir/net/Endpoint.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace tulipweir::ctl {

struct ApiSettings {
  std::vector<net::Endpoint> Entries_; ///< At least one.
  /// How long to go on trying altogether.
  Duration Timeout_ = std::chrono::seconds(30);
  /// How long one entry may take for one answer; longer than an entry waits
  /// for its controls, so that the entry's answer is the one that is shown.
  Duration AnswerTimeout_ = std::chrono::seconds(12);
  /// After every entry was tried without success.
  Duration Pause_ = std::chrono::milliseconds(200);
};

/// Not thread-safe. A request whose answer was lost is sent again, to the next
/// entry: every operator call may be. An answer that nobody can decide at the
/// moment (502, 503, 504) is tried again too until Timeout_.
class HttpOperatorApi final : public OperatorApi {
public:
  HttpOperatorApi(const ApiSettings &Settings, const Clock &Time);
  ~HttpOperatorApi() override;
  HttpOperatorApi(const HttpOperatorApi &) = delete;
  HttpOperatorApi &operator=(const HttpOperatorApi &) = delete;

  Outcome<ApiAnswer> call(const ApiRequest &Request) override;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::ctl

#endif // TULIPWEIR_CTL_HTTPOPERATORAPI_H
