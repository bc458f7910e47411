#include "control/ControlMetrics.h"

#include "tulipweir/replication/ReplicaGauges.h"

using namespace tulipweir;
using namespace tulipweir::control;
using net::LinkCounters;

namespace {
/// A gauge over one counter of the listening side.
struct LinkGauge {
  const char *Name_;
  const char *Help_;
  std::uint64_t LinkCounters::*Field_;
};
} // namespace

static constexpr LinkGauge LinkGauges[] = {
    {"tulipweir_link_frames_sent_total", "Frames sent as the listening side",
     &LinkCounters::FramesSent_},
    {"tulipweir_link_frames_received_total",
     "Frames received as the listening side", &LinkCounters::FramesReceived_},
    {"tulipweir_link_sent_bytes_total", "Bytes sent as the listening side",
     &LinkCounters::BytesSent_},
    {"tulipweir_link_received_bytes_total",
     "Bytes received as the listening side", &LinkCounters::BytesReceived_},
    {"tulipweir_link_handshakes_refused_total",
     "Handshakes refused: version or secret",
     &LinkCounters::HandshakesRefused_},
    {"tulipweir_link_frames_malformed_total", "Frames that were malformed",
     &LinkCounters::FramesMalformed_}};

void control::addGroupMetrics(net::Metrics &Registry, const std::string &Group,
                              const replication::Replica &Replica,
                              const ReplicationTransport &Out) {
  const std::string Labels = "group=\"" + Group + "\"";
  replication::addReplicaGauges(Registry, Group,
                                [&Replica] { return Replica.getStatus(); });
  Registry.addGauge(
      "tulipweir_group_sent_messages_total", "Replication messages sent",
      [&Out] { return double(Out.getMessageCount()); }, Labels);
  Registry.addGauge(
      "tulipweir_group_sent_bytes_total", "Replication bytes sent",
      [&Out] { return double(Out.getByteCount()); }, Labels);
}

void control::addLinkMetrics(net::Metrics &Registry,
                             const net::LinkServer &Server) {
  for (const LinkGauge &Gauge : LinkGauges)
    Registry.addGauge(Gauge.Name_, Gauge.Help_,
                      [&Server, Field = Gauge.Field_] {
                        return double(Server.getCounters().*Field);
                      });
}

void control::addBundleMetrics(net::Metrics &Registry, const BundleStore &Store,
                               const fleet::FleetStateMachine &Fleet) {
  Registry.addGauge("tulipweir_bundle_version",
                    "Version of the bundle in force",
                    [&Store] { return double(Store.getVersion().value()); });
  Registry.addGauge("tulipweir_bundle_log_version",
                    "Version of the newest bundle in this control's log",
                    [&Fleet] {
                      const auto InLog = Fleet.getBundle();
                      return InLog ? double(InLog->Version_.value()) : 0.0;
                    });
  Registry.addGauge(
      "tulipweir_bundle_unwritten_version",
      "Version that is not handed on as its file was not written; or 0",
      [&Store] { return double(Store.getUnwrittenVersion().value()); });
  Registry.addGauge("tulipweir_jobs_open", "Batch jobs that have not ended",
                    [&Fleet] {
                      return Fleet.read([](const fleet::FleetState &State) {
                        return double(State.jobs().countOpen());
                      });
                    });
}
