//===- FinalResult.h - Result of a caller's request ------------*- C++ -*-===//
//
// The result of a request: served, not run, or unknown, with the reason. "Not
// run" is reported only if no byte of the request can have been processed
// under its key.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_FINALRESULT_H
#define TULIPWEIR_ENTRY_FINALRESULT_H

#include "tulipweir/core/Time.h"
#include "tulipweir/net/Http.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::entry {

enum class RequestOutcome : std::uint8_t {
  Served,  ///< A complete response arrived, now or in an earlier run.
  NotRun,  ///< The request did not run, neither now nor earlier under this key.
  Unknown, ///< The request may have run; a retry needs the same key.
};

/// The reason for a result. The names and HTTP statuses are in FinalResult.cpp
/// and docs/API.md.
enum class RequestReason : std::uint8_t {
  Answered,          ///< A backend server answered.
  Replayed,          ///< The response was recorded by an earlier run.
  BadRequest,        ///< A header or the path is invalid.
  UnknownService,    ///< The bundle in force has no such service.
  BodyTooLarge,      ///< The body is over the service's limit.
  DeadlinePassed,    ///< The deadline passed before anything was sent.
  CallerLimit,       ///< The caller's token bucket is empty.
  QueueFull,         ///< The service's queue is at its limit.
  TooLate,           ///< The request would not start before its deadline.
  NoServers,         ///< No backend server has granted slots.
  NotServing,        ///< The entry has no bundle yet, or is stopping.
  ServersRefused,    ///< The servers were busy or refused the connection.
  AnswerLost,        ///< The connection broke after the first byte.
  AnswerInvalid,     ///< It was truncated, too large, or for another request.
  AnswerLate,        ///< No complete response arrived before the deadline.
  KeyConflict,       ///< The key belongs to another request.
  KeyExpired,        ///< The ticket is too old for its record.
  RecordUnavailable, ///< The record of the key could not be read.
  RecordUnknown,     ///< The request started once and its end was not recorded.
  RunningElsewhere,  ///< It was still running at this caller's deadline.
  HomeUnreachable,   ///< The data centre of the record is unreachable.
};

inline constexpr std::size_t RequestReasonCount =
    static_cast<std::size_t>(RequestReason::HomeUnreachable) + 1;
inline constexpr std::size_t RequestOutcomeCount = 3;

std::string_view getOutcomeName(RequestOutcome Outcome);
std::string_view getReasonName(RequestReason Reason);
unsigned getReasonStatus(RequestReason Reason);

struct FinalResult {
  RequestOutcome Outcome_ = RequestOutcome::Unknown;
  RequestReason Reason_ = RequestReason::RecordUnavailable;
  std::string Message_;      ///< A readable explanation; empty if served.
  Duration RetryAfter_{};    ///< Zero: retrying is useless or possible at once.
  net::HttpResponse Answer_; ///< Set if served.
  bool RecordMissing_ = false; ///< Served, but the record could not be written.
  bool operator==(const FinalResult &) const = default;

  static FinalResult makeServed(net::HttpResponse Answer);
  static FinalResult makeNotRun(RequestReason Reason, std::string Message,
                                Duration RetryAfter = Duration::zero());
  static FinalResult makeUnknown(RequestReason Reason, std::string Message,
                                 Duration RetryAfter = Duration::zero());
};

/// Returns the HTTP response for the caller, with the X-Tulipweir headers
/// added.
net::HttpResponse renderResult(const FinalResult &Result,
                               const std::string &RequestId);

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_FINALRESULT_H
