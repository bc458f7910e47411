//===- EntryState.h - What an entry is and holds ---------------*- C++ -*-===//
//
// The identity of an entry process and the flags that its parts share.
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

/// Never changes while the process runs.
struct EntryIdentity {
  EntryId Entry_;
  DataCentreId DataCentre_;
  std::string Address_;           ///< "ip:port" of its HTTP side.
  std::uint64_t Incarnation_ = 0; ///< Random per start.
  bool operator==(const EntryIdentity &) const = default;
};

/// Thread-safe.
struct EntryFlags {
  std::atomic<bool> Stopping_{false};
  /// Until when the last reply's grants hold.
  std::atomic<TimePoint> GrantsExpireAt_{TimePoint::min()};
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ENTRYSTATE_H
