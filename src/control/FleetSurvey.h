//===- FleetSurvey.h - Asking the fleet's other controls -------*- C++ -*-===//
//
// Collects the reports of all controls when somebody wants them, and passes an
// operator's call on to the leader of another data centre. Nothing is polled.
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

/// Answers of one survey.
struct SurveyResult {
  std::vector<ControlReport> Reports_; ///< Our own first.
  std::vector<std::string> Silent_;    ///< Controls that did not answer.
};

/// Thread-safe.
class FleetSurvey {
public:
  using Callback = std::function<void(SurveyResult)>;
  using SelfReport = std::function<ControlReport()>;

  /// Others are the names of all other controls.
  FleetSurvey(PeerCaller &Peers, std::vector<std::string> Others,
              SelfReport Self);

  ControlReport makeSelfReport() const { return Self_(); }

  /// Calls Done once, after at most the time that one control has to answer.
  void ask(Callback Done);

  /// Passes the call on, below the prefix /passed-on, to the leader of another
  /// data centre; answers Unavailable if that cannot be found or reached.
  void passOn(const DataCentreId &To, const wire::OperatorCall &Call,
              OperatorDone Done);

private:
  struct Round;
  void send(const std::string &Leader, const wire::OperatorCall &Call,
            OperatorDone Done);

  PeerCaller &Peers_;
  const std::vector<std::string> Others_;
  const SelfReport Self_;
};

/// The path as it was before passOn, and whether it was passed on.
struct PassedPath {
  std::string Path_;
  bool PassedOn_ = false;
};
PassedPath readPassedPath(const std::string &Path);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_FLEETSURVEY_H
