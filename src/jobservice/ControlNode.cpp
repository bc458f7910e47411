#include "tulipweir/jobservice/ControlNode.h"

#include "jobservice/JobMetrics.h"
#include "jobservice/LoadMetrics.h"
#include "jobservice/OperatorCalls.h"
#include "jobservice/PlaceSurvey.h"
#include "jobservice/ReplicaEvents.h"
#include "jobservice/ReplicaInstance.h"
#include "jobservice/ReportRouter.h"
#include "jobservice/StateDump.h"
#include "tulipweir/jobservice/MemberLinks.h"
#include "tulipweir/net/StrandExecutor.h"
#include "tulipweir/replication/ReplicaGauges.h"

#include <future>

using namespace tulipweir;
using namespace tulipweir::jobservice;

static constexpr const char *GroupName = "jobs";
/// Two heartbeats may be lost without a gap in the leader's lease, which lasts
/// 7/8 of the election timeout.
static constexpr int HeartbeatsPerElection = 5;
/// Proposals are batched for a third of a commit's time. Otherwise each of a
/// thousand reports a second would be an append to every member, with a reply.
static constexpr Duration ProposalPause = std::chrono::milliseconds(3);
/// One message is being synced while the next is on its way.
static constexpr std::size_t MaxMessagesInFlight = 2;
/// How often the node checks the replica's disk and members.
static constexpr Duration CheckInterval = std::chrono::milliseconds(250);
/// Timeout of the question to a member for its data centre.
static constexpr Duration PlaceTimeout = std::chrono::seconds(1);
/// How often the leader's load is published; operators look every few seconds.
static constexpr Duration LoadInterval = std::chrono::seconds(1);

static replication::ReplicaSettings
makeReplicaSettings(const ControlNodeSettings &Settings) {
  replication::ReplicaSettings Result;
  Result.Group_ = GroupName;
  Result.Name_ = Settings.Name_;
  if (!Settings.DataFolder_.empty())
    Result.Folder_ = Settings.DataFolder_ + "/" + GroupName;
  Result.InitialVoters_ = Settings.Seeds_;
  Result.MayBootstrap_ = Settings.MayFound_;
  Result.BootstrapsByMajority_ = true;
  Result.TargetVoters_ = Settings.TargetVoters_;
  Result.ElectionTimeout_ = Settings.ElectionTimeout_;
  Result.HeartbeatInterval_ = Settings.ElectionTimeout_ / HeartbeatsPerElection;
  Result.ProposalBatchInterval_ = ProposalPause;
  Result.MaxMessagesInFlight_ = MaxMessagesInFlight;
  Result.Seed_ = std::hash<std::string>()(Settings.Name_);
  return Result;
}

