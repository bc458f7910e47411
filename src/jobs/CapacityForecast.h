//===- CapacityForecast.h - When accepted work gets served ------*- C++ -*-===//
//
// Tells how long a new job would wait if the accepted work that is due no later
// went first. The rate at which work is served is measured while some of it
// waits; nothing is forecast from capacities alone. Computed some times a
// second over the open jobs; a query costs a few binary searches.
// Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_CAPACITYFORECAST_H
#define TULIPWEIR_SRC_JOBS_CAPACITYFORECAST_H

#include "jobs/CapacityShares.h"
#include "jobs/JobDemand.h"
#include "jobs/LiveServerTable.h"
#include "jobs/RunTimeEstimator.h"
#include "jobs/ServerHealth.h"
#include "jobs/WaitingWork.h"
#include "tulipweir/core/AdmissionRules.h"

#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tulipweir::jobs {

/// A wait: processor seconds that go first, and the processors that serve
/// them.
struct LaneForecast {
  Duration Wait_{};
  double Backlog_ = 0;
  double Rate_ = 0;
  bool operator==(const LaneForecast &) const = default;
};

/// The forecast for a job, for the class of its work that waits longest.
struct WaitForecast {
  /// Tasks no larger than the job's wait for longer than two report intervals,
  /// and the rate is known. Otherwise there is room as far as known.
  bool IsFull_ = false;
  /// While the job can still be on time. Such work goes before late work.
  LaneForecast OnTime_;
  /// If all useful work that callers need no later went first, whether it is
  /// late or not.
  LaneForecast InOrder_;
  /// Once the job is late, from the rate at which late work is in fact served.
  /// Zero if that is not known.
  LaneForecast Late_;
  bool operator==(const WaitForecast &) const = default;
};

/// Not thread-safe.
class CapacityForecast {
public:
  static constexpr std::size_t NoClass =
      std::numeric_limits<std::size_t>::max();

  /// All arguments must outlive the forecast; Shares is updated by their owner.
  /// A result is of no use to its callers after LatenessLimit times the
  /// objective of its queue.
  CapacityForecast(std::uint64_t LatenessLimit,
                   const RunTimeEstimator &RunTimes, const ShareStatus &Shares)
      : LatenessLimit_(LatenessLimit), RunTimes_(RunTimes), Shares_(Shares) {}

  // Commands.

  /// Called when this member begins to lead. Forgets everything.
  void reset();
  /// Called periodically; does nothing if the last update is recent.
  void update(const JobRegistry &Registry, const LiveServerTable &LiveServers,
              const ServerHealth &Health, TimePoint Now, WallTime Wall);
  /// Returns the demand of a job that is not accepted yet.
  JobDemand makeDemand(const JobSpec &Job, const QueuePolicy &Queue);
  /// Adds a job that is about to be accepted, so that it counts before the
  /// next update.
  void addAccepted(const std::string &Id, const JobDemand &Demand,
                   TimePoint Due, TimePoint Limit, TimePoint Now);

  // Queries; answers are as of the last update.

  /// Returns the forecast for a job that is on time until Due and of use until
  /// Limit. Promised is further work that goes first, one figure for each class
  /// of the demand.
  WaitForecast estimate(const JobDemand &Demand, TimePoint Due, TimePoint Limit,
                        const std::vector<double> &Promised,
                        TimePoint Now) const;
  /// Returns whether sound servers have had room since the update before for
  /// the tasks of the job that start first.
  bool hasRoom(const JobSpec &Job, const QueuePolicy &Queue) const;
  /// Returns whether the forecast knows enough to reject anything.
  bool isReliable(TimePoint Now) const { return Now >= UnreliableUntil_; }
  /// Returns the processor seconds that wait, by queue.
  const std::map<std::string, double> &backlogByQueue() const {
    return BacklogByQueue_;
  }
  std::size_t countTracked() const { return Tracked_.size(); }
  /// Changes whenever the indexes of classes become meaningless.
  std::uint64_t getGeneration() const { return Generation_; }

private:
  /// Work that waits for two report intervals, in which each server has asked
  /// for work, finds no room.
  static constexpr Duration MaxWaitWithRoom = std::chrono::seconds(1);
  /// Jobs that wait too long must be of this number: a single one may wait for
  /// reasons of its own.
  static constexpr std::size_t MinLongWaits = 2;
  /// The window of rates: some task run times, so that single ends do not show,
  /// and less than callers wait.
  static constexpr Duration RateWindow = std::chrono::seconds(5);
  static constexpr std::size_t MaxClasses = 256; ///< Bounds memory.

