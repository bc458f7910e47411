//===- JobJson.h - JSON form of batch jobs ---------------------*- C++ -*-===//
//
// Converts between the jobs of the logs and the JSON that docs/API.md
// describes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBJSON_H
#define TULIPWEIR_SRC_CONTROL_JOBJSON_H

#include "control/JsonFields.h"
#include "tulipweir/datacentre/DataCentreState.h"
#include "tulipweir/decide/Decision.h"

#include <string>

namespace tulipweir::control {

/// A job as submitted by an operator.
struct JobSubmission {
  datacentre::JobSpec Spec_;
  DataCentreId Preferred_; ///< Empty if the fleet is to choose.
  bool operator==(const JobSubmission &) const = default;
};

/// Returns Malformed or InvalidArgument with every problem if the body is
/// invalid.
Outcome<JobSubmission> parseJobSubmission(const std::string &Body);

Json makeSpecJson(const datacentre::JobSpec &Spec);
/// Returns the number of tasks by state, without the individual tasks.
Json makeProgressJson(const datacentre::JobRecord &Job);
/// Returns at most Limit tasks, starting at index First.
Json makeTasksJson(const datacentre::JobRecord &Job, std::uint32_t First,
                   std::uint32_t Limit);
Json makeExplanationJson(const decide::Explanation &Value);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBJSON_H
