//===- FleetProposer.h - Commands to the fleet log -------------*- C++ -*-===//
//
// Brings a command to the fleet's leader, wherever it is, and its result back.
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

/// Thread-safe. All fleet commands may be repeated: the second of two equal
/// ones is answered as such and changes nothing. So a command whose fate is
/// open is simply proposed again until the deadline.
class FleetProposer {
public:
  using Callback = std::function<void(Outcome<std::string>)>;

  FleetProposer(replication::Replica &Fleet, PeerCaller &Peers,
                Executor &Timers, const Clock &Time);

  /// Calls Done once with the state machine's result; Unavailable or Timeout
  /// when no leader answered in time.
  void propose(std::string Command, Duration Timeout, Callback Done);

private:
  struct Attempt {
    std::string Command_;
    TimePoint Deadline_;
    Callback Done_;
  };

  void run(std::shared_ptr<Attempt> Work);
  void finish(const std::shared_ptr<Attempt> &Work,
              Outcome<std::string> Result);

  replication::Replica &Fleet_;
  PeerCaller &Peers_;
  Executor &Timers_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_FLEETPROPOSER_H
