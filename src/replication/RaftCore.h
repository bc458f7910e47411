//===- RaftCore.h - Raft as a deterministic state machine ------*- C++ -*-===//
//
// Implements one member of a group as step(Input) -> Outputs. The core uses no
// clock, socket, file or thread: each input carries the time, and the outputs
// list what to write, send and apply. Tests can therefore run any schedule of
// faults, message by message.
//
// The rules are those of Ongaro's dissertation: pre-vote and check-quorum
// (section 9.6), single-step membership changes after an entry of the leader's
// own term (section 4.1), reads that are confirmed by a round (section 6.4),
// and a leader lease.
//
// Leader leases cannot overlap. A follower refuses any vote, and any term that
// comes with a vote request, until ElectionTimeout after it last heard a
// leader, or after its own start. A leader's lease begins when it SENT the
// newest round that a quorum has answered, and lasts 7/8 of ElectionTimeout.
// Each member of that quorum received the round later than that. A new leader
// needs the vote of at least one of them, which is granted ElectionTimeout
// after that at the earliest. So the leases cannot overlap unless the voter's
// clock runs more than 8/7 as fast as the leader's: the drift margin is 14%.
// The one exception, an election that the leader requests in order to transfer
// leadership, happens only after the leader has given up its lease for the
// rest of its term.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_RAFTCORE_H
#define TULIPWEIR_REPLICATION_RAFTCORE_H

#include "replication/LogMessages.h"
#include "replication/RaftLog.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace tulipweir::replication {

struct CoreSettings {
  MemberId Self_;
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  Duration HeartbeatInterval_ = std::chrono::milliseconds(100);
  std::uint64_t Seed_ = 0;
  std::size_t MaxEntriesPerMessage_ = 1024;
  std::size_t MaxBytesPerMessage_ = 1U << 19;
  std::size_t MaxMessagesInFlight_ = 64;
  std::size_t SnapshotChunkBytes_ = 1U << 18;
  /// The maximum number of entries that are retained for live followers that
  /// lag.
  std::uint64_t MaxEntriesKept_ = 20'000;
  /// The maximum size of the commands in the log; see ReplicaSettings.
  std::uint64_t MaxLogBytes_ = ReplicaSettings().MaxLogBytes_;
};

/// Advances the time. Arrives several times in each heartbeat interval.
struct Tick {};

struct Received {
  Message Message_;
};

/// A command to append. Id_ identifies it in the outputs.
struct Proposal {
  std::uint64_t Id_ = 0;
  CommandBytes Command_;
};

struct Proposed {
  std::vector<Proposal> Proposals_;
};

/// The entries through Index_ are on disk, and the entry at Index_ has Term_.
/// The leader counts itself towards a quorum only for entries that it has
/// synced.
struct Synced {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
};

enum class ChangeKind : std::uint8_t { AddLearner, Promote, Remove };

struct ChangeRequested {
  std::uint64_t Id_ = 0;
  ChangeKind Kind_ = ChangeKind::AddLearner;
  MemberId Member_;
  bool operator==(const ChangeRequested &) const = default;
};

struct ReadRequested {
  std::vector<std::uint64_t> Ids_;
};

struct TransferRequested {
  std::uint64_t Id_ = 0;
  std::string To_ = {}; ///< Empty selects the most up-to-date voter.
};

/// The driver took a snapshot after applying entry Index_.
struct SnapshotTaken {
  std::uint64_t Index_ = 0;
  std::string State_;
  std::uint64_t KeepAfter_ = 0; ///< Later entries are kept for slow followers.
};

/// The group was bootstrapped with these members; valid only for an empty log.
struct GroupBootstrapped {
  std::vector<Member> Members_;
};

struct Input {
  TimePoint Now_;
  std::variant<Tick, Received, Proposed, Synced, ChangeRequested, ReadRequested,
               TransferRequested, SnapshotTaken, GroupBootstrapped>
      Event_;
};

/// A proposal was appended at this position of the log.
struct Accepted {
  std::uint64_t Id_ = 0;
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
};

/// The request Id_ has ended. A read may be answered once ReadIndex_ has been
/// applied.
struct Finished {
  std::uint64_t Id_ = 0;
  std::optional<Error> Error_;
  std::uint64_t ReadIndex_ = 0;
};

