//===- ServingLoads.h - How busy tasks that serve are ----------*- C++ -*-===//
//
// The tail of a task that serves says two things: how much its own users ask of
// it at the moment, and how much what fills beside it disturbs. The tasks of
// one step serve the same users, each beside other work, so what their tails
// have in common is the first. Known apart, the second is learned from
// differences of a tenth rather than against swings of a factor of three; and
// a tail that grows with the load as that of a queue does tells what the tasks
// use of the processors that they reserve. Pure.
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

namespace tulipweir::jobs {

/// The serving tasks of one server, by its last report; processors in
/// thousandths.
struct ServingUse {
  std::int64_t Reserved_ = 0;
  std::int64_t Used_ = 0; ///< As is expected by their load.
  /// By image, the longest tail by its own load, as findBase has it.
  std::map<std::string, double> WorstBases_;
};

/// Not thread-safe.
class ServingLoads {
public:
  /// Before anything is known: serving tasks reserve for their peaks, and use
  /// half on average. The best of several shares on both users' days
  /// (docs/MEASUREMENTS.md).
  static constexpr double UsualLoad = 0.52;

  // Commands.

  /// A task's reading: the logarithm of its tail over its target, less what is
  /// known of the filling work beside it. The base before it, as findBase.
  std::optional<double> note(const StepKey &Step, const std::string &Image,
                             double LogTail, TimePoint Now);
  /// What a server's report named of its serving tasks.
  void noteServer(const std::string &ServerId, ServingUse Use);
  /// Compares the steps of each image; now and then.
  void survey(TimePoint Now);
  /// Forgets steps and servers that are no more.
  void prune(const JobRegistry &Book);

  // Queries.

  /// The logarithm of the tail over the target that the step's tasks have at
  /// present by their own load; nothing while too little is known.
  std::optional<double> findBase(const StepKey &Step) const;
  /// The share of what they reserve that the step's tasks use at present.
  double getLoad(const StepKey &Step) const;
  /// The longest of the bases of the image's tasks on the server; a usual one
  /// where that is not known.
  double getWorstBase(const std::string &ServerId,
                      const std::string &Image) const;
  /// The processors that the serving tasks of a server are expected to use,
  /// thousandths.
  std::int64_t getUsed(const ServerRecord &Server) const;

private:
  struct StepLoad {
    std::string Image_;
    double Base_ = 0;
    std::uint64_t Samples_ = 0;
    TimePoint NotedAt_{};
  };
  /// Of the bases of an image's steps, as far as they were seen.
  struct Range {
    double Lowest_ = 0;
    double Highest_ = 0;
  };

  std::map<StepKey, StepLoad> Steps_;
  std::map<std::string, Range> Images_;
  std::map<std::string, ServingUse> Servers_;
  TimePoint NextSurvey_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVINGLOADS_H
