//===- Replica.h - One member of a replicated log --------------*- C++ -*-===//
//
// Runs the deterministic Raft core with a clock, a data folder and a
// transport, on threads of its own. A process holds one Replica for each group
// it belongs to.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REPLICA_H
#define TULIPWEIR_REPLICATION_REPLICA_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::replication {

class StateMachine;

/// A member of a group: a control process on a VM. A member that has lost its
/// disk gets a new incarnation, so that the incarnation with the lost disk
/// never votes twice in one term.
struct MemberId {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;
  // The linter reports a variable in the code that the compiler generates.
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

/// The places, such as data centres, of members by name, as far as they are
/// known. All members at a place may be lost at once.
using MemberPlaces = std::map<std::string, std::string>;

/// Carries encoded messages to other members. Messages may be lost, duplicated
/// or reordered. Implementations are thread-safe and never block.
class Transport {
public:
  virtual ~Transport() = default;
  virtual void send(const std::string &ToName, std::string Message) = 0;
};

struct ReplicaSettings {
  std::string Group_; ///< "fleet" or the id of a data centre.
  std::string Name_;  ///< This member's name, unique in the group.
  std::string
      Folder_; ///< Used by this group only; empty keeps the log in memory.
  /// Names of the initial voters. Used only when the folder is empty; all
  /// initial voters are started with the same list.
  std::vector<std::string> InitialVoters_;
  /// False once the group has been bootstrapped: a member with an empty folder
  /// then only asks to join.
  bool MayBootstrap_ = true;
  /// True if MayBootstrap_ is set at the very first start only, never for a
  /// member that has lost its disk. A majority of the initial voters then
  /// bootstraps the group; otherwise all of them must take part.
  bool BootstrapsByMajority_ = false;
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  Duration HeartbeatInterval_ = std::chrono::milliseconds(100);
  /// The minimum number of entries between snapshots; 0 disables them. A state
  /// that is larger than these entries is saved less often, after up to eight
  /// times this number.
  std::uint64_t SnapshotEvery_ = 5'000;
  /// The maximum size in bytes of the commands in the log. Half of it applied
  /// since the last snapshot triggers the next one, and half of it is retained
  /// behind a snapshot for slow followers. Uncommitted commands may take as
  /// much again, and commands in flight to one member a quarter. The log may
  /// grow to the size of a snapshot that is larger. The default is a sixteenth
  /// of a disk of 128 MiB, which holds two logs and two snapshots during a
  /// replacement.
  std::uint64_t MaxLogBytes_ = 8ULL << 20;
  std::uint64_t Seed_ = 0;        ///< For election jitter.
  std::uint64_t MaxBatch_ = 1024; ///< Entries per sync; 1 disables batching.
  /// Entries that are proposed within this interval are sent together. The
  /// first one after an idle period is sent without delay.
  Duration ProposalBatchInterval_ = Duration(0);
  /// The number of appends in flight to one member. Once it is reached, further
  /// proposals are batched into the next append.
  std::size_t MaxMessagesInFlight_ = 64;
  /// Whether the leader replaces, by committed changes, the old incarnation of
  /// a member that lost its disk with the one that now runs under its name.
  bool RejoinsLostDisks_ = true;
  /// If above 0, the leader maintains this number of voters. It adds members
  /// that ask to join, promotes one in place of an unresponsive voter, and then
  /// removes that voter; each step is a committed change.
  std::uint64_t TargetVoters_ = 0;
  /// A voter counts as unresponsive once its disk has not answered for this
  /// time. It loses its vote only after another member has been promoted in its
  /// place, so that a machine which is cut off for a while does not reduce the
  /// number of failures that the group tolerates.
  Duration UnresponsiveAfter_ = std::chrono::milliseconds(2500);
};

/// The result of a command that was committed and applied.
struct Applied {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
  std::string Result_;
};

/// The amount of data that a replica read when its folder was opened.
struct Recovery {
  std::uint64_t Entries_ = 0;
  std::uint64_t Bytes_ = 0; ///< The size of the log and the snapshot.
  Duration Time_{};
};

struct ReplicaStatus {
  MemberId Self_;
  bool IsLeader_ = false;
  std::string LeaderName_; ///< Empty if unknown.
  std::uint64_t Term_ = 0;
  std::uint64_t CommitIndex_ = 0;
  std::uint64_t AppliedIndex_ = 0;
  std::uint64_t LogBytes_ = 0;
  /// The size of the commands in the log, in memory.
  std::uint64_t RetainedBytes_ = 0;
  /// The size of the commands applied since the last snapshot.
  std::uint64_t BytesSinceSnapshot_ = 0;
  std::uint64_t SnapshotBytes_ = 0; ///< The size of the last snapshot.
  std::uint64_t Snapshots_ = 0;
  /// The number of snapshots triggered by the size of the log, before
  /// SnapshotEvery_ entries.
  std::uint64_t SnapshotsForSize_ = 0;
  /// The size of the commands queued for the disk.
  std::uint64_t QueuedBytes_ = 0;
  /// The number of proposals refused because uncommitted entries fill the log.
  std::uint64_t RefusedProposals_ = 0;
  Recovery Recovery_;
  std::uint64_t Syncs_ = 0;
  TimePoint LeaderSince_{}; ///< When this replica last became leader.
  /// On the leader: the term of the last log entry before its own term. No
  /// later leader before this one has committed anything.
  std::uint64_t PreviousTerm_ = 0;
  std::vector<Member> Members_;
  /// The log index at which Members_ was set.
  std::uint64_t MembersIndex_ = 0;
  /// The members as of the last committed change.
  std::vector<Member> CommittedMembers_;
  /// On the leader: the other members whose disks answered within the election
  /// timeout.
  std::vector<std::string> Responsive_;
  /// On the leader: the other members that have sent something within the
  /// election timeout, whatever their disks do.
  std::vector<std::string> Reachable_;
  /// On the leader: the members that have sent nothing for UnresponsiveAfter_.
  std::vector<std::string> Unresponsive_;
  std::string Failure_; ///< Why this replica stopped; empty while it runs.
  /// Why an earlier log was quarantined as lost when the folder was opened.
  std::string LostDisk_;
  /// Whether this member's log is on a disk. A group survives a power loss of
  /// all members only if the logs of a majority of its voters are.
  bool IsDurable_ = false;
  /// Members without a log that have asked this one to join: new VMs, and
  /// members that lost their disk, with the incarnation to add them under.
  std::vector<MemberId> JoinRequests_;
};

/// Thread-safe. Callbacks run on the replica's own thread and must not block.
class Replica {
public:
  using AppliedCallback = std::function<void(Outcome<Applied>)>;

