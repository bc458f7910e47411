#include "replication/FolderStorage.h"

#include "FaultyFiles.h"

#include "replication/Frame.h"
#include "replication/PosixFileSystem.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <functional>

using namespace tulipweir;
using namespace tulipweir::replication;

namespace {

const Identity Owner{"group", {"a", 5}, 0};
const std::string Folder = "/data";

std::string pathOf(const std::string &Name) { return Folder + "/" + Name; }

/// A simple model of the contents that the storage should have.
struct Copy {
  Checkpoint All_;

  void append(const LogBatch &Batch) {
    All_.Hard_ = Batch.Hard_;
    for (const LogEntry &Entry : Batch.Entries_) {
      std::erase_if(All_.Entries_, [&](const LogEntry &Old) {
        return Old.Index_ >= Entry.Index_;
      });
      All_.Entries_.push_back(Entry);
    }
  }
  bool equals(const Checkpoint &Other) const {
    bool HasBoth = All_.Snapshot_ && Other.Snapshot_;
    bool IsSame = HasBoth ? *All_.Snapshot_ == *Other.Snapshot_
                          : All_.Snapshot_ == Other.Snapshot_;
    return IsSame && All_.Hard_ == Other.Hard_ &&
           All_.Entries_ == Other.Entries_;
  }
};

/// Generates the next random write and applies it to the model and to the
/// storage.
class Writer {
public:
  explicit Writer(std::uint64_t Seed) : Random_(Seed) {}

  /// Returns whether the storage confirmed the write.
  bool writeNext(FolderStorage &To, Copy &Naive) {
    if (!Naive.All_.Entries_.empty() && Random_() % 5 == 0)
      return replace(To, Naive);
    LogBatch Batch;
    Batch.Hard_ = {++Term_, {"b", Random_() % 3}};
    std::uint64_t Next = nextIndex(Naive);
    bool IsCutting = Naive.All_.Entries_.size() > 2 && Random_() % 4 == 0;
    Next -= IsCutting ? 1 + Random_() % 2 : 0;
    for (std::uint64_t Count = Random_() % 4; Count > 0; --Count, ++Next)
      Batch.Entries_.push_back({Term_,
                                Next,
                                EntryKind::Command,
                                std::string(Random_() % 40, 'x'),
                                {}});
    Naive.append(Batch);
    return To.append(Batch).has_value();
  }

private:
  static std::uint64_t nextIndex(const Copy &Naive) {
    const Checkpoint &All = Naive.All_;
    if (!All.Entries_.empty())
      return All.Entries_.back().Index_ + 1;
    return All.Snapshot_ ? All.Snapshot_->Index_ + 1 : 1;
  }
  bool replace(FolderStorage &To, Copy &Naive) {
    std::vector<LogEntry> &Log = Naive.All_.Entries_;
    std::size_t Covered = Random_() % Log.size() + 1;
    const LogEntry &Last = Log[Covered - 1];
    Naive.All_.Snapshot_ = std::make_shared<Snapshot>(
        Snapshot{Last.Index_, Last.Term_, {}, "state"});
    Log.erase(Log.begin(), Log.begin() + static_cast<std::ptrdiff_t>(Covered));
    return To.replace(Naive.All_).has_value();
  }

  std::mt19937_64 Random_;
  std::uint64_t Term_ = 0;
};

/// Writes Count times with a crash at operation CrashAt, and continues after
/// it. Sets Crashed if the crash occurred.
void runWithCrash(std::uint64_t Seed, std::uint64_t CrashAt, bool &Crashed) {
  FaultyFiles Files(Seed + CrashAt);
  Files.CrashAt_ = CrashAt;
  Writer Next(Seed);
  Copy Naive;
  Copy Before;
  auto Opened = FolderStorage::open(Files, Folder, Owner);
  bool IsCreated = Opened.has_value();
  bool IsConfirmed = IsCreated;
  for (int I = 0; I < 25 && IsConfirmed; ++I) {
    Before = Naive;
    IsConfirmed = Next.writeNext(*Opened.value().Storage_, Naive);
  }
  Crashed = Files.hasCrashed();
  if (!Crashed)
    return;
  Opened = fail(ErrorCode::Internal, "closed");
  Files.losePower();
  Identity Newer = Owner;
  Newer.Self_.Incarnation_ = 6;
  Opened = FolderStorage::open(Files, Folder, Newer);
  if (!IsCreated && !Opened) {
    // No message was sent under the first incarnation, so a new one is valid.
    EXPECT_EQ(Opened.error().Code_, ErrorCode::Corrupt);
    EXPECT_TRUE(FolderStorage::quarantine(Files, Folder, "6"));
    Opened = FolderStorage::open(Files, Folder, Newer);
  }
  EXPECT_TRUE(Opened) << Opened.error().Message_ << " crash at " << CrashAt;
  if (!Opened)
    return;
  EXPECT_TRUE(!IsCreated || Opened.value().Owner_ == Owner);
  const Checkpoint &Read = Opened.value().Stored_;
  EXPECT_TRUE(Naive.equals(Read) || Before.equals(Read))
      << "seed " << Seed << " crash at " << CrashAt;
  Naive.All_ = Read;
  for (int I = 0; I < 5; ++I)
    EXPECT_TRUE(Next.writeNext(*Opened.value().Storage_, Naive));
  Opened = FolderStorage::open(Files, Folder, Owner);
  EXPECT_TRUE(Opened && Naive.equals(Opened.value().Stored_));
}

TEST(FolderStorageTest, KeepsConfirmedWritesAfterACrashAtEveryWrite) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    bool Crashed = true;
    for (std::uint64_t CrashAt = 1; Crashed; ++CrashAt)
      runWithCrash(Seed, CrashAt, Crashed);
  }
}

