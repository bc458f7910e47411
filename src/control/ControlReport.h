//===- ControlReport.h - What a control says of itself ---------*- C++ -*-===//
//
// Controls ask each other for this when an operator wants to know about the
// whole fleet, and to find the leader of another data centre.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLREPORT_H
#define TULIPWEIR_SRC_CONTROL_CONTROLREPORT_H

#include "control/JsonFields.h"
#include "control/RollOutTracker.h"
#include "tulipweir/core/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace tulipweir::control {

struct ControlReport {
  std::string Name_;
  DataCentreId DataCentre_;
  std::string Region_;
  bool Leads_ = false; ///< Its data centre's group.
  BundleVersion Held_;
  Digest Digest_;
  std::vector<EntryVersion> Entries_; ///< Filled by a leader only.
  RollOut RollOut_;                   ///< Filled by a leader only.
  bool operator==(const ControlReport &) const = default;
};

Json makeReportJson(const ControlReport &Value);
/// nullopt if the text is no such report.
std::optional<ControlReport> parseReport(const std::string &Text);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLREPORT_H
