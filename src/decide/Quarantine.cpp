//===- Quarantine.cpp - Servers that fail every task --------------------===//

#include "decide/Quarantine.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Jobs and servers remembered as evidence.
static constexpr std::size_t MaxJobs = 8192;
static constexpr std::size_t MaxEvidence = 16;
static constexpr std::size_t MaxPerJob = 8;
/// A job that failed on so many servers, and did well nowhere, is at fault
/// itself.
static constexpr std::size_t ServersOfPoisonousJob = 3;
/// Different failing jobs that make a server a suspect.
static constexpr std::size_t JobsOfSuspect = 2;
/// How long a suspect stays one without a new failure.
static constexpr Duration SuspectTime = std::chrono::seconds(60);
static constexpr int LongestFactor = 16;

template <class T>
static bool addDifferent(std::vector<T> &Values, const T &Value,
                         std::size_t Most) {
  if (std::find(Values.begin(), Values.end(), Value) != Values.end())
    return false;
  if (Values.size() >= Most)
    Values.erase(Values.begin());
  Values.push_back(Value);
  return true;
}

Quarantine::Job &Quarantine::jobOf(const JobId &Id) {
  const auto Found = Jobs_.find(Id);
  if (Found != Jobs_.end())
    return Found->second;
  JobOrder_.push_back(Id);
  if (JobOrder_.size() > MaxJobs) {
    Jobs_.erase(JobOrder_.front());
    JobOrder_.pop_front();
  }
  return Jobs_[Id];
}

bool Quarantine::isEvidence(const JobId &Id,
                            const BackendServerId &Server) const {
  const auto Found = Jobs_.find(Id);
  if (Found == Jobs_.end())
    return false;
  const auto &Healthy = Found->second.HealthyOn_;
  return std::any_of(
      Healthy.begin(), Healthy.end(),
      [&](const BackendServerId &Other) { return Other != Server; });
}

bool Quarantine::failsEverywhere(const JobId &Id) const {
  const auto Found = Jobs_.find(Id);
  return Found != Jobs_.end() && Found->second.HealthyOn_.empty() &&
         Found->second.FailedOn_.size() >= ServersOfPoisonousJob;
}

void Quarantine::change(const BackendServerId &Id, Server &Value,
                        ServerHealth To, std::vector<JobId> Jobs) {
  Changes_.push_back({Id, Value.Health_, To, std::move(Jobs), Value.Time_});
  Value.Health_ = To;
}

void Quarantine::judge(const BackendServerId &Id, TimePoint Now,
                       const Policy &Settings) {
  const auto Found = Servers_.find(Id);
  if (Found == Servers_.end() ||
      Found->second.Health_ == ServerHealth::Quarantined)
    return;
  Server &Value = Found->second;
  std::vector<JobId> Evidence;
  std::size_t Doubtful = 0;
  for (const JobId &Failed : Value.FailedJobs_) {
    if (isEvidence(Failed, Id))
      Evidence.push_back(Failed);
    else if (!failsEverywhere(Failed))
      ++Doubtful;
  }
  const bool Relapsed =
      Value.Health_ == ServerHealth::Probation && !Evidence.empty();
  if (Relapsed || Evidence.size() >= Settings.QuarantineJobs_) {
    const Duration Longest = Settings.QuarantineTime_ * LongestFactor;
    Value.Time_ = Relapsed ? std::min(Value.Time_ * 2, Longest)
                           : Settings.QuarantineTime_;
    Value.Until_ = Now + Value.Time_;
    Timers_.insert({Value.Until_, Id});
    change(Id, Value, ServerHealth::Quarantined, std::move(Evidence));
    return;
  }
  const bool Suspicious = Evidence.size() + Doubtful >= JobsOfSuspect;
  if (Suspicious && Value.Health_ == ServerHealth::Good) {
    Value.Until_ = Now + SuspectTime;
    Timers_.insert({Value.Until_, Id});
    change(Id, Value, ServerHealth::Suspect, Value.FailedJobs_);
  } else if (!Suspicious && Value.Health_ == ServerHealth::Suspect) {
    change(Id, Value, ServerHealth::Good, {});
  }
}

void Quarantine::noteFailed(const JobId &Job, const BackendServerId &Server,
                            TimePoint Now, const Policy &Settings) {
  auto &FailedOn = jobOf(Job).FailedOn_;
  addDifferent(FailedOn, Server, MaxPerJob);
  auto &Value = Servers_[Server];
  Value.FailedAt_ = Now;
  addDifferent(Value.FailedJobs_, Job, MaxEvidence);
  // A further failure of the job may clear the servers it failed on before.
  const auto Judged = FailedOn;
  for (const BackendServerId &Each : Judged)
    judge(Each, Now, Settings);
}

void Quarantine::noteHealthy(const JobId &Job, const BackendServerId &Server,
                             TimePoint Now, const Policy &Settings) {
  auto &Known = jobOf(Job);
  addDifferent(Known.HealthyOn_, Server, MaxPerJob);
  const auto Judged = Known.FailedOn_;
  const auto Found = Servers_.find(Server);
  if (Found != Servers_.end() &&
      Found->second.Health_ != ServerHealth::Quarantined) {
    Found->second.FailedJobs_.clear();
    if (Found->second.Health_ != ServerHealth::Good)
      change(Server, Found->second, ServerHealth::Good, {Job});
    Servers_.erase(Found);
  }
  for (const BackendServerId &Each : Judged)
    if (Each != Server)
      judge(Each, Now, Settings);
}

void Quarantine::advance(TimePoint Now) {
  while (!Timers_.empty() && Timers_.begin()->first <= Now) {
    const BackendServerId Id = Timers_.begin()->second;
    Timers_.erase(Timers_.begin());
    const auto Found = Servers_.find(Id);
    if (Found == Servers_.end() || Now < Found->second.Until_)
      continue;
    Server &Value = Found->second;
    if (Value.Health_ == ServerHealth::Quarantined) {
      Value.FailedJobs_.clear();
      change(Id, Value, ServerHealth::Probation, {});
    } else if (Value.Health_ == ServerHealth::Suspect) {
      change(Id, Value, ServerHealth::Good, {});
      Servers_.erase(Found);
    }
  }
}

std::vector<HealthChange> Quarantine::takeChanges() {
  return std::exchange(Changes_, {});
}

ServerHealth Quarantine::healthOf(const BackendServerId &Server) const {
  const auto Found = Servers_.find(Server);
  return Found == Servers_.end() ? ServerHealth::Good : Found->second.Health_;
}

std::uint32_t Quarantine::failuresOn(const BackendServerId &Server) const {
  const auto Found = Servers_.find(Server);
  if (Found == Servers_.end())
    return 0;
  return static_cast<std::uint32_t>(Found->second.FailedJobs_.size());
}
