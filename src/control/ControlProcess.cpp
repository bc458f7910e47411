#include "tulipweir/control/ControlProcess.h"

#include "control/ControlCore.h"
#include "control/ControlMetrics.h"
#include "control/PeerLinks.h"
#include "replication/PosixFileSystem.h"
#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/StrandExecutor.h"

#include <condition_variable>
#include <thread>

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using net::ExitCode;
using replication::Replica;
using replication::ReplicaSettings;

static constexpr const char *FleetGroupName = "fleet";
/// One heartbeat may be lost without a gap in the leader's lease, which lasts
/// 7/8 of the election timeout. More heartbeats would only add idle traffic:
/// docs/HEARTBEATS.md.
static constexpr int HeartbeatsPerElection = 3;
static constexpr Duration TransferTimeout = std::chrono::seconds(3);
static constexpr Duration PollInterval = std::chrono::milliseconds(10);

static std::vector<std::string>
listVoters(const std::vector<net::NamedEndpoint> &Members, bool Join) {
  std::vector<std::string> Names;
  for (const net::NamedEndpoint &Member : Members)
    if (!Join)
      Names.push_back(Member.Name_);
  return Names;
}

static ReplicaSettings makeReplicaSettings(const ControlSettings &Settings,
                                           const std::string &Group) {
  const bool Fleet = Group == FleetGroupName;
  ReplicaSettings Result;
  Result.Group_ = Group;
  Result.Name_ = Settings.Name_;
  if (!Settings.DataFolder_.empty())
    Result.Folder_ = Settings.DataFolder_ + "/" + Group;
  Result.InitialVoters_ =
      listVoters(Fleet ? Settings.FleetMembers_ : Settings.DataCentreMembers_,
                 Settings.Join_);
  Result.ElectionTimeout_ =
      Fleet ? Settings.FleetElectionTimeout_ : Settings.ElectionTimeout_;
  Result.HeartbeatInterval_ = Result.ElectionTimeout_ / HeartbeatsPerElection;
  Result.SnapshotEvery_ = static_cast<std::uint64_t>(Settings.SnapshotEvery_);
  Result.Seed_ = std::hash<std::string>()(Settings.Name_ + "/" + Group);
  return Result;
}

static datacentre::RecordLimits makeLimits(const ControlSettings &Settings) {
  datacentre::RecordLimits Limits;
  Limits.RetentionMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Settings.RequestRetention_)
          .count());
  Limits.MaxRecords_ = static_cast<std::uint64_t>(Settings.MaxRecords_);
  return Limits;
}

static net::LinkSettings makeLinkSettings(const ControlSettings &Settings) {
  net::LinkSettings Result;
  Result.Secret_ = Settings.Secret_;
  return Result;
}

namespace {
/// A latch with a timed wait. Shared with callbacks that may run after the wait
/// has ended.
class Latch {
public:
  explicit Latch(int Count) : Count_(Count) {}
  void countDown() {
    const std::lock_guard Lock(Mutex_);
    if (--Count_ == 0)
      Reached_.notify_all();
  }
  bool waitFor(Duration Limit) {
    std::unique_lock Lock(Mutex_);
    return Reached_.wait_for(Lock, Limit, [this] { return Count_ <= 0; });
  }

private:
  std::mutex Mutex_;
  std::condition_variable Reached_;
  int Count_;
};
} // namespace

class ControlProcess::Impl {
public:
  Impl(const ControlSettings &Settings, const Clock &Time);
  ~Impl();

  StartResult start();
  ExitCode stop();

  std::string getUnreadyReason() const;
  std::string makeDump() const;

  const ControlSettings Settings_;
  const Clock &Time_;
  net::IoPool Pool_;
  std::atomic<bool> Aborted_{false};
  net::Endpoint LinkEndpoint_;
  net::Endpoint HttpEndpoint_;

private:
  Outcome<void> openGroups();
  void handleHttp(const net::HttpRequest &Request,
                  const net::HttpRespond &Respond);
  void transferLeaderships();
  bool waitUntil(const std::function<bool()> &Done, TimePoint Deadline) const;
  void close();

  net::Metrics Metrics_;
  PeerLinks Peers_;
  ReplicationTransport DataCentreOut_;
  ReplicationTransport FleetOut_;
  ChangeFeed Feed_;
  /// Set once Core_ is ready; the state machines apply entries before that.
  std::atomic<ControlCore *> Ready_{nullptr};
  datacentre::DataCentreStateMachine DataCentreMachine_;
  fleet::FleetStateMachine FleetMachine_;
  std::unique_ptr<Replica> DataCentreGroup_;
  std::unique_ptr<Replica> FleetGroup_;
  replication::PosixFileSystem Files_;
  std::optional<BundleFile> BundleFile_;
  net::StrandExecutor DataCentreStrand_;
  net::StrandExecutor FleetStrand_;
  std::unique_ptr<ControlCore> Core_;
  net::OperatorPages Pages_;
  std::unique_ptr<net::LinkServer> Links_;
  std::unique_ptr<net::HttpServer> Http_;
  std::atomic<bool> Stopping_{false};
  bool Closed_ = false;
};

