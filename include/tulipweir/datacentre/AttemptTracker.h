//===- AttemptTracker.h - Tracks placed task attempts -----------*- C++ -*-===//
//
// Holds the leader's volatile state of each placed attempt: whether its
// backend server reported it, which commands it was sent and whether its end
// was proposed. Compares the inventories of backend servers with the
// replicated state and answers with commands, lease renewals and proposals.
// One object exists per leadership.
//
// Invariants:
// - The leader starts an attempt only if the applied state places it on that
//   server, and grants its lease in the same reply.
// - After the leader proposed the end of an attempt, it neither starts the
//   attempt nor renews its lease. A later leader has either applied that
//   proposal or never will.
// - The leader does not restart an attempt that its server reported once and no
//   longer holds. The attempt ends as lost when its lease has expired.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_ATTEMPTTRACKER_H
#define TULIPWEIR_DATACENTRE_ATTEMPTTRACKER_H

#include "tulipweir/datacentre/DataCentreState.h"
#include "tulipweir/datacentre/LeaseManager.h"
#include "tulipweir/wire/Messages.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tulipweir::datacentre {

/// The reply to an announcement and the proposals that follow from it.
struct AnnouncementResult {
  wire::AnnouncementReply Reply_;
  /// Commands to propose. The caller calls onProposalDone for each of them once
  /// it was applied, refused or lost.
  std::vector<Command> Proposals_;
  /// Whether the announcement is the newest of its boot. Measurements of other
  /// announcements are ignored.
  bool IsNewest_ = false;
};

/// Not thread-safe: only the leader's strand uses it.
class AttemptTracker {
public:
  /// The parameters are those of LeaseManager.
  AttemptTracker(const LeaseSettings &Settings, const FencingToken &LastPlaced,
                 TimePoint ElectedAt);

  // Commands.

  /// Compares the newest inventory of the server's registered boot with State
  /// and adds commands, renewals and proposals to Result.
  void reconcile(const wire::Announcement &Inventory,
                 const ServerRecord &Server, const DataCentreState &State,
                 const LeadershipCheck &Check, AnnouncementResult &Result);

  /// Proposes to end as lost those attempts of a silent server whose leases
  /// have expired.
  void proposeLostAttempts(const ServerRecord &Server,
                           const DataCentreState &State, TimePoint Now,
                           std::vector<Command> &Proposals);

  /// Evicts the attempt: it writes a checkpoint and stops.
  void requestCheckpoint(const TaskId &Task, AttemptNumber Attempt);
  /// Evicts the attempt at once, without a new checkpoint.
  void requestStop(const TaskId &Task, AttemptNumber Attempt);
  /// Throttles the attempt to Percent of its full speed; 100 removes the
  /// throttle.
  void setThrottle(const TaskId &Task, AttemptNumber Attempt,
                   std::uint32_t Percent);

  /// Called when a proposal of this object was applied, refused or lost. If the
  /// state still lacks its effect, the object proposes it again.
  void onProposalDone(const EndAttempt &Proposal);
  /// Called for every applied change.
  void onChange(const Change &AppliedChange);

  // Queries.

  /// Returns whether the leases of all attempts placed on the server have
  /// expired.
  bool haveLeasesExpired(const ServerRecord &Server,
                         const DataCentreState &State, TimePoint Now) const;
  const LeaseManager &leases() const { return Leases_; }
  std::size_t size() const { return Statuses_.size(); }

private:
  enum class Intent : std::uint8_t { Run, Checkpoint, Stop };

  struct AttemptStatus {
    AttemptNumber Attempt_;
    Intent Intent_ = Intent::Run;
    bool Reported_ = false;                   ///< Its server reported it.
    std::uint64_t ReportedSequence_ = 0;      ///< Last announcement with it.
    std::uint32_t Throttle_ = 100;            ///< Percent.
    std::uint32_t UnthrottleRepeatsLeft_ = 0; ///< Replies that repeat 100%.
    std::string Checkpoint_;                  ///< The latest one reported.
    std::optional<EndAttempt> ProposedEnd_;   ///< Already proposed.
    bool EndProposalInFlight_ = false;
  };

  /// The announcement, state and result of the current call to reconcile.
  struct Context {
    const wire::Announcement &Inventory_;
    const DataCentreState &State_;
    const LeadershipCheck &Check_;
    AnnouncementResult &Result_;
  };

  AttemptStatus &getOrCreateStatus(const TaskId &Task, AttemptNumber Attempt);
  void onReport(const wire::AttemptReport &Report, const Context &Ctx);
  void onRunning(const wire::AttemptReport &Report, AttemptStatus &Status,
                 const Context &Ctx);
  void onEnded(const wire::AttemptReport &Report, AttemptStatus &Status,
               const Context &Ctx);
  void onMissing(const TaskId &Id, const TaskRecord &Task, const Context &Ctx);
  bool start(const TaskId &Id, const TaskRecord &Task, const JobSpec &Spec,
             const Context &Ctx);
  void proposeEnd(AttemptStatus &Status, EndAttempt End,
                  std::vector<Command> &Proposals);

  LeaseManager Leases_;
  std::unordered_map<TaskId, AttemptStatus> Statuses_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_ATTEMPTTRACKER_H
