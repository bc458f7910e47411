//===- TailLearner.h - From reports to loads and pairs ---------*- C++ -*-===//
//
// Reads what a report says of serving tasks and of what fills beside them, and
// teaches that to ServingLoads and TailEffects. Whoever hears a report may
// learn from it, whether it leads or not. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_TAILLEARNER_H
#define TULIPWEIR_SRC_JOBS_TAILLEARNER_H

#include "jobs/ServingLoads.h"
#include "jobs/InterferenceModel.h"
#include "tulipweir/jobs/JobBook.h"
#include "tulipweir/jobs/ServerReport.h"

namespace tulipweir::jobs {

/// What a report says of a server where something may serve.
struct ServerTails {
  bool HasServing_ = false;
  bool HasFilling_ = false;
  std::uint64_t WorstPercent_ = 0; ///< The longest tail, of its target.
  ServingUse Serving_;
  FillingUse Asked_; ///< By what is declared, by image.
  /// The share of the server's processors that is left for what fills.
  double LeftShare_ = 0;
};

/// Not thread-safe; holds references to its parts.
class TailLearner {
public:
  TailLearner(TailEffects &Effects, ServingLoads &Loads)
      : Effects_(Effects), Loads_(Loads) {}

  ServerTails learn(const JobBook &Book, const ServerReport &Report,
                    TimePoint Now);

private:
  struct Excess;

  void noteTail(const RunningTask &Running, const StepSpec &Step,
                double Explained, Excess &Of, TimePoint Now);
  void addLoad(const RunningTask &Running, const StepSpec &Step,
               ServingUse &To) const;

  TailEffects &Effects_;
  ServingLoads &Loads_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_TAILLEARNER_H
