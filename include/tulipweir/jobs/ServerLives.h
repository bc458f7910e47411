//===- ServerLives.h - Which lives of servers are over ---------*- C++ -*-===//
//
// A backend server that crashed comes back as a new life at the same address,
// while a report of the old life may still be on its way. Part of the
// replicated state, so that a new leader knows it too.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_SERVERLIVES_H
#define TULIPWEIR_JOBS_SERVERLIVES_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The life that was registered last at an address.
struct LifeAtAddress {
  std::string Address_;
  std::string Id_;
  bool HasCrashed_ = false;   ///< It, and no task is known to be the cause.
  bool IsAfterCrash_ = false; ///< The same of the one before.
  bool operator==(const LifeAtAddress &) const = default;
};

/// Not thread-safe. Pure: the same calls give the same state everywhere.
class ServerLives {
public:
  /// The life has registered; an earlier one at its address is over. Returns
  /// that one; empty if there was none.
  std::string begin(const std::string &Id, const std::string &Address);
  /// The life has left for good. One that only fell silent may come back and is
  /// not ended.
  void end(const std::string &Id);

  /// The life at the address went without notice.
  void noteCrash(const std::string &Address);
  /// A task that was given up had crashed the server of that id there.
  void explainCrash(const std::string &Address, const std::string &Id);

  /// Whether the life before the one at the address crashed, unexplained.
  bool isAfterCrash(const std::string &Address) const;
  /// Whether the life is over, so that a report of it can only be late.
  bool isOver(const std::string &Id) const;

  bool operator==(const ServerLives &) const = default;

  LifeAtAddress *find(const std::string &Address);

  // What a snapshot holds, oldest first.
  std::vector<LifeAtAddress> Latest_;
  std::deque<std::string> Over_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_SERVERLIVES_H
