//===- RunTimeEstimator.h - Run times learned from ended runs ---*- C++ -*-===//
//
// Declared run times are inaccurate. This class learns how long runs take: for
// a step of a job, from its own tasks; and by queue and image, in proportion to
// what steps declare. Every member that receives a report learns from it,
// whether it leads or not. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_RUNTIMEESTIMATOR_H
#define TULIPWEIR_SRC_JOBS_RUNTIMEESTIMATOR_H

#include "jobs/LearnedRunTimes.h"
#include "jobs/RunTracker.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/jobs/ServerReport.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe.
class RunTimeEstimator {
public:
  // Commands.

  /// Learns from the ends and the progress of runs that a report lists. A
  /// report that was received before is ignored.
  void learn(const JobRegistry &Registry, const ServerReport &Report,
             TimePoint Now);
  /// Removes the state of jobs that have ended, and of servers that no report
  /// came from for a minute.
  void prune(const JobRegistry &Registry);

  // Queries.

  /// Returns the run time that this fraction (0 to 1) of the runs of a step do
  /// not exceed; the declared run time while nothing is known.
  Duration getQuantile(const JobRecord &Job, std::uint64_t Step,
                       double Fraction) const;
  /// Like getQuantile; returns nullopt while nothing is known.
  std::optional<Duration> findQuantile(const JobRecord &Job, std::uint64_t Step,
                                       double Fraction) const;
  /// Returns the median of the runs of a step that has not been accepted yet.
  Duration getTypical(const QueuePolicy &Queue, const StepSpec &Step) const;
  /// Returns the median of the runs of a step.
  Duration getTypical(const JobRecord &Job, std::uint64_t Step) const;
  /// Like the next function, with what getTypical returned for the step.
  Duration getRemaining(const JobRecord &Job,
                        const OccurrenceRecord &Occurrence, std::uint64_t Step,
                        Duration Typical, TimePoint Now) const;
  /// Returns the typical time until the step of the occurrence is done, once
  /// its tasks run: of a whole run while tasks wait, otherwise what its runs
  /// still need by their progress, where that is known.
  Duration getRemaining(const JobRecord &Job,
                        const OccurrenceRecord &Occurrence, std::uint64_t Step,
                        TimePoint Now) const;
  /// Returns whether other runs on the server, within this time before its last
  /// report, took about as long as is typical of their queue and image: then a
  /// long run there is no sign of a slow server. Number is the end of the run
  /// in question. False if that is not known.
  bool doOthersAdvanceAsUsual(const JobRegistry &Registry,
                              const std::string &ServerId,
                              std::uint64_t EndNumber, Duration Within) const;
  /// Returns what was learned by queue and image, in that order.
  std::vector<LearnedRunTime> list() const { return Classes_.list(); }

private:
  /// A run time of a step's task, from its end or from its progress.
  struct Sample {
    std::uint64_t Occurrence_ = 0;
    std::uint64_t Index_ = 0;
    std::uint64_t Run_ = 0;
    Duration Length_{};
  };
  /// When a run is expected to end, by its progress.
  struct ExpectedEnd {
    std::uint64_t Occurrence_ = 0;
    std::uint64_t Index_ = 0;
    TimePoint At_{};
  };
  struct StepTimes {
    std::vector<Sample> Samples_;
    std::size_t NextSample_ = 0; ///< Replaced next once there are enough.
    std::vector<ExpectedEnd> Ends_;
    Duration Median_{}; ///< Zero until there are enough samples.
  };
  /// How a run on a server compares with the typical run of its queue and
  /// image.
  struct ServerRun {
    std::uint64_t EndNumber_ = 0;
    TimePoint At_{};
    double Slowness_ = 0;
  };
  struct Server {
    RunTracker Tracker_;
    std::deque<ServerRun> LastRuns_;
  };

  Server *findOrTrack(const JobRegistry &Registry, const ServerReport &Report);
  void learnEnd(const JobRegistry &Registry, Server &Where,
                const EndedTask &Ended);
  void admit(const JobRegistry &Registry, TrackedRun &Run,
             const RunningTask &Running);
  void advance(const JobRegistry &Registry, TrackedRun &Run,
               const RunningTask &Running, TimePoint At);
  void addSample(const JobRecord &Job, const TaskKey &Task, std::uint64_t Run,
                 const RunTimeBounds &Length);
  void setExpectedEnd(const JobRecord &Job, const TaskKey &Task, TimePoint At);
  void forgetRun(const TaskKey &Task);
  StepTimes *findOrAddTimes(const JobRecord &Job, std::uint64_t Step);
  const StepTimes *findTimes(const std::string &Job, std::uint64_t Step) const;

  LearnedRunTimes Classes_;
  std::unordered_map<std::string, std::vector<StepTimes>> Jobs_;
  std::unordered_map<std::string, Server> Servers_;
  /// Ids of the tracked servers whose last report listed no bounded run.
  std::unordered_set<std::string> Untelling_;
  TimePoint LastHeard_{}; ///< Of any server.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_RUNTIMEESTIMATOR_H
