#include "replication/FolderStorage.h"

#include "replication/FrameReader.h"
#include "replication/Packing.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <cassert>
#include <charconv>

using namespace tulipweir;
using namespace tulipweir::replication;

/// Must be incremented when the layout of the files changes; newer versions are
/// rejected.
constexpr std::uint64_t FormatVersion = 1;
constexpr std::string_view IdentityName = "identity";
constexpr std::string_view BootstrapName = "bootstrap";
constexpr std::string_view LogPrefix = "log-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view QuarantinePrefix = "damaged-";
constexpr std::string_view TemporarySuffix = ".tmp";

namespace tulipweir::replication::layout {

/// The first frame of a segment.
struct SegmentHeader {
  std::uint64_t SnapshotIndex_ = 0; ///< 0 before the first snapshot.
  LogBatch Kept_;
};

static auto fields(SegmentHeader &X) {
  return std::tie(X.SnapshotIndex_, X.Kept_);
}

/// The content of the file BootstrapName.
struct StoredBootstrap {
  MemberId Self_; ///< The incarnation that made the promises.
  BootstrapState State_;
};

static auto fields(StoredBootstrap &X) { return std::tie(X.Self_, X.State_); }

} // namespace tulipweir::replication::layout

using layout::SegmentHeader;
using layout::StoredBootstrap;

/// Returns N of a name "Prefix" + N.
static std::optional<std::uint64_t> parseNumber(std::string_view Name,
                                                std::string_view Prefix) {
  if (!Name.starts_with(Prefix))
    return std::nullopt;
  Name.remove_prefix(Prefix.size());
  std::uint64_t Number = 0;
  auto [End, Why] =
      std::from_chars(Name.data(), Name.data() + Name.size(), Number);
  bool IsNumber = Why == std::errc() && End == Name.data() + Name.size();
  return IsNumber ? std::optional(Number) : std::nullopt;
}

static std::string makeName(std::string_view Prefix, std::uint64_t Number) {
  return std::string(Prefix) + std::to_string(Number);
}

static bool isStorageFile(std::string_view Name) {
  return Name == IdentityName || Name == BootstrapName ||
         Name.starts_with(LogPrefix) || Name.starts_with(SnapshotPrefix);
}

static auto failDamaged(const std::string &What) {
  return fail(ErrorCode::Corrupt, What + " is damaged and counts as lost");
}

/// Adds a batch to the checkpoint; returns false if the batch leaves a gap.
static bool applyBatch(Checkpoint &Read, LogBatch Batch) {
  Read.Hard_ = std::move(Batch.Hard_);
  std::vector<LogEntry> &All = Read.Entries_;
  for (LogEntry &Entry : Batch.Entries_) {
    if (!All.empty()) {
      std::uint64_t First = All.front().Index_;
      bool IsWithin =
          Entry.Index_ >= First && Entry.Index_ <= First + All.size();
      if (!IsWithin)
        return false;
      All.resize(Entry.Index_ - First);
    }
    All.push_back(std::move(Entry));
  }
  return true;
}

FolderStorage::FolderStorage(FileSystem &Files, std::string Folder,
                             std::shared_ptr<void> Lock)
    : Files_(Files), Folder_(std::move(Folder)), Lock_(std::move(Lock)) {}

std::string FolderStorage::pathOf(const std::string &Name) const {
  return Folder_ + "/" + Name;
}

Outcome<FolderStorage::Opened> FolderStorage::open(FileSystem &Files,
                                                   const std::string &Folder,
                                                   const Identity &Fresh) {
  BOOST_OUTCOME_TRYV(Files.makeFolder(Folder));
  BOOST_OUTCOME_TRY(Lock, Files.lock(Folder));
  BOOST_OUTCOME_TRY(Names, Files.list(Folder));
  std::unique_ptr<FolderStorage> Storage(
      new FolderStorage(Files, Folder, std::move(Lock)));
  std::erase_if(Names,
                [](const std::string &Name) { return !isStorageFile(Name); });
  bool HasAny = std::any_of(Names.begin(), Names.end(), [](auto &Name) {
    return !Name.ends_with(TemporarySuffix);
  });
  if (!HasAny) {
    BOOST_OUTCOME_TRYV(Storage->create(Fresh));
    return Opened{std::move(Storage), Fresh, {}, {}};
  }
  // The owner is checked first, so that another member's folder is refused even
  // if its log is damaged.
  BOOST_OUTCOME_TRY(Owner, Storage->readIdentity(Fresh));
  BOOST_OUTCOME_TRY(Stored, Storage->readLog(Names));
  BOOST_OUTCOME_TRY(Bootstrap, Storage->readBootstrap(Names, Owner.Self_));
  BOOST_OUTCOME_TRYV(Storage->cleanUp(Names));
  return Opened{std::move(Storage), std::move(Owner), std::move(Stored),
                std::move(Bootstrap)};
}