  /// Opens or creates the data folder and starts the replica's threads. The
  /// references must outlive the replica.
  static Outcome<std::unique_ptr<Replica>> open(const ReplicaSettings &Settings,
                                                StateMachine &Machine,
                                                Transport &Out,
                                                const Clock &Time);
  virtual ~Replica() = default;

  /// Proposes a command. Done receives the result once the command is committed
  /// and applied here; NotLeader if it was certainly not appended, which is
  /// also the answer of a leader whose uncommitted entries fill MaxLogBytes_;
  /// Timeout or Unavailable if leadership was lost meanwhile and the command
  /// may or may not be committed.
  virtual void propose(std::string Command, AppliedCallback Done) = 0;

  /// Handles a message that another member passed to Transport::send.
  virtual void receive(std::string Message) = 0;

  /// Calls Done with success once a quorum has answered a round that began
  /// after the call, which confirms that this replica leads, and once it has
  /// applied everything that was committed before the call.
  virtual void confirmLeadership(std::function<void(Outcome<void>)> Done) = 0;

  /// Returns the term that this replica leads if a quorum answered so recently
  /// that no other leader can exist at Now, and nullopt otherwise. Callers
  /// check it directly before each commitment to a client: state that was read
  /// under another term is stale, as other leaders may have led in between.
  virtual std::optional<std::uint64_t> findLeaseTerm(TimePoint Now) const = 0;

  /// Returns whether no other leader can exist at Now, in whichever term.
  bool holdsLeaderLease(TimePoint Now) const {
    return findLeaseTerm(Now).has_value();
  }

  virtual ReplicaStatus getStatus() const = 0;

  /// Adds a learner, or promotes or removes a member, one change at a time. A
  /// promotion waits until the learner has caught up.
  virtual void addLearner(MemberId Id, std::function<void(Outcome<void>)>) = 0;
  virtual void promote(MemberId Id, std::function<void(Outcome<void>)>) = 0;
  virtual void remove(MemberId Id, std::function<void(Outcome<void>)>) = 0;
  /// Replaces the known places of members, over which a leader that maintains
  /// the voters spreads them.
  virtual void setPlaces(MemberPlaces /*Places*/) {}

  /// Transfers leadership to the most up-to-date other voter, if this replica
  /// leads.
  virtual void transferLeadership(std::function<void(Outcome<void>)>) = 0;
  /// Transfers leadership to the named voter only; fails with Unavailable if
  /// that voter does not respond.
  virtual void transferLeadershipTo(std::string To,
                                    std::function<void(Outcome<void>)>) = 0;

  /// Writes what was submitted and ends the threads. No callback runs
  /// afterwards.
  virtual void stop() = 0;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REPLICA_H
