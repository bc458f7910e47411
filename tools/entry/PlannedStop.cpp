//===- PlannedStop.cpp ----------------------------------------------------===//

#include "entry/PlannedStop.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::entry;
using net::ExitCode;

static constexpr Duration PollPeriod = std::chrono::milliseconds(10);

void PlannedStop::begin() {
  if (Begun_.exchange(true))
    return;
  Entry_.beginStop();
  Pool_.runAfter(Delay_, [this] { drain(); });
  Pool_.runAfter(Delay_ + Grace_, [this] {
    if (!Ended_)
      spdlog::error("the grace limit passed with {} in progress",
                    Entry_.getInProgress());
    end(ExitCode::GraceExceeded);
  });
}

void PlannedStop::drain() {
  Server_.drain([this] { waitForRecords(); });
}

// Connections are gone; what is still being recorded must not be lost.
void PlannedStop::waitForRecords() {
  if (Ended_)
    return;
  if (Entry_.getInProgress() > 0) {
    Pool_.runAfter(PollPeriod, [this] { waitForRecords(); });
    return;
  }
  Entry_.releaseGrants([this] { end(ExitCode::Success); });
}

void PlannedStop::end(ExitCode Code) {
  if (!Ended_.exchange(true))
    Result_.set_value(Code);
}
