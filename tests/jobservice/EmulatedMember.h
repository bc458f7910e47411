//===- EmulatedMember.h - One member without sockets ------------*- C++ -*-===//
//
// Connects a real leader, relay, flush, inbox, survey and witness as
// ReportRouter does, with messages that the owner delivers. Destroying it is
// the end of the process: all of its memory is lost.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_EMULATEDMEMBER_H
#define TULIPWEIR_TESTS_JOBSERVICE_EMULATEDMEMBER_H

#include "jobs/LeaderFixture.h"
#include "jobservice/AnswerCollector.h"
#include "jobservice/HeardServers.h"
#include "jobservice/OtherMembers.h"
#include "jobservice/ReportInbox.h"
#include "jobservice/ReportRelay.h"
#include "jobservice/ReportWitness.h"
#include "jobservice/SharedGroup.h"

namespace tulipweir::jobservice::test {

class EmulatedMember : public std::enable_shared_from_this<EmulatedMember> {
public:
  /// How a member sends messages to others, by name.
  struct Links {
    std::function<void(const std::string &To, jobs::ReportBatch, Duration,
                       ReportRelay::BatchDone)>
        CallWithBatch_;
    std::function<void(const std::string &To, jobs::FlushRequest,
                       std::function<void()> Failed)>
        SendFlushRequest_;
    std::function<void(const std::string &To, jobs::LeaseQuery,
                       LeaseSurvey::Reply)>
        SendLeaseQuery_;
    std::function<void(const std::string &To, jobs::WitnessRequest,
                       ReportWitness::Done)>
        SendWitnessRequest_;
  };

  /// All references must outlive it.
  EmulatedMember(std::size_t Number, SharedGroup &Group,
                 jobs::test::ManualExecutor &Strand, const Clock &Time,
                 const jobs::JobLeaderSettings &Settings, EventLog &Log,
                 Links Out);
  ~EmulatedMember();
  EmulatedMember(const EmulatedMember &) = delete;
  EmulatedMember &operator=(const EmulatedMember &) = delete;

  // Commands.

  /// Handles the report of a server: itself as the leader, else as a relay.
  void report(jobs::ServerReport Report, ReportRelay::Done Reply);
  void receiveBatch(jobs::ReportBatch Batch, ReportInbox::Reply Reply);
  void receiveFlushRequest(const jobs::FlushRequest &Request);
  jobs::LeaseQueryReply answerLeaseQuery(const jobs::LeaseQuery &Query);
  void recordWitnessed(const jobs::WitnessRequest &Request);
  void checkTimeouts();
  jobs::JobLeader &leader() { return Leader_; }

  // Queries.

  const jobs::JobStateMachine &machine() const { return Machine_; }

private:
  void handleReport(jobs::ServerReport Report, const ReportRelay::Done &Reply);
  void sendBatch(jobs::ReportBatch Batch, Duration Timeout,
                 ReportRelay::BatchDone Done);
  void handleBatch(jobs::ReportBatch Batch, const ReportInbox::Reply &Reply);

  const std::string Name_;
  const std::size_t Number_;
  SharedGroup &Group_;
  jobs::test::ManualExecutor &Strand_;
  const Clock &Time_;
  const Links Out_;
  jobs::NullAdvisor Advisor_;
  jobs::NullVmProvider Provider_;
  jobs::NoJobMeter Meter_;
  jobs::JobStateMachine Machine_;
  std::unique_ptr<replication::Replica> Replica_;
  std::shared_ptr<ReportRelay> Relay_;
  RelayFlush Flush_;
  HeardServers Heard_;
  std::shared_ptr<ReportWitness> Witness_;
  LeaseSurvey Survey_;
  OtherMembers Others_{Flush_, Survey_};
  ReportInbox Inbox_;
  jobs::JobLeader Leader_;
  std::vector<std::shared_ptr<AnswerCollector>> Collectors_;
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_EMULATEDMEMBER_H
