#include "tulipweir/jobs/ServerIncarnations.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Three times the servers of the largest deployment in docs/CAPACITY.md; some
/// 100 bytes each.
static constexpr std::size_t MostAddresses = 4096;
/// Late reports come within seconds; this is more than all servers of the
/// largest deployment restarted three times over.
static constexpr std::size_t MostOver = 4096;

std::string ServerIncarnations::begin(const std::string &Id,
                                      const std::string &Address) {
  std::string Before;
  bool IsAfterCrash = false;
  if (IncarnationAtAddress *Known = find(Address)) {
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

IncarnationAtAddress *ServerIncarnations::find(const std::string &Address) {
  const auto Known = std::find_if(Latest_.begin(), Latest_.end(),
                                  [&Address](const IncarnationAtAddress &Each) {
                                    return Each.Address_ == Address;
                                  });
  return Known == Latest_.end() ? nullptr : &*Known;
}

void ServerIncarnations::noteCrash(const std::string &Address) {
  if (IncarnationAtAddress *Known = find(Address))
    Known->HasCrashed_ = true;
}

void ServerIncarnations::explainCrash(const std::string &Address,
                                      const std::string &Id) {
  IncarnationAtAddress *Known = find(Address);
  if (!Known)
    return;
  (Known->Id_ == Id ? Known->HasCrashed_ : Known->IsAfterCrash_) = false;
}

bool ServerIncarnations::isAfterCrash(const std::string &Address) const {
  const IncarnationAtAddress *Known =
      const_cast<ServerIncarnations *>(this)->find(Address);
  return Known && Known->IsAfterCrash_;
}

void ServerIncarnations::end(const std::string &Id) {
  if (isOver(Id))
    return;
  if (Over_.size() >= MostOver)
    Over_.pop_front();
  Over_.push_back(Id);
}

bool ServerIncarnations::isOver(const std::string &Id) const {
  return std::find(Over_.begin(), Over_.end(), Id) != Over_.end();
}
