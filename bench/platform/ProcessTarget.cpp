#include "ProcessTarget.h"

#include <chrono>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::bench;
using namespace std::chrono_literals;

/// Later answers are dropped, as by the platform's servers.
static constexpr auto AnswerTimeout = 1s;
/// Enough for one connection per server, with a margin.
static constexpr std::uint32_t MaxConnections = 2000;

static net::HttpClientSettings makeClientSettings() {
  net::HttpClientSettings Settings;
  Settings.MaxConnectionsPerPeer_ = MaxConnections;
  return Settings;
}

ProcessTarget::ProcessTarget(const net::Endpoint &Control,
                             const net::Endpoint &Entry)
    : Control_(Control), Entry_(Entry),
      Client_(Pool_.context(), makeClientSettings()) {}

ProcessTarget::~ProcessTarget() { Pool_.stop(); }

void ProcessTarget::send(const net::Endpoint &To, const char *Method,
                         const std::string &Path, const std::string &Body,
                         ReplyHandler Done) {
  net::HttpRequest Request;
  Request.Method_ = Method;
  Request.Path_ = Path;
  Request.Headers_ = {{"Host", "jobs.example"},
                      {"Content-Type", "application/json"}};
  Request.Body_ = Body;
  Client_.send(
      To, std::move(Request), BootClock::now() + AnswerTimeout,
      [this, Done = std::move(Done)](const net::HttpResult &Result) {
        const bool IsSuccess =
            Result.Response_ && Result.Response_.value().Status_ == 200;
        std::string Text = IsSuccess ? Result.Response_.value().Body_ : "";
        const std::lock_guard Hold(Lock_);
        Answers_.push_back([Done, Text = std::move(Text)] { Done(Text); });
      });
}

void ProcessTarget::configure(const std::string &Body) {
  bool IsAccepted = false;
  while (!IsAccepted) {
    send(Control_, "PUT", "/api/config", Body,
         [&IsAccepted](const std::string &Answer) {
           IsAccepted = !Answer.empty();
         });
    advance(static_cast<int>(std::chrono::milliseconds(AnswerTimeout).count()));
  }
}

void ProcessTarget::submit(const std::string &Path, const std::string &Body) {
  send(Entry_, "POST", Path, Body, [](const std::string &) {});
}

void ProcessTarget::report(const std::string &Server, const std::string &Body,
                           ReplyHandler Done) {
  const auto It = ReportEndpoints_.find(Server);
  const net::Endpoint To = It == ReportEndpoints_.end() ? Control_ : It->second;
  send(To, "PUT", "/api/instances/" + Server, Body,
       [this, Server, Done = std::move(Done)](const std::string &Answer) {
         updateReportEndpoint(Server, Answer);
         Done(Answer);
       });
}

/// Sends later reports to the address in the answer, until a report fails
/// there.
void ProcessTarget::updateReportEndpoint(const std::string &Server,
                                         const std::string &Answer) {
  static constexpr std::string_view Key = R"("heartbeatUrl":")";
  const std::size_t At = Answer.find(Key);
  if (At == std::string::npos) {
    ReportEndpoints_.erase(Server);
    return;
  }
  const std::size_t Begin = At + Key.size();
  const auto To = net::Endpoint::parse(
      Answer.substr(Begin, Answer.find('"', Begin) - Begin));
  if (To)
    ReportEndpoints_[Server] = To.value();
}

void ProcessTarget::advance(int Ms) {
  const auto End = BootClock::now() + std::chrono::milliseconds(Ms);
  while (BootClock::now() < End) {
    std::deque<std::function<void()>> Ready;
    {
      const std::lock_guard Hold(Lock_);
      Ready.swap(Answers_);
    }
    for (const std::function<void()> &Handle : Ready)
      Handle();
    std::this_thread::sleep_for(1ms);
  }
}
