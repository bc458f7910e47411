//===- TailLearner.h - Learns load and interference ------------*- C++ -*-===//
//
// Reads serving and filling tasks from a report and adds samples to
// ServingLoads and InterferenceModel. Every node that receives a report may
// learn from it, whether it leads or not. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_TAILLEARNER_H
#define TULIPWEIR_SRC_JOBS_TAILLEARNER_H

#include "jobs/InterferenceModel.h"
#include "jobs/ServingLoads.h"
#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/jobs/ServerReport.h"

namespace tulipweir::jobs {

/// What a report contains about a server that may have serving tasks.
struct ServerTails {
  bool HasServing_ = false;
  bool HasFilling_ = false;
  std::uint64_t WorstPercent_ = 0; ///< The longest tail, of its target.
  ServingUse Serving_;
  /// By image, the declared share of the server's processors.
  FillingUse RequestedShares_;
  /// The share of the server's processors that is available to filling tasks.
  double AvailableShare_ = 0;
};

/// Updates the models with reports. Not thread-safe; holds references to its
/// parts.
class TailLearner {
public:
  TailLearner(InterferenceModel &Interference, ServingLoads &Loads)
      : Interference_(Interference), Loads_(Loads) {}

  ServerTails learn(const JobRegistry &Registry, const ServerReport &Report,
                    TimePoint Now);

private:
  struct Excess;

  /// A serving task in a report.
  struct ServingTask {
    StepKey Key_;
    const StepSpec &Step_;
    const RunningTask &Running_;
  };

  void addTailSample(const ServingTask &Serving, double ExplainedLog,
                     Excess &Unexplained, TimePoint Now);
  void addLoad(const ServingTask &Serving, ServingUse &Use) const;

  InterferenceModel &Interference_;
  ServingLoads &Loads_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_TAILLEARNER_H
