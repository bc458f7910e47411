#include "jobs/ServerHealth.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Single runs fail by themselves in some percent of cases; three in a row of
/// two jobs on one server hardly ever.
static constexpr std::uint64_t MostFailures = 3;
static constexpr std::size_t LeastJobs = 2;
/// About as long as servers stay sick; doubled each time up to the longest.
static constexpr Duration FirstSentence = 3s;
static constexpr std::uint64_t MostDoublings = 2;
/// A server is slow when its runs take so many times as long as elsewhere,
/// against estimates that are off by a third to a factor of two.
static const double SlowLog = std::log(2.5);
static constexpr std::uint64_t LeastSamples = 4;
static constexpr std::uint64_t LeastUsualSamples = 50;
static constexpr double NewestWeight = 0.3;
static constexpr double NewestUsualWeight = 0.01;

void ServerHealth::reset() {
  Servers_.clear();
  Usual_ = 0;
  UsualSamples_ = 0;
}

void ServerHealth::sentence(Record &Own, TimePoint Now) {
  const std::uint64_t Doublings = std::min(Own.Sentences_++, MostDoublings);
  Own.Until_ = Now + FirstSentence * (std::uint64_t(1) << Doublings);
  Own.IsOnProbation_ = true;
  Own.Failures_ = 0;
  Own.Jobs_.clear();
  Own.Samples_ = 0;
}

void ServerHealth::noteDone(const std::string &ServerId, Duration Took,
                            std::uint64_t EstimateMs, TimePoint Now) {
  Record &Own = Servers_[ServerId];
  Own.Failures_ = 0;
  Own.Jobs_.clear();
  if (Now >= Own.Until_) {
    Own.IsOnProbation_ = false;
    Own.Sentences_ = 0;
  }
  if (EstimateMs == 0 || Took <= Duration(0))
    return;
  const double Log = std::log(std::chrono::duration<double, std::milli>(Took)
                                  .count() /
                              double(EstimateMs));
  Own.Slowness_ = Own.Samples_ == 0
                      ? Log
                      : Own.Slowness_ * (1 - NewestWeight) + Log * NewestWeight;
  ++Own.Samples_;
  Usual_ = UsualSamples_ == 0
               ? Log
               : Usual_ * (1 - NewestUsualWeight) + Log * NewestUsualWeight;
  ++UsualSamples_;
  const bool IsSlow = Own.Samples_ >= LeastSamples &&
                      UsualSamples_ >= LeastUsualSamples &&
                      Own.Slowness_ > Usual_ + SlowLog;
  if (IsSlow)
    sentence(Own, Now);
}

bool ServerHealth::noteFailed(const std::string &ServerId,
                              const std::string &Job, TimePoint Now) {
  Record &Own = Servers_[ServerId];
  ++Own.Failures_;
  Own.Jobs_.insert(Job);
  const bool IsRelapse = Own.IsOnProbation_ && Now >= Own.Until_;
  const bool IsSick =
      Own.Failures_ >= MostFailures && Own.Jobs_.size() >= LeastJobs;
  if (!IsRelapse && !IsSick)
    return false;
  const bool IsNew = Now >= Own.Until_;
  sentence(Own, Now);
  return IsNew;
}

Fitness ServerHealth::getFitness(const std::string &ServerId,
                                 TimePoint Now) const {
  const auto Found = Servers_.find(ServerId);
  if (Found == Servers_.end())
    return Fitness::Sound;
  if (Now < Found->second.Until_)
    return Fitness::Quarantined;
  return Found->second.IsOnProbation_ ? Fitness::Probation : Fitness::Sound;
}
