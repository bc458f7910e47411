#include "tulipweir/jobs/ServerIncarnations.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Three times the servers of the largest supported deployment
/// (docs/CAPACITY.md). An entry takes about 100 bytes.
static constexpr std::size_t MaxAddresses = 4096;
/// Late reports arrive within seconds. This is more than three restarts of all
/// servers of the largest supported deployment.
static constexpr std::size_t MaxEndedIncarnations = 4096;

std::string
ServerIncarnations::registerIncarnation(const std::string &Id,
                                        const std::string &Address) {
  std::string Predecessor;
  bool IsAfterCrash = false;
  if (IncarnationAtAddress *Incarnation = find(Address)) {
    if (Incarnation->Id_ == Id) {
      Incarnation->HasCrashed_ = false;
      return "";
    }
    Predecessor = Incarnation->Id_;
    IsAfterCrash = Incarnation->HasCrashed_;
    Latest_.erase(Latest_.begin() + (Incarnation - Latest_.data()));
    endIncarnation(Predecessor);
  }
  if (Latest_.size() >= MaxAddresses)
    Latest_.erase(Latest_.begin());
  Latest_.push_back({Address, Id, false, IsAfterCrash});
  return Predecessor;
}

IncarnationAtAddress *ServerIncarnations::find(const std::string &Address) {
  const auto It =
      std::find_if(Latest_.begin(), Latest_.end(),
                   [&Address](const IncarnationAtAddress &Incarnation) {
                     return Incarnation.Address_ == Address;
                   });
  return It == Latest_.end() ? nullptr : &*It;
}

void ServerIncarnations::recordCrash(const std::string &Address) {
  if (IncarnationAtAddress *Incarnation = find(Address))
    Incarnation->HasCrashed_ = true;
}

void ServerIncarnations::attributeCrash(const std::string &Address,
                                        const std::string &Id) {
  IncarnationAtAddress *Incarnation = find(Address);
  if (!Incarnation)
    return;
  (Incarnation->Id_ == Id ? Incarnation->HasCrashed_
                          : Incarnation->IsAfterCrash_) = false;
}

bool ServerIncarnations::isAfterCrash(const std::string &Address) const {
  const IncarnationAtAddress *Incarnation =
      const_cast<ServerIncarnations *>(this)->find(Address);
  return Incarnation && Incarnation->IsAfterCrash_;
}

void ServerIncarnations::endIncarnation(const std::string &Id) {
  if (isOver(Id))
    return;
  if (Over_.size() >= MaxEndedIncarnations)
    Over_.pop_front();
  Over_.push_back(Id);
}

bool ServerIncarnations::isOver(const std::string &Id) const {
  return std::find(Over_.begin(), Over_.end(), Id) != Over_.end();
}
