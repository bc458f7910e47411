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

// Its registration may take long to be stored, as after a power loss; until
// it was promised a lease, one counts from its first report.
TEST(LiveServerTableTest, ServerHeardFirstHasNotLapsedBeforeItsFirstAnswer) {
  LiveServerTable Board;
  ASSERT_TRUE(Board.recordReport(makeReport(1), Start, Lease));
  EXPECT_TRUE(Board.listExpired(Start + Lease / 2).empty());
  EXPECT_EQ(Board.listExpired(Start + Lease),
            std::vector<std::string>{"server-1"});
}

// Only an answer promises more time.
TEST(LiveServerTableTest, LaterReportAloneExtendsNoLease) {
  LiveServerTable Board;
  ASSERT_TRUE(Board.recordReport(makeReport(1), Start, Lease));
  ASSERT_TRUE(Board.recordReport(makeReport(2), Start + Lease / 2, Lease));
  EXPECT_EQ(Board.listExpired(Start + Lease).size(), 1U);
  Board.extendLease("server-1", Start + 2 * Lease);
  EXPECT_TRUE(Board.listExpired(Start + Lease).empty());
}

TEST(LiveServerTableTest, EarlierReportThatComesLateIsPassedOver) {
  LiveServerTable Board;
  ASSERT_TRUE(Board.recordReport(makeReport(2), Start, Lease));
  EXPECT_FALSE(Board.recordReport(makeReport(1), Start, Lease));
}
