//===- CoreCluster.h - Simulated cluster of RaftCores ----------*- C++ -*-===//
//
// Runs a group of RaftCores on a simulated network and simulated disks. One
// seed determines all delays, clock rates, syncs and faults. The invariants
// are checked after each event.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_REPLICATION_CORECLUSTER_H
#define TULIPWEIR_TESTS_REPLICATION_CORECLUSTER_H

#include "replication/RaftCore.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::replication {

enum class LogStep {
  Append,
  Sync,
  Acknowledge,
  Commit,
  Apply,
  TakeSnapshot,
  Install,
  ChangeMembers,
  Transfer,
  Count
};

enum class Fault {
  CrashBefore,
  CrashAfter,
  LostDisk,
  TornWrite,
  Frozen,
  CutOutgoing,
  CutIncoming,
  CutBothWays,
  Duplicated,
  Reordered,
  DelayedPastElection,
  Count
};

/// Occurs at the member that performs Step_ after Skip_ earlier occurrences.
struct PlannedFault {
  LogStep Step_;
  Fault Fault_;
  int Skip_ = 0;
  bool Done_ = false;
};

class CoreCluster {
public:
  using Millis = std::int64_t;
  static constexpr Millis ElectionMs = 100;

  /// With an odd seed, messages are lost and members crash, freeze and become
  /// partitioned at random, in addition to the plan.
  CoreCluster(std::uint64_t Seed, std::vector<PlannedFault> Plan);

  /// Runs the scenario: proposals, a long outage of a member, leadership
  /// transfers and a new member. Then heals all faults and waits until the
  /// members agree. Returns the first violated invariant, or an empty string.
  std::string run();

  bool haveAllFaultsOccurred() const;
  std::size_t countAcknowledged() const { return Acknowledged_.size(); }

private:
  struct Write {
    bool HasBatch_ = false;
    HardState Hard_;
    std::vector<LogEntry> Entries_;
    std::optional<Checkpoint> Checkpoint_;
    std::vector<Message> MessagesAfterSync_;
    Millis DueAt_ = 0;
  };
  struct Node {
    MemberId Id_;
    std::unique_ptr<RaftCore> Core_; ///< Null while the node is down.
    Checkpoint Disk_;
    HardState Hard_;
    std::deque<Write> Writes_;
    std::uint64_t Applied_ = 0;
    std::uint64_t HistoryHash_ = 0; ///< Hash of all applied entries.
    double Rate_ = 1;               ///< Rate of the node's clock.
    Millis RestartAt_ = 0;
    Millis FrozenUntil_ = 0;
    Millis NextTick_ = 0;
    Millis LastWriteAt_ = 0;
    std::map<Fault, Millis>
        Until_; ///< When each network fault of the node ends.
    std::string
        CutFrom_; ///< The only peer that is cut off; empty for all peers.
    std::map<std::uint64_t, std::uint64_t>
        Reads_; ///< Request id to the least valid read index.
    bool IsWanted_ = true;
  };
  struct InFlight {
    Message Message_;
    Millis DueAt_;
  };

  void tickAll();
  void runScenario();
  void runNode(Node &Target);
  void propose(Node &Target);
  void reconcileMembers(Node &Leader);
  void deliver(Node &Target);
  void completeWrites(Node &Target);
  void step(Node &Target, decltype(Input::Event_) Event);
  void processOutputs(Node &Target, Outputs Out);
  void apply(Node &Target, const LogEntry &Entry);
  void takeSnapshotIfDue(Node &Target);
  void store(Node &Target, const Write &Job);
  void send(Node &Target, const Message &Msg);
  void crash(Node &Target, bool LosesDisk);
  void start(Node &Target);
  bool injectFaultBefore(Node &Target, const std::set<LogStep> &Steps);
  void injectFaultAfter(Node &Target, const std::set<LogStep> &Steps);
  void injectFault(Node &Target, Fault What);
  bool isHealthy() const;
  bool hasConverged() const;
  bool hasFault(const Node &Target, Fault What) const;
  bool isCut(const Node &From, const Node &To) const;
  void injectRandomFaults();
  void check(const Node &Target);
  void checkLeases();
  void expect(bool Holds, const std::string &What);
  Node *findLeader();
  TimePoint localNow(const Node &Target) const;
  Millis pick(Millis Low, Millis High);

  std::mt19937_64 Random_;
  std::vector<PlannedFault> Plan_;
  std::map<std::string, Node> Nodes_;
  std::vector<InFlight> Network_;
  Millis Now_ = 0;
  bool IsHealing_ = false;
  bool InjectsRandomFaults_ = false;
  Millis MaxDelay_ = 10;
  std::uint64_t NextId_ = 0;
  std::uint64_t NextIncarnation_ = 10;
  std::string Violation_;
  std::map<std::uint64_t, MemberId> LeaderOf_;           ///< Keyed by term.
  std::map<std::uint64_t, std::uint64_t> HistoryHashAt_; ///< Keyed by index.
  std::map<std::uint64_t, std::uint64_t>
      Proposed_; ///< Index to term of the open proposals.
  std::map<std::uint64_t, std::uint64_t> Acknowledged_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_TESTS_REPLICATION_CORECLUSTER_H
