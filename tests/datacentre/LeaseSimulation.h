//===- LeaseSimulation.h - Simulates task leases under faults ---*- C++ -*-===//
//
// Runs one seeded schedule of leaders over one committed log, fake backend
// servers, and messages that are delayed, repeated and lost. The log itself is
// assumed to be correct, which the tests of the replication module cover: only
// the leader of the latest term commits, a change of leader keeps a prefix of
// the pending proposals, and no leader is elected before the lease of the
// previous one has expired.
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
  bool FrozenLeader_ = false; ///< Replies of a leader arrive very late.
  bool PartitionServers_ = false;
  bool Drift_ = false;
  bool Disorder_ =
      false; ///< Messages are delayed, repeated, reordered and lost.
  bool Reboots_ = false;
};

class LeaseSimulation {
public:
  LeaseSimulation(const LeaseFaults &Faults, unsigned Seed);

  /// Runs for Length. Returns the first violated invariant, or an empty string.
  std::string run(Duration Length);

  int Starts_ = 0;  ///< Attempts that started.
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
    std::set<std::pair<TaskId, FencingToken>>
        Reported_; ///< Reported by servers.
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
  std::vector<Duration>
      OldLeaderUntil_; ///< Until then announcements go to the previous leader.
  std::vector<std::unique_ptr<Leader>> Leaders_;
  std::vector<LogEntry> Log_;
  std::vector<Message> Messages_;
  Duration NextElection_{};
  int NextJob_ = 0;
  std::string Violation_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_TESTS_DATACENTRE_LEASESIMULATION_H
