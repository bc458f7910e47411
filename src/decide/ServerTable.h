//===- ServerTable.h - Backend servers and their resources -----*- C++ -*-===//
//
// The committed (reserved) and the proposed or claimed (held) resources of
// each server, and the indexes that find room. All amounts change only through
// this class, so that the sums and the indexes stay consistent.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_SERVERTABLE_H
#define TULIPWEIR_SRC_DECIDE_SERVERTABLE_H

#include "decide/InterferenceModel.h"
#include "decide/PlacementHistory.h"
#include "decide/ResourceTree.h"
#include "tulipweir/decide/Planner.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace tulipweir::decide {

/// Stands for "never" where an age is computed: a monotonic clock may have
/// started only seconds ago.
inline constexpr TimePoint DistantPast{-std::chrono::hours(24 * 365)};

/// A committed attempt. PlannerState owns it; servers point to it.
struct RunningTask {
  TaskInfo Info_;
  AttemptNumber Attempt_;
  ServerIndex Server_ = 0;
  ClassIndex Class_ = 0;
  Resources Reservation_;
  std::uint32_t ThrottlePercent_ = 100;
  TimePoint PlacedAt_;
  TimePoint ThrottledAt_; ///< When the last throttle change took effect.
  Resources Usage_;       ///< The latest measured usage.
  double SustainedMilliCpus_ = 0; ///< Smoothed over a few samples.
  TimePoint UsageAt_;
  Duration WorkAtRisk_{}; ///< Work since the last checkpoint, as of UsageAt_.
  std::uint32_t OverReports_ = 0; ///< Consecutive samples over the reservation.
  TimePoint IgnoreUsageUntil_; ///< Samples taken before this time do not count.
  TimePoint PendingUntil_;     ///< Until then a decision awaits its effect.
  std::uint32_t Relapses_ = 0; ///< Releases after which the p99 rose again.
  bool GuardPending_ = false;  ///< The pending decision is the tail guard's.
  /// Its size is not known and no sample arrived yet.
  bool Unmeasured_ = false;
  bool HealthRecorded_ = false;
  bool ResizeQueued_ = false;
  std::size_t IndexInServer_ = 0;
};

/// The recent reports of one service on one server.
struct ServiceState {
  ServiceIndex Service_ = 0;
  LoadBand Band_ = 0;
  /// Highest recent band, so that load waves are expected.
  LoadBand PeakBand_ = 0;
  TimePoint PeakAt_ = DistantPast;
  TimePoint SampledAt_;
  double P99Micros_ = 0; ///< Smoothed over a few reports.
  std::uint32_t OverReports_ = 0;
  /// Sum of the relative excess over the target of the counted reports.
  double ExcessSum_ = 0;
  std::uint32_t UnderReports_ = 0;
};

struct ServerEntry {
  ServerInfo Info_;
  bool Present_ = false;
  bool Quarantined_ = false;
  bool ProbeOnly_ = false; ///< One task at a time until one succeeds.
  Resources Reserved_;
  Resources Held_;
  Resources MeasuredUsage_; ///< Sum of the tasks' latest usages.
  std::uint32_t Rack_ = 0;
  std::uint32_t HoldCount_ = 0;
  std::vector<RunningTask *> Tasks_;
  std::vector<TaskId> Claims_; ///< Tasks for which the server is being cleared.
  PlacementHistory History_;
  std::vector<ServiceState> Services_;
  /// Reports taken before this time precede the effect of the guard's last
  /// action.
  TimePoint IgnoreReportsUntil_;
  /// Until then the effect of an action is awaited.
  TimePoint GuardPendingUntil_;
  std::uint32_t PendingGuardTasks_ = 0;  ///< Tasks with an awaited effect.
  TimePoint GuardActedAt_ = DistantPast; ///< Time of the guard's last action.
  std::uint32_t ReleaseFactor_ = 1;      ///< Grows with each relapse.
  TimePoint ReleasedAt_ = DistantPast;
  std::uint32_t ThrottledCount_ = 0;
  std::uint32_t UnmeasuredCount_ = 0; ///< Tasks whose size is not known.

  /// Returns the state of a service; creates it on its first report.
  ServiceState &getOrCreateService(ServiceIndex Service);
  Resources limit() const { return Info_.Capacity_ - Info_.ServiceShare_; }
  Resources room() const { return limit() - Reserved_ - Held_; }
  bool acceptsTasks() const {
    return Present_ && !Info_.Draining_ && !Quarantined_;
  }
};

class ServerTable {
public:
  // Commands.
  ServerIndex intern(const BackendServerId &Server);
  void upsert(const ServerInfo &Info, std::uint32_t Rack);
  void remove(const BackendServerId &Server);
  void addTask(RunningTask &Task, TimePoint Now);
  void removeTask(RunningTask &Task, TimePoint Now);
  void resizeTask(RunningTask &Task, const Resources &Reservation,
                  TimePoint Now);
  void throttleTask(RunningTask &Task, std::uint32_t Percent, TimePoint Now);
  void updateUsage(RunningTask &Task, const Resources &Usage);
  void setUnmeasured(RunningTask &Task, bool IsUnmeasured);
  void hold(ServerIndex Server, const Resources &Amount);
  void release(ServerIndex Server, const Resources &Amount);
  void setQuarantine(ServerIndex Server, bool Quarantined, bool ProbeOnly);
  ServerEntry &at(ServerIndex Server) { return *Entries_[Server]; }

  // Queries.
  const ServerEntry &at(ServerIndex Server) const { return *Entries_[Server]; }
  std::optional<ServerIndex> find(const BackendServerId &Server) const;
  ServerIndex size() const { return static_cast<ServerIndex>(Entries_.size()); }
  /// Free resources of the servers that accept tasks.
  const ResourceTree &room() const { return Room_; }
  /// Total resources for tasks on the servers that accept tasks.
  const ResourceTree &limits() const { return Limits_; }
  /// Total resources for tasks, quarantined servers included.
  const ResourceTree &allLimits() const { return AllLimits_; }
  /// Returns the load of a task of this size on the server.
  double computeLoad(ServerIndex Server, const Resources &Reservation,
                     std::uint32_t ThrottlePercent) const;

private:
  void updateIndexes(ServerIndex Server);

  std::unordered_map<BackendServerId, ServerIndex> Positions_;
  std::vector<std::unique_ptr<ServerEntry>> Entries_;
  std::vector<ServerIndex> FreeIndexes_;
  ResourceTree Room_;
  ResourceTree Limits_;
  ResourceTree AllLimits_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_SERVERTABLE_H
