#include "standin/StandInProgram.h"

#include "standin/AdminApi.h"

#include "tulipweir/net/HttpServer.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <cstdio>
#include <future>

using namespace tulipweir;
using namespace tulipweir::standin;
using net::ExitCode;

static constexpr Duration TickPeriod = std::chrono::milliseconds(10);

namespace {

/// Decides when a planned stop is over.
class PlannedStop {
public:
  PlannedStop(std::vector<std::shared_ptr<StandInServer>> Servers,
              Duration Grace)
      : Servers_(std::move(Servers)), Grace_(Grace) {}

  void begin() {
    spdlog::info("planned stop: leaving");
    for (const auto &Server : Servers_)
      Server->beginDraining();
    BegunAt_ = BootClock::now().time_since_epoch();
  }
  void check(TimePoint Now) {
    Duration BegunAt = BegunAt_;
    if (BegunAt == Duration(0))
      return;
    bool Drained = true;
    for (const auto &Server : Servers_)
      Drained = Drained && Server->isDrained(Now);
    if (Drained)
      end(ExitCode::Success);
    else if (Now.time_since_epoch() - BegunAt >= Grace_)
      end(ExitCode::GraceExceeded);
  }
  void end(ExitCode Code) {
    if (!Ended_.exchange(true))
      Result_.set_value(Code);
  }
  ExitCode wait() { return Result_.get_future().get(); }

private:
  std::vector<std::shared_ptr<StandInServer>> Servers_;
  Duration Grace_;
  std::atomic<Duration> BegunAt_{Duration(0)};
  std::atomic<bool> Ended_{false};
  std::promise<ExitCode> Result_;
};

} // namespace

static net::HttpClientSettings
makeClientSettings(const StandInSettings &Settings) {
  net::HttpClientSettings Client;
  Client.MaxConnectionsPerPeer_ =
      static_cast<std::uint32_t>(Settings.Servers_ + 8);
  return Client;
}

ExitCode standin::runStandIn(const StandInSettings &Settings) {
  Outcome<std::unique_ptr<AuditLog>> Audit = AuditLog::open(Settings.Audit_);
  if (!Audit) {
    spdlog::error("{}", Audit.error().Message_);
    return ExitCode::StorageFailed;
  }
  net::IoPool Pool(static_cast<unsigned>(Settings.Threads_));
  net::HttpClient Client(Pool.context(), makeClientSettings(Settings));
  std::vector<std::shared_ptr<StandInServer>> Servers;
  for (std::size_t Number = 0;
       Number < static_cast<std::size_t>(Settings.Servers_); ++Number) {
    Servers.push_back(std::make_shared<StandInServer>(
        Pool, Client, *Audit.value(), makeServerSettings(Settings, Number)));
    Outcome<net::Endpoint> Bound = Servers.back()->start();
    if (!Bound) {
      spdlog::error("{}", Bound.error().Message_);
      return ExitCode::CannotListen;
    }
  }

  AdminApi Admin(Servers);
  net::Metrics Metrics;
  net::OperatorPages Pages(
      Metrics, [] { return std::string(); }, [&] { return Admin.dump(); });
  net::HttpServerSettings AdminSettings;
  AdminSettings.Listen_ = Settings.Admin_;
  net::HttpServer AdminServer(
      Pool.context(), AdminSettings,
      [&](const net::HttpRequest &Request, const net::HttpRespond &Respond) {
        if (!Pages.handle(Request, Respond))
          Respond(Admin.handle(Request));
      });
  Outcome<net::Endpoint> AdminAt = AdminServer.start();
  if (!AdminAt) {
    spdlog::error("{}", AdminAt.error().Message_);
    return ExitCode::CannotListen;
  }

  PlannedStop Stop(Servers, Settings.Grace_);
  net::Signals Signals(
      Pool.context(), [&] { Stop.begin(); },
      [&] { Stop.end(ExitCode::GraceExceeded); },
      [&] { std::fprintf(stderr, "%s\n", Admin.dump().c_str()); });
  Pool.runEvery(TickPeriod, [&] {
    TimePoint Now = BootClock::now();
    for (const auto &Server : Servers)
      Server->tick(Now);
    Stop.check(Now);
  });
  spdlog::info("{} servers of {}, first at {}, admin at {}", Servers.size(),
               Settings.DataCentre_, Servers.front()->getStatus().Address_,
               AdminAt.value().toString());
  ExitCode Code = Stop.wait();
  spdlog::info("stopped with exit code {}", static_cast<int>(Code));
  Pool.stop();
  return Code;
}
