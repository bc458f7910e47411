#include "tulipweir/jobservice/ControlNode.h"

#include "jobservice/ControlLife.h"
#include "jobservice/JobMetrics.h"
#include "jobservice/ReportRouter.h"
#include "tulipweir/jobservice/MemberLinks.h"
#include "tulipweir/net/StrandExecutor.h"

#include <nlohmann/json.hpp>

#include <future>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// Tasks and jobs that a dump names of each kind.
static constexpr std::size_t MostDumped = 50;
static constexpr const char *GroupName = "jobs";
/// Two may be lost without a gap in the leader's lease, which lasts 7/8 of the
/// election timeout.
static constexpr int HeartbeatsPerElection = 5;
/// A thousand reports a second would each be an append to every member, with
/// its answer; a third of a commit's time gathers them.
static constexpr Duration ProposalPause = std::chrono::milliseconds(3);
/// One that is being synced and one on its way.
static constexpr std::size_t MessagesInFlight = 2;
/// How often the replica's disk and members are looked at.
static constexpr Duration WatchInterval = std::chrono::milliseconds(250);

static replication::ReplicaSettings
makeReplicaSettings(const ControlNodeSettings &Settings) {
  replication::ReplicaSettings Result;
  Result.Group_ = GroupName;
  Result.Name_ = Settings.Name_;
  if (!Settings.DataFolder_.empty())
    Result.Folder_ = Settings.DataFolder_ + "/" + GroupName;
  Result.InitialVoters_ = Settings.Seeds_;
  Result.MayBootstrap_ = Settings.MayFound_;
  Result.TargetVoters_ = Settings.Voters_;
  Result.ElectionTimeout_ = Settings.ElectionTimeout_;
  Result.HeartbeatInterval_ = Settings.ElectionTimeout_ / HeartbeatsPerElection;
  Result.ProposalBatchInterval_ = ProposalPause;
  Result.MaxMessagesInFlight_ = MessagesInFlight;
  Result.Seed_ = std::hash<std::string>()(Settings.Name_);
  return Result;
}

class ControlNode::Impl
    : public std::enable_shared_from_this<ControlNode::Impl> {
public:
  Impl(const ControlNodeSettings &Settings, net::IoPool &Pool,
       const Clock &Time, jobs::Advisor &Advising, jobs::VmProvider &Provider,
       net::Metrics &Metrics, EventLog &Log, OpenReplica Open,
       MeasureWork Measure)
      : Settings_(Settings), Pool_(Pool), Time_(Time), Advisor_(Advising),
        Provider_(Provider), Log_(Log), Meter_(Metrics), Open_(std::move(Open)),
        Measure_(Measure ? std::move(Measure) : MeasureWork(&timeWork)),
        Links_(Pool.context(), Settings.Name_, Settings.LinkPort_,
               makeMemberLinkSettings(Settings.Secret_)),
        Strand_(Pool), Router_(Settings.Name_, Strand_, Time, Links_, Meter_,
                               [this] { return getLife(); }) {}

  Outcome<void> start();
  void stop();

  /// Runs Work with the leader's side on the strand, or fails.
  template <class Value, class Function>
  void run(Done<Value> Reply, Function Work) {
    Strand_.post([Self = shared_from_this(), Reply = std::move(Reply),
                  Work = std::move(Work)]() mutable {
      const std::shared_ptr<ControlLife> Current = Self->getLife();
      if (!Current)
        return Reply(fail(ErrorCode::Unavailable, "the disk fails"));
      Work(*Current->Leader_, std::move(Reply));
    });
  }
  std::shared_ptr<ControlLife> getLife() const {
    const std::lock_guard Hold(Lock_);
    return Life_;
  }
  net::StrandExecutor &strand() { return Strand_; }
  /// Where servers' reports are taken; on the strand, while this lives.
  ReportRouter &router() { return Router_; }

private:
  Outcome<void> openLife();
  void watch();
  void noteStatus(const replication::ReplicaStatus &Status);
  void handOverIfSlow(const ControlLife &Current,
                      const replication::ReplicaStatus &Status);
  void handle(wire::MessageKind Kind, std::string Body, net::LinkReply Reply);
  std::string makeView() const;

  const ControlNodeSettings Settings_;
  net::IoPool &Pool_;
  const Clock &Time_;
  jobs::Advisor &Advisor_;
  jobs::VmProvider &Provider_;
  EventLog &Log_;
  JobMetrics Meter_;
  const OpenReplica Open_;
  const MeasureWork Measure_;
  MemberLinks Links_;
  net::StrandExecutor Strand_;
  std::unique_ptr<net::LinkServer> Server_;
  // On the strand only.
  std::vector<replication::Member> LastMembers_;
  bool IsHandingOver_ = false;
  ReportRouter Router_;
  mutable std::mutex Lock_;
  bool Stopped_ = false;              ///< Guarded by Lock_, as is Life_.
  std::shared_ptr<ControlLife> Life_; ///< None while the disk fails.
};

