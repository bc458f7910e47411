//===- MembershipTest.cpp - Bootstrap, join and replacement of members ----===//

#include "jobservice/NodeCluster.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;

TEST_F(NodeCluster, ThreeNodesBootstrapOneGroup) {
  for (const int Node : {3, 1, 2})
    start(Node, {1, 2, 3}, true);
  EXPECT_TRUE(putConfiguration(7));
  EXPECT_TRUE(waitFor([this] { return readVersion() == 7; }));
  EXPECT_TRUE(waitFor([this] { return listVoters() == namesOf({1, 2, 3}); }));
}

TEST_F(NodeCluster, FiveNodesWithThreeSeedsBecomeFiveVoters) {
  for (const int Node : {5, 4, 3, 2, 1})
    start(Node, {1, 2, 3}, true, 5);
  EXPECT_TRUE(waitFor([this] {
    return listVoters() == namesOf({1, 2, 3, 4, 5});
  }));
}

TEST_F(NodeCluster, EightNodesKeepFiveVotersAfterLosingTwo) {
  for (int Node = 1; Node <= 8; ++Node)
    start(Node, {2, 5, 7}, true, 5);
  ASSERT_TRUE(waitFor([this] { return listVoters().size() == 5; }));
  EXPECT_TRUE(putConfiguration(3));
  const std::vector<std::string> Before = listVoters();
  int Stopped = 0;
  for (int Node = 1; Node <= 8 && Stopped < 2; ++Node)
    if (std::count(Before.begin(), Before.end(), nameOf(Node)) != 0) {
      stop(Node);
      ++Stopped;
    }
  EXPECT_TRUE(waitFor([this] { return readVersion() == 3; }));
  // Other nodes replace the two lost voters.
  EXPECT_TRUE(waitFor([&] {
    const std::vector<std::string> Now = listVoters();
    return Now.size() == 5 && Now != Before;
  }));
}

// Guards against a group that ends with one data centre.
TEST_F(NodeCluster, VotersAreSpreadOverDataCentres) {
  DataCentres_ = {{1, "north"}, {2, "north"}, {3, "north"}, {4, "north"},
                  {5, "south"}, {6, "west"},  {7, "east"}};
  for (int Node = 1; Node <= 7; ++Node)
    start(Node, {1, 2, 3}, true, 5);
  EXPECT_TRUE(waitFor([this] {
    const std::vector<std::string> Voters = listVoters();
    const auto North = std::count_if(
        Voters.begin(), Voters.end(), [this](const std::string &Name) {
          return Name == nameOf(1) || Name == nameOf(2) || Name == nameOf(3) ||
                 Name == nameOf(4);
        });
    return Voters.size() == 5 && North <= 2;
  }));
}

// Guards against orders and reads that depend on the operator's way to the
// leader.
TEST_F(NodeCluster, EveryMemberAnswersTheOperator) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  ASSERT_TRUE(waitFor([this] { return findLeader() != 0; }));
  jobs::Configuration Next;
  Next.Version_ = 1;
  Next.Services_ = {{"s", false, false}};
  for (auto &[Node, Control] : Nodes_) {
    ++Next.Version_;
    // An election may begin in between.
    EXPECT_TRUE(waitFor([&, Control = Control.get()] {
      std::promise<bool> Accepted;
      Control->putConfiguration(Next, [&Accepted](const Outcome<void> &Result) {
        Accepted.set_value(Result.has_value());
      });
      return Accepted.get_future().get();
    })) << Node;
    for (auto &[Other, Reader] : Nodes_)
      EXPECT_TRUE(waitFor([&, Reader = Reader.get()] {
        std::promise<std::uint64_t> Version;
        Reader->readConfiguration(
            [&Version](const Outcome<jobs::Configuration> &Result) {
              Version.set_value(Result ? Result.value().Version_ : 0);
            });
        return Version.get_future().get() == Next.Version_;
      })) << Other;
  }
}

TEST_F(NodeCluster, NodeWithALostDiskRejoins) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(4));
  const int Lost = findLeader() == 1 ? 2 : 1;
  stop(Lost);
  loseDisk(Lost);
  start(Lost, {1, 2, 3}, false);
  EXPECT_TRUE(waitFor([&] {
    const auto Status = Nodes_.at(Lost)->getStatus();
    return listVoters() == namesOf({1, 2, 3}) && Status.AppliedIndex_ > 0;
  }));
  EXPECT_EQ(readVersion(), 4U);
}

TEST_F(NodeCluster, NodeAtANewAddressReplacesALostOne) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(4));
  const int Stopped = findLeader() == 3 ? 2 : 3;
  stop(Stopped);
  start(4, {1, 2, 3}, false);
  std::vector<int> Remaining = {1, 2, 3, 4};
  std::erase(Remaining, Stopped);
  EXPECT_TRUE(waitFor([&] { return listVoters() == namesOf(Remaining); }));
  // The group survives another loss.
  stop(findLeader());
  EXPECT_TRUE(waitFor([this] { return readVersion() == 4; }));
}

TEST_F(NodeCluster, NodeThatKnowsOnlyAFollowerJoins) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  const int Follower = findLeader() == 1 ? 2 : 1;
  const int Other = 6 - Follower - findLeader();
  stop(Other);
  start(4, {Follower}, false);
  EXPECT_TRUE(waitFor([&] {
    const std::vector<std::string> Now = listVoters();
    return std::count(Now.begin(), Now.end(), nameOf(4)) == 1;
  }));
}

