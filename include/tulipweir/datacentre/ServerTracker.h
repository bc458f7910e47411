//===- ServerTracker.h - Tracks backend servers by heartbeat ----*- C++ -*-===//
//
// Holds the leader's volatile state of backend servers: their boots, newest
// announcements, missed heartbeats and draining. One object exists per
// leadership; it is created after the election once everything committed
// before it is applied.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_SERVERTRACKER_H
#define TULIPWEIR_DATACENTRE_SERVERTRACKER_H

#include "tulipweir/datacentre/AttemptTracker.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace tulipweir::datacentre {

struct ServerTrackerSettings {
  LeaseSettings Leases_;
  Duration Heartbeat_ = std::chrono::milliseconds(500);
  /// A server without an announcement for this time is removed from routing.
  /// Together with an entry's report interval this takes at most 2 s.
  Duration SilentAfter_ = std::chrono::milliseconds(1500);
  /// A server without attempts is forgotten after this time without an
  /// announcement.
  Duration ForgetAfter_ = std::chrono::minutes(10);
  bool operator==(const ServerTrackerSettings &) const = default;
};

/// Not thread-safe: only the leader's strand uses it.
class ServerTracker {
public:
  /// State must have everything applied that was committed before this leader's
  /// term. Every server in it counts as heard at ElectedAt.
  ServerTracker(const ServerTrackerSettings &Settings, std::uint64_t Term,
                TimePoint ElectedAt, const DataCentreState &State);

  // Commands.

  /// Processes an announcement. Fails with NotLeader if another leader could
  /// exist. Boots have no order, so an announcement of another boot may be a
  /// delayed one of a dead boot. Another boot is therefore accepted only once
  /// the current one is silent, and registered only once the leases of its
  /// attempts have expired.
  Outcome<AnnouncementResult>
  onAnnouncement(const wire::Announcement &Announcement,
                 const DataCentreState &State, const LeadershipCheck &Check);

  /// Returns proposals for servers that are silent at Now, in time proportional
  /// to their number.
  std::vector<Command> onTick(const DataCentreState &State, TimePoint Now);

  /// Called when a proposal of this object was applied, refused or lost.
  void onProposalDone(const Command &Proposal);
  /// Called for every applied change.
  void onChange(const Change &AppliedChange);

  AttemptTracker &attempts() { return Attempts_; }

  // Queries.

  const AttemptTracker &attempts() const { return Attempts_; }
  /// Returns whether entries may send new requests to the server: it sent a
  /// recent announcement of the registered boot and is not draining.
  bool isRoutable(const ServerRecord &Server, TimePoint Now) const;
  /// Returns whether the newest announcement of the server says that it is
  /// draining.
  bool isDraining(const BackendServerId &Server) const;
  /// Returns the time of the last accepted announcement, or the epoch if there
  /// is none.
  TimePoint findLastHeardAt(const BackendServerId &Server) const;

private:
  struct ServerStatus {
    BootId Boot_;
    std::uint64_t Sequence_ = 0;
    bool Announced_ = false; ///< Since the election.
    bool Draining_ = false;
    TimePoint LastHeardAt_;
    std::optional<RegisterServer> ProposedRegistration_; ///< In flight.
    bool ForgetProposed_ = false;                        ///< In flight.
  };

  ServerStatus &getOrCreateStatus(const BackendServerId &Server,
                                  const DataCentreState &State, TimePoint Now);
  bool acceptBoot(ServerStatus &Status, const BootId &Boot,
                  TimePoint Now) const;
  void recordHeartbeat(const BackendServerId &Server, ServerStatus &Status,
                       TimePoint Now);
  void onSilent(const ServerRecord &Server, const DataCentreState &State,
                TimePoint Now, bool Forget, std::vector<Command> &Proposals);
  void proposeRegistration(ServerStatus &Status,
                           const wire::Announcement &Announcement,
                           const ServerRecord *Record,
                           std::vector<Command> &Proposals) const;

  const ServerTrackerSettings Settings_;
  AttemptTracker Attempts_;
  std::map<BackendServerId, ServerStatus> Statuses_;
  /// The servers in Statuses_, longest silent first.
  std::set<std::pair<TimePoint, BackendServerId>> ByLastHeard_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SERVERTRACKER_H
