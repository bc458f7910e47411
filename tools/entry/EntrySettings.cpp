//===- EntrySettings.cpp --------------------------------------------------===//

#include "entry/EntrySettings.h"

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr std::size_t MinSecretBytes = 16;

// "data centre/name" with both parts.
static bool hasDataCentre(const net::NamedEndpoint &Peer) {
  const std::size_t Slash = Peer.Name_.find('/');
  return Slash != std::string::npos && Slash > 0 &&
         Slash + 1 < Peer.Name_.size();
}

static std::string checkOtherControls(const EntrySettings &Settings) {
  for (const net::NamedEndpoint &Peer : Settings.OtherControls_) {
    if (!hasDataCentre(Peer))
      return "--other-controls: '" + Peer.Name_ +
             "' must be named \"data centre/name\"";
    if (Peer.Name_.starts_with(Settings.DataCentre_ + "/"))
      return "--other-controls: '" + Peer.Name_ +
             "' is of this data centre; name it in --controls";
  }
  return "";
}

void entry::addEntryOptions(net::Options &To, EntrySettings &Target) {
  To.addText("name", Target.Name_, "Name of this entry, unique in the fleet",
             true);
  To.addText("data-centre", Target.DataCentre_, "Data centre it belongs to",
             true);
  To.addEndpoint("listen", Target.Listen_,
                 "Where callers, backend servers and operators connect");
  To.addText("advertise", Target.Advertise_,
             "ip:port that others use to reach it; where it listens if empty");
  To.addPeers("controls", Target.Controls_,
              "All control processes of its data centre, with their names",
              true);
  To.addPeers("other-controls", Target.OtherControls_,
              "Control processes of the other data centres, named "
              "\"data centre/name\"; they hold the records of the keys that "
              "are at home there. The same at every entry");
  To.addSecret("secret", Target.Secret_,
               "Shared secret of all processes of the fleet", MinSecretBytes);
  To.addDuration("report-period", Target.ReportPeriod_, milliseconds(50),
                 seconds(2), "Time between reports to the leader");
  To.addDuration("heartbeat-batch", Target.Batching_.Period_, milliseconds(0),
                 seconds(1),
                 "How long a backend server's heartbeat that says nothing new "
                 "may wait for others; a lease gets shorter by as much");
  To.addDuration("heartbeat-refresh", Target.Batching_.Refresh_,
                 milliseconds(100), minutes(1),
                 "New measures of services and usage reach the leader at "
                 "least this often");
  To.addDuration("max-request", Target.MaxRequest_, milliseconds(100), hours(1),
                 "The longest deadline of a request, whatever its caller and "
                 "the bundle say. Must be at most --max-request of the "
                 "controls: their account of slots rests on it");
  To.addDuration("stop-delay", Target.StopDelay_, milliseconds(0), minutes(5),
                 "On a planned stop: how long it still accepts while /readyz "
                 "already says no, so that the balancer sees it");
  To.addDuration("grace", Target.Grace_, milliseconds(100), hours(1),
                 "On a planned stop: how long requests may take to finish");
  To.addInteger("max-connections", Target.MaxConnections_, 1, 1'000'000,
                "Open connections to callers at most");
  To.addInteger("max-body-bytes", Target.MaxBodyBytes_, 1, 1LL << 30,
                "Largest body of any request or answer");
  To.addInteger("max-header-bytes", Target.MaxHeaderBytes_, 1'024, 1 << 20,
                "Largest headers of any request");
  To.addDuration("read-timeout", Target.ReadTimeout_, milliseconds(100),
                 minutes(10), "Time in which a request must arrive whole");
  To.addInteger("threads", Target.Threads_, 1, 64, "Network threads");
  net::addLogOptions(To, Target.Log_);
  To.addRule([&Target] { return checkOtherControls(Target); });
}

net::HttpServerSettings entry::makeServerSettings(const EntrySettings &From) {
  net::HttpServerSettings Settings;
  Settings.Listen_ = From.Listen_;
  Settings.MaxConnections_ = static_cast<std::uint32_t>(From.MaxConnections_);
  Settings.MaxBodyBytes_ = static_cast<std::uint64_t>(From.MaxBodyBytes_);
  Settings.MaxHeaderBytes_ = static_cast<std::uint32_t>(From.MaxHeaderBytes_);
  Settings.ReadTimeout_ = From.ReadTimeout_;
  return Settings;
}
