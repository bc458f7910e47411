//===- AnnouncementJson.cpp -----------------------------------------------===//

#include "tulipweir/entry/AnnouncementJson.h"

#include "net/JsonReader.h"

#include <limits>

using namespace tulipweir;
using namespace tulipweir::entry;
using net::FirstError;
using net::JsonReader;
using nlohmann::json;

using Limits = AnnouncementLimits;

static constexpr std::uint64_t MaxU32 =
    std::numeric_limits<std::uint32_t>::max();
// JSON numbers of other languages are exact up to here only.
static constexpr std::uint64_t MaxExact = (1ULL << 53) - 1;
static constexpr std::uint64_t MaxPercent = 100;

// In the order of the enum constants.
static constexpr const char *StateWords[] = {"running", "finished", "failed",
                                             "stopped", "checkpointed"};
static constexpr const char *KindWords[] = {"start", "stop", "checkpoint",
                                            "throttle"};

static void readResources(JsonReader &From, Resources &Target) {
  From.readNumber("milliCpus", Target.MilliCpus_, Limits::MaxMilliCpus);
  From.readNumber("memoryMib", Target.MemoryMib_, Limits::MaxMemoryMib);
  From.readNumber("accelerators", Target.Accelerators_,
                  Limits::MaxAccelerators);
}

static json toJson(const Resources &Value) {
  return {{"milliCpus", Value.MilliCpus_},
          {"memoryMib", Value.MemoryMib_},
          {"accelerators", Value.Accelerators_}};
}

// Reads the three fields that name one attempt under its lease.
static void readLease(JsonReader &From, TaskId &Task, AttemptNumber &Attempt,
                      FencingToken &Token) {
  From.readObject(
      "task",
      [&](JsonReader &Inner) {
        Inner.readId("job", Task.Job_, Limits::MaxNameBytes, true);
        Inner.readNumber("index", Task.Index_, MaxU32, true);
      },
      true);
  std::uint64_t Number = 0;
  From.readNumber("attempt", Number, MaxExact, true);
  Attempt = AttemptNumber(Number);
  From.readObject(
      "token",
      [&](JsonReader &Inner) {
        Inner.readNumber("term", Token.Term_, MaxExact, true);
        Inner.readNumber("index", Token.Index_, MaxExact, true);
      },
      true);
}

static json leaseToJson(const TaskId &Task, const AttemptNumber &Attempt,
                        const FencingToken &Token) {
  return {{"task", {{"job", Task.Job_.value()}, {"index", Task.Index_}}},
          {"attempt", Attempt.value()},
          {"token", {{"term", Token.Term_}, {"index", Token.Index_}}}};
}

static wire::AttemptReport readAttempt(JsonReader &From) {
  wire::AttemptReport Report;
  readLease(From, Report.Task_, Report.Attempt_, Report.Token_);
  From.readWord("state", Report.State_, StateWords);
  From.readText("checkpoint", Report.Checkpoint_, Limits::MaxTextBytes);
  From.readText("message", Report.Message_, Limits::MaxTextBytes);
  From.readObject(
      "usage", [&](JsonReader &Inner) { readResources(Inner, Report.Usage_); });
  From.readNumber("usageAgeMs", Report.UsageAgeMs_, MaxU32);
  From.readNumber("progressMs", Report.ProgressMs_, MaxU32);
  return Report;
}

static json toJson(const wire::AttemptReport &Report) {
  json Value = leaseToJson(Report.Task_, Report.Attempt_, Report.Token_);
  Value["state"] = StateWords[static_cast<std::size_t>(Report.State_)];
  Value["checkpoint"] = Report.Checkpoint_;
  Value["message"] = Report.Message_;
  Value["usage"] = toJson(Report.Usage_);
  Value["usageAgeMs"] = Report.UsageAgeMs_;
  Value["progressMs"] = Report.ProgressMs_;
  return Value;
}

static wire::ServiceReport readServiceReport(JsonReader &From) {
  wire::ServiceReport Report;
  From.readId("service", Report.Service_, Limits::MaxNameBytes, true);
  From.readNumber("requests", Report.Requests_, MaxU32);
  From.readNumber("p99Micros", Report.P99Micros_, MaxU32);
  From.readNumber("meanMicros", Report.MeanMicros_, MaxU32);
  From.readNumber("loadPercent", Report.LoadPercent_, MaxU32);
  From.readNumber("ageMs", Report.AgeMs_, MaxU32);
  return Report;
}

static json toJson(const wire::ServiceReport &Report) {
  return {
      {"service", Report.Service_.value()}, {"requests", Report.Requests_},
      {"p99Micros", Report.P99Micros_},     {"meanMicros", Report.MeanMicros_},
      {"loadPercent", Report.LoadPercent_}, {"ageMs", Report.AgeMs_}};
}

static wire::TaskCommand readCommand(JsonReader &From) {
  wire::TaskCommand Command;
  From.readWord("kind", Command.Kind_, KindWords);
  readLease(From, Command.Task_, Command.Attempt_, Command.Token_);
  From.readText("payload", Command.Payload_, Limits::MaxTextBytes);
  From.readText("checkpoint", Command.Checkpoint_, Limits::MaxTextBytes);
  From.readObject("reservation", [&](JsonReader &Inner) {
    readResources(Inner, Command.Reservation_);
  });
  From.readNumber("throttlePercent", Command.ThrottlePercent_, MaxPercent);
  return Command;
}