Outcome<void> ControlNode::Impl::openLife() {
  const auto Fresh = std::make_shared<ControlLife>();
  auto Opened =
      Open_(makeReplicaSettings(Settings_), Fresh->Machine_, Links_, Time_);
  if (!Opened)
    return std::move(Opened).as_failure();
  Fresh->Group_ = std::move(Opened.value());
  Fresh->Leader_ = std::make_unique<jobs::JobLeader>(
      Settings_.Leader_, Time_, Strand_, *Fresh->Group_, Fresh->Machine_,
      Advisor_, Provider_, Router_.relays(), Log_, Meter_);
  {
    const std::lock_guard Hold(Lock_);
    if (Stopped_)
      return fail(ErrorCode::Unavailable, "stopping");
    Life_ = Fresh;
  }
  Strand_.post([Weak = std::weak_ptr(Fresh)] {
    const std::shared_ptr<ControlLife> Current = Weak.lock();
    if (Current && Current->Leader_)
      Current->Leader_->start();
  });
  return succeed();
}

Outcome<void> ControlNode::Impl::start() {
  Router_.keepAlive(weak_from_this());
  if (Outcome<void> Opened = openLife(); !Opened)
    return Opened;
  net::Endpoint Listen;
  Listen.Address_ = net::Endpoint::parse(Settings_.Name_).value().Address_;
  Listen.Port_ = Settings_.LinkPort_;
  Server_ = std::make_unique<net::LinkServer>(
      Pool_.context(), Listen, makeMemberLinkSettings(Settings_.Secret_),
      [Weak = weak_from_this()](wire::MessageKind Kind, std::string Body,
                                net::LinkReply Reply) {
        if (const std::shared_ptr<Impl> Self = Weak.lock())
          Self->handle(Kind, std::move(Body), std::move(Reply));
      });
  auto Bound = Server_->start();
  if (!Bound)
    return std::move(Bound).as_failure();
  Strand_.post([Self = shared_from_this()] { Self->watch(); });
  return succeed();
}

void ControlNode::Impl::noteStatus(const replication::ReplicaStatus &Status) {
  if (Status.Members_ == LastMembers_)
    return;
  LastMembers_ = Status.Members_;
  Event Line;
  Line.Kind_ = EventKind::MembersChanged;
  Line.Term_ = Status.Term_;
  Line.Count_ = Status.Members_.size();
  for (const replication::Member &Each : Status.Members_)
    Line.Reason_ +=
        Each.Id_.Name_ + (Each.Role_ == replication::MemberRole::Voter
                              ? " votes, "
                              : " learns, ");
  Log_.write(Line);
}

/// A leader on a VM that has become slow gives way to a faster one while
/// servers still have their leases; under a load that is too much for any VM it
/// stays.
void ControlNode::Impl::handOverIfSlow(
    const ControlLife &Current, const replication::ReplicaStatus &Status) {
  Router_.noteWorkTime(Measure_(Time_));
  const std::optional<TransferTarget> Better = Router_.chooseTarget(Status);
  if (!Better || IsHandingOver_)
    return;
  IsHandingOver_ = true;
  const auto InMicroseconds = [](Duration Value) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::microseconds>(Value).count());
  };
  Event Line;
  Line.Kind_ = EventKind::LeadershipHandedOver;
  Line.Term_ = Status.Term_;
  Line.Reason_ = "what takes " + InMicroseconds(Router_.getWorkTime()) +
                 " us here now takes " + InMicroseconds(Better->WorkTime_) +
                 " us at " + Better->Name_;
  Log_.write(Line);
  Meter_.add(jobs::Counted::HandOvers, 1);
  Current.Group_->transferLeadershipTo(
      Better->Name_, [Weak = weak_from_this()](const Outcome<void> &) {
        if (const std::shared_ptr<Impl> Self = Weak.lock())
          Self->Strand_.post([Self] { Self->IsHandingOver_ = false; });
      });
}

