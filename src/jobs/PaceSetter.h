//===- PaceSetter.h - Pace orders from reported tails ----------*- C++ -*-===//
//
// Computes paces from the tails that a server reports and adds the orders to
// the answer. A pace is sent once, and again only if the task runs as if the
// order had not arrived.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACESETTER_H
#define TULIPWEIR_SRC_JOBS_PACESETTER_H

#include "jobs/InterferenceModel.h"
#include "jobs/LiveServerTable.h"
#include "jobs/PaceController.h"
#include "jobs/TailLearner.h"
#include "tulipweir/core/EventLog.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/jobs/ServerReport.h"

namespace tulipweir::jobs {

/// Runs on the leader's strand only; holds references to the leader's parts.
class PaceSetter {
public:
  PaceSetter(const Clock &Time, const JobStateMachine &Machine, EventLog &Log,
             const InterferenceModel &Interference, TailLearner &Learner,
             PaceController &Paces)
      : Time_(Time), Machine_(Machine), Log_(Log), Interference_(Interference),
        Learner_(Learner), Paces_(Paces) {}

  /// Learns from the tails that serving tasks report, and sets the pace of the
  /// filling tasks on the same server.
  void updatePaces(const ServerReport &Report);
  /// Adds pace orders, also for the tasks that this answer starts.
  void addPaceOrders(const ServerReport &Report, LiveServer &Live,
                     ServerOrders &Orders) const;

private:
  const Clock &Time_;
  const JobStateMachine &Machine_;
  EventLog &Log_;
  const InterferenceModel &Interference_;
  TailLearner &Learner_;
  PaceController &Paces_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACESETTER_H
