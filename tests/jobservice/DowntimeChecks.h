//===- DowntimeChecks.h - Checks of an emulated fleet's results -*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_DOWNTIMECHECKS_H
#define TULIPWEIR_TESTS_JOBSERVICE_DOWNTIMECHECKS_H

#include "jobservice/ChangingLeaders.h"

#include <gmock/gmock.h>

namespace tulipweir::jobservice::test {

/// Checks that every long-running task ran again within the bound, and that no
/// task ran in two places.
inline void expectTasksInTime(const ChangingLeaders &Fleet, Duration Bound,
                              std::uint64_t Seed) {
  EXPECT_LE(Fleet.MaxDowntime_, Bound)
      << "seed " << Seed << ": " << Fleet.describe();
  EXPECT_LE(Fleet.MaxDowntimeSincePlacement_, Bound)
      << "seed " << Seed << ": " << Fleet.describe();
  EXPECT_THAT(Fleet.Violations_, testing::IsEmpty()) << "seed " << Seed;
  EXPECT_GT(Fleet.Started_, 30U) << "seed " << Seed;
}

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_DOWNTIMECHECKS_H
