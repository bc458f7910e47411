//===- PeerLinks.h - Links to the other control processes ------*- C++ -*-===//
//
// Implements PeerCaller. The set of peers is fixed by the settings.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_PEERLINKS_H
#define TULIPWEIR_SRC_CONTROL_PEERLINKS_H

#include "control/PeerCaller.h"
#include "tulipweir/control/ControlSettings.h"
#include "tulipweir/net/Link.h"
#include "tulipweir/net/Metrics.h"

#include <map>
#include <memory>
#include <vector>

namespace tulipweir::control {

/// Returns every control process in the settings except this one.
std::vector<net::NamedEndpoint> listPeers(const ControlSettings &Settings);

class PeerLinks final : public PeerCaller {
public:
  PeerLinks(boost::asio::io_context &Context,
            const std::vector<net::NamedEndpoint> &Peers,
            const net::LinkSettings &Settings);

  void start();
  void stop();
  void addMetrics(net::Metrics &Registry) const;

  void call(const std::string &To, wire::MessageKind Kind, std::string Body,
            Duration Timeout, Reply Done) override;
  void post(const std::string &To, wire::MessageKind Kind,
            std::string Body) override;

private:
  /// Immutable after construction, so it needs no lock.
  std::map<std::string, std::unique_ptr<net::LinkClient>> Links_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_PEERLINKS_H
