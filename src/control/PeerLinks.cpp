#include "control/PeerLinks.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

static void appendPeers(std::vector<net::NamedEndpoint> &To,
                        const std::vector<net::NamedEndpoint> &Members,
                        const std::string &Self) {
  for (const net::NamedEndpoint &Member : Members) {
    const bool Known =
        std::any_of(To.begin(), To.end(), [&Member](const auto &Other) {
          return Other.Name_ == Member.Name_;
        });
    if (Member.Name_ != Self && !Known)
      To.push_back(Member);
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

void PeerLinks::addMetrics(net::Metrics &To) const {
  for (const auto &[Name, Owned] : Links_) {
    const net::LinkClient *Link = Owned.get();
    const std::string Labels = "peer=\"" + Name + "\"";
    To.addGauge(
        "tulipweir_peer_connected", "Whether the link to a control stands",
        [Link] { return Link->isConnected() ? 1.0 : 0.0; }, Labels);
    To.addGauge(
        "tulipweir_peer_sent_bytes", "Bytes sent to a control",
        [Link] { return static_cast<double>(Link->getCounters().BytesSent_); },
        Labels);
    To.addGauge(
        "tulipweir_peer_received_bytes", "Bytes received from a control",
        [Link] {
          return static_cast<double>(Link->getCounters().BytesReceived_);
        },
        Labels);
  }
}

void PeerLinks::call(const std::string &To, wire::MessageKind Kind,
                     std::string Body, Duration Timeout, Reply Done) {
  const auto Found = Links_.find(To);
  if (Found == Links_.end())
    return Done(fail(ErrorCode::Unavailable,
                     "no control is named " + To + " in this one's settings"));
  Found->second->call(Kind, std::move(Body), Timeout, std::move(Done));
}

void PeerLinks::post(const std::string &To, wire::MessageKind Kind,
                     std::string Body) {
  const auto Found = Links_.find(To);
  if (Found != Links_.end())
    Found->second->post(Kind, std::move(Body));
}
