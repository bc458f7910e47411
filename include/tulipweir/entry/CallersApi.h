//===- CallersApi.h - HTTP API for callers ---------------------*- C++ -*-===//
//
// Handles /v1/services/{service}/{path} and /v1/tickets. Requests that cannot
// be served are rejected at once; the others are passed to a sender.
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

/// Returns 64 random bits. Thread-safe, and hard to guess in production.
using RandomBits = std::function<std::uint64_t()>;

/// The dependencies of CallersApi. Referenced objects outlive it.
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
  Duration MaxRequest_; ///< The maximum time from arrival to deadline.
};

/// Handles the HTTP requests of callers. Thread-safe.
class CallersApi {
public:
  explicit CallersApi(CallersApiDependencies Deps);

  void handleService(net::HttpRequest Request, net::HttpRespond Respond);
  void handleTicket(const net::HttpRequest &Request,
                    const net::HttpRespond &Respond);
  /// Returns the number of requests received and not answered yet.
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
