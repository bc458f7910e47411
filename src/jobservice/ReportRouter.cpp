#include "jobservice/ReportRouter.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// The time after which other servers become due for a redirect.
static constexpr Duration RedirectInterval = std::chrono::seconds(1);
/// A server is redirected to the control that is chosen for it only in one of
/// this many intervals.
static constexpr std::size_t RedirectPeriod = 8;
/// Timeout of a request to another member, which handles it at once. A request
/// that times out is sent again, or to another member.
static constexpr Duration MemberTimeout = std::chrono::milliseconds(500);

ReportRouter::ReportRouter(std::string Self, Executor &Strand,
                           const Clock &Time, MemberLinks &Links,
                           jobs::JobMeter &Meter, GetInstance FindInstance)
    : Self_(std::move(Self)), Strand_(Strand), Time_(Time), Links_(Links),
      Meter_(Meter), FindInstance_(std::move(FindInstance)),
      Relay_(std::make_shared<ReportRelay>(
          Strand, Time,
          [this](jobs::ReportBatch Batch, Duration Timeout,
                 ReportRelay::BatchDone Reply) {
            send(std::move(Batch), Timeout, std::move(Reply));
          })),
      Inbox_(Time, Meter,
             [this](jobs::ReportBatch Batch, const ReportInbox::Reply &Reply) {
               handleBatch(std::move(Batch), Reply);
             }),
      Heard_(Time),
      Witness_(std::make_shared<ReportWitness>(
          Self_, Strand, [this] { return getStatus(); },
          [this](const std::string &Member, const jobs::WitnessRequest &Request,
                 ReportWitness::Done Reply) {
            callMember(
                Member, wire::MessageKind::ReportWitness,
                jobs::encodeWitnessRequest(Request),
                [Reply = std::move(Reply)](const Outcome<std::string> &Answer) {
                  Reply(Answer.has_value());
                });
          })),
      Flush_(
          Self_, Time, [this] { return getStatus(); },
          [this](const std::string &Member, const jobs::FlushRequest &Request,
                 std::function<void()> Failed) {
            sendFlushRequest(Member, Request, std::move(Failed));
          }),
      Survey_(
          Self_, Time, [this] { return getStatus(); }, Heard_,
          [this](const std::string &Member, const jobs::LeaseQuery &Query,
                 LeaseSurvey::Reply Reply) {
            callMember(
                Member, wire::MessageKind::LeaseQuery,
                jobs::encodeLeaseQuery(Query),
                [Reply = std::move(Reply)](const Outcome<std::string> &Answer) {
                  if (!Answer)
                    return Reply(Answer.error());
                  Reply(jobs::decodeLeaseQueryReply(Answer.value()));
                });
          }),
      Policy_(Time) {}

replication::ReplicaStatus ReportRouter::getStatus() const {
  const std::shared_ptr<ReplicaInstance> Instance = FindInstance_();
  return Instance ? Instance->Replica_->getStatus()
                  : replication::ReplicaStatus();
}

/// Spreads servers over the members that do not lead. Returns an empty string
/// if the leader hears none of them; it then takes the reports itself.
static std::string chooseRelayFor(const ReplicaInstance &Instance,
                                  const std::string &ServerId) {
  return ReportRelay::chooseRelay(Instance.Replica_->getStatus().Responsive_,
                                  ServerId);
}

void ReportRouter::report(jobs::ServerReport Report, Done Reply) {
  const std::shared_ptr<ReplicaInstance> Instance = FindInstance_();
  if (!Instance)
    return Reply(fail(ErrorCode::Unavailable,
                      "the replica is closed after a disk failure"));
  const std::string Id = Report.Facts_.Id_;
  Heard_.record(Id);
  if (Instance->Leader_->isLeading())
    return Witness_->record(
        Id, [this, Weak = Owner_, Report = std::move(Report), Reply,
             ReceivedAt = Time_.now()](bool IsRecorded) mutable {
          // The witness belongs to the owner, so it must not keep it alive.
          const std::shared_ptr<void> Hold = Weak.lock();
          if (!Hold)
            return;
          if (!IsRecorded)
            return Reply(fail(ErrorCode::Unavailable,
                              "no other member has recorded the report"));
          Report.WaitedMs_ = static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  Time_.now() - ReceivedAt)
                  .count());
          handleReport(std::move(Report), Reply);
        });
  Instance->Leader_->observe(Report);
  Relay_->add(std::move(Report), [this, Hold = Owner_.lock(), Id,
                                  Reply](Outcome<jobs::ServerOrders> Orders) {
    if (Orders && Orders.value().LeaseMs_ == 0)
      Meter_.add(jobs::JobCounter::ReportsRelayedWithoutLease, 1);
    if (Orders && isRedirectDue(Id))
      Orders.value().ReportTo_ = Relay_->chooseRelayFor(Id);
    Reply(std::move(Orders));
  });
}

/// Handles a report that another member has recorded, if this member leads.
void ReportRouter::handleReport(jobs::ServerReport Report, const Done &Reply) {
  const std::shared_ptr<ReplicaInstance> Instance = FindInstance_();
  if (!Instance || !Instance->Leader_)
    return Reply(fail(ErrorCode::Unavailable,
                      "the replica is closed after a disk failure"));
  const std::string Id = Report.Facts_.Id_;
  Instance->Leader_->report(
      std::move(Report), [Hold = Owner_.lock(), Instance, Id,
                          Reply](Outcome<jobs::ServerOrders> Orders) {
        if (Orders)
          Orders.value().ReportTo_ = chooseRelayFor(*Instance, Id);
        Reply(std::move(Orders));
      });
}

