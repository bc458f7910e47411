//===- ServerLedger.h - Backend servers, as they announce ------*- C++ -*-===//
//
// The leader's volatile account of backend servers: boots, the newest
// announcement, silence, leaving. One object per leadership: made after the
// election, once everything committed before it was applied.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_SERVERLEDGER_H
#define TULIPWEIR_DATACENTRE_SERVERLEDGER_H

#include "tulipweir/datacentre/AttemptLedger.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace tulipweir::datacentre {

struct ServerLedgerSettings {
  LeaseSettings Leases_;
  Duration Heartbeat_ = std::chrono::milliseconds(500);
  /// Without an announcement for so long a server is out of routing. With an
  /// entry's report interval on top this stays within 2 s.
  Duration SilentAfter_ = std::chrono::milliseconds(1500);
  /// Without an announcement for so long, and without attempts, a server is
  /// forgotten.
  Duration ForgetAfter_ = std::chrono::minutes(10);
  bool operator==(const ServerLedgerSettings &) const = default;
};

/// Not thread-safe: the leader's strand owns it.
class ServerLedger {
public:
  /// State is the one with everything applied that was committed before this
  /// leader's term. Every server in it counts as heard at ElectedAt.
  ServerLedger(const ServerLedgerSettings &Settings, std::uint64_t Term,
               TimePoint ElectedAt, const DataCentreState &State);

  // Commands.

  /// Takes in an announcement. Fails with NotLeader when another leader could
  /// exist. A boot other than the one heard until now is listened to once that
  /// one is silent, and registered once the leases of its attempts have run
  /// out: boots have no order, and the other one may be the dead one.
  Outcome<AnnouncementResult> onAnnouncement(const wire::Announcement &Value,
                                             const DataCentreState &State,
                                             const LeaderMoment &Moment);

  /// Returns proposals about servers that are silent at Now. Its work is
  /// proportional to those.
  std::vector<Command> onTick(const DataCentreState &State, TimePoint Now);

  /// A proposal of this ledger was applied, refused or lost.
  void noteDone(const Command &Proposal);
  /// To be told of every change that is applied.
  void note(const Change &Value);

  AttemptLedger &attempts() { return Attempts_; }

  // Queries.

  const AttemptLedger &attempts() const { return Attempts_; }
  /// Whether entries may send the server new requests: heard lately, of the
  /// boot that is registered, and not leaving.
  bool isRoutable(const ServerRecord &Server, TimePoint Now) const;
  /// Whether its newest announcement says that it is leaving.
  bool isDraining(const BackendServerId &Server) const;
  /// When it was heard last; the epoch if never.
  TimePoint findHeardAt(const BackendServerId &Server) const;

private:
  struct ServerNote {
    BootId Boot_;
    std::uint64_t Sequence_ = 0;
    bool Announced_ = false; ///< Since this leader was elected.
    bool Draining_ = false;
    TimePoint HeardAt_;
    std::optional<RegisterServer> Proposed_; ///< In flight.
    bool ForgetProposed_ = false;            ///< In flight.
  };

  ServerNote &noteFor(const BackendServerId &Server,
                      const DataCentreState &State, TimePoint Now);
  bool acceptBoot(ServerNote &Note, const BootId &Boot, TimePoint Now) const;
  void hear(const BackendServerId &Server, ServerNote &Note, TimePoint Now);
  void onSilent(const ServerRecord &Server, const DataCentreState &State,
                TimePoint Now, bool Forget, std::vector<Command> &Proposals);
  void proposeRegistration(ServerNote &Note, const wire::Announcement &Value,
                           const ServerRecord *Record,
                           std::vector<Command> &Proposals) const;

  const ServerLedgerSettings Settings_;
  AttemptLedger Attempts_;
  std::map<BackendServerId, ServerNote> Notes_;
  /// The same servers, longest silent first.
  std::set<std::pair<TimePoint, BackendServerId>> ByHeard_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SERVERLEDGER_H
