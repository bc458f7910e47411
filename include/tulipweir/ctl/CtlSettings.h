//===- CtlSettings.h - Settings of tulipweirctl ----------------*- C++ -*-===//
//
// Flags and environment of the operators' command line, its exit codes, and
// what every command is given.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CTL_CTLSETTINGS_H
#define TULIPWEIR_CTL_CTLSETTINGS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace tulipweir::net {
class Options;
} // namespace tulipweir::net

namespace tulipweir::ctl {

class OperatorApi;

/// Documented in --help and docs/OPERATORS.md; 0 to 2 as for all programs.
enum class CtlExit : int {
  Success = 0,     ///< It holds, now or already before.
  Failure = 1,     ///< It was refused, or what was checked has problems.
  BadUsage = 2,    ///< Flags, environment or arguments; nothing was sent.
  Conflict = 6,    ///< Somebody else's change came first.
  Unreachable = 7, ///< No answer, or nobody can decide; repeating is safe.
  NotFound = 8,    ///< No such bundle, job, group or server.
};

struct CtlSettings {
  std::string EntryList_ = "127.0.0.1:8080"; ///< Comma-separated.
  std::vector<net::Endpoint> Entries_;       ///< EntryList_, read.
  std::string Operator_;
  std::string KeyFile_;
  bool Json_ = false;
  bool Wait_ = false;
  bool FromLogs_ = false; ///< explain reads files instead of asking.
  Duration Timeout_ = std::chrono::seconds(30);
  std::int64_t Limit_ = 50;
  std::int64_t After_ = 0;
  std::int64_t Count_ = 0; ///< watch ends after so many; 0: never.
};

/// Adds the flags. To and Target must outlive the parsing.
void addCtlOptions(net::Options &To, CtlSettings &Target);

/// What a command works with.
struct CtlContext {
  const CtlSettings &Settings_;
  OperatorApi &Api_;
  const Clock &Time_;
  std::ostream &Out_;
  std::ostream &Err_;
};

} // namespace tulipweir::ctl

#endif // TULIPWEIR_CTL_CTLSETTINGS_H
