#include "control/PeerLinks.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

static void appendPeers(std::vector<net::NamedEndpoint> &Result,
                        const std::vector<net::NamedEndpoint> &Members,
                        const std::string &Self) {
  for (const net::NamedEndpoint &Member : Members) {
    const bool Listed =
        std::any_of(Result.begin(), Result.end(), [&Member](const auto &Other) {
          return Other.Name_ == Member.Name_;
        });
    if (Member.Name_ != Self && !Listed)
      Result.push_back(Member);
  }
}

std::vector<net::NamedEndpoint>
control::listPeers(const ControlSettings &Settings) {
  std::vector<net::NamedEndpoint> Peers;
  appendPeers(Peers, Settings.DataCentreMembers_, Settings.Name_);
  appendPeers(Peers, Settings.FleetMembers_, Settings.Name_);
  return Peers;
}

PeerLinks::PeerLinks(boost::asio::io_context &Context,
                     const std::vector<net::NamedEndpoint> &Peers,
                     const net::LinkSettings &Settings) {
  for (const net::NamedEndpoint &Peer : Peers)
    Links_.emplace(Peer.Name_, std::make_unique<net::LinkClient>(
                                   Context, Peer.Endpoint_, Settings));
}

void PeerLinks::start() {
  for (auto &[Name, Link] : Links_)
    Link->start();
}

void PeerLinks::stop() {
  for (auto &[Name, Link] : Links_)
    Link->stop();
}

void PeerLinks::addMetrics(net::Metrics &Registry) const {
  for (const auto &[Name, Owned] : Links_) {
    const net::LinkClient *Link = Owned.get();
    const std::string Labels = "peer=\"" + Name + "\"";
    Registry.addGauge(
        "tulipweir_peer_connected", "Whether the link to a control stands",
        [Link] { return Link->isConnected() ? 1.0 : 0.0; }, Labels);
    Registry.addGauge(
        "tulipweir_peer_sent_bytes", "Bytes sent to a control",
        [Link] { return static_cast<double>(Link->getCounters().BytesSent_); },
        Labels);
    Registry.addGauge(
        "tulipweir_peer_received_bytes", "Bytes received from a control",
        [Link] {
          return static_cast<double>(Link->getCounters().BytesReceived_);
        },
        Labels);
  }
}

void PeerLinks::call(const std::string &To, wire::MessageKind Kind,
                     std::string Body, Duration Timeout, Reply Done) {
  const auto It = Links_.find(To);
  if (It == Links_.end())
    return Done(fail(ErrorCode::Unavailable,
                     "no control process named " + To + " in the settings"));
  It->second->call(Kind, std::move(Body), Timeout, std::move(Done));
}

void PeerLinks::post(const std::string &To, wire::MessageKind Kind,
                     std::string Body) {
  const auto It = Links_.find(To);
  if (It != Links_.end())
    It->second->post(Kind, std::move(Body));
}
