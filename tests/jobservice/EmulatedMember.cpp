#include "jobservice/EmulatedMember.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;

/// A relay redirects a server that another relay is chosen for in one of this
/// many intervals.
static constexpr std::size_t RedirectPeriod = 8;
static constexpr Duration RedirectInterval = std::chrono::seconds(1);

EmulatedMember::EmulatedMember(std::size_t Number, SharedGroup &Group,
                               jobs::test::ManualExecutor &Strand,
                               const Clock &Time,
                               const jobs::JobLeaderSettings &Settings,
                               EventLog &Log, Links Out)
    : Name_(SharedGroup::getName(Number)), Number_(Number), Group_(Group),
      Strand_(Strand), Time_(Time), Out_(std::move(Out)),
      Replica_(Group.start(Number, Machine_)),
      Relay_(std::make_shared<ReportRelay>(
          Strand, Time,
          [this](jobs::ReportBatch Batch, Duration Timeout,
                 ReportRelay::BatchDone Done) {
            sendBatch(std::move(Batch), Timeout, std::move(Done));
          })),
      Flush_(
          Name_, Time, [this] { return Replica_->getStatus(); },
          [this](const std::string &Member, const jobs::FlushRequest &Request,
                 std::function<void()> Failed) {
            Out_.SendFlushRequest_(Member, Request, std::move(Failed));
          }),
      Heard_(Time),
      Witness_(std::make_shared<ReportWitness>(
          Name_, Strand, [this] { return Replica_->getStatus(); },
          [this](const std::string &Member, const jobs::WitnessRequest &Request,
                 ReportWitness::Done Reply) {
            Out_.SendWitnessRequest_(
                Member, Request,
                [Weak = weak_from_this(),
                 Reply = std::move(Reply)](bool IsRecorded) {
                  if (const std::shared_ptr<EmulatedMember> Self = Weak.lock())
                    Reply(IsRecorded);
                });
          })),
      Survey_(
          Name_, Time, [this] { return Replica_->getStatus(); }, Heard_,
          [this](const std::string &Member, const jobs::LeaseQuery &Query,
                 LeaseSurvey::Reply Reply) {
            Out_.SendLeaseQuery_(Member, Query, std::move(Reply));
          }),
      Inbox_(Time, Meter_,
             [this](jobs::ReportBatch Batch, const ReportInbox::Reply &Reply) {
               handleBatch(std::move(Batch), Reply);
             }),
      Leader_(Settings, Time, Strand, *Replica_, Machine_, Advisor_, Provider_,
              Others_, Log, Meter_) {
  Leader_.start();
}

EmulatedMember::~EmulatedMember() { Group_.stop(Number_); }

void EmulatedMember::report(jobs::ServerReport Report,
                            ReportRelay::Done Reply) {
  const std::weak_ptr<EmulatedMember> Weak = weak_from_this();
  const std::string Id = Report.Facts_.Id_;
  Heard_.record(Id);
  if (Leader_.isLeading())
    return Witness_->record(
        Id, [Weak, Reply, Report = std::move(Report),
             ReceivedAt = Time_.now()](bool IsRecorded) mutable {
          const std::shared_ptr<EmulatedMember> Self = Weak.lock();
          if (!Self)
            return;
          if (!IsRecorded)
            return Reply(fail(ErrorCode::Unavailable, "not recorded"));
          Report.WaitedMs_ = static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  Self->Time_.now() - ReceivedAt)
                  .count());
          Self->handleReport(std::move(Report), Reply);
        });
  Leader_.observe(Report);
  const auto Interval = static_cast<std::size_t>(
                            Time_.now().time_since_epoch() / RedirectInterval) +
                        std::hash<std::string>()(Id);
  Relay_->add(std::move(Report),
              [Weak, Id, Reply, IsDue = Interval % RedirectPeriod == 0](
                  Outcome<jobs::ServerOrders> Got) {
                const std::shared_ptr<EmulatedMember> Self = Weak.lock();
                if (!Self)
                  return;
                if (Got && IsDue)
                  Got.value().ReportTo_ = Self->Relay_->chooseRelayFor(Id);
                Reply(std::move(Got));
              });
}

/// Handles a report that another member has recorded, if this member leads.
void EmulatedMember::handleReport(jobs::ServerReport Report,
                                  const ReportRelay::Done &Reply) {
  const std::string Id = Report.Facts_.Id_;
  Leader_.report(std::move(Report), [Weak = weak_from_this(), Id,
                                     Reply](Outcome<jobs::ServerOrders> Got) {
    const std::shared_ptr<EmulatedMember> Self = Weak.lock();
    if (!Self)
      return;
    if (Got)
      Got.value().ReportTo_ =
          ReportRelay::chooseRelay(Self->Replica_->getStatus().Responsive_, Id);
    Reply(std::move(Got));
  });
}

void EmulatedMember::sendBatch(jobs::ReportBatch Batch, Duration Timeout,
                               ReportRelay::BatchDone Done) {
  Batch.From_ = Name_;
  const std::string Leader = Replica_->getStatus().LeaderName_;
  if (Leader.empty() || Leader == Name_)
    return Strand_.post(
        [Done = std::move(Done)] { Done(fail(ErrorCode::NotLeader, "")); });
  Out_.CallWithBatch_(Leader, std::move(Batch), Timeout, std::move(Done));
}

void EmulatedMember::receiveBatch(jobs::ReportBatch Batch,
                                  ReportInbox::Reply Reply) {
  Inbox_.add(std::move(Batch), Time_.now(), std::move(Reply));
}

void EmulatedMember::handleBatch(jobs::ReportBatch Batch,
                                 const ReportInbox::Reply &Reply) {
  if (!isSettledMember(Replica_->getStatus(), Batch.From_))
    return Reply({});
  const auto Collector = AnswerCollector::handleBatch(
      std::move(Batch), Leader_, Flush_, Time_,
      [Weak = weak_from_this(), Reply](jobs::ReportBatchReply Answers) {
        const std::shared_ptr<EmulatedMember> Self = Weak.lock();
        if (!Self)
          return;
        Answers.Relays_ = Self->Replica_->getStatus().Responsive_;
        Answers.AwaitingStop_ = Self->Leader_.listAwaitingStop();
        Reply(std::move(Answers));
      });
  if (!Collector->isSent())
    Collectors_.push_back(Collector);
}

void EmulatedMember::receiveFlushRequest(const jobs::FlushRequest &Request) {
  Relay_->flushServers(Request);
}

jobs::LeaseQueryReply
EmulatedMember::answerLeaseQuery(const jobs::LeaseQuery &Query) {
  Survey_.recordLeader(Query);
  return Query.IsNotice_ ? jobs::LeaseQueryReply() : Heard_.makeReply();
}

void EmulatedMember::recordWitnessed(const jobs::WitnessRequest &Request) {
  for (const std::string &Id : Request.Servers_)
    Heard_.record(Id);
}

void EmulatedMember::checkTimeouts() {
  Flush_.retryExpired();
  Survey_.poll();
  std::erase_if(Collectors_, [Now = Time_.now()](const auto &Collector) {
    Collector->sendIfOverdue(Now);
    return Collector->isSent();
  });
}
