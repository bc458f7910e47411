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
static constexpr std::uint64_t MostDecisions = 1000;
static constexpr std::uint64_t MostWaitMs = 20'000;
static constexpr std::size_t DecisionsInDump = 200;

const RouteEntry<ServerRoutes> ServerRoutes::Table[] = {
    {"GET", "/servers", &ServerRoutes::listServers},
    {"GET", "/services", &ServerRoutes::listServices},
    {"GET", "/decisions", &ServerRoutes::readDecisions},
    {"GET", "/dump", &ServerRoutes::dump}};

ServerRoutes::ServerRoutes(const BundleKeeper &Keeper,
                           const datacentre::DataCentreStateMachine &Machine,
                           DecisionStream &Stream, DataCentreDuties &Duties,
                           const Clock &Time, std::function<Json()> MakeDump)
    : Keeper_(Keeper), Machine_(Machine), Stream_(Stream), Duties_(Duties),
      Time_(Time), MakeDump_(std::move(MakeDump)) {}

RouteMatch ServerRoutes::handle(const wire::OperatorCall &Call,
                                OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

static wire::OperatorAnswer makeNoLeaderAnswer() {
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
/// What the leader thinks of a server beyond the log.
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
      Json One = makeServerJson(Record);
      const ServerFlags Flags{Leader.servers().isDraining(Id),
                              Leader.servers().isRoutable(Record, Now),
                              Quarantined[Id]};
      One["draining"] = Flags.Draining_;
      One["routable"] = Flags.Routable_;
      One["quarantined"] = Flags.Quarantined_;
      One["state"] = describeServer(Flags);
      const TimePoint HeardAt = Leader.servers().findLastHeardAt(Id);
      if (HeardAt != TimePoint::min())
        One["heardMsAgo"] = duration_cast<milliseconds>(Now - HeardAt).count();
      Servers.push_back(std::move(One));
    }
  });
  return Servers;
}

void ServerRoutes::listServers(const RoutedCall &, OperatorDone Done) {
  Duties_.visit([this, Done](DataCentreLeadership *Leader) {
    if (!Leader)
      return Done(makeNoLeaderAnswer());
    Done({200, renderJson({{"servers", makeServersJson(*Leader)}})});
  });
}

namespace {
/// One service over all its backend servers.
struct ServiceSum {
  std::uint32_t Servers_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint32_t WorstP99Micros_ = 0;
  std::uint32_t MostLoadPercent_ = 0;
};
} // namespace

static Json makeSumJson(const ServiceId &Service, const ServiceSum &Sum) {
  return {{"service", Service.value()},
          {"servers", Sum.Servers_},
          {"slots", Sum.Slots_},
          {"requests", Sum.Requests_},
          {"worstP99Micros", Sum.WorstP99Micros_},
          {"mostLoadPercent", Sum.MostLoadPercent_}};
}

static void addConfigJson(Json &To, const fleet::ServiceConfig &Config) {
  const auto ToMs = [](Duration Length) {
    return duration_cast<milliseconds>(Length).count();
  };
  To["targetP99Ms"] = ToMs(Config.TargetP99_);
  To["defaultDeadlineMs"] = ToMs(Config.DefaultDeadline_);
  To["maxDeadlineMs"] = ToMs(Config.MaxDeadline_);
  To["queueLimit"] = Config.QueueLimit_;
  To["hedgingAllowed"] = Config.HedgingAllowed_;
}

Json ServerRoutes::makeServicesJson(const DataCentreLeadership &Leader) const {
  std::map<ServiceId, ServiceSum> Sums;
  Machine_.withState([&](const DataCentreState &State) {
    for (const auto &[Id, Record] : State.servers())
      for (const ServiceId &Service : Record.Info_.Services_) {
        ++Sums[Service].Servers_;
        Sums[Service].Slots_ += Record.Info_.Slots_;
      }
  });
  for (const ServiceView &View : Leader.listServices()) {
    ServiceSum &Sum = Sums[View.Report_.Service_];
    Sum.Requests_ += View.Report_.Requests_;
    Sum.WorstP99Micros_ =
        std::max(Sum.WorstP99Micros_, View.Report_.P99Micros_);
    Sum.MostLoadPercent_ =
        std::max(Sum.MostLoadPercent_, View.Report_.LoadPercent_);
  }
  const std::shared_ptr<const fleet::Bundle> InForce = Keeper_.getBundle();
  if (InForce)
    for (const fleet::ServiceConfig &Config : InForce->Services_)
      Sums.try_emplace(Config.Service_);
  Json Services = Json::array();
  for (const auto &[Service, Sum] : Sums)
    Services.push_back(makeSumJson(Service, Sum));
  if (!InForce)
    return Services;
  for (Json &One : Services)
    for (const fleet::ServiceConfig &Config : InForce->Services_)
      if (One["service"] == Config.Service_.value())
        addConfigJson(One, Config);
  return Services;
}

void ServerRoutes::listServices(const RoutedCall &, OperatorDone Done) {
  Duties_.visit([this, Done](DataCentreLeadership *Leader) {
    if (!Leader)
      return Done(makeNoLeaderAnswer());
    Done({200, renderJson({{"services", makeServicesJson(*Leader)}})});
  });
}

void ServerRoutes::readDecisions(const RoutedCall &Call, OperatorDone Done) {
  const std::uint64_t After = Call.findNumber("after", 0, UINT64_MAX);
  const std::uint64_t Limit =
      Call.findNumber("limit", DefaultDecisions, MostDecisions);
  const milliseconds Wait(Call.findNumber("waitMs", 0, MostWaitMs));
  Stream_.read(
      After, Limit, Wait,
      [this, Done = std::move(Done)](const DecisionStream::Batch &Got) {
        Done({200, renderJson(makeStreamJson(Got, Stream_.getLastSequence()))});
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
  Duties_.visit([this, Done](DataCentreLeadership *Leader) {
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
    Stream_.read(Last - std::min<std::uint64_t>(Last, DecisionsInDump),
                 DecisionsInDump, Duration::zero(),
                 [Done, Last, &Body](const DecisionStream::Batch &Got) {
                   Body["decisions"] = makeStreamJson(Got, Last);
                   Done({200, renderJson(Body)});
                 });
  });
}
