//===- FinalResult.h - How a caller's request ended ----------*- C++ -*-===//
//
// The typed end of a request: served, not run, or unknown, with the reason.
// "Not run" is only ever said when no byte of the request can have been acted
// upon under this key.
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
  Served,  ///< The whole answer of the backend server, or its record.
  NotRun,  ///< It was not run, now or under this key before.
  Unknown, ///< It may have run; ask again with the same key.
};

/// Why a request ended as it did. Names and statuses are in FinalResult.cpp
/// and docs/API.md.
enum class RequestReason : std::uint8_t {
  Answered,          ///< By a backend server.
  Replayed,          ///< From the record of an earlier run.
  BadRequest,        ///< A header or the path breaks a rule.
  UnknownService,    ///< The bundle in force names no such service.
  BodyTooLarge,      ///< Over the service's limit.
  DeadlinePassed,    ///< Before anything was sent.
  CallerLimit,       ///< The caller's token bucket is empty.
  QueueFull,         ///< As many wait as may.
  TooLate,           ///< It would not start before its deadline.
  NoServers,         ///< No backend server has granted slots.
  NotServing,        ///< This entry has no bundle yet, or is stopping.
  ServersRefused,    ///< Backend servers said busy or took no connection.
  AnswerLost,        ///< The connection broke after the first byte.
  AnswerInvalid,     ///< Truncated, too large, or for another request.
  AnswerLate,        ///< No whole answer before the deadline.
  KeyConflict,       ///< The key stands for another request.
  KeyExpired,        ///< The ticket is too old for its record.
  RecordUnavailable, ///< The record of the key could not be asked.
  RecordUnknown,     ///< It began once and its end was never recorded.
  RunningElsewhere,  ///< Still running when this caller's deadline passed.
  HomeUnreachable,   ///< The record is in a data centre out of reach.
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
  std::string Message_;        ///< For people; unless served.
  Duration RetryAfter_{};      ///< When to come back; zero: no use, or at once.
  net::HttpResponse Answer_;   ///< When served.
  bool RecordMissing_ = false; ///< Served, but the record was not written.
  bool operator==(const FinalResult &) const = default;

  static FinalResult makeServed(net::HttpResponse Answer);
  static FinalResult makeNotRun(RequestReason Reason, std::string Message,
                                Duration RetryAfter = Duration::zero());
  static FinalResult makeUnknown(RequestReason Reason, std::string Message,
                                 Duration RetryAfter = Duration::zero());
};

/// The answer that the caller gets: its own request's, with our headers.
net::HttpResponse renderResult(const FinalResult &Result,
                               const std::string &RequestId);

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_FINALRESULT_H
