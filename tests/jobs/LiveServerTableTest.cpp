#include "jobs/LiveServerTable.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;

static const TimePoint Start{std::chrono::hours(1)};
static constexpr Duration Lease = std::chrono::milliseconds(1500);

static ServerReport makeReport(std::uint64_t Sequence) {
  ServerReport Report;
  Report.Facts_.Id_ = "server-1";
  Report.Sequence_ = Sequence;
  return Report;
}

// The registration may take long to commit, for example after a power loss.
// Until an answer grants a lease, one counts from the first report.
TEST(LiveServerTableTest, NewServerHasALeaseBeforeItsFirstAnswer) {
  LiveServerTable LiveServers;
  ASSERT_TRUE(LiveServers.recordReport(makeReport(1), Start, Lease));
  EXPECT_TRUE(LiveServers.listExpired(Start + Lease / 2).empty());
  EXPECT_EQ(LiveServers.listExpired(Start + Lease),
            std::vector<std::string>{"server-1"});
}

// Only an answer extends the lease.
TEST(LiveServerTableTest, ReportAloneExtendsNoLease) {
  LiveServerTable LiveServers;
  ASSERT_TRUE(LiveServers.recordReport(makeReport(1), Start, Lease));
  ASSERT_TRUE(
      LiveServers.recordReport(makeReport(2), Start + Lease / 2, Lease));
  EXPECT_EQ(LiveServers.listExpired(Start + Lease).size(), 1U);
  LiveServers.extendLease("server-1", Start + 2 * Lease);
  EXPECT_TRUE(LiveServers.listExpired(Start + Lease).empty());
}

TEST(LiveServerTableTest, LateReportIsIgnored) {
  LiveServerTable LiveServers;
  ASSERT_TRUE(LiveServers.recordReport(makeReport(2), Start, Lease));
  EXPECT_FALSE(LiveServers.recordReport(makeReport(1), Start, Lease));
}

// What members tell of earlier leases does not shorten a lease that this leader
// may have granted.
TEST(LiveServerTableTest, OnlyAssumedLeasesAreLimited) {
  JobRegistry Registry;
  for (const char *Id : {"server-1", "server-2"}) {
    AddServer Registration;
    Registration.Facts_.Id_ = Id;
    Registration.Facts_.Address_ = std::string(Id) + ":1";
    Registry.apply(Command(Registration));
  }
  LiveServerTable LiveServers;
  LiveServers.reset(Registry, Start, Lease);
  ASSERT_TRUE(LiveServers.recordReport(makeReport(1), Start, Lease));
  for (const char *Id : {"server-1", "server-2"})
    LiveServers.limitLease(Id, Start - Lease, Start);
  EXPECT_EQ(LiveServers.listExpired(Start),
            std::vector<std::string>{"server-2"});
  EXPECT_FALSE(LiveServers.limitLease("server-2", Start, Start + Lease))
      << "a lease is never extended";
  EXPECT_EQ(LiveServers.find("server-2")->LastHeard_, Start - Lease);
}
