//===- AttemptLedger.h - Attempts, as announced and commanded --*- C++ -*-===//
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

#ifndef TULIPWEIR_DATACENTRE_ATTEMPTLEDGER_H
#define TULIPWEIR_DATACENTRE_ATTEMPTLEDGER_H

#include "tulipweir/datacentre/DataCentreState.h"
#include "tulipweir/datacentre/LeaseKeeper.h"
#include "tulipweir/wire/Messages.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tulipweir::datacentre {

/// What an announcement is answered with, and what it calls for.
struct AnnouncementResult {
  wire::AnnouncementReply Reply_;
  /// To be proposed; noteDone is to be called for each once it was applied,
  /// refused or lost.
  std::vector<Command> Proposals_;
  /// Whether it was the newest of its boot; only then its measurements count.
  bool Fresh_ = false;
};

/// Not thread-safe: the leader's strand owns it.
class AttemptLedger {
public:
  /// As LeaseKeeper.
  AttemptLedger(const LeaseSettings &Settings, const FencingToken &LastPlaced,
                TimePoint ElectedAt);

  // Commands.

  /// Compares a fresh inventory of the server's registered boot with State.
  void reconcile(const wire::Announcement &Inventory,
                 const ServerRecord &Server, const DataCentreState &State,
                 const LeaderMoment &Moment, AnnouncementResult &Result);

  /// Proposes the end, as lost, of the attempts of a silent server whose
  /// leases have all run out.
  void endSilent(const ServerRecord &Server, const DataCentreState &State,
                 TimePoint Now, std::vector<Command> &Proposals);

  /// An eviction: the attempt is to write a checkpoint and stop.
  void requestCheckpoint(const TaskId &Task, AttemptNumber Attempt);
  /// An eviction without a fresh checkpoint, at once.
  void requestStop(const TaskId &Task, AttemptNumber Attempt);
  /// 100 lifts the throttling.
  void setThrottle(const TaskId &Task, AttemptNumber Attempt,
                   std::uint32_t Percent);

  /// A proposal of this ledger was applied, refused or lost. If the state
  /// still lacks its effect it is proposed again.
  void noteDone(const EndAttempt &Proposal);
  /// To be told of every change that is applied.
  void note(const Change &Value);

  // Queries.

  /// Whether no attempt that is placed on the server can still run.
  bool haveRunOut(const ServerRecord &Server, const DataCentreState &State,
                  TimePoint Now) const;
  const LeaseKeeper &leases() const { return Leases_; }
  std::size_t size() const { return Notes_.size(); }

private:
  enum class Intent : std::uint8_t { Run, Checkpoint, Stop };

  struct AttemptNote {
    AttemptNumber Attempt_;
    Intent Intent_ = Intent::Run;
    bool Seen_ = false;             ///< Its server showed it.
    std::uint64_t SeenAt_ = 0;      ///< The sequence that showed it last.
    std::uint32_t Throttle_ = 100;  ///< Percent.
    std::uint32_t LiftsLeft_ = 0;   ///< Replies still to say that it is 100.
    std::string Checkpoint_;        ///< The latest one shown.
    std::optional<EndAttempt> End_; ///< Proposed.
    bool EndInFlight_ = false;
  };

  /// What an attempt's handling needs of the call at hand.
  struct Context {
    const wire::Announcement &Inventory_;
    const DataCentreState &State_;
    const LeaderMoment &Moment_;
    AnnouncementResult &Result_;
  };

  AttemptNote &noteFor(const TaskId &Task, AttemptNumber Attempt);
  void onReport(const wire::AttemptReport &Report, const Context &In);
  void onRunning(const wire::AttemptReport &Report, AttemptNote &Note,
                 const Context &In);
  void onEnded(const wire::AttemptReport &Report, AttemptNote &Note,
               const Context &In);
  void onMissing(const TaskId &Id, const TaskRecord &Task, const Context &In);
  bool start(const TaskId &Id, const TaskRecord &Task, const JobSpec &Spec,
             const Context &In);
  void proposeEnd(AttemptNote &Note, EndAttempt End,
                  std::vector<Command> &Proposals);

  LeaseKeeper Leases_;
  std::unordered_map<TaskId, AttemptNote> Notes_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_ATTEMPTLEDGER_H
