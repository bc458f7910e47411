#include "standin/StandInServer.h"

#include "standin/StandInJson.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::standin;
using Json = nlohmann::json;

static constexpr Duration MeterPeriod = std::chrono::seconds(1);
static constexpr Duration RetryAnnounce = std::chrono::milliseconds(50);

static AuditRequest readAudit(const net::HttpRequest &Message) {
  return {std::string(Message.findHeader("X-Tulipweir-Service")),
          Message.Method_, Message.Path_,
          std::string(Message.findHeader("X-Tulipweir-Request-Id")),
          std::string(Message.findHeader("X-Tulipweir-Request-Key"))};
}

/// Bytes of a known pattern, so that a reader sees any that is wrong.
static std::string makePattern(std::size_t Size) {
  std::string Bytes(Size, '\0');
  for (std::size_t Index = 0; Index < Size; ++Index)
    Bytes[Index] = static_cast<char>('a' + Index % 26);
  return Bytes;
}

StandInServer::StandInServer(net::IoPool &Pool, net::HttpClient &Client,
                             AuditLog &Audit,
                             const StandInServerSettings &Settings)
    : Pool_(Pool), Client_(Client), Audit_(Audit), Settings_(Settings),
      Random_(Settings.Seed_), Boot_(makeBoot()), Tasks_(Settings.Tasks_),
      Meter_(Settings.Slots_, MeterPeriod, Settings.Tasks_.UsageLag_),
      EntryInUse_(Settings.Seed_) {}

std::string StandInServer::makeBoot() {
  // Not from the seed: a restarted process is another boot.
  std::random_device Device;
  return std::to_string(Device()) + "-" + std::to_string(Device());
}

Outcome<net::Endpoint> StandInServer::start() {
  Http_ = std::make_unique<FaultyHttpServer>(
      Pool_.context(), Settings_.Connections_,
      [this](net::HttpRequest Message, FaultyRespond Respond) {
        handle(std::move(Message), std::move(Respond));
      });
  Outcome<net::Endpoint> Bound = Http_->start(Settings_.Listen_);
  if (!Bound)
    return Bound;
  std::lock_guard Guard(Lock_);
  Address_ = Bound.value();
  Audit_.writeServer(getSource(), "boot");
  return Bound;
}

void StandInServer::handle(net::HttpRequest Message, FaultyRespond Respond) {
  auto Running = std::make_shared<Request>();
  Running->Audit_ = readAudit(Message);
  Running->Message_ = std::move(Message);
  Running->Respond_ = std::move(Respond);
  std::lock_guard Guard(Lock_);
  if (Faults_.Freeze_) {
    Held_.push_back([Self = shared_from_this(), Running] {
      std::lock_guard Guard(Self->Lock_);
      Self->run(Running);
    });
    return;
  }
  run(std::move(Running));
}

void StandInServer::run(std::shared_ptr<Request> Running) {
  if (InFlight_ >= Settings_.Slots_ || Faults_.Busy_) {
    Audit_.writeRequest(getSource(), "busy", Running->Audit_);
    net::HttpResponse Busy = net::HttpResponse::makeText(503, "busy");
    Busy.Headers_.push_back({"X-Tulipweir-Not-Run", "1"});
    Busy.Headers_.push_back(
        {"X-Tulipweir-Request-Id", Running->Audit_.RequestId_});
    return Running->Respond_(std::move(Busy), AnswerFault::None);
  }
  ++InFlight_;
  Running->Boot_ = Boot_;
  Running->StartedAt_ = BootClock::now();
  Audit_.writeRequest(getSource(), "request", Running->Audit_);
  Duration Takes =
      Faults_.Errors_ ? Duration(0) : drawServiceTime(Running->Message_);
  Pool_.runAfter(
      Takes, [Self = shared_from_this(), Running] { Self->finish(Running); });
}

Duration StandInServer::drawServiceTime(const net::HttpRequest &Message) {
  double Micros =
      std::chrono::duration<double, std::micro>(Settings_.ServiceTime_).count();
  std::string Asked = Message.findQuery("serviceUs");
  if (!Asked.empty())
    Micros = std::strtod(Asked.c_str(), nullptr);
  else if (!Settings_.ServiceTimeFixed_ && Micros > 0)
    Micros = std::exponential_distribution<double>(1 / Micros)(Random_);
  Micros *= 1 + Tasks_.getNoisePercent() / 100;
  Micros *= static_cast<double>(std::max<std::int64_t>(1, Faults_.Slow_));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(Micros));
}

