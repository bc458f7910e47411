//===- JobJson.h - Batch jobs as operators send and see them ---*- C++ -*-===//
//
// Conversion between the JSON of docs/API.md and the jobs of the logs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBJSON_H
#define TULIPWEIR_SRC_CONTROL_JOBJSON_H

#include "control/JsonFields.h"
#include "tulipweir/datacentre/DataCentreState.h"
#include "tulipweir/decide/Decision.h"

#include <string>

namespace tulipweir::control {

/// A job as an operator submits it.
struct JobSubmission {
  datacentre::JobSpec Spec_;
  DataCentreId Preferred_; ///< Empty: the fleet chooses.
  bool operator==(const JobSubmission &) const = default;
};

/// Fails with Malformed or InvalidArgument, naming every problem.
Outcome<JobSubmission> parseJobSubmission(const std::string &Body);

Json makeSpecJson(const datacentre::JobSpec &Spec);
/// Counts by state, without the single tasks.
Json makeProgressJson(const datacentre::JobRecord &Job);
/// At most Limit tasks from index First on.
Json makeTasksJson(const datacentre::JobRecord &Job, std::uint32_t First,
                   std::uint32_t Limit);
Json makeExplanationJson(const decide::Explanation &Value);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBJSON_H
