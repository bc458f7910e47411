#include "control/ControlMetrics.h"

using namespace tulipweir;
using namespace tulipweir::control;
using net::LinkCounters;
using replication::ReplicaStatus;

namespace {
/// A gauge over one field of a replica's status.
struct GroupGauge {
  const char *Name_;
  const char *Help_;
  double (*Read_)(const ReplicaStatus &);
};

/// A gauge over one counter of the listening side.
struct LinkGauge {
  const char *Name_;
  const char *Help_;
  std::uint64_t LinkCounters::*Field_;
};
} // namespace

static constexpr GroupGauge GroupGauges[] = {
    {"tulipweir_group_leader", "1 while this control leads the group",
     [](const ReplicaStatus &S) { return S.IsLeader_ ? 1.0 : 0.0; }},
    {"tulipweir_group_leader_known", "1 while a leader is known",
     [](const ReplicaStatus &S) { return S.LeaderName_.empty() ? 0.0 : 1.0; }},
    {"tulipweir_group_term", "Term of the group",
     [](const ReplicaStatus &S) { return double(S.Term_); }},
    {"tulipweir_group_commit_index", "Entries committed",
     [](const ReplicaStatus &S) { return double(S.CommitIndex_); }},
    {"tulipweir_group_applied_index", "Entries applied here",
     [](const ReplicaStatus &S) { return double(S.AppliedIndex_); }},
    {"tulipweir_group_log_bytes", "Bytes of the log on disk",
     [](const ReplicaStatus &S) { return double(S.LogBytes_); }},
    {"tulipweir_group_syncs_total", "Syncs of the log",
     [](const ReplicaStatus &S) { return double(S.Syncs_); }},
    {"tulipweir_group_failed", "1 if this replica stopped by itself",
     [](const ReplicaStatus &S) { return S.Failure_.empty() ? 0.0 : 1.0; }},
    {"tulipweir_group_members", "Members of the group",
     [](const ReplicaStatus &S) { return double(S.Members_.size()); }}};

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
  for (const GroupGauge &Gauge : GroupGauges)
    Registry.addGauge(
        Gauge.Name_, Gauge.Help_,
        [&Replica, Read = Gauge.Read_] { return Read(Replica.getStatus()); },
        Labels);
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
