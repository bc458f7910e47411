#include "jobservice/ReportRouter.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// One second of eight in which a server is told to report to the control that
/// is named for it.
static constexpr Duration MoveInterval = std::chrono::seconds(1);
static constexpr std::size_t MoveEvery = 8;
/// A sweep is taken at once; a relay that says nothing for so long is asked
/// again.
static constexpr Duration FlushTimeout = std::chrono::milliseconds(500);

ReportRouter::ReportRouter(std::string Self, Executor &Strand,
                           const Clock &Time, MemberLinks &Links,
                           jobs::JobMeter &Meter, GetLife FindLife)
    : Self_(std::move(Self)), Strand_(Strand), Time_(Time), Links_(Links),
      Meter_(Meter), FindLife_(std::move(FindLife)),
      Relay_(std::make_shared<ReportRelay>(
          Strand, Time,
          [this](jobs::ReportBatch Batch, Duration Timeout,
                 ReportRelay::BatchDone Reply) {
            send(std::move(Batch), Timeout, std::move(Reply));
          })),
      Inbox_(Time, Meter,
             [this](jobs::ReportBatch Batch, const ReportInbox::Reply &Reply) {
               handle(std::move(Batch), Reply);
             }),
      Flush_(
          Self_, Time,
          [this] {
            const std::shared_ptr<ControlLife> Current = FindLife_();
            return Current ? Current->Group_->getStatus()
                           : replication::ReplicaStatus();
          },
          [this](const std::string &Member, const jobs::FlushRequest &Request,
                 std::function<void()> Failed) {
            ask(Member, Request, std::move(Failed));
          }),
      Policy_(Time) {}

/// Servers are spread over the members that do not lead; a leader that hears
/// none of them takes the reports itself.
static std::string pickRelay(const ControlLife &Current,
                             const std::string &ServerId) {
  return ReportRelay::pick(Current.Group_->getStatus().Responsive_, ServerId);
}

void ReportRouter::report(jobs::ServerReport Report, Done Reply) {
  const std::shared_ptr<ControlLife> Current = FindLife_();
  if (!Current)
    return Reply(fail(ErrorCode::Unavailable, "the disk fails"));
  const std::string Id = Report.Facts_.Id_;
  if (Current->Leader_->isLeading())
    return Current->Leader_->report(
        std::move(Report), [Hold = Owner_.lock(), Current, Id,
                            Reply](Outcome<jobs::ServerOrders> Orders) {
          if (Orders)
            Orders.value().ReportTo_ = pickRelay(*Current, Id);
          Reply(std::move(Orders));
        });
  Current->Leader_->observe(Report);
  Relay_->add(std::move(Report), [this, Hold = Owner_.lock(), Id,
                                  Reply](Outcome<jobs::ServerOrders> Orders) {
    if (Orders && Orders.value().LeaseMs_ == 0)
      Meter_.add(jobs::Counted::ReportsRelayedWithoutLease, 1);
    if (Orders && isTimeToMove(Id))
      Orders.value().ReportTo_ = Relay_->pickFor(Id);
    Reply(std::move(Orders));
  });
}

/// Reports come to where the last one was answered. One that is heard here
/// though another control is named for it goes there only now and then, for it
/// may be that the server cannot reach that one.
bool ReportRouter::isTimeToMove(const std::string &ServerId) const {
  const auto Turn =
      static_cast<std::size_t>(Time_.now().time_since_epoch() / MoveInterval);
  return (Turn + std::hash<std::string>()(ServerId)) % MoveEvery == 0;
}

void ReportRouter::send(jobs::ReportBatch Batch, Duration Timeout,
                        ReportRelay::BatchDone Reply) {
  Batch.From_ = Self_;
  Batch.WorkTimeNs_ = static_cast<std::uint64_t>(getWorkTime().count());
  const std::shared_ptr<ControlLife> Current = FindLife_();
  const std::string Leader =
      Current ? Current->Group_->getStatus().LeaderName_ : "";
  if (Leader.empty() || Leader == Self_)
    return Strand_.post(
        [Reply = std::move(Reply)] { Reply(fail(ErrorCode::NotLeader, "")); });
  Links_.call(Leader, wire::MessageKind::ServerReports,
              jobs::encodeReports(Batch), Timeout,
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

void ReportRouter::ask(const std::string &Member,
                       const jobs::FlushRequest &Request,
                       std::function<void()> Failed) {
  Links_.call(Member, wire::MessageKind::FlushRequest,
              jobs::encodeFlushRequest(Request), FlushTimeout,
              [this, Weak = Owner_,
               Failed = std::move(Failed)](const Outcome<std::string> &Answer) {
                const std::shared_ptr<void> Hold = Weak.lock();
                if (Hold && !Answer)
                  Strand_.post(Failed);
              });
}

void ReportRouter::flushServers(const jobs::FlushRequest &Asked) {
  Relay_->flushServers(Asked);
}

void ReportRouter::take(jobs::ReportBatch Batch, TimePoint ReceivedAt,
                        const net::LinkReply &Reply) {
  if (!FindLife_())
    return Reply(fail(ErrorCode::NotLeader, ""));
  Policy_.recordProbe(Batch.From_, std::chrono::nanoseconds(Batch.WorkTimeNs_));
  Inbox_.add(std::move(Batch), ReceivedAt,
             [Reply](const jobs::ReportBatchReply &Answers) {
               Reply(jobs::encodeReportReply(Answers));
             });
}

void ReportRouter::handle(jobs::ReportBatch Batch,
                          const ReportInbox::Reply &Reply) {
  const std::shared_ptr<ControlLife> Current = FindLife_();
  // Replies without an answer for each report; the relay takes it as failed.
  if (!Current)
    return Reply({});
  const auto Gather = ReportGather::decide(
      std::move(Batch), *Current->Leader_, Flush_, Time_,
      [Current, Reply](jobs::ReportBatchReply Answers) {
        Answers.Relays_ = Current->Group_->getStatus().Responsive_;
        if (Current->Leader_)
          Answers.AwaitingStop_ = Current->Leader_->listAwaitingStop();
        Reply(std::move(Answers));
      });
  if (!Gather->isSent())
    Gathers_.push_back(Gather);
}

void ReportRouter::look() {
  Flush_.retryExpired();
  std::erase_if(Gathers_, [Now = Time_.now()](const auto &Each) {
    Each->look(Now);
    return Each->isSent();
  });
}
