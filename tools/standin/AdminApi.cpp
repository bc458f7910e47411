#include "standin/AdminApi.h"

#include "standin/StandInJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

using namespace tulipweir;
using namespace tulipweir::standin;
using Json = nlohmann::json;

static const std::string ServersPath = "/admin/servers";
static const std::string FaultsPrefix = "faults/";

static Json toJson(const StandInServerStatus &Status) {
  Json Active = Json::object();
  for (const FaultName &Fault : FaultNames)
    if (Status.Faults_.*Fault.Member_)
      Active[std::string(Fault.Name_)] = Status.Faults_.*Fault.Member_;
  return Json{{"server", Status.Server_},
              {"boot", Status.Boot_},
              {"address", Status.Address_},
              {"tasksRunning", Status.TasksRunning_},
              {"inFlight", Status.InFlight_},
              {"announced", Status.Announced_},
              {"announceFailures", Status.AnnounceFailures_},
              {"served", Status.Served_},
              {"faults", Active}};
}

static Json toJson(const wire::AttemptReport &Report) {
  return Json{{"task", Report.Task_.toString()},
              {"attempt", Report.Attempt_.value()},
              {"state", getStateName(Report.State_)},
              {"checkpoint", Report.Checkpoint_},
              {"progressMs", Report.ProgressMs_},
              {"message", Report.Message_}};
}

static net::HttpResponse makeError(unsigned Status, const std::string &Text) {
  return net::HttpResponse::makeJson(
      Status, Json{{"error", "invalid-argument"}, {"message", Text}}.dump());
}

static const FaultName *findFault(const std::string &Name) {
  auto Found =
      std::find_if(std::begin(FaultNames), std::end(FaultNames),
                   [&](const FaultName &Fault) { return Fault.Name_ == Name; });
  return Found == std::end(FaultNames) ? nullptr : &*Found;
}

/// Does one action to one server; false if there is no such action.
static bool act(StandInServer &Server, const net::HttpRequest &Request,
                const std::string &Action) {
  if (Action == "crash") {
    Server.crash();
    return true;
  }
  if (Action.rfind(FaultsPrefix, 0) != 0)
    return false;
  const FaultName *Fault = findFault(Action.substr(FaultsPrefix.size()));
  if (!Fault)
    return false;
  std::string Value = Request.findQuery("value");
  Server.setFault(Fault->Member_,
                  Value.empty() ? 1 : std::strtoll(Value.c_str(), nullptr, 10));
  return true;
}

std::string AdminApi::dump() const {
  Json All = Json::array();
  for (const auto &Server : Servers_)
    All.push_back(toJson(Server->getStatus()));
  return Json{{"servers", All}}.dump();
}

net::HttpResponse AdminApi::handle(const net::HttpRequest &Request) const {
  const std::string &Path = Request.Path_;
  if (Path == ServersPath)
    return net::HttpResponse::makeJson(200, dump());
  if (Path.rfind(ServersPath + "/", 0) != 0)
    return makeError(404, "paths begin with " + ServersPath);
  std::string Rest = Path.substr(ServersPath.size() + 1);
  std::size_t Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return makeError(404, "say what to do: tasks, crash or faults/NAME");
  return handleServer(Request, Rest.substr(0, Slash), Rest.substr(Slash + 1));
}

net::HttpResponse AdminApi::handleServer(const net::HttpRequest &Request,
                                         const std::string &Name,
                                         const std::string &Action) const {
  std::size_t Matched = 0;
  for (const auto &Server : Servers_) {
    if (Name != "*" && Server->getStatus().Server_ != Name)
      continue;
    ++Matched;
    if (Request.Method_ == "GET" && Action == "tasks") {
      Json Tasks = Json::array();
      for (const wire::AttemptReport &Report : Server->getTasks())
        Tasks.push_back(toJson(Report));
      return net::HttpResponse::makeJson(200, Tasks.dump());
    }
    if (Request.Method_ != "POST" || !act(*Server, Request, Action))
      return makeError(400, "no such action: " + Action);
  }
  if (Matched == 0)
    return makeError(404, "no server is named " + Name);
  return net::HttpResponse::makeJson(200, Json{{"servers", Matched}}.dump());
}