TEST_F(NodeCluster, RemovedMemberRejoins) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(1));
  const int Removed = findLeader() == 1 ? 2 : 1;
  stop(Removed);
  start(4, {1, 2, 3}, false);
  ASSERT_TRUE(waitFor([&] {
    const std::vector<std::string> Now = listVoters();
    return Now.size() == 3 &&
           std::count(Now.begin(), Now.end(), nameOf(Removed)) == 0;
  }));
  start(Removed, {1, 2, 3}, false);
  EXPECT_TRUE(waitFor([&] {
    const int Leader = findLeader();
    return Leader != 0 && Nodes_.at(Leader)->getStatus().Members_.size() == 4;
  }));
}

TEST_F(NodeCluster, StateSurvivesAFullRestart) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, true);
  ASSERT_TRUE(putConfiguration(9));
  for (const int Node : {1, 2, 3})
    stop(Node);
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, false);
  EXPECT_TRUE(waitFor([this] { return readVersion() == 9; }));
}

TEST_F(NodeCluster, NodesThatMayNotBootstrapWaitForAGroup) {
  for (const int Node : {1, 2, 3})
    start(Node, {1, 2, 3}, false);
  // One second is long enough for some hundred requests between the nodes.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  EXPECT_EQ(findLeader(), 0);
  EXPECT_EQ(readVersion(), 0U);
}

namespace {

/// A replica that reports a disk failure.
class FailedReplica : public replication::Replica {
public:
  void propose(std::string, AppliedCallback Done) override {
    Done(fail(ErrorCode::Unavailable, "failed"));
  }
  void receive(std::string) override {}
  void confirmLeadership(std::function<void(Outcome<void>)> Done) override {
    Done(fail(ErrorCode::Unavailable, "failed"));
  }
  std::optional<std::uint64_t> findLeaseTerm(TimePoint) const override {
    return std::nullopt;
  }
  replication::ReplicaStatus getStatus() const override {
    replication::ReplicaStatus Status;
    Status.Failure_ = "no space left";
    return Status;
  }
  void addLearner(replication::MemberId,
                  std::function<void(Outcome<void>)>) override {}
  void promote(replication::MemberId,
               std::function<void(Outcome<void>)>) override {}
  void remove(replication::MemberId,
              std::function<void(Outcome<void>)>) override {}
  void transferLeadership(std::function<void(Outcome<void>)>) override {}
  void transferLeadershipTo(std::string,
                            std::function<void(Outcome<void>)>) override {}
  void stop() override {}
};

/// Events of a SlowReplica, shared with the test that opened it.
struct ReplicaEvents {
  std::atomic<bool> WasQueried_{false};
  std::atomic<bool> WasDestroyed_{false};
  std::atomic<bool> DestroyedDuringQuery_{false};
};

/// A replica whose status query takes long.
class SlowReplica final : public FailedReplica {
public:
  explicit SlowReplica(std::shared_ptr<ReplicaEvents> Events)
      : Events_(std::move(Events)) {}
  ~SlowReplica() override { Events_->WasDestroyed_ = true; }
  replication::ReplicaStatus getStatus() const override {
    const std::shared_ptr<ReplicaEvents> Events = Events_;
    Events->WasQueried_ = true;
    // Gives a stop that does not wait the time to destroy this replica. The
    // loop is bounded, as a stop that waits never does so.
    for (int I = 0; I < 50 && !Events->WasDestroyed_; ++I)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    if (Events->WasDestroyed_)
      Events->DestroyedDuringQuery_ = true;
    return {};
  }

private:
  const std::shared_ptr<ReplicaEvents> Events_;
};

} // namespace

TEST_F(NodeCluster, ReplicaOutlivesQueriesOfTheLeader) {
  const auto Events = std::make_shared<ReplicaEvents>();
  start(1, {1}, true, 1,
        [Events](
            const replication::ReplicaSettings &, replication::StateMachine &,
            replication::Transport &,
            const Clock &) -> Outcome<std::unique_ptr<replication::Replica>> {
          return std::unique_ptr<replication::Replica>(
              std::make_unique<SlowReplica>(Events));
        });
  ASSERT_TRUE(waitFor([&] { return Events->WasQueried_.load(); }));
  stop(1);
  EXPECT_TRUE(Events->WasDestroyed_);
  EXPECT_FALSE(Events->DestroyedDuringQuery_);
}

TEST_F(NodeCluster, ReplicaIsReopenedAfterADiskFailure) {
  // The first open yields a failed replica, the second fails and the third
  // succeeds, as with a disk that is full for a while.
  auto Openings = std::make_shared<std::atomic<int>>(0);
  const OpenReplica Open =
      [Openings](
          const replication::ReplicaSettings &Settings,
          replication::StateMachine &Machine, replication::Transport &Links,
          const Clock &Time) -> Outcome<std::unique_ptr<replication::Replica>> {
    const int Number = ++*Openings;
    if (Number == 1)
      return std::unique_ptr<replication::Replica>(
          std::make_unique<FailedReplica>());
    if (Number == 2)
      return fail(ErrorCode::StorageFailed, "no space left");
    return replication::Replica::open(Settings, Machine, Links, Time);
  };
  start(1, {1}, true, 1, Open);
  EXPECT_TRUE(putConfiguration(2));
  EXPECT_GE(*Openings, 3);
}
