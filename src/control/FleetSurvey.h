//===- FleetSurvey.h - Queries to all control processes --------*- C++ -*-===//
//
// Collects the reports of all control processes on demand and forwards
// operators' calls to the leader of another data centre. Nothing is polled.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_FLEETSURVEY_H
#define TULIPWEIR_SRC_CONTROL_FLEETSURVEY_H

#include "control/ControlReport.h"
#include "control/PeerCaller.h"
#include "control/RouteTable.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tulipweir::control {

/// The result of one survey.
struct SurveyResult {
  std::vector<ControlReport>
      Reports_; ///< Starts with this process's own report.
  std::vector<std::string>
      Unanswered_; ///< Control processes that did not answer.
};

/// Thread-safe.
class FleetSurvey {
public:
  using Callback = std::function<void(SurveyResult)>;
  using SelfReport = std::function<ControlReport()>;

  /// PeerNames are the names of all other control processes.
  FleetSurvey(PeerCaller &Peers, std::vector<std::string> PeerNames,
              SelfReport Self);

  ControlReport makeSelfReport() const { return Self_(); }

  /// Calls Done once, at the latest after the timeout of a single query.
  void collectReports(Callback Done);

  /// Forwards the call, with the path prefix /passed-on, to the leader of
  /// another data centre. Replies Unavailable if that leader is unknown or
  /// unreachable.
  void forward(const DataCentreId &To, const wire::OperatorCall &Call,
               OperatorDone Done);

private:
  struct PendingSurvey;
  void send(const std::string &Leader, const wire::OperatorCall &Call,
            OperatorDone Done);

  PeerCaller &Peers_;
  const std::vector<std::string> PeerNames_;
  const SelfReport Self_;
};

/// The path without the prefix that forward() adds, and whether it had that
/// prefix.
struct ForwardedPath {
  std::string Path_;
  bool IsForwarded_ = false;
};
ForwardedPath parseForwardedPath(const std::string &Path);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_FLEETSURVEY_H