Outcome<void> FolderStorage::quarantine(FileSystem &Files,
                                        const std::string &Folder,
                                        const std::string &Tag) {
  auto Lock = Files.lock(Folder);
  if (!Lock)
    return Lock.as_failure();
  BOOST_OUTCOME_TRY(Names, Files.list(Folder));
  std::string Aside = Folder + "/" + std::string(QuarantinePrefix) + Tag;
  BOOST_OUTCOME_TRYV(Files.makeFolder(Aside));
  for (const std::string &Name : Names) {
    if (!isStorageFile(Name))
      continue;
    std::string From = Folder;
    From.append("/").append(Name);
    std::string To = Aside;
    To.append("/").append(Name);
    BOOST_OUTCOME_TRYV(Files.rename(From, To));
  }
  BOOST_OUTCOME_TRYV(Files.syncFolder(Aside));
  return Files.syncFolder(Folder);
}

Outcome<void> FolderStorage::writeAtomically(const std::string &Name,
                                             std::string_view Bytes) {
  std::string Unfinished = pathOf(Name) + std::string(TemporarySuffix);
  // A crash may have left a partial file; appending to it would mix two
  // versions.
  BOOST_OUTCOME_TRY(Names, Files_.list(Folder_));
  std::string UnfinishedName = Name + std::string(TemporarySuffix);
  if (std::find(Names.begin(), Names.end(), UnfinishedName) != Names.end()) {
    BOOST_OUTCOME_TRYV(Files_.remove(Unfinished));
  }
  BOOST_OUTCOME_TRY(File, Files_.openForAppend(Unfinished));
  BOOST_OUTCOME_TRYV(File->append(Bytes));
  BOOST_OUTCOME_TRYV(File->sync());
  BOOST_OUTCOME_TRYV(Files_.rename(Unfinished, pathOf(Name)));
  Syncs_ += 2;
  return Files_.syncFolder(Folder_);
}

Outcome<void> FolderStorage::create(const Identity &Fresh) {
  // The identity is written last. Nothing was sent or promised by a member that
  // has none, so a folder without one can be initialized again.
  BOOST_OUTCOME_TRYV(startSegment({}));
  return saveIdentity(Fresh);
}

Outcome<void> FolderStorage::saveIdentity(const Identity &Owner) {
  std::string Body = packing::pack(Owner);
  return writeAtomically(std::string(IdentityName),
                         makeFrame(FormatVersion, Body));
}

Outcome<void> FolderStorage::saveBootstrap(const MemberId &Self,
                                           const BootstrapState &State) {
  const std::string Body = packing::pack(StoredBootstrap{Self, State});
  return writeAtomically(std::string(BootstrapName),
                         makeFrame(FormatVersion, Body));
}

Outcome<BootstrapState>
FolderStorage::readBootstrap(const std::vector<std::string> &Names,
                             const MemberId &Self) {
  if (std::find(Names.begin(), Names.end(), BootstrapName) == Names.end())
    return BootstrapState();
  const std::string Path = pathOf(std::string(BootstrapName));
  BOOST_OUTCOME_TRY(Bytes, Files_.read(Path));
  const std::optional<Frame> Found = readFrame(Bytes);
  if (!Found || Found->Size_ != Bytes.size())
    return failDamaged(Path);
  auto Read = packing::unpack<StoredBootstrap>(Found->Body_, Path);
  if (!Read)
    return failDamaged(Path);
  if (Read.value().Self_ != Self)
    return BootstrapState();
  return std::move(Read.value().State_);
}

Outcome<Identity> FolderStorage::readIdentity(const Identity &Fresh) {
  auto Bytes = Files_.read(pathOf(std::string(IdentityName)));
  if (!Bytes)
    return failDamaged(Folder_ + " without its identity");
  std::optional<Frame> Found = readFrame(Bytes.value());
  if (!Found)
    return failDamaged(pathOf(std::string(IdentityName)));
  if (Found->Number_ != FormatVersion)
    return fail(
        ErrorCode::VersionMismatch,
        Folder_ + " has format version " + std::to_string(Found->Number_) +
            "; this program reads version " + std::to_string(FormatVersion) +
            ": start the newer program or use another folder");
  BOOST_OUTCOME_TRY(Owner,
                    packing::unpack<Identity>(Found->Body_, "an identity"));
  bool IsOwn =
      Owner.Group_ == Fresh.Group_ && Owner.Self_.Name_ == Fresh.Self_.Name_;
  if (!IsOwn)
    return fail(ErrorCode::Conflict,
                Folder_ + " belongs to member '" + Owner.Self_.Name_ +
                    "' of group '" + Owner.Group_ + "', not to '" +
                    Fresh.Self_.Name_ + "' of '" + Fresh.Group_ +
                    "': use a separate folder for this member");
  return std::move(Owner);
}

