#include "load/LoadRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::load;
using Json = nlohmann::json;

// A caller waits a little longer than the deadline for the verdict.
static constexpr Duration AnswerMargin = std::chrono::milliseconds(500);
static constexpr Duration LateSend = std::chrono::milliseconds(1);
static constexpr Duration ResendAfter = std::chrono::milliseconds(50);
static constexpr unsigned NoStatus = 0;

static net::HttpClientSettings makeClientSettings(const LoadSettings &From) {
  net::HttpClientSettings Client;
  Client.MaxConnectionsPerPeer_ = static_cast<std::uint32_t>(From.Connections_);
  return Client;
}

static std::string makeRunId() {
  std::random_device Device;
  return std::to_string(Device()) + "-" + std::to_string(Device());
}

LoadRun::LoadRun(const LoadSettings &Settings)
    : Settings_(Settings), Targets_(readTargets(Settings)),
      Body_(static_cast<std::size_t>(Settings.BodyBytes_), 'b'),
      RunId_(makeRunId()), Length_(Settings.Length_),
      Random_(static_cast<std::uint64_t>(Settings.Seed_)),
      Pool_(static_cast<unsigned>(Settings.Threads_)),
      Client_(Pool_.context(), makeClientSettings(Settings)) {
  if (!Settings.RequestLog_.empty())
    RequestLog_.open(Settings.RequestLog_, std::ios::trunc);
}

Duration LoadRun::drawGap() {
  double Mean = 1.0 / static_cast<double>(Settings_.RatePerSecond_);
  double Gap = Settings_.Arrivals_ == "fixed"
                   ? Mean
                   : std::exponential_distribution<double>(1 / Mean)(Random_);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Gap));
}

void LoadRun::run() {
  TimePoint Start = BootClock::now();
  TimePoint CountFrom = Start + Settings_.Warmup_;
  TimePoint End = CountFrom + Settings_.Length_;
  TimePoint Next = Start;
  for (std::uint64_t Number = 1; Next < End && !Stopping_; ++Number) {
    std::this_thread::sleep_until(Next);
    begin(Number, Next, Next >= CountFrom);
    Next += drawGap();
  }
  Length_ = std::min<Duration>(Length_, BootClock::now() - CountFrom);
  std::unique_lock Guard(Lock_);
  AllAnswered_.wait(Guard, [&] { return Open_ == 0; });
}

void LoadRun::begin(std::uint64_t Number, TimePoint IntendedAt, bool Counted) {
  auto Current = std::make_shared<Call>();
  Current->Number_ = Number;
  Current->IntendedAt_ = IntendedAt;
  Current->Counted_ = Counted;
  Current->Id_ = RunId_ + "-" + std::to_string(Number);
  Current->ResendsLeft_ = Settings_.Resends_;
  {
    std::lock_guard Guard(Lock_);
    ++Open_;
  }
  if (Counted) {
    Report_.noteSent();
    if (BootClock::now() - IntendedAt > LateSend)
      Report_.noteLateSend();
  }
  if (Settings_.KeyMode_ == "ticket")
    return takeTicket(Current);
  if (Settings_.KeyMode_ == "own")
    Current->Key_ = Current->Id_;
  send(Current);
}

const net::Endpoint &LoadRun::nextTarget() {
  return Targets_[TargetInUse_++ % Targets_.size()];
}

void LoadRun::takeTicket(const CallPtr &Current) {
  net::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/v1/tickets";
  Client_.send(nextTarget(), std::move(Request),
               Current->IntendedAt_ + Settings_.Deadline_ + AnswerMargin,
               [this, Current](net::HttpResult Result) {
                 Json Body;
                 if (Result.Response_.has_value())
                   Body = Json::parse(Result.Response_.value().Body_, nullptr,
                                      false);
                 if (!Body.is_object() || !Body.contains("ticket"))
                   return finish(*Current, RequestOutcome::NotRun, NoStatus);
                 Current->Key_ = Body["ticket"].get<std::string>();
                 send(Current);
               });
}

