//===- Entry.cpp ----------------------------------------------------------===//

#include "tulipweir/entry/Entry.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <string_view>

using namespace tulipweir;
using namespace tulipweir::entry;
using nlohmann::json;
using std::chrono::milliseconds;

static constexpr Duration SweepPeriod = milliseconds(5);

Entry::Entry(EntryDependencies Deps)
    : Identity_(Deps.Identity_), Timers_(Deps.Timers_), Clock_(Deps.Clock_),
      Metrics_(Deps.Metrics_), Homes_(Deps.Controls_),
      Router_(Deps.Clock_, Deps.Random_()),
      Plain_({Router_, Deps.Backend_, Deps.Timers_, Deps.Clock_, Metrics_}),
      Keyed_({Plain_, Table_, Homes_, Deps.Timers_, Deps.Clock_, Metrics_,
              Identity_.Entry_, Identity_.Incarnation_}),
      Callers_({Identity_, Flags_, Configuration_, Limits_, Plain_, Keyed_,
                Deps.Clock_, Deps.Random_, Metrics_, Deps.MaxRequest_}),
      Batcher_({Identity_, *Homes_.findClient(Identity_.DataCentre_),
                Deps.Timers_, Deps.Clock_, Deps.Batching_}),
      Proxy_(Identity_, *Homes_.findClient(Identity_.DataCentre_), Batcher_,
             Router_, Metrics_),
      Reporter_({Identity_, Flags_, Configuration_, Router_,
                 *Homes_.findClient(Identity_.DataCentre_), Deps.Timers_,
                 Deps.Clock_, Metrics_, Deps.ReportPeriod_}) {
  Deps.Metrics_.addGauge(
      "tulipweir_entry_in_progress", "Requests and records under way",
      [this] { return static_cast<double>(getInProgress()); });
  Deps.Metrics_.addGauge("tulipweir_entry_bundle_version",
                         "Version of the bundle in force here", [this] {
                           return static_cast<double>(
                               Configuration_.getVersion().value());
                         });
  Deps.Metrics_.addGauge(
      "tulipweir_entry_servers", "Backend servers in the routes",
      [this] { return static_cast<double>(Router_.getServerCount()); });
}

void Entry::start() {
  Reporter_.start();
  sweep();
}

void Entry::sweep() {
  Router_.sweep();
  Table_.sweep(Clock_.now());
  Timers_.runAfter(SweepPeriod, [this] { sweep(); });
}

void Entry::handle(net::HttpRequest Request, net::HttpRespond Respond) {
  const std::string_view Path = Request.Path_;
  if (Path.starts_with(ServicePrefix))
    return Callers_.handleService(std::move(Request), std::move(Respond));
  if (Path == "/v1/tickets")
    return Callers_.handleTicket(Request, Respond);
  if (Path == "/v1/announce")
    return Proxy_.handleAnnouncement(Request, std::move(Respond));
  if (Path.starts_with(std::string(OperatorPrefix) + "/"))
    return Proxy_.handleOperator(std::move(Request), std::move(Respond));
  Respond(net::HttpResponse::makeJson(
      404, R"({"outcome":"not-run","error":"unknown-path",)"
           R"("message":"see docs/API.md for the paths"})"));
}

void Entry::beginStop() {
  if (!Flags_.Stopping_.exchange(true))
    spdlog::info("stopping with {} requests and records in progress",
                 getInProgress());
}

std::string Entry::explainUnready() const {
  if (Flags_.Stopping_)
    return "stopping";
  if (!Configuration_.get())
    return "no bundle received from a control process yet";
  if (Clock_.now() >= Flags_.GrantsExpireAt_.load())
    return "the grants expired: no leader replies";
  if (Router_.lacksSlots())
    return "no slot of any backend server yet";
  return "";
}

std::uint64_t Entry::getInProgress() const {
  return Callers_.getInProgress() + Keyed_.getPendingRecordCount();
}

static json toJson(const decide::ChooserServerView &View) {
  return {{"server", View.Server_.value()},
          {"slots", View.Slots_},
          {"inFlight", View.InFlight_},
          {"latencyMicros", View.LatencyMicros_},
          {"successPart", View.SuccessPart_},
          {"ejected", View.Ejected_}};
}

static json toJson(const GateView &View) {
  json Servers = json::array();
  for (const decide::ChooserServerView &Server : View.Servers_)
    Servers.push_back(toJson(Server));
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(View.MeanLatency_);
  return {{"service", View.Service_.value()},
          {"waiting", View.Waiting_},
          {"freeSlots", View.FreeSlots_},
          {"totalSlots", View.TotalSlots_},
          {"drainPerSecond", View.DrainPerSecond_},
          {"retriesSaved", View.RetriesSaved_},
          {"meanLatencyMicros", Micros.count()},
          {"servers", Servers}};
}

static json toJson(const wire::GrantHeld &Snapshot) {
  return {{"server", Snapshot.Server_.value()},
          {"boot", Snapshot.Boot_.value()},
          {"slots", Snapshot.Slots_},
          {"connections", Snapshot.Connections_},
          {"inFlight", Snapshot.InFlight_}};
}

std::string Entry::dump() const {
  json Gates = json::array();
  for (const GateView &View : Router_.listViews())
    Gates.push_back(toJson(View));
  json Grants = json::array();
  const RoutingSnapshot Snapshot = Router_.getSnapshot();
  for (const wire::GrantHeld &Grant : Snapshot.Grants_)
    Grants.push_back(toJson(Grant));
  json ResultCounts = json::object();
  for (std::size_t Index = 0; Index < RequestReasonCount; ++Index) {
    const auto Reason = static_cast<RequestReason>(Index);
    ResultCounts[std::string(getReasonName(Reason))] =
        Metrics_.getResultCount(Reason);
  }
  const json State = {{"entry", Identity_.Entry_.value()},
                      {"dataCentre", Identity_.DataCentre_.value()},
                      {"address", Identity_.Address_},
                      {"incarnation", Identity_.Incarnation_},
                      {"unready", explainUnready()},
                      {"bundleVersion", Configuration_.getVersion().value()},
                      {"routesVersion", Snapshot.Version_},
                      {"leaderAnswers", Reporter_.hasLeader()},
                      {"inProgress", Callers_.getInProgress()},
                      {"recordsUnderWay", Keyed_.getPendingRecordCount()},
                      {"keysHeld", Table_.getOwnerCount()},
                      {"keysAttached", Table_.getWaiterCount()},
                      {"ended", ResultCounts},
                      {"gates", Gates},
                      {"grants", Grants}};
  using Handler = json::error_handler_t;
  return State.dump(2, ' ', false, Handler::replace);
}
