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
// Larger integers are not exact in languages whose JSON numbers are doubles.
static constexpr std::uint64_t MaxExact = (1ULL << 53) - 1;
static constexpr std::uint64_t MaxPercent = 100;

// Indexed by enum value.
static constexpr const char *StateNames[] = {"running", "finished", "failed",
                                             "stopped", "checkpointed"};
static constexpr const char *KindNames[] = {"start", "stop", "checkpoint",
                                            "throttle"};

static void readResources(JsonReader &From, Resources &Target) {
  From.readNumber("milliCpus", Target.MilliCpus_, Limits::MaxMilliCpus);
  From.readNumber("memoryMib", Target.MemoryMib_, Limits::MaxMemoryMib);
  From.readNumber("accelerators", Target.Accelerators_,
                  Limits::MaxAccelerators);
}

static json toJson(const Resources &Amount) {
  return {{"milliCpus", Amount.MilliCpus_},
          {"memoryMib", Amount.MemoryMib_},
          {"accelerators", Amount.Accelerators_}};
}

// Reads the task, attempt number and fencing token of a lease.
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
  From.readWord("state", Report.State_, StateNames);
  From.readText("checkpoint", Report.Checkpoint_, Limits::MaxTextBytes);
  From.readText("message", Report.Message_, Limits::MaxTextBytes);
  From.readObject(
      "usage", [&](JsonReader &Inner) { readResources(Inner, Report.Usage_); });
  From.readNumber("usageAgeMs", Report.UsageAgeMs_, MaxU32);
  From.readNumber("progressMs", Report.ProgressMs_, MaxU32);
  return Report;
}

static json toJson(const wire::AttemptReport &Report) {
  json Result = leaseToJson(Report.Task_, Report.Attempt_, Report.Token_);
  Result["state"] = StateNames[static_cast<std::size_t>(Report.State_)];
  Result["checkpoint"] = Report.Checkpoint_;
  Result["message"] = Report.Message_;
  Result["usage"] = toJson(Report.Usage_);
  Result["usageAgeMs"] = Report.UsageAgeMs_;
  Result["progressMs"] = Report.ProgressMs_;
  return Result;
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
  From.readWord("kind", Command.Kind_, KindNames);
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
  json Result = leaseToJson(Command.Task_, Command.Attempt_, Command.Token_);
  Result["kind"] = KindNames[static_cast<std::size_t>(Command.Kind_)];
  Result["payload"] = Command.Payload_;
  Result["checkpoint"] = Command.Checkpoint_;
  Result["reservation"] = toJson(Command.Reservation_);
  Result["throttlePercent"] = Command.ThrottlePercent_;
  return Result;
}

// Reads a list of objects with Read.
template <class Element, class Reader>
static void readObjects(JsonReader &From, const char *Name,
                        std::size_t MaxCount, std::vector<Element> &Target,
                        FirstError &Problem, Reader Read) {
  From.readList(Name, MaxCount,
                [&](const json &ElementJson, std::string Place) {
                  JsonReader Inner(ElementJson, std::move(Place), Problem);
                  Target.push_back(Read(Inner));
                  Inner.finish();
                });
}

template <class Element>
static json listToJson(const std::vector<Element> &Elements) {
  json List = json::array();
  for (const Element &Item : Elements)
    List.push_back(toJson(Item));
  return List;
}

// Parses Text and reads its fields with Read(reader, problem).
template <class Message, class Reader>
static Outcome<Message> parse(std::string_view Text, Reader Read) {
  const json Document = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return fail(ErrorCode::Malformed, "the body is not valid JSON");
  FirstError Problem;
  JsonReader From(Document, "", Problem);
  Message Result = Read(From, Problem);
  From.finish();
  if (Problem)
    return fail(Problem->Code_, Problem->Message_);
  return Result;
}

