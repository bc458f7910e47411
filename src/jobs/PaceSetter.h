//===- PaceSetter.h - From reported tails to orders on pace ----*- C++ -*-===//
//
// Turns what a server reports of its tasks into paces, and these into orders
// for that server. An order is told once, and again only where the task works
// as if it had not arrived.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACESETTER_H
#define TULIPWEIR_SRC_JOBS_PACESETTER_H

#include "jobs/PaceController.h"
#include "jobs/ServerBoard.h"
#include "jobs/InterferenceModel.h"
#include "jobs/TailLearner.h"
#include "tulipweir/core/EventLog.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobMachine.h"
#include "tulipweir/jobs/ServerReport.h"

namespace tulipweir::jobs {

/// On the leader's strand only; holds references to its parts.
class PaceSetter {
public:
  PaceSetter(const Clock &Time, const JobMachine &Machine, EventLog &Log,
             const TailEffects &Effects, TailLearner &Learner, PaceGuard &Paces)
      : Time_(Time), Machine_(Machine), Log_(Log), Effects_(Effects),
        Learner_(Learner), Paces_(Paces) {}

  /// Learns from the tails that serving tasks report, and sets the pace of the
  /// filling tasks beside them.
  void note(const ServerReport &Report);
  /// Also for the tasks that this very answer starts.
  void addPaces(const ServerReport &Report, ServerLive &Live,
                ServerOrders &Orders) const;

private:
  const Clock &Time_;
  const JobMachine &Machine_;
  EventLog &Log_;
  const TailEffects &Effects_;
  TailLearner &Learner_;
  PaceGuard &Paces_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACESETTER_H
