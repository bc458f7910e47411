#include "replication/RaftCore.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <xxhash.h>

using namespace tulipweir;
using namespace tulipweir::replication;
using namespace std::chrono_literals;

namespace {

constexpr Duration Timeout = 100ms;
const MemberId A{"a", 1};
const MemberId B{"b", 1};
const MemberId C{"c", 1};
const MemberId D{"d", 7};

/// Drives one core by hand: member a of a group of a, b and c.
class RaftCoreTest : public testing::Test {
protected:
  RaftCoreTest() { restart({}); }

  static LogEntry makeEntry(std::uint64_t Term, std::uint64_t Index) {
    LogEntry Entry{Term, Index, EntryKind::NoOp, "", {}};
    if (Index == 1) {
      Entry.Kind_ = EntryKind::Membership;
      for (const MemberId &Id : {A, B, C})
        Entry.Members_.push_back({Id, MemberRole::Voter});
    }
    return Entry;
  }
  /// Restarts a with stored entries of the given terms and the given hard
  /// state.
  void restart(std::vector<std::uint64_t> Terms, HardState Hard = {1, {}}) {
    Checkpoint Stored;
    Stored.Hard_ = Hard;
    Terms.insert(Terms.begin(), 1);
    for (std::uint64_t Term : Terms)
      Stored.Entries_.push_back(makeEntry(Term, Stored.Entries_.size() + 1));
    CoreSettings Settings;
    Settings.Self_ = A;
    Settings.ElectionTimeout_ = Timeout;
    Settings.HeartbeatInterval_ = 20ms;
    Core_ = std::make_unique<RaftCore>(Settings, Now_, Stored);
  }
  Outputs step(decltype(Input::Event_) Event) {
    return Core_->step({Now_, std::move(Event)});
  }
  Outputs receive(const MemberId &From, std::uint64_t Term,
                  decltype(Message::Body_) Body, MemberId To = A) {
    return step(Received{{From, To, Term, std::move(Body)}});
  }
  Outputs wait(Duration For) {
    Now_ += For;
    return step(Tick{});
  }
  /// Makes a win an election with b's vote. Its first entry is at Last + 1.
  void becomeLeader() {
    wait(2 * Timeout);
    receive(B, Core_->getTerm() + 1, VoteReply{true, true});
    receive(B, Core_->getTerm(), VoteReply{false, true});
    ASSERT_EQ(Core_->getRole(), Role::Leader);
  }
  Outputs acknowledge(const MemberId &From, std::uint64_t Index,
                      std::uint64_t Round = 1) {
    return receive(From, Core_->getTerm(), AppendReply{Round, true, Index, 0});
  }
  std::uint64_t last() const { return Core_->getLog().getLastIndex(); }
  Outputs sync() { return step(Synced{Core_->getTerm(), last()}); }
  template <class Body>
  static const Body *find(const std::vector<Message> &In) {
    for (const Message &Msg : In)
      if (const auto *Found = std::get_if<Body>(&Msg.Body_))
        return Found;
    return nullptr;
  }
  bool isGranted(const Outputs &Out) {
    const auto *Reply = find<VoteReply>(Out.MessagesAfterSync_);
    return Reply && Reply->Granted_;
  }

