//===- DataCentreService.h - The data centre's work ------------*- C++ -*-===//
//
// Runs the work of the data centre's leader on one strand while this process
// leads, and replies NotLeader otherwise.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_DATACENTRESERVICE_H
#define TULIPWEIR_SRC_CONTROL_DATACENTRESERVICE_H

#include "control/DataCentreLeadership.h"
#include "replication/LeaderWatch.h"

#include <atomic>
#include <functional>
#include <memory>

namespace tulipweir::control {

/// Thread-safe: everything is posted to the strand.
class DataCentreService {
public:
  template <class Reply> using Done = std::function<void(Outcome<Reply>)>;
  /// Receives the leadership, or nullptr while this process does not lead. Runs
  /// on the strand.
  using Visitor = std::function<void(DataCentreLeadership *)>;

  DataCentreService(const LeadershipParts &Parts,
                    const LeadershipSettings &Settings, ChangeFeed &Feed);

  // Commands.

  /// Starts to watch for leadership. Must be called once only.
  void start();
  /// Ends the leadership, replies NotLeader to everything from then on and
  /// calls Stopped on the strand.
  void stop(std::function<void()> Stopped);

  void onAnnouncement(wire::Announcement Announced,
                      Done<wire::AnnouncementReply> Reply);
  void onAnnouncementBatch(wire::AnnouncementBatch Batch,
                           Done<wire::AnnouncementBatchReply> Reply);
  void onEntryReport(wire::EntryReport Report,
                     Done<wire::EntryReportReply> Reply);
  void onBundleChanged();
  void onJobChanged(const JobId &Job);
  /// Rebuilds everything that was derived from the log.
  void onStateRestored();

  // Queries.

  void visit(Visitor Callback);
  /// Returns whether this process currently does the leader's work.
  bool isLeading() const { return Leading_; }
  std::string findLeader() const {
    return Parts_.Group_.getStatus().LeaderName_;
  }
  /// Returns the load of the data centre as last measured by this leader;
  /// nullopt while not leading.
  std::optional<fleet::DataCentreLoad> findLoad() const;

private:
  void tick();
  void startLeading(std::uint64_t Term);
  void stopLeading();
  void schedulePlanning();
  Error makeNotLeaderError() const;

  const LeadershipParts Parts_;
  const LeadershipSettings Settings_;
  ChangeFeed &Feed_;
  replication::LeaderWatch Watch_;
  std::unique_ptr<DataCentreLeadership> Leadership_;
  bool PlanningScheduled_ = false;
  bool Stopped_ = false;
  std::atomic<bool> Leading_{false};
  mutable std::mutex LoadMutex_;
  std::optional<fleet::DataCentreLoad> Load_; ///< Guarded by LoadMutex_.
  std::uint64_t Ticks_ = 0;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_DATACENTRESERVICE_H
