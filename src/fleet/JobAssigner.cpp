//===- JobAssigner.cpp - Assignment of jobs to data centres --------------===//

#include "tulipweir/fleet/JobAssigner.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::fleet;

static bool isCurrent(const JobRegistry &Jobs, const JobId &Job,
                      std::uint64_t Assignment) {
  const FleetJob *Record = Jobs.find(Job);
  return Record && !Record->DataCentre_.value().empty() &&
         Record->Assignment_ == Assignment;
}

static bool isHeldBy(const JobRegistry &Jobs, const HeldAssignment &Held,
                     const DataCentreId &DataCentre) {
  return isCurrent(Jobs, Held.Job_, Held.Assignment_) &&
         Jobs.find(Held.Job_)->DataCentre_ == DataCentre;
}

static Command makeRelease(const JobId &Job, std::uint64_t Assignment) {
  ReleaseJob Release;
  Release.Job_ = Job;
  Release.Assignment_ = Assignment;
  Release.Expired_ = true;
  return Release;
}

void JobAssigner::startLeading(TimePoint Now) {
  stopLeading();
  LeadingSince_ = Now;
}

void JobAssigner::stopLeading() {
  LeadingSince_.reset();
  DataCentres_.clear();
  PendingReleases_.clear();
  PendingAssignments_.clear();
}

AssignmentReply JobAssigner::renew(const AssignmentReport &Report,
                                   const JobRegistry &Jobs, TimePoint Now) {
  AssignmentReply Reply;
  if (!LeadingSince_)
    return Reply;
  DataCentreStatus &Status = DataCentres_[Report.DataCentre_];
  Status.AnsweredAt_ = std::max(Status.AnsweredAt_, Now);
  if (Report.HasLoad_) {
    Status.Load_ = Report.Load_;
    Status.HasLoad_ = true;
    Status.AssignedSince_ = 0;
  }
  for (const HeldAssignment &Held : Report.Due_)
    if (isHeldBy(Jobs, Held, Report.DataCentre_) &&
        !PendingReleases_.contains(Held.Job_))
      Reply.Renewed_.push_back(Held);
  return Reply;
}

std::vector<Command> JobAssigner::decide(const JobRegistry &Jobs, TimePoint Now,
                                         std::size_t Budget) {
  std::vector<Command> Out;
  if (!LeadingSince_ || Now < *LeadingSince_ + Times_.NewLeaderDelay_)
    return Out;
  retryReleases(Jobs, Now, Budget, Out);
  releaseExpired(Jobs, Now, Budget, Out);
  prunePendingAssignments(Jobs, Now);
  assignWaitingJobs(Jobs, Now, Budget, Out);
  return Out;
}

void JobAssigner::retryReleases(const JobRegistry &Jobs, TimePoint Now,
                                std::size_t Budget, std::vector<Command> &Out) {
  for (auto It = PendingReleases_.begin(); It != PendingReleases_.end();) {
    auto &[Job, Release] = *It;
    if (!isCurrent(Jobs, Job, Release.Assignment_)) {
      It = PendingReleases_.erase(It);
      continue;
    }
    const bool IsDue = Now >= Release.ProposedAt_ + Times_.RetryInterval_;
    if (IsDue && Out.size() < Budget) {
      Release.ProposedAt_ = Now;
      Out.push_back(makeRelease(Job, Release.Assignment_));
    }
    ++It;
  }
}

void JobAssigner::releaseExpired(const JobRegistry &Jobs, TimePoint Now,
                                 std::size_t Budget,
                                 std::vector<Command> &Out) {
  for (const auto &[DataCentre, Held] : Jobs.held()) {
    if (Now < *getExpiry(DataCentre))
      continue;
    for (const JobId &Job : Held) {
      // Releases that are not applied yet are limited to Budget, so that one
      // long outage does not fill the table.
      if (Out.size() >= Budget || PendingReleases_.size() >= Budget)
        return;
      if (PendingReleases_.contains(Job))
        continue;
      const std::uint64_t Assignment = Jobs.find(Job)->Assignment_;
      PendingReleases_[Job] = {Assignment, Now};
      Out.push_back(makeRelease(Job, Assignment));
    }
  }
}

void JobAssigner::prunePendingAssignments(const JobRegistry &Jobs,
                                          TimePoint Now) {
  std::erase_if(PendingAssignments_, [&](const auto &Entry) {
    return !Jobs.unassigned().contains(Entry.first) ||
           Now >= Entry.second + Times_.RetryInterval_;
  });
}

void JobAssigner::assignWaitingJobs(const JobRegistry &Jobs, TimePoint Now,
                                    std::size_t Budget,
                                    std::vector<Command> &Out) {
  for (const JobId &Job : Jobs.unassigned()) {
    if (Out.size() >= Budget || PendingAssignments_.size() >= Budget)
      return;
    if (PendingAssignments_.contains(Job))
      continue;
    const auto Chosen = chooseDataCentre(Jobs, *Jobs.find(Job), Now);
    if (!Chosen)
      return; // No data centre is reachable.
    PendingAssignments_[Job] = Now;
    ++DataCentres_[*Chosen].AssignedSince_;
    Out.push_back(AssignJob{Job, *Chosen});
  }
}

std::optional<DataCentreId>
JobAssigner::chooseDataCentre(const JobRegistry &Jobs, const FleetJob &Record,
                              TimePoint Now) const {
  if (isReachable(Record.Preferred_, Now))
    return Record.Preferred_;
  std::optional<DataCentreId> Best;
  double BestScore = 0;
  std::size_t BestHeld = 0;
  for (const auto &[DataCentre, Status] : DataCentres_) {
    if (!isReachable(DataCentre, Now))
      continue;
    const double Score = computeScore(Status);
    const auto Held = Jobs.held().find(DataCentre);
    const std::size_t Count =
        Held == Jobs.held().end() ? 0 : Held->second.size();
    const bool IsBetter =
        !Best || Score < BestScore || (Score == BestScore && Count < BestHeld);
    if (!IsBetter)
      continue;
    Best = DataCentre;
    BestScore = Score;
    BestHeld = Count;
  }
  return Best;
}

/// Returns the reserved share plus the waiting tasks per server; lower is
/// better.
double JobAssigner::computeScore(const DataCentreStatus &Status) const {
  const double Waiting = Status.Load_.WaitingTasks_ + Status.AssignedSince_;
  return Status.Load_.Reserved_ +
         Waiting / std::max<std::uint32_t>(1, Status.Load_.Servers_);
}

bool JobAssigner::isReachable(const DataCentreId &DataCentre,
                              TimePoint Now) const {
  const auto It = DataCentres_.find(DataCentre);
  if (It == DataCentres_.end())
    return false;
  const DataCentreStatus &Status = It->second;
  return Status.HasLoad_ && Status.Load_.Servers_ > 0 &&
         Now <= Status.AnsweredAt_ + Times_.ReachableTimeout_;
}

std::optional<TimePoint>
JobAssigner::getExpiry(const DataCentreId &DataCentre) const {
  if (!LeadingSince_)
    return std::nullopt;
  TimePoint Renewed = *LeadingSince_;
  const auto It = DataCentres_.find(DataCentre);
  if (It != DataCentres_.end())
    Renewed = std::max(Renewed, It->second.AnsweredAt_);
  return Renewed + Times_.Ttl_ + Times_.Margin_;
}