void StandInServer::finish(std::shared_ptr<Request> Running) {
  std::lock_guard Guard(Lock_);
  if (Running->Boot_ != Boot_)
    return Running->Respond_({}, AnswerFault::Drop);
  if (Faults_.Freeze_) {
    Held_.push_back(
        [Self = shared_from_this(), Running] { Self->finish(Running); });
    return;
  }
  --InFlight_;
  ++Served_;
  Meter_.record(ServiceId(Running->Audit_.Service_),
                BootClock::now() - Running->StartedAt_);
  if (!Faults_.LateMs_)
    return answer(*Running);
  Pool_.runAfter(std::chrono::milliseconds(Faults_.LateMs_),
                 [Self = shared_from_this(), Running] {
                   std::lock_guard Guard(Self->Lock_);
                   Self->answer(*Running);
                 });
}

void StandInServer::answer(const Request &Running) {
  AnswerFault Fault = AnswerFault::None;
  if (Faults_.Drop_)
    Fault = AnswerFault::Drop;
  else if (Faults_.Truncate_)
    Fault = AnswerFault::Truncate;
  Audit_.writeRequest(getSource(),
                      Fault == AnswerFault::None ? "answered" : "dropped",
                      Running.Audit_);
  Running.Respond_(makeAnswer(Running), Fault);
}

net::HttpResponse StandInServer::makeAnswer(const Request &Running) const {
  const net::HttpRequest &Message = Running.Message_;
  const AuditRequest &Audit = Running.Audit_;
  std::string Size = Message.findQuery("bytes");
  net::HttpResponse Answer;
  if (Faults_.Errors_)
    Answer = net::HttpResponse::makeText(500, "broken");
  else if (!Size.empty())
    Answer = net::HttpResponse::makeText(
        200, makePattern(std::strtoull(Size.c_str(), nullptr, 10)));
  else
    Answer = net::HttpResponse::makeJson(
        200, Json{{"server", Settings_.Server_.value()},
                  {"boot", Running.Boot_},
                  {"service", Audit.Service_},
                  {"method", Audit.Method_},
                  {"path", Audit.Path_},
                  {"requestId", Audit.RequestId_},
                  {"key", Audit.Key_},
                  {"echo", Message.Body_}}
                 .dump(-1, ' ', false, Json::error_handler_t::replace));
  std::string Id = Audit.RequestId_ + (Faults_.WrongId_ ? "x" : "");
  Answer.Headers_.push_back({"X-Tulipweir-Request-Id", Id});
  return Answer;
}

void StandInServer::tick(TimePoint Now) {
  std::lock_guard Guard(Lock_);
  if (Faults_.Freeze_)
    return;
  std::vector<TaskEvent> Events = Tasks_.tick(Now);
  writeEvents(Events);
  Meter_.tick(Now);
  // An end is told at once, not at the next heartbeat.
  if (!Events.empty())
    NextAnnounce_ = Now;
  if (!AnnouncePending_ && !Faults_.Mute_ && Now >= NextAnnounce_)
    announce(Now);
}

void StandInServer::announce(TimePoint Now) {
  wire::Announcement Message = makeAnnouncement(Now);
  net::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/v1/announce";
  Request.Headers_ = {{"Content-Type", "application/json"}};
  Request.Body_ = writeAnnouncement(Message);
  AnnouncePending_ = true;
  net::Endpoint To =
      Settings_.Entries_[EntryInUse_ % Settings_.Entries_.size()];
  auto Done = [Self = shared_from_this(), Now, Boot = Boot_,
               Sent = std::move(Message.Attempts_)](net::HttpResult Result) {
    std::lock_guard Guard(Self->Lock_);
    Self->noteReply(Now, Boot, Sent, Result);
  };
  // Not under the lock: the client may call Done before it returns.
  Pool_.runAfter(Duration(0), [Self = shared_from_this(), To, Now,
                               Request = std::move(Request),
                               Done = std::move(Done)]() mutable {
    Self->Client_.send(To, std::move(Request),
                       Now + Self->Settings_.AnnounceTimeout_, std::move(Done));
  });
}

wire::Announcement StandInServer::makeAnnouncement(TimePoint Now) {
  wire::Announcement Message;
  Message.Server_ = Settings_.Server_;
  Message.Boot_ = BootId(Boot_);
  Message.DataCentre_ = Settings_.DataCentre_;
  Message.Rack_ = Settings_.Rack_;
  Message.Address_ = Address_.toString();
  Message.Capacity_ = Settings_.Tasks_.Capacity_;
  Message.Services_ = Settings_.Services_;
  Message.Slots_ = Settings_.Slots_;
  Message.Connections_ = Settings_.Connections_;
  Message.Draining_ = Faults_.Draining_ != 0;
  Message.Sequence_ = ++Sequence_;
  Message.Attempts_ = Tasks_.getInventory(Now);
  Message.ServiceReports_ = Meter_.getReports(Now);
  return Message;
}

