//===- Error.h - Typed errors and outcome values ---------------*- C++ -*-===//
//
// Every call that can fail returns an Outcome: either its value or an Error.
// Only a broken invariant stops the process; reading the wrong side of an
// Outcome is one.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_ERROR_H
#define TULIPWEIR_CORE_ERROR_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <compare>
#include <string>
#include <string_view>

namespace tulipweir {

/// What kind of thing went wrong. Callers branch on this, never on the text.
enum class ErrorCode {
  InvalidArgument,  ///< The input breaks a documented rule.
  NotFound,         ///< No such job, service, bundle or server.
  AlreadyExists,    ///< The same thing was accepted before.
  Conflict,         ///< Somebody else's change came first, or digests differ.
  Overfull,         ///< It would exceed processors, memory or accelerators.
  StaleToken,       ///< A fencing token, term or version that was superseded.
  NotLeader,        ///< This replica cannot decide; ask the leader.
  Unavailable,      ///< Nobody can decide or serve at the moment; retry.
  Timeout,          ///< The deadline passed; whether it took effect is open.
  PermissionDenied, ///< A key or signature is missing or wrong.
  Malformed,        ///< Bytes that do not decode.
  TooLarge,         ///< Over a configured limit.
  VersionMismatch,  ///< A protocol or file format of another version.
  StorageFailed,    ///< A write or sync failed; nothing may be acknowledged.
  Corrupt,          ///< Stored bytes fail their checksum.
  Internal,         ///< A defect of ours that was contained.
};

/// Returns the stable, lower-case name of the code, as shown to operators.
std::string_view getErrorName(ErrorCode Code);

/// An error as a value: the code for programs, the message for people. The
/// message says what was found, what is allowed and what to do next.
struct Error {
  ErrorCode Code_ = ErrorCode::Internal;
  std::string Message_;

  static Error make(ErrorCode Code, std::string Message) {
    return Error{Code, std::move(Message)};
  }
  auto operator<=>(const Error &) const = default;
};

/// A value or an Error.
template <class T>
using Outcome =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Shorthand for a failed Outcome of any type.
inline auto fail(ErrorCode Code, std::string Message) {
  return boost::outcome_v2::failure(Error::make(Code, std::move(Message)));
}

/// Shorthand for a successful Outcome<void>.
inline auto succeed() { return boost::outcome_v2::success(); }

} // namespace tulipweir

#endif // TULIPWEIR_CORE_ERROR_H
