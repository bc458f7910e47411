//===- CoreCluster.h - Cores with a fake network and fake disks -*- C++ -*-===//
//
// Runs a group of RaftCores from one seed: delays, clock rates, syncs and
// faults all come from it. After each event it checks what must always hold.
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

/// Strikes the member that does Step_ for the Skip_-th time.
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

  /// Odd seeds have rough weather: besides the plan, messages get lost and
  /// members crash, freeze and lose each other all day.
  CoreCluster(std::uint64_t Seed, std::vector<PlannedFault> Plan);

  /// The usual day: proposals, a member down for long, hand-overs, a new
  /// member; then all is healed and must agree. Returns the first thing that
  /// did not hold, or an empty text.
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
    std::unique_ptr<RaftCore> Core_; ///< Null while down.
    Checkpoint Disk_;
    HardState Hard_;
    std::deque<Write> Writes_;
    std::uint64_t Applied_ = 0;
    std::uint64_t HistoryHash_ = 0; ///< Hash of all that was applied.
    double Rate_ = 1;               ///< Of its clock.
    Millis RestartAt_ = 0;
    Millis FrozenUntil_ = 0;
    Millis NextTick_ = 0;
    Millis LastWriteAt_ = 0;
    std::map<Fault, Millis> Until_; ///< Faults of the network around it.
    std::string CutFrom_;           ///< From this one only; empty: from all.
    std::map<std::uint64_t, std::uint64_t> Reads_; ///< Id to least index.
    bool IsWanted_ = true;
  };
  struct InFlight {
    Message Message_;
    Millis DueAt_;
  };

  void tickAll();
  void runScenario();
  void runNode(Node &Which);
  void propose(Node &Which);
  void reconcileMembers(Node &Leader);
  void deliver(Node &Which);
  void completeWrites(Node &Which);
  void step(Node &Which, decltype(Input::Event_) Event);
  void processOutputs(Node &Which, Outputs Out);
  void apply(Node &Which, const LogEntry &Entry);
  void takeSnapshotIfDue(Node &Which);
  void store(Node &Which, const Write &Job);
  void send(Node &Which, const Message &Each);
  void crash(Node &Which, bool LosesDisk);
  void start(Node &Which);
  bool injectFaultBefore(Node &Which, const std::set<LogStep> &Steps);
  void injectFaultAfter(Node &Which, const std::set<LogStep> &Steps);
  void injectFault(Node &Which, Fault What);
  bool isHealthy() const;
  bool hasConverged() const;
  bool hasFault(const Node &Which, Fault What) const;
  bool isCut(const Node &From, const Node &To) const;
  void injectRandomFaults();
  void check(const Node &Which);
  void checkLeases();
  void expect(bool Holds, const std::string &What);
  Node *findLeader();
  TimePoint localNow(const Node &Which) const;
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
  std::map<std::uint64_t, MemberId> LeaderOf_;           ///< By term.
  std::map<std::uint64_t, std::uint64_t> HistoryHashAt_; ///< By index.
  std::map<std::uint64_t, std::uint64_t> Proposed_; ///< Index to term, open.
  std::map<std::uint64_t, std::uint64_t> Acknowledged_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_TESTS_REPLICATION_CORECLUSTER_H
