//===- RecordHomes.cpp ----------------------------------------------------===//

#include "tulipweir/entry/RecordHomes.h"

#include "tulipweir/fleet/Bundle.h"

#include <cassert>
#include <iterator>
#include <string>

using namespace tulipweir;
using namespace tulipweir::entry;

static constexpr std::size_t HashDigits = 15;
static constexpr int Hexadecimal = 16;

RecordHomes::RecordHomes(
    std::map<DataCentreId, std::shared_ptr<ControlClient>> Clients)
    : Clients_(std::move(Clients)) {
  assert(!Clients_.empty() && "the entry's own data centre must be configured");
}

const DataCentreId &RecordHomes::findHome(const RequestKey &Key) const {
  const Digest Hash = fleet::computeDigest(Key.value());
  const std::uint64_t HashPrefix =
      std::stoull(Hash.value().substr(0, HashDigits), nullptr, Hexadecimal);
  return std::next(Clients_.begin(),
                   static_cast<std::ptrdiff_t>(HashPrefix % Clients_.size()))
      ->first;
}

ControlClient *RecordHomes::findClient(const DataCentreId &Home) const {
  const auto It = Clients_.find(Home);
  return It == Clients_.end() ? nullptr : It->second.get();
}
