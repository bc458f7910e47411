#include "standin/StandInSettings.h"

#include <sstream>

using namespace tulipweir;
using namespace tulipweir::standin;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static std::string checkEntries(const std::string &Text) {
  if (splitList(Text).empty())
    return "--entries: at least one \"ip:port\" is needed";
  for (const std::string &Entry : splitList(Text))
    if (!net::Endpoint::parse(Entry))
      return "--entries: '" + Entry + "' is not \"ip:port\"";
  return "";
}

std::vector<std::string> standin::splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

void standin::addStandInOptions(net::Options &To, StandInSettings &Target) {
  To.addText("data-centre", Target.DataCentre_, "data centre of the servers");
  To.addText("name-prefix", Target.NamePrefix_,
             "names are PREFIX1, PREFIX2, ...; default DATACENTRE-s");
  To.addText("services", Target.Services_, "comma-separated services");
  To.addText("entries", Target.Entries_,
             "comma-separated ip:port of entries to announce to", true);
  To.addText("listen", Target.Listen_, "IP number that the servers listen on");
  To.addInteger("base-port", Target.BasePort_, 0, 65'535,
                "port of the first server; 0: the system chooses all");
  To.addInteger("servers", Target.Servers_, 1, 10'000, "how many servers");
  To.addInteger("servers-per-rack", Target.ServersPerRack_, 1, 10'000,
                "servers in a rack");
  To.addInteger("milli-cpus", Target.MilliCpus_, 1, 10'000'000,
                "capacity of each in thousandths of a processor");
  To.addInteger("memory-mib", Target.MemoryMib_, 1, 100'000'000,
                "capacity of each in MiB");
  To.addInteger("accelerators", Target.Accelerators_, 0, 1'000,
                "capacity of each");
  To.addInteger("slots", Target.Slots_, 1, 100'000, "requests at a time");
  To.addInteger("connections", Target.Connections_, 1, 100'000,
                "connections that each accepts");
  To.addInteger("service-time-us", Target.ServiceTimeUs_, 0, 600'000'000,
                "mean service time in microseconds");
  To.addChoice("service-time", Target.ServiceTimeKind_,
               {"exponential", "fixed"}, "distribution of service times");
  To.addDuration("usage-lag", Target.UsageLag_, Duration(0), minutes(10),
                 "how old measurements are when they are reported");
  To.addDuration("checkpoint-time", Target.CheckpointTime_, Duration(0),
                 minutes(10), "how long writing a checkpoint takes");
  To.addDuration("announce-timeout", Target.AnnounceTimeout_, milliseconds(10),
                 minutes(1), "after which the next entry is tried");
  To.addDuration("drain-hold", Target.DrainHold_, Duration(0), minutes(10),
                 "how long a leaving server stays at the least");
  To.addDuration("grace", Target.Grace_, seconds(1), minutes(60),
                 "longest planned stop");
  To.addEndpoint("admin", Target.Admin_, "where faults are switched");
  To.addText("audit", Target.Audit_, "file for the audit log; none if empty");
  To.addInteger("seed", Target.Seed_, 0, 1'000'000'000, "of service times");
  To.addInteger("threads", Target.Threads_, 1, 64, "network threads");
  net::addLogOptions(To, Target.Log_);
  To.addRule([&Target] { return checkEntries(Target.Entries_); });
}

StandInServerSettings standin::makeServerSettings(const StandInSettings &From,
                                                  std::size_t Number) {
  StandInServerSettings Settings;
  std::string Prefix =
      From.NamePrefix_.empty() ? From.DataCentre_ + "-s" : From.NamePrefix_;
  Settings.Server_ = BackendServerId(Prefix + std::to_string(Number + 1));
  Settings.DataCentre_ = DataCentreId(From.DataCentre_);
  std::size_t Rack = Number / static_cast<std::size_t>(From.ServersPerRack_);
  Settings.Rack_ = RackId(From.DataCentre_ + "-r" + std::to_string(Rack + 1));
  for (const std::string &Service : splitList(From.Services_))
    Settings.Services_.emplace_back(Service);
  for (const std::string &Entry : splitList(From.Entries_))
    Settings.Entries_.push_back(net::Endpoint::parse(Entry).value());
  Settings.Slots_ = static_cast<std::uint32_t>(From.Slots_);
  Settings.Connections_ = static_cast<std::uint32_t>(From.Connections_);
  Settings.Listen_.Address_ = From.Listen_;
  if (From.BasePort_ != 0)
    Settings.Listen_.Port_ =
        static_cast<std::uint16_t>(From.BasePort_ + Number);
  Settings.ServiceTime_ = std::chrono::microseconds(From.ServiceTimeUs_);
  Settings.ServiceTimeFixed_ = From.ServiceTimeKind_ == "fixed";
  Settings.AnnounceTimeout_ = From.AnnounceTimeout_;
  Settings.DrainHold_ = From.DrainHold_;
  Settings.Seed_ = static_cast<std::uint64_t>(From.Seed_) + Number;
  Settings.Tasks_.Capacity_ =
      Resources::makeFor(From.MilliCpus_, From.MemoryMib_, From.Accelerators_);
  Settings.Tasks_.UsageLag_ = From.UsageLag_;
  Settings.Tasks_.CheckpointTime_ = From.CheckpointTime_;
  return Settings;
}
