//===- Replica.h - One member of a replicated log --------------*- C++ -*-===//
//
// Drives the pure log core with a clock, a data folder and a transport, on
// threads of its own. One process holds one Replica for each group it is in.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REPLICA_H
#define TULIPWEIR_REPLICATION_REPLICA_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::replication {

class StateMachine;

/// A member of a group: a control process on a VM. Incarnation_ is another one
/// after its disk was lost, so that a lost disk never votes twice.
struct MemberId {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  // The linter objects to a variable in the code that the compiler makes.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const MemberId &) const = default;
};

enum class MemberRole : std::uint8_t { Voter, Learner };

struct Member {
  MemberId Id_;
  MemberRole Role_ = MemberRole::Voter;
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const Member &) const = default;
};

/// Carries encoded messages to other members; may lose, repeat, reorder.
/// Thread-safe and never blocking.
class Transport {
public:
  virtual ~Transport() = default;
  virtual void send(const std::string &ToName, std::string Message) = 0;
};

struct ReplicaSettings {
  std::string Group_;  ///< "fleet" or a data centre's id.
  std::string Name_;   ///< This member's name, unique in the group.
  std::string Folder_; ///< Of this group alone; empty keeps it in memory.
  /// Names of the first voters. Used only when the folder holds nothing; all
  /// first voters are started with the same list.
  std::vector<std::string> InitialVoters_;
  /// False once the group was ever founded: a member that holds nothing then
  /// only asks to join.
  bool MayBootstrap_ = true;
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  Duration HeartbeatInterval_ = std::chrono::milliseconds(100);
  /// Least number of entries between snapshots; 0 for none. A state larger than
  /// these entries is saved more rarely, up to eight times this number.
  std::uint64_t SnapshotEvery_ = 5'000;
  std::uint64_t Seed_ = 0;        ///< For election jitter.
  std::uint64_t MaxBatch_ = 1024; ///< Entries that share one sync; 1 for none.
  /// Entries that are proposed within so long go out together. The first one
  /// after a pause is not kept waiting.
  Duration ProposalBatchInterval_ = Duration(0);
  /// Appends that may be on their way to one member; while there are as many,
  /// what is proposed gathers for the next one.
  std::size_t MaxMessagesInFlight_ = 64;
  /// Whether the leader replaces, by committed changes, the old incarnation of
  /// a member that lost its disk by the one that now runs under its name.
  bool RejoinsLostDisks_ = true;
  /// Over 0: the leader keeps so many voters by itself. It takes in members
  /// that ask to join, promotes one in place of a voter that is gone, and makes
  /// the gone one a learner; each step is a committed change.
  std::uint64_t TargetVoters_ = 0;
  /// A voter whose disk has not answered for so long counts as gone. It loses
  /// its vote
  /// only once another member has taken its place, so that a machine which is
  /// cut off for a while costs nothing of what the group can bear.
  Duration UnresponsiveAfter_ = std::chrono::milliseconds(2500);
};

/// The result of a committed and applied command.
struct Applied {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
  std::string Result_;
};

struct ReplicaStatus {
  MemberId Self_;
  bool IsLeader_ = false;
  std::string LeaderName_; ///< Empty when unknown.
  std::uint64_t Term_ = 0;
  std::uint64_t CommitIndex_ = 0;
  std::uint64_t AppliedIndex_ = 0;
  std::uint64_t LogBytes_ = 0;
  std::uint64_t Syncs_ = 0;
  TimePoint LeaderSince_{}; ///< When this replica last became leader.
  std::vector<Member> Members_;
  /// On the leader: the other members that lately answered behind their disks.
  std::vector<std::string> Responsive_;
  /// On the leader: those that it has not heard at all for UnresponsiveAfter_.
  std::vector<std::string> Unresponsive_;
  std::string Failure_; ///< Why this replica stopped, if it did.
  /// Why an earlier log was set aside as lost when the folder was opened.
  std::string LostDisk_;
  /// Whether this member's log is on a disk. A group survives a loss of power
  /// everywhere only if that holds for a majority of its voters.
  bool IsDurable_ = false;
  /// Members that hold nothing and have asked this one to join: new VMs, and
  /// those that lost their disk, with the incarnation to add them under.
  std::vector<MemberId> JoinRequests_;
};

/// Thread-safe. Callbacks run on the replica's own thread and must not block.
class Replica {
public:
  using AppliedCallback = std::function<void(Outcome<Applied>)>;

  /// Opens or creates the data folder and starts the replica's threads. The
  /// references must outlive it.
  static Outcome<std::unique_ptr<Replica>> open(const ReplicaSettings &Settings,
                                                StateMachine &Machine,
                                                Transport &Out,
                                                const Clock &Time);
  virtual ~Replica() = default;

  /// Proposes a command. Done gets the result once it is committed and applied
  /// here; NotLeader if it certainly was not taken; Timeout or Unavailable if
  /// leadership was lost meanwhile and it may or may not be committed.
  virtual void propose(std::string Command, AppliedCallback Done) = 0;

  /// Hands in a message that Transport::send of another member was given.
  virtual void receive(std::string Message) = 0;

  /// Calls Done with success once this replica has confirmed, by a round to a
  /// quorum begun after the call, that it leads and has applied everything
  /// committed before the call.
  virtual void confirmLeadership(std::function<void(Outcome<void>)> Done) = 0;

  /// The term that this replica leads if no other leader can exist at Now, as
  /// a quorum answered recently enough; else nullopt. Checked directly before
  /// each promise: what was learnt under another term must not be acted on,
  /// as others may have led in between.
  virtual std::optional<std::uint64_t> findLeaseTerm(TimePoint Now) const = 0;

  /// Whether no other leader can exist at Now. Says nothing about the term.
  bool holdsLeaderLease(TimePoint Now) const {
    return findLeaseTerm(Now).has_value();
  }

  virtual ReplicaStatus getStatus() const = 0;

  /// Adds a learner, or promotes, demotes or removes a member, one change at a
  /// time. Promotion waits until the learner has caught up.
  virtual void addLearner(MemberId Id, std::function<void(Outcome<void>)>) = 0;
  virtual void promote(MemberId Id, std::function<void(Outcome<void>)>) = 0;
  virtual void remove(MemberId Id, std::function<void(Outcome<void>)>) = 0;

  /// Hands leadership to the best other voter, if this one leads.
  virtual void transferLeadership(std::function<void(Outcome<void>)>) = 0;
  /// Hands it to that voter alone; Unavailable where that one is not heard.
  virtual void transferLeadershipTo(std::string To,
                                    std::function<void(Outcome<void>)>) = 0;

  /// Syncs, ends the threads; no callback runs afterwards.
  virtual void stop() = 0;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REPLICA_H
