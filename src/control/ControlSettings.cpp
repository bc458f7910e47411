#include "tulipweir/control/ControlSettings.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of consecutive renewals that may be lost before a task's lease
/// expires.
static constexpr int MinHeartbeatsPerLease = 3;
/// With fewer members, the loss of one member stops a group.
static constexpr std::size_t MinMembers = 3;

static const net::NamedEndpoint *
findMember(const std::vector<net::NamedEndpoint> &Members,
           const std::string &Name) {
  for (const net::NamedEndpoint &Member : Members)
    if (Member.Name_ == Name)
      return &Member;
  return nullptr;
}

static std::string checkName(const ControlSettings &Settings) {
  if (findMember(Settings.DataCentreMembers_, Settings.Name_))
    return "";
  return "--name " + Settings.Name_ +
         " is not among --data-centre-members; add it there";
}

static std::string checkFleetName(const ControlSettings &Settings) {
  if (findMember(Settings.FleetMembers_, Settings.Name_))
    return "";
  return "--name " + Settings.Name_ +
         " is not among --fleet-members; every control holds the fleet log";
}

static std::string checkDistinct(const std::vector<net::NamedEndpoint> &Members,
                                 const std::string &Flag) {
  for (std::size_t I = 0; I < Members.size(); ++I)
    for (std::size_t J = I + 1; J < Members.size(); ++J) {
      if (Members[I].Name_ == Members[J].Name_)
        return Flag + " names " + Members[I].Name_ + " twice";
      if (Members[I].Endpoint_ == Members[J].Endpoint_)
        return Flag + " gives " + Members[I].Name_ + " and " +
               Members[J].Name_ + " the same address";
    }
  return "";
}

static std::string checkDataCentreNames(const ControlSettings &Settings) {
  return checkDistinct(Settings.DataCentreMembers_, "--data-centre-members");
}

static std::string checkFleetNames(const ControlSettings &Settings) {
  return checkDistinct(Settings.FleetMembers_, "--fleet-members");
}

static std::string checkSameAddresses(const ControlSettings &Settings) {
  for (const net::NamedEndpoint &Member : Settings.DataCentreMembers_) {
    const net::NamedEndpoint *FleetMember =
        findMember(Settings.FleetMembers_, Member.Name_);
    if (FleetMember && FleetMember->Endpoint_ != Member.Endpoint_)
      return Member.Name_ + " is " + Member.Endpoint_.toString() +
             " in --data-centre-members, but " +
             FleetMember->Endpoint_.toString() + " in --fleet-members";
  }
  return "";
}

static std::string checkGroupName(const ControlSettings &Settings) {
  if (Settings.DataCentre_ != "fleet")
    return "";
  return "--data-centre must not be \"fleet\": that is the fleet log's name";
}

static std::string checkFolder(const ControlSettings &Settings) {
  if (!Settings.DataFolder_.empty() && Settings.MemoryOnly_)
    return "--memory-only and --data-folder exclude each other";
  if (Settings.DataFolder_.empty() && !Settings.MemoryOnly_)
    return "--data-folder is missing: without it nothing survives a loss of "
           "power; set it, or --memory-only on a VM without a disk";
  return "";
}

static std::string checkLease(const ControlSettings &Settings) {
  if (Settings.LeaseTtl_ >= MinHeartbeatsPerLease * Settings.Heartbeat_)
    return "";
  return "--lease-ttl must be at least three times --heartbeat, or one lost "
         "announcement stops tasks";
}

static std::string checkGrace(const ControlSettings &Settings) {
  if (Settings.StopGrace_ * 2 <= Settings.LeaseTtl_)
    return "";
  return "--stop-grace must be at most half of --lease-ttl";
}

static std::string checkSilence(const ControlSettings &Settings) {
  if (Settings.Silence_ > Settings.Heartbeat_)
    return "";
  return "--silence must be longer than --heartbeat, or every backend server "
         "leaves the routes between two announcements";
}

static std::string checkElection(const ControlSettings &Settings) {
  if (Settings.ElectionTimeout_ * 3 <= Settings.LeaseTtl_)
    return "";
  return "--election-timeout must be at most a third of --lease-ttl, or every "
         "change of leader ends running tasks";
}

static std::string checkAssignment(const ControlSettings &Settings) {
  if (Settings.AssignmentTtl_ >= 6 * Settings.LeaseTtl_)
    return "";
  return "--assignment-ttl must be at least six times --lease-ttl, so that a "
         "data centre can stop its tasks before the job may move";
}

using SettingRule = std::string (*)(const ControlSettings &);
static constexpr SettingRule Rules[] = {
    checkName,      checkFleetName,     checkDataCentreNames, checkFleetNames,
    checkGroupName, checkSameAddresses, checkFolder,          checkLease,
    checkGrace,     checkSilence,       checkElection,        checkAssignment};

