#include "tulipweir/jobs/ServerIncarnations.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The addresses without a server that are remembered, beside as many as have
/// one. An entry takes about 200 bytes.
static constexpr std::size_t MinVacant = 4096;
/// Late reports arrive within seconds, in which each server may restart a few
/// times.
static constexpr std::size_t MinEnded = 4096;
static constexpr std::size_t EndedPerServer = 3;

ServerIncarnations
ServerIncarnations::makeFrom(std::vector<IncarnationAtAddress> Latest,
                             const std::vector<std::string> &EndedIds) {
  ServerIncarnations Result;
  for (IncarnationAtAddress &Each : Latest) {
    const std::uint64_t Number = Result.NextNumber_++;
    Result.NumberByAddress_[Each.Address_] = Number;
    Result.Vacant_[Number] = Each.Address_;
    Result.Latest_[Number] = std::move(Each);
  }
  Result.EndedIds_ = {EndedIds.begin(), EndedIds.end()};
  Result.Ended_ = {EndedIds.begin(), EndedIds.end()};
  return Result;
}

std::string
ServerIncarnations::registerIncarnation(const std::string &Id,
                                        const std::string &Address) {
  std::string Predecessor;
  bool IsAfterCrash = false;
  if (IncarnationAtAddress *Incarnation = find(Address)) {
    if (Incarnation->Id_ == Id) {
      Incarnation->HasCrashed_ = false;
      occupy(Address);
      return "";
    }
    Predecessor = Incarnation->Id_;
    IsAfterCrash = Incarnation->HasCrashed_;
    remove(Address);
    endIncarnation(Predecessor);
  }
  const std::uint64_t Number = NextNumber_++;
  Latest_[Number] = {Address, Id, false, IsAfterCrash};
  NumberByAddress_[Address] = Number;
  return Predecessor;
}

IncarnationAtAddress *ServerIncarnations::find(const std::string &Address) {
  const auto It = NumberByAddress_.find(Address);
  return It == NumberByAddress_.end() ? nullptr : &Latest_.at(It->second);
}

void ServerIncarnations::remove(const std::string &Address) {
  const auto It = NumberByAddress_.find(Address);
  Latest_.erase(It->second);
  Vacant_.erase(It->second);
  NumberByAddress_.erase(It);
}

void ServerIncarnations::occupy(const std::string &Address) {
  const auto It = NumberByAddress_.find(Address);
  if (It != NumberByAddress_.end())
    Vacant_.erase(It->second);
}

void ServerIncarnations::vacate(const std::string &Address) {
  const auto It = NumberByAddress_.find(Address);
  if (It == NumberByAddress_.end())
    return;
  Vacant_[It->second] = Address;
  forgetVacant();
}

/// Forgets the addresses that were registered the longest ago, of those without
/// a server.
void ServerIncarnations::forgetVacant() {
  while (Vacant_.size() > MinVacant + Latest_.size() - Vacant_.size()) {
    const std::string Oldest = Vacant_.begin()->second;
    remove(Oldest);
  }
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
  if (!Ended_.insert(Id).second)
    return;
  EndedIds_.push_back(Id);
  const std::size_t Servers = Latest_.size() - Vacant_.size();
  while (EndedIds_.size() > MinEnded + EndedPerServer * Servers) {
    Ended_.erase(EndedIds_.front());
    EndedIds_.pop_front();
  }
}

bool ServerIncarnations::isOver(const std::string &Id) const {
  return Ended_.count(Id) != 0;
}

std::vector<IncarnationAtAddress> ServerIncarnations::listLatest() const {
  std::vector<IncarnationAtAddress> Listed;
  Listed.reserve(Latest_.size());
  for (const auto &[Number, Incarnation] : Latest_)
    Listed.push_back(Incarnation);
  return Listed;
}
