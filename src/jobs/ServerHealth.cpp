#include "jobs/ServerHealth.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A few percent of single runs fail for reasons of their own. Three failures
/// in a row, of two jobs on one server, are very unlikely without a fault of
/// the server.
static constexpr std::uint64_t MinFailures = 3;
static constexpr std::size_t MinJobs = 2;
/// About as long as faults of servers last. The time doubles with each
/// quarantine in a row, up to the limit.
static constexpr Duration FirstQuarantine = 3s;
static constexpr std::uint64_t MaxDoublings = 2;
/// A server is slow when its runs take this many times as long as runs of the
/// same steps on other servers. Run times on healthy servers vary by a third;
/// faulty servers are at least four times slower.
static const double MinSlowLogRatio = std::log(2.2);
static constexpr std::uint64_t MinRunsElsewhere = 2;
/// The number of steps whose run times are kept. A few hundred are in progress
/// at a time.
static constexpr std::size_t MaxSteps = 512;

void ServerHealth::reset() {
  Servers_.clear();
  Steps_.clear();
  StepOrder_.clear();
}

void ServerHealth::startQuarantine(Record &Health, bool IsSlow, TimePoint Now) {
  Health.IsSlow_ = IsSlow;
  const std::uint64_t Doublings =
      std::min(Health.QuarantineCount_++, MaxDoublings);
  Health.Until_ = Now + FirstQuarantine * (std::uint64_t(1) << Doublings);
  Health.IsOnProbation_ = true;
  Health.Failures_ = 0;
  Health.Jobs_.clear();
  Health.SlowJobs_.clear();
}

/// Returns the logarithm, in milliseconds; of no time, nothing.
static std::optional<double> findLog(Duration Value) {
  if (Value <= Duration(0))
    return std::nullopt;
  return std::log(std::chrono::duration<double, std::milli>(Value).count());
}

/// Returns how much longer the run took than runs of the step on other servers,
/// as a logarithm of the ratio: at least, if that is slow; at most, if that is
/// not slow; otherwise nothing, as also while too few runs of the step have
/// finished on other servers.
std::optional<double>
ServerHealth::findTellingLogRatio(const std::string &ServerId,
                                  const StepKey &Step,
                                  const RunTimeBounds &RunTime) {
  const auto [It, IsNew] = Steps_.try_emplace(Step);
  if (IsNew)
    StepOrder_.push_back(Step);
  StepTimes &Times = It->second;
  auto &[OwnSum, OwnCount] = Times.ByServer_[ServerId];
  const std::uint64_t Elsewhere = Times.Count_ - OwnCount;
  const std::optional<double> Shortest = findLog(RunTime.Shortest_);
  const std::optional<double> Longest = findLog(RunTime.Longest_);
  std::optional<double> LogRatio;
  if (Elsewhere >= MinRunsElsewhere) {
    const double Usual = (Times.Sum_ - OwnSum) / double(Elsewhere);
    if (Shortest && *Shortest - Usual > MinSlowLogRatio)
      LogRatio = *Shortest - Usual;
    else if (Longest && *Longest - Usual <= MinSlowLogRatio)
      LogRatio = *Longest - Usual;
  }
  if (Longest) {
    Times.Sum_ += *Longest;
    OwnSum += *Longest;
    ++Times.Count_;
    ++OwnCount;
  }
  while (StepOrder_.size() > MaxSteps) {
    Steps_.erase(StepOrder_.front());
    StepOrder_.pop_front();
  }
  return LogRatio;
}

bool ServerHealth::recordCompletion(const std::string &ServerId,
                                    const std::string &Job, std::uint64_t Step,
                                    const RunTimeBounds &RunTime,
                                    TimePoint Now) {
  Record &Health = Servers_[ServerId];
  Health.Failures_ = 0;
  Health.Jobs_.clear();
  if (Now >= Health.Until_) {
    Health.IsOnProbation_ = false;
    Health.QuarantineCount_ = 0;
  }
  if (RunTime.Shortest_ <= Duration(0) && RunTime.Longest_ <= Duration(0))
    return false;
  const auto LogRatio = findTellingLogRatio(ServerId, {Job, Step}, RunTime);
  if (!LogRatio)
    return false;
  if (*LogRatio > MinSlowLogRatio)
    Health.SlowJobs_.insert(Job);
  else
    Health.SlowJobs_.clear();
  const bool IsSlow =
      Health.SlowJobs_.size() >= MinJobs && Now >= Health.Until_;
  if (IsSlow)
    startQuarantine(Health, true, Now);
  return IsSlow;
}

bool ServerHealth::recordFailure(const std::string &ServerId,
                                 const std::string &Job, TimePoint Now) {
  Record &Health = Servers_[ServerId];
  ++Health.Failures_;
  Health.Jobs_.insert(Job);
  const bool IsRelapse = Health.IsOnProbation_ && Now >= Health.Until_;
  const bool IsFaulty =
      Health.Failures_ >= MinFailures && Health.Jobs_.size() >= MinJobs;
  if (!IsRelapse && !IsFaulty)
    return false;
  const bool IsNew = Now >= Health.Until_;
  startQuarantine(Health, false, Now);
  return IsNew;
}

bool ServerHealth::wasSlow(const std::string &ServerId) const {
  const auto It = Servers_.find(ServerId);
  return It != Servers_.end() && It->second.IsSlow_;
}

HealthState ServerHealth::getHealthState(const std::string &ServerId,
                                         TimePoint Now) const {
  const auto It = Servers_.find(ServerId);
  if (It == Servers_.end())
    return HealthState::Healthy;
  if (Now < It->second.Until_)
    return HealthState::Quarantined;
  return It->second.IsOnProbation_ ? HealthState::Probation
                                   : HealthState::Healthy;
}
