//===- ServingLoads.h - Load of serving tasks ------------------*- C++ -*-===//
//
// The tail of a serving task depends on the load of its own users and on the
// interference of filling tasks beside it. The tasks of one step serve the
// same users beside different filling tasks, so what their tails have in
// common is the load. With the load known, interference is learned from
// differences of a tenth instead of swings by a factor of three. A tail that
// grows with the load as in a queue also tells the share of their reserved
// processors that the tasks use. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SERVINGLOADS_H
#define TULIPWEIR_SRC_JOBS_SERVINGLOADS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/Advisor.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace tulipweir::jobs {

/// Totals of the serving tasks on one server, as of its last report; processors
/// in thousandths.
struct ServingUse {
  std::int64_t Reserved_ = 0;
  std::int64_t Used_ =
      0; ///< Expected use at the current load.
         /// By image, the longest baseline, as findBaseline returns it.
  std::map<std::string, double> WorstBaselines_;
};

/// Estimated baselines and loads by step and server. Not thread-safe.
class ServingLoads {
public:
  /// Used before anything is known: serving tasks reserve capacity for their
  /// peaks and use about half of it on average. The value gave the best results
  /// of several on both users' days (docs/MEASUREMENTS.md).
  static constexpr double DefaultLoad = 0.52;

  // Commands.

  /// Adds a task's reading: the logarithm of its tail over its target, less the
  /// known interference. Returns the baseline before the reading, as
  /// findBaseline would.
  std::optional<double> addSample(const StepKey &Step, const std::string &Image,
                                  double LogTail, TimePoint Now);
  /// Stores the totals of a server's report.
  void updateServer(const std::string &ServerId, ServingUse Use);
  /// Compares the steps of each image; called periodically.
  void updateRanges(TimePoint Now);
  /// Removes steps and servers that no longer exist.
  void prune(const JobRegistry &Registry);

  // Queries.

  /// Returns the logarithm of the tail over the target that the current load
  /// alone causes for the step's tasks; nothing until enough readings arrived.
  std::optional<double> findBaseline(const StepKey &Step) const;
  /// Returns the share of their reserved processors that the step's tasks
  /// currently use.
  double getLoad(const StepKey &Step) const;
  /// Returns the longest baseline of the image's tasks on the server, or a
  /// default if it is not known.
  double getWorstBaseline(const std::string &ServerId,
                          const std::string &Image) const;
  /// Returns the processors that the server's serving tasks are expected to
  /// use, thousandths.
  std::int64_t estimateUsedCpus(const ServerRecord &Server) const;

private:
  struct StepLoad {
    std::string Image_;
    double Baseline_ = 0;
    std::uint64_t Samples_ = 0;
    TimePoint UpdatedAt_{};
  };
  /// The range of the baselines of an image's steps that were seen so far.
  struct TailRange {
    double Lowest_ = 0;
    double Highest_ = 0;
  };

  /// Unordered, as it is looked up for each serving task of each report.
  std::unordered_map<StepKey, StepLoad, StepKeyHash> Steps_;
  std::map<std::string, TailRange> Images_;
  std::unordered_map<std::string, ServingUse> Servers_;
  TimePoint NextRangeUpdate_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVINGLOADS_H
