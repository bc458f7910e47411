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
/// A server is slow when its runs take so many times as long as those of the
/// same steps elsewhere, which scatter by a third; sick ones are four times and
/// more slower.
static const double SlowLog = std::log(2.2);
static constexpr std::uint64_t LeastSamples = 3;
static constexpr std::uint64_t LeastElsewhere = 2;
static constexpr double NewestWeight = 0.4;
/// Steps whose times are kept; some hundred are under way at a time.
static constexpr std::size_t MostSteps = 512;

void ServerHealth::reset() {
  Servers_.clear();
  Steps_.clear();
  Order_.clear();
}

void ServerHealth::sentence(Record &Own, TimePoint Now) {
  const std::uint64_t Doublings = std::min(Own.Sentences_++, MostDoublings);
  Own.Until_ = Now + FirstSentence * (std::uint64_t(1) << Doublings);
  Own.IsOnProbation_ = true;
  Own.Failures_ = 0;
  Own.Jobs_.clear();
  Own.Samples_ = 0;
  Own.SlowJobs_.clear();
}

/// How much longer than elsewhere, as a logarithm; nothing while too few runs
/// of the step were done on other servers.
std::optional<double> ServerHealth::compare(const std::string &ServerId,
                                            const StepKey &Step, double Log) {
  const auto [Place, IsNew] = Steps_.try_emplace(Step);
  if (IsNew)
    Order_.push_back(Step);
  StepTimes &Times = Place->second;
  auto &[OwnSum, OwnCount] = Times.ByServer_[ServerId];
  const std::uint64_t Elsewhere = Times.Count_ - OwnCount;
  std::optional<double> Longer;
  if (Elsewhere >= LeastElsewhere)
    Longer = Log - (Times.Sum_ - OwnSum) / double(Elsewhere);
  Times.Sum_ += Log;
  OwnSum += Log;
  ++Times.Count_;
  ++OwnCount;
  while (Order_.size() > MostSteps) {
    Steps_.erase(Order_.front());
    Order_.pop_front();
  }
  return Longer;
}

bool ServerHealth::noteDone(const std::string &ServerId, const std::string &Job,
                            std::uint64_t Step, Duration Took, TimePoint Now) {
  Record &Own = Servers_[ServerId];
  Own.Failures_ = 0;
  Own.Jobs_.clear();
  if (Now >= Own.Until_) {
    Own.IsOnProbation_ = false;
    Own.Sentences_ = 0;
  }
  if (Took <= Duration(0))
    return false;
  const auto Longer = compare(
      ServerId, {Job, Step},
      std::log(std::chrono::duration<double, std::milli>(Took).count()));
  if (!Longer)
    return false;
  Own.Slowness_ = Own.Samples_ == 0 ? *Longer
                                    : Own.Slowness_ * (1 - NewestWeight) +
                                          *Longer * NewestWeight;
  ++Own.Samples_;
  if (*Longer > SlowLog)
    Own.SlowJobs_.insert(Job);
  else
    Own.SlowJobs_.clear();
  const bool IsSlow = Own.Samples_ >= LeastSamples &&
                      Own.SlowJobs_.size() >= LeastJobs &&
                      Own.Slowness_ > SlowLog && Now >= Own.Until_;
  if (IsSlow)
    sentence(Own, Now);
  return IsSlow;
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
