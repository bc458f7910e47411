//===- ServerIncarnations.h - Incarnations of servers ----------*- C++ -*-===//
//
// A backend server that crashed registers as a new incarnation at its address,
// while a report of the old one may still be on its way. Which ones are over is
// part of the replicated state, so that a new leader knows it too.
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
  bool HasCrashed_ = false;   ///< No task is known to be the cause.
  bool IsAfterCrash_ = false; ///< The previous incarnation had crashed so.
  bool operator==(const IncarnationAtAddress &) const = default;
};

/// Not thread-safe. Deterministic: no clock, no I/O.
class ServerIncarnations {
public:
  /// The incarnation has registered; an earlier one at its address is over.
  /// Returns that one; empty if there was none.
  std::string registerIncarnation(const std::string &Id,
                                  const std::string &Address);
  /// The incarnation has left for good. One that only fell silent may come back
  /// and is not ended.
  void endIncarnation(const std::string &Id);

  /// The incarnation at the address went without notice.
  void recordCrash(const std::string &Address);
  /// A task that was given up had crashed the server of that id there.
  void attributeCrash(const std::string &Address, const std::string &Id);

  /// Whether the incarnation before the one at the address crashed,
  /// unexplained.
  bool isAfterCrash(const std::string &Address) const;
  /// Whether the incarnation is over, so that a report of it can only be late.
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
