//===- ReplicaEventsTest.cpp - Lines about changes of a replica -----------===//

#include "jobservice/ReplicaEvents.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobservice;

namespace {

class KeptEvents final : public EventLog {
public:
  void write(const Event &Value) override { Events_.push_back(Value); }
  std::vector<Event> Events_;
};

} // namespace

TEST(ReplicaEventsTest, EarlySnapshotsAreLoggedOnceAtEachChange) {
  KeptEvents Log;
  ReplicaEvents Events(Log);
  replication::ReplicaStatus Status;
  const auto Update = [&](std::uint64_t All, std::uint64_t ForSize) {
    Status.Snapshots_ = All;
    Status.SnapshotsForSize_ = ForSize;
    Events.update(Status);
    return Log.Events_.size();
  };
  EXPECT_EQ(Update(1, 0), 0U);
  EXPECT_EQ(Update(2, 1), 1U);
  EXPECT_EQ(Update(3, 2), 1U);
  EXPECT_EQ(Update(3, 2), 1U);
  EXPECT_EQ(Update(4, 2), 2U);
  EXPECT_EQ(Log.Events_[0].Outcome_, "by size");
  EXPECT_EQ(Log.Events_[1].Outcome_, "by number");
}

TEST(ReplicaEventsTest, RecoveryIsLoggedWithItsSize) {
  KeptEvents Log;
  ReplicaEvents Events(Log);
  replication::ReplicaStatus Status;
  Status.Recovery_ = {650, 95'000'000, std::chrono::seconds(2)};
  Events.logRecovery(Status);
  ASSERT_EQ(Log.Events_.size(), 1U);
  EXPECT_EQ(Log.Events_[0].Kind_, EventKind::LogRecovered);
  EXPECT_EQ(Log.Events_[0].Count_, 650U);
  EXPECT_EQ(Log.Events_[0].AgeMs_, 2000);
}
