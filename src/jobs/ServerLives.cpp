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

std::string ServerLives::begin(const std::string &Id,
                               const std::string &Address) {
  std::string Before;
  bool IsAfterCrash = false;
  if (LifeAtAddress *Known = find(Address)) {
    if (Known->Id_ == Id) {
      Known->HasCrashed_ = false;
      return "";
    }
    Before = Known->Id_;
    IsAfterCrash = Known->HasCrashed_;
    Latest_.erase(Latest_.begin() + (Known - Latest_.data()));
    end(Before);
  }
  if (Latest_.size() >= MostAddresses)
    Latest_.erase(Latest_.begin());
  Latest_.push_back({Address, Id, false, IsAfterCrash});
  return Before;
}

LifeAtAddress *ServerLives::find(const std::string &Address) {
  const auto Known = std::find_if(Latest_.begin(), Latest_.end(),
                                  [&Address](const LifeAtAddress &Each) {
                                    return Each.Address_ == Address;
                                  });
  return Known == Latest_.end() ? nullptr : &*Known;
}

void ServerLives::noteCrash(const std::string &Address) {
  if (LifeAtAddress *Known = find(Address))
    Known->HasCrashed_ = true;
}

void ServerLives::explainCrash(const std::string &Address,
                               const std::string &Id) {
  LifeAtAddress *Known = find(Address);
  if (!Known)
    return;
  (Known->Id_ == Id ? Known->HasCrashed_ : Known->IsAfterCrash_) = false;
}

bool ServerLives::isAfterCrash(const std::string &Address) const {
  const LifeAtAddress *Known = const_cast<ServerLives *>(this)->find(Address);
  return Known && Known->IsAfterCrash_;
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