  TimePoint Now_{1h};
  std::unique_ptr<RaftCore> Core_;
};

TEST_F(RaftCoreTest, VotesOnceInATermAlsoAfterARestart) {
  wait(Timeout);
  Outputs First = receive(B, 2, VoteRequest{false, false, 1, 1});
  EXPECT_TRUE(isGranted(First));
  EXPECT_EQ(First.Hard_, (HardState{2, B}));
  EXPECT_FALSE(find<VoteReply>(First.MessagesBeforeSync_));
  EXPECT_FALSE(isGranted(receive(C, 2, VoteRequest{false, false, 1, 1})));
  restart({}, *First.Hard_);
  wait(Timeout);
  EXPECT_FALSE(isGranted(receive(C, 2, VoteRequest{false, false, 1, 1})));
  EXPECT_TRUE(isGranted(receive(B, 2, VoteRequest{false, false, 1, 1})));
}

TEST_F(RaftCoreTest, VotesOnlyForALogThatIsAsNew) {
  struct Case {
    std::uint64_t Index_, Term_;
    bool Granted_;
  };
  for (const Case &TestCase :
       {Case{2, 2, false}, Case{9, 2, false}, Case{2, 3, false},
        Case{3, 3, true}, Case{1, 4, true}}) {
    restart({3, 3}, {3, {}});
    wait(Timeout);
    VoteRequest Request{false, false, TestCase.Index_, TestCase.Term_};
    EXPECT_EQ(isGranted(receive(B, 5, Request)), TestCase.Granted_);
  }
}

TEST_F(RaftCoreTest, RefusesVotesAndTheirTermsAfterHearingALeader) {
  for (bool IsPreVote : {true, false}) {
    restart({});
    wait(Timeout);
    receive(B, 1, AppendRequest{1, 1, 1, 1, {}});
    Now_ += Timeout - 1ms;
    VoteRequest Request{IsPreVote, false, 1, 1};
    EXPECT_FALSE(isGranted(receive(C, 2, Request)));
    EXPECT_EQ(Core_->getTerm(), 1U);
    Now_ += 1ms;
    EXPECT_TRUE(isGranted(receive(C, 2, Request)));
  }
}

TEST_F(RaftCoreTest, RefusesVotesAfterItsStartAsIfItHadHeardALeader) {
  Now_ += Timeout - 1ms;
  EXPECT_FALSE(isGranted(receive(C, 2, VoteRequest{false, false, 1, 1})));
}

TEST_F(RaftCoreTest, IsolatedMemberDoesNotRaiseItsTerm) {
  for (int I = 0; I < 20; ++I)
    wait(Timeout);
  EXPECT_EQ(Core_->getTerm(), 1U);
  EXPECT_EQ(Core_->getRole(), Role::PreCandidate);
}

TEST_F(RaftCoreTest, LeaseRunsFromTheSendingWithAMarginForDrift) {
  becomeLeader();
  TimePoint Sent = Now_;
  Now_ += 30ms;
  sync();
  acknowledge(B, last());
  EXPECT_EQ(Core_->getLeaseEnd(), Sent + Timeout * 7 / 8);
  wait(1ms);
  acknowledge(C, last(), 2);
  EXPECT_EQ(Core_->getLeaseEnd(), Sent + 31ms + Timeout * 7 / 8);
}

TEST_F(RaftCoreTest, LeaseEndsForTheTermWhenLeadershipIsTransferred) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  ASSERT_GT(Core_->getLeaseEnd(), Now_);
  EXPECT_TRUE(find<TimeoutNow>(step(TransferRequested{5}).MessagesAfterSync_));
  EXPECT_LT(Core_->getLeaseEnd(), Now_);
  // The target does not take over; its late election must find no lease.
  wait(Timeout - 1ms);
  acknowledge(B, last(), 2);
  EXPECT_LT(Core_->getLeaseEnd(), Now_);
  Outputs Out = wait(1ms);
  EXPECT_EQ(Out.Finished_.at(0).Error_->Code_, ErrorCode::Timeout);
  EXPECT_NE(Core_->getRole(), Role::Leader);
}

TEST_F(RaftCoreTest, LeaderWithoutAQuorumStepsDown) {
  becomeLeader();
  wait(Timeout - 1ms);
  EXPECT_EQ(Core_->getRole(), Role::Leader);
  wait(1ms);
  EXPECT_NE(Core_->getRole(), Role::Leader);
}

TEST_F(RaftCoreTest, OlderEntriesAreCommittedOnlyByOneOfTheOwnTerm) {
  restart({2, 2}, {2, {}});
  becomeLeader();
  sync();
  EXPECT_TRUE(acknowledge(B, 3).Committed_.empty());
  EXPECT_EQ(acknowledge(B, 4).Committed_.size(), 4U);
}

TEST_F(RaftCoreTest, LeaderCountsItselfOnlyOnceSynced) {
  becomeLeader();
  EXPECT_TRUE(acknowledge(B, last()).Committed_.empty());
  EXPECT_FALSE(sync().Committed_.empty());
}

TEST_F(RaftCoreTest, TransfersLeadershipOnlyToTheNamedVoter) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  Outputs Unknown = step(TransferRequested{5, "d"});
  ASSERT_EQ(Unknown.Finished_.size(), 1U);
  EXPECT_EQ(Unknown.Finished_[0].Error_->Code_, ErrorCode::Unavailable);
  step(TransferRequested{6, "c"});
  EXPECT_FALSE(find<TimeoutNow>(acknowledge(B, last()).MessagesAfterSync_));
  Outputs Out = acknowledge(C, last());
  ASSERT_TRUE(find<TimeoutNow>(Out.MessagesAfterSync_));
  for (const Message &Msg : Out.MessagesAfterSync_)
    EXPECT_TRUE(!std::holds_alternative<TimeoutNow>(Msg.Body_) || Msg.To_ == C);
}

