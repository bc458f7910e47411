//===- MajorityBootstrapTest.cpp - First starts with members that fail
//--------===//

#include "replication/MajorityBootstrap.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

using namespace tulipweir;
using namespace tulipweir::replication;
using namespace std::chrono_literals;

namespace {

/// Initial voters that start for the first time, on a network that loses,
/// delays, duplicates and reorders messages.
class MajorityNetwork {
public:
  MajorityNetwork(std::uint64_t Seed, std::vector<std::string> Names)
      : Random_(Seed), Names_(std::move(Names)) {
    for (const std::string &Name : Names_)
      startFirst(Name);
  }

  void run(Duration For) {
    for (const TimePoint End = Now_ + For; Now_ < End; Now_ += 10ms) {
      for (auto &[Name, Peer] : Nodes_)
        if (Peer.Bootstrap_ && (Now_ - TimePoint{}) % 250ms == 0ms &&
            Now_ >= Peer.BusyUntil_)
          process(Peer, Peer.Bootstrap_->tick(Now_, Peer.Local_));
      deliverSome();
    }
  }
  /// The process is killed. Its disk is kept.
  void kill(const std::string &Name) { Nodes_.at(Name).Bootstrap_.reset(); }
  /// The process starts again on its disk.
  void restart(const std::string &Name) {
    Node &Target = Nodes_.at(Name);
    Target.Bootstrap_ = std::make_unique<MajorityBootstrap>(
        Target.Id_, Target.Disk_, Settings, Now_);
  }
  /// The member starts again with an empty disk, and knows of no first start.
  void loseDisk(const std::string &Name) {
    Node &Target = Nodes_.at(Name);
    Target = Node{{Name, ++Incarnation_}, {}, {}, nullptr, {}};
    restart(Name);
  }
  /// Kills a member between the save of its state and the messages after it.
  void setCrashChance(unsigned Percent) { CrashPercent_ = Percent; }
  void setLossChance(unsigned Percent) { LossPercent_ = Percent; }
  /// How long a member handles nothing else while it saves its state.
  void setSaveTime(Duration Time) { SaveTime_ = Time; }

  /// Returns the lists of members that anybody has ever taken for chosen.
  const std::set<std::vector<Member>> &getChosen() const { return Chosen_; }
  /// Returns whether a majority of the chosen members runs and knows it.
  bool isBootstrapped() const {
    if (Chosen_.size() != 1)
      return false;
    const std::vector<Member> &Members = *Chosen_.begin();
    std::size_t Count = 0;
    for (const Member &M : Members) {
      const Node &Peer = Nodes_.at(M.Id_.Name_);
      Count += Peer.Bootstrap_ && Peer.Id_ == M.Id_ && !Peer.Local_.IsEmpty_;
    }
    return Count > Members.size() / 2;
  }
  std::uint64_t draw(std::uint64_t Below) { return Random_() % Below; }
  const std::string &drawName() { return Names_[draw(Names_.size())]; }
  bool isRunning(const std::string &Name) const {
    return Nodes_.at(Name).Bootstrap_ != nullptr;
  }

private:
  static constexpr MajorityBootstrapSettings Settings{2s, 3s};

  struct Node {
    MemberId Id_;
    BootstrapState Disk_;
    LocalState Local_;
    std::unique_ptr<MajorityBootstrap> Bootstrap_; ///< Null while it is down.
    TimePoint BusyUntil_{};
  };
  struct InFlight {
    Message Message_;
    TimePoint DueAt_;
  };

  void startFirst(const std::string &Name) {
    Nodes_[Name] =
        Node{{Name, ++Incarnation_}, {Names_, 0, 0, {}}, {}, nullptr, {}};
    restart(Name);
  }
  void process(Node &Target, MajorityBootstrapOutputs Out) {
    if (Out.State_) {
      Target.Disk_ = *Out.State_;
      Target.BusyUntil_ = Now_ + SaveTime_;
    }
    if (!Out.ChosenMembers_.empty()) {
      Chosen_.insert(Out.ChosenMembers_);
      Target.Local_ = {false, Out.ChosenMembers_};
    }
    const bool HasSaved = Out.State_ || !Out.ChosenMembers_.empty();
    if (HasSaved && draw(100) < CrashPercent_)
      return kill(Target.Id_.Name_);
    for (Message &Msg : Out.Messages_)
      if (draw(100) >= LossPercent_)
        Network_.push_back({std::move(Msg), std::max(Now_, Target.BusyUntil_)});
  }
  void deliverSome() {
    for (std::uint64_t Count = draw(4); Count > 0 && !Network_.empty();
         --Count) {
      const std::size_t At = draw(Network_.size());
      const InFlight Next = Network_[At];
      const Message &Msg = Next.Message_;
      Node &To = Nodes_.at(Msg.To_.Name_);
      if (Now_ < Next.DueAt_ || Now_ < To.BusyUntil_)
        continue;
      if (draw(4) != 0)
        Network_.erase(Network_.begin() + static_cast<std::ptrdiff_t>(At));
      if (To.Bootstrap_)
        process(To, To.Bootstrap_->receive(Msg, Now_, To.Local_));
    }
  }

  std::mt19937_64 Random_;
  const std::vector<std::string> Names_;
  TimePoint Now_{};
  std::uint64_t Incarnation_ = 0;
  unsigned CrashPercent_ = 0;
  unsigned LossPercent_ = 5;
  std::map<std::string, Node> Nodes_;
  Duration SaveTime_{};
  std::vector<InFlight> Network_;
  std::set<std::vector<Member>> Chosen_;
};

const std::vector<std::string> Three{"a", "b", "c"};

} // namespace

