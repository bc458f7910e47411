//===- NetAdapters.h - The net module behind entry's interfaces -*- C++ -*-===//
//
// Thin adapters from Timers, BackendClient and ControlLink to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_ENTRY_NETADAPTERS_H
#define TULIPWEIR_TOOLS_ENTRY_NETADAPTERS_H

#include "tulipweir/entry/BackendClient.h"
#include "tulipweir/entry/LeaderClient.h"
#include "tulipweir/entry/Timers.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Link.h"
#include "tulipweir/net/Options.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tulipweir::entry {

class PoolTimers final : public Timers {
public:
  explicit PoolTimers(net::IoPool &Pool) : Pool_(Pool) {}
  void runAfter(Duration Delay, std::function<void()> Task) override {
    Pool_.runAfter(Delay, std::move(Task));
  }

private:
  net::IoPool &Pool_;
};

class NetBackendClient final : public BackendClient {
public:
  NetBackendClient(net::IoPool &Pool, const net::HttpClientSettings &Settings)
      : Client_(Pool.context(), Settings) {}
  std::uint64_t send(const net::Endpoint &To, net::HttpRequest Request,
                     TimePoint Deadline,
                     net::HttpClient::Callback Done) override {
    return Client_.send(To, std::move(Request), Deadline, std::move(Done));
  }
  void cancel(std::uint64_t Exchange) override { Client_.cancel(Exchange); }
  void forget(const net::Endpoint &Peer) override { Client_.forget(Peer); }

private:
  net::HttpClient Client_;
};

class NetControlLink final : public ControlLink {
public:
  NetControlLink(net::IoPool &Pool, const net::NamedEndpoint &Peer,
                 const net::LinkSettings &Settings)
      : Name_(Peer.Name_), Client_(Pool.context(), Peer.Endpoint_, Settings) {
    Client_.start();
  }
  ~NetControlLink() override { Client_.stop(); }
  const std::string &name() const override { return Name_; }
  void call(wire::MessageKind Kind, std::string Body, Duration Timeout,
            std::function<void(Outcome<std::string>)> Done) override {
    Client_.call(Kind, std::move(Body), Timeout, std::move(Done));
  }

private:
  const std::string Name_;
  net::LinkClient Client_;
};

/// One leader-finding client per data centre that the settings name.
std::map<DataCentreId, std::shared_ptr<ControlClient>>
connectControls(net::IoPool &Pool, const DataCentreId &Own,
                const std::vector<net::NamedEndpoint> &OwnControls,
                const std::vector<net::NamedEndpoint> &OtherControls,
                const net::LinkSettings &Settings, Timers &Timers,
                const Clock &Clock);

} // namespace tulipweir::entry

#endif // TULIPWEIR_TOOLS_ENTRY_NETADAPTERS_H
