#include "replication/FrameReader.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

/// Many small frames are read at once; a larger frame is read whole.
constexpr std::uint64_t WindowBytes = 1U << 20;

FrameReader::FrameReader(FileSystem &Files, std::string Path)
    : Files_(Files), Path_(std::move(Path)) {}

/// Extends the window to Size unread bytes, or to the end of the file.
Outcome<void> FrameReader::fill(std::uint64_t Size) {
  if (HasEnded_ || view().size() >= Size)
    return succeed();
  Window_.erase(0, Used_);
  WindowOffset_ += std::exchange(Used_, 0);
  const std::uint64_t Wanted =
      std::max<std::uint64_t>(Size - Window_.size(), WindowBytes);
  BOOST_OUTCOME_TRY(
      Part, Files_.readPart(Path_, WindowOffset_ + Window_.size(), Wanted));
  HasEnded_ = Part.size() < Wanted;
  Window_ += Part;
  return succeed();
}

Outcome<std::optional<Frame>> FrameReader::readNext(std::uint64_t Number) {
  BOOST_OUTCOME_TRYV(fill(FrameHeaderBytes));
  const std::optional<std::uint64_t> Size = findFrameSize(view());
  if (!Size)
    return std::optional<Frame>();
  BOOST_OUTCOME_TRYV(fill(*Size));
  std::optional<Frame> Next = readFrame(view());
  if (!Next || Next->Number_ != Number)
    return std::optional<Frame>();
  Used_ += Next->Size_;
  return Next;
}

Outcome<std::string> FrameReader::readRest() {
  std::string Rest(view());
  while (!HasEnded_) {
    const std::uint64_t End = countBytes() + Rest.size();
    BOOST_OUTCOME_TRY(Part, Files_.readPart(Path_, End, WindowBytes));
    HasEnded_ = Part.size() < WindowBytes;
    Rest += Part;
  }
  return Rest;
}
