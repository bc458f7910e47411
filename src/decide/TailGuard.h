//===- TailGuard.h - Keeps services within their targets -------*- C++ -*-===//
//
// Monitors the reports of each backend server, which may arrive late. When a
// service's p99 exceeds its target in several consecutive reports, the tasks
// that slow it most are throttled, as many as the learned effects require. If
// newer reports still exceed the target, the tasks whose eviction helps most
// per work lost are evicted. Reports taken before the last action took effect,
// or while its effect is awaited, are not counted, so that a lag longer than
// the guard's period cannot make it act twice on the same evidence. Throttled
// tasks are released while the predicted p99 stays under the target; after a
// relapse, twice as many good reports are needed.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_TAILGUARD_H
#define TULIPWEIR_SRC_DECIDE_TAILGUARD_H

#include "decide/PlannerState.h"
#include "decide/TailModel.h"

#include <set>

namespace tulipweir::decide {

class TailGuard {
public:
  explicit TailGuard(PlannerState &State) : State_(State), TailModel_(State) {}

  /// Updates the learned effects and the counts of reports from one sample.
  void addServiceSample(const ServiceSample &Sample);
  /// Appends at most Budget decisions for servers whose report counts crossed a
  /// threshold, and marks their tasks as awaiting the effect.
  void appendDecisions(TimePoint Now, std::size_t Budget,
                       std::vector<Decision> &Decisions);

private:
  /// A running task and its effect on the service.
  struct Antagonist {
    RunningTask *Task_ = nullptr;
    double Weight_ = 0; ///< Learned effect of a server full of its class.
    /// Effect of the task, relative to the service's p99 without tasks.
    double Effect_ = 0;
    Duration WorkLost_{};
  };
  /// A service on one server whose p99 exceeds its target.
  struct Excess {
    const ServiceState *Service_ = nullptr;
    double BaselineMicros_ = 0;
    double Target_ = 0;
    /// Reduction of the p99 that is needed, relative to BaselineMicros_.
    double Needed_ = 0;
  };

  void updateReportCounts(ServiceState &Service, bool IsCounted,
                          const ServiceSample &Sample);
  std::string describeReason(const Excess &Over) const;
  void updateOverTargetShare(ServiceIndex Service, const ServiceSample &Sample);
  bool isOver(const ServiceState &Service) const;
  std::optional<Excess> findExcess(const ServerEntry &Server) const;
  std::vector<Antagonist> listAntagonists(const ServerEntry &Server,
                                          const ServiceState &Service,
                                          TimePoint Now) const;
  bool isCausedOutsideBatch(const Excess &Over,
                            const std::vector<Antagonist> &Antagonists,
                            TimePoint Now) const;
  void reduceExcess(ServerEntry &Server, const Excess &Over, TimePoint Now,
                    std::size_t Budget, std::vector<Decision> &Decisions);
  /// Keeps only the tasks whose throttling ended in the last release, if there
  /// are any: the p99 rose again soon after it, so they are the likely cause.
  static void keepReleasedTasks(const ServerEntry &Server,
                                std::vector<Antagonist> &Antagonists);
  void throttle(ServerEntry &Server, const Excess &Over,
                std::vector<Antagonist> Antagonists, TimePoint Now,
                std::size_t Budget, std::vector<Decision> &Decisions);
  void evict(ServerEntry &Server, const Excess &Over,
             std::vector<Antagonist> Antagonists, TimePoint Now,
             std::size_t Budget, std::vector<Decision> &Decisions);
  void releaseThrottled(ServerEntry &Server, TimePoint Now, std::size_t Budget,
                        std::vector<Decision> &Decisions);
  std::vector<RunningTask *> listThrottled(const ServerEntry &Server,
                                           TimePoint Now) const;
  void markPending(ServerEntry &Server, RunningTask &Task, TimePoint Now);
  bool canRelease(const ServerEntry &Server) const;

  PlannerState &State_;
  TailModel TailModel_;
  std::set<ServerIndex> ServersToCheck_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_TAILGUARD_H
