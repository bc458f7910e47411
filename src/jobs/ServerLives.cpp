#include "tulipweir/jobs/ServerLives.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Three times the servers of the largest deployment in docs/CAPACITY.md; some
/// 100 bytes each.
static constexpr std::size_t MostAddresses = 4096;
/// Late reports come within seconds; this is more than all servers of the
/// largest deployment restarted three times over.
static constexpr std::size_t MostOver = 4096;

void ServerLives::begin(const std::string &Id, const std::string &Address) {
  const auto Known = std::find_if(Latest_.begin(), Latest_.end(),
                                  [&Address](const LifeAtAddress &Each) {
                                    return Each.Address_ == Address;
                                  });
  if (Known != Latest_.end()) {
    if (Known->Id_ == Id)
      return;
    const std::string Before = Known->Id_;
    Latest_.erase(Known);
    end(Before);
  }
  if (Latest_.size() >= MostAddresses)
    Latest_.erase(Latest_.begin());
  Latest_.push_back({Address, Id});
}

void ServerLives::end(const std::string &Id) {
  if (isOver(Id))
    return;
  if (Over_.size() >= MostOver)
    Over_.pop_front();
  Over_.push_back(Id);
}

bool ServerLives::isOver(const std::string &Id) const {
  return std::find(Over_.begin(), Over_.end(), Id) != Over_.end();
}
