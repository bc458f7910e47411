#include "replication/PosixFileSystem.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::replication;

constexpr mode_t OwnerOnly = 0600;

static auto failAt(const std::string &What, const std::string &Path) {
  return fail(ErrorCode::StorageFailed,
              What + " " + Path + ": " + std::strerror(errno));
}

namespace {

/// Closes the descriptor on destruction.
class Descriptor {
public:
  explicit Descriptor(int Number) : Number_(Number) {}
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  ~Descriptor() {
    if (Number_ >= 0)
      ::close(Number_);
  }
  bool isOpen() const { return Number_ >= 0; }
  int get() const { return Number_; }

private:
  const int Number_;
};

class PosixAppendFile final : public AppendFile {
public:
  PosixAppendFile(std::string Path, int Number)
      : Path_(std::move(Path)), File_(Number) {}

  bool isOpen() const { return File_.isOpen(); }

  Outcome<void> append(std::string_view Bytes) override {
    while (!Bytes.empty()) {
      ssize_t Written = ::write(File_.get(), Bytes.data(), Bytes.size());
      if (Written < 0 && errno == EINTR)
        continue;
      if (Written < 0)
        return failAt("cannot write", Path_);
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
    return succeed();
  }

  Outcome<void> sync() override {
    if (::fdatasync(File_.get()) != 0)
      return failAt("cannot sync", Path_);
    return succeed();
  }

private:
  const std::string Path_;
  const Descriptor File_;
};

} // namespace

Outcome<void> PosixFileSystem::makeFolder(const std::string &Path) {
  if (std::filesystem::is_directory(Path))
    return succeed();
  std::error_code Why;
  std::filesystem::create_directories(Path, Why);
  if (Why)
    return fail(ErrorCode::StorageFailed,
                "cannot create folder " + Path + ": " + Why.message());
  std::filesystem::path Parent =
      std::filesystem::absolute(Path).lexically_normal().parent_path();
  return syncFolder(Parent.string());
}

Outcome<std::vector<std::string>>
PosixFileSystem::list(const std::string &Folder) {
  std::error_code Why;
  std::vector<std::string> Names;
  std::filesystem::directory_iterator It(Folder, Why);
  for (; !Why && It != std::filesystem::directory_iterator(); It.increment(Why))
    Names.push_back(It->path().filename().string());
  if (Why)
    return fail(ErrorCode::StorageFailed,
                "cannot list " + Folder + ": " + Why.message());
  std::sort(Names.begin(), Names.end());
  return Names;
}

Outcome<std::string> PosixFileSystem::readPart(const std::string &Path,
                                               std::uint64_t Offset,
                                               std::uint64_t MaxBytes) {
  Descriptor File(::open(Path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat Info {};
  if (!File.isOpen() || ::fstat(File.get(), &Info) != 0)
    return failAt("cannot open", Path);
  const auto Size = static_cast<std::uint64_t>(Info.st_size);
  std::string Bytes(std::min(MaxBytes, Size - std::min(Offset, Size)), '\0');
  std::size_t Filled = 0;
  while (Filled < Bytes.size()) {
    const ssize_t Got =
        ::pread(File.get(), Bytes.data() + Filled, Bytes.size() - Filled,
                static_cast<off_t>(Offset + Filled));
    if (Got < 0 && errno == EINTR)
      continue;
    if (Got < 0)
      return failAt("cannot read", Path);
    if (Got == 0)
      break;
    Filled += static_cast<std::size_t>(Got);
  }
  Bytes.resize(Filled);
  return Bytes;
}

Outcome<std::unique_ptr<AppendFile>>
PosixFileSystem::openForAppend(const std::string &Path) {
  int Flags = O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC;
  auto File = std::make_unique<PosixAppendFile>(
      Path, ::open(Path.c_str(), Flags, OwnerOnly));
  if (!File->isOpen())
    return failAt("cannot open", Path);
  return std::unique_ptr<AppendFile>(std::move(File));
}

Outcome<void> PosixFileSystem::truncate(const std::string &Path,
                                        std::uint64_t Size) {
  Descriptor File(::open(Path.c_str(), O_WRONLY | O_CLOEXEC));
  if (!File.isOpen())
    return failAt("cannot open", Path);
  if (::ftruncate(File.get(), static_cast<off_t>(Size)) != 0)
    return failAt("cannot truncate", Path);
  if (::fsync(File.get()) != 0)
    return failAt("cannot sync", Path);
  return succeed();
}

Outcome<void> PosixFileSystem::rename(const std::string &From,
                                      const std::string &To) {
  if (std::rename(From.c_str(), To.c_str()) != 0)
    return failAt("cannot rename", From);
  return succeed();
}

Outcome<void> PosixFileSystem::remove(const std::string &Path) {
  if (::unlink(Path.c_str()) != 0)
    return failAt("cannot remove", Path);
  return succeed();
}

Outcome<void> PosixFileSystem::syncFolder(const std::string &Folder) {
  Descriptor File(::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!File.isOpen())
    return failAt("cannot open", Folder);
  if (::fsync(File.get()) != 0)
    return failAt("cannot sync", Folder);
  return succeed();
}

Outcome<std::shared_ptr<void>>
PosixFileSystem::lock(const std::string &Folder) {
  std::string Path = Folder + "/lock";
  auto File = std::make_shared<Descriptor>(
      ::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, OwnerOnly));
  if (!File->isOpen())
    return failAt("cannot open", Path);
  if (::flock(File->get(), LOCK_EX | LOCK_NB) != 0)
    return fail(ErrorCode::Conflict,
                "another process uses the folder " + Folder);
  return std::shared_ptr<void>(std::move(File));
}
