#include "tulipweir/jobservice/LoadOptions.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Callers are told to return in whole seconds.
static constexpr Duration LeastRetryAfter = seconds(1);
static constexpr std::int64_t MaxLatenessLimit = 100;

jobs::AdmissionSettings LoadOptions::makeAdmissionSettings() const {
  jobs::AdmissionSettings Result;
  Result.IsEnabled_ = Admission_ == "on";
  Result.LatenessLimit_ = static_cast<std::uint64_t>(LatenessLimit_);
  Result.MinRetryAfter_ = MinRetryAfter_;
  Result.MaxRetryAfter_ = MaxRetryAfter_;
  return Result;
}

jobs::RunTimeSettings LoadOptions::makeRunTimeSettings() const {
  return {LearnedRunTimes_ == "on"};
}

jobs::ShareSettings LoadOptions::makeShareSettings() const {
  jobs::ShareSettings Result;
  Result.IsEnabled_ = Yields_ == "on";
  Result.YieldsWithoutBudget_ = YieldsWithoutBudget_ == "on";
  Result.MinYieldInterval_ = MinYieldInterval_;
  return Result;
}

static std::string checkRetryAfter(const LoadOptions &Options) {
  if (Options.MinRetryAfter_ <= Options.MaxRetryAfter_)
    return "";
  return "--min-retry-after must not be longer than --max-retry-after";
}

void jobservice::addLoadOptions(net::Options &Flags, LoadOptions &Target) {
  Flags.addChoice("admission", Target.Admission_, {"on", "off"},
                  "Whether jobs that cannot end while they are of use are "
                  "rejected when they are submitted");
  Flags.addInteger("lateness-limit", Target.LatenessLimit_, 1, MaxLatenessLimit,
                   "A result is of no use to its callers after this many times "
                   "the objective of its queue");
  Flags.addDuration("min-retry-after", Target.MinRetryAfter_, LeastRetryAfter,
                    hours(1),
                    "The least time after which a rejected caller is told to "
                    "return");
  Flags.addDuration("max-retry-after", Target.MaxRetryAfter_, LeastRetryAfter,
                    hours(1),
                    "The longest time after which a rejected caller is told to "
                    "return");
  Flags.addChoice("learned-run-times", Target.LearnedRunTimes_, {"on", "off"},
                  "Whether decisions read run times as learned from ended runs "
                  "instead of the declared ones");
  Flags.addChoice("yields", Target.Yields_, {"on", "off"},
                  "Whether long-running tasks of a full fleet yield to other "
                  "work, within the disruption budgets of their steps");
  Flags.addChoice("yield-without-budget", Target.YieldsWithoutBudget_,
                  {"on", "off"},
                  "Whether tasks of steps that declare no disruption budget "
                  "yield too, one of a step at a time");
  Flags.addDuration("min-yield-interval", Target.MinYieldInterval_, seconds(1),
                    hours(24),
                    "A task that has yielded does not yield again for this "
                    "time");
  Flags.addRule([&Target] { return checkRetryAfter(Target); });
}
