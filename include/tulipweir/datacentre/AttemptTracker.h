//===- AttemptTracker.h - Tracks placed task attempts -----------*- C++ -*-===//
//
// What the leader knows of each placed attempt beyond the log: whether its
// backend server showed it, what it was commanded, that its end was proposed.
// Compares inventories with the state, and answers with commands, renewals
// and proposals. One object per leadership.
//
// Rules that hold throughout:
// - A start goes out only for an attempt that the applied state holds as
//   placed there, and only together with a lease granted at that moment.
// - Once the end of an attempt was proposed it is neither started nor renewed
//   again by this leader; a later one has applied that proposal or will never.
// - An attempt that its server showed and then no longer holds is not started
//   again; it ends as lost when its lease has run out.
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

/// What an announcement is answered with, and what it calls for.
struct AnnouncementResult {
  wire::AnnouncementReply Reply_;
  /// To be proposed; onProposalDone is to be called for each once it was
  /// applied, refused or lost.
  std::vector<Command> Proposals_;
  /// Whether it was the newest of its boot; only then its measurements count.
  bool IsNewest_ = false;
};

/// Not thread-safe: the leader's strand owns it.
class AttemptTracker {
public:
  /// As LeaseManager.
  AttemptTracker(const LeaseSettings &Settings, const FencingToken &LastPlaced,
                 TimePoint ElectedAt);

  // Commands.

  /// Compares a fresh inventory of the server's registered boot with State.
  void reconcile(const wire::Announcement &Inventory,
                 const ServerRecord &Server, const DataCentreState &State,
                 const LeadershipCheck &Check, AnnouncementResult &Result);

  /// Proposes the end, as lost, of the attempts of a silent server whose
  /// leases have all run out.
  void proposeLostAttempts(const ServerRecord &Server,
                           const DataCentreState &State, TimePoint Now,
                           std::vector<Command> &Proposals);

  /// An eviction: the attempt is to write a checkpoint and stop.
  void requestCheckpoint(const TaskId &Task, AttemptNumber Attempt);
  /// An eviction without a fresh checkpoint, at once.
  void requestStop(const TaskId &Task, AttemptNumber Attempt);
  /// 100 lifts the throttling.
  void setThrottle(const TaskId &Task, AttemptNumber Attempt,
                   std::uint32_t Percent);

  /// A proposal of this ledger was applied, refused or lost. If the state
  /// still lacks its effect it is proposed again.
  void onProposalDone(const EndAttempt &Proposal);
  /// To be told of every change that is applied.
  void onChange(const Change &AppliedChange);

  // Queries.

  /// Whether no attempt that is placed on the server can still run.
  bool haveLeasesExpired(const ServerRecord &Server,
                         const DataCentreState &State, TimePoint Now) const;
  const LeaseManager &leases() const { return Leases_; }
  std::size_t size() const { return Statuses_.size(); }

private:
  enum class Intent : std::uint8_t { Run, Checkpoint, Stop };

  struct AttemptStatus {
    AttemptNumber Attempt_;
    Intent Intent_ = Intent::Run;
    bool Reported_ = false;              ///< Its server showed it.
    std::uint64_t ReportedSequence_ = 0; ///< The sequence that showed it last.
    std::uint32_t Throttle_ = 100;       ///< Percent.
    std::uint32_t UnthrottleRepeatsLeft_ =
        0;                   ///< Replies still to say that it is 100.
    std::string Checkpoint_; ///< The latest one shown.
    std::optional<EndAttempt> ProposedEnd_; ///< Proposed.
    bool EndProposalInFlight_ = false;
  };

  /// What an attempt's handling needs of the call at hand.
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
