#include "tulipweir/jobservice/ControlNode.h"

#include "tulipweir/jobservice/MemberLinks.h"
#include "tulipweir/net/StrandExecutor.h"

#include <nlohmann/json.hpp>

using namespace tulipweir;
using namespace tulipweir::jobservice;

static constexpr const char *GroupName = "jobs";
/// Two may be lost without a gap in the leader's lease, which lasts 7/8 of the
/// election timeout.
static constexpr int HeartbeatsPerElection = 5;

static replication::ReplicaSettings
makeReplicaSettings(const ControlNodeSettings &Settings) {
  replication::ReplicaSettings Result;
  Result.Group_ = GroupName;
  Result.Name_ = Settings.Name_;
  if (!Settings.DataFolder_.empty())
    Result.Folder_ = Settings.DataFolder_ + "/" + GroupName;
  Result.FirstVoters_ = Settings.Seeds_;
  Result.MayFound_ = Settings.MayFound_;
  Result.TargetVoters_ = Settings.Voters_;
  Result.ElectionTimeout_ = Settings.ElectionTimeout_;
  Result.HeartbeatInterval_ = Settings.ElectionTimeout_ / HeartbeatsPerElection;
  Result.Seed_ = std::hash<std::string>()(Settings.Name_);
  return Result;
}

class ControlNode::Impl {
public:
  Impl(const ControlNodeSettings &Settings, net::IoPool &Pool,
       const Clock &Time, net::Metrics &Metrics, EventLog &Log)
      : Settings_(Settings), Pool_(Pool), Time_(Time), Log_(Log),
        Links_(Pool.context(), Settings.Name_, Settings.LinkPort_,
               makeMemberLinkSettings(Settings.Secret_)),
        Strand_(Pool), Metrics_(Metrics) {}
  ~Impl() { stop(); }

  Outcome<void> start();
  void stop();
  void handle(wire::MessageKind Kind, std::string Body, net::LinkReply Reply);
  std::string makeView() const;

  const ControlNodeSettings Settings_;
  net::IoPool &Pool_;
  const Clock &Time_;
  EventLog &Log_;
  MemberLinks Links_;
  net::StrandExecutor Strand_;
  jobs::JobMachine Machine_;
  std::unique_ptr<replication::Replica> Group_;
  std::unique_ptr<jobs::JobLeader> Leader_;
  std::unique_ptr<net::LinkServer> Server_;

private:
  net::Metrics &Metrics_;
  bool Stopped_ = false;
};

Outcome<void> ControlNode::Impl::start() {
  auto Opened = replication::Replica::open(makeReplicaSettings(Settings_),
                                           Machine_, Links_, Time_);
  if (!Opened)
    return std::move(Opened).as_failure();
  Group_ = std::move(Opened.value());
  Leader_ = std::make_unique<jobs::JobLeader>(Settings_.Leader_, Time_, Strand_,
                                              *Group_, Machine_, Log_);
  net::Endpoint Listen;
  Listen.Address_ = net::Endpoint::parse(Settings_.Name_).value().Address_;
  Listen.Port_ = Settings_.LinkPort_;
  Server_ = std::make_unique<net::LinkServer>(
      Pool_.context(), Listen, makeMemberLinkSettings(Settings_.Secret_),
      [this](wire::MessageKind Kind, std::string Body, net::LinkReply Reply) {
        handle(Kind, std::move(Body), std::move(Reply));
      });
  auto Bound = Server_->start();
  if (!Bound)
    return std::move(Bound).as_failure();
  Strand_.post([this] { Leader_->start(); });
  return succeed();
}

void ControlNode::Impl::stop() {
  if (std::exchange(Stopped_, true))
    return;
  if (Server_)
    Server_->stop();
  Links_.stop();
  if (Group_)
    Group_->stop();
}

std::string ControlNode::Impl::makeView() const {
  const replication::ReplicaStatus Status = Group_->getStatus();
  jobs::GroupView View{Status.LeaderName_, {}};
  for (const replication::Member &Each : Status.Members_)
    View.Members_.push_back(Each.Id_.Name_);
  return jobs::encodeGroupView(View);
}

void ControlNode::Impl::handle(wire::MessageKind Kind, std::string Body,
                               net::LinkReply Reply) {
  if (Kind == wire::MessageKind::Replication)
    return Group_->receive(std::move(Body));
  if (Kind == wire::MessageKind::GroupView)
    return Reply(makeView());
  if (Kind != wire::MessageKind::JobCall)
    return Reply(fail(ErrorCode::InvalidArgument, "no such message here"));
  Outcome<jobs::JobCall> Call = jobs::decodeCall(Body);
  if (!Call)
    return Reply(std::move(Call).as_failure());
  Strand_.post([this, Call = std::move(Call.value()), Reply] {
    Leader_->call(Call, [Reply](const Outcome<jobs::JobCallReply> &Answer) {
      if (!Answer)
        return Reply(Answer.error());
      Reply(jobs::encodeCallReply(Answer.value()));
    });
  });
}

ControlNode::ControlNode(const ControlNodeSettings &Settings, net::IoPool &Pool,
                         const Clock &Time, net::Metrics &Metrics,
                         EventLog &Log)
    : Impl_(std::make_unique<Impl>(Settings, Pool, Time, Metrics, Log)) {}
ControlNode::~ControlNode() = default;

Outcome<void> ControlNode::start() { return Impl_->start(); }
void ControlNode::stop() { Impl_->stop(); }

void ControlNode::handOver(std::function<void()> Moved) {
  const replication::ReplicaStatus Status = Impl_->Group_->getStatus();
  if (!Status.IsLeader_ || Status.Members_.size() < 2)
    return Moved();
  Impl_->Group_->transferLeadership(
      [Moved = std::move(Moved)](const Outcome<void> &) { Moved(); });
}

void ControlNode::call(jobs::JobCall Call, Done<jobs::JobCallReply> Reply) {
  Impl_->Strand_.post([this, Call = std::move(Call), Reply] {
    Impl_->Leader_->call(Call, Reply);
  });
}

void ControlNode::report(jobs::ServerReport Report,
                         Done<jobs::ServerOrders> Reply) {
  Impl_->Strand_.post([this, Report = std::move(Report), Reply]() mutable {
    Impl_->Leader_->report(std::move(Report), Reply);
  });
}

void ControlNode::leave(const std::string &ServerId, Done<void> Reply) {
  Impl_->Strand_.post(
      [this, ServerId, Reply] { Impl_->Leader_->leave(ServerId, Reply); });
}

void ControlNode::putConfiguration(jobs::Configuration Value,
                                   Done<void> Reply) {
  Impl_->Strand_.post([this, Value = std::move(Value), Reply]() mutable {
    Impl_->Leader_->putConfiguration(std::move(Value), Reply);
  });
}

void ControlNode::readConfiguration(Done<jobs::Configuration> Reply) {
  Impl_->Strand_.post(
      [this, Reply] { Impl_->Leader_->readConfiguration(Reply); });
}

std::string ControlNode::getLeader() const {
  return Impl_->Group_->getStatus().LeaderName_;
}

std::string ControlNode::makeDump() const {
  const replication::ReplicaStatus Status = Impl_->Group_->getStatus();
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
  Impl_->Machine_.read([&Dump](const jobs::JobBook &Book) {
    Dump["configuration"] = Book.configuration().Version_;
    Dump["jobs"] = Book.jobs().size();
    Dump["servers"] = Book.servers().size();
    Dump["readySteps"] = Book.readySteps().size();
    return 0;
  });
  return Dump.dump();
}
