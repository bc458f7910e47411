#include "jobs/PassedOverTimes.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Room that is offered once counts for one to two of these periods, each two
/// report intervals. The ends of jobs make room time and again, for a tenth of
/// a second each.
static constexpr Duration Period = std::chrono::seconds(1);

void PassedOverTimes::reset() {
  Since_.clear();
  Largest_ = PreviousLargest_ = 0;
  PeriodEnd_ = {};
}

void PassedOverTimes::recordRoom(std::int64_t MilliCpus, TimePoint Now) {
  if (Now >= PeriodEnd_) {
    const bool IsNext = Now < PeriodEnd_ + Period;
    PreviousLargest_ = IsNext ? Largest_ : 0;
    Largest_ = 0;
    PeriodEnd_ = Now + Period;
  }
  Largest_ = std::max(Largest_, MilliCpus);
}

void PassedOverTimes::update(const JobRegistry &Registry, TimePoint Now) {
  recordRoom(0, Now);
  const std::int64_t Room = std::max(Largest_, PreviousLargest_);
  std::erase_if(Since_, [&Registry](const auto &Entry) {
    return Registry.readyLongRunningSteps().count(Entry.first) == 0;
  });
  for (const ReadyStep &Ready : Registry.readyLongRunningSteps()) {
    const StepSpec &Step =
        Registry.findJob(Ready.Job_)->Spec_.Steps_[Ready.Step_];
    if (Step.getReserved().MilliCpus_ <= Room)
      Since_.try_emplace(Ready, Now);
    else
      Since_.erase(Ready);
  }
}

Duration PassedOverTimes::getTime(const ReadyStep &Step, TimePoint Now) const {
  const auto It = Since_.find(Step);
  return It == Since_.end() ? Duration(0) : Now - It->second;
}
