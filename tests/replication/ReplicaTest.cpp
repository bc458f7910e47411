#include "tulipweir/replication/Replica.h"

#include "tulipweir/replication/StateMachine.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <future>
#include <map>
#include <mutex>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::replication;
using namespace std::chrono_literals;

namespace {

/// Keeps all commands, and answers with their number.
class Journal final : public StateMachine {
public:
  std::string apply(const CommittedEntry &Entry) override {
    std::lock_guard Guard(Lock_);
    Text_ += std::string(Entry.Command_) + ";";
    return std::to_string(++Count_);
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

/// Hands messages straight over, to whoever is there.
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

/// A group of real replicas with folders of their own.
class ReplicaTest : public testing::Test {
protected:
  struct Node {
    std::unique_ptr<Journal> Machine_;
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
    Settings.FirstVoters_ = FirstVoters_;
    Settings.ElectionTimeout_ = 200ms;
    Settings.HeartbeatInterval_ = 20ms;
    Settings.SnapshotEvery_ = 50;
    return Settings;
  }
  void start(const std::string &Name) {
    Node &Fresh = Nodes_[Name];
    Fresh.Machine_ = std::make_unique<Journal>();
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
  /// Waits, generously; tests that pass do not depend on how long it takes.
  template <class Condition> bool waitFor(Condition IsMet) {
    for (int Try = 0; Try < 3000; ++Try) {
      if (IsMet())
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }
  Replica *findLeader() {
    for (auto &[Name, Each] : Nodes_)
      if (Each.Replica_->getStatus().IsLeader_)
        return Each.Replica_.get();
    return nullptr;
  }
  /// Proposes until somebody takes it; only for commands that may repeat.
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
  std::vector<std::string> FirstVoters_{"a", "b", "c"};
  SystemClock Time_;
  Wire Wire_;
  std::map<std::string, Node> Nodes_;
};

TEST_F(ReplicaTest, SingleVoterCommitsAndKeepsItsLogOverARestart) {
  FirstVoters_ = {"a"};
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
  for (int Each = 0; Each < 120; ++Each)
    ASSERT_TRUE(commit("x" + std::to_string(Each)));
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

} // namespace
