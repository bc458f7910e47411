#include "standin/AuditLog.h"

#include "standin/StandInJson.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::standin;
using Json = nlohmann::json;

static std::int64_t toMs(TimePoint Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Value.time_since_epoch())
      .count();
}

static const char *getEventName(TaskEvent::Kind Kind) {
  switch (Kind) {
  case TaskEvent::Kind::Started:
    return "taskStart";
  case TaskEvent::Kind::Ended:
    return "taskEnd";
  case TaskEvent::Kind::Refused:
    return "taskRefused";
  case TaskEvent::Kind::Overfull:
    return "overfull";
  }
  return "";
}

static Json makeLine(const AuditSource &Source, const char *Event,
                     TimePoint At) {
  return Json{{"atMs", toMs(At)},
              {"event", Event},
              {"server", Source.Server_},
              {"boot", Source.Boot_}};
}

static std::string dump(const Json &Line) {
  return Line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Outcome<std::unique_ptr<AuditLog>> AuditLog::open(const std::string &Path) {
  if (Path.empty())
    return std::unique_ptr<AuditLog>(new AuditLog(-1));
  int File =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (File < 0)
    return fail(ErrorCode::StorageFailed, "cannot open the audit log " + Path +
                                              ": " + std::strerror(errno));
  return std::unique_ptr<AuditLog>(new AuditLog(File));
}

AuditLog::~AuditLog() {
  if (File_ >= 0)
    ::close(File_);
}

void AuditLog::writeTask(const AuditSource &Source, const TaskEvent &Event) {
  if (File_ < 0)
    return;
  Json Line = makeLine(Source, getEventName(Event.Kind_), Event.At_);
  Line["task"] = Event.Task_.toString();
  Line["attempt"] = Event.Attempt_.value();
  Line["term"] = Event.Token_.Term_;
  Line["index"] = Event.Token_.Index_;
  Line["state"] = getStateName(Event.State_);
  Line["checkpoint"] = Event.Checkpoint_;
  Line["message"] = Event.Message_;
  writeLine(dump(Line));
}

void AuditLog::writeRequest(const AuditSource &Source, const char *Event,
                            const AuditRequest &Request) {
  if (File_ < 0)
    return;
  Json Line = makeLine(Source, Event, BootClock::now());
  Line["service"] = Request.Service_;
  Line["method"] = Request.Method_;
  Line["path"] = Request.Path_;
  Line["requestId"] = Request.RequestId_;
  Line["key"] = Request.Key_;
  writeLine(dump(Line));
}

void AuditLog::writeServer(const AuditSource &Source, const char *Event) {
  if (File_ >= 0)
    writeLine(dump(makeLine(Source, Event, BootClock::now())));
}

void AuditLog::writeLine(const std::string &Line) {
  std::lock_guard Guard(Lock_);
  // One write a line: lines of several processes do not mix (O_APPEND).
  ssize_t Written = ::write(File_, Line.data(), Line.size());
  assert(Written == static_cast<ssize_t>(Line.size()) &&
         "an audit with a hole proves nothing");
  (void)Written;
}