TEST_F(RaftCoreTest, FollowerAnswersOnlyAfterTheSync) {
  AppendRequest Request{1, 1, 1, 0, {makeEntry(1, 2)}};
  Outputs Out = receive(B, 1, Request);
  EXPECT_EQ(Out.Appended_.size(), 1U);
  EXPECT_FALSE(find<AppendReply>(Out.MessagesBeforeSync_));
  ASSERT_TRUE(find<AppendReply>(Out.MessagesAfterSync_));
  EXPECT_TRUE(find<AppendReply>(Out.MessagesAfterSync_)->Accepted_);
}

TEST_F(RaftCoreTest, FollowerAcknowledgesEachRoundBeforeTheSync) {
  AppendRequest Request{1, 1, 1, 0, {makeEntry(1, 2)}};
  Outputs Out = receive(B, 1, Request);
  ASSERT_TRUE(find<RoundAck>(Out.MessagesBeforeSync_));
  EXPECT_EQ(find<RoundAck>(Out.MessagesBeforeSync_)->Round_, 1U);
  EXPECT_FALSE(find<RoundAck>(receive(B, 1, Request).MessagesBeforeSync_));
  Request.Round_ = 2;
  EXPECT_TRUE(find<RoundAck>(receive(B, 1, Request).MessagesBeforeSync_));
  // The next leader's rounds start at one again.
  Request.Round_ = 1;
  EXPECT_TRUE(find<RoundAck>(receive(C, 2, Request).MessagesBeforeSync_));
}

TEST_F(RaftCoreTest, RoundAcksKeepTheLeaderAndCommitNothing) {
  becomeLeader();
  sync();
  const std::uint64_t Commit = Core_->getCommit();
  for (std::uint64_t Round = 1; Round < 20; ++Round) {
    receive(B, Core_->getTerm(), RoundAck{Round});
    wait(Timeout / 2);
  }
  EXPECT_EQ(Core_->getRole(), Role::Leader);
  EXPECT_EQ(Core_->getCommit(), Commit);
  wait(Timeout);
  EXPECT_EQ(Core_->getRole(), Role::Follower);
}

// Guards against a member whose disk hangs forever counting as live: round
// acknowledgements do not need the disk.
TEST_F(RaftCoreTest, MemberWithAHangingDiskIsHeardButStoresNothing) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  for (std::uint64_t Round = 1; Round <= 20; ++Round) {
    wait(Timeout / 4);
    receive(B, Core_->getTerm(), RoundAck{Round});
  }
  EXPECT_EQ(Core_->getTimeSinceHeard(B, Now_), Duration(0));
  EXPECT_EQ(Core_->getTimeSinceStored(B, Now_), 5 * Timeout);
  acknowledge(B, last());
  EXPECT_EQ(Core_->getTimeSinceStored(B, Now_), Duration(0));
  // Leadership is not transferred to such a member either.
  for (std::uint64_t Round = 21; Round <= 30; ++Round) {
    wait(Timeout / 4);
    receive(B, Core_->getTerm(), RoundAck{Round});
  }
  EXPECT_EQ(step(TransferRequested{5}).Finished_.size(), 1U);
}

TEST_F(RaftCoreTest, FollowerCommitsOnlyEntriesThatTheMessageCovers) {
  restart({2, 2}, {3, {}});
  receive(B, 3, AppendRequest{1, 1, 1, 3, {}});
  EXPECT_EQ(Core_->getCommit(), 1U);
}

TEST_F(RaftCoreTest, FollowerReplacesWhatConflicts) {
  restart({2, 2}, {3, {}});
  Outputs Wrong = receive(B, 3, AppendRequest{1, 3, 3, 1, {}});
  EXPECT_FALSE(find<AppendReply>(Wrong.MessagesAfterSync_)->Accepted_);
  Outputs Out = receive(B, 3, AppendRequest{1, 1, 1, 2, {makeEntry(3, 2)}});
  EXPECT_EQ(Out.Appended_.size(), 1U);
  EXPECT_EQ(last(), 2U);
  EXPECT_EQ(Core_->getLog().getLastTerm(), 3U);
}

TEST_F(RaftCoreTest, ReadIsConfirmedOnlyByARoundBegunAfterIt) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  step(ReadRequested{{9}});
  EXPECT_TRUE(acknowledge(B, last(), 1).Finished_.empty());
  Outputs Out = acknowledge(C, last(), 2);
  ASSERT_EQ(Out.Finished_.size(), 1U);
  EXPECT_EQ(Out.Finished_[0].ReadIndex_, last());
}

