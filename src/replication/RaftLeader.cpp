//===- RaftLeader.cpp - RaftCore: leading ---------------------------------===//

#include "replication/RaftCore.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

using namespace tulipweir;
using namespace tulipweir::replication;

/// The leader resends a snapshot chunk after this many heartbeats without a
/// reply.
constexpr int ChunkRetryHeartbeats = 4;

void RaftCore::appendNewEntry(EntryKind Kind, CommandBytes Command,
                              std::vector<Member> Members) {
  LogEntry Entry;
  Entry.Term_ = Hard_.Term_;
  Entry.Index_ = Log_.getLastIndex() + 1;
  Entry.Kind_ = Kind;
  Entry.Command_ = std::move(Command);
  Entry.Members_ = std::move(Members);
  Log_.append(Entry);
  Out_.Appended_.push_back(std::move(Entry));
  updatePeerSet();
}

/// Maintains one Progress per other member.
void RaftCore::updatePeerSet() {
  if (Log_.getMembersIndex() != Log_.getLastIndex() && !Peers_.empty())
    return;
  std::map<MemberId, Progress> Kept;
  for (const Member &M : Log_.getMembers()) {
    if (M.Id_ == Settings_.Self_)
      continue;
    auto Known = Peers_.find(M.Id_);
    if (Known != Peers_.end()) {
      Kept.insert(Peers_.extract(Known));
      continue;
    }
    Progress &Fresh = Kept[M.Id_];
    Fresh.Next_ = Log_.getLastIndex();
    Fresh.LastHeard_ = Now_;
    Fresh.LastStored_ = Now_;
  }
  Peers_ = std::move(Kept);
}

void RaftCore::broadcastRound() {
  ++Round_;
  Rounds_.push_back({Round_, Now_});
  NextHeartbeat_ = Now_ + Settings_.HeartbeatInterval_;
  for (auto &[Id, Peer] : Peers_) {
    Peer.ProbeSent_ = false;
    sendAppend(Id, Peer, true);
  }
  advanceRounds();
}

void RaftCore::sendAppends() {
  for (auto &[Id, Peer] : Peers_)
    sendAppend(Id, Peer, false);
}

/// Returns whether the limits on messages and bytes in flight to the member are
/// reached. Messages wait in the member's memory for its disk.
bool RaftCore::isFull(const Progress &Peer) const {
  if (Peer.InFlight_.empty())
    return false;
  const std::uint64_t Confirmed = std::max(Peer.Match_, Log_.getBaseIndex());
  const std::uint64_t Bytes =
      Log_.countBytes(Confirmed) - Log_.countBytes(Peer.Next_ - 1);
  return Peer.InFlight_.size() >= Settings_.MaxMessagesInFlight_ ||
         Bytes >= Settings_.MaxLogBytes_ / 4;
}

void RaftCore::sendAppend(const MemberId &To, Progress &Peer,
                          bool IsHeartbeat) {
  if (Peer.Sending_ || Peer.Next_ <= Log_.getBaseIndex()) {
    // Index 0 matches any log, so this message only shows that the leader is
    // alive.
    if (IsHeartbeat)
      sendAppendRequest(To, Peer, 0, false);
    sendChunk(To, Peer);
    return;
  }
  if (Peer.Probing_) {
    if (!Peer.ProbeSent_ || IsHeartbeat)
      sendAppendRequest(To, Peer, Peer.Next_ - 1, true);
    Peer.ProbeSent_ = true;
    return;
  }
  bool IsFirst = IsHeartbeat;
  while (IsFirst || Peer.Next_ <= Log_.getLastIndex()) {
    const bool IsFull = isFull(Peer);
    if (IsFull && !IsFirst)
      return;
    sendAppendRequest(To, Peer, Peer.Next_ - 1, !IsFull);
    IsFirst = false;
    if (IsFull)
      return;
  }
}