/// Closes a replica whose disk failed, and opens it again once that works.
void ControlNode::Impl::watch() {
  {
    const std::lock_guard Hold(Lock_);
    if (Stopped_)
      return;
  }
  Router_.look();
  Event Line;
  Line.Kind_ = EventKind::StorageTrouble;
  if (std::shared_ptr<ControlLife> Current = getLife()) {
    const replication::ReplicaStatus Status = Current->Group_->getStatus();
    noteStatus(Status);
    handOverIfSlow(*Current, Status);
    if (!Status.Failure_.empty()) {
      {
        const std::lock_guard Hold(Lock_);
        Life_.reset();
      }
      Current->end();
      Line.Outcome_ = "closed";
      Line.Reason_ = Status.Failure_;
      Log_.write(Line);
    }
  } else if (const Outcome<void> Opened = openLife(); Opened) {
    Line.Outcome_ = "opened again";
    Log_.write(Line);
  }
  Strand_.postAfter(WatchInterval, [Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->watch();
  });
}

void ControlNode::Impl::stop() {
  std::shared_ptr<ControlLife> Last;
  {
    const std::lock_guard Hold(Lock_);
    if (std::exchange(Stopped_, true))
      return;
    Last = std::exchange(Life_, nullptr);
  }
  if (Server_)
    Server_->stop();
  if (Last) {
    // Waited for, as the caller may take the folder away next.
    std::promise<void> Ended;
    Strand_.post([&Last, &Ended] {
      Last->end();
      Ended.set_value();
    });
    Ended.get_future().wait();
  }
  Links_.stop();
}

std::string ControlNode::Impl::makeView() const {
  jobs::GroupView View;
  if (const std::shared_ptr<ControlLife> Current = getLife()) {
    const replication::ReplicaStatus Status = Current->Group_->getStatus();
    View.Leader_ = Status.LeaderName_;
    for (const replication::Member &Each : Status.Members_)
      View.Members_.push_back(Each.Id_.Name_);
  }
  return jobs::encodeGroupView(View);
}