static void addIdentity(net::Options &Flags, ControlSettings &Target) {
  Flags.addText("name", Target.Name_,
                "Name of this control, unique in the fleet", true);
  Flags.addText("data-centre", Target.DataCentre_, "Data centre it belongs to",
                true);
  Flags.addText("region", Target.Region_, "Region of the data centre");
  Flags.addEndpoint("listen-links", Target.ListenLinks_,
                    "Address for entries and other controls", true);
  Flags.addEndpoint("listen-http", Target.ListenHttp_,
                    "Address for /healthz, /readyz, /metrics and /debug/state",
                    true);
  Flags.addSecret("secret", Target.Secret_,
                  "Secret that all processes of the fleet share", 16);
}

static void addGroups(net::Options &Flags, ControlSettings &Target) {
  Flags.addPeers("data-centre-members", Target.DataCentreMembers_,
                 "Controls of this data centre, itself among them", true);
  Flags.addPeers("fleet-members", Target.FleetMembers_,
                 "Controls that hold the fleet log, itself among them", true);
  Flags.addText("data-folder", Target.DataFolder_,
                "Folder for the logs; its content survives a loss of power");
  Flags.addSwitch("memory-only", Target.MemoryOnly_,
                  "Keep the logs in memory: a restart counts as a lost disk");
  Flags.addSwitch("join", Target.Join_,
                  "Join groups that run already, as a learner");
  Flags.addInteger("snapshot-every", Target.SnapshotEvery_, 100, 10'000'000,
                   "Log entries between two snapshots");
}

static void addTimes(net::Options &Flags, ControlSettings &Target) {
  Flags.addDuration("election-timeout", Target.ElectionTimeout_,
                    milliseconds(50), seconds(60),
                    "Silence of the data centre's leader before an election");
  Flags.addDuration("fleet-election-timeout", Target.FleetElectionTimeout_,
                    milliseconds(50), seconds(60),
                    "Silence of the fleet's leader before an election");
  Flags.addDuration("heartbeat", Target.Heartbeat_, milliseconds(50),
                    seconds(60),
                    "Time between announcements of a backend server");
  Flags.addDuration("silence", Target.Silence_, milliseconds(100), seconds(120),
                    "Silence of a backend server before it gets no requests");
  Flags.addDuration("lease-ttl", Target.LeaseTtl_, milliseconds(200), hours(1),
                    "How long a task runs on without a renewal");
  Flags.addInteger("drift-ppm", Target.DriftPpm_, 1, 100'000,
                   "How far a clock's rate may be off, in millionths");
  Flags.addDuration("stop-grace", Target.StopGrace_, milliseconds(1),
                    seconds(60), "What a backend server takes to stop a task");
  Flags.addDuration("grant-ttl", Target.GrantTtl_, milliseconds(200),
                    seconds(60), "How long an entry uses slots unrenewed");
  Flags.addDuration("max-request", Target.MaxRequest_, milliseconds(100),
                    hours(1), "The longest that entries let a request run");
  Flags.addDuration("assignment-ttl", Target.AssignmentTtl_, seconds(1),
                    hours(48), "How long a cut-off data centre keeps its jobs");
  Flags.addDuration("forget-after", Target.ForgetAfter_, seconds(1), hours(24),
                    "Silence before an empty backend server is forgotten");
  Flags.addDuration("request-retention", Target.RequestRetention_, seconds(10),
                    hours(24 * 7), "How long non-repeatable requests are kept");
  Flags.addDuration("grace", Target.Grace_, milliseconds(100), hours(1),
                    "What a planned stop may take");
}

void control::addControlOptions(net::Options &Flags, ControlSettings &Target) {
  addIdentity(Flags, Target);
  addGroups(Flags, Target);
  addTimes(Flags, Target);
  Flags.addInteger("max-records", Target.MaxRecords_, 1'000, 100'000'000,
                   "Non-repeatable requests on record before new ones wait");
  Flags.addInteger("threads", Target.Threads_, 1, 64, "Network threads");
  net::addLogOptions(Flags, Target.Log_);
  for (SettingRule Rule : Rules)
    Flags.addRule([Rule, &Target] { return Rule(Target); });
}

std::vector<std::string>
control::listSettingProblems(const ControlSettings &Settings) {
  std::vector<std::string> Problems;
  for (SettingRule Rule : Rules)
    if (std::string Problem = Rule(Settings); !Problem.empty())
      Problems.push_back(std::move(Problem));
  return Problems;
}

static void addSizeWarning(std::vector<std::string> &Warnings,
                           const std::string &Flag, std::size_t Size) {
  if (Size < MinMembers)
    Warnings.push_back(Flag + " has " + std::to_string(Size) +
                       ": losing one VM stops the group; use 3 or 5");
  else if (Size % 2 == 0)
    Warnings.push_back(Flag + " has " + std::to_string(Size) +
                       ": an even group survives no more than one less");
}

std::vector<std::string>
control::listSettingWarnings(const ControlSettings &Settings) {
  std::vector<std::string> Warnings;
  addSizeWarning(Warnings, "--data-centre-members",
                 Settings.DataCentreMembers_.size());
  addSizeWarning(Warnings, "--fleet-members", Settings.FleetMembers_.size());
  if (Settings.MemoryOnly_)
    Warnings.push_back(
        "--memory-only: this member forgets its logs when it stops. The group "
        "survives a loss of power in the whole data centre only if a majority "
        "of its members have a data folder");
  return Warnings;
}
