//===- Process.h - What every program of ours does -------------*- C++ -*-===//
//
// Logging, signals and the operators' pages that all programs share: /healthz,
// /readyz, /metrics, /debug/state, and the state dump on SIGUSR1.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_PROCESS_H
#define TULIPWEIR_NET_PROCESS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/net/Http.h"
#include "tulipweir/net/Metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tulipweir::net {

class Options;
struct OptionsResult;

/// For a main whose options say to leave: prints their text, to standard output
/// on success and else to standard error, and returns the exit code.
int leaveAfterOptions(const OptionsResult &Result);

struct LogSettings {
  std::string Level_ = "info"; ///< trace, debug, info, warn, error.
  bool Json_ = false;          ///< One JSON object a line.
};

/// Adds --log-level and --log-json.
void addLogOptions(Options &To, LogSettings &Target);
/// Sets spdlog's default logger up to write to standard error.
void startLogging(const std::string &Program, const LogSettings &Settings);

/// Calls OnStop at the first SIGTERM or SIGINT, OnSecondStop at the next, and
/// OnDump at each SIGUSR1, on a network thread.
class Signals {
public:
  Signals(boost::asio::io_context &Context, std::function<void()> OnStop,
          std::function<void()> OnSecondStop, std::function<void()> OnDump);
  ~Signals();
  Signals(const Signals &) = delete;
  Signals &operator=(const Signals &) = delete;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Answers the operators' pages; false if the path is none of them.
class OperatorPages {
public:
  /// IsReady returns an empty string, or why not. Dump returns JSON.
  OperatorPages(const Metrics &Source, std::function<std::string()> IsReady,
                std::function<std::string()> Dump);
  bool handle(const HttpRequest &Request, const HttpRespond &Respond) const;

private:
  const Metrics &Source_;
  std::function<std::string()> IsReady_;
  std::function<std::string()> Dump_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_PROCESS_H
