//===- OverdueSteps.h - Lost long-running work that is overdue --*- C++ -*-===//
//
// Long-running steps with tasks that ran before and must run again soon: the
// task's server was removed, or it has waited for some seconds. Also measures
// for how long on end the fleet has had room for such a task. Deterministic:
// reads no clock and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_OVERDUESTEPS_H
#define TULIPWEIR_SRC_JOBS_OVERDUESTEPS_H

#include "jobs/LiveServerTable.h"
#include "jobs/ReadyTimes.h"

#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe.
class OverdueSteps {
public:
  /// A step that has waited beside room for at least LongWait.
  struct LongWaitBesideRoom {
    ReadyStep Step_;
    Duration Time_{};
    std::string Server_; ///< The one with the most room.
    std::int64_t FreeCpus_ = 0;
  };

  /// A wait beside room is reported from this time on: half of the time within
  /// which such a task must start.
  static constexpr Duration LongWait = std::chrono::milliseconds(1500);

  /// A task that ran before is overdue after this time: half of the longest
  /// absence, which the expiry of a lease takes alone.
  static constexpr Duration MaxReturnWait = std::chrono::seconds(3);

  // Commands.

  /// Called when this member begins to lead. The next update takes the waits of
  /// tasks from those of their steps.
  void reset();
  /// Records that the server of these runs was removed. Their tasks have been
  /// down for a lease already, so they are overdue at once.
  void recordLoss(const std::map<TaskKey, std::uint64_t> &Runs);
  /// Finds the steps; called some twenty times a second.
  void update(const JobRegistry &Registry, const ReadyTimes &Waits,
              const LiveServerTable &LiveServers, TimePoint Now);
  /// Returns the waits beside room that have ended since the last call.
  std::vector<Duration> takeEndedWaits() {
    return std::exchange(EndedWaits_, {});
  }
  /// Returns the waits beside room that have become long, each once.
  std::vector<LongWaitBesideRoom> takeLongWaits() {
    return std::exchange(LongWaits_, {});
  }

  // Queries; all answers are as of the last update.

  bool isEmpty() const { return Needs_.empty(); }
  bool contains(const ReadyStep &Step) const { return Needs_.count(Step) != 0; }
  /// Returns a step whose tasks fit into free capacity of the server, or
  /// nullptr.
  const ReadyStep *findFitting(const JobRegistry &Registry,
                               const ServerRecord &Server,
                               const Resources &Free) const {
    return findFitting(Registry, Server, Free,
                       [](const ReadyStep &) { return true; });
  }
  /// The same of the steps that MayStart accepts.
  template <class Predicate>
  const ReadyStep *
  findFitting(const JobRegistry &Registry, const ServerRecord &Server,
              const Resources &Free, Predicate MayStart) const {
    if (Free.MilliCpus_ < LeastCpus_)
      return nullptr;
    for (const auto &[Step, Need] : Needs_)
      // Its last task may have been placed since.
      if (Need.fitsIn(Free) && Registry.readySteps().count(Step) != 0 &&
          isEligible(Registry, Step, Server) && MayStart(Step))
        return &Step;
    return nullptr;
  }

private:
  /// A waiting task that ran before.
  struct WaitingTask {
    std::uint64_t Run_ = 0; ///< The last one.
    TimePoint Since_{};
    bool IsLost_ = false; ///< With its server.
  };

  bool isOverdue(const TaskKey &Task, const TaskRecord &Record,
                 bool HasStepWaited, TimePoint Now);
  /// Returns whether the server can run a task of the step that fits.
  static bool isEligible(const JobRegistry &Registry, const ReadyStep &Step,
                         const ServerRecord &Server);

  /// A server in service with much room.
  struct Room {
    const ServerRecord *Server_ = nullptr;
    Resources Free_;
  };

  void findRooms(const JobRegistry &Registry,
                 const LiveServerTable &LiveServers, TimePoint Now);
  const Room *findRoomForTwo(const JobRegistry &Registry,
                             const ReadyStep &Step) const;
  void measureWaits(const JobRegistry &Registry,
                    const LiveServerTable &LiveServers, TimePoint Now);

  struct Wait {
    TimePoint Since_{};
    bool IsReported_ = false;
  };

  std::map<TaskKey, WaitingTask> Tasks_;
  bool IsNew_ = true;                    ///< No update since the last reset.
  std::map<ReadyStep, Resources> Needs_; ///< Of one task of each step.
  /// The least of Needs_, in thousandths of a processor.
  std::int64_t LeastCpus_ = std::numeric_limits<std::int64_t>::max();
  std::vector<Room> Rooms_; ///< The largest ones; valid within update().
  TimePoint NextMeasurement_{};
  std::map<ReadyStep, Wait> Waits_; ///< Beside room.
  std::vector<Duration> EndedWaits_;
  std::vector<LongWaitBesideRoom> LongWaits_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_OVERDUESTEPS_H
