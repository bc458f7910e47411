//===- RecordHomes.h - Home data centres of request keys -------*- C++ -*-===//
//
// Maps each key to one home data centre, the same at every entry. A ticket
// contains the name of its home; a caller's own key is hashed over the sorted
// names of all data centres. Only the log of the home decides whether a
// request may run.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_RECORDHOMES_H
#define TULIPWEIR_ENTRY_RECORDHOMES_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/entry/ControlClient.h"

#include <map>
#include <memory>

namespace tulipweir::entry {

/// Maps keys to home data centres. Immutable after construction. All entries
/// must have the same set of data centres, otherwise a key would have two homes
/// and its request could run twice.
class RecordHomes {
public:
  /// Takes one client per data centre; null for a known but unreachable one.
  explicit RecordHomes(
      std::map<DataCentreId, std::shared_ptr<ControlClient>> Clients);

  /// Returns the home of a key that the caller chose.
  const DataCentreId &findHome(const RequestKey &Key) const;
  /// Returns null if the data centre is unknown or unreachable.
  ControlClient *findClient(const DataCentreId &Home) const;

private:
  std::map<DataCentreId, std::shared_ptr<ControlClient>> Clients_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_RECORDHOMES_H
