//===- ReportRouter.h - Routes server reports in a control ------*- C++ -*-===//
//
// Reports are decided by the leader and taken by all controls: one that leads
// decides them here, its own and those that others pass on; one that does not
// learns from them and passes them on. An answer names the control that takes
// the server's later reports.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTROUTER_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTROUTER_H

#include "jobservice/AnswerCollector.h"
#include "jobservice/LeadershipTransferPolicy.h"
#include "jobservice/ProcessorProbe.h"
#include "jobservice/RelayFlush.h"
#include "jobservice/ReplicaInstance.h"
#include "jobservice/ReportInbox.h"
#include "jobservice/ReportRelay.h"
#include "tulipweir/jobservice/MemberLinks.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tulipweir::jobservice {

/// Lives on one executor: all members are called there, and callbacks run
/// there.
class ReportRouter {
public:
  using Done = ReportRelay::Done;
  using GetInstance = std::function<std::shared_ptr<ReplicaInstance>()>;

  /// Self is this member's name; FindInstance finds nothing while its disk
  /// fails. References must outlive it.
  ReportRouter(std::string Self, Executor &Strand, const Clock &Time,
               MemberLinks &Links, jobs::JobMeter &Meter,
               GetInstance FindInstance);

  // Commands.

  /// Whatever holds the router is kept while an answer is on its way.
  void setOwner(std::weak_ptr<void> Owner) { Owner_ = std::move(Owner); }
  /// A server's report: decided here by the leader, or relayed to it.
  void report(jobs::ServerReport Report, Done Reply);
  /// Reports that another control passes on, as received from the network at
  /// ReceivedAt. A member that does not lead says so of each.
  void receiveBatch(jobs::ReportBatch Batch, TimePoint ReceivedAt,
                    const net::LinkReply &Reply);
  /// The leader asks for what is kept here.
  void flushServers(const jobs::FlushRequest &Request);
  /// Answers batches that have waited long enough; now and then.
  void checkTimeouts();
  /// How long the set piece of work took here this time.
  void recordWorkTime(Duration WorkTime) { Probe_.addSample(WorkTime); }

  // Queries.

  /// What a leader here asks the other members by.
  jobs::ReportRelays &relays() { return Flush_; }
  /// How long the set piece of work takes here; zero as long as that is not
  /// known.
  Duration getWorkTime() const { return Probe_.getWorkTime(); }
  /// The member that a leader here hands over to as its own VM is slow.
  std::optional<TransferTarget>
  chooseTarget(const replication::ReplicaStatus &Status) const {
    return Policy_.chooseTarget(Status, Probe_);
  }

private:
  void sendFlushRequest(const std::string &Member,
                        const jobs::FlushRequest &Request,
                        std::function<void()> Failed);
  void send(jobs::ReportBatch Batch, Duration Timeout,
            ReportRelay::BatchDone Reply);
  void handleBatch(jobs::ReportBatch Batch, const ReportInbox::Reply &Reply);
  bool isRedirectDue(const std::string &ServerId) const;

  const std::string Self_;
  Executor &Strand_;
  const Clock &Time_;
  MemberLinks &Links_;
  jobs::JobMeter &Meter_;
  const GetInstance FindInstance_;
  std::weak_ptr<void> Owner_;
  std::shared_ptr<ReportRelay> Relay_;
  ReportInbox Inbox_;
  RelayFlush Flush_;
  ProcessorProbe Probe_;
  LeadershipTransferPolicy Policy_;
  /// Batches of other controls that are being decided.
  std::vector<std::shared_ptr<AnswerCollector>> Collectors_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTROUTER_H
