//===- ControlReport.h - Status report of a control process ----*- C++ -*-===//
//
// Control processes request this report from each other to answer operators'
// calls about the whole fleet and to find the leader of another data centre.
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
  bool Leads_ = false; ///< Whether it leads its data centre's group.
  BundleVersion Held_;
  Digest Digest_;
  std::vector<EntryVersion> Entries_; ///< Set by a leader only.
  RollOut RollOut_;                   ///< Set by a leader only.
  bool operator==(const ControlReport &) const = default;
};

Json makeReportJson(const ControlReport &Status);
/// Returns nullopt if the text is not a valid report.
std::optional<ControlReport> parseReport(const std::string &Text);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLREPORT_H
