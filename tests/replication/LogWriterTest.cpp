//===- LogWriterTest.cpp - What the writer's thread writes and sends ------===//

#include "replication/LogWriter.h"

#include "FaultyFiles.h"

#include "replication/FolderStorage.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

using namespace tulipweir;
using namespace tulipweir::replication;

namespace {

constexpr std::uint64_t MaxBatch = 1024;
constexpr std::uint64_t EntryBytes = 150'000;

LogEntry makeLargeEntry(std::uint64_t Index) {
  return {1, Index, EntryKind::Command, std::string(EntryBytes, 'x'), {}};
}

/// A disk whose first write hangs until it is released.
class HangingDisk final : public LogStorage {
public:
  Outcome<void> saveIdentity(const Identity &) override { return succeed(); }
  Outcome<void> saveBootstrap(const MemberId &,
                              const BootstrapState &) override {
    return succeed();
  }
  Outcome<void> append(const LogBatch &Batch) override {
    if (Appends_ == 0)
      Hanging_.set_value();
    Released_.wait();
    std::uint64_t Bytes = 0;
    for (const LogEntry &Entry : Batch.Entries_)
      Bytes += Entry.Command_.size();
    LargestBatch_ = std::max(LargestBatch_, Bytes);
    ++Appends_;
    return succeed();
  }
  Outcome<void> replace(const Checkpoint &All) override {
    ++Replacements_;
    LastStored_ = All.Entries_.back().Index_;
    return succeed();
  }
  std::uint64_t countBytes() const override { return 0; }
  std::uint64_t countSyncs() const override { return 0; }

  void waitUntilHanging() { IsHanging_.wait(); }
  void release() { Release_.set_value(); }

  std::uint64_t LargestBatch_ = 0;
  int Appends_ = 0;
  int Replacements_ = 0;
  std::uint64_t LastStored_ = 0;

private:
  std::promise<void> Hanging_;
  std::future<void> IsHanging_ = Hanging_.get_future();
  std::promise<void> Release_;
  std::shared_future<void> Released_ = Release_.get_future().share();
};

/// A writer on a hanging disk; its callbacks are counted.
class LogWriterTest : public testing::Test {
protected:
  LogWriter::Callbacks makeCallbacks() {
    LogWriter::Callbacks Calls;
    Calls.Send_ = [this](const std::vector<Message> &Messages) {
      Sent_ += Messages.size();
    };
    Calls.Synced_ = [this](const Synced &Mark) { LastSynced_ = Mark.Index_; };
    Calls.Failed_ = [](const Error &) {};
    return Calls;
  }
  static WriteJob makeBatch(std::uint64_t Index) {
    WriteJob Job;
    Job.HasBatch_ = true;
    Job.Batch_.Entries_.push_back(makeLargeEntry(Index));
    Job.Messages_.emplace_back();
    return Job;
  }
  static WriteJob makeCheckpoint(std::uint64_t Last) {
    WriteJob Job;
    Job.Checkpoint_ = Checkpoint{nullptr, {}, {makeLargeEntry(Last)}};
    return Job;
  }

  std::atomic<std::size_t> Sent_ = 0;
  std::atomic<std::uint64_t> LastSynced_ = 0;
  HangingDisk Disk_;
};

TEST_F(LogWriterTest, NothingIsAcknowledgedAfterAFailedSync) {
  FaultyFiles Files(1);
  auto Opened =
      FolderStorage::open(Files, "/data", Identity{"group", {"a", 5}, 0});
  // The next append succeeds, but its sync fails.
  Files.CrashAt_ = Files.countWork() + 2;
  std::atomic<int> Sent = 0;
  std::atomic<int> Failed = 0;
  LogWriter::Callbacks Calls;
  Calls.Send_ = [&](const std::vector<Message> &) { ++Sent; };
  Calls.Synced_ = [&](const Synced &) { ++Sent; };
  Calls.Failed_ = [&](const Error &) { ++Failed; };
  LogWriter Writes(*Opened.value().Storage_, 10, Calls);
  for (std::uint64_t Index = 1; Index <= 3; ++Index) {
    WriteJob Job;
    Job.HasBatch_ = true;
    Job.Batch_.Entries_.push_back({1, Index, EntryKind::NoOp, "", {}});
    Writes.submit(std::move(Job));
  }
  Writes.stop();
  EXPECT_EQ(Sent, 0);
  EXPECT_EQ(Failed, 1);
}

// Guards against a batch that is bounded by the number of its entries alone:
// one of large entries would need several times the memory of the whole log
// while it is encoded.
TEST_F(LogWriterTest, QueuedEntriesAreWrittenInBatchesOfBoundedSize) {
  constexpr std::uint64_t MaxBatchBytes = 8U << 20;
  LogWriter Writer(Disk_, MaxBatch, makeCallbacks());
  Writer.submit(makeBatch(1));
  Disk_.waitUntilHanging();
  for (std::uint64_t Index = 2; Index <= 200; ++Index)
    Writer.submit(makeBatch(Index));
  WriteJob Whole;
  Whole.HasBatch_ = true;
  for (std::uint64_t Index = 201; Index <= 400; ++Index)
    Whole.Batch_.Entries_.push_back(makeLargeEntry(Index));
  Writer.submit(std::move(Whole));
  Disk_.release();
  Writer.stop();
  EXPECT_LE(Disk_.LargestBatch_, MaxBatchBytes);
  EXPECT_LT(Disk_.Appends_, 200);
  EXPECT_EQ(LastSynced_, 400U);
}

// Guards against a queue that grows without end behind a disk that hangs while
// the other members go on committing.
TEST_F(LogWriterTest, ACheckpointSupersedesTheWritesBehindAHangingDisk) {
  constexpr std::uint64_t MaxQueued = 32U << 20;
  LogWriter Writer(Disk_, MaxBatch, makeCallbacks());
  Writer.submit(makeBatch(1));
  Disk_.waitUntilHanging();
  std::uint64_t LargestQueue = 0;
  for (std::uint64_t Index = 2; Index <= 650; ++Index) {
    Writer.submit(makeBatch(Index));
    if (Index % 30 == 0)
      Writer.submit(makeCheckpoint(Index));
    LargestQueue = std::max(LargestQueue, Writer.countQueuedBytes());
  }
  Disk_.release();
  Writer.stop();
  EXPECT_LE(LargestQueue, MaxQueued);
  EXPECT_EQ(Disk_.Replacements_, 1);
  EXPECT_EQ(Disk_.LastStored_, 630U);
  EXPECT_EQ(LastSynced_, 650U);
  EXPECT_EQ(Sent_, 650U);
}

} // namespace
