//===- ServiceRequest.h - Validated request of a caller --------*- C++ -*-===//
//
// A caller's request at /v1/services/..., and the function that reads it from
// HTTP.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_SERVICEREQUEST_H
#define TULIPWEIR_ENTRY_SERVICEREQUEST_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/entry/Configuration.h"
#include "tulipweir/entry/FinalResult.h"
#include "tulipweir/net/Http.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace tulipweir::entry {

/// Header names of the HTTP API for callers.
namespace header {
inline constexpr const char *Caller = "X-Tulipweir-Caller";
inline constexpr const char *Deadline = "X-Tulipweir-Deadline-Ms";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *NotRun = "X-Tulipweir-Not-Run";
inline constexpr const char *Repeatable = "X-Tulipweir-Repeatable";
inline constexpr const char *RequestId = "X-Tulipweir-Request-Id";
inline constexpr const char *RequestKey = "X-Tulipweir-Request-Key";
inline constexpr const char *Service = "X-Tulipweir-Service";
inline constexpr const char *Ticket = "X-Tulipweir-Ticket";
} // namespace header

struct ServiceRequest {
  std::string Id_; ///< Unique; the backend server returns it in its response.
  ServiceId Service_;
  CallerId Caller_; ///< Empty if the caller sent no name.
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  bool Repeatable_ = false; ///< May run more than once.
  bool Hedged_ =
      false; ///< The request is repeatable and the service allows hedging.
  /// The key under which the request runs at most once. Never set together with
  /// Repeatable_.
  std::optional<RequestKey> Key_;
  /// The data centre named by the ticket. Absent for a caller's own key.
  std::optional<DataCentreId> TicketHome_;
  Digest Digest_; ///< Covers service, method, path, query and body; set if
                  ///< there is a key.
  /// The request for the backend server, without the headers that differ from
  /// try to try.
  net::HttpRequest Forward_;
};

/// Returns the key of the record. Different prefixes keep tickets and callers'
/// own keys apart.
RequestKey makeRecordKey(std::string_view Text, bool IsTicket);

/// A valid request, or the result that rejects it.
using ReadResult = std::variant<ServiceRequest, FinalResult>;

/// The path prefix of service calls.
inline constexpr const char *ServicePrefix = "/v1/services/";

/// Reads a call under ServicePrefix against the bundle in force. Its deadline
/// is at most MaxRequest after Now, even if the caller and the bundle allow
/// more.
ReadResult readServiceRequest(net::HttpRequest Request,
                              const Configuration &Config, std::string Id,
                              TimePoint Now, Duration MaxRequest);

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_SERVICEREQUEST_H
