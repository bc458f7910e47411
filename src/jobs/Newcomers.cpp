#include "jobs/Newcomers.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Twice the longest pause between two reports of a server that is heard: the
/// life at the address would have reported by then.
static constexpr Duration ProofTime = 1s;
/// Claims that were not followed up. A server that lives reports more often.
static constexpr Duration ForgottenAfter = 60s;

bool Newcomers::note(const std::string &Id, TimePoint OccupantHeard,
                     TimePoint Now) {
  std::erase_if(Claims_, [Now](const auto &Each) {
    return Now - Each.second.Begin_ > ForgottenAfter;
  });
  const auto [Place, IsNew] = Claims_.try_emplace(Id, Claim{Now});
  // Whoever was heard since then lives.
  const bool IsVoid = OccupantHeard > Place->second.Begin_;
  if (IsVoid)
    Place->second = Claim{Now};
  return IsNew || IsVoid;
}

void Newcomers::noteFlushed(const std::string &Id, TimePoint Begin) {
  const auto Found = Claims_.find(Id);
  if (Found != Claims_.end() && Found->second.Begin_ == Begin)
    Found->second.IsFlushed_ = true;
}

bool Newcomers::mayTakeOver(const std::string &Id, TimePoint Now) const {
  const auto Found = Claims_.find(Id);
  return Found != Claims_.end() && Found->second.IsFlushed_ &&
         Now - Found->second.Begin_ >= ProofTime;
}
