#include "replication/GroupBootstrap.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::replication;

namespace {

/// Three members that start for the first time on a network that delays,
/// duplicates and reorders messages. One disk may be lost during the bootstrap.
class BootstrapNetwork {
public:
  explicit BootstrapNetwork(std::uint64_t Seed) : Random_(Seed) {
    for (const char *Name : {"a", "b", "c"})
      start(Name);
  }

  void run(bool LosesDisk) {
    std::uint64_t LostAt = LosesDisk ? Random_() % 150 : 1'000'000;
    for (std::uint64_t Turn = 0; Turn < 600; ++Turn) {
      if (Turn == LostAt)
        start(std::string(1, static_cast<char>('a' + Random_() % 3)));
      if (Turn % 10 == 0)
        for (auto &[Name, Peer] : Nodes_)
          processOutputs(Peer, Peer.Bootstrap_->ask(Peer.Local_));
      if (!Network_.empty())
        deliver();
    }
  }

  /// Returns how many running members belong to a group, and checks that it is
  /// the same group for all of them.
  int countBootstrapped() const {
    int Count = 0;
    const std::vector<Member> *Seen = nullptr;
    for (const auto &[Name, Peer] : Nodes_) {
      if (Peer.Local_.IsEmpty_)
        continue;
      ++Count;
      EXPECT_TRUE(!Seen || *Seen == Peer.Local_.InitialMembers_);
      Seen = &Peer.Local_.InitialMembers_;
    }
    return Count;
  }

private:
  struct Node {
    std::unique_ptr<GroupBootstrap> Bootstrap_;
    LocalState Local_;
  };

  void start(const std::string &Name) {
    Identity Owner{"group", {Name, ++Incarnation_}, 0};
    Nodes_[Name] = {std::make_unique<GroupBootstrap>(
                        Owner, std::vector<std::string>{"a", "b", "c"}),
                    {}};
  }
  void processOutputs(Node &Target, BootstrapOutputs Out) {
    if (!Out.BootstrapMembers_.empty())
      Target.Local_ = {false, Out.BootstrapMembers_};
    for (Message &Msg : Out.Messages_)
      Network_.push_back(std::move(Msg));
  }
  void deliver() {
    std::size_t At = Random_() % Network_.size();
    Message Msg = Network_[At];
    if (Random_() % 4 != 0)
      Network_.erase(Network_.begin() + static_cast<std::ptrdiff_t>(At));
    Node &To = Nodes_.at(Msg.To_.Name_);
    processOutputs(To, To.Bootstrap_->receive(Msg, To.Local_));
  }

  std::mt19937_64 Random_;
  std::uint64_t Incarnation_ = 0;
  std::map<std::string, Node> Nodes_;
  std::vector<Message> Network_;
};

TEST(GroupBootstrapTest, InitialVotersBootstrapOneGroup) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    BootstrapNetwork Group(Seed);
    Group.run(false);
    EXPECT_EQ(Group.countBootstrapped(), 3) << Seed;
  }
}

TEST(GroupBootstrapTest, LostDiskDuringBootstrapNeverCreatesASecondGroup) {
  int Outside = 0;
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    BootstrapNetwork Group(Seed);
    Group.run(true);
    int BootstrappedCount = Group.countBootstrapped();
    // A member that was left out is a voter and gets the log from the leader.
    EXPECT_GE(BootstrappedCount, 1) << Seed;
    Outside += BootstrappedCount < 3 ? 1 : 0;
  }
  EXPECT_GT(Outside, 100);
}

} // namespace
