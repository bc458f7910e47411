//===- DataCentreDuties.h - The data centre's side of a control -*- C++ -*-===//
//
// Runs the duties of the data centre's leader on one strand while this control
// leads, and turns everything away while it does not.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_DATACENTREDUTIES_H
#define TULIPWEIR_SRC_CONTROL_DATACENTREDUTIES_H

#include "control/DataCentreLeadership.h"
#include "replication/LeaderWatch.h"

#include <atomic>
#include <functional>
#include <memory>

namespace tulipweir::control {

/// Thread-safe: everything is posted to the strand.
class DataCentreDuties {
public:
  template <class Reply> using Done = std::function<void(Outcome<Reply>)>;
  /// Gets the leadership, or nullptr while this control does not lead. Runs on
  /// the strand.
  using Visitor = std::function<void(DataCentreLeadership *)>;

  DataCentreDuties(const LeadershipParts &Parts,
                   const LeadershipSettings &Settings, ChangeFeed &Feed);

  // Commands.

  /// Begins to look for leadership. Must not be called twice.
  void start();
  /// Gives the duties up and answers everything with NotLeader from then on;
  /// calls Stopped on the strand.
  void stop(std::function<void()> Stopped);

  void onAnnouncement(wire::Announcement Value,
                      Done<wire::AnnouncementReply> Reply);
  void onAnnouncementBatch(wire::AnnouncementBatch Value,
                           Done<wire::AnnouncementBatchReply> Reply);
  void onEntryReport(wire::EntryReport Value,
                     Done<wire::EntryReportReply> Reply);
  void noteBundle();
  void noteJob(const JobId &Job);
  /// All that was derived from the log must be derived anew.
  void noteRestored();

  // Queries.

  void visit(Visitor Use);
  /// Whether this control does the leader's duties at the moment.
  bool isLeading() const { return Leading_; }
  std::string findLeader() const {
    return Parts_.Group_.getStatus().LeaderName_;
  }
  /// The load of the data centre as last measured by its leader here; nullopt
  /// while not leading.
  std::optional<fleet::DataCentreLoad> findLoad() const;

private:
  void tick();
  void beginLeading(std::uint64_t Term);
  void endLeading();
  void schedulePlan();
  Error makeNotLeader() const;

  const LeadershipParts Parts_;
  const LeadershipSettings Settings_;
  ChangeFeed &Feed_;
  replication::LeaderWatch Watch_;
  std::unique_ptr<DataCentreLeadership> Leadership_;
  bool PlanScheduled_ = false;
  bool Stopped_ = false;
  std::atomic<bool> Leading_{false};
  mutable std::mutex LoadMutex_;
  std::optional<fleet::DataCentreLoad> Load_; ///< Guarded by LoadMutex_.
  std::uint64_t Ticks_ = 0;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_DATACENTREDUTIES_H
