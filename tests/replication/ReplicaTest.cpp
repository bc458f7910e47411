#include "tulipweir/replication/Replica.h"

#include "tulipweir/replication/StateMachine.h"

#include "replication/FolderStorage.h"
#include "replication/PosixFileSystem.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::replication;
using namespace std::chrono_literals;

namespace {

/// Stores all commands and answers with their number. A command that is
/// repeated immediately is a retried proposal and counts once.
class CommandLog final : public StateMachine {
public:
  std::string apply(const CommittedEntry &Entry) override {
    std::lock_guard Guard(Lock_);
    std::string Added = std::string(Entry.Command_) + ";";
    bool IsRepeated = Text_.ends_with(";" + Added) || Text_ == Added;
    if (!IsRepeated) {
      Text_ += Added;
      ++Count_;
    }
    return std::to_string(Count_);
  }
  std::string takeSnapshot() const override { return getText(); }
  Outcome<void> restoreSnapshot(std::string_view Snapshot) override {
    std::lock_guard Guard(Lock_);
    Text_ = Snapshot;
    Count_ = std::count(Text_.begin(), Text_.end(), ';');
    return succeed();
  }
  std::string getText() const {
    std::lock_guard Guard(Lock_);
    return Text_;
  }

private:
  mutable std::mutex Lock_;
  std::string Text_;
  std::ptrdiff_t Count_ = 0;
};

/// Delivers messages directly to the registered replicas.
class Wire final : public Transport {
public:
  void send(const std::string &ToName, std::string Message) override {
    std::lock_guard Guard(Lock_);
    if (auto To = Ends_.find(ToName); To != Ends_.end())
      To->second->receive(std::move(Message));
  }
  void set(const std::string &Name, Replica *End) {
    std::lock_guard Guard(Lock_);
    if (End)
      Ends_[Name] = End;
    else
      Ends_.erase(Name);
  }

private:
  std::mutex Lock_;
  std::map<std::string, Replica *> Ends_;
};

/// A group of real replicas, each with its own folder.
class ReplicaTest : public testing::Test {
protected:
  struct Node {
    std::unique_ptr<CommandLog> Machine_;
    std::unique_ptr<Replica> Replica_;
  };

  ReplicaTest()
      : Root_(std::filesystem::path(testing::TempDir()) /
              ("replica-" + std::to_string(getpid()))) {
    std::filesystem::remove_all(Root_);
  }
  ~ReplicaTest() override {
    while (!Nodes_.empty())
      stop(Nodes_.begin()->first);
    std::filesystem::remove_all(Root_);
  }