class ControlNode::Impl
    : public std::enable_shared_from_this<ControlNode::Impl> {
public:
  Impl(const ControlNodeSettings &Settings, net::IoPool &Pool,
       const Clock &Time, jobs::Advisor &Advisor, jobs::VmProvider &Provider,
       net::Metrics &Metrics, EventLog &Log, OpenReplica Open,
       MeasureWork Measure)
      : Settings_(Settings), Pool_(Pool), Time_(Time), Advisor_(Advisor),
        Provider_(Provider), Metrics_(Metrics), Log_(Log), Meter_(Metrics),
        LoadMeter_(Metrics), Open_(std::move(Open)),
        Measure_(Measure ? std::move(Measure) : MeasureWork(&timeWork)),
        Links_(Pool.context(), Settings.Name_, Settings.LinkPort_,
               makeMemberLinkSettings(Settings.Secret_)),
        Strand_(Pool), ReplicaEvents_(Log),
        Places_(Settings.Name_, Settings.DataCentre_, Time,
                [this](const std::string &Member) { askForPlace(Member); }),
        Router_(Settings.Name_, Strand_, Time, Links_, Meter_,
                [this] { return getInstance(); }),
        OperatorCalls_(Links_, [this](OperatorCalls::LeaderWork Work) {
          runUrgent(std::move(Work));
        }) {}

  Outcome<void> start();
  void stop();

  /// Runs Work with the job leader on the strand, or fails if the replica is
  /// closed.
  template <class Value, class Function>
  void runOnLeader(Done<Value> Reply, Function Work) {
    Strand_.post([Self = shared_from_this(), Reply = std::move(Reply),
                  Work = std::move(Work)]() mutable {
      const std::shared_ptr<ReplicaInstance> Instance = Self->getInstance();
      if (!Instance)
        return Reply(fail(ErrorCode::Unavailable,
                          "the replica is closed after a disk failure"));
      Work(*Instance->Leader_, std::move(Reply));
    });
  }
  OperatorCalls &operatorCalls() { return OperatorCalls_; }
  std::shared_ptr<ReplicaInstance> getInstance() const {
    const std::lock_guard Hold(Lock_);
    return Instance_;
  }
  /// Returns an empty status while the replica is closed.
  replication::ReplicaStatus getStatus() const {
    const std::shared_ptr<ReplicaInstance> Instance = getInstance();
    return Instance ? Instance->Replica_->getStatus()
                    : replication::ReplicaStatus();
  }
  std::shared_ptr<const jobs::LoadStatus> readLoad() const {
    return LoadMeter_.read();
  }
  net::StrandExecutor &strand() { return Strand_; }
  /// Returns the router of servers' reports. Used on the strand and while this
  /// object lives.
  ReportRouter &router() { return Router_; }

private:
  Outcome<void> openReplica();
  void checkReplica();
  void transferIfSlow(const ReplicaInstance &Instance,
                      const replication::ReplicaStatus &Status);
  void runUrgent(OperatorCalls::LeaderWork Work);
  void askForPlace(const std::string &Member);
  /// Publishes the leader's load if that is due.
  void publishLoad(const ReplicaInstance &Instance);
  void handleMessage(wire::MessageKind Kind, std::string Body,
                     net::LinkReply Reply);
  std::string makeGroupView() const;

  const ControlNodeSettings Settings_;
  net::IoPool &Pool_;
  const Clock &Time_;
  jobs::Advisor &Advisor_;
  jobs::VmProvider &Provider_;
  net::Metrics &Metrics_;
  EventLog &Log_;
  JobMetrics Meter_;
  LoadMetrics LoadMeter_;
  const OpenReplica Open_;
  const MeasureWork Measure_;
  MemberLinks Links_;
  net::StrandExecutor Strand_;
  std::unique_ptr<net::LinkServer> Server_;
  // Used on the strand only.
  ReplicaEvents ReplicaEvents_;
  bool IsTransferring_ = false;
  TimePoint NextLoadAt_{};
  PlaceSurvey Places_;
  ReportRouter Router_;
  OperatorCalls OperatorCalls_;
  mutable std::mutex Lock_;
  bool Stopped_ = false; ///< Guarded by Lock_, as is Instance_.
  /// Null while the replica is closed.
  std::shared_ptr<ReplicaInstance> Instance_;
};

Outcome<void> ControlNode::Impl::openReplica() {
  const auto NewInstance = std::make_shared<ReplicaInstance>();
  auto Opened = Open_(makeReplicaSettings(Settings_), NewInstance->Machine_,
                      Links_, Time_);
  if (!Opened)
    return std::move(Opened).as_failure();
  NewInstance->Replica_ = std::move(Opened.value());
  NewInstance->Leader_ = std::make_unique<jobs::JobLeader>(
      Settings_.Leader_, Time_, Strand_, *NewInstance->Replica_,
      NewInstance->Machine_, Advisor_, Provider_, Router_.relays(), Log_,
      Meter_);
  {
    const std::lock_guard Hold(Lock_);
    if (Stopped_)
      return fail(ErrorCode::Unavailable, "stopping");
    Instance_ = NewInstance;
  }
  Strand_.post([Self = shared_from_this(), Weak = std::weak_ptr(NewInstance)] {
    const std::shared_ptr<ReplicaInstance> Instance = Weak.lock();
    if (!Instance || !Instance->Leader_)
      return;
    Self->ReplicaEvents_.logRecovery(Instance->Replica_->getStatus());
    Instance->Leader_->start();
  });
  return succeed();
}

