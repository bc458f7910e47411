#include "jobs/IncarnationConflicts.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Twice the longest pause between two reports of a server that is heard: the
/// incarnation at the address would have reported by then.
static constexpr Duration ProofTime = 1s;
/// Claims without a report for so long are dropped: a running server reports
/// more often.
static constexpr Duration ForgottenAfter = 60s;

bool IncarnationConflicts::note(const std::string &Id, TimePoint OccupantHeard,
                                TimePoint Now) {
  std::erase_if(Claims_, [Now](const auto &Each) {
    return Now - Each.second.Begin_ > ForgottenAfter;
  });
  const auto [Place, IsNew] = Claims_.try_emplace(Id, Claim{Now});
  // The occupant was heard since then, so it is alive.
  const bool IsVoid = OccupantHeard > Place->second.Begin_;
  if (IsVoid)
    Place->second = Claim{Now};
  return IsNew || IsVoid;
}

void IncarnationConflicts::noteFlushed(const std::string &Id, TimePoint Begin) {
  const auto Found = Claims_.find(Id);
  if (Found != Claims_.end() && Found->second.Begin_ == Begin)
    Found->second.IsFlushed_ = true;
}

bool IncarnationConflicts::mayTakeOver(const std::string &Id,
                                       TimePoint Now) const {
  const auto Found = Claims_.find(Id);
  return Found != Claims_.end() && Found->second.IsFlushed_ &&
         Now - Found->second.Begin_ >= ProofTime;
}