void StandInServer::noteReply(TimePoint SentAt, const std::string &Boot,
                              const std::vector<wire::AttemptReport> &Sent,
                              const net::HttpResult &Result) {
  if (Boot != Boot_)
    return;
  if (Faults_.Freeze_) {
    Held_.push_back([Self = shared_from_this(), SentAt, Boot, Sent, Result] {
      std::lock_guard Guard(Self->Lock_);
      Self->noteReply(SentAt, Boot, Sent, Result);
    });
    return;
  }
  TimePoint Now = BootClock::now();
  AnnouncePending_ = false;
  bool Answered =
      Result.Response_.has_value() && Result.Response_.value().Status_ == 200;
  Outcome<wire::AnnouncementReply> Reply =
      fail(ErrorCode::Unavailable, "no answer");
  if (Answered)
    Reply = readReply(Result.Response_.value().Body_);
  if (!Reply) {
    ++AnnounceFailures_;
    ++EntryInUse_;
    NextAnnounce_ = Now + RetryAnnounce;
    spdlog::debug("{}: announcement failed: {}", Settings_.Server_.value(),
                  Result.Response_.has_value()
                      ? std::to_string(Result.Response_.value().Status_) + " " +
                            Result.Response_.value().Body_
                      : Result.Response_.error().Message_);
    return;
  }
  ++Announced_;
  if (Faults_.Draining_ && DrainKnownAt_ == TimePoint::max()) {
    DrainKnownAt_ = Now;
    Audit_.writeServer(getSource(), "draining");
  }
  Heartbeat_ =
      std::chrono::milliseconds(std::max(10U, Reply.value().HeartbeatMs_));
  NextAnnounce_ = SentAt + Heartbeat_;
  Tasks_.noteDelivered(Sent, Now);
  std::vector<TaskEvent> Events = Tasks_.apply(Reply.value(), SentAt, Now);
  if (!Events.empty())
    NextAnnounce_ = Now;
  writeEvents(Events);
}

void StandInServer::writeEvents(const std::vector<TaskEvent> &Events) {
  for (const TaskEvent &Event : Events)
    Audit_.writeTask(getSource(), Event);
}

void StandInServer::setFault(std::int64_t Faults::*Member, std::int64_t Value) {
  std::vector<std::function<void()>> Thawed;
  {
    std::lock_guard Guard(Lock_);
    Faults_.*Member = Value;
    Tasks_.setFailing(Faults_.FailTasks_ != 0);
    if (!Faults_.Draining_)
      DrainKnownAt_ = TimePoint::max();
    NextAnnounce_ = TimePoint();
    if (!Faults_.Freeze_)
      Thawed.swap(Held_);
  }
  for (const auto &Task : Thawed)
    Task();
}

void StandInServer::crash() {
  std::lock_guard Guard(Lock_);
  writeEvents(Tasks_.crash(BootClock::now()));
  Audit_.writeServer(getSource(), "crash");
  Boot_ = makeBoot();
  Sequence_ = 0;
  InFlight_ = 0;
  AnnouncePending_ = false;
  NextAnnounce_ = TimePoint();
  Held_.clear();
  Http_->breakConnections();
  Audit_.writeServer(getSource(), "boot");
}

void StandInServer::beginDraining() { setFault(&Faults::Draining_, 1); }

bool StandInServer::isDrained(TimePoint Now) const {
  std::lock_guard Guard(Lock_);
  bool Idle =
      InFlight_ == 0 && Tasks_.countRunning() == 0 && !Tasks_.hasUndelivered();
  return Idle && DrainKnownAt_ != TimePoint::max() &&
         Now - DrainKnownAt_ >= Settings_.DrainHold_;
}

StandInServerStatus StandInServer::getStatus() const {
  std::lock_guard Guard(Lock_);
  StandInServerStatus Status;
  Status.Server_ = Settings_.Server_.value();
  Status.Boot_ = Boot_;
  Status.Address_ = Address_.toString();
  Status.TasksRunning_ = Tasks_.countRunning();
  Status.InFlight_ = InFlight_;
  Status.Announced_ = Announced_;
  Status.AnnounceFailures_ = AnnounceFailures_;
  Status.Served_ = Served_;
  Status.Faults_ = Faults_;
  return Status;
}

std::vector<wire::AttemptReport> StandInServer::getTasks() const {
  std::lock_guard Guard(Lock_);
  return Tasks_.getInventory(BootClock::now());
}
