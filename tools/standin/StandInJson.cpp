#include "standin/StandInJson.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::standin;
using Json = nlohmann::json;
using wire::AttemptState;
using wire::TaskCommandKind;

static Json toJson(const Resources &Value) {
  return Json{{"milliCpus", Value.MilliCpus_},
              {"memoryMib", Value.MemoryMib_},
              {"accelerators", Value.Accelerators_}};
}

static Json toJson(const TaskId &Value) {
  return Json{{"job", Value.Job_.value()}, {"index", Value.Index_}};
}

static Json toJson(const FencingToken &Value) {
  return Json{{"term", Value.Term_}, {"index", Value.Index_}};
}

static Json toJson(const wire::AttemptReport &Value) {
  return Json{
      {"task", toJson(Value.Task_)},     {"attempt", Value.Attempt_.value()},
      {"token", toJson(Value.Token_)},   {"state", getStateName(Value.State_)},
      {"checkpoint", Value.Checkpoint_}, {"message", Value.Message_},
      {"usage", toJson(Value.Usage_)},   {"usageAgeMs", Value.UsageAgeMs_},
      {"progressMs", Value.ProgressMs_}};
}

static Json toJson(const wire::ServiceReport &Value) {
  return Json{
      {"service", Value.Service_.value()}, {"requests", Value.Requests_},
      {"p99Micros", Value.P99Micros_},     {"meanMicros", Value.MeanMicros_},
      {"loadPercent", Value.LoadPercent_}, {"ageMs", Value.AgeMs_}};
}

static Resources readResources(const Json &From) {
  return Resources::makeFor(From.at("milliCpus").get<std::int64_t>(),
                            From.at("memoryMib").get<std::int64_t>(),
                            From.at("accelerators").get<std::int64_t>());
}

static TaskId readTask(const Json &From) {
  return TaskId{JobId(From.at("job").get<std::string>()),
                From.at("index").get<std::uint32_t>()};
}

static FencingToken readToken(const Json &From) {
  return FencingToken{From.at("term").get<std::uint64_t>(),
                      From.at("index").get<std::uint64_t>()};
}

static TaskCommandKind readKind(const std::string &Name) {
  static constexpr std::array<std::pair<const char *, TaskCommandKind>, 4>
      Kinds = {{{"start", TaskCommandKind::Start},
                {"stop", TaskCommandKind::Stop},
                {"checkpoint", TaskCommandKind::Checkpoint},
                {"throttle", TaskCommandKind::Throttle}}};
  for (const auto &[Known, Kind] : Kinds)
    if (Name == Known)
      return Kind;
  throw std::invalid_argument("unknown kind of command '" + Name + "'");
}

static wire::TaskCommand readCommand(const Json &From) {
  wire::TaskCommand Command;
  Command.Kind_ = readKind(From.at("kind").get<std::string>());
  Command.Task_ = readTask(From.at("task"));
  Command.Attempt_ = AttemptNumber(From.at("attempt").get<std::uint64_t>());
  Command.Token_ = readToken(From.at("token"));
  Command.ThrottlePercent_ = From.value("throttlePercent", 100U);
  if (Command.Kind_ != TaskCommandKind::Start)
    return Command;
  Command.Payload_ = From.at("payload").get<std::string>();
  Command.Checkpoint_ = From.at("checkpoint").get<std::string>();
  Command.Reservation_ = readResources(From.at("reservation"));
  return Command;
}

static wire::AnnouncementReply readObject(const Json &From) {
  wire::AnnouncementReply Reply;
  Reply.LeaseTtlMs_ = From.at("leaseTtlMs").get<std::uint32_t>();
  Reply.HeartbeatMs_ = From.at("heartbeatMs").get<std::uint32_t>();
  for (const Json &Command : From.at("commands"))
    Reply.Commands_.push_back(readCommand(Command));
  for (const Json &Renewal : From.at("renewals"))
    Reply.Renewals_.push_back(
        {readTask(Renewal.at("task")),
         AttemptNumber(Renewal.at("attempt").get<std::uint64_t>()),
         readToken(Renewal.at("token"))});
  return Reply;
}

const char *standin::getStateName(AttemptState State) {
  static constexpr std::array Names = {"running", "finished", "failed",
                                       "stopped", "checkpointed"};
  return Names.at(static_cast<std::size_t>(State));
}

std::string standin::writeAnnouncement(const wire::Announcement &Value) {
  Json Services = Json::array();
  for (const ServiceId &Service : Value.Services_)
    Services.push_back(Service.value());
  Json Attempts = Json::array();
  for (const wire::AttemptReport &Report : Value.Attempts_)
    Attempts.push_back(toJson(Report));
  Json Reports = Json::array();
  for (const wire::ServiceReport &Report : Value.ServiceReports_)
    Reports.push_back(toJson(Report));
  return Json{{"server", Value.Server_.value()},
              {"boot", Value.Boot_.value()},
              {"dataCentre", Value.DataCentre_.value()},
              {"rack", Value.Rack_.value()},
              {"address", Value.Address_},
              {"capacity", toJson(Value.Capacity_)},
              {"services", Services},
              {"slots", Value.Slots_},
              {"connections", Value.Connections_},
              {"draining", Value.Draining_},
              {"sequence", Value.Sequence_},
              {"attempts", Attempts},
              {"serviceReports", Reports}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Outcome<wire::AnnouncementReply> standin::readReply(const std::string &Text) {
  try {
    return readObject(Json::parse(Text));
  } catch (const std::exception &Caught) {
    return fail(ErrorCode::Malformed, Caught.what());
  }
}
