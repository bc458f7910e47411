//===- ServerTable.h - Backend servers and what they hold ------*- C++ -*-===//
//
// What is committed on each server (reserved), what is merely proposed or
// claimed (held), and the indexes that find room. All amounts change only
// through here, so that the sums and the indexes always agree.
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

/// Stands for "never" where an age is asked for: a monotonic clock may have
/// started only seconds ago.
inline constexpr TimePoint DistantPast{-std::chrono::hours(24 * 365)};

/// A committed attempt. Owned by PlannerState; servers point to it.
struct RunningTask {
  TaskInfo Info_;
  AttemptNumber Attempt_;
  ServerIndex Server_ = 0;
  ClassIndex Class_ = 0;
  Resources Reservation_;
  std::uint32_t ThrottlePercent_ = 100;
  TimePoint PlacedAt_;
  TimePoint ThrottledAt_; ///< When the last change of throttle took effect.
  Resources Usage_;       ///< The latest measured one.
  double SustainedMilliCpus_ = 0; ///< Smoothed over a few samples.
  TimePoint UsageAt_;
  Duration WorkAtRisk_{};         ///< Since its checkpoint, at UsageAt_.
  std::uint32_t OverReports_ = 0; ///< In a row over its reservation.
  TimePoint IgnoreUsageUntil_;    ///< Samples taken before say nothing new.
  TimePoint PendingUntil_;        ///< A decision about it awaits its effect.
  std::uint32_t Relapses_ = 0;    ///< Releases after which the tail rose.
  bool GuardPending_ = false;     ///< That decision was the tail guard's.
  bool Unmeasured_ =
      false; ///< Its class's size is a guess, and no sample came.
  bool HealthRecorded_ = false;
  bool ResizeQueued_ = false;
  std::size_t IndexInServer_ = 0;
};

/// One service's late reports from one server.
struct ServiceState {
  ServiceIndex Service_ = 0;
  LoadBand Band_ = 0;
  LoadBand PeakBand_ = 0; ///< Highest of late, so that waves are expected.
  TimePoint PeakAt_ = DistantPast;
  TimePoint SampledAt_;
  double P99Micros_ = 0; ///< Smoothed over a few reports.
  std::uint32_t OverReports_ = 0;
  /// By how much those stood over the target, added up as parts of it.
  double ExcessSum_ = 0;
  std::uint32_t UnderReports_ = 0;
};

struct ServerEntry {
  ServerInfo Info_;
  bool Present_ = false;
  bool Quarantined_ = false;
  bool ProbeOnly_ = false; ///< One task at a time, until one does well.
  Resources Reserved_;
  Resources Held_;
  Resources MeasuredUsage_; ///< Sum of the latest usages.
  std::uint32_t Rack_ = 0;
  std::uint32_t HoldCount_ = 0;
  std::vector<RunningTask *> Tasks_;
  std::vector<TaskId> Claims_; ///< Tasks for which it is being emptied.
  PlacementHistory History_;
  std::vector<ServiceState> Services_;
  TimePoint IgnoreReportsUntil_;   ///< Reports taken before are older than the
                                   ///< effect of the guard's last action.
  TimePoint GuardPendingUntil_;    ///< An action's effect was not told yet.
  std::uint32_t GuardPending_ = 0; ///< Tasks whose effect is awaited.
  TimePoint GuardActedAt_ = DistantPast; ///< Of the guard's last action.
  std::uint32_t ReleaseFactor_ = 1;      ///< Grows with each relapse.
  TimePoint ReleasedAt_ = DistantPast;
  std::uint32_t ThrottledCount_ = 0;
  std::uint32_t Unmeasured_ = 0; ///< Tasks whose size is a guess.

  /// The state of a service; made on its first report.
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
  /// Room that is free now, on servers that take work.
  const ResourceTree &room() const { return Room_; }
  /// What servers that take work hold when empty.
  const ResourceTree &limits() const { return Limits_; }
  /// The same, quarantined servers included.
  const ResourceTree &allLimits() const { return AllLimits_; }
  /// The load of a task of this size on the server.
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
