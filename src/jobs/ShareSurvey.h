//===- ShareSurvey.h - What bounded and long-running work use ---*- C++ -*-===//
//
// One pass over the servers and the waiting steps: which rooms there are for
// bounded work, which long-running runs may be stopped within the disruption
// budgets of their steps, and which bounded steps would be late. Deterministic:
// reads no clock and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SHARESURVEY_H
#define TULIPWEIR_SRC_JOBS_SHARESURVEY_H

#include "jobs/CapacitySurvey.h"
#include "jobs/LiveServerTable.h"
#include "jobs/OverdueSteps.h"
#include "jobs/RunTimeEstimator.h"
#include "jobs/ServerHealth.h"
#include "tulipweir/jobs/LoadSettings.h"

#include <unordered_map>
#include <vector>

namespace tulipweir::jobs {

/// The inputs of a survey, which must outlive it.
struct FleetView {
  const JobRegistry &Registry_;
  const LiveServerTable &LiveServers_;
  const ServerHealth &Health_;
  const CapacitySurvey &Capacity_;
  const OverdueSteps &Overdue_;
  TimePoint Now_;
  WallTime Wall_;
};

/// A waiting step of bounded work that reserves processors and can still be in
/// time. Work that is late anyway takes what is left over.
struct BoundedStep {
  ReadyStep Step_;
  const JobRecord *Job_ = nullptr;
  const StepSpec *Spec_ = nullptr;
  std::uint64_t Waiting_ = 0; ///< Tasks.
  Duration Slack_{}; ///< The longest wait with which the job is in time.
  bool IsEndangered_ = false; ///< Late unless its tasks start soon.
};

/// A sound server in service that may start tasks now.
struct ServerRoom {
  const ServerRecord *Server_ = nullptr;
  Resources Free_;        ///< Not reserved.
  Resources SoonFree_;    ///< Free once the bounded runs about to end have.
  Resources Yielding_;    ///< Of it, what ordered yields will free.
  Resources Placed_;      ///< Of Free_, what a plan gives to bounded work.
  Resources UsedBounded_; ///< Reserved by bounded runs.
  /// The first step that a plan places here, with the priority; nullptr if
  /// none.
  const BoundedStep *For_ = nullptr;
  bool IsReserved_ = false; ///< For long-running work.
};

/// A run of a long-running task on a server with a room.
struct YieldCandidate {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::size_t Room_ = 0; ///< Index of its server's room.
  Resources Need_;
  std::uint64_t Priority_ = 0;
  const StepRecord *Step_ = nullptr;
};

class ShareSurvey {
public:
  /// How long a yield takes to give room: the next report of the server, the
  /// stop, and two commits; two report intervals.
  static constexpr Duration YieldTime = std::chrono::seconds(1);

  /// RunTimes must outlive the survey.
  ShareSurvey(const ShareSettings &Settings, const RunTimeEstimator &RunTimes)
      : Settings_(Settings), RunTimes_(RunTimes) {}

  // Commands.

  /// Finds the bounded steps that wait, the most urgent first, up to a bound.
  void updateWaiting(const FleetView &View);
  /// Finds rooms and candidates. IsYielding tells the tasks that are to yield.
  template <class Predicate>
  void updateRooms(const FleetView &View, Predicate IsYielding) {
    beginRooms();
    for (const auto &[Id, Server] : View.Registry_.servers()) {
      const LiveServer *Live = View.LiveServers_.find(Id);
      if (!Live)
        continue;
      const std::size_t Room = addRoom(View, Server, *Live);
      if (Live->isSilent(View.Now_))
        continue;
      for (std::size_t At = 0; At < Live->Progress_.size(); ++At) {
        const RunningTask &Running = Live->Running_[At];
        if (Server.isPlaced(Running.Task_, Running.Run_))
          addRun(View, *Live, At, Room, IsYielding(Running.Task_));
      }
    }
  }
  /// Takes one task of the candidate's step out of the budget.
  void spendBudget(const YieldCandidate &Candidate) {
    --Budgets_[Candidate.Step_].Available_;
  }

  // Queries.

  const std::vector<BoundedStep> &waiting() const { return Waiting_; }
  std::vector<ServerRoom> &rooms() { return Rooms_; }
  const std::vector<ServerRoom> &rooms() const { return Rooms_; }
  const std::vector<YieldCandidate> &candidates() const { return Candidates_; }
  /// Returns whether one more task of the step may be stopped.
  bool hasBudget(const YieldCandidate &Candidate) const;
  /// Returns the processors (thousandths) that may yield now.
  std::int64_t countYieldable() const;

private:
  static constexpr std::size_t NoRoom = static_cast<std::size_t>(-1);
  /// Tasks of a step that are at work, of those it has.
  struct Budget {
    std::int64_t Available_ = 0;
    std::int64_t Tasks_ = 0;
    std::int64_t MaxUnavailable_ = 0;

    std::int64_t count() const {
      return MaxUnavailable_ - (Tasks_ - Available_);
    }
  };

  void beginRooms();
  std::size_t addRoom(const FleetView &View, const ServerRecord &Server,
                      const LiveServer &Live);
  void addRun(const FleetView &View, const LiveServer &Live, std::size_t At,
              std::size_t Room, bool IsYielding);
  Duration getRemaining(const JobRecord &Job,
                        const OccurrenceRecord &Occurrence,
                        std::uint64_t Step) const;

  const ShareSettings Settings_;
  const RunTimeEstimator &RunTimes_;
  std::vector<BoundedStep> Waiting_;
  std::vector<ServerRoom> Rooms_;
  std::vector<YieldCandidate> Candidates_;
  std::unordered_map<const StepRecord *, Budget> Budgets_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SHARESURVEY_H
