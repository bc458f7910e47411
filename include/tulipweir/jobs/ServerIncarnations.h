//===- ServerIncarnations.h - Incarnations of servers -----------*- C++ -*-===//
//
// A backend server that crashed registers as a new incarnation at its address,
// while a report of the old one may still be in transit. The replicated state
// includes which incarnations have ended, so that a new leader knows it too.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_SERVERINCARNATIONS_H
#define TULIPWEIR_JOBS_SERVERINCARNATIONS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
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

/// Tracks the incarnations at each address. Memory is bounded by the number of
/// registered servers: an address is forgotten only while no server is
/// registered there. Not thread-safe. Deterministic: no clock, no I/O.
class ServerIncarnations {
public:
  /// Restores the contents of a snapshot. All addresses count as vacant.
  static ServerIncarnations makeFrom(std::vector<IncarnationAtAddress> Latest,
                                     const std::vector<std::string> &EndedIds);

  // Commands.

  /// Registers the incarnation and ends an earlier one at its address. Returns
  /// the id of the earlier one; empty if there was none.
  std::string registerIncarnation(const std::string &Id,
                                  const std::string &Address);
  /// Ends an incarnation that has left for good. One that only fell silent may
  /// come back and is not ended.
  void endIncarnation(const std::string &Id);
  /// Records whether a server is registered at the address.
  void occupy(const std::string &Address);
  void vacate(const std::string &Address);

  /// Records that the incarnation at the address crashed.
  void recordCrash(const std::string &Address);
  /// Attributes the crash of the server Id at the address to a task that was
  /// given up.
  void attributeCrash(const std::string &Address, const std::string &Id);

  // Queries.

  /// Whether the previous incarnation at the address crashed without a known
  /// cause.
  bool isAfterCrash(const std::string &Address) const;
  /// Whether the incarnation has ended, so that any report of it is late.
  bool isOver(const std::string &Id) const;
  /// Returns the contents of a snapshot, the oldest first.
  std::vector<IncarnationAtAddress> listLatest() const;
  const std::deque<std::string> &endedIds() const { return EndedIds_; }

private:
  IncarnationAtAddress *find(const std::string &Address);
  void remove(const std::string &Address);
  void forgetVacant();

  std::uint64_t NextNumber_ = 1;
  /// By the order of registration.
  std::map<std::uint64_t, IncarnationAtAddress> Latest_;
  std::unordered_map<std::string, std::uint64_t> NumberByAddress_;
  /// The numbers of addresses where no server is registered.
  std::map<std::uint64_t, std::string> Vacant_;
  std::deque<std::string> EndedIds_; ///< The oldest first.
  std::unordered_set<std::string> Ended_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_SERVERINCARNATIONS_H
