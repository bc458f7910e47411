//===- ControlProcess.h - A complete control process -----------*- C++ -*-===//
//
// Creates the components of a control process and starts and stops them in
// order.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CONTROL_CONTROLPROCESS_H
#define TULIPWEIR_CONTROL_CONTROLPROCESS_H

#include "tulipweir/control/ControlSettings.h"
#include "tulipweir/net/Options.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tulipweir::control {

/// A control process. Thread-safe unless stated otherwise.
class ControlProcess {
public:
  ControlProcess(const ControlSettings &Settings, const Clock &Time);
  /// Closes everything immediately if stop() was not called.
  ~ControlProcess();
  ControlProcess(const ControlProcess &) = delete;
  ControlProcess &operator=(const ControlProcess &) = delete;

  /// Opens the logs, starts listening and joins both replication groups. Must
  /// be called once and not on a network thread. Message_ holds the reason of a
  /// failure.
  struct StartResult {
    net::ExitCode Code_ = net::ExitCode::Success;
    std::string Message_;
  };
  StartResult start();

  /// Performs a planned stop: transfers leadership, waits for calls in progress
  /// and closes the logs. Blocks for at most the grace time; must not be called
  /// on a network thread. Returns Success, or GraceExceeded if something was
  /// cut off.
  net::ExitCode stop();
  /// Makes a stop in progress return at once with GraceExceeded.
  void abortStop();

  /// Returns the address for links, with the port that was actually bound.
  net::Endpoint getLinkEndpoint() const;
  net::Endpoint getHttpEndpoint() const;
  /// Returns the complete state as JSON, for operators.
  std::string makeStateDump() const;
  boost::asio::io_context &context();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_CONTROL_CONTROLPROCESS_H
