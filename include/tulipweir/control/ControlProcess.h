//===- ControlProcess.h - A whole control process --------------*- C++ -*-===//
//
// Puts the parts of a control together, starts them and stops them in order.
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

/// Thread-safe unless said otherwise.
class ControlProcess {
public:
  ControlProcess(const ControlSettings &Settings, const Clock &Time);
  /// Stops without grace if stop was not called.
  ~ControlProcess();
  ControlProcess(const ControlProcess &) = delete;
  ControlProcess &operator=(const ControlProcess &) = delete;

  /// Opens the logs, listens, and takes part in both groups. Called once, not
  /// on a network thread. Message_ says why it failed.
  struct StartResult {
    net::ExitCode Code_ = net::ExitCode::Success;
    std::string Message_;
  };
  StartResult start();

  /// A planned stop: leadership moves, calls in progress end, the logs close.
  /// Blocks for the grace time at most; not on a network thread. Success, or
  /// GraceExceeded if something was cut off.
  net::ExitCode stop();
  /// Lets a stop that is under way end at once, with GraceExceeded.
  void abortStop();

  /// Where it listens for links, with the chosen port.
  net::Endpoint getLinkEndpoint() const;
  net::Endpoint getHttpEndpoint() const;
  /// The whole state for people, as JSON.
  std::string makeStateDump() const;
  boost::asio::io_context &context();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_CONTROL_CONTROLPROCESS_H
