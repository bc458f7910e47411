//===- JobLeader.h - The leader's scheduler of jobs -------------*- C++ -*-===//
//
// Answers clients' calls and backend servers' reports from the replicated
// state, and changes that state. On a replica that does not lead, every call
// fails with NotLeader and the leader's name if it is known.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBLEADER_H
#define TULIPWEIR_JOBS_JOBLEADER_H

#include "tulipweir/core/EventLog.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/jobs/AdmissionStatus.h"
#include "tulipweir/jobs/Advisor.h"
#include "tulipweir/jobs/JobCall.h"
#include "tulipweir/jobs/JobMeter.h"
#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/jobs/LoadSettings.h"
#include "tulipweir/jobs/LoadStatus.h"
#include "tulipweir/jobs/ReportBatch.h"
#include "tulipweir/jobs/ReportRelays.h"
#include "tulipweir/jobs/ServerReport.h"
#include "tulipweir/jobs/VmProvider.h"
#include "tulipweir/replication/Replica.h"

#include <memory>
#include <optional>

namespace tulipweir::jobs {

/// The settings of a leader.
struct JobLeaderSettings {
  /// The time for which a server may run tasks after the report that renewed
  /// its lease was sent.
  Duration Lease_ = std::chrono::seconds(5);
  /// Assumed bound on the drift of a server's clock, in percent. The leader
  /// waits that much longer before it treats a lease as expired.
  std::uint64_t ClockDriftPercent_ = 3;
  /// The interval at which a server reports when nothing happens on it.
  Duration ReportInterval_ = std::chrono::milliseconds(500);
  /// How long an ended job stays visible to clients.
  Duration Retention_ = std::chrono::seconds(180);
  /// How long before its due time an occurrence may start.
  Duration EarliestStart_ = std::chrono::milliseconds(0);
  /// How long after its election a leader sends no orders to the provider of
  /// VMs, as the previous leader may still send some.
  Duration HolderLease_ = std::chrono::seconds(3);
  /// The data centres that the deployment names. Others are known from the
  /// reports of their servers.
  std::vector<std::string> DataCentres_;
  RunTimeSettings RunTimes_;
  ShareSettings Shares_;
  AdmissionSettings Admission_;
};

/// Schedules jobs while its replica leads. It lives on one executor: all
/// members are called there, and callbacks run there. The references that it is
/// given must outlive it.
class JobLeader {
public:
  template <class Value> using Done = std::function<void(Outcome<Value>)>;

  JobLeader(const JobLeaderSettings &Settings, const Clock &Time,
            Executor &Strand, replication::Replica &Group,
            const JobStateMachine &Machine, Advisor &Advising,
            VmProvider &Provider, ReportRelays &Relays, EventLog &Log,
            JobMeter &Meter);
  ~JobLeader();
  JobLeader(const JobLeader &) = delete;
  JobLeader &operator=(const JobLeader &) = delete;

  // Commands.

  /// Starts the periodic tick, which watches for leadership.
  void start();
  void call(JobCall Call, Done<JobCallReply> Reply);
  void report(ServerReport Report, Done<ServerOrders> Reply);
  /// Records the ends in a report that was not delivered in time. Such a report
  /// is no heartbeat: Reply gets no lease and no orders.
  void recordLateEnds(const ServerReport &Report, Done<ServerOrders> Reply);
  /// Learns interference between tasks from a report that another member
  /// handles, so that this member knows it when it becomes the leader.
  void observe(const ServerReport &Report);
  /// Marks the leader as overloaded, as relays defer reports. For some time the
  /// relays are asked twice before a server with an expired lease is removed.
  void markOverloaded();
  /// Removes a server that has left for good.
  void leave(const std::string &ServerId, Done<void> Reply);
  /// Stores a configuration unless one with the same or a later version is in
  /// force. Reply succeeds in both cases, once that is committed.
  void putConfiguration(Configuration Value, Done<void> Reply);
  /// Starts a wave of maintenance. Reply succeeds once the wave is stored, also
  /// if it was stored before.
  void startWave(const WaveSpec &Spec, Done<void> Reply);

  /// Begins or ends the evacuation of a data centre. From the reply to the
  /// first on, nothing starts in the data centre; running tasks continue. Reply
  /// is NotFound for an unknown data centre.
  void evacuate(const EvacuateDataCentre &Order, Done<void> Reply);

  // Queries.

  /// Replies with the newest configuration; fails on a replica that does not
  /// lead.
  void readConfiguration(Done<Configuration> Reply);
  /// Replies with the state of a wave, or NotFound if it does not exist.
  void showWave(std::uint64_t Wave, Done<WaveRecord> Reply);
  bool isLeading() const;
  /// Returns the load as of the leader's last decisions; an empty status while
  /// it does not lead. Costs a lookup for each queue, and a walk through what
  /// is known of run times.
  LoadStatus describeLoad() const;
  /// Lists the servers that run tasks of ended jobs.
  std::vector<ServerAwaitingStop> listAwaitingStop() const;
  /// Returns the token that fences the leader's orders; nothing while it does
  /// not lead.
  std::optional<std::uint64_t> findFencingToken() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBLEADER_H
