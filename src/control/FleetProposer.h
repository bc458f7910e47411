//===- FleetProposer.h - Proposes commands to the fleet log ----*- C++ -*-===//
//
// Sends a command to the fleet's current leader and returns its result.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_FLEETPROPOSER_H
#define TULIPWEIR_SRC_CONTROL_FLEETPROPOSER_H

#include "control/PeerCaller.h"
#include "tulipweir/core/Error.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/replication/Replica.h"

#include <functional>
#include <memory>
#include <string>

namespace tulipweir::control {

/// Thread-safe. All fleet commands are idempotent: a repeated command is
/// recognised and changes nothing. So a command with an unknown outcome is
/// proposed again until the deadline.
class FleetProposer {
public:
  using Callback = std::function<void(Outcome<std::string>)>;

  FleetProposer(replication::Replica &Fleet, PeerCaller &Peers,
                Executor &Timers, const Clock &Time);

  /// Calls Done once with the state machine's result, or with Unavailable or
  /// Timeout if no leader answered in time.
  void propose(std::string Command, Duration Timeout, Callback Done);

private:
  struct Attempt {
    std::string Command_;
    TimePoint Deadline_;
    Callback Done_;
  };

  void run(std::shared_ptr<Attempt> Pending);
  void finish(const std::shared_ptr<Attempt> &Pending,
              Outcome<std::string> Result);

  replication::Replica &Fleet_;
  PeerCaller &Peers_;
  Executor &Timers_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_FLEETPROPOSER_H
