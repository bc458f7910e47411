//===- Reporter.h - Periodic reports to the leader -------------*- C++ -*-===//
//
// Reports the state of this entry to the leader and applies the reply: grants,
// routes and the bundle in force. Only one report is in flight at a time, so
// that replies cannot arrive out of order.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_REPORTER_H
#define TULIPWEIR_ENTRY_REPORTER_H

#include "tulipweir/entry/Configuration.h"
#include "tulipweir/entry/ControlClient.h"
#include "tulipweir/entry/EntryMetrics.h"
#include "tulipweir/entry/EntryState.h"
#include "tulipweir/entry/Router.h"
#include "tulipweir/entry/Timers.h"

#include <atomic>
#include <functional>
#include <memory>

namespace tulipweir::entry {

/// The dependencies of Reporter. Referenced objects outlive it.
struct ReporterDependencies {
  const EntryIdentity &Identity_;
  EntryFlags &Flags_;
  ConfigurationHolder &Configuration_;
  Router &Router_;
  ControlClient &Control_;
  Timers &Timers_;
  const Clock &Clock_;
  EntryMetrics &Metrics_;
  Duration Period_ = std::chrono::milliseconds(500);
};

/// Sends periodic reports to the leader. Thread-safe.
class Reporter {
public:
  explicit Reporter(const ReporterDependencies &Deps);
  ~Reporter();
  Reporter(const Reporter &) = delete;
  Reporter &operator=(const Reporter &) = delete;

  /// Sends the first report, and another one each period.
  void start();
  /// Stops the periodic reports and returns the grants. Calls Done when the
  /// leader has replied or is unreachable.
  void releaseGrants(std::function<void()> Done);
  /// Returns whether the leader replied to the last report.
  bool hasLeader() const;

private:
  class Loop;
  std::shared_ptr<Loop> Loop_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_REPORTER_H