TEST(MajorityBootstrapTest, AllInitialVotersThatAnswerAreMembers) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    MajorityNetwork Group(Seed, Three);
    Group.run(20s);
    EXPECT_TRUE(Group.isBootstrapped()) << Seed;
  }
}

// Guards against a first start that waits without end for an initial voter that
// is gone for good, whichever it is and whenever it goes. Links lose little: a
// member that none of a proposer's requests reach counts as a second loss.
TEST(MajorityBootstrapTest, OneOfThreeGoneForGoodDoesNotPreventTheBootstrap) {
  for (std::uint64_t Seed = 1; Seed <= 600; ++Seed) {
    MajorityNetwork Group(Seed, Three);
    const std::string Gone = Group.drawName();
    Group.run(10ms * static_cast<int>(Group.draw(200)));
    Group.kill(Gone);
    Group.run(60s);
    EXPECT_TRUE(Group.isBootstrapped()) << Seed;
  }
}

// Guards against a restart during the first start that takes the right to
// bootstrap the group from the only member that had it.
TEST(MajorityBootstrapTest,
     ARestartDuringTheFirstStartDoesNotPreventTheBootstrap) {
  for (std::uint64_t Seed = 1; Seed <= 600; ++Seed) {
    MajorityNetwork Group(Seed, Three);
    const std::string Killed = Group.drawName();
    Group.run(10ms * static_cast<int>(Group.draw(200)));
    Group.kill(Killed);
    Group.run(800ms);
    Group.restart(Killed);
    Group.run(60s);
    EXPECT_TRUE(Group.isBootstrapped()) << Seed;
  }
}

// Guards against proposers that supersede each other without end because their
// disks take longer than an attempt.
TEST(MajorityBootstrapTest, SlowDisksDelayTheBootstrapButDoNotPreventIt) {
  for (const Duration Save : {300ms, 1000ms, 2000ms})
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      MajorityNetwork Group(Seed, Three);
      Group.setSaveTime(Save);
      Group.run(20s + 60 * Save);
      EXPECT_TRUE(Group.isBootstrapped()) << Seed << ", " << Save.count();
    }
}

// Guards against two groups: crashes between a promise and its answer, restarts
// and a lost disk, in any order, must not let two lists of members be chosen.
TEST(MajorityBootstrapTest, NeverChoosesTwoListsOfMembers) {
  std::size_t Bootstrapped = 0;
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    MajorityNetwork Group(Seed, Seed % 2 == 0 ? Three
                                              : std::vector<std::string>{
                                                    "a", "b", "c", "d", "e"});
    Group.setCrashChance(20);
    Group.setLossChance(30);
    const bool LosesDisk = Group.draw(2) == 0;
    for (int Turn = 0; Turn < 40; ++Turn) {
      Group.run(10ms * static_cast<int>(Group.draw(100)));
      const std::string Name = Group.drawName();
      if (LosesDisk && Turn == 10)
        Group.loseDisk(Name);
      else if (!Group.isRunning(Name))
        Group.restart(Name);
      ASSERT_LE(Group.getChosen().size(), 1U) << Seed;
    }
    Bootstrapped += Group.getChosen().size();
  }
  EXPECT_GT(Bootstrapped, 1000U);
}

// Guards against a member that forgets in a restart what it has promised or
// accepted, and so lets a second list of members be chosen.
TEST(MajorityBootstrapTest, PromisesAndAcceptancesSurviveARestart) {
  const MajorityBootstrapSettings Settings{2s, 3s};
  const std::vector<Member> Members{{{"b", 1}, MemberRole::Voter},
                                    {{"c", 1}, MemberRole::Voter}};
  const auto Send = [](MajorityBootstrap &To, decltype(Message::Body_) Body) {
    return To.receive({{"b", 1}, {"a", 0}, 0, std::move(Body)}, {}, {});
  };
  MajorityBootstrap First({"a", 1}, {Three, 0, 0, {}}, Settings, {});
  const MajorityBootstrapOutputs Promised =
      Send(First, BootstrapPrepare{512, Three});
  ASSERT_TRUE(Promised.State_);
  MajorityBootstrap Second({"a", 1}, *Promised.State_, Settings, {});
  EXPECT_TRUE(
      Send(Second, BootstrapProposal{256, Three, Members}).Messages_.empty());
  const MajorityBootstrapOutputs Accepted =
      Send(Second, BootstrapProposal{512, Three, Members});
  ASSERT_TRUE(Accepted.State_);
  MajorityBootstrap Third({"a", 1}, *Accepted.State_, Settings, {});
  const MajorityBootstrapOutputs Again =
      Send(Third, BootstrapPrepare{768, Three});
  ASSERT_EQ(Again.Messages_.size(), 1U);
  const auto &Answer = std::get<BootstrapPromise>(Again.Messages_[0].Body_);
  EXPECT_EQ(Answer.AcceptedBallot_, 512U);
  EXPECT_EQ(Answer.Accepted_, Members);
}

TEST(MajorityBootstrapTest, OneOfTwoInitialVotersBootstrapsNothing) {
  MajorityNetwork Group(1, {"a", "b"});
  Group.kill("b");
  Group.run(60s);
  EXPECT_TRUE(Group.getChosen().empty());
}

TEST(MajorityBootstrapTest, AMemberWithOtherInitialVotersIsNotAnswered) {
  const MajorityBootstrapSettings Settings{1s, 2500ms};
  MajorityBootstrap First({"a", 1}, {{"a", "b", "c"}, 0, 0, {}}, Settings, {});
  const Message Request{
      {"d", 1}, {"a", 0}, 0, BootstrapPrepare{256, {"a", "d", "e"}}};
  EXPECT_TRUE(First.receive(Request, {}, {}).Messages_.empty());
}