/// The driver writes Hard_, Appended_ and Checkpoint_ in this order, syncs, and
/// only then sends MessagesAfterSync_. MessagesBeforeSync_ may be sent at once.
/// Restore_ is applied before Committed_. The driver may drop none of the
/// outputs unless the member stops.
struct Outputs {
  std::optional<HardState> Hard_;
  std::vector<LogEntry> Appended_; ///< Each entry truncates the log from its
                                   ///< index on before it is appended.
  std::optional<Checkpoint> Checkpoint_;
  std::vector<Message> MessagesBeforeSync_;
  std::vector<Message> MessagesAfterSync_;
  SnapshotRef Restore_;
  std::vector<LogEntry> Committed_;
  std::vector<Accepted> Accepted_;
  std::vector<Finished> Finished_;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Not thread-safe.
class RaftCore {
public:
  /// Continues from the stored state. Start counts as a time at which a leader
  /// was heard.
  RaftCore(const CoreSettings &Settings, TimePoint Start, Checkpoint Stored);

  Outputs step(const Input &In);

  Role getRole() const { return Role_; }
  std::uint64_t getTerm() const { return Hard_.Term_; }
  std::uint64_t getCommit() const { return Commit_; }
  const std::optional<MemberId> &getLeader() const { return Leader_; }
  const RaftLog &getLog() const { return Log_; }
  /// The membership change that was requested and has not ended.
  const std::optional<ChangeRequested> &getChange() const { return Change_; }
  /// When this member last became leader.
  TimePoint getLeaderSince() const { return LeaderSince_; }
  /// Returns how many proposals were refused because uncommitted entries fill
  /// the log.
  std::uint64_t countRefusedProposals() const { return RefusedProposals_; }
  /// Returns the term of the last log entry before this leader's own term.
  std::uint64_t getPreviousTerm() const { return PreviousTerm_; }
  /// Returns the time since this leader last received a message from the
  /// member; zero for itself.
  Duration getTimeSinceHeard(const MemberId &Id, TimePoint Now) const;
  /// Returns the time since this leader last received a reply that the member
  /// sent after a sync. A member whose disk hangs is still heard but stores
  /// nothing.
  Duration getTimeSinceStored(const MemberId &Id, TimePoint Now) const;
  /// Returns the time until which no other leader can exist; the lowest time
  /// without a lease.
  TimePoint getLeaseEnd() const;

private:
  /// The leader's view of another member.
  struct Progress {
    std::uint64_t Match_ = 0;
    std::uint64_t Next_ = 1;
    bool Probing_ = true;    ///< Sends one message at a time until one matches.
    bool ProbeSent_ = false; ///< Set until a reply or the next heartbeat.
    std::deque<std::uint64_t> InFlight_; ///< The last index of each message.
    std::uint64_t AckedRound_ = 0;
    TimePoint LastHeard_{};
    TimePoint
        LastStored_{}; ///< When the member last sent a reply after a sync.
    SnapshotRef Sending_;
    std::uint64_t Offset_ = 0;
    TimePoint ChunkSentAt_{};
  };
  struct Round {
    std::uint64_t Number_ = 0;
    TimePoint SentAt_;
  };
  struct PendingRead {
    std::uint64_t Id_ = 0;
    std::uint64_t Round_ = 0;
    std::uint64_t Index_ = 0;
  };
  struct Transfer {
    std::uint64_t Id_ = 0;
    MemberId Target_;
    TimePoint Deadline_;
    bool Sent_ = false;
  };

  // Inputs, in RaftCore.cpp.
  void handle(const Tick &);
  void handle(const Received &In);
  void handle(const Proposed &In);
  bool hasRoomFor(const Proposal &Next) const;
  void handle(const Synced &In);
  void handle(const ChangeRequested &In);
  void handle(const ReadRequested &In);
  void handle(const TransferRequested &In);
  void handle(const SnapshotTaken &In);
  void handle(const GroupBootstrapped &In);

  // Terms and elections, in RaftElection.cpp.
  void startPreVote();
  void startElection(bool IsTransfer);
  void requestVotes(bool IsPreVote, bool IsTransfer);
  void becomeFollower(std::uint64_t Term, std::optional<MemberId> Leader);
  void becomeLeader();
  void endLeadership();
  void countVotes();
  void resetElectionTimer();
  void setElectionTimer(Duration AtLeast);
  void deferElection(const MemberId &Other);
  bool hasRecentLeader() const;
  bool isUpToDate(const VoteRequest &Request) const;
  bool checkTerm(const Message &From);
  void onMessage(const Message &From, const VoteRequest &Body);
  void onMessage(const Message &From, const VoteReply &Body);
  void onMessage(const Message &From, const TimeoutNow &Body);

