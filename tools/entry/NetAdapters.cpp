//===- NetAdapters.cpp ----------------------------------------------------===//

#include "entry/NetAdapters.h"

using namespace tulipweir;
using namespace tulipweir::entry;

std::map<DataCentreId, std::shared_ptr<ControlClient>>
entry::connectControls(net::IoPool &Pool, const DataCentreId &Own,
                       const std::vector<net::NamedEndpoint> &OwnControls,
                       const std::vector<net::NamedEndpoint> &OtherControls,
                       const net::LinkSettings &Settings, Timers &Timers,
                       const Clock &Clock) {
  std::map<DataCentreId, std::vector<net::NamedEndpoint>> ByCentre;
  ByCentre[Own] = OwnControls;
  for (const net::NamedEndpoint &Peer : OtherControls) {
    const std::size_t Slash = Peer.Name_.find('/');
    ByCentre[DataCentreId(Peer.Name_.substr(0, Slash))].push_back(
        {Peer.Name_.substr(Slash + 1), Peer.Endpoint_});
  }
  std::map<DataCentreId, std::shared_ptr<ControlClient>> Clients;
  for (const auto &[Centre, Peers] : ByCentre) {
    std::vector<std::unique_ptr<ControlLink>> Links;
    for (const net::NamedEndpoint &Peer : Peers)
      Links.push_back(std::make_unique<NetControlLink>(Pool, Peer, Settings));
    Clients[Centre] =
        std::make_shared<LeaderClient>(std::move(Links), Timers, Clock);
  }
  return Clients;
}