Outcome<void> ControlNode::Impl::start() {
  Router_.setOwner(weak_from_this());
  OperatorCalls_.setOwner(weak_from_this());
  if (Outcome<void> Opened = openReplica(); !Opened)
    return Opened;
  replication::addReplicaGauges(Metrics_, GroupName, [Weak = weak_from_this()] {
    const std::shared_ptr<Impl> Self = Weak.lock();
    return Self ? Self->getStatus() : replication::ReplicaStatus();
  });
  net::Endpoint Listen;
  Listen.Address_ = net::Endpoint::parse(Settings_.Name_).value().Address_;
  Listen.Port_ = Settings_.LinkPort_;
  Server_ = std::make_unique<net::LinkServer>(
      Pool_.context(), Listen, makeMemberLinkSettings(Settings_.Secret_),
      [Weak = weak_from_this()](wire::MessageKind Kind, std::string Body,
                                net::LinkReply Reply) {
        if (const std::shared_ptr<Impl> Self = Weak.lock())
          Self->handleMessage(Kind, std::move(Body), std::move(Reply));
      });
  auto Bound = Server_->start();
  if (!Bound)
    return std::move(Bound).as_failure();
  Strand_.post([Self = shared_from_this()] { Self->checkReplica(); });
  return succeed();
}

/// Transfers leadership from a slow VM to a faster one before servers lose
/// their leases. A leader under a load that would overload any VM keeps
/// leadership.
void ControlNode::Impl::transferIfSlow(
    const ReplicaInstance &Instance, const replication::ReplicaStatus &Status) {
  Router_.recordWorkTime(Measure_(Time_));
  const std::optional<TransferTarget> Target = Router_.chooseTarget(Status);
  if (!Target || IsTransferring_)
    return;
  IsTransferring_ = true;
  const auto InMicroseconds = [](Duration Value) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::microseconds>(Value).count());
  };
  Event Line;
  Line.Kind_ = EventKind::LeadershipHandedOver;
  Line.Term_ = Status.Term_;
  Line.Reason_ = "the probe takes " + InMicroseconds(Router_.getWorkTime()) +
                 " us on this VM and " + InMicroseconds(Target->WorkTime_) +
                 " us on " + Target->Name_;
  Log_.write(Line);
  Meter_.add(jobs::JobCounter::LeadershipTransfers, 1);
  Instance.Replica_->transferLeadershipTo(
      Target->Name_, [Weak = weak_from_this()](const Outcome<void> &) {
        if (const std::shared_ptr<Impl> Self = Weak.lock())
          Self->Strand_.post([Self] { Self->IsTransferring_ = false; });
      });
}

void ControlNode::Impl::askForPlace(const std::string &Member) {
  Links_.call(
      Member, wire::MessageKind::MemberPlace, "", PlaceTimeout,
      [Weak = weak_from_this(), Member](const Outcome<std::string> &Answer) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || !Answer)
          return;
        Self->Strand_.post([Self, Member, Place = Answer.value()] {
          Self->Places_.recordPlace(Member, Place);
        });
      });
}

void ControlNode::Impl::runUrgent(OperatorCalls::LeaderWork Work) {
  Strand_.postUrgent([Self = shared_from_this(), Work = std::move(Work)] {
    const std::shared_ptr<ReplicaInstance> Instance = Self->getInstance();
    Work(Instance ? Instance->Leader_.get() : nullptr);
  });
}

void ControlNode::Impl::publishLoad(const ReplicaInstance &Instance) {
  const TimePoint Now = Time_.now();
  if (Now < NextLoadAt_)
    return;
  NextLoadAt_ = Now + LoadInterval;
  LoadMeter_.publish(Instance.Leader_->describeLoad());
}

/// Closes a replica whose disk has failed, and retries opening a closed one.
void ControlNode::Impl::checkReplica() {
  {
    const std::lock_guard Hold(Lock_);
    if (Stopped_)
      return;
  }
  Router_.checkTimeouts();
  Event Line;
  Line.Kind_ = EventKind::StorageTrouble;
  if (std::shared_ptr<ReplicaInstance> Instance = getInstance()) {
    const replication::ReplicaStatus Status = Instance->Replica_->getStatus();
    ReplicaEvents_.update(Status);
    transferIfSlow(*Instance, Status);
    if (Status.IsLeader_)
      Places_.poll(Status, *Instance->Replica_);
    publishLoad(*Instance);
    if (!Status.Failure_.empty()) {
      LoadMeter_.publish({});
      {
        const std::lock_guard Hold(Lock_);
        Instance_.reset();
      }
      Instance->end();
      Line.Outcome_ = "closed";
      Line.Reason_ = Status.Failure_;
      Log_.write(Line);
    }
  } else if (const Outcome<void> Opened = openReplica(); Opened) {
    Line.Outcome_ = "opened again";
    Log_.write(Line);
  }
  Strand_.postAfter(CheckInterval, [Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->checkReplica();
  });
}

