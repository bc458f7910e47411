//===- NodeCluster.h - Control nodes on loopback addresses ----------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_NODECLUSTER_H
#define TULIPWEIR_TESTS_JOBSERVICE_NODECLUSTER_H

#include "tulipweir/jobservice/ControlNode.h"
#include "tulipweir/jobservice/EntryNode.h"
#include "tulipweir/net/Metrics.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <filesystem>
#include <future>
#include <map>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace tulipweir::jobservice::test {

/// Far above what an election and a change of members take.
inline constexpr Duration PatientLimit = std::chrono::seconds(60);

/// Waits for a state; never judges time.
inline bool waitFor(const std::function<bool()> &Reached) {
  const TimePoint End = BootClock::now() + PatientLimit;
  while (BootClock::now() < End) {
    if (Reached())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return Reached();
}

/// A port that is free on every loopback address at the moment.
inline std::uint16_t findFreePort() {
  const int Probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_ANY);
  EXPECT_EQ(
      ::bind(Probe, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)),
      0);
  socklen_t Size = sizeof(Address);
  ::getsockname(Probe, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Probe);
  return ntohs(Address.sin_port);
}

/// Node N lives at 127.0.0.N, with a folder of its own.
class NodeCluster : public ::testing::Test {
protected:
  NodeCluster()
      : Root_(std::filesystem::temp_directory_path() /
              ("tulipweir-nodes-" + std::to_string(::getpid()) + "-" +
               std::to_string(Port_))) {}
  ~NodeCluster() override {
    Nodes_.clear();
    Pool_.stop();
    std::filesystem::remove_all(Root_);
  }

  std::string nameOf(int Node) const {
    return "127.0.0." + std::to_string(Node) + ":" + std::to_string(Port_ + 1);
  }
  std::vector<std::string> namesOf(const std::vector<int> &Nodes) const {
    std::vector<std::string> Names;
    Names.reserve(Nodes.size());
    for (const int Node : Nodes)
      Names.push_back(nameOf(Node));
    return Names;
  }
  std::filesystem::path folderOf(int Node) const {
    return Root_ / std::to_string(Node);
  }

  void start(int Node, const std::vector<int> &Seeds, bool MayFound,
             std::uint64_t Voters = 3,
             const OpenReplica &Open = &replication::Replica::open) {
    ControlNodeSettings Settings;
    Settings.Name_ = nameOf(Node);
    Settings.LinkPort_ = Port_;
    Settings.DataFolder_ = folderOf(Node).string();
    Settings.Seeds_ = namesOf(Seeds);
    Settings.MayFound_ = MayFound;
    Settings.Voters_ = Voters;
    Settings.Secret_ = "a secret of this test alone";
    auto Fresh = std::make_unique<ControlNode>(
        Settings, Pool_, Time_, Advisor_, Provider_, Metrics_, Log_, Open,
        [this, Node](const Clock &) {
          ++Measured_.at(static_cast<std::size_t>(Node));
          return Node == SlowNode_ ? SlowWork : UsualWork;
        });
    const Outcome<void> Started = Fresh->start();
    ASSERT_TRUE(Started) << Started.error().Message_;
    Nodes_[Node] = std::move(Fresh);
  }
  void stop(int Node) { Nodes_.erase(Node); }
  void loseDisk(int Node) { std::filesystem::remove_all(folderOf(Node)); }

  int findLeader() const {
    for (const auto &[Node, Each] : Nodes_)
      if (Each->getStatus().IsLeader_ && Each->getLeader() == nameOf(Node))
        return Node;
    return 0;
  }
  /// The names of the voters as the leader sees them; empty without one.
  std::vector<std::string> listVoters() const {
    std::vector<std::string> Voters;
    if (const int Leader = findLeader())
      for (const replication::Member &Each :
           Nodes_.at(Leader)->getStatus().Members_)
        if (Each.Role_ == replication::MemberRole::Voter)
          Voters.push_back(Each.Id_.Name_);
    std::sort(Voters.begin(), Voters.end());
    return Voters;
  }
  /// Sends the call to every node until one takes it.
  bool putConfiguration(std::uint64_t Version) {
    jobs::Configuration Value;
    Value.Version_ = Version;
    jobs::QueuePolicy Queue;
    Queue.Host_ = "h";
    Queue.PathPrefix_ = "/p/";
    Queue.Service_ = "s";
    Value.Queues_ = {Queue};
    Value.Services_ = {{"s", false, false}};
    return waitFor([&] {
      for (auto &[Node, Each] : Nodes_) {
        std::promise<bool> Taken;
        Each->putConfiguration(Value, [&Taken](const Outcome<void> &Result) {
          Taken.set_value(Result.has_value());
        });
        if (Taken.get_future().get())
          return true;
      }
      return false;
    });
  }
  /// The version that any node tells; 0 while none does.
  std::uint64_t readVersion() {
    for (auto &[Node, Each] : Nodes_) {
      std::promise<std::uint64_t> Version;
      Each->readConfiguration(
          [&Version](const Outcome<jobs::Configuration> &Value) {
            Version.set_value(Value ? Value.value().Version_ : 0);
          });
      if (const std::uint64_t Got = Version.get_future().get())
        return Got;
    }
    return 0;
  }

  /// What the set piece of work takes on a node; on SlowNode_ thrice as long.
  static constexpr Duration UsualWork = std::chrono::microseconds(70);
  static constexpr Duration SlowWork = 3 * UsualWork;
  std::atomic<int> SlowNode_{0};
  std::array<std::atomic<int>, 16> Measured_{}; ///< How often, by node.

  const std::uint16_t Port_ = findFreePort();
  const std::filesystem::path Root_;
  const SystemClock Time_;
  NoEventLog Log_;
  net::Metrics Metrics_;
  net::IoPool Pool_{2};
  jobs::NullAdvisor Advisor_;
  jobs::NullVmProvider Provider_;
  std::map<int, std::unique_ptr<ControlNode>> Nodes_;
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_NODECLUSTER_H
