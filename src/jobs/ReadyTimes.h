//===- ReadyTimes.h - How long steps have been ready ------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_READYTIMES_H
#define TULIPWEIR_SRC_JOBS_READYTIMES_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>

namespace tulipweir::jobs {

/// Not thread-safe.
class ReadyTimes {
public:
  /// Long-running work that has waited for this time takes precedence, and room
  /// is reserved for it: a steady stream of short work leaves only gaps that
  /// are too small. Long-running tasks must not be down for more than some
  /// seconds.
  static constexpr Duration MaxLongRunningWait = std::chrono::seconds(2);

  // Commands.

  /// Called when this member begins to lead. Forgets all but the long-running
  /// steps: only their waits are bounded over changes of leader.
  void reset(const JobRegistry &Registry) {
    std::erase_if(Since_, [&Registry](const auto &Entry) {
      return Registry.readyLongRunningSteps().count(Entry.first) == 0;
    });
  }
  /// Notes since when the long-running steps have been ready. Called
  /// periodically, also while another member leads.
  void observe(const JobRegistry &Registry, TimePoint Now) {
    for (const ReadyStep &Step : Registry.readyLongRunningSteps())
      Since_.try_emplace(Step, Now);
  }
  /// Returns how long the step has been ready. The time of an unknown step
  /// starts now.
  Duration getWait(const ReadyStep &Step, TimePoint Now) {
    return Now - Since_.try_emplace(Step, Now).first->second;
  }
  /// Removes steps that are no longer ready.
  void prune(const JobRegistry &Registry) {
    std::erase_if(Since_, [&Registry](const auto &Entry) {
      return Registry.readySteps().count(Entry.first) == 0;
    });
  }

private:
  std::map<ReadyStep, TimePoint> Since_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_READYTIMES_H
