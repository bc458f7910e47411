//===- ControlProxy.h - Forwarding of requests to the leader ---*- C++ -*-===//
//
// Validates announcements of backend servers at /v1/announce and requests of
// operators at /v1/operator/..., forwards them to the data centre's leader and
// returns its replies.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_CONTROLPROXY_H
#define TULIPWEIR_ENTRY_CONTROLPROXY_H

#include "tulipweir/entry/AnnouncementBatcher.h"
#include "tulipweir/entry/ControlClient.h"
#include "tulipweir/entry/EntryMetrics.h"
#include "tulipweir/entry/EntryState.h"
#include "tulipweir/entry/Router.h"
#include "tulipweir/net/Http.h"

namespace tulipweir::entry {

inline constexpr const char *OperatorPrefix = "/v1/operator";

/// Forwards announcements and operator requests. Thread-safe. Referenced
/// objects outlive it.
class ControlProxy {
public:
  ControlProxy(const EntryIdentity &Identity, ControlClient &Control,
               AnnouncementBatcher &Batcher, Router &Router,
               EntryMetrics &Metrics)
      : Identity_(Identity), Control_(Control), Batcher_(Batcher),
        Router_(Router), Metrics_(Metrics) {}

  void handleAnnouncement(const net::HttpRequest &Request,
                          net::HttpRespond Respond);
  void handleOperator(net::HttpRequest Request, net::HttpRespond Respond);

private:
  const EntryIdentity &Identity_;
  ControlClient &Control_;
  AnnouncementBatcher &Batcher_;
  Router &Router_;
  EntryMetrics &Metrics_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_CONTROLPROXY_H
