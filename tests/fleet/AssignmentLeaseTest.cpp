//===- AssignmentLeaseTest.cpp --------------------------------------------===//

#include "tulipweir/fleet/AssignmentLease.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::fleet;

using std::chrono::seconds;

TEST(AssignmentLeaseTest, ExpiresEarlyAndIgnoresEarlierAssignments) {
  AssignmentLease Lease(AssignmentTimes::makeFor(seconds(240)));
  const HeldAssignment First{JobId("a"), 1};
  const HeldAssignment Second{JobId("a"), 2};
  const TimePoint Start(seconds(50));
  EXPECT_TRUE(Lease.isExpiring(First, Start)) << "never renewed";
  Lease.recordRenewals({{Second}}, Start);
  Lease.recordRenewals({{First}}, Start + seconds(100));
  EXPECT_FALSE(Lease.covers(First, Start));
  EXPECT_FALSE(Lease.isExpiring(Second, Start + seconds(229)));
  EXPECT_TRUE(Lease.isExpiring(Second, Start + seconds(230)));
  EXPECT_TRUE(Lease.covers(Second, Start + seconds(239)));
  EXPECT_FALSE(Lease.covers(Second, Start + seconds(240)));
  EXPECT_EQ(Lease.listDue({Second}, Start + seconds(29), 5).size(), 0U);
  EXPECT_EQ(Lease.listDue({Second}, Start + seconds(30), 5).size(), 1U);
  Lease.retain({});
  EXPECT_FALSE(Lease.covers(Second, Start));
}
