//===- EntryState.h - Identity and shared flags of an entry ----*- C++ -*-===//
//
// The identity of an entry process and the flags that its components share.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ENTRYSTATE_H
#define TULIPWEIR_ENTRY_ENTRYSTATE_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace tulipweir::entry {

/// Identifies an entry process. Constant for the lifetime of the process.
struct EntryIdentity {
  EntryId Entry_;
  DataCentreId DataCentre_;
  std::string Address_;           ///< The "ip:port" of its HTTP server.
  std::uint64_t Incarnation_ = 0; ///< A random number chosen at each start.
  bool operator==(const EntryIdentity &) const = default;
};

/// State shared by the components of an entry. Thread-safe.
struct EntryFlags {
  std::atomic<bool> Stopping_{false};
  /// The expiry time of the grants of the last reply.
  std::atomic<TimePoint> GrantsExpireAt_{TimePoint::min()};
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ENTRYSTATE_H
