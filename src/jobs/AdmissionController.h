//===- AdmissionController.h - Admission of submitted jobs ------*- C++ -*-===//
//
// Rejects a job at its submission if no order of the waiting work lets it end
// within what its callers need, and tells them when to return. Never rejects
// while servers have room for the job, nor for want of knowledge. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_ADMISSIONCONTROLLER_H
#define TULIPWEIR_SRC_JOBS_ADMISSIONCONTROLLER_H

#include "jobs/CallerShares.h"
#include "jobs/CapacityForecast.h"
#include "jobs/CapacityShares.h"
#include "jobs/ReturnPromises.h"
#include "jobs/RunTimeEstimator.h"
#include "tulipweir/jobs/AdmissionStatus.h"
#include "tulipweir/jobs/LoadSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tulipweir::jobs {

enum class RejectionReason : std::uint8_t {
  None,        ///< The job is accepted.
  TooLate,     ///< It would end after its callers have left.
  LastingFull, ///< Long-running work already waits for more than there is.
};

struct AdmissionDecision {
  RejectionReason Reason_ = RejectionReason::None;
  Duration ExpectedEnd_{}; ///< Forecast time until the job has ended.
  Duration Allowed_{};     ///< The time within which callers need it.
  Duration RetryAfter_{};  ///< Rejected only; never zero.
  /// Processor seconds that go first; for LastingFull the processors that
  /// long-running work holds and waits for.
  double Backlog_ = 0;
  /// Processors that serve the backlog; for LastingFull those that
  /// long-running work may hold.
  double Rate_ = 0;
  bool IsReturn_ = false; ///< The caller returned when it was told to.
  bool operator==(const AdmissionDecision &) const = default;

  bool isAccepted() const { return Reason_ == RejectionReason::None; }
};

/// Not thread-safe.
class AdmissionController {
public:
  /// All arguments must outlive the controller. Shares is updated by their
  /// owner.
  AdmissionController(const AdmissionSettings &Settings,
                      const RunTimeEstimator &RunTimes,
                      const ShareStatus &Shares)
      : Settings_(Settings), Shares_(Shares),
        Forecast_(Settings.LatenessLimit_, RunTimes, Shares) {}

  // Commands.

  /// Called when this member begins to lead. Forgets the rejected callers.
  void reset();
  /// Called some twenty times a second while this member leads.
  void update(const JobRegistry &Registry, const LiveServerTable &LiveServers,
              const ServerHealth &Health, TimePoint Now, WallTime Wall);
  /// Decides on a job that is not known yet. DataCentre is the caller's; empty
  /// if unknown. A job that is accepted counts from now on.
  AdmissionDecision decide(const JobSpec &Job, const QueuePolicy &Queue,
                           const std::string &DataCentre, TimePoint Now);

  // Queries.

  bool isEnabled() const { return Settings_.IsEnabled_; }
  AdmissionStatus getStatus(TimePoint Now) const;

private:
  AdmissionDecision decideLasting(const JobSpec &Job, const QueuePolicy &Queue,
                                  std::int64_t MilliCpus, TimePoint Now) const;
  std::vector<bool> listPreferred(std::uint64_t Priority,
                                  std::size_t DataCentre, bool IsReturn,
                                  TimePoint Now) const;
  /// Returns within which time callers need a job with this objective.
  Duration getAllowed(Duration Objective) const;
  Duration chooseReturn(Duration RoomAfter, Duration Remaining,
                        const std::string &Id) const;
  void updateLasting(TimePoint Now);
  QueueAdmission *findQueue(const QueuePolicy &Queue);

  const AdmissionSettings Settings_;
  const ShareStatus &Shares_;
  CapacityForecast Forecast_;
  std::uint64_t Generation_ = 0; ///< Of the forecast.
  CallerShares Callers_;
  ReturnPromises Promises_;
  std::map<std::string, QueueAdmission> Queues_; ///< By key; bounded.
  /// Since when long-running work has waited without a break.
  std::optional<TimePoint> LastingWaitsSince_;
  /// The least processors (thousandths) that bounded work has held in this
  /// period and in the one before.
  std::optional<std::int64_t> LeastBounded_;
  std::optional<std::int64_t> LeastBoundedBefore_;
  TimePoint NextPeriod_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ADMISSIONCONTROLLER_H
