//===- TailGuard.h - Services first, when batch work hurts -----*- C++ -*-===//
//
// Watches the late reports of each backend server. When a service's p99 stood
// over its target for several reports in a row, the tasks that slow it most
// are throttled, as many as the learned effects say are needed; if newer
// reports still stand over it, the tasks whose eviction helps most per work
// lost are evicted. Reports taken before the last action took effect, or while
// its effect is awaited, are not counted, so that a lag longer than the
// guard's period cannot make it act twice on the same evidence. On the way
// back tasks are released while the prediction stays under the target; after a
// relapse twice as many good reports are needed.
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
  explicit TailGuard(PlannerState &State) : State_(State), Tail_(State) {}

  /// Counts and learns from one report.
  void noteService(const ServiceSample &Sample);
  /// Appends at most Budget decisions for servers on which reports crossed a
  /// threshold, and marks their tasks as awaiting the effect.
  void act(TimePoint Now, std::size_t Budget, std::vector<Decision> &Decisions);

private:
  /// A running task and by how much it slows the service.
  struct Offender {
    RunningTask *Task_ = nullptr;
    double Weight_ = 0; ///< Learned effect of a server full of its class.
    double Effect_ = 0; ///< Its own, as a part of the service's p99 alone.
    Duration WorkLost_{};
  };
  /// One server's service that stood over its target.
  struct Excess {
    const ServiceState *Service_ = nullptr;
    double Alone_ = 0;
    double Target_ = 0;
    double Needed_ = 0; ///< By what part of Alone_ it must get shorter.
  };

  void count(ServiceState &Service, bool Counts, const ServiceSample &Sample);
  std::string explain(const Excess &Over) const;
  void noteShare(ServiceIndex Service, const ServiceSample &Sample);
  bool isOver(const ServiceState &Service) const;
  std::optional<Excess> findExcess(const ServerEntry &Server) const;
  std::vector<Offender> listOffenders(const ServerEntry &Server,
                                      const ServiceState &Service,
                                      TimePoint Now) const;
  bool isBatchBlameless(const Excess &Over,
                        const std::vector<Offender> &Offenders,
                        TimePoint Now) const;
  void relieve(ServerEntry &Server, const Excess &Over, TimePoint Now,
               std::size_t Budget, std::vector<Decision> &Decisions);
  /// After a relapse only the tasks released before it are to blame.
  static void blameReleased(const ServerEntry &Server,
                            std::vector<Offender> &Offenders);
  void throttle(ServerEntry &Server, const Excess &Over,
                std::vector<Offender> Offenders, TimePoint Now,
                std::size_t Budget, std::vector<Decision> &Decisions);
  void evict(ServerEntry &Server, const Excess &Over,
             std::vector<Offender> Offenders, TimePoint Now, std::size_t Budget,
             std::vector<Decision> &Decisions);
  void restore(ServerEntry &Server, TimePoint Now, std::size_t Budget,
               std::vector<Decision> &Decisions);
  std::vector<RunningTask *> listThrottled(const ServerEntry &Server,
                                           TimePoint Now) const;
  void markPending(ServerEntry &Server, RunningTask &Task, TimePoint Now);
  bool isReadyToRestore(const ServerEntry &Server) const;

  PlannerState &State_;
  TailModel Tail_;
  std::set<ServerIndex> ToCheck_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_TAILGUARD_H
