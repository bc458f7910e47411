//===- ServerTracker.h - Tracks backend servers by heartbeat ----*- C++ -*-===//
//
// The leader's volatile account of backend servers: boots, the newest
// announcement, silence, leaving. One object per leadership: made after the
// election, once everything committed before it was applied.
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
  /// Without an announcement for so long a server is out of routing. With an
  /// entry's report interval on top this stays within 2 s.
  Duration SilentAfter_ = std::chrono::milliseconds(1500);
  /// Without an announcement for so long, and without attempts, a server is
  /// forgotten.
  Duration ForgetAfter_ = std::chrono::minutes(10);
  bool operator==(const ServerTrackerSettings &) const = default;
};

/// Not thread-safe: the leader's strand owns it.
class ServerTracker {
public:
  /// State is the one with everything applied that was committed before this
  /// leader's term. Every server in it counts as heard at ElectedAt.
  ServerTracker(const ServerTrackerSettings &Settings, std::uint64_t Term,
                TimePoint ElectedAt, const DataCentreState &State);

  // Commands.

  /// Takes in an announcement. Fails with NotLeader when another leader could
  /// exist. A boot other than the one heard until now is listened to once that
  /// one is silent, and registered once the leases of its attempts have run
  /// out: boots have no order, and the other one may be the dead one.
  Outcome<AnnouncementResult>
  onAnnouncement(const wire::Announcement &Announcement,
                 const DataCentreState &State, const LeadershipCheck &Check);

  /// Returns proposals about servers that are silent at Now. Its work is
  /// proportional to those.
  std::vector<Command> onTick(const DataCentreState &State, TimePoint Now);

  /// A proposal of this ledger was applied, refused or lost.
  void onProposalDone(const Command &Proposal);
  /// To be told of every change that is applied.
  void onChange(const Change &AppliedChange);

  AttemptTracker &attempts() { return Attempts_; }

  // Queries.

  const AttemptTracker &attempts() const { return Attempts_; }
  /// Whether entries may send the server new requests: heard lately, of the
  /// boot that is registered, and not leaving.
  bool isRoutable(const ServerRecord &Server, TimePoint Now) const;
  /// Whether its newest announcement says that it is leaving.
  bool isDraining(const BackendServerId &Server) const;
  /// When it was heard last; the epoch if never.
  TimePoint findLastHeardAt(const BackendServerId &Server) const;

private:
  struct ServerStatus {
    BootId Boot_;
    std::uint64_t Sequence_ = 0;
    bool Announced_ = false; ///< Since this leader was elected.
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
  /// The same servers, longest silent first.
  std::set<std::pair<TimePoint, BackendServerId>> ByLastHeard_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SERVERTRACKER_H