/// Corrupts each byte in turn. The corruption must be detected unless it is in
/// the last frame, which cannot be distinguished from an interrupted write.
TEST(FolderStorageTest, CorruptionIsNeverReadAsData) {
  FaultyFiles Files(1);
  Copy Naive;
  Copy Before;
  auto Opened = FolderStorage::open(Files, Folder, Owner);
  Writer Next(3);
  for (int I = 0; I < 12; ++I) {
    Before = Naive;
    ASSERT_TRUE(Next.writeNext(*Opened.value().Storage_, Naive));
  }
  ASSERT_TRUE(Naive.All_.Snapshot_);
  int Noticed = 0;
  const std::vector<std::string> Names = Files.list(Folder).value();
  for (const std::string &Name : Names) {
    const std::string Whole = Files.bytesOf(pathOf(Name));
    for (std::size_t At = 0; At < Whole.size(); ++At) {
      std::string &Bytes = Files.bytesOf(pathOf(Name));
      Bytes[At] = static_cast<char>(Bytes[At] ^ 0x10);
      auto Again = FolderStorage::open(Files, Folder, Owner);
      bool IsNoticed = !Again && Again.error().Code_ == ErrorCode::Corrupt;
      EXPECT_TRUE(IsNoticed || Before.equals(Again.value().Stored_))
          << Name << " at " << At;
      Noticed += IsNoticed ? 1 : 0;
      Files.bytesOf(pathOf(Name)) = Whole;
    }
  }
  EXPECT_GT(Noticed, 100);
}

// Guards against a recovery that holds the file beside the entries decoded from
// it: a log that was written without a bound on its size must still be read in
// the memory of a control process.
TEST(FolderStorageTest, ReadsALogWithoutHoldingTheWholeFile) {
  constexpr std::uint64_t MaxMemory = 96U << 20;
  constexpr std::uint64_t EntryBytes = 1'500'000;
  constexpr std::uint64_t Entries = 60;
  FaultyFiles Files(1);
  auto Opened = FolderStorage::open(Files, Folder, Owner);
  for (std::uint64_t Index = 1; Index <= Entries; ++Index) {
    LogBatch Batch;
    Batch.Entries_.push_back(
        {1, Index, EntryKind::Command, std::string(EntryBytes, 'x'), {}});
    ASSERT_TRUE(Opened.value().Storage_->append(Batch));
  }
  Opened = FolderStorage::open(Files, Folder, Owner);
  ASSERT_TRUE(Opened);
  EXPECT_EQ(Opened.value().Stored_.Entries_.size(), Entries);
  EXPECT_LE(Entries * EntryBytes + Files.getMaxRead(), MaxMemory);
}

TEST(FolderStorageTest, RefusesAFolderThatIsNotItsOwn) {
  FaultyFiles Files(1);
  ASSERT_TRUE(FolderStorage::open(Files, Folder, Owner));
  for (const Identity &Other :
       {Identity{"other", {"a", 5}, 0}, Identity{"group", {"b", 5}, 0}}) {
    auto Opened = FolderStorage::open(Files, Folder, Other);
    EXPECT_EQ(Opened.error().Code_, ErrorCode::Conflict);
  }
  Files.bytesOf(pathOf("identity")) = makeFrame(2, "of the future");
  auto Opened = FolderStorage::open(Files, Folder, Owner);
  EXPECT_EQ(Opened.error().Code_, ErrorCode::VersionMismatch);
}

TEST(FolderStorageTest, DamagedFolderIsQuarantinedAndReopened) {
  FaultyFiles Files(1);
  ASSERT_TRUE(FolderStorage::open(Files, Folder, Owner));
  ASSERT_TRUE(Files.remove(pathOf("log-1")));
  Identity Fresh = Owner;
  Fresh.Self_.Incarnation_ = 6;
  auto Opened = FolderStorage::open(Files, Folder, Fresh);
  EXPECT_EQ(Opened.error().Code_, ErrorCode::Corrupt);
  ASSERT_TRUE(FolderStorage::quarantine(Files, Folder, "6"));
  EXPECT_EQ(FolderStorage::open(Files, Folder, Fresh).value().Owner_, Fresh);
}

TEST(FolderStorageTest, OneProcessAtATime) {
  PosixFileSystem Files;
  std::string Path = testing::TempDir() + "/lock-" + std::to_string(getpid());
  auto First = FolderStorage::open(Files, Path, Owner);
  ASSERT_TRUE(First) << First.error().Message_;
  auto Second = FolderStorage::open(Files, Path, Owner);
  EXPECT_EQ(Second.error().Code_, ErrorCode::Conflict);
  std::filesystem::remove_all(Path);
}

} // namespace