ControlProcess::Impl::Impl(const ControlSettings &Settings, const Clock &Time)
    : Settings_(Settings), Time_(Time),
      Pool_(static_cast<unsigned>(Settings.Threads_)),
      Peers_(Pool_.context(), listPeers(Settings), makeLinkSettings(Settings)),
      DataCentreOut_(Peers_, Settings.DataCentre_),
      FleetOut_(Peers_, FleetGroupName),
      DataCentreMachine_(
          makeLimits(Settings),
          [this](const datacentre::AppliedCommand &Applied) {
            Feed_.publish(Applied);
          },
          [this] {
            if (ControlCore *Core = Ready_)
              Core->onDataCentreRestored();
          }),
      FleetMachine_(
          [this](const fleet::Command &Cmd,
                 const fleet::CommandResult &Result) {
            if (ControlCore *Core = Ready_)
              Core->onFleetApplied(Cmd, Result);
          },
          [this] {
            if (ControlCore *Core = Ready_)
              Core->onFleetRestored();
          }),
      DataCentreStrand_(Pool_), FleetStrand_(Pool_),
      Pages_(
          Metrics_, [this] { return getUnreadyReason(); },
          [this] { return makeDump(); }) {}

ControlProcess::Impl::~Impl() { close(); }

Outcome<void> ControlProcess::Impl::openGroups() {
  auto DataCentreGroup =
      Replica::open(makeReplicaSettings(Settings_, Settings_.DataCentre_),
                    DataCentreMachine_, DataCentreOut_, Time_);
  if (!DataCentreGroup)
    return std::move(DataCentreGroup).as_failure();
  DataCentreGroup_ = std::move(DataCentreGroup.value());
  auto FleetGroup =
      Replica::open(makeReplicaSettings(Settings_, FleetGroupName),
                    FleetMachine_, FleetOut_, Time_);
  if (!FleetGroup)
    return std::move(FleetGroup).as_failure();
  FleetGroup_ = std::move(FleetGroup.value());
  // The replicas have rejected a folder of another member and hold its locks.
  if (!Settings_.DataFolder_.empty())
    BundleFile_.emplace(Files_, Settings_.DataFolder_);
  return succeed();
}

ControlProcess::StartResult ControlProcess::Impl::start() {
  for (const std::string &Warning : listSettingWarnings(Settings_))
    spdlog::warn("{}", Warning);
  if (const Outcome<void> Opened = openGroups(); !Opened)
    return {ExitCode::StorageFailed, Opened.error().Message_};
  Core_ = std::make_unique<ControlCore>(
      Settings_,
      CoreParts{Time_, DataCentreStrand_, FleetStrand_, Peers_, Feed_,
                DataCentreMachine_, FleetMachine_, *DataCentreGroup_,
                *FleetGroup_, Metrics_, BundleFile_ ? &*BundleFile_ : nullptr});
  addGroupMetrics(Metrics_, Settings_.DataCentre_, *DataCentreGroup_,
                  DataCentreOut_);
  addGroupMetrics(Metrics_, FleetGroupName, *FleetGroup_, FleetOut_);
  addBundleMetrics(Metrics_, Core_->getBundleStore(), FleetMachine_);
  Peers_.addMetrics(Metrics_);
  Links_ = std::make_unique<net::LinkServer>(
      Pool_.context(), Settings_.ListenLinks_, makeLinkSettings(Settings_),
      [this](wire::MessageKind Kind, std::string Body, net::LinkReply Reply) {
        Core_->handle(Kind, std::move(Body), std::move(Reply));
      });
  addLinkMetrics(Metrics_, *Links_);
  Outcome<net::Endpoint> LinksAt = Links_->start();
  if (!LinksAt)
    return {ExitCode::CannotListen, LinksAt.error().Message_};
  LinkEndpoint_ = LinksAt.value();
  net::HttpServerSettings Http;
  Http.Listen_ = Settings_.ListenHttp_;
  Http_ = std::make_unique<net::HttpServer>(
      Pool_.context(), Http,
      [this](const net::HttpRequest &Request, const net::HttpRespond &Respond) {
        handleHttp(Request, Respond);
      });
  Outcome<net::Endpoint> HttpAt = Http_->start();
  if (!HttpAt)
    return {ExitCode::CannotListen, HttpAt.error().Message_};
  HttpEndpoint_ = HttpAt.value();
  Ready_ = Core_.get();
  Peers_.start();
  Core_->start();
  spdlog::info("{} of data centre {}: links on {}, pages on {}",
               Settings_.Name_, Settings_.DataCentre_, LinkEndpoint_.toString(),
               HttpEndpoint_.toString());
  return {};
}

