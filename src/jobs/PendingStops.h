//===- PendingStops.h - Servers that must stop runs -------------*- C++ -*-===//
//
// Records which servers have runs of ended jobs, and since when. Stop orders
// travel in answers to reports, so while the leader is overloaded the reports
// of these servers take precedence over the order of leases.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PENDINGSTOPS_H
#define TULIPWEIR_SRC_JOBS_PENDINGSTOPS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <map>
#include <optional>

namespace tulipweir::jobs {

/// Not thread-safe.
class PendingStops {
public:
  // Commands.

  /// Notes since when jobs with placed runs have ended. Called periodically,
  /// also while another member leads.
  void observe(const JobRegistry &Registry, TimePoint Now);
  /// Called when this member begins to lead. Restarts with the placed runs of
  /// jobs that have ended; their stops have waited since the end was noted.
  void reset(const JobRegistry &Registry, TimePoint Now);
  /// Adds the servers that run tasks of an ended job.
  void add(const JobRecord &Job, TimePoint Now);
  /// Records an answer to a server. A server with stop orders stays pending, as
  /// the answer may be lost: its next report shows whether it has stopped the
  /// runs. Returns how long the server waited for its first stop order.
  std::optional<Duration> recordAnswer(const std::string &Server, bool HasStops,
                                       TimePoint Now);
  void forget(const std::string &Server) { Servers_.erase(Server); }

  // Queries.

  /// Returns the servers that have waited longest.
  std::vector<ServerAwaitingStop> list(TimePoint Now) const;

private:
  struct PendingStop {
    TimePoint Since_;
    bool IsSent_ = false; ///< Whether an answer with a stop order was sent.
  };
  std::map<std::string, PendingStop> Servers_;
  /// By job, when it was first seen ended while runs of it were placed.
  std::map<std::string, TimePoint> EndedSince_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PENDINGSTOPS_H