  // Follower, in RaftFollower.cpp.
  void onMessage(const Message &From, const AppendRequest &Body);
  void onMessage(const Message &From, const SnapshotChunk &Body);
  void followLeader(const MemberId &Leader);
  void acknowledgeRound(const MemberId &Leader, std::uint64_t Round);
  std::uint64_t findHint(const AppendRequest &Request) const;
  void storeEntries(const std::vector<LogEntry> &Entries);
  void installSnapshot(const SnapshotChunk &Last);

  // Leader, in RaftLeader.cpp.
  void onMessage(const Message &From, const AppendReply &Body);
  void onMessage(const Message &From, const RoundAck &Body);
  void onMessage(const Message &From, const SnapshotReply &Body);
  void recordReply(Progress &Peer, std::uint64_t Round);
  void appendNewEntry(EntryKind Kind, CommandBytes Command,
                      std::vector<Member> Members);
  void broadcastRound();
  void sendAppends();
  void sendAppend(const MemberId &To, Progress &Peer, bool IsHeartbeat);
  bool isFull(const Progress &Peer) const;
  void sendChunk(const MemberId &To, Progress &Peer);
  void sendAppendRequest(const MemberId &To, Progress &Peer, std::uint64_t Prev,
                         bool WithEntries);
  void advanceCommit();
  void advanceRounds();
  void checkQuorum();
  void updatePeerSet();

  // Membership changes and leadership transfer, in RaftMembership.cpp.
  void tryChange();
  bool hasCaughtUp(const Progress &Learner);
  std::optional<Error> validateChange(const ChangeRequested &Change) const;
  void finishChange();
  void tryTransfer();
  void checkTransferDeadline();

  // GroupBootstrap handles the join messages; the core ignores them.
  void onMessage(const Message &, const JoinProbe &) {}
  void onMessage(const Message &, const JoinReply &) {}
  void onMessage(const Message &, const BootstrapGroup &) {}
  // MajorityBootstrap handles these.
  void onMessage(const Message &, const BootstrapPrepare &) {}
  void onMessage(const Message &, const BootstrapPromise &) {}
  void onMessage(const Message &, const BootstrapProposal &) {}
  void onMessage(const Message &, const BootstrapAcceptance &) {}
  void onMessage(const Message &, const BootstrapResult &) {}

  void setCommit(std::uint64_t Index);
  void setHard(HardState Hard);
  void send(std::vector<Message> &Box, const MemberId &To, std::uint64_t Term,
            decltype(Message::Body_) Body);
  void finish(std::uint64_t Id, std::optional<Error> Why,
              std::uint64_t ReadIndex = 0);
  Error makeNotLeader() const;
  bool isVoter(const MemberId &Id) const;
  std::size_t countVoters() const;
  /// Returns the highest value of Field that a quorum of voters has reached,
  /// where this member's own value is Own.
  std::uint64_t findQuorumValue(std::uint64_t Progress::*Field,
                                std::uint64_t Own) const;
  bool hasCommittedInTerm() const;
  std::uint64_t limitCompaction(const SnapshotTaken &Taken) const;

  const CoreSettings Settings_;
  std::mt19937_64 Random_;
  TimePoint Now_;
  Outputs Out_;

  HardState Hard_;
  RaftLog Log_;
  std::uint64_t Commit_ = 0;
  std::uint64_t Synced_ = 0;
  std::uint64_t RefusedProposals_ = 0;

  Role Role_ = Role::Follower;
  std::optional<MemberId> Leader_;
  TimePoint LastHeard_;
  /// The last acknowledged round: its leader's term and its number.
  std::pair<std::uint64_t, std::uint64_t> LastRound_{};
  TimePoint ElectionDeadline_;
  unsigned FailedElections_ = 0; ///< Started since a leader was last heard.
  std::map<MemberId, bool> Votes_;

  /// The chunks received so far of an incoming snapshot.
  SnapshotChunk IncomingSnapshot_;

  // Valid only while leading.
  std::map<MemberId, Progress> Peers_;
  TimePoint LeaderSince_{};
  std::uint64_t PreviousTerm_ = 0;
  std::uint64_t FirstIndexOfTerm_ = 0;
  std::uint64_t Round_ = 0;
  std::deque<Round> Rounds_;
  TimePoint LeaseStart_ = TimePoint::min();
  TimePoint NextHeartbeat_{};
  std::vector<PendingRead> Reads_;
  std::optional<ChangeRequested> Change_; ///< Requested or appended.
  std::uint64_t ChangeIndex_ = 0;         ///< 0 until it is appended.
  std::uint64_t CatchUpIndex_ = 0; ///< The index that a learner must reach
  TimePoint CatchUpStart_{};       ///< within an election timeout of this time.
  std::optional<Transfer> Transfer_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_RAFTCORE_H