void ControlProcess::Impl::handleHttp(const net::HttpRequest &Request,
                                      const net::HttpRespond &Respond) {
  if (!Pages_.handle(Request, Respond))
    Respond(net::HttpResponse::makeJson(
        404, R"({"error":"not_found","message":"operators' calls go to an )"
             R"(entry; here are /healthz, /readyz, /metrics, /debug/state"})"));
}

std::string ControlProcess::Impl::getUnreadyReason() const {
  if (Stopping_)
    return "stopping";
  const ControlCore *Core = Ready_;
  return Core ? Core->getUnreadyReason() : "starting";
}

std::string ControlProcess::Impl::makeDump() const {
  const ControlCore *Core = Ready_;
  return renderJson(Core ? Core->makeDump() : Json::object());
}

bool ControlProcess::Impl::waitUntil(const std::function<bool()> &Done,
                                     TimePoint Deadline) const {
  while (!Done()) {
    if (Aborted_ || Time_.now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

/// Transfers the leadership of both groups, which avoids an election.
void ControlProcess::Impl::transferLeaderships() {
  const auto Moved = std::make_shared<Latch>(2);
  for (Replica *Group : {DataCentreGroup_.get(), FleetGroup_.get()}) {
    const replication::ReplicaStatus Status = Group->getStatus();
    if (!Status.IsLeader_ || Status.Members_.size() < 2) {
      Moved->countDown();
      continue;
    }
    Group->transferLeadership([Moved](const Outcome<void> &Result) {
      if (!Result)
        spdlog::warn("leadership transfer failed: {}", Result.error().Message_);
      Moved->countDown();
    });
  }
  Moved->waitFor(TransferTimeout);
}

ExitCode ControlProcess::Impl::stop() {
  if (!Core_ || Closed_)
    return ExitCode::Success;
  const TimePoint Deadline = Time_.now() + Settings_.Grace_;
  Stopping_ = true;
  spdlog::info(
      "stopping: transferring leadership and waiting for calls to end");
  transferLeaderships();
  const auto Stopped = std::make_shared<Latch>(1);
  Core_->stop([Stopped] { Stopped->countDown(); });
  const bool DutiesEnded = Stopped->waitFor(Deadline - Time_.now());
  const bool CallsEnded =
      waitUntil([this] { return Core_->getInProgress() == 0; }, Deadline);
  const auto Drained = std::make_shared<Latch>(1);
  Http_->drain([Drained] { Drained->countDown(); });
  const bool PagesEnded = Drained->waitFor(Deadline - Time_.now());
  close();
  const bool InTime = DutiesEnded && CallsEnded && PagesEnded && !Aborted_;
  spdlog::info("stopped{}", InTime ? "" : "; the grace time was exceeded");
  return InTime ? ExitCode::Success : ExitCode::GraceExceeded;
}

void ControlProcess::Impl::close() {
  if (Closed_)
    return;
  Closed_ = true;
  Ready_ = nullptr;
  if (Links_)
    Links_->stop();
  Peers_.stop();
  // The replicas stop first: none of their callbacks runs afterwards.
  if (DataCentreGroup_)
    DataCentreGroup_->stop();
  if (FleetGroup_)
    FleetGroup_->stop();
  Pool_.stop();
}

ControlProcess::ControlProcess(const ControlSettings &Settings,
                               const Clock &Time)
    : Impl_(std::make_unique<Impl>(Settings, Time)) {}
ControlProcess::~ControlProcess() = default;

ControlProcess::StartResult ControlProcess::start() { return Impl_->start(); }
ExitCode ControlProcess::stop() { return Impl_->stop(); }
void ControlProcess::abortStop() { Impl_->Aborted_ = true; }
net::Endpoint ControlProcess::getLinkEndpoint() const {
  return Impl_->LinkEndpoint_;
}
net::Endpoint ControlProcess::getHttpEndpoint() const {
  return Impl_->HttpEndpoint_;
}
std::string ControlProcess::makeStateDump() const { return Impl_->makeDump(); }
boost::asio::io_context &ControlProcess::context() {
  return Impl_->Pool_.context();
}
