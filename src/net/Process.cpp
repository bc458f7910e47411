#include "tulipweir/net/Process.h"

#include "tulipweir/net/Options.h"

#include <utility>

#include <atomic>
#include <boost/asio.hpp>
#include <cassert>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::net;

int net::leaveAfterOptions(const OptionsResult &Result) {
  assert(Result.Exit_ && "the options say to go on");
  const bool Good = *Result.Exit_ == ExitCode::Success;
  std::fputs(Result.Text_.c_str(), Good ? stdout : stderr);
  return static_cast<int>(*Result.Exit_);
}

void net::addLogOptions(Options &To, LogSettings &Target) {
  To.addChoice("log-level", Target.Level_,
               {"trace", "debug", "info", "warn", "error"},
               "The least important lines that are logged.");
  To.addSwitch("log-json", Target.Json_, "Logs one JSON object a line.");
}

namespace {

/// Formats each line as a JSON object; the library's patterns don't escape.
class JsonFormatter final : public spdlog::formatter {
public:
  explicit JsonFormatter(std::string Program) : Program_(std::move(Program)) {}

  void format(const spdlog::details::log_msg &Message,
              spdlog::memory_buf_t &To) override {
    using Replace = nlohmann::json::error_handler_t;
    const auto Level = spdlog::level::to_string_view(Message.level);
    const nlohmann::json Line = {
        {"time",
         Message.time.time_since_epoch() / std::chrono::milliseconds(1)},
        {"level", std::string(Level.data(), Level.size())},
        {"program", Program_},
        {"pid", ::getpid()},
        {"message",
         std::string(Message.payload.data(), Message.payload.size())}};
    const std::string Text = Line.dump(-1, ' ', false, Replace::replace) + "\n";
    To.append(Text.data(), Text.data() + Text.size());
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonFormatter>(Program_);
  }

private:
  std::string Program_;
};

} // namespace

void net::startLogging(const std::string &Program,
                       const LogSettings &Settings) {
  auto Logger = std::make_shared<spdlog::logger>(
      Program, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  if (Settings.Json_)
    Logger->set_formatter(std::make_unique<JsonFormatter>(Program));
  else
    Logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %n[%P] %l %v");
  Logger->set_level(spdlog::level::from_str(Settings.Level_));
  Logger->flush_on(spdlog::level::trace);
  spdlog::set_default_logger(std::move(Logger));
}

class Signals::Impl {
public:
  Impl(boost::asio::io_context &Context, std::function<void()> OnStop,
       std::function<void()> OnSecondStop, std::function<void()> OnDump)
      : Set_(Context, SIGTERM, SIGINT, SIGUSR1), OnStop_(std::move(OnStop)),
        OnSecondStop_(std::move(OnSecondStop)), OnDump_(std::move(OnDump)) {
    // Whoever reads our log may go away; that must not end the process.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    wait();
  }

private:
  void wait() {
    Set_.async_wait([this](boost::system::error_code Problem, int Number) {
      if (Problem)
        return;
      wait();
      handle(Number);
    });
  }

  void handle(int Number) {
    if (Number == SIGUSR1)
      return OnDump_();
    if (Stopping_.exchange(true))
      return OnSecondStop_();
    OnStop_();
  }

  boost::asio::signal_set Set_;
  std::function<void()> OnStop_;
  std::function<void()> OnSecondStop_;
  std::function<void()> OnDump_;
  std::atomic<bool> Stopping_{false};
};

Signals::Signals(boost::asio::io_context &Context, std::function<void()> OnStop,
                 std::function<void()> OnSecondStop,
                 std::function<void()> OnDump)
    : Impl_(std::make_unique<Impl>(Context, std::move(OnStop),
                                   std::move(OnSecondStop),
                                   std::move(OnDump))) {}
Signals::~Signals() = default;

OperatorPages::OperatorPages(const Metrics &Source,
                             std::function<std::string()> IsReady,
                             std::function<std::string()> Dump)
    : Source_(Source), IsReady_(std::move(IsReady)), Dump_(std::move(Dump)) {}

bool OperatorPages::handle(const HttpRequest &Request,
                           const HttpRespond &Respond) const {
  const bool Reads = Request.Method_ == "GET" || Request.Method_ == "HEAD";
  if (!Reads)
    return false;
  if (Request.Path_ == "/healthz") {
    Respond(HttpResponse::makeText(200, "ok\n"));
    return true;
  }
  if (Request.Path_ == "/readyz") {
    const std::string Why = IsReady_();
    Respond(HttpResponse::makeText(Why.empty() ? 200 : 503,
                                   Why.empty() ? "ready\n" : Why + "\n"));
    return true;
  }
  if (Request.Path_ == "/metrics") {
    HttpResponse Page = HttpResponse::makeText(200, Source_.renderText());
    Page.Headers_[0].Value_ = "text/plain; version=0.0.4";
    Respond(std::move(Page));
    return true;
  }
  if (Request.Path_ == "/debug/state") {
    Respond(HttpResponse::makeJson(200, Dump_()));
    return true;
  }
  return false;
}
