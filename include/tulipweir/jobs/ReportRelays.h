//===- ReportRelays.h - What other members know of servers -----*- C++ -*-===//
//
// Members that do not lead take servers' reports and keep them for a moment
// before they pass them on. What the leader hears first need not have happened
// first: before it acts on a server's leaving or silence, it asks them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_REPORTRELAYS_H
#define TULIPWEIR_JOBS_REPORTRELAYS_H

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Callbacks come once each, on the leader's executor, and also when members do
/// not answer: those that are gone do not count, and nobody is waited for
/// longer than a lease.
class ReportRelays {
public:
  using Heard = std::set<std::string>;

  virtual ~ReportRelays() = default;
  /// Every other member passes on what it keeps of the server's reports. All of
  /// it has reached the leader by the time of Done.
  virtual void flush(const std::string &ServerId,
                     std::function<void()> Done) = 0;
  /// Tells which of the servers another member has heard within the last
  /// seconds. The members pass on what they keep of the others.
  virtual void findHeard(const std::vector<std::string> &ServerIds,
                         std::function<void(Heard)> Done) = 0;
};

/// Of a group of one member.
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
