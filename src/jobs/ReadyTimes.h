//===- ReadyTimes.h - How long steps have been ready ------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_READYTIMES_H
#define TULIPWEIR_SRC_JOBS_READYTIMES_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>
#include <set>

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
    pruneLost(Registry);
  }
  /// Records that the server of these runs was removed. Long-running tasks of
  /// them have been down for a lease already, so they take precedence at once.
  void recordLoss(const JobRegistry &Registry,
                  const std::map<TaskKey, std::uint64_t> &Runs) {
    if (Runs.empty())
      return;
    for (const ReadyStep &Step : Registry.readyLongRunningSteps()) {
      const TaskKey First{Step.Job_, Step.Occurrence_, Step.Step_, 0};
      const auto Next = Runs.lower_bound(First);
      const bool IsLost = Next != Runs.end() && Next->first.Job_ == Step.Job_ &&
                          Next->first.Occurrence_ == Step.Occurrence_ &&
                          Next->first.Step_ == Step.Step_;
      if (IsLost)
        Lost_.insert(Step);
    }
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
  /// Returns whether a long-running step takes precedence over short work.
  bool takesPrecedence(const ReadyStep &Step, TimePoint Now) {
    return getWait(Step, Now) >= MaxLongRunningWait || Lost_.count(Step) != 0;
  }
  /// Returns whether the step is known to have been ready since then.
  bool hasWaitedSince(const ReadyStep &Step, TimePoint Since) const {
    const auto It = Since_.find(Step);
    return It != Since_.end() && It->second <= Since;
  }
  /// Removes steps that are no longer ready.
  void prune(const JobRegistry &Registry) {
    std::erase_if(Since_, [&Registry](const auto &Entry) {
      return Registry.readySteps().count(Entry.first) == 0;
    });
    pruneLost(Registry);
  }

private:
  void pruneLost(const JobRegistry &Registry) {
    std::erase_if(Lost_, [&Registry](const ReadyStep &Step) {
      return Registry.readyLongRunningSteps().count(Step) == 0;
    });
  }

  std::map<ReadyStep, TimePoint> Since_;
  /// Long-running steps with tasks that were lost with their server.
  std::set<ReadyStep> Lost_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_READYTIMES_H