// Replaces invalid UTF-8 in opaque text, because JSON cannot represent it.
static std::string dump(const json &Document) {
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

static wire::Announcement readAnnouncement(JsonReader &From,
                                           FirstError &Problem) {
  wire::Announcement Announcement;
  From.readId("server", Announcement.Server_, Limits::MaxNameBytes, true);
  From.readId("boot", Announcement.Boot_, Limits::MaxNameBytes, true);
  From.readId("dataCentre", Announcement.DataCentre_, Limits::MaxNameBytes,
              true);
  From.readId("rack", Announcement.Rack_, Limits::MaxNameBytes);
  From.readText("address", Announcement.Address_, Limits::MaxNameBytes, true);
  From.readObject("capacity", [&](JsonReader &Inner) {
    readResources(Inner, Announcement.Capacity_);
  });
  From.readList(
      "services", Limits::MaxServices,
      [&](const json &Element, const std::string &Place) {
        const bool Valid = Element.is_string() &&
                           Element.get_ref<const std::string &>().size() <=
                               Limits::MaxNameBytes;
        if (Valid)
          Announcement.Services_.emplace_back(Element.get<std::string>());
        else
          From.report(ErrorCode::InvalidArgument, Place.substr(1),
                      "must be the name of a service");
      });
  From.readNumber("slots", Announcement.Slots_, Limits::MaxSlots);
  From.readNumber("connections", Announcement.Connections_, Limits::MaxSlots);
  From.readBool("draining", Announcement.Draining_);
  From.readNumber("sequence", Announcement.Sequence_, MaxExact);
  readObjects(From, "attempts", Limits::MaxAttempts, Announcement.Attempts_,
              Problem, readAttempt);
  readObjects(From, "serviceReports", Limits::MaxServices,
              Announcement.ServiceReports_, Problem, readServiceReport);
  return Announcement;
}

Outcome<wire::Announcement> entry::parseAnnouncement(std::string_view Text) {
  return parse<wire::Announcement>(Text, readAnnouncement);
}

std::string entry::renderAnnouncement(const wire::Announcement &Announcement) {
  json Services = json::array();
  for (const ServiceId &Service : Announcement.Services_)
    Services.push_back(Service.value());
  return dump({{"server", Announcement.Server_.value()},
               {"boot", Announcement.Boot_.value()},
               {"dataCentre", Announcement.DataCentre_.value()},
               {"rack", Announcement.Rack_.value()},
               {"address", Announcement.Address_},
               {"capacity", toJson(Announcement.Capacity_)},
               {"services", Services},
               {"slots", Announcement.Slots_},
               {"connections", Announcement.Connections_},
               {"draining", Announcement.Draining_},
               {"sequence", Announcement.Sequence_},
               {"attempts", listToJson(Announcement.Attempts_)},
               {"serviceReports", listToJson(Announcement.ServiceReports_)}});
}

static wire::AnnouncementReply readReply(JsonReader &From,
                                         FirstError &Problem) {
  wire::AnnouncementReply Reply;
  From.readNumber("leaseTtlMs", Reply.LeaseTtlMs_, MaxU32, true);
  From.readNumber("heartbeatMs", Reply.HeartbeatMs_, MaxU32, true);
  readObjects(From, "commands", Limits::MaxAttempts, Reply.Commands_, Problem,
              readCommand);
  readObjects(From, "renewals", Limits::MaxAttempts, Reply.Renewals_, Problem,
              [](JsonReader &Inner) {
                wire::LeaseRenewal Renewal;
                readLease(Inner, Renewal.Task_, Renewal.Attempt_,
                          Renewal.Token_);
                return Renewal;
              });
  return Reply;
}

Outcome<wire::AnnouncementReply>
entry::parseAnnouncementReply(std::string_view Text) {
  return parse<wire::AnnouncementReply>(Text, readReply);
}

std::string
entry::renderAnnouncementReply(const wire::AnnouncementReply &Reply) {
  json Renewals = json::array();
  for (const wire::LeaseRenewal &Renewal : Reply.Renewals_)
    Renewals.push_back(
        leaseToJson(Renewal.Task_, Renewal.Attempt_, Renewal.Token_));
  return dump({{"leaseTtlMs", Reply.LeaseTtlMs_},
               {"heartbeatMs", Reply.HeartbeatMs_},
               {"commands", listToJson(Reply.Commands_)},
               {"renewals", Renewals}});
}
