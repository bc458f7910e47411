//===- ServiceRequest.h - A caller's request, checked ----------*- C++ -*-===//
//
// What a caller asked for at /v1/services/..., as a typed value, and the
// reading of it from HTTP.
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

/// Header names of the callers' API.
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
  std::string Id_; ///< Unique; sent to and echoed by the backend server.
  ServiceId Service_;
  CallerId Caller_; ///< Empty when the caller gave no name.
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  bool Repeatable_ = false; ///< May run more than once.
  bool Hedged_ = false;     ///< Repeatable, and the service allows hedging.
  /// The key under which it runs at most once; never with Repeatable_.
  std::optional<RequestKey> Key_;
  /// Of a ticket: the data centre it names. A caller's own key has none.
  std::optional<DataCentreId> TicketHome_;
  Digest Digest_; ///< Of service, method, path, query and body; with a key.
  /// As the backend server gets it, without the headers that change by try.
  net::HttpRequest Forward_;
};

/// The key of the record; tickets and callers' own keys never meet.
RequestKey makeRecordKey(std::string_view Text, bool IsTicket);

/// A request or why it was refused.
using ReadResult = std::variant<ServiceRequest, FinalResult>;

/// Where service calls are found.
inline constexpr const char *ServicePrefix = "/v1/services/";

/// Reads a call below ServicePrefix against the bundle in force. Its deadline
/// is at most MaxRequest after Now, whatever the caller and the bundle
/// say.
ReadResult readServiceRequest(net::HttpRequest Request,
                              const Configuration &Config, std::string Id,
                              TimePoint Now, Duration MaxRequest);

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_SERVICEREQUEST_H
