//===- ControlNode.h - Member of the job service group ----------*- C++ -*-===//
//
// One replica of the jobs' log with its links to the other members, and the
// leader's side over it. Has no HTTP of its own: whoever embeds it translates.
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
  std::string Name_; ///< The "ip:port" at which others call this control.
  std::uint16_t LinkPort_ = 0; ///< The same on all VMs.
  std::string DataFolder_;     ///< Empty: memory only.
  /// Controls to found the group with, or to ask for it.
  std::vector<std::string> Seeds_;
  /// Whether the group may be founded; false once it ever was.
  bool MayFound_ = false;
  /// Voters the group keeps: twice the VMs it must bear to lose, and one.
  std::uint64_t TargetVoters_ = 3;
  std::string Secret_;
  Duration ElectionTimeout_ = std::chrono::milliseconds(600);
  jobs::JobLeaderSettings Leader_;
};

/// Opens a replica: replication::Replica::open but in tests.
using OpenReplica =
    std::function<Outcome<std::unique_ptr<replication::Replica>>(
        const replication::ReplicaSettings &, replication::StateMachine &,
        replication::Transport &, const Clock &)>;

/// Does a set piece of work and returns its time: timeWork but in tests.
using MeasureWork = std::function<Duration(const Clock &)>;

/// Callbacks run on the node's strand. A replica whose disk failed is closed
/// and opened again until the disk takes writes; calls fail meanwhile.
class ControlNode {
public:
  template <class Value> using Done = std::function<void(Outcome<Value>)>;

  ControlNode(const ControlNodeSettings &Settings, net::IoPool &Pool,
              const Clock &Time, jobs::Advisor &Advising,
              jobs::VmProvider &Provider, net::Metrics &Metrics, EventLog &Log,
              OpenReplica Open = &replication::Replica::open,
              MeasureWork Measure = nullptr);
  ~ControlNode();
  ControlNode(const ControlNode &) = delete;
  ControlNode &operator=(const ControlNode &) = delete;

  // Commands. Those of jobs::JobLeader may be called from any thread.

  Outcome<void> start();
  /// Hands leadership on, so that nobody waits for an election, then calls
  /// Moved.
  void transferLeadership(std::function<void()> OnDone);
  /// Returns once nothing of the replica runs and its folder is free. Called
  /// while the pool runs, from none of its threads; so is the destructor.
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
  /// The fencing token of this member's orders while it leads; else NotLeader
  /// with the leader's name.
  void findFencingToken(Done<std::uint64_t> Reply);
  /// The leader's name as far as this member knows; empty if unknown.
  std::string getLeader() const;
  replication::ReplicaStatus getStatus() const;
  std::string makeDump() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_JOBSERVICE_CONTROLNODE_H