void RaftCore::sendAppendRequest(const MemberId &To, Progress &Peer,
                                 std::uint64_t Prev, bool WithEntries) {
  AppendRequest Request;
  Request.Round_ = Round_;
  Request.PrevIndex_ = Prev;
  Request.PrevTerm_ = Prev == 0 ? 0 : *Log_.findTerm(Prev);
  Request.Commit_ = Commit_;
  if (WithEntries)
    Request.Entries_ = Log_.copyFrom(Prev + 1, Settings_.MaxEntriesPerMessage_,
                                     Settings_.MaxBytesPerMessage_);
  if (!Request.Entries_.empty() && !Peer.Probing_) {
    Peer.Next_ = Request.Entries_.back().Index_ + 1;
    Peer.InFlight_.push_back(Peer.Next_ - 1);
  }
  send(Out_.MessagesBeforeSync_, To, Hard_.Term_, std::move(Request));
}

void RaftCore::sendChunk(const MemberId &To, Progress &Peer) {
  Duration RetryDelay = Settings_.HeartbeatInterval_ * ChunkRetryHeartbeats;
  bool IsUnderWay = Peer.Sending_ && Now_ - Peer.ChunkSentAt_ < RetryDelay;
  if (IsUnderWay)
    return;
  if (!Peer.Sending_) {
    Peer.Sending_ = Log_.getSnapshot();
    Peer.Offset_ = 0;
  }
  const std::string &State = Peer.Sending_->State_;
  SnapshotChunk Chunk;
  Chunk.Round_ = Round_;
  Chunk.Index_ = Peer.Sending_->Index_;
  Chunk.LastTerm_ = Peer.Sending_->Term_;
  Chunk.Members_ = Peer.Sending_->Members_;
  Chunk.Offset_ = Peer.Offset_;
  Chunk.Total_ = State.size();
  Chunk.Digest_ = XXH3_64bits(State.data(), State.size());
  Chunk.Bytes_ = State.substr(Peer.Offset_, Settings_.SnapshotChunkBytes_);
  Peer.ChunkSentAt_ = Now_;
  send(Out_.MessagesBeforeSync_, To, Hard_.Term_, std::move(Chunk));
}

void RaftCore::recordReply(Progress &Peer, std::uint64_t Round) {
  Peer.LastHeard_ = Now_;
  Peer.AckedRound_ = std::max(Peer.AckedRound_, std::min(Round, Round_));
  advanceRounds();
}

void RaftCore::onMessage(const Message &From, const AppendReply &Body) {
  auto Known = Peers_.find(From.From_);
  if (Role_ != Role::Leader || Known == Peers_.end())
    return;
  Progress &Peer = Known->second;
  Peer.LastStored_ = Now_;
  recordReply(Peer, Body.Round_);
  if (Body.Accepted_ && Body.Index_ > Log_.getLastIndex())
    return;
  if (!Body.Accepted_) {
    bool IsStale = Body.Index_ <= Peer.Match_ || Body.Index_ >= Peer.Next_;
    if (IsStale)
      return;
    Peer.Next_ =
        std::max(Peer.Match_, std::min(Body.Hint_, Body.Index_ - 1)) + 1;
    Peer.Probing_ = true;
    Peer.ProbeSent_ = false;
    Peer.InFlight_.clear();
    sendAppend(From.From_, Peer, false);
    return;
  }
  while (!Peer.InFlight_.empty() && Peer.InFlight_.front() <= Body.Index_)
    Peer.InFlight_.pop_front();
  Peer.Match_ = std::max(Peer.Match_, Body.Index_);
  Peer.Next_ = std::max(Peer.Next_, Peer.Match_ + 1);
  bool HasMatched = Peer.Probing_ && Body.Index_ + 1 >= Peer.Next_;
  if (HasMatched && !Peer.Sending_) {
    Peer.Probing_ = false;
    Peer.Next_ = Peer.Match_ + 1;
  }
  advanceCommit();
  if (Role_ != Role::Leader)
    return;
  tryChange();
  tryTransfer();
  auto Again = Peers_.find(From.From_);
  if (Again != Peers_.end() && !Again->second.Sending_)
    sendAppend(From.From_, Again->second, false);
}

