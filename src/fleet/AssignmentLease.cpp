//===- AssignmentLease.cpp - Job leases held by a data centre ------------===//

#include "tulipweir/fleet/AssignmentLease.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::fleet;

void AssignmentLease::recordRenewals(const AssignmentReply &Reply,
                                     TimePoint SentAt) {
  const std::lock_guard Lock(Mutex_);
  for (const HeldAssignment &Held : Reply.Renewed_) {
    Renewal &Latest = Renewals_[Held.Job_];
    if (Held.Assignment_ < Latest.Assignment_)
      continue;
    const bool IsSame = Held.Assignment_ == Latest.Assignment_;
    Latest.SentAt_ = IsSame ? std::max(Latest.SentAt_, SentAt) : SentAt;
    Latest.Assignment_ = Held.Assignment_;
  }
}

void AssignmentLease::retain(const std::vector<HeldAssignment> &Current) {
  std::map<JobId, Renewal> Kept;
  const std::lock_guard Lock(Mutex_);
  for (const HeldAssignment &Held : Current)
    if (const Renewal *Latest = find(Held))
      Kept.emplace(Held.Job_, *Latest);
  Renewals_ = std::move(Kept);
}

const AssignmentLease::Renewal *
AssignmentLease::find(const HeldAssignment &Held) const {
  const auto It = Renewals_.find(Held.Job_);
  if (It == Renewals_.end() || It->second.Assignment_ != Held.Assignment_)
    return nullptr;
  return &It->second;
}

bool AssignmentLease::covers(const HeldAssignment &Held,
                             TimePoint Until) const {
  const std::lock_guard Lock(Mutex_);
  const Renewal *Latest = find(Held);
  return Latest && Until < Latest->SentAt_ + Times_.Ttl_;
}

bool AssignmentLease::isExpiring(const HeldAssignment &Held,
                                 TimePoint Now) const {
  return !covers(Held, Now + Times_.StopLeadTime_);
}

std::vector<HeldAssignment>
AssignmentLease::listDue(const std::vector<HeldAssignment> &Current,
                         TimePoint Now, std::size_t Limit) const {
  std::vector<std::pair<TimePoint, const HeldAssignment *>> Due;
  {
    const std::lock_guard Lock(Mutex_);
    for (const HeldAssignment &Held : Current) {
      const Renewal *Latest = find(Held);
      const TimePoint SentAt = Latest ? Latest->SentAt_ : TimePoint::min();
      if (!Latest || Now >= SentAt + Times_.RenewInterval_)
        Due.emplace_back(SentAt, &Held);
    }
  }
  const std::size_t Count = std::min(Limit, Due.size());
  std::partial_sort(Due.begin(), Due.begin() + static_cast<long>(Count),
                    Due.end());
  std::vector<HeldAssignment> Listed;
  for (std::size_t I = 0; I < Count; ++I)
    Listed.push_back(*Due[I].second);
  return Listed;
}