  ReplicaSettings makeSettings(const std::string &Name) const {
    ReplicaSettings Settings;
    Settings.Group_ = "group";
    Settings.Name_ = Name;
    Settings.Folder_ = (Root_ / Name).string();
    Settings.InitialVoters_ = InitialVoters_;
    Settings.ElectionTimeout_ = 200ms;
    Settings.HeartbeatInterval_ = 20ms;
    Settings.SnapshotEvery_ = 50;
    Settings.RejoinsLostDisks_ = Rejoins_;
    Settings.MayBootstrap_ = MayBootstrap_;
    Settings.BootstrapsByMajority_ = BootstrapsByMajority_;
    Settings.TargetVoters_ = TargetVoters_;
    Settings.ProposalBatchInterval_ = ProposalBatchInterval_;
    if (IsInMemory_)
      Settings.Folder_.clear();
    return Settings;
  }
  void start(const std::string &Name) {
    Node &Fresh = Nodes_[Name];
    Fresh.Machine_ = std::make_unique<CommandLog>();
    auto Opened =
        Replica::open(makeSettings(Name), *Fresh.Machine_, Wire_, Time_);
    ASSERT_TRUE(Opened) << Opened.error().Message_;
    Fresh.Replica_ = std::move(Opened.value());
    Wire_.set(Name, Fresh.Replica_.get());
  }
  void stop(const std::string &Name) {
    Wire_.set(Name, nullptr);
    Nodes_.at(Name).Replica_->stop();
    Nodes_.erase(Name);
  }
  void loseDisk(const std::string &Name) {
    std::filesystem::remove_all(Root_ / Name);
  }
  /// Waits with a generous limit; passing tests do not depend on the duration.
  template <class Condition> bool waitFor(Condition IsMet) {
    for (int Try = 0; Try < 3000; ++Try) {
      if (IsMet())
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }
  Replica *findLeader() {
    for (auto &[Name, Peer] : Nodes_)
      if (Peer.Replica_->getStatus().IsLeader_)
        return Peer.Replica_.get();
    return nullptr;
  }
  /// Returns whether some leader's members are exactly the running
  /// incarnations, all as voters.
  bool isWhole() {
    Replica *Leader = findLeader();
    std::vector<Member> Running;
    for (auto &[Name, Peer] : Nodes_)
      Running.push_back({Peer.Replica_->getStatus().Self_, MemberRole::Voter});
    return Leader && Leader->getStatus().Members_ == Running;
  }
  /// Proposes until a replica accepts; only for commands that may be repeated.
  Outcome<Applied> commit(const std::string &Command) {
    Outcome<Applied> Last = fail(ErrorCode::Unavailable, "no leader");
    waitFor([&] {
      Replica *Leader = findLeader();
      if (!Leader)
        return false;
      auto Done = std::make_shared<std::promise<Outcome<Applied>>>();
      Leader->propose(Command, [Done](Outcome<Applied> Result) {
        Done->set_value(std::move(Result));
      });
      Last = Done->get_future().get();
      return Last.has_value();
    });
    return Last;
  }
  template <class Call> Outcome<void> await(Call Ask) {
    auto Done = std::make_shared<std::promise<Outcome<void>>>();
    Ask([Done](Outcome<void> Result) { Done->set_value(std::move(Result)); });
    return Done->get_future().get();
  }

  const std::filesystem::path Root_;
  std::vector<std::string> InitialVoters_{"a", "b", "c"};
  bool Rejoins_ = true;
  bool MayBootstrap_ = true;
  bool BootstrapsByMajority_ = false;
  std::uint64_t TargetVoters_ = 0;
  bool IsInMemory_ = false;
  Duration ProposalBatchInterval_{0};
  SystemClock Time_;
  Wire Wire_;
  std::map<std::string, Node> Nodes_;
};

TEST_F(ReplicaTest, SingleVoterCommitsAndKeepsItsLogOverARestart) {
  InitialVoters_ = {"a"};
  start("a");
  ASSERT_TRUE(commit("one"));
  EXPECT_EQ(commit("two").value().Result_, "2");
  stop("a");
  start("a");
  EXPECT_EQ(commit("three").value().Result_, "3");
  EXPECT_EQ(Nodes_["a"].Machine_->getText(), "one;two;three;");
}

TEST_F(ReplicaTest, ThreeVotersAgreeAndGoOnWithoutTheLeader) {
  for (const char *Name : {"a", "b", "c"})
    start(Name);
  for (int I = 0; I < 120; ++I)
    ASSERT_TRUE(commit("x" + std::to_string(I)));
  std::string Leader = findLeader()->getStatus().Self_.Name_;
  stop(Leader);
  ASSERT_TRUE(commit("after"));
  start(Leader);
  EXPECT_TRUE(waitFor([&] {
    std::string Text = Nodes_["a"].Machine_->getText();
    return Text.ends_with("after;") &&
           Text == Nodes_["b"].Machine_->getText() &&
           Text == Nodes_["c"].Machine_->getText();
  }));
}

TEST_F(ReplicaTest, SecondDiskLostRightAfterTheRepairOfTheFirst) {
  for (const char *Name : {"a", "b", "c"})
    start(Name);
  std::string Expected;
  for (const char *Lost : {"c", "b", "a", "c"}) {
    for (int I = 0; I < 30; ++I) {
      Expected += std::string(Lost) + std::to_string(I) + ";";
      ASSERT_TRUE(commit(Lost + std::to_string(I)));
    }
    std::uint64_t Old = Nodes_[Lost].Replica_->getStatus().Self_.Incarnation_;
    stop(Lost);
    loseDisk(Lost);
    start(Lost);
    EXPECT_GT(Nodes_[Lost].Replica_->getStatus().Self_.Incarnation_, Old);
    EXPECT_TRUE(waitFor([&] { return isWhole(); }));
  }
  EXPECT_TRUE(waitFor([&] {
    return std::all_of(Nodes_.begin(), Nodes_.end(), [&](auto &Entry) {
      return Entry.second.Machine_->getText() == Expected;
    });
  }));
}

TEST_F(ReplicaTest, MemberWithALostDiskHasNoVoteUntilItIsAdded) {
  Rejoins_ = false;
  for (const char *Name : {"a", "b", "c"})
    start(Name);
  ASSERT_TRUE(commit("one"));
  stop("c");
  loseDisk("c");
  start("c");
  MemberId Fresh = Nodes_["c"].Replica_->getStatus().Self_;
  ASSERT_TRUE(waitFor([&] {
    Replica *Leader = findLeader();
    return Leader && Leader->getStatus().JoinRequests_ == std::vector{Fresh};
  }));
  EXPECT_EQ(Nodes_["c"].Replica_->getStatus().AppliedIndex_, 0U);
  Replica *Leader = findLeader();
  EXPECT_TRUE(await([&](auto Done) { Leader->addLearner(Fresh, Done); }));
  EXPECT_TRUE(await([&](auto Done) { Leader->promote(Fresh, Done); }));
  EXPECT_TRUE(
      waitFor([&] { return Nodes_["c"].Machine_->getText() == "one;"; }));
}

TEST_F(ReplicaTest, DamagedFolderCountsAsALostDisk) {
  for (const char *Name : {"a", "b", "c"})
    start(Name);
  ASSERT_TRUE(commit("one"));
  stop("b");
  std::ofstream(Root_ / "b" / "identity") << "nonsense";
  start("b");
  EXPECT_NE(Nodes_["b"].Replica_->getStatus().LostDisk_, "");
  EXPECT_TRUE(waitFor([&] { return isWhole(); }));
  EXPECT_TRUE(
      waitFor([&] { return Nodes_["b"].Machine_->getText() == "one;"; }));
}

TEST_F(ReplicaTest, MembersWithoutDisksComeBackAsNewOnes) {
  IsInMemory_ = true;
  for (const char *Name : {"a", "b", "c"})
    start(Name);
  ASSERT_TRUE(commit("one"));
  stop("a");
  start("a");
  EXPECT_FALSE(Nodes_["a"].Replica_->getStatus().IsDurable_);
  EXPECT_TRUE(waitFor([&] { return isWhole(); }));
  EXPECT_TRUE(
      waitFor([&] { return Nodes_["a"].Machine_->getText() == "one;"; }));
}

TEST_F(ReplicaTest, TransfersLeadershipAndThenRejectsLeaderOnlyCalls) {
  for (const char *Name : {"a", "b", "c"})
    start(Name);
  ASSERT_TRUE(commit("one"));
  Replica *Old = findLeader();
  auto IsLeading = [&] { return Old->holdsLeaderLease(Time_.now()); };
  EXPECT_TRUE(waitFor(IsLeading));
  auto Confirm = [&](auto Done) { Old->confirmLeadership(Done); };
  EXPECT_TRUE(await(Confirm));
  EXPECT_TRUE(await([&](auto Done) { Old->transferLeadership(Done); }));
  EXPECT_FALSE(IsLeading());
  EXPECT_EQ(await(Confirm).error().Code_, ErrorCode::NotLeader);
  std::string Next;
  EXPECT_TRUE(waitFor([&] {
    Next = Old->getStatus().LeaderName_;
    return !Next.empty();
  }));
  EXPECT_NE(Next, Old->getStatus().Self_.Name_);
}

TEST_F(ReplicaTest, RejectsInvalidSettings) {
  ReplicaSettings Settings = makeSettings("a");
  Settings.HeartbeatInterval_ = Settings.ElectionTimeout_;
  CommandLog Machine;
  auto Opened = Replica::open(Settings, Machine, Wire_, Time_);
  EXPECT_EQ(Opened.error().Code_, ErrorCode::InvalidArgument);
}

} // namespace

TEST_F(ReplicaTest, ProposalsWithinTheIntervalAreBatched) {
  // The interval is far longer than it takes to submit the proposals.
  ProposalBatchInterval_ = 500ms;
  InitialVoters_ = {"a"};
  start("a");
  ASSERT_TRUE(commit("first"));
  Replica *Leader = findLeader();
  ASSERT_TRUE(Leader);
  const std::uint64_t Before = Leader->getStatus().Syncs_;
  static constexpr int Count = 40;
  std::vector<std::promise<Outcome<Applied>>> Done(Count);
  for (int I = 0; I < Count; ++I) {
    Leader->propose(std::to_string(I), [&Done, I](Outcome<Applied> Result) {
      Done[I].set_value(std::move(Result));
    });
    // The delay keeps proposals from being batched just because they arrive
    // together.
    std::this_thread::sleep_for(2ms);
  }
  for (auto &Promise : Done)
    EXPECT_TRUE(Promise.get_future().get());
  EXPECT_LE(Leader->getStatus().Syncs_ - Before, 10U);
}

// Guards against a first start that waits without end for an initial voter that
// is gone, whose place another member takes.
TEST_F(ReplicaTest, AFirstStartDoesNotNeedAMemberThatIsGone) {
  BootstrapsByMajority_ = true;
  TargetVoters_ = 3;
  start("b");
  start("c");
  ASSERT_TRUE(waitFor([&] { return findLeader() != nullptr; }));
  EXPECT_TRUE(commit("one"));
  MayBootstrap_ = false;
  InitialVoters_ = {"b", "c", "d"};
  start("d");
  EXPECT_TRUE(waitFor([&] { return isWhole(); }));
  EXPECT_EQ(Nodes_.count("a"), 0U);
}

// Guards against a member that is killed during the first start and comes back
// without the permission to bootstrap the group.
TEST_F(ReplicaTest, ARestartBeforeTheBootstrapKeepsTheFirstStart) {
  BootstrapsByMajority_ = true;
  start("a");
  stop("a");
  MayBootstrap_ = false;
  start("a");
  MayBootstrap_ = true;
  start("b");
  ASSERT_TRUE(waitFor([&] { return findLeader() != nullptr; }));
  EXPECT_TRUE(commit("one"));
}

// Guards against a lost disk that is taken for a first start.
TEST_F(ReplicaTest, ALostDiskBootstrapsNoGroup) {
  BootstrapsByMajority_ = true;
  for (const char *Name : {"a", "b"}) {
    start(Name);
    stop(Name);
    loseDisk(Name);
  }
  MayBootstrap_ = false;
  for (const char *Name : {"a", "b"})
    start(Name);
  // Four times as long as a proposer waits for the other members.
  std::this_thread::sleep_for(16 * makeSettings("a").ElectionTimeout_);
  EXPECT_EQ(findLeader(), nullptr);
}

// Guards against initial voters that have voted for a proposer which is gone
// before they learned the initial members: no log, but a term, must not keep
// them from bootstrapping the group.
TEST_F(ReplicaTest, AVoteBeforeTheGroupIsKnownDoesNotPreventTheBootstrap) {
  BootstrapsByMajority_ = true;
  MayBootstrap_ = false;
  PosixFileSystem Files;
  for (const char *Name : {"b", "c"}) {
    const MemberId Self{Name, 1};
    auto Opened = FolderStorage::open(Files, (Root_ / Name).string(),
                                      Identity{"group", Self, 0});
    ASSERT_TRUE(Opened) << Opened.error().Message_;
    LogStorage &Storage = *Opened.value().Storage_;
    ASSERT_TRUE(Storage.saveBootstrap(Self, {InitialVoters_, 0, 0, {}}));
    ASSERT_TRUE(Storage.append({{2, {"a", 1}}, {}}));
  }
  start("b");
  start("c");
  ASSERT_TRUE(waitFor([&] { return findLeader() != nullptr; }));
  EXPECT_TRUE(commit("one"));
}
