#include "replication/RaftLog.h"

#include <algorithm>
#include <cassert>
#include <iterator>

using namespace tulipweir;
using namespace tulipweir::replication;

RaftLog::RaftLog(SnapshotRef Last, std::vector<LogEntry> Entries) {
  if (Last) {
    BaseIndex_ = Last->Index_;
    BaseTerm_ = Last->Term_;
    Members_ = {{Last->Index_, Last->Members_}};
    Snapshot_ = std::move(Last);
  }
  for (LogEntry &Entry : Entries)
    if (Entry.Index_ > BaseIndex_)
      append(std::move(Entry));
}

std::uint64_t RaftLog::getLastTerm() const {
  return Entries_.empty() ? BaseTerm_ : Entries_.back().Term_;
}

std::optional<std::uint64_t> RaftLog::findTerm(std::uint64_t Index) const {
  if (Index == BaseIndex_)
    return BaseTerm_;
  if (Index < BaseIndex_ || Index > getLastIndex())
    return std::nullopt;
  return at(Index).Term_;
}

const LogEntry &RaftLog::at(std::uint64_t Index) const {
  assert(Index > BaseIndex_ && Index <= getLastIndex());
  return Entries_[Index - BaseIndex_ - 1];
}

std::vector<LogEntry> RaftLog::copyFrom(std::uint64_t First,
                                        std::size_t MaxCount,
                                        std::size_t MaxBytes) const {
  std::vector<LogEntry> Copies;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = First; Index <= getLastIndex(); ++Index) {
    const LogEntry &Entry = at(Index);
    Bytes += Entry.Command_.size();
    bool IsFull = Copies.size() >= MaxCount || Bytes > MaxBytes;
    if (!Copies.empty() && IsFull)
      break;
    Copies.push_back(Entry);
  }
  return Copies;
}

std::uint64_t RaftLog::getOffset(std::uint64_t Index) const {
  assert(Index >= BaseIndex_ && Index <= getLastIndex());
  return Index == BaseIndex_ ? BaseOffset_ : Offsets_[Index - BaseIndex_ - 1];
}

std::uint64_t RaftLog::countBytes(std::uint64_t Index) const {
  return getOffset(getLastIndex()) - getOffset(Index);
}

std::uint64_t RaftLog::findFirstWithin(std::uint64_t Last,
                                       std::uint64_t MaxBytes) const {
  const std::uint64_t End = getOffset(Last);
  if (End - BaseOffset_ <= MaxBytes)
    return BaseIndex_;
  auto First =
      std::lower_bound(Offsets_.begin(), Offsets_.end(), End - MaxBytes);
  return BaseIndex_ + 1 +
         static_cast<std::uint64_t>(std::distance(Offsets_.begin(), First));
}

const std::vector<Member> &RaftLog::getMembers() const {
  return Members_.rbegin()->second;
}

std::uint64_t RaftLog::getMembersIndex() const {
  return Members_.rbegin()->first;
}

const std::vector<Member> &RaftLog::getMembersAt(std::uint64_t Index) const {
  auto After = Members_.upper_bound(Index);
  assert(After != Members_.begin() && "members at a compacted index");
  return std::prev(After)->second;
}

void RaftLog::append(LogEntry Entry) {
  assert(Entry.Index_ == getLastIndex() + 1 && "a gap in the log");
  if (Entry.Kind_ == EntryKind::Membership)
    Members_[Entry.Index_] = Entry.Members_;
  Offsets_.push_back(getOffset(getLastIndex()) + Entry.Command_.size());
  Entries_.push_back(std::move(Entry));
}

void RaftLog::truncateFrom(std::uint64_t Index) {
  assert(Index > BaseIndex_);
  if (Index > getLastIndex())
    return;
  Entries_.resize(Index - BaseIndex_ - 1);
  Offsets_.resize(Entries_.size());
  Members_.erase(Members_.lower_bound(Index), Members_.end());
}

void RaftLog::compact(SnapshotRef Last, std::uint64_t KeepAfter) {
  Snapshot_ = std::move(Last);
  std::uint64_t Base = std::min(KeepAfter, Snapshot_->Index_);
  if (Base <= BaseIndex_)
    return;
  assert(Base <= getLastIndex());
  BaseTerm_ = at(Base).Term_;
  BaseOffset_ = getOffset(Base);
  const auto Dropped = static_cast<std::ptrdiff_t>(Base - BaseIndex_);
  Entries_.erase(Entries_.begin(), Entries_.begin() + Dropped);
  Offsets_.erase(Offsets_.begin(), Offsets_.begin() + Dropped);
  BaseIndex_ = Base;
  auto InForce = std::prev(Members_.upper_bound(Base));
  Members_.erase(Members_.begin(), InForce);
}

void RaftLog::install(SnapshotRef Last) {
  std::vector<LogEntry> Kept;
  if (findTerm(Last->Index_) == Last->Term_)
    Kept = copyFrom(Last->Index_ + 1, Entries_.size(), SIZE_MAX);
  *this = RaftLog(std::move(Last), std::move(Kept));
}
