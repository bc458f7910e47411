//===- ControlProxy.h - What an entry passes to the leader -----*- C++ -*-===//
//
// /v1/announce of backend servers and /v1/operator/... of operators: checked,
// passed to the data centre's leader, and its answer passed back.
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

/// Thread-safe. What it is given outlives it.
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