TEST_F(RaftCoreTest, MembershipChangesAreSequentialAndFollowAnEntryOfTheTerm) {
  receive(B, 1, AppendRequest{1, 1, 1, 1, {}});
  ASSERT_EQ(Core_->getCommit(), 1U);
  becomeLeader();
  step(ChangeRequested{1, ChangeKind::AddLearner, D});
  EXPECT_EQ(Core_->getLog().getMembers().size(), 3U);
  sync();
  acknowledge(B, last());
  EXPECT_EQ(Core_->getLog().getMembers().size(), 4U);
  Outputs Second = step(ChangeRequested{2, ChangeKind::Remove, C});
  EXPECT_EQ(Second.Finished_.at(0).Error_->Code_, ErrorCode::Conflict);
  sync();
  Outputs Out = acknowledge(B, last());
  EXPECT_FALSE(Out.Finished_.at(0).Error_);
}

TEST_F(RaftCoreTest, LearnerIsPromotedOnlyOnceItHoldsTheLog) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  step(ChangeRequested{1, ChangeKind::AddLearner, D});
  sync();
  acknowledge(B, last());
  std::uint64_t Before = last();
  step(ChangeRequested{2, ChangeKind::Promote, D});
  acknowledge(D, Before - 1);
  EXPECT_EQ(last(), Before);
  acknowledge(D, Before);
  EXPECT_EQ(last(), Before + 1);
}

TEST_F(RaftCoreTest, LeaderThatWasRemovedStepsDownOnceThatIsCommitted) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  step(ChangeRequested{1, ChangeKind::Remove, A});
  acknowledge(B, last());
  EXPECT_EQ(Core_->getRole(), Role::Leader);
  acknowledge(C, last());
  EXPECT_NE(Core_->getRole(), Role::Leader);
}

TEST_F(RaftCoreTest, MessagesForAnotherIncarnationAreIgnored) {
  wait(Timeout);
  Outputs Out = receive(B, 2, VoteRequest{false, false, 1, 1}, {"a", 2});
  EXPECT_TRUE(Out.MessagesAfterSync_.empty());
  EXPECT_EQ(Core_->getTerm(), 1U);
}

static SnapshotChunk makeChunk(std::uint64_t Index, std::uint64_t Term) {
  SnapshotChunk Chunk;
  Chunk.Index_ = Index;
  Chunk.LastTerm_ = Term;
  Chunk.Members_ = {{A, MemberRole::Voter}};
  Chunk.Bytes_ = "abc";
  Chunk.Total_ = Chunk.Bytes_.size();
  Chunk.Digest_ = XXH3_64bits(Chunk.Bytes_.data(), Chunk.Bytes_.size());
  return Chunk;
}

TEST_F(RaftCoreTest, InstalledSnapshotReplacesALogThatDiffers) {
  for (std::uint64_t Term : {2, 3}) {
    restart({2, 2}, {3, {}});
    Outputs Out = receive(B, 3, makeChunk(2, Term));
    EXPECT_EQ(Out.Restore_->State_, "abc");
    EXPECT_EQ(Core_->getCommit(), 2U);
    EXPECT_EQ(last(), Term == 2 ? 3U : 2U);
    EXPECT_EQ(Out.Checkpoint_->Entries_.size(), last() - 2);
  }
}

TEST_F(RaftCoreTest, DamagedSnapshotIsNotInstalled) {
  SnapshotChunk Chunk = makeChunk(9, 1);
  ++Chunk.Digest_;
  Outputs Out = receive(B, 1, Chunk);
  EXPECT_FALSE(Out.Restore_);
  EXPECT_FALSE(find<SnapshotReply>(Out.MessagesAfterSync_)->Installed_);
}

} // namespace

