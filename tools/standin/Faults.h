//===- Faults.h - What is wrong with one stand-in server -------*- C++ -*-===//
//
// Each fault has a name for the admin API and a value; 0 switches it off.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_FAULTS_H
#define TULIPWEIR_TOOLS_STANDIN_FAULTS_H

#include <cstdint>
#include <string_view>

namespace tulipweir::standin {

struct Faults {
  std::int64_t Slow_ = 0;      ///< Times the service time; 0 and 1: as is.
  std::int64_t FailTasks_ = 0; ///< Each task fails at its start.
  std::int64_t Freeze_ = 0;    ///< No answer, no announcement, no work.
  std::int64_t Truncate_ = 0;  ///< Answers end in the middle.
  std::int64_t Drop_ = 0;      ///< Requests run and get no answer.
  std::int64_t LateMs_ = 0;    ///< Answers are held for so long.
  std::int64_t WrongId_ = 0;   ///< Answers carry another request's id.
  std::int64_t Errors_ = 0;    ///< Status 500 at once, nothing is run.
  std::int64_t Busy_ = 0;      ///< 503 with X-Tulipweir-Not-Run.
  std::int64_t Mute_ = 0;      ///< No announcements; requests are served.
  std::int64_t Draining_ = 0;  ///< Announces that it leaves.
  bool operator==(const Faults &) const = default;
};

/// A fault by its name in the admin API.
struct FaultName {
  std::string_view Name_;
  std::int64_t Faults::*Member_;
};

inline constexpr FaultName FaultNames[] = {
    {"slow", &Faults::Slow_},         {"fail-tasks", &Faults::FailTasks_},
    {"freeze", &Faults::Freeze_},     {"truncate", &Faults::Truncate_},
    {"drop", &Faults::Drop_},         {"late-ms", &Faults::LateMs_},
    {"wrong-id", &Faults::WrongId_},  {"errors", &Faults::Errors_},
    {"busy", &Faults::Busy_},         {"mute", &Faults::Mute_},
    {"draining", &Faults::Draining_},
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_FAULTS_H
