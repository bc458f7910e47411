#include "control/ControlCore.h"

#include "control/GroupJson.h"
#include "control/PeerLinks.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::size_t DecisionsKept = 10'000;
static constexpr const char *FleetGroupName = "fleet";

LeadershipSettings
control::makeLeadershipSettings(const ControlSettings &Settings) {
  LeadershipSettings Result;
  Result.DataCentre_ = DataCentreId(Settings.DataCentre_);
  datacentre::ServerTrackerSettings &Servers = Result.Servers_;
  Servers.Leases_.Ttl_ = Settings.LeaseTtl_;
  Servers.Leases_.DriftPpm_ = static_cast<std::uint32_t>(Settings.DriftPpm_);
  Servers.Leases_.StopGrace_ = Settings.StopGrace_;
  Servers.Heartbeat_ = Settings.Heartbeat_;
  Servers.SilentAfter_ = Settings.Silence_;
  Servers.ForgetAfter_ = Settings.ForgetAfter_;
  Result.Slots_.GrantTtl_ = Settings.GrantTtl_;
  Result.Slots_.MaxRequest_ = Settings.MaxRequest_;
  Result.Slots_.DriftPpm_ = static_cast<std::uint32_t>(Settings.DriftPpm_);
  return Result;
}

static std::vector<std::string> listPeerNames(const ControlSettings &Settings) {
  std::vector<std::string> Names;
  for (const net::NamedEndpoint &Peer : listPeers(Settings))
    Names.push_back(Peer.Name_);
  return Names;
}

static std::set<std::string>
listNames(const std::vector<net::NamedEndpoint> &Members) {
  std::set<std::string> Names;
  for (const net::NamedEndpoint &Member : Members)
    Names.insert(Member.Name_);
  return Names;
}

static std::optional<fleet::AcceptedBundle>
findLatest(const fleet::FleetStateMachine &Machine) {
  std::vector<fleet::AcceptedBundle> Latest = Machine.listHistory(1);
  if (Latest.empty())
    return std::nullopt;
  return std::move(Latest.front());
}

/// The parts of a leadership. Takes what the core owns besides what it got.
static LeadershipParts
makeLeadershipParts(const CoreParts &Parts, const fleet::AssignmentLease &Lease,
                    FleetProposer &Proposer, DecisionStream &Stream,
                    RollOutTracker &RollOuts, const BundleKeeper &Keeper) {
  return {Parts.DataCentreGroup_,
          Parts.DataCentreMachine_,
          Parts.FleetMachine_,
          Keeper,
          Lease,
          Proposer,
          Stream,
          RollOuts,
          Parts.DataCentreStrand_,
          Parts.Time_,
          LeadershipCounters::makeFor(Parts.Metrics_)};
}

ControlCore::ControlCore(const ControlSettings &Settings,
                         const CoreParts &Parts)
    : Settings_(Settings), Parts_(Parts),
      Times_(fleet::AssignmentTimes::makeFor(Settings.AssignmentTtl_)),
      Lease_(Times_), RollOuts_(Parts.Time_),
      Keeper_(
          Parts.BundleFile_, Parts.FleetStrand_,
          [this] { return findLatest(Parts_.FleetMachine_); },
          [this](const fleet::AcceptedBundle &Value) { onBundleTaken(Value); },
          KeeperCounters::makeFor(Parts.Metrics_)),
      Stream_(Parts.FleetStrand_, DecisionsKept),
      Proposer_(Parts.FleetGroup_, Parts.Peers_, Parts.FleetStrand_,
                Parts.Time_),
      DataCentre_(makeLeadershipParts(Parts, Lease_, Proposer_, Stream_,
                                      RollOuts_, Keeper_),
                  makeLeadershipSettings(Settings), Parts.Feed_),
      Fleet_(
          {Parts.FleetGroup_, Parts.FleetMachine_, Lease_, Parts.Peers_,
           Parts.FleetStrand_, Parts.Time_,
           FleetCounters::makeFor(Parts.Metrics_)},
          DataCentreId(Settings.DataCentre_), Times_,
          [this] { return DataCentre_.findLoad(); },
          [this](const JobId &Job) { DataCentre_.noteJob(Job); }),
      DataCentreLearners_(Settings.DataCentre_, Parts.DataCentreGroup_,
                          Parts.DataCentreStrand_,
                          listNames(Settings.DataCentreMembers_)),
      FleetLearners_(FleetGroupName, Parts.FleetGroup_, Parts.FleetStrand_,
                     listNames(Settings.FleetMembers_)),
      Survey_(Parts.Peers_, listPeerNames(Settings),
              [this] { return makeReport(); }),
      Bundles_(Parts.FleetMachine_, Keeper_, Proposer_, Survey_, Parts.Time_),
      Jobs_(DataCentreId(Settings.DataCentre_), Parts.FleetMachine_, Keeper_,
            Parts.DataCentreMachine_, Proposer_, Survey_, DataCentre_,
            Parts.Time_),
      Servers_(Keeper_, Parts.DataCentreMachine_, Stream_, DataCentre_,
               Parts.Time_, [this] { return makeDump(); }),
      Members_({{Settings.DataCentre_, &Parts.DataCentreGroup_},
                {FleetGroupName, &Parts.FleetGroup_}},
               Parts.Peers_, Parts.FleetStrand_, Parts.Time_),
      Operators_({&Bundles_, &Jobs_, &Servers_, &Members_}),
      Handlers_({DataCentreId(Settings.DataCentre_), Parts.DataCentreGroup_,
                 Parts.FleetGroup_, DataCentre_, Fleet_, Operators_,
                 Parts.Time_,
                 Parts.Metrics_.addCounter("tulipweir_messages_malformed_total",
                                           "Messages that do not decode"),
                 Parts.Metrics_.addCounter(
                     "tulipweir_calls_not_leader_total",
                     "Calls turned away as another control leads")}) {}

