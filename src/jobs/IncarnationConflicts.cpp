#include "jobs/IncarnationConflicts.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Twice the longest pause between two reports of a live server, so the
/// incarnation at the address would have reported by then.
static constexpr Duration TakeoverDelay = 1s;
/// Claims expire after this time: a running server proves its claim or is
/// refused much sooner.
static constexpr Duration ClaimExpiry = 60s;

bool IncarnationConflicts::recordClaim(const std::string &Id,
                                       TimePoint OccupantHeard, TimePoint Now) {
  std::erase_if(Claims_, [Now](const auto &Entry) {
    return Now - Entry.second.Begin_ > ClaimExpiry;
  });
  const auto [It, IsNew] = Claims_.try_emplace(Id, Claim{Now});
  // The occupant has reported since the claim began, so it is alive.
  const bool IsVoid = OccupantHeard > It->second.Begin_;
  if (IsVoid)
    It->second = Claim{Now};
  return IsNew || IsVoid;
}

void IncarnationConflicts::recordFlush(const std::string &Id, TimePoint Begin) {
  const auto It = Claims_.find(Id);
  if (It != Claims_.end() && It->second.Begin_ == Begin)
    It->second.IsFlushed_ = true;
}

bool IncarnationConflicts::mayTakeOver(const std::string &Id,
                                       TimePoint Now) const {
  const auto It = Claims_.find(Id);
  return It != Claims_.end() && It->second.IsFlushed_ &&
         Now - It->second.Begin_ >= TakeoverDelay;
}
