//===- CallersApi.h - What callers ask over HTTP ---------------*- C++ -*-===//
//
// /v1/services/{service}/{path} and /v1/tickets. Refuses at once what cannot
// be served, and sends the rest on.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_CALLERSAPI_H
#define TULIPWEIR_ENTRY_CALLERSAPI_H

#include "tulipweir/entry/CallerLimits.h"
#include "tulipweir/entry/Configuration.h"
#include "tulipweir/entry/EntryMetrics.h"
#include "tulipweir/entry/EntryState.h"
#include "tulipweir/entry/RequestSender.h"
#include "tulipweir/net/Http.h"

#include <atomic>
#include <functional>

namespace tulipweir::entry {

/// Returns random bits; thread-safe, and hard to guess in production.
using RandomBits = std::function<std::uint64_t()>;

/// What the callers' side needs; all of it outlives the API.
struct CallersApiDependencies {
  const EntryIdentity &Identity_;
  const EntryFlags &Flags_;
  const ConfigurationHolder &Configuration_;
  CallerLimits &Limits_;
  Sender &Plain_;
  Sender &Keyed_;
  const Clock &Clock_;
  RandomBits Random_;
  EntryMetrics &Metrics_;
  Duration MaxRequest_; ///< No deadline is further ahead.
};

/// Thread-safe.
class CallersApi {
public:
  explicit CallersApi(CallersApiDependencies Deps);

  void handleService(net::HttpRequest Request, net::HttpRespond Respond);
  void handleTicket(const net::HttpRequest &Request,
                    const net::HttpRespond &Respond);
  /// Requests taken and not answered yet.
  std::uint64_t getInProgress() const { return InProgress_; }

private:
  std::string makeRequestId();
  std::optional<FinalResult>
  refuseWithoutBundle(const Configuration *Config) const;
  std::optional<FinalResult> refuseOverLimit(const ServiceRequest &Request,
                                             const Configuration &Config) const;

  const CallersApiDependencies Deps_;
  const std::string IdPrefix_;
  std::atomic<std::uint64_t> Requests_{0};
  std::atomic<std::uint64_t> InProgress_{0};
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_CALLERSAPI_H
