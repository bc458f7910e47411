//===- SlowDiskTest.cpp - Elections on disks that are slow ----------------===//
//
// Three cores whose writes each take a set time, as with a disk that others
// keep busy. What a write waits for, and what waits for a write, is as in
// LogWriter: what queued up meanwhile goes in one.
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
    LogEntry Founding{1, 1, EntryKind::Membership, "", {}};
    for (const char *Name : {"a", "b", "c"})
      Founding.Members_.push_back({{Name, 1}, MemberRole::Voter});
    Stored.Hard_ = {1, {}};
    Stored.Entries_ = {Founding};
    for (const Member &Each : Founding.Members_) {
      CoreSettings Settings;
      Settings.Self_ = Each.Id_;
      Settings.ElectionTimeout_ = ElectionTimeout;
      Settings.HeartbeatInterval_ = ElectionTimeout / 5;
      Settings.Seed_ = static_cast<unsigned char>(Each.Id_.Name_[0]);
      Nodes_[Each.Id_].Core_ =
          std::make_unique<RaftCore>(Settings, Now_, Stored);
    }
  }

  void run(Duration For) {
    for (const TimePoint End = Now_ + For; Now_ < End; Now_ += 1ms) {
      for (auto &[Id, Each] : Nodes_) {
        completeWrite(Each);
        step(Each, Tick{});
      }
    }
  }
  /// The term in which some member has committed an entry of its own.
  std::uint64_t findActingTerm() const {
    for (const auto &[Id, Each] : Nodes_)
      if (Each.Core_->getRole() == Role::Leader && Each.Core_->getCommit() > 1)
        return Each.Core_->getTerm();
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

  void step(Node &Which, decltype(Input::Event_) Event) {
    Outputs Out = Which.Core_->step({Now_, std::move(Event)});
    Write Next;
    Next.Messages_ = std::move(Out.Late_);
    Next.IsSlow_ = Out.Hard_ || !Out.Appended_.empty();
    if (!Out.Appended_.empty())
      Next.Mark_ =
          Synced{Out.Appended_.back().Term_, Out.Appended_.back().Index_};
    if (Next.IsSlow_ || !Next.Messages_.empty())
      Which.Queued_.push_back(std::move(Next));
    deliver(Out.Early_);
  }
  void deliver(const std::vector<Message> &Messages) {
    for (const Message &Each : Messages)
      step(Nodes_.at(Each.To_), Received{Each});
  }
  void completeWrite(Node &Which) {
    if (!Which.Writing_.empty() && Now_ >= Which.DoneAt_)
      for (Write &Each : std::exchange(Which.Writing_, {})) {
        deliver(Each.Messages_);
        if (Each.Mark_)
          step(Which, *Each.Mark_);
      }
    if (!Which.Writing_.empty() || Which.Queued_.empty())
      return;
    Which.Writing_ = std::exchange(Which.Queued_, {});
    const bool IsSlow =
        std::any_of(Which.Writing_.begin(), Which.Writing_.end(),
                    [](const Write &Each) { return Each.IsSlow_; });
    Which.DoneAt_ = Now_ + (IsSlow ? Sync_ : 0ms);
  }

  const Duration Sync_;
  TimePoint Now_{};
  std::map<MemberId, Node> Nodes_;
};

} // namespace

TEST(SlowDiskTest, AGroupWhoseDisksAreSlowFindsALeaderAndKeepsIt) {
  // An election takes two writes: the candidate's vote for itself, then a
  // voter's. From half an election timeout on they outlast an unhurried one.
  for (const Duration Sync : {10ms, 40ms, 60ms, 75ms, 90ms}) {
    SlowDisks Group(Sync);
    Group.run(40 * ElectionTimeout);
    const std::uint64_t Term = Group.findActingTerm();
    EXPECT_NE(Term, 0U) << Sync.count();
    EXPECT_LE(Term, 12U) << Sync.count();
    Group.run(20 * ElectionTimeout);
    EXPECT_EQ(Group.findActingTerm(), Term) << Sync.count();
  }
}
