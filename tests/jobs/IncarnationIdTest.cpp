//===- IncarnationIdTest.cpp ----------------------------------------------===//

#include "tulipweir/jobs/IncarnationId.h"

#include <gtest/gtest.h>

using namespace tulipweir::jobs;

// Guards against two incarnations that share a key, or one that has two.
TEST(IncarnationIdTest, TextIsParsedBack) {
  for (const std::uint64_t BornMs : {0ULL, 1ULL, 1764812345678ULL}) {
    const IncarnationId Id = IncarnationId::make("i-7f3a", BornMs);
    EXPECT_EQ(IncarnationId::parse(Id.toString()), Id) << Id.toString();
  }
  EXPECT_EQ(IncarnationId::make("i-1", 5).toString(), "i-1/5");
  EXPECT_EQ(IncarnationId::make("i-1", 0).toString(), "i-1");
}

// Guards against ids of servers without a start time, which logs and snapshots
// of earlier versions hold, that are cut.
TEST(IncarnationIdTest, OtherTextIsTheServersId) {
  for (const char *Text : {"", "i-1", "i-1/", "i-1/x", "i-1/-4", "i-1/5x"}) {
    const IncarnationId Id = IncarnationId::parse(Text);
    EXPECT_EQ(Id.getServerId(), Text);
    EXPECT_FALSE(Id.hasStartTime());
  }
}
