#include "tulipweir/net/JsonEventLog.h"

#include <cstdio>
#include <poll.h>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::net;

/// A pipe that can be written at all takes this much without blocking
/// (PIPE_BUF).
static constexpr std::size_t SafeWriteBytes = 4096;
/// Bounds the work of one flush.
static constexpr int MostWrites = 64;
static constexpr std::int64_t MsPerSecond = 1000;
static constexpr unsigned FirstPrintable = 0x20;

static void appendEscaped(std::string &To, std::string_view Text) {
  for (const char Each : Text) {
    const auto Byte = static_cast<unsigned char>(Each);
    if (Each == '"' || Each == '\\') {
      To.push_back('\\');
      To.push_back(Each);
    } else if (Byte < FirstPrintable || Byte >= 0x7f) {
      std::array<char, 8> Code{};
      std::snprintf(Code.data(), Code.size(), "\\u%04x", Byte);
      To.append(Code.data());
    } else {
      To.push_back(Each);
    }
  }
}

static void appendText(std::string &To, std::string_view Name,
                       std::string_view Value) {
  if (Value.empty())
    return;
  To.append(",\"").append(Name).append("\":\"");
  appendEscaped(To, Value);
  To.push_back('"');
}

template <class Number>
static void appendNumber(std::string &To, std::string_view Name,
                         const std::optional<Number> &Value) {
  if (Value)
    To.append(",\"").append(Name).append("\":").append(std::to_string(*Value));
}

/// Whether the line tells of something that went wrong.
static bool isFailure(const Event &Value) {
  switch (Value.Kind_) {
  case EventKind::JobRefused:
  case EventKind::DependencyLost:
  case EventKind::ServerGone:
  case EventKind::ServerQuarantined:
  case EventKind::ConfigurationRefused:
  case EventKind::LeadershipEnded:
  case EventKind::StorageTrouble:
    return true;
  // These give a reason only if something failed.
  case EventKind::CallAnswered:
  case EventKind::JobEnded:
  case EventKind::TaskAbsent:
    return !Value.Reason_.empty();
  default:
    return false;
  }
}

JsonEventLog::JsonEventLog(const JsonEventLogSettings &Settings,
                           const Clock &Time)
    : Settings_(Settings), Time_(Time) {}

JsonEventLog::Budget &JsonEventLog::getBudget(EventKind Kind) {
  Budget &Mine = Budgets_.at(static_cast<std::size_t>(Kind));
  const TimePoint Now = Time_.now();
  if (Now - Mine.Since_ >= std::chrono::seconds(1)) {
    Mine.Since_ = Now;
    Mine.Used_ = 0;
  }
  return Mine;
}

bool JsonEventLog::isWithinBudget(const Event &Value) {
  return ++getBudget(Value.Kind_).Used_ <= Settings_.LinesASecond_ ||
         isFailure(Value);
}

bool JsonEventLog::leavesOut(EventKind Kind) {
  const std::lock_guard Hold(Lock_);
  if (getBudget(Kind).Used_ < Settings_.LinesASecond_)
    return false;
  ++LeftOut_;
  return true;
}

void JsonEventLog::write(const Event &Value) {
  const std::lock_guard Hold(Lock_);
  if (!isWithinBudget(Value)) {
    ++LeftOut_;
    return;
  }
  if (Waiting_.size() >= Settings_.MaxBytes_) {
    ++Dropped_;
    return;
  }
  ++Lines_;
  const std::int64_t Wall = Time_.wallNow().count();
  std::string &Line = Waiting_;
  Line.append("{\"time\":").append(std::to_string(Wall / MsPerSecond));
  std::array<char, 8> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%03d",
                static_cast<int>(Wall % MsPerSecond));
  Line.append(Fraction.data());
  Line.append(isFailure(Value) ? ",\"level\":\"warn\"" : ",\"level\":\"info\"");
  appendText(Line, "process", Settings_.Process_);
  appendText(Line, "event", getEventName(Value.Kind_));
  appendText(Line, "job", Value.Job_);
  appendText(Line, "task", Value.Task_);
  appendNumber(Line, "attempt", Value.Attempt_);
  appendText(Line, "server", Value.Server_);
  appendNumber(Line, "term", Value.Term_);
  appendNumber(Line, "version", Value.Version_);
  appendNumber(Line, "age_ms", Value.AgeMs_);
  appendNumber(Line, "count", Value.Count_);
  appendText(Line, "outcome", Value.Outcome_);
  appendText(Line, "reason", Value.Reason_);
  Line.append("}\n");
}

void JsonEventLog::flush() {
  const std::lock_guard Hold(Lock_);
  std::size_t Written = 0;
  for (int Round = 0; Round < MostWrites && Written < Waiting_.size();
       ++Round) {
    pollfd Ready{Settings_.Descriptor_, POLLOUT, 0};
    if (::poll(&Ready, 1, 0) <= 0 || (Ready.revents & POLLOUT) == 0)
      break;
    const std::size_t Size =
        std::min(SafeWriteBytes, Waiting_.size() - Written);
    const ssize_t Taken =
        ::write(Settings_.Descriptor_, Waiting_.data() + Written, Size);
    if (Taken <= 0)
      break;
    Written += static_cast<std::size_t>(Taken);
  }
  Waiting_.erase(0, Written);
}

void JsonEventLog::flushOn(IoPool &Pool) {
  Pool.runEvery(Settings_.FlushInterval_, [this] { flush(); });
}

void JsonEventLog::addMetrics(Metrics &To) const {
  To.addGauge("tulipweir_log_lines_dropped",
              "Log lines dropped because their reader did not keep up",
              [this] { return static_cast<double>(getDropped()); });
  To.addGauge("tulipweir_log_lines_left_out",
              "Log lines left out over the budget of their kind",
              [this] { return static_cast<double>(getLeftOut()); });
}

std::uint64_t JsonEventLog::getDropped() const {
  const std::lock_guard Hold(Lock_);
  return Dropped_;
}

std::uint64_t JsonEventLog::getLeftOut() const {
  const std::lock_guard Hold(Lock_);
  return LeftOut_;
}
