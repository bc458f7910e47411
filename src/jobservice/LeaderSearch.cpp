#include "jobservice/LeaderSearch.h"

#include <algorithm>
#include <utility>
#include <vector>
#include <xxhash.h>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// A round finds a member that answers although a data centre is lost.
static constexpr std::size_t MinMembers = 5;

std::set<std::string>
LeaderSearch::chooseNext(const std::set<std::string> &Members,
                         const std::set<std::string> &PossibleLeaders) {
  const std::size_t Part = (Members.size() + Rounds_ - 1) / Rounds_;
  const std::size_t Count = std::max(Part, MinMembers);
  if (Count >= Members.size()) {
    std::set<std::string> All = Members;
    All.insert(PossibleLeaders.begin(), PossibleLeaders.end());
    return All;
  }
  std::vector<std::string> Order(Members.begin(), Members.end());
  const auto GetKey = [this](const std::string &Name) {
    return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed_);
  };
  std::sort(Order.begin(), Order.end(),
            [&](const std::string &A, const std::string &B) {
              return std::pair(GetKey(A), A) < std::pair(GetKey(B), B);
            });
  std::set<std::string> Chosen = PossibleLeaders;
  for (std::size_t I = 0; I < Count; ++I)
    Chosen.insert(Order[(Next_ + I) % Order.size()]);
  Next_ = (Next_ + Count) % Order.size();
  return Chosen;
}