void ControlNode::Impl::handle(wire::MessageKind Kind, std::string Body,
                               net::LinkReply Reply) {
  if (Kind == wire::MessageKind::Replication) {
    if (const std::shared_ptr<ControlLife> Current = getLife())
      Current->Group_->receive(std::move(Body));
    return;
  }
  if (Kind == wire::MessageKind::GroupView)
    return Reply(makeView());
  if (Kind == wire::MessageKind::ServerReports) {
    Outcome<jobs::ReportBatch> Batch = jobs::decodeReports(Body);
    if (!Batch)
      return Reply(std::move(Batch).as_failure());
    return Strand_.post([Self = shared_from_this(), Reply,
                         ReceivedAt = Time_.now(),
                         Batch = std::move(Batch.value())]() mutable {
      Self->Router_.take(std::move(Batch), ReceivedAt, Reply);
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
  if (Kind != wire::MessageKind::JobCall)
    return Reply(fail(ErrorCode::InvalidArgument, "no such message here"));
  Outcome<jobs::JobCall> Call = jobs::decodeCall(Body);
  if (!Call)
    return Reply(std::move(Call).as_failure());
  run<jobs::JobCallReply>(
      [Reply](const Outcome<jobs::JobCallReply> &Answer) {
        // Unavailable would say that the frame never left.
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
                         const Clock &Time, jobs::Advisor &Advising,
                         jobs::VmProvider &Provider, net::Metrics &Metrics,
                         EventLog &Log, OpenReplica Open, MeasureWork Measure)
    : Impl_(std::make_shared<Impl>(Settings, Pool, Time, Advising, Provider,
                                   Metrics, Log, std::move(Open),
                                   std::move(Measure))) {}
ControlNode::~ControlNode() { stop(); }

Outcome<void> ControlNode::start() { return Impl_->start(); }
void ControlNode::stop() { Impl_->stop(); }

void ControlNode::handOver(std::function<void()> Moved) {
  const std::shared_ptr<ControlLife> Current = Impl_->getLife();
  if (!Current)
    return Moved();
  const replication::ReplicaStatus Status = Current->Group_->getStatus();
  if (!Status.IsLeader_ || Status.Members_.size() < 2)
    return Moved();
  Current->Group_->transferLeadership(
      [Moved = std::move(Moved)](const Outcome<void> &) { Moved(); });
}

void ControlNode::call(jobs::JobCall Call, Done<jobs::JobCallReply> Reply) {
  Impl_->run<jobs::JobCallReply>(
      std::move(Reply), [Call = std::move(Call)](jobs::JobLeader &Leader,
                                                 Done<jobs::JobCallReply> To) {
        Leader.call(Call, std::move(To));
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
  Impl_->run<void>(std::move(Reply),
                   [ServerId](jobs::JobLeader &Leader, Done<void> To) {
                     Leader.leave(ServerId, std::move(To));
                   });
}

void ControlNode::putConfiguration(jobs::Configuration Value,
                                   Done<void> Reply) {
  Impl_->run<void>(std::move(Reply),
                   [Value = std::move(Value)](jobs::JobLeader &Leader,
                                              Done<void> To) mutable {
                     Leader.putConfiguration(std::move(Value), std::move(To));
                   });
}

void ControlNode::readConfiguration(Done<jobs::Configuration> Reply) {
  Impl_->run<jobs::Configuration>(
      std::move(Reply),
      [](jobs::JobLeader &Leader, Done<jobs::Configuration> To) {
        Leader.readConfiguration(std::move(To));
      });
}

void ControlNode::startWave(jobs::WaveSpec Spec, Done<void> Reply) {
  Impl_->run<void>(
      std::move(Reply),
      [Spec = std::move(Spec)](jobs::JobLeader &Leader, Done<void> To) {
        Leader.startWave(Spec, std::move(To));
      });
}

void ControlNode::evacuate(jobs::EvacuateDataCentre Order, Done<void> Reply) {
  Impl_->run<void>(
      std::move(Reply),
      [Order = std::move(Order)](jobs::JobLeader &Leader, Done<void> To) {
        Leader.evacuate(Order, std::move(To));
      });
}

void ControlNode::showWave(std::uint64_t Wave, Done<jobs::WaveRecord> Reply) {
  Impl_->run<jobs::WaveRecord>(
      std::move(Reply),
      [Wave](jobs::JobLeader &Leader, Done<jobs::WaveRecord> To) {
        Leader.showWave(Wave, std::move(To));
      });
}

void ControlNode::findFencingToken(Done<std::uint64_t> Reply) {
  Impl_->run<std::uint64_t>(std::move(Reply), [this](jobs::JobLeader &Leader,
                                                     Done<std::uint64_t> To) {
    if (const auto Token = Leader.findFencingToken())
      return To(*Token);
    To(Error::make(ErrorCode::NotLeader, getLeader()));
  });
}

std::string ControlNode::getLeader() const {
  const std::shared_ptr<ControlLife> Current = Impl_->getLife();
  return Current ? Current->Group_->getStatus().LeaderName_ : "";
}

replication::ReplicaStatus ControlNode::getStatus() const {
  const std::shared_ptr<ControlLife> Current = Impl_->getLife();
  return Current ? Current->Group_->getStatus() : replication::ReplicaStatus{};
}

/// The tasks under which servers crashed, and the jobs given up for that.
static void addCrashes(const jobs::JobBook &Book, nlohmann::json &Dump) {
  nlohmann::json Suspects = nlohmann::json::array();
  for (const auto &[Key, Servers] : Book.crashSuspects()) {
    if (Suspects.size() >= MostDumped)
      break;
    const jobs::CrashRecords &Crashes = Book.findTask(Key)->Crashes_;
    Suspects.push_back({{"job", Key.Job_},
                        {"task", toText(Key)},
                        {"crashes", Crashes.size()},
                        {"servers", Servers}});
  }
  nlohmann::json GivenUp = nlohmann::json::array();
  for (const auto &[Id, Job] : Book.jobs())
    if (Job.Cause_ == jobs::FailureCause::Crashes &&
        GivenUp.size() < MostDumped)
      GivenUp.push_back({{"job", Id}, {"reason", Job.Reason_}});
  Dump["crashSuspects"] = Book.crashSuspects().size();
  Dump["suspected"] = std::move(Suspects);
  Dump["givenUp"] = std::move(GivenUp);
}

std::string ControlNode::makeDump() const {
  const std::shared_ptr<ControlLife> Current = Impl_->getLife();
  if (!Current)
    return nlohmann::json{{"failure", "the disk fails"}}.dump();
  const replication::ReplicaStatus Status = Current->Group_->getStatus();
  nlohmann::json Dump = {{"name", Status.Self_.Name_},
                         {"incarnation", Status.Self_.Incarnation_},
                         {"leads", Status.IsLeader_},
                         {"leader", Status.LeaderName_},
                         {"term", Status.Term_},
                         {"commit", Status.CommitIndex_},
                         {"applied", Status.AppliedIndex_},
                         {"logBytes", Status.LogBytes_},
                         {"syncs", Status.Syncs_},
                         {"failure", Status.Failure_}};
  for (const replication::Member &Each : Status.Members_)
    Dump["members"].push_back(
        {{"name", Each.Id_.Name_},
         {"votes", Each.Role_ == replication::MemberRole::Voter}});
  Current->Machine_.read([&Dump](const jobs::JobBook &Book) {
    Dump["configuration"] = Book.configuration().Version_;
    Dump["jobs"] = Book.jobs().size();
    Dump["servers"] = Book.servers().size();
    Dump["readySteps"] = Book.readySteps().size();
    Dump["evacuated"] = Book.evacuated();
    addCrashes(Book, Dump);
    return 0;
  });
  return Dump.dump();
}