// Guards against a follower that answers but stores slowly: the entries that it
// still lacks, however large, may not fill the leader's memory and disk.
TEST_F(RaftCoreTest, EntriesKeptForASlowFollowerAreBoundedInBytes) {
  constexpr std::uint64_t MaxRetained = 32U << 20;
  becomeLeader();
  sync();
  acknowledge(C, last());
  const std::uint64_t Stored = last();
  for (int I = 0; I < 650; ++I) {
    step(Proposed{{{1, std::string(150'000, 'x')}}});
    sync();
    acknowledge(B, last());
    acknowledge(C, Stored);
    if (I % 20 == 19)
      step(SnapshotTaken{Core_->getCommit(), "state", Core_->getCommit()});
    // At first it lacks so little that it needs no snapshot.
    if (I < 25) {
      ASSERT_LE(Core_->getLog().getBaseIndex(), Stored);
    }
    ASSERT_LE(Core_->getLog().countBytes(), MaxRetained);
  }
}

// Guards against an entry that stands in memory once for each queue it is in: a
// log near its bound would need several times that bound.
TEST_F(RaftCoreTest, TheOutputsShareTheBytesOfTheLog) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  const Outputs Sent = step(Proposed{{{1, std::string(150'000, 'x')}}});
  const char *Bytes = Core_->getLog().at(last()).Command_.view().data();
  const auto IsShared = [Bytes](const std::vector<LogEntry> &Entries) {
    return !Entries.empty() && Entries.back().Command_.view().data() == Bytes;
  };
  EXPECT_TRUE(IsShared(Sent.Appended_));
  const auto *Request = find<AppendRequest>(Sent.MessagesBeforeSync_);
  ASSERT_TRUE(Request);
  EXPECT_TRUE(IsShared(Request->Entries_));
  sync();
  const Outputs Committed = acknowledge(B, last());
  EXPECT_TRUE(IsShared(Committed.Committed_));
  const Outputs Cut = step(SnapshotTaken{last(), "state", last() - 1});
  ASSERT_TRUE(Cut.Checkpoint_);
  EXPECT_TRUE(IsShared(Cut.Checkpoint_->Entries_));
}

// Guards against a follower's queue that is bounded by the number of messages
// alone: large entries that wait there for its disk would fill its memory.
TEST_F(RaftCoreTest, EntriesInFlightToAMemberAreBoundedInBytes) {
  constexpr std::uint64_t MaxInFlight = 8U << 20;
  becomeLeader();
  sync();
  acknowledge(B, last());
  const std::uint64_t First = last() + 1;
  std::uint64_t Sent = 0;
  const auto Count = [&Sent](const Outputs &Out) {
    for (const Message &Msg : Out.MessagesBeforeSync_)
      if (const auto *Request = std::get_if<AppendRequest>(&Msg.Body_);
          Request && Msg.To_ == B)
        for (const LogEntry &Entry : Request->Entries_)
          Sent += Entry.Command_.size();
  };
  for (int I = 0; I < 100; ++I) {
    Count(step(Proposed{{{1, std::string(150'000, 'x')}}}));
    Count(sync());
    Count(acknowledge(C, last()));
  }
  EXPECT_GT(Sent, 0U);
  EXPECT_LE(Sent, MaxInFlight);
  // Each confirmation lets further entries follow.
  for (std::uint64_t Index = First; Index <= last(); ++Index)
    Count(acknowledge(B, Index));
  EXPECT_EQ(Sent, 100U * 150'000U);
}

// Guards against a leader that is still heard while no majority stores: its
// uncommitted entries, which no snapshot can replace, would fill its memory.
TEST_F(RaftCoreTest, ProposalsAreRefusedOnceTooMuchIsUncommitted) {
  constexpr std::uint64_t MaxRetained = 32U << 20;
  becomeLeader();
  sync();
  acknowledge(B, last());
  std::size_t Refused = 0;
  for (int I = 0; I < 650; ++I) {
    const Outputs Out = step(Proposed{{{7, std::string(150'000, 'x')}}});
    ASSERT_EQ(Out.Accepted_.size() + Out.Finished_.size(), 1U);
    for (const Finished &End : Out.Finished_) {
      EXPECT_EQ(End.Error_->Code_, ErrorCode::NotLeader);
      ++Refused;
    }
  }
  EXPECT_EQ(Core_->getRole(), Role::Leader);
  EXPECT_LE(Core_->getLog().countBytes(), MaxRetained);
  EXPECT_EQ(Core_->countRefusedProposals(), Refused);
  sync();
  acknowledge(B, last());
  EXPECT_EQ(step(Proposed{{{8, "small"}}}).Accepted_.size(), 1U);
}

// An entry larger than the bound is accepted as soon as it waits for nothing.
TEST_F(RaftCoreTest, ACommandOfAnySizeIsAccepted) {
  becomeLeader();
  sync();
  acknowledge(B, last());
  const std::string Large(CoreSettings().MaxLogBytes_ + 1, 'x');
  EXPECT_EQ(step(Proposed{{{7, Large}}}).Accepted_.size(), 1U);
  EXPECT_EQ(step(Proposed{{{8, "small"}}}).Accepted_.size(), 0U);
  sync();
  acknowledge(B, last());
  EXPECT_EQ(step(Proposed{{{9, "small"}}}).Accepted_.size(), 1U);
}
