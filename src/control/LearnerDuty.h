//===- LearnerDuty.h - Taking members without a log back in ----*- C++ -*-===//
//
// A control of the settings that lost its disk, or is new, asks to join; the
// group's leader adds it as a learner by itself. A learner has no vote: that
// takes an operator's word (MemberRoutes).
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_LEARNERDUTY_H
#define TULIPWEIR_SRC_CONTROL_LEARNERDUTY_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/replication/Replica.h"

#include <memory>
#include <set>
#include <string>

namespace tulipweir::control {

/// Lives on the executor.
class LearnerDuty {
public:
  /// Allowed names every control that may take part.
  LearnerDuty(std::string Group, replication::Replica &Replica,
              Executor &Strand, std::set<std::string> Allowed);

  void start();
  void stop() {
    Strand_.post([this] { Stopped_ = true; });
  }
  /// Adds at most one member that waits; called once a second.
  void run();

private:
  void tick();

  const std::string Group_;
  replication::Replica &Replica_;
  Executor &Strand_;
  const std::set<std::string> Allowed_;
  bool Adding_ = false;
  bool Stopped_ = false;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_LEARNERDUTY_H
