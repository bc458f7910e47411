#include "jobs/Newcomers.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Twice the longest pause between two reports of a server that is heard: the
/// life at the address would have reported by then.
static constexpr Duration ProofTime = 1s;
/// Claims that were not followed up. A server that lives reports more often.
static constexpr Duration ForgottenAfter = 60s;

void Newcomers::note(const std::string &Id, TimePoint OccupantHeard,
                     TimePoint Now) {
  std::erase_if(FirstHeard_, [Now](const auto &Each) {
    return Now - Each.second > ForgottenAfter;
  });
  const auto [Place, IsNew] = FirstHeard_.try_emplace(Id, Now);
  // Whoever was heard since then lives.
  if (OccupantHeard > Place->second)
    Place->second = Now;
}

bool Newcomers::mayTakeOver(const std::string &Id, TimePoint Now) const {
  const auto Found = FirstHeard_.find(Id);
  return Found != FirstHeard_.end() && Now - Found->second >= ProofTime;
}
