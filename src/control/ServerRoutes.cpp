#include "control/ServerRoutes.h"

#include "control/DecisionJson.h"
#include "control/OperatorErrors.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::DataCentreState;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

static constexpr std::uint64_t DefaultDecisions = 100;
static constexpr std::uint64_t MaxDecisions = 1000;
static constexpr std::uint64_t MaxWaitMs = 20'000;
static constexpr std::size_t MaxDumpedDecisions = 200;

const RouteEntry<ServerRoutes> ServerRoutes::Table[] = {
    {"GET", "/servers", &ServerRoutes::listServers},
    {"GET", "/services", &ServerRoutes::listServices},
    {"GET", "/decisions", &ServerRoutes::readDecisions},
    {"GET", "/dump", &ServerRoutes::dump}};

ServerRoutes::ServerRoutes(const BundleStore &Bundles,
                           const datacentre::DataCentreStateMachine &Machine,
                           DecisionStream &Stream,
                           DataCentreService &LeaderService, const Clock &Time,
                           std::function<Json()> MakeDump)
    : Bundles_(Bundles), Machine_(Machine), Stream_(Stream),
      DataCentreService_(LeaderService), Time_(Time),
      MakeDump_(std::move(MakeDump)) {}

RouteMatch ServerRoutes::handle(const wire::OperatorCall &Call,
                                OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

static wire::OperatorAnswer makeLeaderlessAnswer() {
  return makeErrorAnswer(
      Error::make(ErrorCode::Unavailable,
                  "the data centre has no leader here at the moment; try "
                  "again"));
}

static Json makeServiceNames(const std::vector<ServiceId> &Services) {
  Json Names = Json::array();
  for (const ServiceId &Service : Services)
    Names.push_back(Service.value());
  return Names;
}

static Json makeServerJson(const datacentre::ServerRecord &Record) {
  const datacentre::RegisterServer &Info = Record.Info_;
  return {{"server", Info.Server_.value()},
          {"boot", Info.Boot_.value()},
          {"rack", Info.Rack_.value()},
          {"address", Info.Address_},
          {"capacity", makeResourcesJson(Info.Capacity_)},
          {"reserved", makeResourcesJson(Record.Reserved_)},
          {"services", makeServiceNames(Info.Services_)},
          {"slots", Info.Slots_},
          {"connections", Info.Connections_},
          {"tasks", Record.Placed_.size()}};
}

namespace {
/// The leader's view of a server beyond the log.
struct ServerFlags {
  bool Draining_ = false;
  bool Routable_ = false;
  bool Quarantined_ = false;
};
} // namespace

static const char *describeServer(const ServerFlags &Flags) {
  if (Flags.Draining_)
    return "leaving";
  if (!Flags.Routable_)
    return "silent";
  return Flags.Quarantined_ ? "quarantined" : "up";
}

Json ServerRoutes::makeServersJson(const DataCentreLeadership &Leader) const {
  const TimePoint Now = Time_.now();
  std::map<BackendServerId, bool> Quarantined;
  for (const decide::ServerView &View :
       Leader.planning().planner().listServers())
    Quarantined[View.Server_] = View.Quarantined_;
  Json Servers = Json::array();
  Machine_.withState([&](const DataCentreState &State) {
    for (const auto &[Id, Record] : State.servers()) {
      Json ServerJson = makeServerJson(Record);
      const ServerFlags Flags{Leader.servers().isDraining(Id),
                              Leader.servers().isRoutable(Record, Now),
                              Quarantined[Id]};
      ServerJson["draining"] = Flags.Draining_;
      ServerJson["routable"] = Flags.Routable_;
      ServerJson["quarantined"] = Flags.Quarantined_;
      ServerJson["state"] = describeServer(Flags);
      const TimePoint HeardAt = Leader.servers().findLastHeardAt(Id);
      if (HeardAt != TimePoint::min())
        ServerJson["heardMsAgo"] =
            duration_cast<milliseconds>(Now - HeardAt).count();
      Servers.push_back(std::move(ServerJson));
    }
  });
  return Servers;
}

void ServerRoutes::listServers(const RoutedCall &, OperatorDone Done) {
  DataCentreService_.visit([this, Done](DataCentreLeadership *Leader) {
    if (!Leader)
      return Done(makeLeaderlessAnswer());
    Done({200, renderJson({{"servers", makeServersJson(*Leader)}})});
  });
}

namespace {
/// Totals of one service over its backend servers.
struct ServiceTotals {
  std::uint32_t Servers_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint32_t WorstP99Micros_ = 0;
  std::uint32_t MaxLoadPercent_ = 0;
};
} // namespace

static Json makeTotalsJson(const ServiceId &Service,
                           const ServiceTotals &Totals) {
  return {{"service", Service.value()},
          {"servers", Totals.Servers_},
          {"slots", Totals.Slots_},
          {"requests", Totals.Requests_},
          {"worstP99Micros", Totals.WorstP99Micros_},
          {"mostLoadPercent", Totals.MaxLoadPercent_}};
}

static void addConfigJson(Json &Target, const fleet::ServiceConfig &Config) {
  const auto ToMs = [](Duration Length) {
    return duration_cast<milliseconds>(Length).count();
  };
  Target["targetP99Ms"] = ToMs(Config.TargetP99_);
  Target["defaultDeadlineMs"] = ToMs(Config.DefaultDeadline_);
  Target["maxDeadlineMs"] = ToMs(Config.MaxDeadline_);
  Target["queueLimit"] = Config.QueueLimit_;
  Target["hedgingAllowed"] = Config.HedgingAllowed_;
}

Json ServerRoutes::makeServicesJson(const DataCentreLeadership &Leader) const {
  std::map<ServiceId, ServiceTotals> TotalsByService;
  Machine_.withState([&](const DataCentreState &State) {
    for (const auto &[Id, Record] : State.servers())
      for (const ServiceId &Service : Record.Info_.Services_) {
        ++TotalsByService[Service].Servers_;
        TotalsByService[Service].Slots_ += Record.Info_.Slots_;
      }
  });
  for (const ServiceStatus &View : Leader.listServices()) {
    ServiceTotals &Totals = TotalsByService[View.Report_.Service_];
    Totals.Requests_ += View.Report_.Requests_;
    Totals.WorstP99Micros_ =
        std::max(Totals.WorstP99Micros_, View.Report_.P99Micros_);
    Totals.MaxLoadPercent_ =
        std::max(Totals.MaxLoadPercent_, View.Report_.LoadPercent_);
  }
  const std::shared_ptr<const fleet::Bundle> InForce = Bundles_.getBundle();
  if (InForce)
    for (const fleet::ServiceConfig &Config : InForce->Services_)
      TotalsByService.try_emplace(Config.Service_);
  Json Services = Json::array();
  for (const auto &[Service, Totals] : TotalsByService)
    Services.push_back(makeTotalsJson(Service, Totals));
  if (!InForce)
    return Services;
  for (Json &ServiceJson : Services)
    for (const fleet::ServiceConfig &Config : InForce->Services_)
      if (ServiceJson["service"] == Config.Service_.value())
        addConfigJson(ServiceJson, Config);
  return Services;
}

void ServerRoutes::listServices(const RoutedCall &, OperatorDone Done) {
  DataCentreService_.visit([this, Done](DataCentreLeadership *Leader) {
    if (!Leader)
      return Done(makeLeaderlessAnswer());
    Done({200, renderJson({{"services", makeServicesJson(*Leader)}})});
  });
}

void ServerRoutes::readDecisions(const RoutedCall &Call, OperatorDone Done) {
  const std::uint64_t After = Call.getNumberParam("after", 0, UINT64_MAX);
  const std::uint64_t Limit =
      Call.getNumberParam("limit", DefaultDecisions, MaxDecisions);
  const milliseconds Wait(Call.getNumberParam("waitMs", 0, MaxWaitMs));
  Stream_.read(
      After, Limit, Wait,
      [this, Done = std::move(Done)](const DecisionStream::Batch &Decisions) {
        Done({200, renderJson(
                       makeStreamJson(Decisions, Stream_.getLastSequence()))});
      });
}

Json ServerRoutes::makeEntriesJson(const DataCentreLeadership &Leader) const {
  Json Entries = Json::array();
  for (const datacentre::EntryView &View :
       Leader.slots().listEntries(Time_.now()))
    Entries.push_back({{"entry", View.Entry_.value()},
                       {"incarnation", View.Incarnation_},
                       {"address", View.Address_},
                       {"version", View.Held_.value()},
                       {"live", View.Live_},
                       {"stopping", View.Stopping_},
                       {"routesVersion", View.RoutesVersion_},
                       {"inFlight", View.InFlight_}});
  return Entries;
}

void ServerRoutes::dump(const RoutedCall &, OperatorDone Done) {
  DataCentreService_.visit([this, Done](DataCentreLeadership *Leader) {
    Json Body = MakeDump_();
    const std::uint64_t Last = Stream_.getLastSequence();
    if (Leader) {
      Body["term"] = Leader->term();
      Body["servers"] = makeServersJson(*Leader);
      Body["services"] = makeServicesJson(*Leader);
      Body["entries"] = makeEntriesJson(*Leader);
      Body["waitingTasks"] = Leader->planning().countWaiting();
      Body["openProposals"] = Leader->countOpenProposals();
      Body["leases"] = Leader->servers().attempts().leases().size();
    }
    Stream_.read(Last - std::min<std::uint64_t>(Last, MaxDumpedDecisions),
                 MaxDumpedDecisions, Duration::zero(),
                 [Done, Last, &Body](const DecisionStream::Batch &Decisions) {
                   Body["decisions"] = makeStreamJson(Decisions, Last);
                   Done({200, renderJson(Body)});
                 });
  });
}
