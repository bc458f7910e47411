//===- LiveServerTable.h - Volatile state of live servers -------*- C++ -*-===//
//
// State of backend servers that is not in the replicated log: when each was
// last heard, when its lease expires, and its last reports. A new leader
// starts without it and assumes that every server has the longest lease that an
// earlier leader can have granted, until other members tell it more.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_LIVESERVERTABLE_H
#define TULIPWEIR_SRC_JOBS_LIVESERVERTABLE_H

#include "jobs/RunTimeBounds.h"
#include "tulipweir/core/HashedMap.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/jobs/ServerReport.h"

#include <map>
#include <optional>

namespace tulipweir::jobs {

/// The progress of a run on a server.
struct RunProgress {
  std::uint64_t Run_ = 0;
  std::uint64_t Percent_ = 0;
  TimePoint SeenAt_{};             ///< When the run was first reported.
  TimePoint ChangedAt_{};          ///< When its percentage last changed.
  std::uint64_t FirstPercent_ = 0; ///< When the run was first reported.
  SendTime FirstSent_;             ///< The first report that named the run.
  /// The report before that, which did not name it; nothing if unknown.
  std::optional<SendTime> SentBefore_;
  std::uint64_t Changes_ = 0; ///< How often its percentage was seen to rise.
  /// The longest time that one percent has taken, by these changes.
  Duration LongestPercentTime_{};
};

/// The last pace order that was sent for a run.
struct PaceSent {
  std::uint64_t Run_ = 0;
  std::uint64_t Percent_ = 100;
  TimePoint At_{};
};

/// The volatile state of one server.
struct LiveServer {
  /// A server that was silent for longer, which is four reports, starts nothing
  /// and may have lost its tasks.
  static constexpr Duration MaxSilence = std::chrono::seconds(2);

  std::uint64_t LastSequence_ = 0;
  TimePoint LastHeard_{};
  std::optional<SendTime> LastSent_; ///< When the last report was sent.
  /// When the one before was sent.
  std::optional<SendTime> PreviousSent_;
  /// No task that the server was given runs after this time.
  TimePoint LeaseEnd_{};
  bool IsDraining_ = false;
  /// Its removal is proposed; it gets no lease until that is committed.
  bool IsRemoving_ = false;
  /// Its VM is next for maintenance: its tasks are moved away as far as their
  /// jobs allow.
  bool IsEmptying_ = false;
  /// Its last answer left nothing to report on.
  bool IsIdle_ = false;
  /// Its VM was emptied before, so the server may go without notice.
  bool WasEmptying_ = false;
  /// The server gets no starts until then, as it refused one.
  TimePoint NoStartsUntil_{};
  std::vector<RunningTask> Running_;
  /// The progress of Running_, in the same order.
  std::vector<RunProgress> Progress_;
  // The runs of the previous report.
  std::vector<RunningTask> PreviousRunning_;
  std::vector<RunProgress> PreviousProgress_;
  /// Whether runs may be in progress on the server that are not placed there in
  /// the replicated state.
  bool MayHaveUnplaced_ = true;
  /// Runs that an earlier answer ordered to stop.
  std::map<TaskKey, std::uint64_t> StopsSent_;
  /// The last pace order for each task.
  std::map<TaskKey, PaceSent> PacesSent_;
  /// An earlier leader may have sent paces to runs there, unless it was first
  /// heard by this one.
  bool MayHavePaces_ = false;
  /// The first report of such a server to this leader.
  std::optional<TimePoint> PacesCheckedSince_;

  /// Returns the progress of the task in the last report, or in the one before;
  /// nullptr if the report did not name the task.
  const RunProgress *findProgress(const TaskKey &Task) const;
  const RunProgress *findPreviousProgress(const TaskKey &Task) const;
  /// Returns how long the server's reports have named the run; zero if none
  /// has.
  Duration getObservedTime(const TaskKey &Task, std::uint64_t Run) const;
  /// Bounds the duration of a run whose end is in the last report and which the
  /// one before named; otherwise nothing is certain.
  RunTimeBounds boundRunTime(const TaskKey &Task, std::uint64_t Run) const;
  /// Returns whether the server has not been heard for a while.
  bool isSilent(TimePoint Now) const { return Now - LastHeard_ > MaxSilence; }
  /// Whether the server is neither leaving nor being emptied, as far as known.
  bool isInService() const {
    return !IsDraining_ && !IsRemoving_ && !IsEmptying_;
  }
};

/// The leader's view of all live servers. Not thread-safe.
class LiveServerTable {
public:
  /// Restarts with all registered servers, as if each was heard now and has a
  /// lease until Now + Lease.
  void reset(const JobRegistry &Registry, TimePoint Now, Duration Lease);

  /// Records a report; returns false if a later one was recorded before. A new
  /// server counts as if it had a lease until Now + Lease: its registration may
  /// take long to commit, and no answer extends the lease until then.
  bool recordReport(const ServerReport &Report, TimePoint Now, Duration Lease);
  void extendLease(const std::string &Id, TimePoint End);
  /// Records whether the server has nothing to report on.
  void setIdle(LiveServer &Live, bool IsIdle);
  std::size_t countIdle() const { return IdleCount_; }
  /// Limits what reset assumed of a server that has not reported since: it was
  /// last heard at HeardAt, and its lease ends at End, if these are earlier.
  /// Returns whether the lease has become shorter.
  bool limitLease(const std::string &Id, TimePoint HeardAt, TimePoint End);
  LiveServer *find(const std::string &Id);
  const LiveServer *find(const std::string &Id) const;
  void add(const std::string &Id, TimePoint Now, TimePoint LeaseEnd);
  void remove(const std::string &Id);
  const std::map<std::string, LiveServer> &servers() const {
    return Servers_.ordered();
  }
  /// Returns the servers whose lease has expired by Now and whose removal is
  /// not proposed. Costs nothing while no lease can have expired.
  std::vector<std::string> listExpired(TimePoint Now);
  /// Whether anything may be started on the server. All planners check this.
  bool acceptsStarts(const JobRegistry &Registry,
                     const ServerRecord &Server) const {
    const LiveServer *Live = find(Server.Facts_.Id_);
    return Live && Live->isInService() && !Registry.isEvacuated(Server.Facts_);
  }
  /// Whether the server accepts starts and has reported lately, so that it can
  /// be told to start something.
  bool canStart(const JobRegistry &Registry, const ServerRecord &Server,
                TimePoint Now) const {
    return acceptsStarts(Registry, Server) &&
           !find(Server.Facts_.Id_)->isSilent(Now);
  }
  /// Returns the reserved resources of runs that are in progress on the server
  /// but not placed there in the replicated state, as far as their jobs are
  /// known.
  Resources sumUnplacedUsage(const JobRegistry &Registry,
                             const ServerRecord &Server) const;
  /// Whether the previous incarnation did not crash, or this one has run for
  /// long enough since.
  bool isStable(const ServerRecord &Server) const;
  /// Returns the last reported checkpoints of the server's runs.
  std::vector<SavedCheckpoint> listCheckpoints(const std::string &Id) const;

private:
  static void updateProgress(LiveServer &Live, TimePoint Now);
  void boundFirstLeaseEnd(const LiveServer &Live);

  HashedMap<LiveServer> Servers_;
  std::size_t IdleCount_ = 0;
  /// No lease ends before this time.
  TimePoint FirstLeaseEnd_ = TimePoint::max();
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_LIVESERVERTABLE_H
