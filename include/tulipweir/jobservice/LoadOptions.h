//===- LoadOptions.h - Options of decisions under load ----------*- C++ -*-===//
//
// The flags and environment variables that turn on and tune what a leader does
// when there is more work than capacity. Everything is off by default.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBSERVICE_LOADOPTIONS_H
#define TULIPWEIR_JOBSERVICE_LOADOPTIONS_H

#include "tulipweir/jobs/LoadSettings.h"
#include "tulipweir/net/Options.h"

#include <string>

namespace tulipweir::jobservice {

/// The values of the options, as they are given.
struct LoadOptions {
  std::string Admission_ = "off";
  std::int64_t LatenessLimit_ = jobs::AdmissionSettings().LatenessLimit_;
  Duration MinRetryAfter_ = jobs::AdmissionSettings().MinRetryAfter_;
  Duration MaxRetryAfter_ = jobs::AdmissionSettings().MaxRetryAfter_;
  std::string LearnedRunTimes_ = "off";
  std::string Yields_ = "off";
  std::string YieldsWithoutBudget_ = "off";
  Duration MinYieldInterval_ = jobs::ShareSettings().MinYieldInterval_;
  bool operator==(const LoadOptions &) const = default;

  jobs::AdmissionSettings makeAdmissionSettings() const;
  jobs::RunTimeSettings makeRunTimeSettings() const;
  jobs::ShareSettings makeShareSettings() const;
};

/// Adds the options, with their ranges and the rules between them. Target must
/// outlive Flags.
void addLoadOptions(net::Options &Flags, LoadOptions &Target);

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_JOBSERVICE_LOADOPTIONS_H
