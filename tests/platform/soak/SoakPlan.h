//===- SoakPlan.h - Random faults, the same for the same seed -------------===//
//
// Which faults strike which process of a PlatformCluster, and when. At most one
// disk is lost in a run: that is what the group is set up to bear.
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
  Kill,         ///< SIGKILL, and started again.
  Freeze,       ///< SIGSTOP, then SIGCONT.
  Stop,         ///< SIGTERM, and started again once it has ended.
  LoseDisk,     ///< Killed, and started again with an empty folder.
  KillControls, ///< All of them at once.
  Cut,          ///< Its links pass nothing on, either way.
  CutOut,       ///< Only those that it opened.
  CutIn,        ///< Only those that others opened to it.
  Silence,      ///< Its open links go silent for good; new ones work.
  Reset,        ///< Its open links are reset.
  CrashWorker,  ///< A worker ends and comes back as another life.
  CutWorker,    ///< A worker is not heard, and hears nothing.
  CutAndCrash,  ///< Both; a report from before arrives after its next life.
};

struct SoakFault {
  FaultKind Kind_ = FaultKind::Kill;
  system_test::Milliseconds At_{};
  system_test::Milliseconds Length_{};
  std::string Process_;    ///< Empty for faults of workers.
  std::size_t Worker_ = 0; ///< Its number.
};

/// In order of time, all over before Length is.
std::vector<SoakFault> planFaults(std::uint64_t Seed,
                                  system_test::Milliseconds Length,
                                  std::size_t Workers);

std::string describe(const SoakFault &Fault);

} // namespace tulipweir::platform_test

#endif // TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKPLAN_H