void ControlNode::Impl::stop() {
  std::shared_ptr<ReplicaInstance> LastInstance;
  {
    const std::lock_guard Hold(Lock_);
    if (std::exchange(Stopped_, true))
      return;
    LastInstance = std::exchange(Instance_, nullptr);
  }
  if (Server_)
    Server_->stop();
  if (LastInstance) {
    // Waits for the replica to stop, as the caller may remove its folder next.
    std::promise<void> Ended;
    Strand_.post([&LastInstance, &Ended] {
      LastInstance->end();
      Ended.set_value();
    });
    Ended.get_future().wait();
  }
  Links_.stop();
}

std::string ControlNode::Impl::makeGroupView() const {
  jobs::GroupView View;
  if (const std::shared_ptr<ReplicaInstance> Instance = getInstance()) {
    const replication::ReplicaStatus Status = Instance->Replica_->getStatus();
    View.Leader_ = Status.LeaderName_;
    for (const replication::Member &Member : Status.Members_)
      View.Members_.push_back(Member.Id_.Name_);
  }
  return jobs::encodeGroupView(View);
}

void ControlNode::Impl::handleMessage(wire::MessageKind Kind, std::string Body,
                                      net::LinkReply Reply) {
  if (Kind == wire::MessageKind::Replication) {
    if (const std::shared_ptr<ReplicaInstance> Instance = getInstance())
      Instance->Replica_->receive(std::move(Body));
    return;
  }
  if (Kind == wire::MessageKind::GroupView)
    return Reply(makeGroupView());
  if (Kind == wire::MessageKind::ServerReports) {
    Outcome<jobs::ReportBatch> Batch = jobs::decodeReports(Body);
    if (!Batch)
      return Reply(std::move(Batch).as_failure());
    return Strand_.post([Self = shared_from_this(), Reply,
                         ReceivedAt = Time_.now(),
                         Batch = std::move(Batch.value())]() mutable {
      Self->Router_.receiveBatch(std::move(Batch), ReceivedAt, Reply);
    });
  }
  if (Kind == wire::MessageKind::FlushRequest) {
    Outcome<jobs::FlushRequest> Request = jobs::decodeFlushRequest(Body);
    if (!Request)
      return Reply(std::move(Request).as_failure());
    return Strand_.post([Self = shared_from_this(), Reply,
                         Request = std::move(Request.value())] {
      Self->Router_.flushServers(Request);
      Reply(std::string());
    });
  }
  if (Kind == wire::MessageKind::LeaseQuery) {
    Outcome<jobs::LeaseQuery> Query = jobs::decodeLeaseQuery(Body);
    if (!Query)
      return Reply(std::move(Query).as_failure());
    return Strand_.post([Self = shared_from_this(), Reply,
                         Query = std::move(Query.value())] {
      Reply(jobs::encodeLeaseQueryReply(Self->Router_.answerLeaseQuery(Query)));
    });
  }
  if (Kind == wire::MessageKind::ReportWitness) {
    Outcome<jobs::WitnessRequest> Request = jobs::decodeWitnessRequest(Body);
    if (!Request)
      return Reply(std::move(Request).as_failure());
    return Strand_.post([Self = shared_from_this(), Reply,
                         Request = std::move(Request.value())] {
      Self->Router_.recordWitnessed(Request);
      Reply(std::string());
    });
  }
  if (Kind == wire::MessageKind::MemberPlace)
    return Reply(Settings_.DataCentre_);
  if (Kind == wire::MessageKind::ClusterOrder)
    return OperatorCalls_.handleOrder(Body, Reply);
  if (Kind == wire::MessageKind::ConfigurationQuery)
    return OperatorCalls_.handleConfigurationQuery(Reply);
  if (Kind != wire::MessageKind::JobCall)
    return Reply(fail(ErrorCode::InvalidArgument, "unsupported message kind"));
  Outcome<jobs::JobCall> Call = jobs::decodeCall(Body);
  if (!Call)
    return Reply(std::move(Call).as_failure());
  runOnLeader<jobs::JobCallReply>(
      [Reply](const Outcome<jobs::JobCallReply> &Answer) {
        // Unavailable would tell the caller that the frame was never sent.
        if (!Answer && Answer.error().Code_ == ErrorCode::Unavailable)
          return Reply(fail(ErrorCode::NotLeader, ""));
        if (!Answer)
          return Reply(Answer.error());
        Reply(jobs::encodeCallReply(Answer.value()));
      },
      [Call = std::move(Call.value())](jobs::JobLeader &Leader,
                                       Done<jobs::JobCallReply> Answer) {
        Leader.call(Call, std::move(Answer));
      });
}