Outcome<SnapshotRef> FolderStorage::readSnapshot(std::uint64_t Index) {
  std::string Path = pathOf(makeName(SnapshotPrefix, Index));
  auto Bytes = Files_.read(Path);
  if (!Bytes)
    return failDamaged(Path);
  std::optional<Frame> Found = readFrame(Bytes.value());
  bool IsWhole =
      Found && Found->Number_ == Index && Found->Size_ == Bytes.value().size();
  if (!IsWhole)
    return failDamaged(Path);
  auto Read = packing::unpack<Snapshot>(Found->Body_, "a snapshot");
  if (!Read)
    return failDamaged(Path);
  return SnapshotRef(std::make_shared<Snapshot>(std::move(Read.value())));
}

Outcome<Checkpoint>
FolderStorage::readLog(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    SegmentNumber_ =
        std::max(SegmentNumber_, parseNumber(Name, LogPrefix).value_or(0));
  std::string Path = pathOf(makeName(LogPrefix, SegmentNumber_));
  FrameReader Frames(Files_, Path);

  Checkpoint Read;
  for (;; ++NextFrame_) {
    const Outcome<std::optional<Frame>> Found = Frames.readNext(NextFrame_);
    if (!Found)
      return failDamaged(Folder_ + " without its log");
    const std::optional<Frame> &Next = Found.value();
    if (!Next)
      break;
    bool IsHead = NextFrame_ == 0;
    SegmentHeader Head;
    if (IsHead) {
      auto Decoded = packing::unpack<SegmentHeader>(Next->Body_, Path);
      if (!Decoded)
        return failDamaged(Path);
      Head = std::move(Decoded.value());
      SnapshotIndex_ = Head.SnapshotIndex_;
    } else {
      auto Decoded = packing::unpack<LogBatch>(Next->Body_, Path);
      if (!Decoded)
        return failDamaged(Path);
      Head.Kept_ = std::move(Decoded.value());
    }
    if (!applyBatch(Read, std::move(Head.Kept_)))
      return failDamaged(Path);
  }
  BOOST_OUTCOME_TRY(Rest, Frames.readRest());
  bool IsDamaged = NextFrame_ == 0 || hasLaterFrame(Rest, NextFrame_);
  if (IsDamaged)
    return failDamaged(Path);
  Bytes_ = Frames.countBytes();
  if (!Rest.empty()) {
    BOOST_OUTCOME_TRYV(Files_.truncate(Path, Bytes_));
  }
  if (SnapshotIndex_ != 0) {
    BOOST_OUTCOME_TRY(Last, readSnapshot(SnapshotIndex_));
    Read.Snapshot_ = std::move(Last);
  }
  BOOST_OUTCOME_TRY(Segment, Files_.openForAppend(Path));
  Segment_ = std::move(Segment);
  return Read;
}

/// Removes the files that an interrupted replace() left behind.
Outcome<void> FolderStorage::cleanUp(const std::vector<std::string> &Names) {
  std::string Log = makeName(LogPrefix, SegmentNumber_);
  std::string Last = makeName(SnapshotPrefix, SnapshotIndex_);
  for (const std::string &Name : Names) {
    if (Name == IdentityName || Name == BootstrapName || Name == Log ||
        Name == Last)
      continue;
    BOOST_OUTCOME_TRYV(Files_.remove(pathOf(Name)));
  }
  return succeed();
}

Outcome<void> FolderStorage::append(const LogBatch &Batch) {
  std::string Bytes = makeFrame(NextFrame_, packing::pack(Batch));
  BOOST_OUTCOME_TRYV(Segment_->append(Bytes));
  BOOST_OUTCOME_TRYV(Segment_->sync());
  ++NextFrame_;
  ++Syncs_;
  Bytes_ += Bytes.size();
  return succeed();
}

Outcome<void> FolderStorage::startSegment(const Checkpoint &All) {
  SegmentHeader Head;
  Head.SnapshotIndex_ = All.Snapshot_ ? All.Snapshot_->Index_ : 0;
  Head.Kept_ = LogBatch{All.Hard_, All.Entries_};
  std::string Bytes = makeFrame(0, packing::pack(Head));
  std::string Name = makeName(LogPrefix, SegmentNumber_ + 1);
  BOOST_OUTCOME_TRYV(writeAtomically(Name, Bytes));
  BOOST_OUTCOME_TRY(Segment, Files_.openForAppend(pathOf(Name)));
  Segment_ = std::move(Segment);
  ++SegmentNumber_;
  NextFrame_ = 1;
  Bytes_ = Bytes.size();
  SnapshotIndex_ = Head.SnapshotIndex_;
  return succeed();
}

Outcome<void> FolderStorage::replace(const Checkpoint &All) {
  if (All.Snapshot_) {
    std::uint64_t Index = All.Snapshot_->Index_;
    std::string Bytes = makeFrame(Index, packing::pack(*All.Snapshot_));
    BOOST_OUTCOME_TRYV(writeAtomically(makeName(SnapshotPrefix, Index), Bytes));
  }
  BOOST_OUTCOME_TRYV(startSegment(All));
  BOOST_OUTCOME_TRY(Names, Files_.list(Folder_));
  std::erase_if(Names,
                [](const std::string &Name) { return !isStorageFile(Name); });
  return cleanUp(Names);
}
