//===- FaultyFiles.h - In-memory file system with power loss ---*- C++ -*-===//
//
// Distinguishes synced data from written data. From operation CrashAt_ on
// every operation fails. losePower() then drops the unsynced data except for a
// random part of it.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_REPLICATION_FAULTYFILES_H
#define TULIPWEIR_TESTS_REPLICATION_FAULTYFILES_H

#include "replication/FileSystem.h"

#include <algorithm>
#include <map>
#include <random>

namespace tulipweir::replication {

class FaultyFiles final : public FileSystem {
public:
  explicit FaultyFiles(std::uint64_t Seed) : Random_(Seed) {}

  Outcome<void> makeFolder(const std::string &) override { return succeed(); }

  Outcome<std::vector<std::string>> list(const std::string &Folder) override {
    std::vector<std::string> Names;
    for (const auto &[Path, File] : Names_) {
      bool IsIn = Path.starts_with(Folder + "/") &&
                  Path.find('/', Folder.size() + 1) == std::string::npos;
      if (IsIn)
        Names.push_back(Path.substr(Folder.size() + 1));
    }
    return Names;
  }

  Outcome<std::string> readPart(const std::string &Path, std::uint64_t Offset,
                                std::uint64_t MaxBytes) override {
    auto Found = Names_.find(Path);
    if (Found == Names_.end())
      return fail(ErrorCode::StorageFailed, "no " + Path);
    const std::string &All = Found->second->Written_;
    const std::uint64_t Begin = std::min<std::uint64_t>(Offset, All.size());
    std::string Part = All.substr(Begin, MaxBytes);
    BytesRead_ += Part.size();
    MaxRead_ = std::max(MaxRead_, Part.size());
    return Part;
  }

  Outcome<std::unique_ptr<AppendFile>>
  openForAppend(const std::string &Path) override {
    FileRef &File = Names_[Path];
    if (!File)
      File = std::make_shared<Bytes>();
    return std::unique_ptr<AppendFile>(new Appender(*this, File));
  }

  Outcome<void> truncate(const std::string &Path, std::uint64_t Size) override {
    if (!work())
      return failNow();
    Names_.at(Path)->Written_.resize(Size);
    Names_.at(Path)->Synced_ = Names_.at(Path)->Written_;
    return succeed();
  }

  Outcome<void> rename(const std::string &From,
                       const std::string &To) override {
    if (!work())
      return failNow();
    Names_[To] = Names_.at(From);
    Names_.erase(From);
    return succeed();
  }

  Outcome<void> remove(const std::string &Path) override {
    if (!work())
      return failNow();
    Names_.erase(Path);
    return succeed();
  }

  Outcome<void> syncFolder(const std::string &) override {
    if (!work())
      return failNow();
    SyncedNames_ = Names_;
    return succeed();
  }

  Outcome<std::shared_ptr<void>> lock(const std::string &) override {
    return std::shared_ptr<void>(std::make_shared<int>(0));
  }

  void losePower() {
    CrashAt_ = 0;
    if (Random_() % 2 == 0)
      Names_ = SyncedNames_;
    for (auto &[Path, File] : Names_) {
      std::string Kept = File->Synced_;
      bool IsLonger = File->Written_.size() > Kept.size();
      std::string Tail =
          IsLonger ? File->Written_.substr(Kept.size()) : std::string();
      Tail.resize(Random_() % (Tail.size() + 1));
      // The blocks of one write reach the disk in any order.
      bool HasHole = Tail.size() > 8 && Random_() % 2 == 0;
      if (HasHole)
        Tail.replace(Random_() % (Tail.size() - 4), 4, 4, '\0');
      File->Written_ = File->Synced_ = Kept + Tail;
    }
    SyncedNames_ = Names_;
  }

  std::string &bytesOf(const std::string &Path) {
    return Names_.at(Path)->Written_;
  }
  std::uint64_t countWork() const { return Work_; }
  /// Returns the size of all files.
  std::uint64_t countBytes() const {
    std::uint64_t Sum = 0;
    for (const auto &[Path, File] : Names_)
      Sum += File->Written_.size();
    return Sum;
  }
  /// Returns the largest size that all files have had together.
  std::uint64_t getMaxBytes() const { return MaxBytes_; }
  /// Returns how many bytes have been read.
  std::uint64_t countBytesRead() const { return BytesRead_; }
  /// Returns the largest number of bytes that were read at once.
  std::uint64_t getMaxRead() const { return MaxRead_; }
  bool hasCrashed() const { return CrashAt_ != 0 && Work_ >= CrashAt_; }

  std::uint64_t CrashAt_ = 0; ///< 0 disables the crash.

private:
  struct Bytes {
    std::string Written_;
    std::string Synced_;
  };
  using FileRef = std::shared_ptr<Bytes>;

  class Appender final : public AppendFile {
  public:
    Appender(FaultyFiles &Owner, FileRef File) : Owner_(Owner), File_(File) {}
    Outcome<void> append(std::string_view Bytes) override {
      bool Works = Owner_.work();
      bool IsInterrupted = !Works && Owner_.Work_ == Owner_.CrashAt_;
      if (IsInterrupted)
        Bytes = Bytes.substr(0, Owner_.Random_() % (Bytes.size() + 1));
      if (Works || IsInterrupted)
        File_->Written_ += Bytes;
      Owner_.MaxBytes_ = std::max(Owner_.MaxBytes_, Owner_.countBytes());
      if (!Works)
        return failNow();
      return succeed();
    }
    Outcome<void> sync() override {
      if (!Owner_.work())
        return failNow();
      File_->Synced_ = File_->Written_;
      return succeed();
    }

  private:
    FaultyFiles &Owner_;
    const FileRef File_;
  };

  static Outcome<void> failNow() {
    return fail(ErrorCode::StorageFailed, "the power is gone");
  }
  bool work() {
    ++Work_;
    return !hasCrashed();
  }

  std::mt19937_64 Random_;
  std::uint64_t Work_ = 0;
  std::uint64_t MaxBytes_ = 0;
  std::uint64_t BytesRead_ = 0;
  std::size_t MaxRead_ = 0;
  std::map<std::string, FileRef> Names_;
  std::map<std::string, FileRef> SyncedNames_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_TESTS_REPLICATION_FAULTYFILES_H
