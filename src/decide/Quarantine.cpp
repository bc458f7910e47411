//===- Quarantine.cpp - Servers on which every task fails ----------------===//

#include "decide/Quarantine.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Bounds on the kept evidence: jobs in total, jobs per server and servers per
/// job.
static constexpr std::size_t MaxJobs = 8192;
static constexpr std::size_t MaxJobsPerServer = 16;
static constexpr std::size_t MaxServersPerJob = 8;
/// A job that failed on this many servers and succeeded on none is itself at
/// fault.
static constexpr std::size_t MinServersOfFailingJob = 3;
/// Different failing jobs that make a server a suspect.
static constexpr std::size_t MinJobsOfSuspect = 2;
/// How long a server stays a suspect without a new failure.
static constexpr Duration SuspectTime = std::chrono::seconds(60);
static constexpr int MaxLengthFactor = 16;

template <class T>
static bool addUnique(std::vector<T> &Values, const T &Value,
                      std::size_t Limit) {
  if (std::find(Values.begin(), Values.end(), Value) != Values.end())
    return false;
  if (Values.size() >= Limit)
    Values.erase(Values.begin());
  Values.push_back(Value);
  return true;
}

Quarantine::Job &Quarantine::getOrCreateJob(const JobId &Id) {
  const auto It = Jobs_.find(Id);
  if (It != Jobs_.end())
    return It->second;
  JobOrder_.push_back(Id);
  if (JobOrder_.size() > MaxJobs) {
    Jobs_.erase(JobOrder_.front());
    JobOrder_.pop_front();
  }
  return Jobs_[Id];
}

bool Quarantine::isEvidence(const JobId &Id,
                            const BackendServerId &Server) const {
  const auto It = Jobs_.find(Id);
  if (It == Jobs_.end())
    return false;
  const auto &Healthy = It->second.HealthyOn_;
  return std::any_of(
      Healthy.begin(), Healthy.end(),
      [&](const BackendServerId &Other) { return Other != Server; });
}

bool Quarantine::failsEverywhere(const JobId &Id) const {
  const auto It = Jobs_.find(Id);
  return It != Jobs_.end() && It->second.HealthyOn_.empty() &&
         It->second.FailedOn_.size() >= MinServersOfFailingJob;
}

void Quarantine::setHealth(const BackendServerId &Id, ServerRecord &Record,
                           ServerHealth To, std::vector<JobId> Jobs) {
  Changes_.push_back(
      {Id, Record.Health_, To, std::move(Jobs), Record.QuarantineLength_});
  Record.Health_ = To;
}

void Quarantine::updateHealth(const BackendServerId &Id, TimePoint Now,
                              const Policy &Settings) {
  const auto It = Servers_.find(Id);
  if (It == Servers_.end() || It->second.Health_ == ServerHealth::Quarantined)
    return;
  ServerRecord &Record = It->second;
  std::vector<JobId> Evidence;
  std::size_t Doubtful = 0;
  for (const JobId &Failed : Record.FailedJobs_) {
    if (isEvidence(Failed, Id))
      Evidence.push_back(Failed);
    else if (!failsEverywhere(Failed))
      ++Doubtful;
  }
  const bool Relapsed =
      Record.Health_ == ServerHealth::Probation && !Evidence.empty();
  if (Relapsed || Evidence.size() >= Settings.QuarantineJobs_) {
    const Duration Longest = Settings.QuarantineTime_ * MaxLengthFactor;
    Record.QuarantineLength_ =
        Relapsed ? std::min(Record.QuarantineLength_ * 2, Longest)
                 : Settings.QuarantineTime_;
    Record.Until_ = Now + Record.QuarantineLength_;
    Timers_.insert({Record.Until_, Id});
    setHealth(Id, Record, ServerHealth::Quarantined, std::move(Evidence));
    return;
  }
  const bool Suspicious = Evidence.size() + Doubtful >= MinJobsOfSuspect;
  if (Suspicious && Record.Health_ == ServerHealth::Good) {
    Record.Until_ = Now + SuspectTime;
    Timers_.insert({Record.Until_, Id});
    setHealth(Id, Record, ServerHealth::Suspect, Record.FailedJobs_);
  } else if (!Suspicious && Record.Health_ == ServerHealth::Suspect) {
    setHealth(Id, Record, ServerHealth::Good, {});
  }
}

void Quarantine::recordFailure(const JobId &Job, const BackendServerId &Server,
                               TimePoint Now, const Policy &Settings) {
  auto &FailedOn = getOrCreateJob(Job).FailedOn_;
  addUnique(FailedOn, Server, MaxServersPerJob);
  auto &Record = Servers_[Server];
  Record.FailedAt_ = Now;
  addUnique(Record.FailedJobs_, Job, MaxJobsPerServer);
  // A further failure of the job may clear the servers on which it failed
  // before.
  const auto ServersToCheck = FailedOn;
  for (const BackendServerId &Id : ServersToCheck)
    updateHealth(Id, Now, Settings);
}

void Quarantine::recordSuccess(const JobId &Job, const BackendServerId &Server,
                               TimePoint Now, const Policy &Settings) {
  auto &JobState = getOrCreateJob(Job);
  addUnique(JobState.HealthyOn_, Server, MaxServersPerJob);
  const auto ServersToCheck = JobState.FailedOn_;
  const auto It = Servers_.find(Server);
  if (It != Servers_.end() && It->second.Health_ != ServerHealth::Quarantined) {
    It->second.FailedJobs_.clear();
    if (It->second.Health_ != ServerHealth::Good)
      setHealth(Server, It->second, ServerHealth::Good, {Job});
    Servers_.erase(It);
  }
  for (const BackendServerId &Id : ServersToCheck)
    if (Id != Server)
      updateHealth(Id, Now, Settings);
}

void Quarantine::advance(TimePoint Now) {
  while (!Timers_.empty() && Timers_.begin()->first <= Now) {
    const BackendServerId Id = Timers_.begin()->second;
    Timers_.erase(Timers_.begin());
    const auto It = Servers_.find(Id);
    if (It == Servers_.end() || Now < It->second.Until_)
      continue;
    ServerRecord &Record = It->second;
    if (Record.Health_ == ServerHealth::Quarantined) {
      Record.FailedJobs_.clear();
      setHealth(Id, Record, ServerHealth::Probation, {});
    } else if (Record.Health_ == ServerHealth::Suspect) {
      setHealth(Id, Record, ServerHealth::Good, {});
      Servers_.erase(It);
    }
  }
}

std::vector<HealthChange> Quarantine::takeChanges() {
  return std::exchange(Changes_, {});
}

ServerHealth Quarantine::getHealth(const BackendServerId &Server) const {
  const auto It = Servers_.find(Server);
  return It == Servers_.end() ? ServerHealth::Good : It->second.Health_;
}

std::uint32_t Quarantine::countFailedJobs(const BackendServerId &Server) const {
  const auto It = Servers_.find(Server);
  if (It == Servers_.end())
    return 0;
  return static_cast<std::uint32_t>(It->second.FailedJobs_.size());
}
