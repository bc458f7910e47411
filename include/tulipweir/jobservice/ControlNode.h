//===- ControlNode.h - Member of the job service group ----------*- C++ -*-===//
//
// A control node holds one replica of the job log, the links to the other
// members and the job leader on top of the replica. It has no HTTP interface
// of its own; the embedding program translates requests.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBSERVICE_CONTROLNODE_H
#define TULIPWEIR_JOBSERVICE_CONTROLNODE_H

#include "tulipweir/jobs/JobLeader.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Link.h"
#include "tulipweir/net/Metrics.h"

namespace tulipweir::jobservice {

struct ControlNodeSettings {
  /// The "ip:port" at which other members call this control.
  std::string Name_;
  std::uint16_t LinkPort_ = 0; ///< The same on all VMs.
  std::string DataFolder_;     ///< An empty path keeps data in memory only.
  /// Controls to bootstrap the group with, or to ask for an existing group.
  std::vector<std::string> Seeds_;
  /// Whether this node may bootstrap the group; false once a group has existed.
  bool MayFound_ = false;
  /// Number of voters in the group: 2 * N + 1 to survive the loss of N VMs.
  std::uint64_t TargetVoters_ = 3;
  /// The data centre of this control; may be empty. Voters are spread over the
  /// data centres.
  std::string DataCentre_;
  std::string Secret_;
  Duration ElectionTimeout_ = std::chrono::milliseconds(600);
  jobs::JobLeaderSettings Leader_;
};

/// Opens a replica. Defaults to replication::Replica::open; tests pass another.
using OpenReplica =
    std::function<Outcome<std::unique_ptr<replication::Replica>>(
        const replication::ReplicaSettings &, replication::StateMachine &,
        replication::Transport &, const Clock &)>;

/// Runs the processor probe's workload and returns the time that it took.
/// Defaults to timeWork; tests pass another.
using MeasureWork = std::function<Duration(const Clock &)>;

/// Callbacks run on the node's strand. If the replica's disk fails, the node
/// closes the replica and retries opening it until the disk accepts writes;
/// calls fail meanwhile.
class ControlNode {
public:
  template <class Value> using Done = std::function<void(Outcome<Value>)>;

  ControlNode(const ControlNodeSettings &Settings, net::IoPool &Pool,
              const Clock &Time, jobs::Advisor &Advisor,
              jobs::VmProvider &Provider, net::Metrics &Metrics, EventLog &Log,
              OpenReplica Open = &replication::Replica::open,
              MeasureWork Measure = nullptr);
  ~ControlNode();
  ControlNode(const ControlNode &) = delete;
  ControlNode &operator=(const ControlNode &) = delete;

  // Commands. Those that jobs::JobLeader has as well are thread-safe.

  Outcome<void> start();
  /// Transfers leadership to another member, so that nobody has to wait for an
  /// election, then calls OnDone.
  void transferLeadership(std::function<void()> OnDone);
  /// Returns once the replica has stopped and its folder is no longer in use.
  /// Must be called while the pool runs and from none of the pool's threads,
  /// and so must the destructor.
  void stop();

  void call(jobs::JobCall Call, Done<jobs::JobCallReply> Reply);
  void report(jobs::ServerReport Report, Done<jobs::ServerOrders> Reply);
  void leave(const std::string &ServerId, Done<void> Reply);
  void putConfiguration(jobs::Configuration NewConfiguration, Done<void> Reply);
  void startWave(jobs::WaveSpec Spec, Done<void> Reply);
  void evacuate(jobs::EvacuateDataCentre Order, Done<void> Reply);

  // Queries.

  void readConfiguration(Done<jobs::Configuration> Reply);
  void showWave(std::uint64_t Wave, Done<jobs::WaveRecord> Reply);
  /// Returns the fencing token of this member's orders while it leads, or the
  /// error NotLeader with the leader's name.
  void findFencingToken(Done<std::uint64_t> Reply);
  /// Returns the leader's name as far as this member knows it; empty if
  /// unknown.
  std::string getLeader() const;
  replication::ReplicaStatus getStatus() const;
  std::string makeDump() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_JOBSERVICE_CONTROLNODE_H
