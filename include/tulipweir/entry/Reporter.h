//===- Reporter.h - An entry's periodic report -----------------*- C++ -*-===//
//
// Tells the leader what this entry holds and takes over the reply: grants,
// routes and the bundle in force. One report is under way at a time, so that
// replies cannot overtake each other.
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

/// What the reporter needs; all of it outlives the reporter.
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

/// Thread-safe.
class Reporter {
public:
  explicit Reporter(const ReporterDependencies &Deps);
  ~Reporter();
  Reporter(const Reporter &) = delete;
  Reporter &operator=(const Reporter &) = delete;

  /// Sends the first report and one each period from then on.
  void start();
  /// Ends the periodic reports and gives the grants back; calls Done once the
  /// leader has heard it, or cannot be reached.
  void releaseGrants(std::function<void()> Done);
  /// Whether the last report was replied to.
  bool hasLeader() const;

private:
  class Loop;
  std::shared_ptr<Loop> Loop_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_REPORTER_H
