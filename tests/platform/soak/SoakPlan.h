//===- SoakPlan.h - Reproducible random faults ----------------------------===//
//
// Plans which faults affect which process of a PlatformCluster, and when. At
// most one disk is lost in a run, as the group tolerates only one loss.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKPLAN_H
#define TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKPLAN_H

#include "system/support/Child.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tulipweir::platform_test {

enum class FaultKind : std::uint8_t {
  Kill,         ///< SIGKILL and restart.
  Freeze,       ///< SIGSTOP, then SIGCONT.
  Stop,         ///< SIGTERM and restart after the exit.
  LoseDisk,     ///< SIGKILL and restart with an empty data folder.
  KillControls, ///< SIGKILL and restart of all controls at once.
  Cut,          ///< Drops traffic on all links of a process.
  CutOut,       ///< Only on links that the process opened.
  CutIn,        ///< Only on links that others opened to it.
  Silence,      ///< Open links stay silent; new ones work.
  Reset,        ///< Open links are reset.
  CrashWorker,  ///< A worker crashes and returns as a new incarnation.
  CutWorker,    ///< A worker is partitioned from the controls.
  CutAndCrash,  ///< Both; a delayed heartbeat arrives after a newer one.
};

struct SoakFault {
  FaultKind Kind_ = FaultKind::Kill;
  system_test::Milliseconds At_{};
  system_test::Milliseconds Length_{};
  std::string Process_;    ///< Empty for worker faults.
  std::size_t Worker_ = 0; ///< Number of the worker, for worker faults.
};

/// Returns faults in order of time, all of which end before Length.
std::vector<SoakFault> planFaults(std::uint64_t Seed,
                                  system_test::Milliseconds Length,
                                  std::size_t Workers);

std::string describe(const SoakFault &Fault);

} // namespace tulipweir::platform_test

#endif // TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKPLAN_H