void RaftCore::onMessage(const Message &From, const RoundAck &Body) {
  auto Known = Peers_.find(From.From_);
  if (Role_ == Role::Leader && Known != Peers_.end())
    recordReply(Known->second, Body.Round_);
}

void RaftCore::onMessage(const Message &From, const SnapshotReply &Body) {
  auto Known = Peers_.find(From.From_);
  if (Role_ != Role::Leader || Known == Peers_.end())
    return;
  Progress &Peer = Known->second;
  Peer.LastStored_ = Now_;
  recordReply(Peer, Body.Round_);
  if (!Peer.Sending_ || Peer.Sending_->Index_ != Body.Index_)
    return;
  if (Body.Installed_) {
    Peer.Match_ = std::max(Peer.Match_, Body.Index_);
    Peer.Next_ = Peer.Match_ + 1;
    Peer.Sending_.reset();
    Peer.Probing_ = true;
    Peer.ProbeSent_ = false;
    Peer.InFlight_.clear();
    advanceCommit();
    if (Role_ != Role::Leader)
      return;
  } else {
    bool IsNews = Body.Received_ != Peer.Offset_;
    if (!IsNews)
      return;
    Peer.Offset_ =
        std::min<std::uint64_t>(Body.Received_, Peer.Sending_->State_.size());
    Peer.ChunkSentAt_ = TimePoint{};
  }
  sendAppend(From.From_, Peer, false);
}

void RaftCore::advanceCommit() {
  std::uint64_t Index = findQuorumValue(&Progress::Match_, Synced_);
  // Entries of earlier terms are committed only by a later entry of the
  // leader's own term.
  bool IsOwn = Index > Commit_ && Log_.findTerm(Index) == Hard_.Term_;
  if (!IsOwn)
    return;
  setCommit(Index);
  tryTransfer();
  finishChange();
}

/// Starts the lease at the newest round that a quorum has answered, and
/// completes the reads that the round confirms.
void RaftCore::advanceRounds() {
  std::uint64_t Confirmed = findQuorumValue(&Progress::AckedRound_, Round_);
  while (!Rounds_.empty() && Rounds_.front().Number_ <= Confirmed) {
    LeaseStart_ = Rounds_.front().SentAt_;
    Rounds_.pop_front();
  }
  auto Rest = std::stable_partition(
      Reads_.begin(), Reads_.end(),
      [&](const PendingRead &Read) { return Read.Round_ <= Confirmed; });
  for (auto Read = Reads_.begin(); Read != Rest; ++Read)
    finish(Read->Id_, std::nullopt, Read->Index_);
  Reads_.erase(Reads_.begin(), Rest);
}

Duration RaftCore::getTimeSinceHeard(const MemberId &Id, TimePoint Now) const {
  const auto Known = Peers_.find(Id);
  return Known == Peers_.end() ? Duration(0) : Now - Known->second.LastHeard_;
}

Duration RaftCore::getTimeSinceStored(const MemberId &Id, TimePoint Now) const {
  const auto Known = Peers_.find(Id);
  return Known == Peers_.end() ? Duration(0) : Now - Known->second.LastStored_;
}

/// Steps down if no quorum has answered within an election timeout: the others
/// may have elected a leader by then, and callers should be sent there.
void RaftCore::checkQuorum() {
  std::size_t Alive = 0;
  for (const Member &M : Log_.getMembers()) {
    if (M.Role_ != MemberRole::Voter)
      continue;
    bool IsAlive =
        M.Id_ == Settings_.Self_ ||
        Now_ - Peers_.at(M.Id_).LastHeard_ < Settings_.ElectionTimeout_;
    Alive += IsAlive ? 1 : 0;
  }
  if (Alive <= countVoters() / 2)
    becomeFollower(Hard_.Term_, std::nullopt);
}
