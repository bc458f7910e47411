//===- SchedulingOrder.h - Scheduling order of waiting steps ---*- C++ -*-===//
//
// The first waiting steps in the order in which they get capacity, with the
// needs of their tasks. The order is recomputed when steps were added, but not
// for each of some thousand reports a second: a long queue would then cost
// most when the load is highest. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SCHEDULINGORDER_H
#define TULIPWEIR_SRC_JOBS_SCHEDULINGORDER_H

#include "jobs/CapacityShares.h"
#include "jobs/JobValueEstimator.h"
#include "jobs/OverdueSteps.h"
#include "jobs/PassedOverTimes.h"
#include "jobs/ReadyTimes.h"

#include <limits>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// The smallest needs of any waiting task, in MiB and thousandths of
/// processors.
struct MinimumNeeds {
  std::int64_t Memory_ = 0;
  std::int64_t PlainCpus_ = 0;
  std::int64_t FillingCpus_ = 0;
};

/// A waiting step with the values that a plan checks first.
struct Candidate {
  static constexpr std::size_t NoFillingImage =
      std::numeric_limits<std::size_t>::max();

  ReadyStep Step_;
  /// Valid while JobRegistry::getForgottenVersion() is that of the update.
  const JobRecord *Job_ = nullptr;
  Resources Reserved_; ///< The capacity that each task reserves.
  /// Idle processors that each task needs; zero for steps that do not fill.
  std::int64_t IdleNeeded_ = 0;
  /// Index of the tasks' filling image in this order.
  std::size_t FillingImage_ = NoFillingImage;
  TimePoint ReadySince_{};
  bool IsIdleJob_ = false; ///< Nothing of the job ran at the last update.

  /// Returns whether the tasks reserve no processors.
  bool fills() const { return FillingImage_ != NoFillingImage; }
};

/// What an update of the order reads.
struct OrderInputs {
  const JobRegistry &Registry_;
  ReadyTimes &Waits_;
  const PassedOverTimes &PassedOver_;
  const OverdueSteps &Overdue_;
  TimePoint Now_;
  WallTime Wall_;
};

/// The waiting steps in scheduling order. Not thread-safe.
class SchedulingOrder {
public:
  /// RunTimes must outlive the order.
  explicit SchedulingOrder(const RunTimeEstimator &RunTimes)
      : RunTimes_(RunTimes) {}
  /// With shares that are enabled, bounded steps that would be late come before
  /// long-running ones that do not starve; of the latter those whose tasks ran
  /// before, and of these the ones with the fewest waiting tasks, come first.
  /// The arguments must outlive the order.
  SchedulingOrder(const RunTimeEstimator &RunTimes,
                  const CapacityShares &Shares)
      : RunTimes_(RunTimes), Shares_(Shares.isEnabled() ? &Shares : nullptr) {}

  // Commands.

  void reset();
  /// Sets by how much the order may be older than usual.
  void setAgeFactor(std::int64_t Factor) { AgeFactor_ = Factor; }
  /// Recomputes the order if steps were added since, or it is too old.
  void update(const OrderInputs &In);
  /// Records the first start of one of a filling step's tasks.
  void recordStart(const JobRecord &Job, std::uint64_t Step, TimePoint Now) {
    Value_.recordStart(Job, Step, Now);
  }
  /// Returns how many jobs were estimated anew since the last call.
  std::uint64_t takeEstimates() { return Value_.takeEstimates(); }
  /// Returns how many waiting steps the updates since the last call have read.
  std::uint64_t takeStepsRead() { return std::exchange(StepsRead_, 0); }

  // Queries; all answers are as of the last update.

  const std::vector<Candidate> &candidates() const { return Candidates_; }
  /// Returns the work of filling jobs by the key of their queue.
  const std::map<std::string, QueueWork> &fillingWork() const {
    return Value_.queues();
  }
  const MinimumNeeds &minimumNeeds() const { return Minimum_; }
  std::size_t countFillingImages() const { return FillingImages_.size(); }

private:
  Lateness getLateness(const JobRecord &Job, const OccurrenceRecord &Occurrence,
                       std::uint64_t DueMs, TimePoint Now, WallTime Wall);
  void addNewJobs(const JobRegistry &Registry, TimePoint Now);
  /// A step with its records, which are valid during an update.
  struct WaitingStep {
    const ReadyStep *Ready_;
    const JobRecord *Job_;
    const StepSpec *Spec_;
    const StepRecord *Record_;
  };
  struct Level;
  bool isDue(const JobRegistry &Registry, TimePoint Now) const;
  void classifyReserving(const OrderInputs &In, const WaitingStep &Waiting,
                         Lateness When, bool IsOverdueByJob, Level &To) const;
  void addLevel(const OrderInputs &In, Level Of);
  static void sortLongRunning(std::vector<WaitingStep> &Steps);
  void add(const WaitingStep &Waiting, ReadyTimes &Waits, TimePoint Now);

  const RunTimeEstimator &RunTimes_;
  const CapacityShares *const Shares_ = nullptr; ///< If they are enabled.
  std::vector<Candidate> Candidates_;
  MinimumNeeds Minimum_;
  std::unordered_map<std::string, std::size_t> FillingImages_;
  JobValueEstimator Value_{RunTimes_};
  std::uint64_t LastAddedSequence_ = 0; ///< Of the newest job in Value_.
  std::uint64_t Version_ = 0; ///< Of the ready steps, at the last update.
  std::uint64_t ForgottenVersion_ = 0; ///< Of the jobs, at the last update.
  /// Whether bounded steps that reserve processors waited at the last update.
  bool HasBounded_ = false;
  TimePoint UpdatedAt_ = TimePoint::min();
  std::int64_t AgeFactor_ = 1;
  std::uint64_t StepsRead_ = 0;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SCHEDULINGORDER_H