/// Servers report to the control that last answered them. A server that reports
/// here although another control is chosen for it is redirected only rarely, as
/// it may not be able to reach that control.
bool ReportRouter::isRedirectDue(const std::string &ServerId) const {
  const auto Interval = static_cast<std::size_t>(
      Time_.now().time_since_epoch() / RedirectInterval);
  return (Interval + std::hash<std::string>()(ServerId)) % RedirectPeriod == 0;
}

void ReportRouter::send(jobs::ReportBatch Batch, Duration Timeout,
                        ReportRelay::BatchDone Reply) {
  Batch.From_ = Self_;
  Batch.ProbeTimeNs_ = static_cast<std::uint64_t>(getWorkTime().count());
  const std::shared_ptr<ReplicaInstance> Instance = FindInstance_();
  const std::string Leader =
      Instance ? Instance->Replica_->getStatus().LeaderName_ : "";
  if (Leader.empty() || Leader == Self_)
    return Strand_.post(
        [Reply = std::move(Reply)] { Reply(fail(ErrorCode::NotLeader, "")); });
  Links_.call(Leader, wire::MessageKind::ServerReports,
              jobs::encodeReports(std::move(Batch)), Timeout,
              [this, Weak = Owner_,
               Reply = std::move(Reply)](const Outcome<std::string> &Answer) {
                const std::shared_ptr<void> Hold = Weak.lock();
                if (!Hold)
                  return;
                Strand_.post([Reply, Answer] {
                  if (!Answer)
                    return Reply(
                        fail(ErrorCode::Unavailable, Answer.error().Message_));
                  Reply(jobs::decodeReportReply(Answer.value()));
                });
              });
}

void ReportRouter::callMember(
    const std::string &Member, wire::MessageKind Kind, std::string Body,
    std::function<void(const Outcome<std::string> &)> Reply) {
  Links_.call(Member, Kind, std::move(Body), MemberTimeout,
              [this, Weak = Owner_,
               Reply = std::move(Reply)](const Outcome<std::string> &Answer) {
                if (const std::shared_ptr<void> Hold = Weak.lock())
                  Strand_.post([Reply, Answer] { Reply(Answer); });
              });
}

void ReportRouter::sendFlushRequest(const std::string &Member,
                                    const jobs::FlushRequest &Request,
                                    std::function<void()> Failed) {
  callMember(Member, wire::MessageKind::FlushRequest,
             jobs::encodeFlushRequest(Request),
             [Failed = std::move(Failed)](const Outcome<std::string> &Answer) {
               if (!Answer)
                 Failed();
             });
}

void ReportRouter::flushServers(const jobs::FlushRequest &Request) {
  Relay_->flushServers(Request);
}

jobs::LeaseQueryReply
ReportRouter::answerLeaseQuery(const jobs::LeaseQuery &Query) {
  Survey_.recordLeader(Query);
  return Query.IsNotice_ ? jobs::LeaseQueryReply() : Heard_.makeReply();
}

void ReportRouter::recordWitnessed(const jobs::WitnessRequest &Request) {
  for (const std::string &Id : Request.Servers_)
    Heard_.record(Id);
}

void ReportRouter::receiveBatch(jobs::ReportBatch Batch, TimePoint ReceivedAt,
                                const net::LinkReply &Reply) {
  if (!FindInstance_())
    return Reply(fail(ErrorCode::NotLeader, ""));
  Policy_.recordProbe(Batch.From_,
                      std::chrono::nanoseconds(Batch.ProbeTimeNs_));
  Inbox_.add(std::move(Batch), ReceivedAt,
             [Reply](const jobs::ReportBatchReply &Answers) {
               Reply(jobs::encodeReportReply(Answers));
             });
}

void ReportRouter::handleBatch(jobs::ReportBatch Batch,
                               const ReportInbox::Reply &Reply) {
  const std::shared_ptr<ReplicaInstance> Instance = FindInstance_();
  // The empty reply lacks an answer for each report, so the relay treats the
  // batch as failed.
  if (!Instance)
    return Reply({});
  // A later leader could not ask a sender that is no member about leases.
  if (!isSettledMember(Instance->Replica_->getStatus(), Batch.From_)) {
    Flush_.onBatch(Batch.FlushId_, Batch.Heard_);
    return Reply({});
  }
  const auto Collector = AnswerCollector::handleBatch(
      std::move(Batch), *Instance->Leader_, Flush_, Time_,
      [Instance, Reply](jobs::ReportBatchReply Answers) {
        Answers.Relays_ = Instance->Replica_->getStatus().Responsive_;
        if (Instance->Leader_)
          Answers.AwaitingStop_ = Instance->Leader_->listAwaitingStop();
        Reply(std::move(Answers));
      });
  if (!Collector->isSent())
    Collectors_.push_back(Collector);
}

void ReportRouter::checkTimeouts() {
  Flush_.retryExpired();
  Survey_.poll();
  std::erase_if(Collectors_, [Now = Time_.now()](const auto &Collector) {
    Collector->sendIfOverdue(Now);
    return Collector->isSent();
  });
}
