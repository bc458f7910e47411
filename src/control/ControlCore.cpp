#include "control/ControlCore.h"

#include "control/GroupJson.h"
#include "control/PeerLinks.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::size_t MaxDecisions = 10'000;
static constexpr const char *FleetGroupName = "fleet";

LeadershipSettings
control::makeLeadershipSettings(const ControlSettings &Settings) {
  LeadershipSettings Result;
  Result.DataCentre_ = DataCentreId(Settings.DataCentre_);
  datacentre::ServerTrackerSettings &TrackerSettings = Result.TrackerSettings_;
  TrackerSettings.Leases_.Ttl_ = Settings.LeaseTtl_;
  TrackerSettings.Leases_.DriftPpm_ =
      static_cast<std::uint32_t>(Settings.DriftPpm_);
  TrackerSettings.Leases_.StopGrace_ = Settings.StopGrace_;
  TrackerSettings.Heartbeat_ = Settings.Heartbeat_;
  TrackerSettings.SilentAfter_ = Settings.Silence_;
  TrackerSettings.ForgetAfter_ = Settings.ForgetAfter_;
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

/// Combines the dependencies of the core with the objects that the core owns.
static LeadershipParts
makeLeadershipParts(const CoreParts &Parts, const fleet::AssignmentLease &Lease,
                    FleetProposer &Proposer, DecisionStream &Stream,
                    RollOutTracker &RollOuts, const BundleStore &Bundles) {
  return {Parts.DataCentreGroup_,
          Parts.DataCentreMachine_,
          Parts.FleetMachine_,
          Bundles,
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
      BundleStore_(
          Parts.BundleFile_, Parts.FleetStrand_,
          [this] { return findLatest(Parts_.FleetMachine_); },
          [this](const fleet::AcceptedBundle &Bundle) {
            onBundleAccepted(Bundle);
          },
          BundleStoreCounters::makeFor(Parts.Metrics_)),
      Stream_(Parts.FleetStrand_, MaxDecisions),
      Proposer_(Parts.FleetGroup_, Parts.Peers_, Parts.FleetStrand_,
                Parts.Time_),
      DataCentreService_(makeLeadershipParts(Parts, Lease_, Proposer_, Stream_,
                                             RollOuts_, BundleStore_),
                         makeLeadershipSettings(Settings), Parts.Feed_),
      FleetService_(
          {Parts.FleetGroup_, Parts.FleetMachine_, Lease_, Parts.Peers_,
           Parts.FleetStrand_, Parts.Time_,
           FleetCounters::makeFor(Parts.Metrics_)},
          DataCentreId(Settings.DataCentre_), Times_,
          [this] { return DataCentreService_.findLoad(); },
          [this](const JobId &Job) { DataCentreService_.onJobChanged(Job); }),
      DataCentreLearners_(Settings.DataCentre_, Parts.DataCentreGroup_,
                          Parts.DataCentreStrand_,
                          listNames(Settings.DataCentreMembers_)),
      FleetLearners_(FleetGroupName, Parts.FleetGroup_, Parts.FleetStrand_,
                     listNames(Settings.FleetMembers_)),
      Survey_(Parts.Peers_, listPeerNames(Settings),
              [this] { return makeReport(); }),
      Bundles_(Parts.FleetMachine_, BundleStore_, Proposer_, Survey_,
               Parts.Time_),
      Jobs_(DataCentreId(Settings.DataCentre_), Parts.FleetMachine_,
            BundleStore_, Parts.DataCentreMachine_, Proposer_, Survey_,
            DataCentreService_, Parts.Time_),
      Servers_(BundleStore_, Parts.DataCentreMachine_, Stream_,
               DataCentreService_, Parts.Time_, [this] { return makeDump(); }),
      Members_({{Settings.DataCentre_, &Parts.DataCentreGroup_},
                {FleetGroupName, &Parts.FleetGroup_}},
               Parts.Peers_, Parts.FleetStrand_, Parts.Time_),
      Operators_({&Bundles_, &Jobs_, &Servers_, &Members_}),
      Handlers_({DataCentreId(Settings.DataCentre_), Parts.DataCentreGroup_,
                 Parts.FleetGroup_, DataCentreService_, FleetService_,
                 Operators_, Parts.Time_,
                 Parts.Metrics_.addCounter("tulipweir_messages_malformed_total",
                                           "Messages that do not decode"),
                 Parts.Metrics_.addCounter(
                     "tulipweir_calls_not_leader_total",
                     "Calls turned away as another control leads")}) {}

void ControlCore::start() {
  onFleetRestored();
  DataCentreService_.start();
  FleetService_.start();
  DataCentreLearners_.start();
  FleetLearners_.start();
}

void ControlCore::stop(std::function<void()> Stopped) {
  DataCentreLearners_.stop();
  FleetLearners_.stop();
  Stream_.close();
  DataCentreService_.stop(
      [this, Stopped = std::move(Stopped)] { FleetService_.stop(Stopped); });
}

void ControlCore::onBundleAccepted(const fleet::AcceptedBundle &Bundle) {
  RollOuts_.recordAccepted(Bundle.Version_, Bundle.WallMs_);
  spdlog::info("bundle {} ({}) is in force", Bundle.Version_.value(),
               Bundle.Digest_.value());
  DataCentreService_.onBundleChanged();
}

void ControlCore::onFleetRestored() {
  BundleStore_.scheduleUpdate();
  FleetService_.onJobsChanged();
}

namespace {
/// Returns the job that a fleet command refers to; nullopt for commands about
/// bundles.
struct GetJobId {
  template <class T> std::optional<JobId> operator()(const T &Cmd) const {
    if constexpr (requires { Cmd.Job_; })
      return Cmd.Job_;
    else
      return std::nullopt;
  }
};
} // namespace

void ControlCore::onFleetApplied(const fleet::Command &Cmd,
                                 const fleet::CommandResult &Result) {
  if (!Result.Error_.empty())
    return;
  const std::optional<JobId> Job = std::visit(GetJobId(), Cmd);
  if (!Job) {
    if (Result.Accepted_)
      BundleStore_.scheduleUpdate();
    return;
  }
  FleetService_.onJobsChanged();
  DataCentreService_.onJobChanged(*Job);
}

std::string ControlCore::getUnreadyReason() const {
  const replication::ReplicaStatus DataCentreStatus =
      Parts_.DataCentreGroup_.getStatus();
  if (!DataCentreStatus.Failure_.empty())
    return "the data centre's log stopped: " + DataCentreStatus.Failure_;
  const replication::ReplicaStatus FleetStatus = Parts_.FleetGroup_.getStatus();
  if (!FleetStatus.Failure_.empty())
    return "the fleet's log stopped: " + FleetStatus.Failure_;
  return DataCentreStatus.LeaderName_.empty() ? "the data centre has no leader"
                                              : "";
}

Json ControlCore::makeBundleDump() const {
  const auto Latest = findLatest(Parts_.FleetMachine_);
  const BundleVersion InLog = Latest ? Latest->Version_ : BundleVersion();
  return {{"held", BundleStore_.getVersion().value()},
          {"inLog", InLog.value()},
          {"unwritten", BundleStore_.getUnwrittenVersion().value()},
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
                 {"leadsDataCentre", DataCentreService_.isLeading()},
                 {"leadsFleet", FleetService_.isLeading()},
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
  Report.Leads_ = DataCentreService_.isLeading();
  if (const auto Held = BundleStore_.get()) {
    Report.Held_ = Held->Accepted_.Version_;
    Report.Digest_ = Held->Accepted_.Digest_;
  }
  if (!Report.Leads_)
    return Report;
  Report.Entries_ = RollOuts_.listEntries();
  Report.RollOut_ = RollOuts_.getLast();
  return Report;
}
