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

/// Far above the duration of an election and a membership change.
inline constexpr Duration WaitTimeout = std::chrono::seconds(60);

/// Waits for a condition. The timeout only ends a test that fails anyway.
inline bool waitFor(const std::function<bool()> &Condition) {
  const TimePoint End = BootClock::now() + WaitTimeout;
  while (BootClock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return Condition();
}

/// Returns a port that is currently free on every loopback address.
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

/// Counts the lines of each kind.
class CountingEventLog final : public EventLog {
public:
  void write(const Event &Value) override {
    ++Counts_.at(static_cast<std::size_t>(Value.Kind_));
  }
  int count(EventKind Kind) const {
    return Counts_.at(static_cast<std::size_t>(Kind));
  }

private:
  std::array<std::atomic<int>, EventKinds> Counts_{};
};

/// Node N has the address 127.0.0.N and its own folder.
class NodeCluster : public ::testing::Test {
protected:
  NodeCluster()
      : RootFolder_(std::filesystem::temp_directory_path() /
                    ("tulipweir-nodes-" + std::to_string(::getpid()) + "-" +
                     std::to_string(Port_))) {}
  ~NodeCluster() override {
    Nodes_.clear();
    Pool_.stop();
    std::filesystem::remove_all(RootFolder_);
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
    return RootFolder_ / std::to_string(Node);
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
    Settings.TargetVoters_ = Voters;
    Settings.DataCentre_ = DataCentres_[Node];
    Settings.Secret_ = "a secret of this test alone";
    auto NewNode = std::make_unique<ControlNode>(
        Settings, Pool_, Time_, Advisor_, Provider_, Metrics_, Log_, Open,
        [this, Node](const Clock &) {
          ++Measurements_.at(static_cast<std::size_t>(Node));
          return Node == SlowNode_ ? SlowProbeTime : NormalProbeTime;
        });
    const Outcome<void> Started = NewNode->start();
    ASSERT_TRUE(Started) << Started.error().Message_;
    Nodes_[Node] = std::move(NewNode);
  }
  void stop(int Node) { Nodes_.erase(Node); }
  void loseDisk(int Node) { std::filesystem::remove_all(folderOf(Node)); }

  int findLeader() const {
    for (const auto &[Node, Control] : Nodes_)
      if (Control->getStatus().IsLeader_ &&
          Control->getLeader() == nameOf(Node))
        return Node;
    return 0;
  }
  /// Returns the names of the voters as the leader sees them; empty without a
  /// leader.
  std::vector<std::string> listVoters() const {
    std::vector<std::string> Voters;
    if (const int Leader = findLeader())
      for (const replication::Member &Member :
           Nodes_.at(Leader)->getStatus().Members_)
        if (Member.Role_ == replication::MemberRole::Voter)
          Voters.push_back(Member.Id_.Name_);
    std::sort(Voters.begin(), Voters.end());
    return Voters;
  }
  /// Sends the configuration to every node until one accepts it.
  bool putConfiguration(std::uint64_t Version) {
    jobs::Configuration NewConfiguration;
    NewConfiguration.Version_ = Version;
    jobs::QueuePolicy Queue;
    Queue.Host_ = "h";
    Queue.PathPrefix_ = "/p/";
    Queue.Service_ = "s";
    NewConfiguration.Queues_ = {Queue};
    NewConfiguration.Services_ = {{"s", false, false}};
    return waitFor([&] {
      for (auto &[Node, Control] : Nodes_) {
        std::promise<bool> Accepted;
        Control->putConfiguration(NewConfiguration,
                                  [&Accepted](const Outcome<void> &Result) {
                                    Accepted.set_value(Result.has_value());
                                  });
        if (Accepted.get_future().get())
          return true;
      }
      return false;
    });
  }
  /// Returns the configuration version that the first node with one reports; 0
  /// if there is none.
  std::uint64_t readVersion() {
    for (auto &[Node, Control] : Nodes_) {
      std::promise<std::uint64_t> Version;
      Control->readConfiguration(
          [&Version](const Outcome<jobs::Configuration> &Result) {
            Version.set_value(Result ? Result.value().Version_ : 0);
          });
      if (const std::uint64_t Received = Version.get_future().get())
        return Received;
    }
    return 0;
  }

  /// Probe times of the nodes; SlowNode_ takes three times as long.
  static constexpr Duration NormalProbeTime = std::chrono::microseconds(70);
  static constexpr Duration SlowProbeTime = 3 * NormalProbeTime;
  std::atomic<int> SlowNode_{0};
  std::map<int, std::string> DataCentres_; ///< Of nodes; unknown if missing.
  /// The number of probes by node.
  std::array<std::atomic<int>, 16> Measurements_{};

  const std::uint16_t Port_ = findFreePort();
  const std::filesystem::path RootFolder_;
  const SystemClock Time_;
  CountingEventLog Log_;
  net::Metrics Metrics_;
  net::IoPool Pool_{2};
  jobs::NullAdvisor Advisor_;
  jobs::NullVmProvider Provider_;
  std::map<int, std::unique_ptr<ControlNode>> Nodes_;
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_NODECLUSTER_H