static json toJson(const wire::TaskCommand &Command) {
  json Value = leaseToJson(Command.Task_, Command.Attempt_, Command.Token_);
  Value["kind"] = KindWords[static_cast<std::size_t>(Command.Kind_)];
  Value["payload"] = Command.Payload_;
  Value["checkpoint"] = Command.Checkpoint_;
  Value["reservation"] = toJson(Command.Reservation_);
  Value["throttlePercent"] = Command.ThrottlePercent_;
  return Value;
}

// Reads a list of objects, each with Read.
template <class Element, class Reader>
static void readObjects(JsonReader &From, const char *Name,
                        std::size_t MaxCount, std::vector<Element> &Target,
                        FirstError &Problem, Reader Read) {
  From.readList(Name, MaxCount, [&](const json &Value, std::string Place) {
    JsonReader Inner(Value, std::move(Place), Problem);
    Target.push_back(Read(Inner));
    Inner.finish();
  });
}

template <class Element>
static json listToJson(const std::vector<Element> &Elements) {
  json List = json::array();
  for (const Element &One : Elements)
    List.push_back(toJson(One));
  return List;
}

// Parses Text and reads its fields with Read(reader, problem).
template <class Message, class Reader>
static Outcome<Message> parse(std::string_view Text, Reader Read) {
  const json Value = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Value.is_discarded())
    return fail(ErrorCode::Malformed, "the body is no JSON");
  FirstError Problem;
  JsonReader From(Value, "", Problem);
  Message Result = Read(From, Problem);
  From.finish();
  if (Problem)
    return fail(Problem->Code_, Problem->Message_);
  return Result;
}

// Invalid UTF-8 in opaque text is replaced, since JSON cannot carry it.
static std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

static wire::Announcement readAnnouncement(JsonReader &From,
                                           FirstError &Problem) {
  wire::Announcement Value;
  From.readId("server", Value.Server_, Limits::MaxNameBytes, true);
  From.readId("boot", Value.Boot_, Limits::MaxNameBytes, true);
  From.readId("dataCentre", Value.DataCentre_, Limits::MaxNameBytes, true);
  From.readId("rack", Value.Rack_, Limits::MaxNameBytes);
  From.readText("address", Value.Address_, Limits::MaxNameBytes, true);
  From.readObject("capacity", [&](JsonReader &Inner) {
    readResources(Inner, Value.Capacity_);
  });
  From.readList("services", Limits::MaxServices,
                [&](const json &Element, const std::string &Place) {
                  const bool Fits =
                      Element.is_string() &&
                      Element.get_ref<const std::string &>().size() <=
                          Limits::MaxNameBytes;
                  if (Fits)
                    Value.Services_.emplace_back(Element.get<std::string>());
                  else
                    From.report(ErrorCode::InvalidArgument, Place.substr(1),
                                "must be a service's name");
                });
  From.readNumber("slots", Value.Slots_, Limits::MaxSlots);
  From.readNumber("connections", Value.Connections_, Limits::MaxSlots);
  From.readBool("draining", Value.Draining_);
  From.readNumber("sequence", Value.Sequence_, MaxExact);
  readObjects(From, "attempts", Limits::MaxAttempts, Value.Attempts_, Problem,
              readAttempt);
  readObjects(From, "serviceReports", Limits::MaxServices,
              Value.ServiceReports_, Problem, readServiceReport);
  return Value;
}

Outcome<wire::Announcement> entry::parseAnnouncement(std::string_view Text) {
  return parse<wire::Announcement>(Text, readAnnouncement);
}

std::string entry::renderAnnouncement(const wire::Announcement &Value) {
  json Services = json::array();
  for (const ServiceId &Service : Value.Services_)
    Services.push_back(Service.value());
  return dump({{"server", Value.Server_.value()},
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
               {"attempts", listToJson(Value.Attempts_)},
               {"serviceReports", listToJson(Value.ServiceReports_)}});
}

static wire::AnnouncementReply readReply(JsonReader &From,
                                         FirstError &Problem) {
  wire::AnnouncementReply Value;
  From.readNumber("leaseTtlMs", Value.LeaseTtlMs_, MaxU32, true);
  From.readNumber("heartbeatMs", Value.HeartbeatMs_, MaxU32, true);
  readObjects(From, "commands", Limits::MaxAttempts, Value.Commands_, Problem,
              readCommand);
  readObjects(From, "renewals", Limits::MaxAttempts, Value.Renewals_, Problem,
              [](JsonReader &Inner) {
                wire::LeaseRenewal Renewal;
                readLease(Inner, Renewal.Task_, Renewal.Attempt_,
                          Renewal.Token_);
                return Renewal;
              });
  return Value;
}

Outcome<wire::AnnouncementReply>
entry::parseAnnouncementReply(std::string_view Text) {
  return parse<wire::AnnouncementReply>(Text, readReply);
}

std::string
entry::renderAnnouncementReply(const wire::AnnouncementReply &Value) {
  json Renewals = json::array();
  for (const wire::LeaseRenewal &Renewal : Value.Renewals_)
    Renewals.push_back(
        leaseToJson(Renewal.Task_, Renewal.Attempt_, Renewal.Token_));
  return dump({{"leaseTtlMs", Value.LeaseTtlMs_},
               {"heartbeatMs", Value.HeartbeatMs_},
               {"commands", listToJson(Value.Commands_)},
               {"renewals", Renewals}});
}
