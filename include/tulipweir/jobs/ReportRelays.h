//===- ReportRelays.h - Queries to relays of reports ------------*- C++ -*-===//
//
// Members that do not lead buffer servers' reports for a moment before they
// pass them on, so reports can reach the leader out of order. Before the
// leader removes a server that left or fell silent, it asks the relays for the
// reports that they still buffer.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_REPORTRELAYS_H
#define TULIPWEIR_JOBS_REPORTRELAYS_H

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

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
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_REPORTRELAYS_H
