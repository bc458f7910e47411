//===- LeaseSimulation.h - Simulates task leases under faults ---*- C++ -*-===//
//
// One seeded schedule: leaders with ledgers over one committed log, fake
// backend servers, and messages that are delayed, repeated and lost. The log
// itself is taken as right (the replication module proves it): only the leader
// of the latest term commits, a change of leader keeps a prefix of what was
// under way, and no leader is elected before the earlier one's lease is over.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_DATACENTRE_LEASESIMULATION_H
#define TULIPWEIR_TESTS_DATACENTRE_LEASESIMULATION_H

#include "datacentre/FakeBackendServer.h"
#include "tulipweir/datacentre/ServerTracker.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace tulipweir::datacentre {

struct LeaseFaults {
  bool LeaderChanges_ = false;
  bool FrozenLeader_ = false; ///< Answers of a leader come very late.
  bool PartitionServers_ = false;
  bool Drift_ = false;
  bool Disorder_ = false; ///< Delayed, repeated, reordered, lost.
  bool Reboots_ = false;
};

class LeaseSimulation {
public:
  LeaseSimulation(const LeaseFaults &Faults, unsigned Seed);

  /// Runs for Length; returns what broke first, or nothing.
  std::string run(Duration Length);

  int Starts_ = 0;  ///< Attempts that began to run.
  int Changes_ = 0; ///< Leaders after the first.
  int Lost_ = 0;    ///< Attempts that ended as lost.

private:
  struct Leader {
    std::uint64_t Term_ = 0;
    DriftingClock Clock_;
    Duration LeadsUntil_{};
    DataCentreState State_{RecordLimits{}};
    std::size_t Applied_ = 0;
    std::unique_ptr<ServerTracker> Tracker_;
    std::deque<std::pair<Duration, Command>> Pending_;
    std::set<std::pair<TaskId, FencingToken>> Reported_; ///< By servers.
  };
  struct LogEntry {
    std::uint64_t Term_;
    Command Command_;
  };
  struct Message {
    Duration Due_;
    std::function<void()> Deliver_;
  };

  int pick(int Count) { return static_cast<int>(Random_() % Count); }
  DriftingClock makeClock();
  void elect();
  void applyLog(Leader &Replica, int Most);
  void commit(Leader &Proposer);
  void propose(Leader &Proposer, const Command &Value);
  void schedule(Leader &Proposer);
  void scheduleTask(Leader &Proposer, const TaskId &Id, const TaskRecord &Task);
  void announce(std::size_t Server);
  void onAnnouncement(Leader &At, const wire::Announcement &Value,
                      std::size_t Server);
  void send(std::function<void()> Deliver, bool FromLeader);
  void deliver();
  void stepServers();
  void reboot(std::size_t Server);
  std::string check();

  const LeaseFaults Faults_;
  std::mt19937 Random_;
  Duration RealTime_{};
  ServerTrackerSettings Settings_;
  std::vector<FakeBackendServer> Servers_;
  std::vector<Duration> PartitionedUntil_;
  std::vector<Duration> OldLeaderUntil_; ///< To the leader before the latest.
  std::vector<std::unique_ptr<Leader>> Leaders_;
  std::vector<LogEntry> Log_;
  std::vector<Message> Messages_;
  Duration NextElection_{};
  int NextJob_ = 0;
  std::string Violation_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_TESTS_DATACENTRE_LEASESIMULATION_H
