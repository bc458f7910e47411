//===- ReportRelays.h - Queries to relays of reports ------------*- C++ -*-===//
//
// Members that do not lead buffer servers' reports for a moment before they
// pass them on, so reports can reach the leader out of order. Before the
// leader removes a server that left or fell silent, it asks the relays for the
// reports that they still buffer. A new leader asks them until when servers may
// rely on leases that an earlier leader granted.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_REPORTRELAYS_H
#define TULIPWEIR_JOBS_REPORTRELAYS_H

#include "tulipweir/core/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The latest times from which leases of earlier leaders can count.
struct LeaseBounds {
  /// The time for servers that HeardAt_ does not list or lists as earlier.
  TimePoint Others_{};
  std::map<std::string, TimePoint> HeardAt_ = {};
  bool operator==(const LeaseBounds &) const = default;

  TimePoint getFor(const std::string &ServerId) const {
    const auto It = HeardAt_.find(ServerId);
    return It == HeardAt_.end() ? Others_ : std::max(Others_, It->second);
  }
};

/// What is known of servers while members have not answered findHeard.
struct PartialAnswer {
  std::set<std::string> Heard_; ///< A member has named them as heard.
  /// No member has named them so far, but one that is reachable has not
  /// answered yet.
  std::set<std::string> Unknown_;
};

/// Sends requests to all relays. Each callback runs once, on the leader's
/// executor, also when members do not answer: unreachable members are skipped,
/// and no request takes longer than a lease.
class ReportRelays {
public:
  using Heard = std::set<std::string>;

  virtual ~ReportRelays() = default;
  /// Has every other member pass on its buffered reports of the server. They
  /// have all reached the leader when Done is called.
  virtual void flush(const std::string &ServerId,
                     std::function<void()> Done) = 0;
  /// Finds which of the servers another member has heard within the last
  /// seconds. The members pass on their buffered reports of the others.
  virtual void findHeard(const std::vector<std::string> &ServerIds,
                         std::function<void(Heard)> Done) = 0;
  /// Returns what members have said so far of servers for which the last
  /// findHeard is not done.
  virtual PartialAnswer
  findPartialAnswer(const std::vector<std::string> &ServerIds) const = 0;
  /// Asks the other members, as the new leader of Term, until when earlier
  /// leaders' leases can last. Found is called each time more is known, and
  /// never if nothing can be known.
  virtual void
  findLeaseBounds(std::uint64_t /*Term*/,
                  std::function<void(const LeaseBounds &)> /*Found*/) {}
};

/// For a group of one member.
class NoReportRelays final : public ReportRelays {
public:
  void flush(const std::string &, std::function<void()> Done) override {
    Done();
  }
  void findHeard(const std::vector<std::string> &,
                 std::function<void(Heard)> Done) override {
    Done({});
  }
  PartialAnswer
  findPartialAnswer(const std::vector<std::string> &) const override {
    return {};
  }
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_REPORTRELAYS_H
