//===- RecordHomes.h - Where the record of a key lives ---------*- C++ -*-===//
//
// Each key has one home data centre, the same for every entry: a ticket names
// it, and a caller's own key is hashed over the sorted names of all data
// centres. Only the home's log decides whether the request may run.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_RECORDHOMES_H
#define TULIPWEIR_ENTRY_RECORDHOMES_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/entry/ControlClient.h"

#include <map>
#include <memory>

namespace tulipweir::entry {

/// Immutable after construction. Every entry must be given the same names, or
/// one key would have two homes.
class RecordHomes {
public:
  /// One client per data centre; null for one that is known and out of reach.
  explicit RecordHomes(
      std::map<DataCentreId, std::shared_ptr<ControlClient>> Clients);

  /// The home of a key that a caller chose itself.
  const DataCentreId &findHome(const RequestKey &Key) const;
  /// Null when the data centre is not known here.
  ControlClient *findClient(const DataCentreId &Home) const;

private:
  std::map<DataCentreId, std::shared_ptr<ControlClient>> Clients_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_RECORDHOMES_H