  /// A step of an accepted job; long-running ones have no class.
  struct TrackedStep {
    std::size_t Class_ = NoClass;
    double WorkPerTask_ = 0; ///< Processor seconds.
    Duration RunTime_{};     ///< Typical.
    std::uint64_t Waiting_ = 0;
    TimePoint ReadySince_{};    ///< Meaningful while it is ready and waits.
    std::uint64_t ReadyAt_ = 0; ///< Number of the last update that saw it so.
  };
  struct TrackedJob {
    std::string Id_;
    TimePoint Due_{};
    TimePoint Limit_{};
    bool IsLate_ = false; ///< At the last update.
    std::vector<TrackedStep> Steps_;
  };
  /// The work of one class and priority.
  struct Lane {
    Lane();
    /// Returns whether the rate was measured for long enough.
    bool isKnown(TimePoint Now) const;
    DrainRate Rate_;     ///< Of all work, while some waits.
    DrainRate LateRate_; ///< Of late work, while some waits.
    double Served_ = 0;  ///< Since the last update.
    double LateServed_ = 0;
    std::size_t LongWaits_ = 0;     ///< Jobs that wait for too long.
    std::size_t MeasuredWaits_ = 0; ///< Jobs that wait for long enough.
    bool IsFull_ = false;
    bool IsMeasured_ = false;
    bool HasLate_ = false;
    TimePoint FullAt_{};  ///< The last update at which it was full.
    WaitingWork OnTime_;  ///< By the time at which it is due.
    WaitingWork InOrder_; ///< All work, by the limit of its use.
    WaitingWork Late_;    ///< By the limit of its use.
  };
  struct ClassState {
    bool HasUnknown_ = false;             ///< Work of unknown run time waits.
    std::map<std::uint64_t, Lane> Lanes_; ///< By priority; bounded.
  };
  /// A job that was accepted since the last update, or is about to be.
  struct RecentJob {
    std::string Id_;
    JobDemand Demand_;
    TimePoint Due_{};
    TimePoint Limit_{};
    TimePoint At_{};
  };
  struct RemainingWork {
    Duration Chain_{};
    std::vector<std::uint64_t> Waiting_; ///< Tasks, by step.
  };

  std::size_t findClass(const QueuePolicy &Queue, const StepSpec &Step);
  /// The unreserved capacity of a server that accepts starts, the lesser of the
  /// last two updates.
  struct FreeServer {
    Resources Lasting_;
    std::string Service_;
    std::vector<std::string> Labels_;
    bool hasLabel(const std::string &Label) const;
  };

  void updateFree(const JobRegistry &Registry,
                  const LiveServerTable &LiveServers,
                  const ServerHealth &Health, TimePoint Now);
  void updateKnowledge(const JobRegistry &Registry,
                       const LiveServerTable &LiveServers, TimePoint Now);
  TrackedJob *track(const JobRecord &Job, bool IsNew, TimePoint Now,
                    WallTime Wall);
  void trackNewJobs(const JobRegistry &Registry, TimePoint Now, WallTime Wall);
  static RemainingWork sumRemaining(const JobRecord &Job,
                                    const TrackedJob &Tracked);
  Lane *findLane(std::size_t Class, std::uint64_t Priority);
  void addServed(TrackedJob &Tracked, std::uint64_t Priority,
                 const std::vector<std::uint64_t> &Waiting);
  void addBacklog(const JobRecord &Job, TrackedJob &Tracked, bool IsSuspect,
                  TimePoint Now);
  void updateTracked(const JobRegistry &Registry, TimePoint Now);
  void updateRates(TimePoint Now);
  /// Returns the processors that are free beyond those that were measured.
  double getExtraRate(const WorkClass &Class) const;
  void addRecent(const JobDemand &Demand, std::size_t Class, TimePoint Due,
                 TimePoint Limit, WaitForecast &Result) const;
  WaitForecast estimateClass(const JobDemand &Demand, const ClassDemand &Asked,
                             TimePoint Due, TimePoint Limit, double Promised,
                             TimePoint Now) const;

  const std::uint64_t LatenessLimit_;
  const RunTimeEstimator &RunTimes_;
  const ShareStatus &Shares_;

  std::map<WorkClass, std::size_t> ClassIndexes_;
  std::vector<std::pair<WorkClass, ClassState>> Classes_;
  std::unordered_map<std::uint64_t, TrackedJob> Tracked_; ///< By sequence.
  std::vector<RecentJob> Recent_;
  std::map<std::string, double> BacklogByQueue_;
  std::unordered_map<std::string, Resources> Free_; ///< By server id.
  std::vector<FreeServer> Roomy_; ///< Those with any processors.
  std::uint64_t Generation_ = 0;
  std::uint64_t Updates_ = 1; ///< Number of the last update.
  TimePoint NextUpdate_{};
  TimePoint UnreliableUntil_{};
  std::size_t EvacuatedCount_ = 0;
  /// Processors of the servers that accept starts; the second is their average
  /// over the time in which rates are measured.
  double Capacity_ = 0;
  double MeanCapacity_ = 0;
  TimePoint LastUpdate_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CAPACITYFORECAST_H
