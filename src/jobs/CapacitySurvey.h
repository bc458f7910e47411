//===- CapacitySurvey.h - Free capacity over all servers -------*- C++ -*-===//
//
// A plan covers one server at a time. Whether a task would run better on
// another server is taken from the last survey of all servers, which is
// updated some twenty times a second. On a large fleet a survey takes several
// updates, each of a bounded number of servers. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_CAPACITYSURVEY_H
#define TULIPWEIR_SRC_JOBS_CAPACITYSURVEY_H

#include "jobs/InterferenceModel.h"
#include "jobs/LiveServerTable.h"
#include "jobs/ReadyTimes.h"
#include "jobs/RemainingCapacity.h"
#include "jobs/ServerHealth.h"
#include "jobs/ServingLoads.h"
#include "jobs/TailHeadroom.h"

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

class CapacityShares;

/// Free capacity of the whole fleet. Not thread-safe.
class CapacitySurvey {
public:
  /// Capacity that is kept for a long-running task.
  struct Reservation {
    Resources Need_;
    ReadyStep Step_;
    TimePoint Since_{};

    /// Returns what a task of this step must leave free. A filling task
    /// reserves no processors, so it can only take memory.
    Resources getKeptFrom(const StepSpec &Step) const {
      if (Step.LongRunning_)
        return {};
      Resources Kept = Need_;
      if (Step.Fills_)
        Kept.MilliCpus_ = 0;
      return Kept;
    }
  };

  /// All arguments must outlive the survey.
  CapacitySurvey(const InterferenceModel &Interference,
                 const ServingLoads &Loads, const ServerHealth &Health)
      : Interference_(Interference), Loads_(Loads), Health_(Health) {}

  /// The most servers that one update surveys.
  static constexpr std::size_t MaxSurveyed = 1024;

  // Commands.

  /// Surveys the next servers. Servers whose capacity the shares keep for
  /// bounded work are not reserved.
  void update(const JobRegistry &Registry, const LiveServerTable &LiveServers,
              const CapacityShares &Shares, ReadyTimes &Waits, TimePoint Now);
  /// Claims idle processors on servers where the step's filling image lengthens
  /// no tail, if there are enough. An image is included in surveys once it was
  /// asked for.
  bool claimInterferenceFreeCpus(const StepSpec &Step);

  // Queries; all answers are as of the last survey.

  /// Returns whether this number of tasks, each of which reserves Need, fits on
  /// the servers whose serving tasks all belong to Image.
  bool hasCapacityBesideSameImage(const std::string &Image,
                                  const Resources &Need,
                                  std::uint64_t Tasks) const;
  /// Returns whether one task fits on a server without serving tasks.
  bool hasCapacityWithoutServing(const Resources &Need) const;
  /// Returns what is reserved on the server for a long-running task, or
  /// nullptr.
  const Reservation *findReservation(const std::string &ServerId) const;
  /// Returns the reservations by server.
  const std::map<std::string, Reservation> &reservations() const {
    return Reservations_;
  }
  bool hasWaitingLongRunning() const { return HasWaitingLongRunning_; }
  /// Returns whether most of the processors are not reserved by tasks.
  bool hasSpareCapacity() const { return HasSpareCapacity_; }

private:
  /// A server of the book that accepts starts.
  struct UsableServer {
    const ServerRecord *Server_;
    bool IsSound_;
  };
  /// Totals and free capacity of the servers that may start tasks.
  struct Findings {
    std::int64_t MilliCpus_ = 0;
    std::int64_t ReservedMilliCpus_ = 0;
    /// Free capacity by image, of the servers where only that image serves, and
    /// of those without serving tasks.
    std::map<std::string, std::vector<Resources>> FreeBySoleImage_;
    std::vector<Resources> FreeWithoutServing_;
  };

  bool surveyNext(const JobRegistry &Registry,
                  const LiveServerTable &LiveServers, TimePoint Now);
  void surveyServer(const ServerRecord &Server, const LiveServer &Live,
                    TimePoint Now);
  std::vector<UsableServer> listUsable(const JobRegistry &Registry,
                                       const LiveServerTable &LiveServers,
                                       TimePoint Now) const;
  void surveyRelocation(const JobRegistry &Registry,
                        const LiveServerTable &LiveServers, TimePoint Now);
  void reserveForLongRunning(const JobRegistry &Registry,
                             const LiveServerTable &LiveServers,
                             const CapacityShares &Shares, ReadyTimes &Waits,
                             TimePoint Now);

  const InterferenceModel &Interference_;
  const ServingLoads &Loads_;
  const ServerHealth &Health_;

  /// By filling image, the processors (thousandths) on servers that tolerate
  /// one more of its tasks, for the images that were asked for lately.
  std::map<std::string, std::int64_t> InterferenceFreeCpus_;
  /// Images that were asked for since the last survey, with the largest need of
  /// one of their tasks.
  std::map<std::string, std::int64_t> RelocatingImages_;
  TimePoint NextRelocationSurvey_{};
  Findings Found_; ///< The result of the last whole survey.
  Findings Next_;  ///< The partial result of the survey in progress.
  /// The survey in progress continues with the first id after this one.
  std::string LastSurveyed_;
  std::map<std::string, Reservation> Reservations_; ///< By server.
  bool HasWaitingLongRunning_ = false;
  bool HasSpareCapacity_ = false;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CAPACITYSURVEY_H
