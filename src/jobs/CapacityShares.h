//===- CapacityShares.h - Shares of bounded and lasting work ----*- C++ -*-===//
//
// Decides which long-running tasks of a full fleet yield to bounded work that
// would otherwise be late, within the disruption budget of their steps, and
// which capacity is kept for that work meanwhile. Deterministic: reads no clock
// and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_CAPACITYSHARES_H
#define TULIPWEIR_SRC_JOBS_CAPACITYSHARES_H

#include "jobs/ShareSurvey.h"
#include "tulipweir/jobs/LoadSettings.h"
#include "tulipweir/jobs/LoadStatus.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe.
class CapacityShares {
public:
  /// RunTimes must outlive the shares.
  CapacityShares(const ShareSettings &Settings,
                 const RunTimeEstimator &RunTimes)
      : Settings_(Settings), Survey_(Settings, RunTimes) {}

  // Commands.

  /// Called when this member begins to lead.
  void reset();
  /// Chooses the tasks that yield; called some twenty times a second.
  void update(const FleetView &View);
  /// Records that an answer orders the run to stop, as mustYield told.
  void recordStop(const TaskKey &Task, std::uint64_t Run);
  /// Returns for how long the tasks were away that have returned since the last
  /// call.
  std::vector<Duration> takeReturns();

  // Queries; all answers are as of the last update.

  bool isEnabled() const { return Settings_.IsEnabled_; }
  /// Returns whether the run of a long-running task is to be stopped so that
  /// bounded work starts in its place.
  bool mustYield(const TaskKey &Task, std::uint64_t Run) const;
  /// Returns the figures that decided the yield, for the log.
  std::string describeYield(const TaskKey &Task) const;
  /// Returns the part of the server's capacity that long-running work of this
  /// priority leaves to bounded work, overdue work only to more urgent work;
  /// nullptr if there is none. What bounded runs reserve there is a part of it.
  const Resources *findKeptForBounded(const std::string &ServerId,
                                      std::uint64_t Priority,
                                      bool IsOverdue = false) const;
  /// Returns whether the waiting bounded step would be late unless it starts
  /// soon.
  bool isEndangered(const ReadyStep &Step) const {
    return Endangered_.count(Step) != 0;
  }
  /// Returns whether capacity of the server is kept for bounded work.
  bool isKept(const std::string &ServerId) const {
    return Kept_.count(ServerId) != 0;
  }
  const ShareStatus &getStatus() const { return Status_; }

private:
  /// A task that is to yield, or has yielded and not returned.
  struct Yield {
    std::uint64_t Run_ = 0;
    std::string Server_;
    ReadyStep For_;
    Duration Slack_{};            ///< Of the step, at the decision.
    std::int64_t NeededCpus_ = 0; ///< For all its waiting tasks, thousandths.
    TimePoint DecidedAt_{};
    bool IsSent_ = false; ///< The order to stop the run.
    std::optional<TimePoint> StoppedAt_;
  };
  /// The capacity of a server that is kept for bounded work.
  struct KeptCapacity {
    Resources Share_;
    ReadyStep For_;
    Resources UsedBounded_; ///< At the decision.
    bool IsFree_ = false;   ///< A task of the step fits at once.
    TimePoint FreeSince_{}; ///< Since when it was free and not used.
  };

  bool isSettled(const JobRegistry &Registry, const TaskKey &Task, Yield &Value,
                 TimePoint Now);
  void settleYields(const JobRegistry &Registry, TimePoint Now);
  void dropNeedless(const JobRegistry &Registry);
  void decide(const FleetView &View);
  void planStep(const FleetView &View, const BoundedStep &Step);
  void placeInRoom(const BoundedStep &Step, ServerRoom &Room,
                   std::uint64_t &Waiting);
  bool mayUse(const BoundedStep &Step, const ServerRoom &Room,
              TimePoint Now) const;
  const YieldCandidate *chooseYield(const BoundedStep &Step,
                                    std::uint64_t Waiting, TimePoint Now) const;
  void withdrawNeedless();
  void keepCapacity(TimePoint Now);
  void updateStatus(const FleetView &View);

  const ShareSettings Settings_;
  ShareSurvey Survey_;
  ShareStatus Status_;
  TimePoint NextDecision_{};
  TimePoint NextStatus_{};
  std::set<ReadyStep> Endangered_;
  bool IsShort_ = false; ///< Rooms are planned for the bounded work that waits.
  std::map<TaskKey, Yield> Yields_;
  std::map<std::string, KeptCapacity> Kept_; ///< By server.
  /// When tasks yielded last, for MinYieldInterval_.
  std::map<TaskKey, TimePoint> YieldedAt_;
  /// Steps that left the capacity kept for them unused, while they wait.
  std::map<ReadyStep, TimePoint> Unused_;
  /// Until when servers with such capacity keep none.
  std::map<std::string, TimePoint> ReleasedUntil_;
  std::vector<Duration> Returns_;
  std::size_t NewYields_ = 0; ///< In this decision.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CAPACITYSHARES_H
