//===- LeaseMatrixTest.cpp ------------------------------------------------===//

#include "datacentre/LeaseSimulation.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static LeaseFaults makeFaults(unsigned Bits) {
  return {(Bits & 1) != 0, (Bits & 2) != 0,  (Bits & 4) != 0,
          (Bits & 8) != 0, (Bits & 16) != 0, (Bits & 32) != 0};
}

/// Every combination of the six faults.
class LeaseFaultMatrix : public testing::TestWithParam<unsigned> {};

TEST_P(LeaseFaultMatrix, NoTaskRunsTwiceAndNoServerIsOvercommitted) {
  int Starts = 0;
  for (unsigned Seed = 0; Seed < 12; ++Seed) {
    LeaseSimulation Simulation(makeFaults(GetParam()), GetParam() * 100 + Seed);
    ASSERT_EQ(Simulation.run(std::chrono::seconds(8)), "") << "seed " << Seed;
    Starts += Simulation.Starts_;
    ASSERT_EQ(Simulation.Changes_ > 3, makeFaults(GetParam()).LeaderChanges_);
  }
  EXPECT_GT(Starts, 100);
  RecordProperty("starts", Starts);
}

INSTANTIATE_TEST_SUITE_P(Faults, LeaseFaultMatrix, testing::Range(0u, 64u));
