//===- LearnerAdmission.h - Adds waiting members as learners ---*- C++ -*-===//
//
// A configured control process that is new or lost its disk asks to join. The
// group's leader adds it as a learner automatically. A learner has no vote: an
// operator must promote it (MemberRoutes).
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_LEARNERADMISSION_H
#define TULIPWEIR_SRC_CONTROL_LEARNERADMISSION_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/replication/Replica.h"

#include <memory>
#include <set>
#include <string>

namespace tulipweir::control {

/// Lives on the executor.
class LearnerAdmission {
public:
  /// Allowed contains the names of all control processes that may join.
  LearnerAdmission(std::string Group, replication::Replica &Replica,
                   Executor &Strand, std::set<std::string> Allowed);

  void start();
  void stop() {
    Strand_.post([this] { Stopped_ = true; });
  }
  /// Adds at most one waiting member; called once per second.
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

#endif // TULIPWEIR_SRC_CONTROL_LEARNERADMISSION_H
