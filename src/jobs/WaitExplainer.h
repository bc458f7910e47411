//===- WaitExplainer.h - Why waiting tasks do not start ---------*- C++ -*-===//
//
// Names, for a waiting step, what keeps each server from starting its tasks.
// Room comes first: any other reason is given only for a server with room for a
// task, as such a wait has another cause than a full fleet. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_WAITEXPLAINER_H
#define TULIPWEIR_SRC_JOBS_WAITEXPLAINER_H

#include "jobs/AdviceCache.h"
#include "jobs/CapacitySurvey.h"
#include "jobs/InterferenceModel.h"
#include "jobs/IsolationPlanner.h"
#include "jobs/LiveServerTable.h"
#include "jobs/ServerHealth.h"
#include "jobs/ServingLoads.h"

#include <string>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// What keeps a server from starting a task.
enum class StartObstacle : std::uint8_t {
  Unlabelled,
  Evacuated, ///< The server's data centre is being evacuated.
  Full,
  Unavailable, ///< The server leaves, does not report, or refuses starts.
  Quarantined, ///< Or on probation.
  Closed,      ///< A suspected task runs in isolation, or is about to.
  Crowded,     ///< The step's spread limit is reached.
  Unadvised,
  Interfering, ///< The task would slow serving tasks.
  Busy,        ///< No idle processors for a filling task.
  Reserved,    ///< The room is reserved for another step.
  None,        ///< The server has not reported since.
};

/// Examines a bounded number of servers at a time, so that an explanation costs
/// the same on a fleet of any size. Not thread-safe.
class WaitExplainer {
public:
  /// The most servers that are examined at a time.
  static constexpr std::size_t MaxExamined = 256;

  /// All arguments must outlive the explainer.
  WaitExplainer(const InterferenceModel &Interference,
                const ServingLoads &Loads, const ServerHealth &Health,
                const AdviceCache &Advice, const IsolationPlanner &Isolation,
                const CapacitySurvey &Survey, const ReadyTimes &Waits)
      : Interference_(Interference), Loads_(Loads), Health_(Health),
        Advice_(Advice), Isolation_(Isolation), Survey_(Survey), Waits_(Waits) {
  }

  /// Moves on to the next servers of a fleet that is larger than MaxExamined.
  void examineNext(const JobRegistry &Registry);

  /// Returns why the step's tasks do not start: the number of servers for each
  /// reason, of those that are examined now.
  std::string explainWait(const JobRegistry &Registry,
                          const LiveServerTable &LiveServers,
                          const ReadyStep &Step, TimePoint Now) const;
  /// Returns the long-running steps that wait although examined servers in
  /// service have room for their tasks, with some of these servers and what
  /// keeps each from starting one. A step that became ready after Since is left
  /// out. At most MaxSteps are returned.
  std::vector<std::pair<ReadyStep, std::string>>
  findUnusedRoom(const JobRegistry &Registry,
                 const LiveServerTable &LiveServers, TimePoint Since,
                 TimePoint Now, std::size_t MaxSteps) const;

private:
  StartObstacle findObstacle(const JobRegistry &Registry,
                             const LiveServerTable &LiveServers,
                             const ReadyStep &Step, const ServerRecord &Server,
                             TimePoint Now) const;
  std::vector<const ServerRecord *>
  listExamined(const JobRegistry &Registry) const;

  const InterferenceModel &Interference_;
  const ServingLoads &Loads_;
  const ServerHealth &Health_;
  const AdviceCache &Advice_;
  const IsolationPlanner &Isolation_;
  const CapacitySurvey &Survey_;
  const ReadyTimes &Waits_;
  /// The first examined server is the first whose id is not less than this.
  std::string FirstExamined_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_WAITEXPLAINER_H