void ControlCore::start() {
  onFleetRestored();
  DataCentre_.start();
  Fleet_.start();
  DataCentreLearners_.start();
  FleetLearners_.start();
}

void ControlCore::stop(std::function<void()> Stopped) {
  DataCentreLearners_.stop();
  FleetLearners_.stop();
  Stream_.close();
  DataCentre_.stop(
      [this, Stopped = std::move(Stopped)] { Fleet_.stop(Stopped); });
}

void ControlCore::onBundleTaken(const fleet::AcceptedBundle &Value) {
  RollOuts_.noteAccepted(Value.Version_, Value.WallMs_);
  spdlog::info("bundle {} ({}) is in force", Value.Version_.value(),
               Value.Digest_.value());
  DataCentre_.noteBundle();
}

void ControlCore::onFleetRestored() {
  Keeper_.noteChanged();
  Fleet_.noteJobs();
}

namespace {
/// The job that a fleet command is about; nullopt for bundles.
struct JobOf {
  template <class T> std::optional<JobId> operator()(const T &Value) const {
    if constexpr (requires { Value.Job_; })
      return Value.Job_;
    else
      return std::nullopt;
  }
};
} // namespace

void ControlCore::onFleetApplied(const fleet::Command &Value,
                                 const fleet::CommandResult &Result) {
  if (!Result.Error_.empty())
    return;
  const std::optional<JobId> Job = std::visit(JobOf(), Value);
  if (!Job) {
    if (Result.Accepted_)
      Keeper_.noteChanged();
    return;
  }
  Fleet_.noteJobs();
  DataCentre_.noteJob(*Job);
}

std::string ControlCore::findUnready() const {
  const replication::ReplicaStatus Own = Parts_.DataCentreGroup_.getStatus();
  if (!Own.Failure_.empty())
    return "the data centre's log stopped: " + Own.Failure_;
  const replication::ReplicaStatus All = Parts_.FleetGroup_.getStatus();
  if (!All.Failure_.empty())
    return "the fleet's log stopped: " + All.Failure_;
  return Own.LeaderName_.empty() ? "the data centre has no leader" : "";
}

Json ControlCore::makeBundleDump() const {
  const auto Latest = findLatest(Parts_.FleetMachine_);
  const BundleVersion InLog = Latest ? Latest->Version_ : BundleVersion();
  return {{"held", Keeper_.getVersion().value()},
          {"inLog", InLog.value()},
          {"unwritten", Keeper_.getUnwritten().value()},
          {"onDisk", Parts_.BundleFile_ != nullptr}};
}

Json ControlCore::makeDump() const {
  Json Groups = Json::array();
  Groups.push_back(makeGroupJson(Settings_.DataCentre_,
                                 Parts_.DataCentreGroup_.getStatus()));
  Groups.push_back(
      makeGroupJson(FleetGroupName, Parts_.FleetGroup_.getStatus()));
  Json Result = {{"control", Settings_.Name_},
                 {"dataCentre", Settings_.DataCentre_},
                 {"region", Settings_.Region_},
                 {"leadsDataCentre", DataCentre_.isLeading()},
                 {"leadsFleet", Fleet_.isLeading()},
                 {"groups", std::move(Groups)},
                 {"bundle", makeBundleDump()},
                 {"warnings", listSettingWarnings(Settings_)},
                 {"callsInProgress", getInProgress()},
                 {"lastDecision", Stream_.getLastSequence()},
                 {"report", makeReportJson(makeReport())}};
  Parts_.FleetMachine_.read([&Result](const fleet::FleetState &State) {
    Result["openJobs"] = State.jobs().countOpen();
    Result["endedJobs"] = State.jobs().ended().size();
    return 0;
  });
  Parts_.DataCentreMachine_.withState(
      [&Result](const datacentre::DataCentreState &State) {
        Result["servers"] = State.servers().size();
        Result["localJobs"] = State.jobs().size();
        Result["records"] = State.records().records().size();
      });
  return Result;
}

ControlReport ControlCore::makeReport() const {
  ControlReport Report;
  Report.Name_ = Settings_.Name_;
  Report.DataCentre_ = DataCentreId(Settings_.DataCentre_);
  Report.Region_ = Settings_.Region_;
  Report.Leads_ = DataCentre_.isLeading();
  if (const auto Held = Keeper_.get()) {
    Report.Held_ = Held->Accepted_.Version_;
    Report.Digest_ = Held->Accepted_.Digest_;
  }
  if (!Report.Leads_)
    return Report;
  Report.Entries_ = RollOuts_.listEntries();
  Report.RollOut_ = RollOuts_.getLast();
  return Report;
}
