//===- LogBytesTest.cpp - Bounds in bytes on a log of large entries -------===//
//
// Replicas on an in-memory disk, with a clock that stands still. The bounds are
// those of a control process on the smallest machine it runs on.
//
//===----------------------------------------------------------------------===//

#include "replication/FolderStorage.h"
#include "replication/ReplicaDriver.h"

#include "FaultyFiles.h"

#include <gtest/gtest.h>

#include <future>

using namespace tulipweir;
using namespace tulipweir::replication;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxDiskBytes = 32U << 20;

/// Keeps the number of commands and the last one, as a configuration does.
class LastCommand final : public StateMachine {
public:
  std::string apply(const CommittedEntry &Entry) override {
    Last_ = Entry.Command_;
    ++Count_;
    return std::to_string(Count_);
  }
  std::string takeSnapshot() const override {
    return std::to_string(Count_) + ";" + Last_;
  }
  Outcome<void> restoreSnapshot(std::string_view From) override {
    const std::size_t End = From.find(';');
    Count_ = std::stoull(std::string(From.substr(0, End)));
    Last_ = From.substr(End + 1);
    return succeed();
  }

private:
  std::uint64_t Count_ = 0;
  std::string Last_;
};

class NoTransport final : public Transport {
public:
  void send(const std::string &, std::string) override {}
};

/// The only voter of a group, on a disk that outlives it.
class OneReplica {
public:
  explicit OneReplica(FaultyFiles &Files) : Files_(Files) {}

  void start() {
    ReplicaStart Start;
    Start.Settings_.Group_ = "group";
    Start.Settings_.Name_ = "a";
    Start.Settings_.InitialVoters_ = {"a"};
    auto Opened =
        FolderStorage::open(Files_, "/data", Identity{"group", {"a", 1}, 0});
    ASSERT_TRUE(Opened) << Opened.error().Message_;
    Start.Owner_ = Opened.value().Owner_;
    Start.Stored_ = std::move(Opened.value().Stored_);
    Start.Storage_ = std::move(Opened.value().Storage_);
    Machine_ = std::make_unique<LastCommand>();
    if (const SnapshotRef &Last = Start.Stored_.Snapshot_) {
      ASSERT_TRUE(Machine_->restoreSnapshot(Last->State_));
    }
    Replica_ = std::make_unique<ReplicaDriver>(std::move(Start), *Machine_,
                                               Out_, Time_);
  }
  void stop() { Replica_.reset(); }
  /// Returns the number of commands applied, or 0 if the command failed.
  std::uint64_t commit(std::string Command) {
    std::promise<Outcome<Applied>> Done;
    Replica_->propose(std::move(Command), [&](Outcome<Applied> Result) {
      Done.set_value(std::move(Result));
    });
    const Outcome<Applied> Result = Done.get_future().get();
    return Result ? std::stoull(Result.value().Result_) : 0;
  }
  /// Waits until the replica leads, with a generous limit.
  bool waitForLeadership() {
    for (int Try = 0; Try < 3000; ++Try) {
      if (Replica_->getStatus().IsLeader_)
        return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }
  ReplicaStatus getStatus() const { return Replica_->getStatus(); }

private:
  FaultyFiles &Files_;
  NoTransport Out_;
  ManualClock Time_;
  std::unique_ptr<LastCommand> Machine_;
  std::unique_ptr<ReplicaDriver> Replica_;
};

struct Workload {
  std::uint64_t EntryBytes_;
  std::uint64_t Entries_;
};

class LogBytesSizesTest : public testing::TestWithParam<Workload> {};

} // namespace

// Guards against a log that is cut by the number of its entries alone: fewer of
// them than are between two snapshots may fill the disk, and may need more
// memory at a restart than the machine has.
TEST_P(LogBytesSizesTest, DiskAndRecoveryAreBoundedAtAnySizeOfEntry) {
  const auto [EntryBytes, Entries] = GetParam();
  FaultyFiles Files(1);
  OneReplica Only(Files);
  Only.start();
  ASSERT_TRUE(Only.waitForLeadership());
  for (std::uint64_t I = 1; I <= Entries; ++I)
    ASSERT_EQ(Only.commit(std::string(EntryBytes, 'x')), I);
  EXPECT_LE(Only.getStatus().RetainedBytes_, MaxDiskBytes);
  Only.stop();
  EXPECT_LE(Files.getMaxBytes(), MaxDiskBytes);
  const std::uint64_t ReadBefore = Files.countBytesRead();
  Only.start();
  ASSERT_TRUE(Only.waitForLeadership());
  EXPECT_LE(Files.countBytesRead() - ReadBefore, MaxDiskBytes);
  EXPECT_EQ(Only.commit("after"), Entries + 1);
}

// Guards against losing acknowledged entries, or the bound, when the power
// fails between a snapshot and the cut of the log behind it.
TEST(LogBytesTest, ACrashWhileTheLogIsCutLosesNothing) {
  constexpr std::uint64_t EntryBytes = 150'000;
  std::uint64_t Crashes = 0;
  for (std::uint64_t Offset = 0; Offset < 16; ++Offset) {
    FaultyFiles Files(Offset);
    OneReplica Only(Files);
    Only.start();
    ASSERT_TRUE(Only.waitForLeadership());
    // Each entry takes a write and a sync; the first snapshot comes before the
    // twenty-eighth entry.
    std::uint64_t Acknowledged = 0;
    while (Only.getStatus().Snapshots_ == 0)
      Acknowledged = Only.commit(std::string(EntryBytes, 'x'));
    Only.stop();
    const std::uint64_t Work = Files.countWork();
    FaultyFiles Again(Offset);
    Again.CrashAt_ = Work > Offset ? Work - Offset : 1;
    OneReplica Crashing(Again);
    Crashing.start();
    ASSERT_TRUE(Crashing.waitForLeadership());
    std::uint64_t Confirmed = 0;
    for (std::uint64_t I = 1; I <= Acknowledged + 1; ++I)
      Confirmed =
          std::max(Confirmed, Crashing.commit(std::string(EntryBytes, 'x')));
    Crashing.stop();
    Crashes += Again.hasCrashed() ? 1 : 0;
    Again.losePower();
    Crashing.start();
    ASSERT_TRUE(Crashing.waitForLeadership());
    // An entry that was not acknowledged may have been stored nevertheless.
    const std::uint64_t Next = Crashing.commit("after");
    EXPECT_GE(Next, Confirmed + 1) << "crash at " << Work - Offset;
    EXPECT_LE(Next, Confirmed + 2) << "crash at " << Work - Offset;
    EXPECT_LE(Again.getMaxBytes(), MaxDiskBytes);
  }
  EXPECT_GT(Crashes, 8U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LogBytesSizesTest,
                         testing::Values(Workload{14'000, 4'000},
                                         Workload{150'000, 650},
                                         Workload{1'000'000, 100}),
                         [](const auto &Info) {
                           return std::to_string(Info.param.EntryBytes_) +
                                  "BytesEach";
                         });
