#include "load/LoadSettings.h"

#include <sstream>

using namespace tulipweir;
using namespace tulipweir::load;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

static std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

static std::string checkTargets(const LoadSettings &Settings) {
  std::vector<std::string> Parts = splitList(Settings.Targets_);
  if (Parts.empty())
    return "--targets: at least one \"ip:port\" is needed";
  for (const std::string &Part : Parts)
    if (!net::Endpoint::parse(Part))
      return "--targets: '" + Part + "' is not \"ip:port\"";
  return "";
}

static std::string checkKeys(const LoadSettings &Settings) {
  if (Settings.Direct_ && Settings.KeyMode_ != "none")
    return "--direct: a stand-in knows no keys; use --key-mode none";
  if (Settings.Resends_ > 0 && Settings.KeyMode_ == "none")
    return "--resends: a request without a key is not sent again";
  return "";
}

void load::addLoadOptions(net::Options &To, LoadSettings &Target) {
  To.addText("targets", Target.Targets_, "comma-separated ip:port", true);
  To.addSwitch("direct", Target.Direct_, "the targets are stand-ins");
  To.addText("service", Target.Service_, "service that is asked");
  To.addText("path", Target.Path_, "path within the service");
  To.addText("query", Target.Query_, "query, without the '?'");
  To.addText("method", Target.Method_, "HTTP method");
  To.addInteger("body-bytes", Target.BodyBytes_, 0, 8 << 20, "of each body");
  To.addText("caller", Target.Caller_, "name of the caller");
  To.addDuration("deadline", Target.Deadline_, milliseconds(1), minutes(10),
                 "of each request, from when it was meant to leave");
  To.addChoice("key-mode", Target.KeyMode_, {"none", "own", "ticket"},
               "key of each request");
  To.addInteger("resends", Target.Resends_, 0, 100,
                "of a request whose outcome is unknown");
  To.addInteger("rate", Target.RatePerSecond_, 1, 1'000'000,
                "requests a second");
  To.addChoice("arrivals", Target.Arrivals_, {"poisson", "fixed"},
               "distribution of the times between requests");
  To.addDuration("warmup", Target.Warmup_, Duration(0), minutes(10),
                 "time that is not counted");
  To.addDuration("length", Target.Length_, milliseconds(1), hours(24),
                 "time that is counted");
  To.addInteger("seed", Target.Seed_, 0, 1'000'000'000, "of the arrivals");
  To.addInteger("threads", Target.Threads_, 1, 64, "network threads");
  To.addInteger("connections", Target.Connections_, 1, 100'000,
                "most connections to each target");
  To.addText("request-log", Target.RequestLog_,
             "file for a JSON line of each request; none if empty");
  net::addLogOptions(To, Target.Log_);
  To.addRule([&Target] { return checkTargets(Target); });
  To.addRule([&Target] { return checkKeys(Target); });
}

std::vector<net::Endpoint> load::readTargets(const LoadSettings &From) {
  std::vector<net::Endpoint> Targets;
  for (const std::string &Part : splitList(From.Targets_))
    Targets.push_back(net::Endpoint::parse(Part).value());
  return Targets;
}