ControlNode::ControlNode(const ControlNodeSettings &Settings, net::IoPool &Pool,
                         const Clock &Time, jobs::Advisor &Advisor,
                         jobs::VmProvider &Provider, net::Metrics &Metrics,
                         EventLog &Log, OpenReplica Open, MeasureWork Measure)
    : Impl_(std::make_shared<Impl>(Settings, Pool, Time, Advisor, Provider,
                                   Metrics, Log, std::move(Open),
                                   std::move(Measure))) {}
ControlNode::~ControlNode() { stop(); }

Outcome<void> ControlNode::start() { return Impl_->start(); }
void ControlNode::stop() { Impl_->stop(); }

void ControlNode::transferLeadership(std::function<void()> OnDone) {
  const std::shared_ptr<ReplicaInstance> Instance = Impl_->getInstance();
  if (!Instance)
    return OnDone();
  const replication::ReplicaStatus Status = Instance->Replica_->getStatus();
  if (!Status.IsLeader_ || Status.Members_.size() < 2)
    return OnDone();
  Instance->Replica_->transferLeadership(
      [OnDone = std::move(OnDone)](const Outcome<void> &) { OnDone(); });
}

void ControlNode::call(jobs::JobCall Call, Done<jobs::JobCallReply> Reply) {
  Impl_->runOnLeader<jobs::JobCallReply>(
      std::move(Reply),
      [Call = std::move(Call)](jobs::JobLeader &Leader,
                               Done<jobs::JobCallReply> Callback) {
        Leader.call(Call, std::move(Callback));
      });
}

void ControlNode::report(jobs::ServerReport Report,
                         Done<jobs::ServerOrders> Reply) {
  Impl_->strand().post([Impl = Impl_, Report = std::move(Report),
                        Reply = std::move(Reply)]() mutable {
    Impl->router().report(std::move(Report), std::move(Reply));
  });
}

void ControlNode::leave(const std::string &ServerId, Done<void> Reply) {
  Impl_->runOnLeader<void>(std::move(Reply), [ServerId](jobs::JobLeader &Leader,
                                                        Done<void> Callback) {
    Leader.leave(ServerId, std::move(Callback));
  });
}

void ControlNode::putConfiguration(jobs::Configuration NewConfiguration,
                                   Done<void> Reply) {
  Impl_->operatorCalls().order(
      jobs::PutConfiguration{std::move(NewConfiguration)}, std::move(Reply));
}

void ControlNode::readConfiguration(Done<jobs::Configuration> Reply) {
  Impl_->operatorCalls().readConfiguration(std::move(Reply));
}

void ControlNode::startWave(jobs::WaveSpec Spec, Done<void> Reply) {
  Impl_->operatorCalls().order(jobs::StartWave{std::move(Spec)},
                               std::move(Reply));
}

void ControlNode::evacuate(jobs::EvacuateDataCentre Order, Done<void> Reply) {
  Impl_->operatorCalls().order(Order, std::move(Reply));
}

void ControlNode::showWave(std::uint64_t Wave, Done<jobs::WaveRecord> Reply) {
  Impl_->operatorCalls().showWave(Wave, std::move(Reply));
}

void ControlNode::findFencingToken(Done<std::uint64_t> Reply) {
  Impl_->runOnLeader<std::uint64_t>(
      std::move(Reply),
      [this](jobs::JobLeader &Leader, Done<std::uint64_t> Callback) {
        if (const auto Token = Leader.findFencingToken())
          return Callback(*Token);
        Callback(Error::make(ErrorCode::NotLeader, getLeader()));
      });
}

std::string ControlNode::getLeader() const {
  return Impl_->getStatus().LeaderName_;
}

replication::ReplicaStatus ControlNode::getStatus() const {
  return Impl_->getStatus();
}

std::string ControlNode::makeDump() const {
  const std::shared_ptr<ReplicaInstance> Instance = Impl_->getInstance();
  return Instance
             ? makeStateDump(Instance->Replica_->getStatus(),
                             Instance->Machine_, *Impl_->readLoad())
             : makeFailureDump("the replica is closed after a disk failure");
}
