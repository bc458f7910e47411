//===- ServerRoom.h - What is left on one server ---------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERROOM_H
#define TULIPWEIR_SRC_JOBS_SERVERROOM_H

#include "jobs/PaceGuard.h"
#include "tulipweir/jobs/JobBook.h"

#include <cstdint>
#include <set>
#include <string>

namespace tulipweir::jobs {

/// The room on one server, as a plan uses it up.
struct ServerRoom {
  Resources Free_;
  /// Processors that are expected to stay idle, thousandths.
  std::int64_t Idle_ = 0;
  FillingPace Pace_;
  /// Processors left to filling tasks that disturb, thousandths.
  std::int64_t Budget_ = 0;
  std::set<std::string> Serving_; ///< Images that serve there.

  /// As of what is placed there; pace and budget are not measured.
  static ServerRoom measure(const ServerRecord &Server);
  /// One more task of the step is placed there.
  void take(const StepSpec &Step);
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVERROOM_H
