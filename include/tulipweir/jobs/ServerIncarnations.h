//===- ServerIncarnations.h - Incarnations of servers -----------*- C++ -*-===//
//
// A backend server that crashed registers as a new incarnation at its address,
// while a report of the old one may still be in transit. The replicated state
// includes which incarnations have ended, so that a new leader knows it too.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_SERVERINCARNATIONS_H
#define TULIPWEIR_JOBS_SERVERINCARNATIONS_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The incarnation that was registered last at an address.
struct IncarnationAtAddress {
  std::string Address_;
  std::string Id_;
  /// Whether it crashed and no task is known to be the cause.
  bool HasCrashed_ = false;
  bool IsAfterCrash_ = false; ///< Whether the previous incarnation crashed
                              ///< without a known cause.
  bool operator==(const IncarnationAtAddress &) const = default;
};

/// Tracks the incarnations at each address. Not thread-safe. Deterministic: no
/// clock, no I/O.
class ServerIncarnations {
public:
  /// Registers the incarnation and ends an earlier one at its address. Returns
  /// the id of the earlier one; empty if there was none.
  std::string registerIncarnation(const std::string &Id,
                                  const std::string &Address);
  /// Ends an incarnation that has left for good. One that only fell silent may
  /// come back and is not ended.
  void endIncarnation(const std::string &Id);

  /// Records that the incarnation at the address crashed.
  void recordCrash(const std::string &Address);
  /// Attributes the crash of the server Id at the address to a task that was
  /// given up.
  void attributeCrash(const std::string &Address, const std::string &Id);

  /// Whether the previous incarnation at the address crashed without a known
  /// cause.
  bool isAfterCrash(const std::string &Address) const;
  /// Whether the incarnation has ended, so that any report of it is late.
  bool isOver(const std::string &Id) const;

  bool operator==(const ServerIncarnations &) const = default;

  // The contents of a snapshot, oldest first.
  std::vector<IncarnationAtAddress> Latest_;
  std::deque<std::string> Over_;

private:
  IncarnationAtAddress *find(const std::string &Address);
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_SERVERINCARNATIONS_H
