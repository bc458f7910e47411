//===- EntryProgram.cpp ---------------------------------------------------===//

#include "entry/EntryProgram.h"

#include "entry/NetAdapters.h"
#include "entry/PlannedStop.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <memory>
#include <random>

using namespace tulipweir;
using namespace tulipweir::entry;
using net::ExitCode;

// Tickets must be hard to guess, so this is no seeded generator.
static std::uint64_t drawRandom() {
  thread_local std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

static net::HttpClientSettings
makeClientSettings(const EntrySettings &Settings) {
  net::HttpClientSettings Client;
  Client.MaxBodyBytes_ = static_cast<std::uint64_t>(Settings.MaxBodyBytes_);
  // The grants bound what is in flight to a server; this is no second limit.
  Client.MaxConnectionsPerPeer_ = 4096;
  return Client;
}

static EntryDependencies makeParts(const EntrySettings &Settings,
                                   const net::Endpoint &Bound,
                                   net::IoPool &Pool, Timers &Timers,
                                   const Clock &Clock, BackendClient &Backend,
                                   net::Metrics &Metrics) {
  net::LinkSettings Links;
  Links.Secret_ = Settings.Secret_;
  const DataCentreId Own(Settings.DataCentre_);
  const std::string Address =
      Settings.Advertise_.empty() ? Bound.toString() : Settings.Advertise_;
  return {{EntryId(Settings.Name_), Own, Address, drawRandom()},
          connectControls(Pool, Own, Settings.Controls_,
                          Settings.OtherControls_, Links, Timers, Clock),
          Backend,
          Timers,
          Clock,
          drawRandom,
          Metrics,
          Settings.ReportPeriod_,
          Settings.MaxRequest_,
          Settings.Batching_};
}

ExitCode entry::runEntry(const EntrySettings &Settings) {
  const SystemClock Clock;
  net::Metrics Metrics;
  net::IoPool Pool(static_cast<unsigned>(Settings.Threads_));
  PoolTimers Timers(Pool);
  NetBackendClient Backend(Pool, makeClientSettings(Settings));
  // Made once the port is known; until then calls are answered 503.
  std::unique_ptr<Entry> Held;
  std::unique_ptr<net::OperatorPages> Pages;
  std::atomic<bool> Made{false};
  net::HttpServer Server(
      Pool.context(), makeServerSettings(Settings),
      [&](net::HttpRequest Request, net::HttpRespond Respond) {
        if (!Made)
          return Respond(net::HttpResponse::makeText(503, "starting\n"));
        if (!Pages->handle(Request, Respond))
          Held->handle(std::move(Request), std::move(Respond));
      });
  const Outcome<net::Endpoint> Bound = Server.start();
  if (!Bound) {
    spdlog::error("{}", Bound.error().Message_);
    return ExitCode::CannotListen;
  }
  Held = std::make_unique<Entry>(makeParts(Settings, Bound.value(), Pool,
                                           Timers, Clock, Backend, Metrics));
  Pages = std::make_unique<net::OperatorPages>(
      Metrics, [&] { return Held->explainUnready(); },
      [&] { return Held->dump(); });
  Held->start();
  Made = true;
  PlannedStop Stop(Pool, Server, *Held, Settings.StopDelay_, Settings.Grace_);
  net::Signals Signals(
      Pool.context(), [&] { Stop.begin(); },
      [&] { Stop.end(ExitCode::GraceExceeded); },
      [&] { std::fprintf(stderr, "%s\n", Held->dump().c_str()); });
  spdlog::info("entry {} of {} at {}", Settings.Name_, Settings.DataCentre_,
               Bound.value().toString());
  const ExitCode Code = Stop.wait();
  spdlog::info("stopped with exit code {}", static_cast<int>(Code));
  Pool.stop();
  return Code;
}