net::HttpRequest LoadRun::makeRequest(const Call &Current) const {
  Duration Left = Current.IntendedAt_ + Settings_.Deadline_ - BootClock::now();
  auto LeftMs = std::chrono::duration_cast<std::chrono::milliseconds>(Left);
  net::HttpRequest Request;
  Request.Method_ = Settings_.Method_;
  Request.Path_ = "/" + Settings_.Path_ + "/" + Current.Id_;
  Request.Query_ = Settings_.Query_;
  Request.Body_ = Body_;
  if (Settings_.Direct_) {
    Request.Headers_ = {{"X-Tulipweir-Service", Settings_.Service_},
                        {"X-Tulipweir-Request-Id", Current.Id_}};
    return Request;
  }
  Request.Path_ = "/v1/services/" + Settings_.Service_ + Request.Path_;
  Request.Headers_ = {
      {"X-Tulipweir-Deadline-Ms",
       std::to_string(std::max<std::int64_t>(1, LeftMs.count()))}};
  if (!Settings_.Caller_.empty())
    Request.Headers_.push_back({"X-Tulipweir-Caller", Settings_.Caller_});
  if (!Current.Key_.empty())
    Request.Headers_.push_back({Settings_.KeyMode_ == "ticket"
                                    ? "X-Tulipweir-Ticket"
                                    : "Idempotency-Key",
                                Current.Key_});
  return Request;
}

void LoadRun::send(const CallPtr &Current) {
  TimePoint Deadline =
      std::max(Current->IntendedAt_ + Settings_.Deadline_, BootClock::now()) +
      AnswerMargin;
  Client_.send(
      nextTarget(), makeRequest(*Current), Deadline,
      [this, Current](net::HttpResult Result) { judge(Current, Result); });
}

void LoadRun::judge(const CallPtr &Current, const net::HttpResult &Result) {
  RequestOutcome Outcome = RequestOutcome::Broken;
  unsigned Status = NoStatus;
  if (Result.Response_.has_value()) {
    Status = Result.Response_.value().Status_;
    Outcome = readOutcome(*Current, Result.Response_.value());
  } else if (Result.Stage_ == net::HttpStage::NothingSent) {
    Outcome = RequestOutcome::NotRun;
  }
  bool Open = Outcome == RequestOutcome::Unknown ||
              Outcome == RequestOutcome::NotRun ||
              Outcome == RequestOutcome::Broken;
  if (Open && Current->ResendsLeft_ > 0 && !Stopping_) {
    --Current->ResendsLeft_;
    Report_.noteResent();
    return Pool_.runAfter(ResendAfter, [this, Current] { send(Current); });
  }
  finish(*Current, Outcome, Status);
}

RequestOutcome LoadRun::readOutcome(const Call &Current,
                                    const net::HttpResponse &Response) const {
  std::string_view Said = Response.findHeader("X-Tulipweir-Outcome");
  if (Settings_.Direct_)
    Said = Response.findHeader("X-Tulipweir-Not-Run") == "1" ? "not-run"
                                                             : "served";
  if (Said == "not-run")
    return Response.Status_ == 503 || Response.Status_ == 429
               ? RequestOutcome::NotRun
               : RequestOutcome::Refused;
  if (Said == "unknown")
    return RequestOutcome::Unknown;
  if (Said != "served")
    return Response.Status_ == 409 || Response.Status_ == 410
               ? RequestOutcome::Refused
               : RequestOutcome::Broken;
  if (Response.Status_ != 200)
    return RequestOutcome::Failed;
  return isWhole(Current, Response) ? RequestOutcome::Served
                                    : RequestOutcome::Wrong;
}

bool LoadRun::isWhole(const Call &Current,
                      const net::HttpResponse &Response) const {
  // An answer in bytes has no place for the path; its length must do.
  std::size_t Asked = Settings_.Query_.find("bytes=");
  if (Asked != std::string::npos)
    return Response.Body_.size() ==
           std::strtoull(Settings_.Query_.c_str() + Asked + 6, nullptr, 10);
  Json Body = Json::parse(Response.Body_, nullptr, false);
  return Body.is_object() &&
         Body.value("path", "") == "/" + Settings_.Path_ + "/" + Current.Id_ &&
         Body.value("echo", "") == Body_;
}

void LoadRun::finish(const Call &Current, RequestOutcome Outcome,
                     unsigned Status) {
  Duration Latency = BootClock::now() - Current.IntendedAt_;
  if (Current.Counted_)
    Report_.record(Outcome, Status, Latency);
  std::lock_guard Guard(Lock_);
  if (RequestLog_.is_open())
    RequestLog_ << Json{{"path", "/" + Settings_.Path_ + "/" + Current.Id_},
                        {"key", Current.Key_},
                        {"outcome", getOutcomeName(Outcome)},
                        {"status", Status}}
                       .dump()
                << "\n";
  if (--Open_ == 0)
    AllAnswered_.notify_all();
}
