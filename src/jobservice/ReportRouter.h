//===- ReportRouter.h - Routes server reports in a control ------*- C++ -*-===//
//
// All controls accept servers' reports, and the leader decides them. A control
// that leads handles its own reports and those that other controls relay. Any
// other control updates its state from a report and relays it to the leader.
// An answer names the control to which the server sends its later reports.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTROUTER_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTROUTER_H

#include "jobservice/AnswerCollector.h"
#include "jobservice/HeardServers.h"
#include "jobservice/LeadershipTransferPolicy.h"
#include "jobservice/OtherMembers.h"
#include "jobservice/ProcessorProbe.h"
#include "jobservice/ReplicaInstance.h"
#include "jobservice/ReportInbox.h"
#include "jobservice/ReportRelay.h"
#include "jobservice/ReportWitness.h"
#include "tulipweir/jobservice/MemberLinks.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tulipweir::jobservice {

/// All members are called on one executor, and callbacks run there.
class ReportRouter {
public:
  using Done = ReportRelay::Done;
  using GetInstance = std::function<std::shared_ptr<ReplicaInstance>()>;

  /// Self is this member's name. FindInstance returns null while the replica is
  /// closed. References must outlive it.
  ReportRouter(std::string Self, Executor &Strand, const Clock &Time,
               MemberLinks &Links, jobs::JobMeter &Meter,
               GetInstance FindInstance);

  // Commands.

  /// Sets the object that contains the router. It is kept alive while answers
  /// are outstanding.
  void setOwner(std::weak_ptr<void> Owner) { Owner_ = std::move(Owner); }
  /// Handles a server's report if this member leads, else relays it to the
  /// leader.
  void report(jobs::ServerReport Report, Done Reply);
  /// Handles a batch that another control relays, as received from the network
  /// at ReceivedAt. A member that does not lead answers each report with
  /// NotLeader.
  void receiveBatch(jobs::ReportBatch Batch, TimePoint ReceivedAt,
                    const net::LinkReply &Reply);
  /// Sends the buffered reports that the leader requests.
  void flushServers(const jobs::FlushRequest &Request);
  /// Answers the question of a new leader about leases.
  jobs::LeaseQueryReply answerLeaseQuery(const jobs::LeaseQuery &Query);
  /// Records reports that the leader has received itself.
  void recordWitnessed(const jobs::WitnessRequest &Request);
  /// Retries requests to members and sends overdue answers. Called
  /// periodically.
  void checkTimeouts();
  /// Records the duration of one probe on this member.
  void recordWorkTime(Duration WorkTime) { Probe_.addSample(WorkTime); }

  // Queries.

  /// Returns the interface through which a leader on this member asks the
  /// relays.
  jobs::ReportRelays &relays() { return Relays_; }
  /// Returns this member's probe time; zero until it is known.
  Duration getWorkTime() const { return Probe_.getWorkTime(); }
  /// Returns the member to transfer leadership to if this member leads on a
  /// slow VM.
  std::optional<TransferTarget>
  chooseTarget(const replication::ReplicaStatus &Status) const {
    return Policy_.chooseTarget(Status, Probe_);
  }

private:
  replication::ReplicaStatus getStatus() const;
  /// Calls another member. Reply runs on the executor unless the owner is gone.
  void callMember(const std::string &Member, wire::MessageKind Kind,
                  std::string Body,
                  std::function<void(const Outcome<std::string> &)> Reply);
  void handleReport(jobs::ServerReport Report, const Done &Reply);
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
  HeardServers Heard_;
  std::shared_ptr<ReportWitness> Witness_;
  RelayFlush Flush_;
  LeaseSurvey Survey_;
  OtherMembers Relays_{Flush_, Survey_};
  ProcessorProbe Probe_;
  LeadershipTransferPolicy Policy_;
  /// Collectors of batches from other controls that wait for answers.
  std::vector<std::shared_ptr<AnswerCollector>> Collectors_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTROUTER_H
