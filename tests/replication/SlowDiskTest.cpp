//===- SlowDiskTest.cpp - Elections on slow disks ------------------------===//
//
// Three cores whose writes each take a fixed time, as on a disk that other
// processes keep busy. Writes are ordered as in LogWriter: jobs that are
// queued during a write are written together afterwards.
//
//===----------------------------------------------------------------------===//

#include "replication/RaftCore.h"

#include <gtest/gtest.h>

#include <map>

using namespace tulipweir;
using namespace tulipweir::replication;
using namespace std::chrono_literals;

namespace {

constexpr Duration ElectionTimeout = 100ms;

class SlowDisks {
public:
  explicit SlowDisks(Duration Sync) : Sync_(Sync) {
    Checkpoint Stored;
    LogEntry Bootstrap{1, 1, EntryKind::Membership, "", {}};
    for (const char *Name : {"a", "b", "c"})
      Bootstrap.Members_.push_back({{Name, 1}, MemberRole::Voter});
    Stored.Hard_ = {1, {}};
    Stored.Entries_ = {Bootstrap};
    for (const Member &M : Bootstrap.Members_) {
      CoreSettings Settings;
      Settings.Self_ = M.Id_;
      Settings.ElectionTimeout_ = ElectionTimeout;
      Settings.HeartbeatInterval_ = ElectionTimeout / 5;
      Settings.Seed_ = static_cast<unsigned char>(M.Id_.Name_[0]);
      Nodes_[M.Id_].Core_ = std::make_unique<RaftCore>(Settings, Now_, Stored);
    }
  }

  void run(Duration For) {
    for (const TimePoint End = Now_ + For; Now_ < End; Now_ += 1ms) {
      for (auto &[Id, Peer] : Nodes_) {
        completeWrite(Peer);
        step(Peer, Tick{});
        if (HasLoad_ && Peer.Core_->getRole() == Role::Leader)
          step(Peer, Proposed{{{++LastProposal_, "a command"}}});
      }
    }
  }
  /// Proposes a command each millisecond, so that a write is always in
  /// progress.
  void load() { HasLoad_ = true; }
  /// Returns the commit index of the acting leader; 0 without one.
  std::uint64_t findCommit() const {
    for (const auto &[Id, Peer] : Nodes_)
      if (Peer.Core_->getRole() == Role::Leader)
        return Peer.Core_->getCommit();
    return 0;
  }
  /// Returns the term of a leader that has committed an entry of its own; 0
  /// without one.
  std::uint64_t findLeaderTerm() const {
    for (const auto &[Id, Peer] : Nodes_)
      if (Peer.Core_->getRole() == Role::Leader && Peer.Core_->getCommit() > 1)
        return Peer.Core_->getTerm();
    return 0;
  }

private:
  struct Write {
    std::vector<Message> Messages_;
    std::optional<Synced> Mark_;
    bool IsSlow_ = false;
  };
  struct Node {
    std::unique_ptr<RaftCore> Core_;
    std::vector<Write> Queued_;
    std::vector<Write> Writing_;
    TimePoint DoneAt_{};
  };

  void step(Node &Target, decltype(Input::Event_) Event) {
    Outputs Out = Target.Core_->step({Now_, std::move(Event)});
    Write Next;
    Next.Messages_ = std::move(Out.MessagesAfterSync_);
    Next.IsSlow_ = Out.Hard_ || !Out.Appended_.empty();
    if (!Out.Appended_.empty())
      Next.Mark_ =
          Synced{Out.Appended_.back().Term_, Out.Appended_.back().Index_};
    if (Next.IsSlow_ || !Next.Messages_.empty())
      Target.Queued_.push_back(std::move(Next));
    deliver(Out.MessagesBeforeSync_);
  }
  void deliver(const std::vector<Message> &Messages) {
    for (const Message &Msg : Messages)
      step(Nodes_.at(Msg.To_), Received{Msg});
  }
  void completeWrite(Node &Target) {
    if (!Target.Writing_.empty() && Now_ >= Target.DoneAt_)
      for (Write &Job : std::exchange(Target.Writing_, {})) {
        deliver(Job.Messages_);
        if (Job.Mark_)
          step(Target, *Job.Mark_);
      }
    if (!Target.Writing_.empty() || Target.Queued_.empty())
      return;
    Target.Writing_ = std::exchange(Target.Queued_, {});
    const bool IsSlow =
        std::any_of(Target.Writing_.begin(), Target.Writing_.end(),
                    [](const Write &Job) { return Job.IsSlow_; });
    Target.DoneAt_ = Now_ + (IsSlow ? Sync_ : 0ms);
  }

  const Duration Sync_;
  bool HasLoad_ = false;
  std::uint64_t LastProposal_ = 0;
  TimePoint Now_{};
  std::map<MemberId, Node> Nodes_;
};

} // namespace

TEST(SlowDiskTest, AGroupWithSlowDisksElectsALeaderAndKeepsIt) {
  // An election takes two writes: the candidate's vote for itself, then a
  // voter's. Together they outlast the initial election deadline once each
  // takes half an election timeout.
  for (const Duration Sync : {10ms, 40ms, 60ms, 75ms, 90ms}) {
    SlowDisks Group(Sync);
    Group.run(40 * ElectionTimeout);
    const std::uint64_t Term = Group.findLeaderTerm();
    EXPECT_NE(Term, 0U) << Sync.count();
    EXPECT_LE(Term, 12U) << Sync.count();
    Group.run(20 * ElectionTimeout);
    EXPECT_EQ(Group.findLeaderTerm(), Term) << Sync.count();
  }
}

// Guards against slow disks deposing the leader. Followers once acknowledged
// the leader only after their disks had synced everything before; a sync longer
// than the election timeout (500 ms) then made each leader step down as
// unheard. In ControlFaults.TheLeaderIsFrozenForLongerThanEveryLease the term
// rose from 4 to 28 within 90 s, one leader each 3.7 s, with all processes
// running. A slow disk may delay commits but must not depose the leader.
TEST(SlowDiskTest, SlowDisksDoNotDeposeTheLeader) {
  for (const Duration Sync : {60ms, 90ms, 110ms, 150ms, 180ms}) {
    SlowDisks Group(Sync);
    Group.run(60 * ElectionTimeout);
    const std::uint64_t Term = Group.findLeaderTerm();
    ASSERT_NE(Term, 0U) << Sync.count();
    const std::uint64_t Before = Group.findCommit();
    Group.load();
    Group.run(60 * ElectionTimeout);
    EXPECT_EQ(Group.findLeaderTerm(), Term) << Sync.count();
    EXPECT_GT(Group.findCommit(), Before + 100) << Sync.count();
  }
}
