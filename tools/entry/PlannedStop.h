//===- PlannedStop.h - Stopping an entry without a cut ---------*- C++ -*-===//
//
// The steps of a planned stop: not ready, accept no more, finish what is in
// progress, give the grants back. A second signal or the grace limit ends it.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_ENTRY_PLANNEDSTOP_H
#define TULIPWEIR_TOOLS_ENTRY_PLANNEDSTOP_H

#include "tulipweir/entry/Entry.h"
#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Options.h"

#include <atomic>
#include <future>

namespace tulipweir::entry {

/// Thread-safe. What it is given outlives it.
class PlannedStop {
public:
  PlannedStop(net::IoPool &Pool, net::HttpServer &Server, Entry &Entry,
              Duration Delay, Duration Grace)
      : Pool_(Pool), Server_(Server), Entry_(Entry), Delay_(Delay),
        Grace_(Grace) {}

  void begin();
  void end(net::ExitCode Code);
  /// Blocks until the stop has ended.
  net::ExitCode wait() { return Result_.get_future().get(); }

private:
  void drain();
  void waitForRecords();

  net::IoPool &Pool_;
  net::HttpServer &Server_;
  Entry &Entry_;
  const Duration Delay_;
  const Duration Grace_;
  std::atomic<bool> Begun_{false};
  std::atomic<bool> Ended_{false};
  std::promise<net::ExitCode> Result_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_TOOLS_ENTRY_PLANNEDSTOP_H
